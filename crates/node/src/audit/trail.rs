//! The bounded rings of audit records.

use std::collections::VecDeque;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use sassafrasspool_core::AuditEvent;
use sassafrasspool_core::InstanceId;
use sassafrasspool_core::Phase;
use sassafrasspool_wire::admin::AuditPage;
use sassafrasspool_wire::admin::AuditRecord;

use super::record;

/// Maximum number of records in each ring: one for endpoints, one for all other events.
const MAX_RECORDS_PER_RING: usize = 1_024;

/// One node's audit trail.
///
/// A fleet restart changes thousands of endpoints within seconds. Records of
/// endpoints have a ring of their own, so that they don't evict the records that
/// show which version came into force or was refused, and why.
///
/// # Invariants
///
/// Records are numbered from 1 in the order of writing, across both rings. Each
/// ring holds its newest 1,024 records.
#[derive(Debug)]
pub struct AuditTrail {
    me: InstanceId,
    rings: Mutex<Rings>,
}

#[derive(Debug, Default)]
struct Rings {
    endpoints: VecDeque<AuditRecord>,
    others: VecDeque<AuditRecord>,
    written: u64,
}

impl AuditTrail {
    /// An empty trail.
    pub(crate) fn new(me: InstanceId) -> AuditTrail {
        AuditTrail {
            me,
            rings: Mutex::default(),
        }
    }

    /// Writes an event of the dissemination of versions.
    pub(crate) fn write(&self, event: &AuditEvent) {
        self.append(record::from_event(event));
    }

    /// Writes a phase change of this node's own endpoint.
    pub(crate) fn write_phase(&self, phase: Phase, reason: &str) {
        self.append(AuditRecord {
            event: "phase".to_owned(),
            instance: Some(self.me.clone()),
            phase: Some(phase),
            reason: Some(reason.to_owned()),
            ..AuditRecord::default()
        });
    }

    /// The retained records numbered above `after`, oldest first.
    pub fn page(&self, after: u64) -> AuditPage {
        let rings = self.lock();
        let retained = rings.endpoints.iter().chain(&rings.others);
        let mut records: Vec<_> = retained.filter(|it| it.number > after).cloned().collect();
        records.sort_unstable_by_key(|record| record.number);
        let retained_count = rings.endpoints.len() + rings.others.len();
        AuditPage {
            instance: self.me.clone(),
            records,
            dropped: rings.written - retained_count as u64,
        }
    }

    fn append(&self, mut record: AuditRecord) {
        let mut rings = self.lock();
        rings.written += 1;
        record.number = rings.written;
        record.unix_ms = crate::log::unix_ms();
        self.log(&record);
        let ring = match record.event.as_str() {
            record::ENDPOINT => &mut rings.endpoints,
            _ => &mut rings.others,
        };
        if ring.len() == MAX_RECORDS_PER_RING {
            ring.pop_front();
        }
        // INVARIANT: A full ring lost its oldest record above, so its length stays
        // bounded; the record has the next number.
        ring.push_back(record);
    }

    fn log(&self, record: &AuditRecord) {
        tracing::info!(
            target: "audit",
            node = %self.me,
            number = record.number,
            event = %record.event,
            stream = record.stream.map(tracing::field::display),
            version = record.version.as_ref().map(tracing::field::display),
            kept = record.kept.as_ref().map(tracing::field::display),
            from = record.from.as_deref(),
            instance = record.instance.as_ref().map(tracing::field::display),
            phase = record.phase.map(tracing::field::display),
            reason = record.reason.as_deref(),
        );
    }

    fn lock(&self) -> MutexGuard<'_, Rings> {
        self.rings.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

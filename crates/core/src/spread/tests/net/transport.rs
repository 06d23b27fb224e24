//! Transport of messages and reads, with the injected faults.

use std::collections::BTreeSet;
use std::time::Duration;

use super::Net;
use super::Scheduled;
use super::node;
use super::node::Arrival;
use crate::Call;
use crate::Event;
use crate::Freshness;
use crate::PeerMessage;
use crate::Revision;
use crate::Stream;

/// How long a node's client waits for an answer beyond the time of a watch.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// After this time a watch on a silent connection fails, since the node's probes
/// detect the silence.
const SILENCE_DETECTED_AFTER: Duration = Duration::from_secs(2);

/// After this time a message that was sent on a silent connection is sent again on a
/// fresh one.
const RESENT_AFTER: Duration = Duration::from_millis(125);

impl Net {
    pub(super) fn send(&mut self, from: usize, call: Call) {
        *self.messages.entry(call.message.kind()).or_default() += 1;
        let sender = self.nodes[from].as_mut().unwrap();
        sender.bytes_sent += postcard::to_stdvec(&call.message).unwrap().len();
        if let PeerMessage::Announce(announce) = &call.message {
            let revision = announce.heads.catalogue.map(|head| head.revision().get());
            sender.announced_revisions.extend(revision);
        }
        let generation = sender.generation;
        let to = node::index_of(call.addr);
        let delivered = self.nodes.get(to).is_some_and(Option::is_some)
            && self.group[from] == self.group[to]
            && !self.chance(self.loss_percent);
        if !delivered && self.calls_hang {
            return;
        }
        if !delivered {
            let failed = Event::CallFailed { call: call.id };
            let at = self.now + Duration::from_millis(20);
            self.push(
                at,
                from,
                generation,
                Scheduled::Arrival(Box::new(Arrival::Event(failed))),
            );
            return;
        }
        let fresh = self.fresh_connections.as_mut();
        let resend_delay = match fresh.is_some_and(|fresh| fresh.insert((from, to))) {
            true => RESENT_AFTER,
            false => Duration::ZERO,
        };
        let copies = 1 + usize::from(self.chance(self.duplicate_percent));
        let receiver = self.nodes[to].as_ref().unwrap().generation;
        for _ in 0..copies {
            let arrival = Arrival::Request {
                from,
                call: call.id,
                generation,
                message: call.message.clone(),
            };
            let at = self.now + resend_delay + self.delay();
            self.push(at, to, receiver, Scheduled::Arrival(Box::new(arrival)));
        }
    }

    /// Makes all connections that are open now silent; new connections work.
    pub(in crate::spread::tests) fn silence_connections(&mut self) {
        self.fresh_connections = Some(BTreeSet::new());
        let watches =
            self.scheduled
                .iter()
                .filter_map(|(key, (n, generation, event))| match event {
                    Scheduled::Watch { stream, .. } => Some((*key, *n, *generation, *stream)),
                    Scheduled::Wakeup(_) | Scheduled::Arrival(_) => None,
                });
        let watches: Vec<_> = watches.collect();
        for (key, n, generation, stream) in watches {
            self.scheduled.remove(&key);
            self.fail_read(n, generation, stream, SILENCE_DETECTED_AFTER);
        }
    }

    pub(super) fn start_read(
        &mut self,
        n: usize,
        stream: Stream,
        after: Option<Revision>,
        wait: Duration,
        freshness: Freshness,
    ) {
        self.platform.reads.push(self.now);
        self.platform.lagging_reads += usize::from(freshness == Freshness::MayLag);
        let generation = self.nodes[n].as_ref().unwrap().generation;
        if self.platform.silent || self.unanswered_nodes.contains(&n) {
            self.time_out_read(n, generation, stream, wait);
            return;
        }
        let result = match self.reaches_platform(n) {
            _ if self.busy_nodes.contains(&n) => {
                Some(crate::SourceResult::Busy { retry_after: None })
            }
            true => self.platform.read(stream, after, freshness),
            false => Some(crate::SourceResult::Failed {
                reason: "cut off".to_owned(),
            }),
        };
        let Some(result) = result else {
            let until = self.now + wait;
            let due = Scheduled::Watch {
                stream,
                after,
                until,
            };
            self.push(until, n, generation, due);
            return;
        };
        let arrival = Arrival::Event(Event::SourceRead { stream, result });
        let at = self.now + Duration::from_millis(2);
        self.push(at, n, generation, Scheduled::Arrival(Box::new(arrival)));
    }

    /// Lets a read of a node time out whose answer may take `wait`.
    pub(super) fn time_out_read(
        &mut self,
        n: usize,
        generation: u32,
        stream: Stream,
        wait: Duration,
    ) {
        self.fail_read(n, generation, stream, wait + ANSWER_TIMEOUT);
    }

    pub(super) fn fail_read(&mut self, n: usize, generation: u32, stream: Stream, after: Duration) {
        let result = crate::SourceResult::Failed {
            reason: "no answer".to_owned(),
        };
        let arrival = Arrival::Event(Event::SourceRead { stream, result });
        let at = self.now + after;
        self.push(at, n, generation, Scheduled::Arrival(Box::new(arrival)));
    }

    /// Whether a node reaches the platform and is not rejected by it.
    pub(super) fn reaches_platform(&self, n: usize) -> bool {
        let is_refused = self.rejected_nodes.contains(&n) || self.busy_nodes.contains(&n);
        let is_answered = !is_refused && !self.unanswered_nodes.contains(&n);
        is_answered && !self.cut_off_groups.contains(&self.group[n])
    }

    /// Answers the watches for which the platform has a newer value.
    pub(super) fn answer_watches(&mut self) {
        if self.platform.silent {
            return;
        }
        let keys: Vec<u64> = self.scheduled.keys().copied().collect();
        for key in keys {
            let (n, generation, due) = &self.scheduled[&key];
            let Scheduled::Watch {
                stream,
                after,
                until,
            } = due
            else {
                continue;
            };
            if *until < self.now || !self.reaches_platform(*n) {
                continue;
            }
            let (n, generation, stream) = (*n, *generation, *stream);
            let Some(result) = self.platform.read(stream, *after, Freshness::Newest) else {
                continue;
            };
            self.scheduled.remove(&key);
            let arrival = Arrival::Event(Event::SourceRead { stream, result });
            let at = self.now + Duration::from_millis(2);
            self.push(at, n, generation, Scheduled::Arrival(Box::new(arrival)));
        }
    }
}

//! Pulling bodies from peers.

use std::sync::Arc;

use super::SpreadMachine;
use crate::Action;
use crate::AuditEvent;
use crate::Body;
use crate::Error;
use crate::Heads;
use crate::InstanceId;
use crate::Origin;
use crate::PeerMessage;
use crate::Pull;
use crate::Stream;
use crate::Tick;
use crate::spread::calls::Address;
use crate::spread::calls::Purpose;
use crate::spread::version_store::OfferOutcome;

impl SpreadMachine {
    /// Compares a peer's heads with the held versions, and pulls the versions
    /// that are lacking.
    pub(super) fn merge_heads(
        &mut self,
        now: Tick,
        heads: Heads,
        peer: &Address,
        out: &mut Vec<Action>,
    ) {
        self.store.epochs.note_heads(heads);
        for head in heads.iter() {
            if self.store.is_refused(head.version) {
                // A peer with another program version may hold a version that
                // is invalid here; it would be pulled again without end.
                continue;
            }
            if self.store.lacks(head.stream, head.version) {
                self.pulls[head.stream as usize].note_advertised(head.version, peer);
                if !self.calls.is_in_flight(Purpose::Pull(head.stream)) {
                    self.pull_from_next_peer(now, head.stream, out);
                }
                continue;
            }
            let held = self.store.heads().of(head.stream);
            let (Some(held), Some(id)) = (held, &peer.id) else {
                continue;
            };
            if held.revision() == head.version.revision() && held != head.version {
                let origin = Origin::Peer(id.clone());
                self.store
                    .note_conflict(head.stream, held, head.version, &origin, out);
            }
        }
    }

    /// Pulls from the next peer that holds a newer version, if one is known. At
    /// most one pull per stream is in flight.
    pub(super) fn pull_from_next_peer(&mut self, now: Tick, stream: Stream, out: &mut Vec<Action>) {
        let held = self.store.heads().of(stream);
        let pulls = &mut self.pulls[stream as usize];
        let Some(to) = pulls.next_candidate() else {
            return;
        };
        let base = match pulls.request_full {
            true => None,
            false => held,
        };
        let message = PeerMessage::Pull(Pull { stream, held: base });
        self.calls
            .send(now, &to, Purpose::Pull(stream), message, out);
    }

    /// Handles the reply to a pull.
    pub(super) fn handle_pull_reply(
        &mut self,
        now: Tick,
        stream: Stream,
        from: &Address,
        body: Option<&Body>,
        out: &mut Vec<Action>,
    ) {
        if let (Some(body), Some(id)) = (body, &from.id)
            && body.stream == stream
        {
            self.apply_body(now, body, id, out);
        }
        let pulls = &self.pulls[stream as usize];
        let lacks = pulls
            .newest_advertised
            .is_some_and(|advertised| self.store.lacks(stream, advertised));
        if lacks {
            self.pull_from_next_peer(now, stream, out);
        }
    }

    /// Applies a body that came with an announcement, if its base is the held
    /// version. Often it isn't, or the body arrived before; neither is an
    /// error.
    pub(super) fn apply_announced_body(
        &mut self,
        now: Tick,
        body: &Body,
        from: &InstanceId,
        out: &mut Vec<Action>,
    ) {
        if body.base.is_some() && body.base == self.store.heads().of(body.stream) {
            self.apply_body(now, body, from, out);
        }
    }

    /// Applies a body if it is newer, its base is the held version and its
    /// digest is right.
    ///
    /// Deltas arrive out of order and twice. A delta from another base than the
    /// held version is rejected by the document's own check, and a body whose
    /// version isn't newer is ignored.
    fn apply_body(&mut self, now: Tick, body: &Body, from: &InstanceId, out: &mut Vec<Action>) {
        let stream = body.stream;
        let lacks = self.store.lacks(stream, body.version);
        if !lacks || self.store.is_refused(body.version) {
            return;
        }
        let origin = Origin::Peer(from.clone());
        let applied = match stream {
            Stream::Catalogue => body
                .apply_to(self.store.catalogue().map(Arc::as_ref))
                .map(|offered| self.offer_catalogue(now, offered, &origin, out)),
            Stream::Instances => body
                .apply_to(self.store.instances().map(Arc::as_ref))
                .map(|offered| self.offer_instances(now, offered, &origin, out)),
        };
        if let Err(cause) = applied {
            self.reject_body(body, &cause, origin, out);
        }
    }

    /// Discards a body that can't be applied, and requests the next one as a
    /// full document.
    fn reject_body(&mut self, body: &Body, cause: &Error, origin: Origin, out: &mut Vec<Action>) {
        self.pulls[body.stream as usize].request_full = true;
        let other_base = body.base.is_some() && body.base != self.store.heads().of(body.stream);
        if other_base {
            return;
        }
        out.push(Action::Audit(AuditEvent::BodyRefused {
            stream: body.stream,
            version: body.version,
            origin,
            reason: cause.to_string(),
        }));
    }

    /// The body that leads from `base` to the held version of a stream.
    pub(super) fn body_since(
        &mut self,
        stream: Stream,
        base: Option<crate::Version>,
    ) -> Option<Body> {
        let encoded = match stream {
            Stream::Catalogue => self
                .catalogue_history
                .body_since(base, self.store.catalogue()?),
            Stream::Instances => self.list_history.body_since(base, self.store.instances()?),
        };
        encoded.ok()
    }

    pub(super) fn offer_catalogue(
        &mut self,
        now: Tick,
        offered: crate::Catalogue,
        origin: &Origin,
        out: &mut Vec<Action>,
    ) -> OfferOutcome {
        let before = self.store.catalogue().cloned();
        let outcome = self.store.offer_catalogue(offered, origin, out);
        if outcome == OfferOutcome::Accepted {
            self.catalogue_accepted(now, before.as_deref(), origin, out);
        }
        outcome
    }

    pub(super) fn offer_instances(
        &mut self,
        now: Tick,
        offered: crate::InstanceList,
        origin: &Origin,
        out: &mut Vec<Action>,
    ) -> OfferOutcome {
        let before = self.store.instances().cloned();
        let outcome = self.store.offer_instances(offered, origin, out);
        if outcome == OfferOutcome::Accepted {
            self.instances_accepted(now, before.as_deref(), origin, out);
        }
        outcome
    }
}

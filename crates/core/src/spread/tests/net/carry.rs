//! Carrying messages and reads, with what goes wrong on the way.

use std::collections::BTreeSet;
use std::time::Duration;

use super::Due;
use super::Net;
use super::node;
use super::node::Arrival;
use crate::Call;
use crate::Event;
use crate::Freshness;
use crate::PeerMessage;
use crate::Revision;
use crate::Stream;

/// How long a node's client waits for an answer beyond the time of a watch.
const ANSWER_LIMIT: Duration = Duration::from_millis(1_500);

/// When a watch on a connection that fell silent fails, as the nodes' probes show it.
const SILENCE_NOTICED: Duration = Duration::from_secs(2);

/// When a message that was sent on a silent connection is sent on a fresh one.
const SENT_AFRESH: Duration = Duration::from_millis(125);

impl Net {
    pub(super) fn send(&mut self, from: usize, call: Call) {
        *self.messages.entry(call.message.kind()).or_default() += 1;
        let sender = self.nodes[from].as_mut().unwrap();
        sender.bytes += postcard::to_stdvec(&call.message).unwrap().len();
        if let PeerMessage::Announce(told) = &call.message {
            let revision = told.heads.catalogue.map(|head| head.revision().get());
            sender.announced.extend(revision);
        }
        let generation = sender.generation;
        let to = node::index(call.addr);
        let reached = self.nodes.get(to).is_some_and(Option::is_some)
            && self.group[from] == self.group[to]
            && !self.drawn(self.loss_percent);
        if !reached {
            let failed = Event::CallFailed { call: call.id };
            let at = self.now + Duration::from_millis(20);
            self.push(
                at,
                from,
                generation,
                Due::Arrive(Box::new(Arrival::Event(failed))),
            );
            return;
        }
        let fresh = self.fresh.as_mut();
        let afresh = match fresh.is_some_and(|fresh| fresh.insert((from, to))) {
            true => SENT_AFRESH,
            false => Duration::ZERO,
        };
        let copies = 1 + usize::from(self.drawn(self.double_percent));
        let receiver = self.nodes[to].as_ref().unwrap().generation;
        for _ in 0..copies {
            let arrival = Arrival::Request {
                from,
                call: call.id,
                generation,
                message: call.message.clone(),
            };
            let at = self.now + afresh + self.delay();
            self.push(at, to, receiver, Due::Arrive(Box::new(arrival)));
        }
    }

    /// Lets all connections that are open now fall silent, while new ones work.
    pub(in crate::spread::tests) fn silence_connections(&mut self) {
        self.fresh = Some(BTreeSet::new());
        let watches = self
            .due
            .iter()
            .filter_map(|(key, (n, generation, due))| match due {
                Due::Watch { stream, .. } => Some((*key, *n, *generation, *stream)),
                Due::Wake(_) | Due::Arrive(_) => None,
            });
        let watches: Vec<_> = watches.collect();
        for (key, n, generation, stream) in watches {
            self.due.remove(&key);
            self.fail_read(n, generation, stream, SILENCE_NOTICED);
        }
    }

    pub(super) fn read(
        &mut self,
        n: usize,
        stream: Stream,
        after: Option<Revision>,
        wait: Duration,
        freshness: Freshness,
    ) {
        self.platform.reads.push(self.now);
        self.platform.lagging += usize::from(freshness == Freshness::MayLag);
        let generation = self.nodes[n].as_ref().unwrap().generation;
        if self.platform.silent {
            self.give_up(n, generation, stream, wait);
            return;
        }
        let result = match self.reads(n) {
            true => self.platform.read(stream, after, freshness),
            false => Some(crate::SourceResult::Failed {
                reason: "cut off".to_owned(),
            }),
        };
        let Some(result) = result else {
            let until = self.now + wait;
            let due = Due::Watch {
                stream,
                after,
                until,
            };
            self.push(until, n, generation, due);
            return;
        };
        let arrival = Arrival::Event(Event::SourceRead { stream, result });
        let at = self.now + Duration::from_millis(2);
        self.push(at, n, generation, Due::Arrive(Box::new(arrival)));
    }

    /// Has a node wait in vain for an answer that may take `wait`.
    pub(super) fn give_up(&mut self, n: usize, generation: u32, stream: Stream, wait: Duration) {
        self.fail_read(n, generation, stream, wait + ANSWER_LIMIT);
    }

    fn fail_read(&mut self, n: usize, generation: u32, stream: Stream, after: Duration) {
        let result = crate::SourceResult::Failed {
            reason: "no answer".to_owned(),
        };
        let arrival = Arrival::Event(Event::SourceRead { stream, result });
        let at = self.now + after;
        self.push(at, n, generation, Due::Arrive(Box::new(arrival)));
    }

    /// Whether a node reaches the platform and is served there.
    fn reads(&self, n: usize) -> bool {
        !self.cut_off.contains(&self.group[n]) && !self.turned_away.contains(&n)
    }

    /// Answers the watches for which there is something now.
    pub(super) fn answer_watches(&mut self) {
        if self.platform.silent {
            return;
        }
        let waiting: Vec<u64> = self.due.keys().copied().collect();
        for key in waiting {
            let (n, generation, due) = &self.due[&key];
            let Due::Watch {
                stream,
                after,
                until,
            } = due
            else {
                continue;
            };
            if *until < self.now || !self.reads(*n) {
                continue;
            }
            let (n, generation, stream) = (*n, *generation, *stream);
            let Some(result) = self.platform.read(stream, *after, Freshness::Newest) else {
                continue;
            };
            self.due.remove(&key);
            let arrival = Arrival::Event(Event::SourceRead { stream, result });
            let at = self.now + Duration::from_millis(2);
            self.push(at, n, generation, Due::Arrive(Box::new(arrival)));
        }
    }
}

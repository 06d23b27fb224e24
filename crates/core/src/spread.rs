/*!
Dissemination of catalogue versions, instance lists and endpoint states.

One [`SpreadMachine`] runs on each node. It performs no I/O and has no clock: the
node passes it events with the time and carries out the actions that it
returns. [`NaiveSpread`] is the baseline for comparison, in which each node reads and
watches the platform itself; both implement [`Disseminate`].

# Guarantees and trade-offs

- Revisions only grow, per stream and process, in the order of [`Revision`]. If
  one revision arrives with two digests, the first is kept; the next revision
  brings all nodes to the same version.
- A platform that returns from an older copy begins an epoch. What it gives is used
  once the epoch has settled, or by nodes that know nothing else. A change that
  is published right after the return is therefore late by up to 2.3 s.
- Whether a version is valid depends on its content alone. The node that reads
  an invalid version from the platform refuses it whole, remembers it, and never
  advertises its head: a head is always of a version that the node holds and
  has validated. So no node fetches an invalid version, and a node that joins
  while the platform's newest version is invalid gets the last valid one from
  its peers. If the whole fleet restarts at that moment, no node holds the last
  valid version any more and the platform doesn't serve it: nodes wait for the
  next valid version.
- A node joins once it has compared its versions with some peers and has recent
  proof of contact with the platform, its own or a peer's. If no peer answers,
  it joins after a bounded wait with what it read from the platform. A stale
  platform may have served an older version than the former process had in
  force.
- A node that isn't a chosen reader reads at a random moment in a period that
  grows with the fleet. This keeps the whole fleet within its share of the read
  budget; the price is that a node without any peer waits up to one period.

What the node has to do:

- Call [`Disseminate::handle`] with [`Event::Wakeup`] when
  [`Disseminate::next_wakeup`] is due; an early call is harmless.
- Answer each [`Action::Send`] by one [`Event::Reply`] or
  [`Event::CallFailed`] with the same [`CallId`]. A late or missing answer
  counts as a failure after [`SpreadConfig::call_timeout`].
- Answer each [`Action::ReadSource`] by one [`Event::SourceRead`].
- Pass a peer's message to [`Disseminate::answer`] and send the returned reply
  to the peer.

# Example

A node without peers reads the list and then the catalogue, and has a snapshot
as soon as it holds both:

```
use std::time::Duration;

use sassafrasspool_core::Action;
use sassafrasspool_core::Disseminate;
use sassafrasspool_core::DomainName;
use sassafrasspool_core::Event;
use sassafrasspool_core::Incarnation;
use sassafrasspool_core::InstanceId;
use sassafrasspool_core::LocalNode;
use sassafrasspool_core::Revision;
use sassafrasspool_core::SourceResult;
use sassafrasspool_core::SpreadConfig;
use sassafrasspool_core::SpreadMachine;
use sassafrasspool_core::Stream;
use sassafrasspool_core::Tick;

let local = LocalNode {
    id: InstanceId::new("wd-1")?,
    domain: DomainName::new("khan-uul")?,
    control: "127.0.0.1:9002".parse()?,
    incarnation: Incarnation::from_start_millis(1_700_000_000_000),
    seeds: Vec::new(),
};
let mut now = Tick::ZERO;
let mut spread = SpreadMachine::new(SpreadConfig::default(), local, 7, now);
let mut applied = None;
while applied.is_none() {
    now = spread.next_wakeup().max(now + Duration::from_millis(1));
    let mut actions = Vec::new();
    spread.handle(now, Event::Wakeup, &mut actions);
    for action in actions {
        let Action::ReadSource { stream, .. } = action else {
            continue;
        };
        let revision = Revision::new(1)?;
        let result = match stream {
            Stream::Catalogue => SourceResult::Catalogue {
                revision,
                text: "kinds: {}\nservices: {}".to_owned(),
            },
            Stream::Instances => SourceResult::Instances {
                revision,
                instances: Vec::new(),
            },
        };
        let mut more = Vec::new();
        spread.handle(now, Event::SourceRead { stream, result }, &mut more);
        applied = applied.or(more.into_iter().find_map(|action| match action {
            Action::Apply(applied) => Some(applied.snapshot),
            _ => None,
        }));
    }
}
assert_eq!(applied.unwrap().catalogue().revision().get(), 1);
# Ok::<(), Box<dyn std::error::Error>>(())
```
*/

pub use self::action::Action;
pub use self::action::Applied;
pub use self::audit::AuditEvent;
pub use self::audit::Origin;
pub use self::body::Body;
pub use self::body::MAX_BODY_BYTES;
pub use self::call::Call;
pub use self::call::CallId;
pub use self::config::SpreadConfig;
pub use self::disseminate::Disseminate;
pub use self::event::Event;
pub use self::event::SourceResult;
pub use self::freshness::Freshness;
pub use self::heads::Contact;
pub use self::heads::Head;
pub use self::heads::Heads;
pub use self::heads::StreamProof;
pub use self::heads::StreamProofs;
pub use self::list_proof::ListProof;
pub use self::local::LocalNode;
pub use self::machine::SpreadMachine;
pub use self::message::Announce;
pub use self::message::PeerMessage;
pub use self::message::Pull;
pub use self::message::Reconcile;
pub use self::message::Sync;
pub use self::naive::NaiveSpread;
pub use self::reply::PeerReply;
pub use self::reply::SyncReply;
pub use self::status::SpreadStatus;

mod action;
mod audit;
mod body;
mod call;
mod calls;
mod catch_up;
mod config;
mod disseminate;
mod epochs;
mod event;
mod freshness;
mod gossip;
mod heads;
mod history;
mod join_state;
mod list_proof;
mod list_regression;
mod local;
mod machine;
mod message;
mod naive;
mod peers;
mod pull_state;
mod reply;
mod source_reads;
mod status;
#[cfg(test)]
mod tests;
mod version_store;

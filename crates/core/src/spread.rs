/*!
How versions and endpoint states reach every node.

One [`Spread`] runs on each node. It performs no I/O and has no clock: the
node gives it events with the time, and carries out the actions that it
returns. [`Naive`] does the same job the obvious way (each node reads and
watches the platform) and serves for comparison; both are [`Disseminate`].

# What is kept, and what is traded

- Revisions only grow, per stream and process. Of one revision with two
  digests the first is kept; the next revision brings all together.
- Whether a version is good depends on its content alone. A bad one is refused
  whole by whoever reads it from the platform, remembered, and its head is
  never told to peers: a node's head is always of a version that it holds and
  judged good. So nobody is made to fetch a bad version, and a node that joins
  while the platform's newest is bad gets the last good one from its peers. If
  the whole fleet restarts at that moment, nobody has the last good one any
  more, and the platform doesn't give it: nodes wait for the next good version.
- A node joins once it compared itself with some peers and either the platform
  or a peer that lately heard of it. If nobody answers, it joins after a
  bounded wait with what the platform gave, which a stale platform may have put
  behind what the former process had in force.
- Reads by nodes that aren't chosen readers wait for a moment of their own in a
  period that grows with the fleet. It is what keeps the whole fleet within its
  share; the price is that a node without any peer waits up to one period.

The node's side of the bargain:

- It calls [`Disseminate::handle`] with [`Event::Wakeup`] when
  [`Disseminate::next_wakeup`] has come; too early is harmless.
- Each [`Action::Send`] is answered by one [`Event::Reply`] or
  [`Event::CallFailed`] with the same [`CallId`]; a late or missing answer is
  taken for a failure after [`SpreadConfig::call_timeout`].
- Each [`Action::ReadSource`] is answered by one [`Event::SourceRead`].
- A message from a peer goes to [`Disseminate::answer`], and what that returns
  goes back to the peer.

# Example

A node that is alone with the platform reads the list and then the catalogue,
and has a snapshot as soon as it holds both:

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
use sassafrasspool_core::Spread;
use sassafrasspool_core::SpreadConfig;
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
let mut spread = Spread::new(SpreadConfig::default(), local, 7, now);
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
pub use self::list_proof::ListProof;
pub use self::local::LocalNode;
pub use self::machine::Spread;
pub use self::message::Announce;
pub use self::message::PeerMessage;
pub use self::message::Pull;
pub use self::message::Reconcile;
pub use self::message::Sync;
pub use self::naive::Naive;
pub use self::reply::PeerReply;
pub use self::reply::SyncReply;
pub use self::status::SpreadStatus;

mod action;
mod audit;
mod body;
mod call;
mod calls;
mod config;
mod disseminate;
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

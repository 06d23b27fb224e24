/*!
Judging a recorded run.

While a fleet runs, its nodes, callers and targets record what happened as
typed [`Event`]s. [`check`] reads the whole record afterwards and returns every
[`Violation`] of what must always hold. It knows nothing of how the decisions
are made, so that a fault in them can't hide itself here.

| promise | what breaks it |
|---|---|
| [`Promise::NoStepBack`] | a node puts an older version in force than it had, another content of the same revision, or serves a request by one |
| [`Promise::NoDangling`] | a snapshot in force has a route or endpoint whose service it lacks |
| [`Promise::AllOrNothing`] | a bad or unpublished version is in force, or content differs from what the same versions are elsewhere |
| [`Promise::WholeAnswer`] | an answer is another request's, is cut short, comes twice, or never |
| [`Promise::TrueRefusal`] | a request refused as not run was run |
| [`Promise::AtMostOnce`] | an operation that may not be repeated runs a second time |
| [`Promise::LeavingRests`] | a target starts work longer than a bound after it began to leave |
| [`Promise::GracefulStop`] | a planned stop ends with work in flight |
| [`Promise::InForceSoon`] | a good version isn't in force on a reachable node within a bound |

# Example

```
use sassafrasspool_core::Tick;
use sassafrasspool_core::history::Bounds;
use sassafrasspool_core::history::Event;
use sassafrasspool_core::history::History;
use sassafrasspool_core::history::OperationId;
use sassafrasspool_core::history::Promise;
use sassafrasspool_core::history::RequestId;
use sassafrasspool_core::history::check;

let request = RequestId(1);
let mut history = History::new();
let sent = Event::Sent { request, operation: OperationId(1), repeatable: false };
history.record(Tick::from_millis(1), sent);
let found = check(&history, &Bounds::default());
assert_eq!(found[0].promise(), Promise::WholeAnswer);
```
*/

pub use self::bounds::Bounds;
pub use self::check::check;
pub use self::event::Event;
pub use self::ids::OperationId;
pub use self::ids::RequestId;
pub use self::promise::Promise;
pub use self::record::History;
pub use self::record::Record;
pub use self::snapshot_facts::Dangling;
pub use self::snapshot_facts::Held;
pub use self::violation::Breach;
pub use self::violation::Violation;

mod bounds;
mod check;
mod event;
mod ids;
mod promise;
mod record;
mod rule;
mod snapshot_facts;
#[cfg(test)]
mod tests;
mod violation;

/*!
Checks a recorded run against the guarantees of the system.

While a fleet runs, its nodes, callers and targets record what happens as
typed [`Event`]s. [`check`] reads the whole record afterwards and returns every
[`Violation`] of a guarantee. The checker shares no logic with the code that
makes the decisions, so that a fault in that code can't hide itself here.

| guarantee | violated if |
|---|---|
| [`Guarantee::NoStepBack`] | a node applies a version older than its current one or other content of the same revision, or routes a request by such a version |
| [`Guarantee::NoDangling`] | a snapshot in force has a route or endpoint whose service is missing from it |
| [`Guarantee::AllOrNothing`] | an invalid or unpublished version is in force, or the content of a pair of versions differs between snapshots |
| [`Guarantee::WholeAnswer`] | an answer belongs to another request, is incomplete, arrives twice or never |
| [`Guarantee::TrueRefusal`] | a request refused as not run was run |
| [`Guarantee::AtMostOnce`] | an operation that may not be repeated runs a second time |
| [`Guarantee::NoWorkWhileLeaving`] | a target starts work later than a bound after it began to leave |
| [`Guarantee::GracefulStop`] | a planned stop ends with requests in flight |
| [`Guarantee::InForceSoon`] | a valid version isn't in force on a reachable node within a bound |

# Example

```
use sassafrasspool_core::Tick;
use sassafrasspool_core::history::Bounds;
use sassafrasspool_core::history::Event;
use sassafrasspool_core::history::Guarantee;
use sassafrasspool_core::history::History;
use sassafrasspool_core::history::OperationId;
use sassafrasspool_core::history::RequestId;
use sassafrasspool_core::history::check;

let request = RequestId(1);
let mut history = History::new();
let sent = Event::Sent { request, operation: OperationId(1), repeatable: false };
history.record(Tick::from_millis(1), sent);
let found = check(&history, &Bounds::default());
assert_eq!(found[0].guarantee(), Guarantee::WholeAnswer);
```
*/

pub use self::bounds::Bounds;
pub use self::check::check;
pub use self::event::Event;
pub use self::event::Restore;
pub use self::guarantee::Guarantee;
pub use self::ids::OperationId;
pub use self::ids::RequestId;
pub use self::record::History;
pub use self::record::Record;
pub use self::snapshot_facts::Dangling;
pub use self::snapshot_facts::SnapshotFacts;
pub use self::violation::Breach;
pub use self::violation::Violation;

mod bounds;
mod check;
mod event;
mod guarantee;
mod ids;
mod record;
mod rule;
mod snapshot_facts;
#[cfg(test)]
mod tests;
mod violation;

/*!
The decision logic of a configuration distribution system for a service mesh,
without I/O, clock or runtime.

Callers pass in time as [`Tick`], randomness as a seeded generator and network
input as events, and get back values that describe the actions to take. A daemon,
a benchmark and a test can therefore run the same code.

# Tour

Operators publish a catalogue. [`catalogue::parse`] checks its text and returns
every fault at once, each with its place:

```
use sassafrasspool_core::Catalogue;
use sassafrasspool_core::Revision;
use sassafrasspool_core::catalogue;

let text = "
kinds:
  approval: {weight: 10}
services:
  adjuster-desk:
    owner: claims-review
    class: critical
    limits: {rate_per_s: 200, concurrency: 10, deadline_ms: 2000}
    routes:
      - {path: /adjuster/approvals, kind: approval, idempotent: false}
";
let items = catalogue::parse(text)?;
let catalogue = Catalogue::new(Revision::new(1)?, items)?;
assert_eq!(catalogue.version().revision().get(), 1);
# Ok::<(), Box<dyn std::error::Error>>(())
```

A [`Document`] is a set of items with one [`Version`]. A [`Delta`] describes the
difference between two versions; it applies only to the base from which it was made,
and only if the result has the announced digest. A [`Snapshot`] binds a catalogue to
an instance list and is used to route requests.
*/

mod admit;
mod caller_timeouts;
pub mod catalogue;
mod class;
mod cold_tracker;
mod deadline;
mod dedup;
mod document;
mod drain;
mod eject;
mod endpoint;
mod error;
mod fault;
mod generation_tracker;
pub mod history;
mod id;
mod instance;
mod link;
mod load;
mod membership;
mod outcome;
mod quarantine;
mod reader;
mod request;
mod request_rate;
mod retry;
mod returns;
mod route;
mod snapshot;
mod spread;
mod stream;
mod target_limit;
#[cfg(test)]
mod testing;
mod tick;
mod version;
pub mod yaml;

pub use crate::admit::Admission;
pub use crate::admit::AdmissionDecision;
pub use crate::admit::AdmissionRequest;
pub use crate::admit::AdmissionSettings;
pub use crate::admit::ColdLimit;
pub use crate::admit::ColdTolerance;
pub use crate::admit::Permit;
pub use crate::admit::Queued;
pub use crate::admit::Waker;
pub use crate::caller_timeouts::CallerTimeouts;
pub use crate::catalogue::CallerLimits;
pub use crate::catalogue::Catalogue;
pub use crate::catalogue::CatalogueItem;
pub use crate::catalogue::ColdStart;
pub use crate::catalogue::Evacuation;
pub use crate::catalogue::Homes;
pub use crate::catalogue::HostName;
pub use crate::catalogue::ItemKey;
pub use crate::catalogue::Kind;
pub use crate::catalogue::Limits;
pub use crate::catalogue::RetryLimits;
pub use crate::catalogue::Route;
pub use crate::catalogue::RoutePath;
pub use crate::catalogue::ServiceEntry;
pub use crate::catalogue::Share;
pub use crate::class::Class;
pub use crate::cold_tracker::ColdCause;
pub use crate::cold_tracker::ColdProbe;
pub use crate::cold_tracker::ColdTracker;
pub use crate::deadline::Deadline;
pub use crate::dedup::Attempt;
pub use crate::dedup::AttemptDecision;
pub use crate::dedup::DedupSettings;
pub use crate::dedup::DedupWindow;
pub use crate::dedup::RequestKey;
pub use crate::dedup::RunPermit;
pub use crate::dedup::StoredAnswer;
pub use crate::document::Delta;
pub use crate::document::Document;
pub use crate::document::Item;
pub use crate::drain::AtomicWord;
pub use crate::drain::Drain;
pub use crate::drain::Draining;
pub use crate::drain::Gate;
pub use crate::drain::GatePass;
pub use crate::drain::Progress;
pub use crate::drain::Serving;
pub use crate::drain::Stopped;
pub use crate::eject::AttemptOutcome;
pub use crate::eject::EjectSettings;
pub use crate::endpoint::EndpointState;
pub use crate::endpoint::Phase;
pub use crate::error::Error;
pub use crate::error::Result;
pub use crate::error::Step;
pub use crate::fault::Fault;
pub use crate::fault::Faults;
pub use crate::fault::Place;
pub use crate::generation_tracker::GenerationTracker;
pub use crate::id::DomainName;
pub use crate::id::InstanceId;
pub use crate::id::KindName;
pub use crate::id::OwnerName;
pub use crate::id::RegionName;
pub use crate::id::ServiceName;
pub use crate::id::TargetId;
pub use crate::instance::Instance;
pub use crate::instance::InstanceList;
pub use crate::instance::InstanceState;
pub use crate::instance::TargetGeneration;
pub use crate::link::Link;
pub use crate::link::LinkRate;
pub use crate::link::LinkReport;
pub use crate::link::LinkRequest;
pub use crate::link::LinkReservation;
pub use crate::link::LinkTotals;
pub use crate::link::Transfer;
pub use crate::load::LoadReport;
pub use crate::membership::Incarnation;
pub use crate::outcome::Failure;
pub use crate::outcome::Loss;
pub use crate::outcome::LossCause;
pub use crate::outcome::Outcome;
pub use crate::outcome::Reason;
pub use crate::outcome::Refusal;
pub use crate::quarantine::ANSWER_EXEMPTION;
pub use crate::quarantine::CRASHES_TO_QUARANTINE;
pub use crate::quarantine::Content;
pub use crate::quarantine::Fingerprint;
pub use crate::quarantine::Observation;
pub use crate::quarantine::QuarantineDecision;
pub use crate::quarantine::QuarantineState;
pub use crate::quarantine::Report;
pub use crate::quarantine::ReportId;
pub use crate::request::Admitted;
pub use crate::request::Answered;
pub use crate::request::HandedOver;
pub use crate::request::NothingSent;
pub use crate::request::Received;
pub use crate::request::Request;
pub use crate::request_rate::RequestRate;
pub use crate::retry::Hop;
pub use crate::retry::RetryBudget;
pub use crate::retry::RetryDecision;
pub use crate::retry::RetryState;
pub use crate::returns::CallerTrace;
pub use crate::returns::Redeemed;
pub use crate::returns::ReturnPromises;
pub use crate::returns::ReturnStatus;
pub use crate::route::Intake;
pub use crate::route::Locality;
pub use crate::route::Meters;
pub use crate::route::Picked;
pub use crate::route::Picker;
pub use crate::route::RouteSettings;
pub use crate::snapshot::BoundRoute;
pub use crate::snapshot::BoundService;
pub use crate::snapshot::BoundShare;
pub use crate::snapshot::Endpoint;
pub use crate::snapshot::EndpointKey;
pub use crate::snapshot::ServiceKey;
pub use crate::snapshot::Snapshot;
pub use crate::spread::Action;
pub use crate::spread::Announce;
pub use crate::spread::Applied;
pub use crate::spread::AuditEvent;
pub use crate::spread::Body;
pub use crate::spread::Call;
pub use crate::spread::CallId;
pub use crate::spread::Contact;
pub use crate::spread::Disseminate;
pub use crate::spread::Event;
pub use crate::spread::Freshness;
pub use crate::spread::Head;
pub use crate::spread::Heads;
pub use crate::spread::ListProof;
pub use crate::spread::LocalNode;
pub use crate::spread::MAX_BODY_BYTES;
pub use crate::spread::NaiveSpread;
pub use crate::spread::Origin;
pub use crate::spread::PeerMessage;
pub use crate::spread::PeerReply;
pub use crate::spread::Pull;
pub use crate::spread::Reconcile;
pub use crate::spread::SourceResult;
pub use crate::spread::SpreadConfig;
pub use crate::spread::SpreadMachine;
pub use crate::spread::SpreadStatus;
pub use crate::spread::StreamProof;
pub use crate::spread::StreamProofs;
pub use crate::spread::Sync;
pub use crate::spread::SyncReply;
pub use crate::stream::Stream;
pub use crate::target_limit::TargetLimitTracker;
pub use crate::tick::Tick;
pub use crate::version::Digest;
pub use crate::version::Epoch;
pub use crate::version::Revision;
pub use crate::version::Version;

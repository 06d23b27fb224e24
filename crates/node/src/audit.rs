//! The audit trail: every change of state, in a bounded ring for operators
//! and as a structured log line.

pub use self::trail::AuditTrail;

mod record;
#[cfg(test)]
mod tests;
mod trail;

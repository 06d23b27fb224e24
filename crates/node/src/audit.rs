//! The audit trail: every state change, in bounded rings for operators and as
//! a structured log line.

pub use self::trail::AuditTrail;

mod record;
#[cfg(test)]
mod tests;
mod trail;

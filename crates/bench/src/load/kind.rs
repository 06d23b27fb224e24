//! The kinds of calls in a load mix.

use sassafrasspool_core::Class;

/// The properties of the calls of one kind.
#[derive(Debug, Clone, PartialEq)]
pub struct CallKind {
    /// The kind's name in the catalogue.
    pub name: &'static str,
    /// The path that it is sent to.
    pub path: &'static str,
    /// Its class in the catalogue.
    pub class: Class,
    /// Weight of one answered call.
    pub weight: u32,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Which of its calls carry a request key.
    pub keys: Keys,
    /// Its share of all calls, relative to the other kinds' shares.
    pub share: u32,
    /// Longest answer that is requested, in bytes of the pattern.
    pub answer_bytes: usize,
    /// Longest request body, in bytes.
    pub request_bytes: usize,
}

/// Which calls carry a request key, by which retries are deduplicated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Keys {
    /// No call.
    None,
    /// Every call.
    All,
    /// Each call with probability 1/2.
    Half,
}

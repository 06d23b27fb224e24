//! Kinds of calls in a mix.

use sassafrasspool_core::Class;

/// What the calls of one kind have in common.
#[derive(Debug, Clone, PartialEq)]
pub struct CallKind {
    /// The kind's name in the catalogue.
    pub name: &'static str,
    /// Where it is sent.
    pub path: &'static str,
    /// Its class in the catalogue.
    pub class: Class,
    /// How much one answered call counts.
    pub weight: u32,
    /// Whether it may run twice without harm.
    pub idempotent: bool,
    /// Whether its calls carry keys.
    pub keys: Keys,
    /// Its share among all kinds, relative to theirs.
    pub share: u32,
    /// The longest answer that is asked for, in bytes of pattern.
    pub answer_bytes: usize,
    /// The longest body that is sent, in bytes.
    pub request_bytes: usize,
}

/// Whether calls carry a key, by which repeats are known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Keys {
    /// Never.
    None,
    /// On every call.
    All,
    /// On every other call.
    Half,
}

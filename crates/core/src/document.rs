//! A published value as a keyed set of items. The cost of a change depends on
//! the number of changed items, not on the size of the document.
//!
//! The digest of a document is computed over the digests of its items in key
//! order. A node that applies a delta recomputes this digest, so a delta that
//! arrives out of order or twice is rejected instead of applied.

pub use self::delta::Delta;
pub use self::item::Item;
pub use self::versioned::Document;

mod delta;
mod item;
#[cfg(test)]
mod tests;
mod versioned;

//! A published value as a keyed set of items, so that a change costs what
//! changed and not what is held.
//!
//! The digest of a document is taken over the digests of its items in key
//! order. Whoever applies a delta computes the same digest again: a delta
//! that crossed another, or came twice, is refused instead of applied.

pub use self::delta::Delta;
pub use self::held::Document;
pub use self::item::Item;

mod delta;
mod held;
mod item;
#[cfg(test)]
mod tests;

//! What nodes say of the endpoints beside them.
//!
//! Only the node beside a target speaks for it. The platform's list lags, so
//! that a leaving instance is known by its own word: a record that travels
//! from node to node, of which the highest wins.

pub use self::incarnation::Incarnation;
pub(crate) use self::table::Members;
pub(crate) use self::table::Merged;

mod incarnation;
mod table;
#[cfg(test)]
mod tests;

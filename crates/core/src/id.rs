//! Checked names. Each kind of name is a type of its own, so that an owner
//! can't stand where a service is meant.

pub use self::names::DomainName;
pub use self::names::InstanceId;
pub use self::names::KindName;
pub use self::names::OwnerName;
pub use self::names::RegionName;
pub use self::names::ServiceName;
pub use self::names::TargetId;

mod check;
mod names;
#[cfg(test)]
mod tests;

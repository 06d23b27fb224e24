//! Validated names. Each kind of name has its own type, so that the compiler rejects
//! an owner's name in place of a service's name.

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

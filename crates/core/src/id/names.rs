//! The kinds of names, made by one macro since they differ only in meaning.

use std::fmt;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use super::check::check_name;
use crate::Error;
use crate::Result;

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident, $what:literal) => {
        $(#[$doc])*
        ///
        /// # Invariants
        ///
        /// 1 to 64 bytes of `a-z`, `0-9`, `-`, `_` and `.`, beginning with a
        /// letter or digit. Cloning shares the text.
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "Arc<str>")]
        pub struct $name(Arc<str>);

        impl $name {
            /// Checks and takes a name.
            ///
            /// # Errors
            ///
            /// Fails if it is empty, longer than 64 bytes or has a byte that
            /// names may not have.
            pub fn new(name: &str) -> Result<$name> {
                check_name($what, name)?;
                // INVARIANT: The name was just checked.
                Ok($name(Arc::from(name)))
            }

            /// The name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl TryFrom<Arc<str>> for $name {
            type Error = Error;

            fn try_from(name: Arc<str>) -> Result<$name> {
                check_name($what, &name)?;
                // INVARIANT: The name was just checked.
                Ok($name(name))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

name_type!(
    /// The name of a service.
    ServiceName, "service name");
name_type!(
    /// The name of a target instance, unique over the whole fleet and over
    /// its life: a replacement has a name of its own or a higher incarnation.
    InstanceId, "instance id");
name_type!(
    /// The name of a failure domain.
    DomainName, "failure domain");
name_type!(
    /// The name of a region, which holds failure domains.
    RegionName, "region");
name_type!(
    /// The name of a kind of request, which has a weight.
    KindName, "kind");
name_type!(
    /// The name of the team that owns a catalogue entry.
    OwnerName, "owner");
name_type!(
    /// The name of one life of a target: each start of it has another.
    TargetId, "target id");

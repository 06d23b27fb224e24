//! The platform's number of an accepted change.

use std::cmp::Ordering;
use std::cmp::Reverse;
use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;
use serde::de;

use crate::Epoch;
use crate::Error;
use crate::Result;
use crate::Step;

/// The number that the platform assigned to an accepted change, with the epoch in which it
/// did. The number grows with each change of an epoch, and may be lower in the next epoch.
///
/// A revision is provisional if it was read before its epoch had settled. An epoch begins
/// with the contents of an older copy, and settles once writers have had the time to repeat
/// what the copy lacks.
///
/// Settled revisions are ordered by epoch and number. Provisional ones are older than all of
/// these. Of two provisional revisions the one of the earlier epoch is newer, since it was
/// read before the later copy was in use.
///
/// As text, and in JSON, a revision is its number, `2:18` for number 18 of epoch 2, or
/// `~2:18` if it is provisional.
///
/// # Invariants
///
/// The number is at least one, since zero would mean that nothing was published. Revisions
/// of the first epoch are settled.
///
/// # Example
///
/// ```
/// use sassafrasspool_core::Epoch;
/// use sassafrasspool_core::Revision;
///
/// let before = Revision::new(25).expect("a revision");
/// let after = Revision::in_epoch(Epoch::new(1), 20).expect("a revision");
/// assert!(before < after);
/// assert!(after.provisional() < before);
/// assert_eq!(after.to_string(), "1:20");
/// assert_eq!("~1:20".parse::<Revision>().expect("a revision"), after.provisional());
/// ```
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct Revision {
    epoch: Epoch,
    number: u64,
    provisional: bool,
}

impl Revision {
    /// Creates a revision of the first epoch from its number.
    ///
    /// # Errors
    ///
    /// Fails on zero.
    pub fn new(n: u64) -> Result<Revision> {
        Revision::in_epoch(Epoch::FIRST, n)
    }

    /// Creates a settled revision of an epoch from its number.
    ///
    /// # Errors
    ///
    /// Fails on zero.
    pub fn in_epoch(epoch: Epoch, number: u64) -> Result<Revision> {
        if number == 0 {
            return Err(Error::new(Step::Check, "a revision is at least 1"));
        }
        // INVARIANT: Zero was rejected above.
        Ok(Revision {
            epoch,
            number,
            provisional: false,
        })
    }

    /// This revision as one that was read before its epoch had settled.
    pub fn provisional(self) -> Revision {
        // INVARIANT: The first epoch has no copy that it begins with.
        Revision {
            provisional: self.epoch != Epoch::FIRST,
            ..self
        }
    }

    /// This revision as one that was read after its epoch had settled.
    pub const fn settled(self) -> Revision {
        Revision {
            provisional: false,
            ..self
        }
    }

    /// Whether it was read before its epoch had settled.
    pub const fn is_provisional(self) -> bool {
        self.provisional
    }

    /// The epoch in which the platform assigned the number.
    pub const fn epoch(self) -> Epoch {
        self.epoch
    }

    /// The revision as a number, which is unique only within its epoch.
    pub const fn get(self) -> u64 {
        self.number
    }
}

impl Ord for Revision {
    fn cmp(&self, other: &Revision) -> Ordering {
        let epochs = match (self.provisional, other.provisional) {
            (false, false) => self.epoch.cmp(&other.epoch),
            (true, true) => Reverse(self.epoch).cmp(&Reverse(other.epoch)),
            (provisional, _) => return provisional.cmp(&!provisional).reverse(),
        };
        epochs.then(self.number.cmp(&other.number))
    }
}

impl PartialOrd for Revision {
    fn partial_cmp(&self, other: &Revision) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl fmt::Debug for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Revision({self})")
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mark = if self.provisional { "~" } else { "" };
        match self.epoch {
            Epoch::FIRST => write!(f, "{}", self.number),
            epoch => write!(f, "{mark}{epoch}:{}", self.number),
        }
    }
}

impl FromStr for Revision {
    type Err = Error;

    fn from_str(text: &str) -> Result<Revision> {
        let invalid = || Error::new(Step::Check, format!("{text:?} isn't a revision"));
        let (provisional, settled_text) = match text.strip_prefix('~') {
            Some(rest) => (true, rest),
            None => (false, text),
        };
        let (epoch, number) = settled_text.split_once(':').unwrap_or(("0", settled_text));
        let epoch = epoch.parse().map_err(|_| invalid())?;
        let number = number.parse().map_err(|_| invalid())?;
        let revision = Revision::in_epoch(Epoch::new(epoch), number)?;
        Ok(match provisional {
            true => revision.provisional(),
            false => revision,
        })
    }
}

impl Serialize for Revision {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        if !serializer.is_human_readable() {
            return (self.epoch, self.number, self.provisional).serialize(serializer);
        }
        match self.epoch {
            Epoch::FIRST => serializer.serialize_u64(self.number),
            _ => serializer.collect_str(self),
        }
    }
}

impl<'de> Deserialize<'de> for Revision {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Revision, D::Error> {
        if deserializer.is_human_readable() {
            return deserializer.deserialize_any(TextVisitor);
        }
        let (epoch, number, provisional) = <(Epoch, u64, bool)>::deserialize(deserializer)?;
        let revision = Revision::in_epoch(epoch, number).map_err(de::Error::custom)?;
        Ok(match provisional {
            true => revision.provisional(),
            false => revision,
        })
    }
}

/// Decodes a number or a text.
#[derive(Debug)]
struct TextVisitor;

impl de::Visitor<'_> for TextVisitor {
    type Value = Revision;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a revision")
    }

    fn visit_u64<E: de::Error>(self, n: u64) -> Result<Revision, E> {
        Revision::new(n).map_err(E::custom)
    }

    fn visit_str<E: de::Error>(self, text: &str) -> Result<Revision, E> {
        text.parse().map_err(E::custom)
    }
}

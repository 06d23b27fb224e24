use std::collections::HashSet;

use crate::Outcome;
use crate::Reason;

#[test]
fn names_lead_back_to_what_they_name() {
    let mut seen = HashSet::new();
    for reason in Reason::ALL {
        assert_eq!(Reason::from_name(reason.as_str()), Some(reason));
        assert!(seen.insert(reason.as_str()), "{reason} stands twice");
        assert!(!(reason.is_misplaced() && reason.is_overload()));
    }
    for outcome in [Outcome::NotRun, Outcome::Unknown] {
        assert_eq!(Outcome::from_name(outcome.as_str()), Some(outcome));
    }
}

use std::collections::HashSet;

use crate::Outcome;
use crate::Reason;

#[test]
fn each_reason_and_outcome_is_found_by_its_name() {
    let mut seen = HashSet::new();
    for reason in Reason::ALL {
        assert_eq!(Reason::from_name(reason.as_str()), Some(reason));
        assert!(
            seen.insert(reason.as_str()),
            "the name {reason} is used twice"
        );
        assert!(!(reason.is_wrong_endpoint() && reason.is_overload()));
    }
    for outcome in [Outcome::NotRun, Outcome::Unknown] {
        assert_eq!(Outcome::from_name(outcome.as_str()), Some(outcome));
    }
}

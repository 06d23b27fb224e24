use rstest::rstest;

use super::is_in_order;

/// Answers to r-0, r-1 and r-2 in the order of their arrival.
#[derive(Debug)]
struct Case {
    arrived: &'static [&'static str],
    in_order: bool,
}

// A caller pipelines three requests and matches answers by their order. If the second
// answer arrives first, the caller assigns answers to the wrong requests.
#[rstest]
#[case::all(Case { arrived: &["r-0", "r-1", "r-2"], in_order: true })]
#[case::cut_off(Case { arrived: &["r-0"], in_order: true })]
#[case::one_refused(Case { arrived: &["r-0", "r-2"], in_order: true })]
#[case::reordered(Case { arrived: &["r-1", "r-0", "r-2"], in_order: false })]
fn reordered_answers_are_detected(#[case] case: Case) {
    let answer = |id: &&str| format!("HTTP/1.1 200 OK\r\nx: y\r\n\r\n{id}\n");
    let answers: String = case.arrived.iter().map(answer).collect();
    let ids = ["r-0", "r-1", "r-2"].map(str::to_owned);
    assert_eq!(is_in_order(&answers, &ids), case.in_order);
}

//! The exhaustive walk, and that it finds planted faults.

use {
    rstest::rstest,
    testbed::model::{Bounds, walk},
};

#[test]
fn nothing_acknowledged_is_lost() {
    let it = walk(Bounds::small());
    println!("{} states", it.states);
    assert_eq!(it.violation, None);
    assert!(it.states > 100_000, "only {} states", it.states);
}

#[rstest]
#[case::acknowledging_without_a_majority(Bounds { gate: 1, ..Bounds::small() })]
#[case::promoting_without_a_majority(Bounds { fence: 1, ..Bounds::small() })]
fn planted_faults_are_found(#[case] bounds: Bounds) {
    let it = walk(bounds);
    assert!(it.violation.is_some(), "{} states without a violation", it.states);
}

#[test]
fn a_server_that_forgets_under_its_name_loses_what_was_acknowledged() {
    // Why the contract asks for another name.
    let it = walk(Bounds { forgets: 1, ..Bounds::small() });
    println!("{} states: {:?}", it.states, it.violation);
    assert!(it.violation.is_some(), "{} states without a violation", it.states);
}

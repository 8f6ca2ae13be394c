//! The exhaustive walk over servers that start again with nothing, and that it finds planted faults.

use {
    rstest::rstest,
    testbed::forget::{Bounds, walk},
};

#[rstest]
#[case::the_primary_is_replaced(Bounds::changing())]
#[case::what_was_acknowledged_is_read(Bounds::reading())]
fn nothing_acknowledged_is_lost_or_unread_when_a_server_forgets(#[case] bounds: Bounds) {
    let it = walk(bounds);
    println!("{} states", it.states);
    assert_eq!(it.violation, None);
    assert!(it.whole, "ended at {} states", it.states);
    assert!(it.states > 10_000, "only {} states", it.states);
}

#[rstest]
#[case::servers_told_apart_by_their_id_alone(Bounds { by_id: true, ..Bounds::changing() })]
#[case::the_same_where_it_is_read(Bounds { by_id: true, ..Bounds::reading() })]
#[case::a_replica_counts_at_once(Bounds { no_bar: true, ..Bounds::changing() })]
#[case::the_last_copy_is_not_waited_for(Bounds { no_wait: true, ..Bounds::changing() })]
#[case::whoever_says_so_is_the_primary(Bounds { no_claim: true, ..Bounds::reading() })]
fn planted_faults_are_found(#[case] bounds: Bounds) {
    let it = walk(bounds);
    println!("{} states: {:?}", it.states, it.violation);
    assert!(it.violation.is_some(), "{} states without a violation", it.states);
}

#[rstest]
#[case::a_run_that_is_heard_before_it_is_listed(Bounds { unlisted: true, ..Bounds::reading() })]
#[case::an_order_that_meets_a_later_run(Bounds { late_order: true, ..Bounds::changing() })]
#[case::two_of_three_that_forget(Bounds { restarts: 2, ..Bounds::changing() })]
fn what_the_design_doesn_t_cover(#[case] bounds: Bounds) {
    let it = walk(bounds);
    println!("{} states: {:?}", it.states, it.violation);
    assert!(it.violation.is_some(), "{} states without a violation: it is covered", it.states);
}

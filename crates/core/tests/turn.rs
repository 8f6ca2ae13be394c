//! Who runs next at a busy server.

use {
    pondtrack_core::turn::{Rank, Turns},
    rstest::rstest,
};

const PLAIN: Rank = Rank { pinned: false, priority: 2, aim: 1_000, cost: 20 };

#[rstest]
#[case::transactions_first(Rank { pinned: true, priority: 9, ..PLAIN }, Rank { priority: 0, ..PLAIN })]
#[case::then_priority(Rank { priority: 1, cost: 90, ..PLAIN }, PLAIN)]
#[case::then_whoever_is_in_time(Rank { aim: 900, cost: 90, ..PLAIN }, Rank { aim: 400, ..PLAIN })]
#[case::then_the_shorter(PLAIN, Rank { cost: 40, ..PLAIN })]
fn the_first_of_two(#[case] first: Rank, #[case] second: Rank) {
    for (a, b) in [(0, 1), (1, 0)] {
        let mut it = Turns::default();
        while it.start() {}
        let ranks = [first, second];
        it.wait(ranks[a], a);
        it.wait(ranks[b], b);
        it.end();
        assert_eq!(it.next(500), Some(0));
    }
}

#[test]
fn those_that_are_alike_go_by_arrival() {
    let mut it = Turns::default();
    while it.start() {}
    for n in 0..3 {
        it.wait(PLAIN, n);
    }
    for n in 0..3 {
        it.end();
        assert_eq!(it.next(0), Some(n));
    }
    assert_eq!(it.next(0), None, "nobody waits");
}

#[test]
fn slow_answers_shrink_the_limit_to_one_and_quick_ones_bring_it_back() {
    let mut it = Turns::<()>::default();
    let most = it.limit();
    for _ in 0..50 {
        it.learn(false);
    }
    assert_eq!(it.limit(), 1);
    assert!(it.start());
    assert!(!it.start());
    for _ in 0..50 {
        it.learn(true);
    }
    assert_eq!(it.limit(), most);
}

#[test]
fn nobody_overtakes_those_that_wait() {
    let mut it = Turns::default();
    while it.start() {}
    it.wait(PLAIN, ());
    it.end();
    assert!(!it.start(), "the turn is for the one that waits");
    assert_eq!(it.next(0), Some(()));
}

//! Every state chart: no state out of reach, no event unhandled.

use {
    pondtrack_core::{
        lifecycle::{self, ConnEvent, ConnState, SessionEvent, SessionState},
        member::{self, MemberEvent, MemberPhase},
        plan::{self, PlanEvent, PlanPhase},
        promotion::{self, PromotionEvent, PromotionState},
        state_chart::StateChart,
    },
    std::{fmt::Debug, str::FromStr},
    strum::IntoEnumIterator,
};

fn check<S, E>(chart: &StateChart<S, E>)
where
    S: Copy + Ord + Debug + FromStr + IntoEnumIterator,
    E: Copy + Ord + Debug + FromStr + IntoEnumIterator,
{
    let states: Vec<S> = S::iter().collect();
    let events: Vec<E> = E::iter().collect();
    assert!(chart.unreachable(&states).is_empty(), "{:?}", chart.unreachable(&states));
    assert!(chart.unhandled(&states, &events).is_empty(), "{:?}", chart.unhandled(&states, &events));
}

#[test]
fn charts_are_whole() {
    check::<SessionState, SessionEvent>(lifecycle::session_chart());
    check::<ConnState, ConnEvent>(lifecycle::connection_chart());
    check::<PromotionState, PromotionEvent>(promotion::chart());
    check::<MemberPhase, MemberEvent>(member::chart());
    check::<PlanPhase, PlanEvent>(plan::chart());
}

#[test]
fn faults_in_a_chart_are_found() {
    let gap = "initial = \"free\"\nfinal = [\"closed\"]\nmoves = [[\"free\", \"lend\", \"busy\"]]";
    let chart: StateChart<ConnState, ConnEvent> = StateChart::parse(gap).expect("it can be read");
    let states: Vec<ConnState> = ConnState::iter().collect();
    let events: Vec<ConnEvent> = ConnEvent::iter().collect();
    assert_eq!(chart.unreachable(&states), [ConnState::Pinned, ConnState::Closed]);
    assert!(chart.unhandled(&states, &events).contains(&(ConnState::Busy, ConnEvent::Pin)));
    for bad in [
        "initial = \"nowhere\"\nmoves = []",
        "initial = \"free\"\nmoves = [[\"free\", \"lend\", \"busy\"], [\"free\", \"lend\", \"closed\"]]",
        "initial = 1",
    ] {
        assert!(StateChart::<ConnState, ConnEvent>::parse(bad).is_err(), "{bad}");
    }
}

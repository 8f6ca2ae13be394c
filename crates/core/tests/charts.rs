//! State charts: every state is reachable and every event is handled, so that no event fails at run time.

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
fn charts_are_complete() {
    check::<SessionState, SessionEvent>(lifecycle::session_chart());
    check::<ConnState, ConnEvent>(lifecycle::connection_chart());
    check::<PromotionState, PromotionEvent>(promotion::chart());
    check::<MemberPhase, MemberEvent>(member::chart());
    check::<PlanPhase, PlanEvent>(plan::chart());
}

#[test]
fn defective_charts_are_rejected() {
    let incomplete = "initial = \"free\"\nfinal = [\"closed\"]\nmoves = [[\"free\", \"lend\", \"busy\"]]";
    let chart: StateChart<ConnState, ConnEvent> = StateChart::parse(incomplete).expect("valid syntax");
    let states: Vec<ConnState> = ConnState::iter().collect();
    let events: Vec<ConnEvent> = ConnEvent::iter().collect();
    assert_eq!(chart.unreachable(&states), [ConnState::Pinned, ConnState::Closed]);
    assert!(chart.unhandled(&states, &events).contains(&(ConnState::Busy, ConnEvent::Pin)));
    for invalid in [
        "initial = \"nowhere\"\nmoves = []",
        "initial = \"free\"\nmoves = [[\"free\", \"lend\", \"busy\"], [\"free\", \"lend\", \"closed\"]]",
        "initial = 1",
    ] {
        assert!(StateChart::<ConnState, ConnEvent>::parse(invalid).is_err(), "{invalid}");
    }
}

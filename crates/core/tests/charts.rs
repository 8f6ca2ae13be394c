//! Every state chart: no state out of reach, no event unhandled.

use {
    pondtrack_core::{
        chart::Chart,
        life::{self, ConnEvent, ConnState, SessionEvent, SessionState},
        member::{self, Life, MemberEvent},
        plan::{self, PlanEvent, Stage},
        switch::{self, SwitchEvent, SwitchState},
    },
    std::{fmt::Debug, str::FromStr},
    strum::IntoEnumIterator,
};

fn check<S, E>(chart: &Chart<S, E>)
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
    check::<SessionState, SessionEvent>(life::session());
    check::<ConnState, ConnEvent>(life::connection());
    check::<SwitchState, SwitchEvent>(switch::chart());
    check::<Life, MemberEvent>(member::chart());
    check::<Stage, PlanEvent>(plan::chart());
}

#[test]
fn faults_in_a_chart_are_found() {
    let gap = "initial = \"free\"\nfinal = [\"closed\"]\nmoves = [[\"free\", \"lend\", \"busy\"]]";
    let chart: Chart<ConnState, ConnEvent> = Chart::parse(gap).expect("it can be read");
    let states: Vec<ConnState> = ConnState::iter().collect();
    let events: Vec<ConnEvent> = ConnEvent::iter().collect();
    assert_eq!(chart.unreachable(&states), [ConnState::Pinned, ConnState::Closed]);
    assert!(chart.unhandled(&states, &events).contains(&(ConnState::Busy, ConnEvent::Pin)));
    for bad in [
        "initial = \"nowhere\"\nmoves = []",
        "initial = \"free\"\nmoves = [[\"free\", \"lend\", \"busy\"], [\"free\", \"lend\", \"closed\"]]",
        "initial = 1",
    ] {
        assert!(Chart::<ConnState, ConnEvent>::parse(bad).is_err(), "{bad}");
    }
}

//! Tests of the command line's output and argument parsing.

use {
    pondtrack::{
        command::{Command, Intent, options},
        error::{CliError, Kind},
        show::{self, Style},
    },
    pondtrack_proto::{
        Decision, GroupStatus, InstanceStatus, Intent as PlanIntent, LogPosition, Lsn, MemberState,
        MemberStatus, Plan, PlanState, ServerStatus, Step, StepState, Term,
    },
    snapbox::{assert_data_eq, str},
};

fn instance() -> InstanceStatus {
    let member =
        |name: &str, state| MemberStatus { name: name.into(), zone: "cm-hq".into(), state, incarnation: 1 };
    let server = |name: &str, role: &str, draining| ServerStatus {
        name: name.into(),
        zone: "cm-hq".into(),
        role: role.to_owned(),
        term: Term(18),
        received: LogPosition::new(18, 120),
        applied: Lsn(119),
        last_contact_ms: Some(12),
        connections: 3,
        share: 6,
        draining,
    };
    InstanceStatus {
        name: "p0".into(),
        zone: "cm-hq".into(),
        leaving: false,
        sessions: 40,
        members: vec![member("p0", MemberState::Alive), member("p1", MemberState::Dead)],
        groups: vec![GroupStatus {
            name: "parts".into(),
            version: 7,
            homes: vec!["p0".into()],
            servers: vec![server("parts-0", "primary", false), server("parts-1", "replica", true)],
            queued: 0,
            grants: 15,
        }],
        counters: Vec::new(),
    }
}

#[test]
fn fleet_status_table() {
    assert_data_eq!(
        show::status(&Style::default(), &[instance()]),
        str![[r#"
INSTANCE  ZONE   STATE  SESSIONS  HOME OF
p0        cm-hq  alive  40        1 groups
p1        cm-hq  dead   -         0 groups

group parts (version 7, homes p0, seen by p0)
SERVER   ZONE   ROLE              TERM  RECEIVED  APPLIED  CONNECTIONS  HEARD
parts-0  cm-hq  primary           18    18/120    119      3 of 6       12 ms ago
parts-1  cm-hq  replica draining  18    18/120    119      3 of 6       12 ms ago

"#]]
    );
}

fn plan(state: PlanState) -> Plan {
    Plan {
        name: "drain-1a2b3c4d".into(),
        intent: PlanIntent::Drain { group: "parts".into(), server: "parts-0".into() },
        operator: "ann".into(),
        effects: vec!["parts: parts-0 gets no new work".to_owned()],
        basis: vec![("group".to_owned(), "parts".into(), 7)],
        steps: vec![(Step::Leave { instance: "p0".into() }, StepState::Done)],
        state,
        worker: "p0".into(),
        log: vec!["3723004 confirmed by ann at p0".to_owned()],
        change: 0,
    }
}

#[test]
fn plan_before_and_after_confirmation() {
    assert_data_eq!(
        show::proposed_plan(&Style::default(), &plan(PlanState::Proposed)),
        str![[r#"
plan drain-1a2b3c4d (proposed)
  - parts: parts-0 gets no new work
  made from group parts at version 7
nothing has changed yet; to do it: pondtrack confirm drain-1a2b3c4d

"#]]
    );
    assert_data_eq!(
        show::plan(&Style::default(), &plan(PlanState::Done)),
        str![[r#"
plan drain-1a2b3c4d of ann: done
  step 1: done
  01:02:03.004 confirmed by ann at p0

"#]]
    );
}

#[test]
fn decisions_with_evidence() {
    let decision = Decision {
        at_ms: 3_723_004,
        instance: "p0".into(),
        subject: "parts".into(),
        what: "the primary is given up: silent".to_owned(),
        evidence: "parts-0: heard 460 ms ago".to_owned(),
    };
    assert_data_eq!(
        show::decisions(&Style::default(), &[decision]),
        str![[r#"
01:02:03.004 p0 parts: the primary is given up: silent
    because: parts-0: heard 460 ms ago

"#]]
    );
}

#[test]
fn error_with_hint() {
    let error = CliError::new(Kind::Raced, "group parts has changed").hint("pondtrack status");
    assert_data_eq!(
        error.render(),
        str![[r#"
pondtrack: raced: group parts has changed
  hint: pondtrack status

"#]]
    );
}

#[test]
fn dead_instance_is_shown_in_red() {
    let style = Style { colour: true, json: false };
    assert!(show::status(&style, &[instance()]).contains("\u{1b}[31mdead\u{1b}[0m"));
}

#[test]
fn parses_command_lines() {
    let parse = |args: &[&str]| options().run_inner(args).map(|options| options.command);
    let drain = Intent::Drain { group: "parts".to_owned(), server: "parts-0".to_owned() };
    assert_eq!(parse(&["plan", "drain", "parts", "parts-0"]).ok(), Some(Command::Plan(drain)));
    assert_eq!(parse(&["--json", "status"]).ok(), Some(Command::Status));
    assert!(parse(&["plan", "drain", "parts"]).is_err());
    assert!(parse(&["--at", "nowhere", "status"]).is_err());
    assert!(parse(&["explode"]).is_err());
}

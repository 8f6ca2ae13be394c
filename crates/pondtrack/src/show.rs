//! Formatting of results as tables and text.

use {
    crate::command::Colour,
    pondtrack_proto::{Decision, InstanceStatus, Plan, PlanState, StepState},
    std::io::IsTerminal,
};

/// The output format.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Style {
    /// Use of ANSI colours.
    pub colour: bool,
    /// Output as JSON instead of tables.
    pub json: bool,
}

/// Returns true if tables are printed with colour.
///
/// With [`Colour::Auto`], colour requires a terminal and is turned off by the variable `NO_COLOR`.
pub fn has_colour(colour: Colour) -> bool {
    match colour {
        Colour::Always => true,
        Colour::Never => false,
        Colour::Auto => std::io::stdout().is_terminal() && std::env::var_os("NO_COLOR").is_none(),
    }
}

/// The severity of a word, shown as its colour.
#[derive(Clone, Copy)]
enum Severity {
    Good,
    Warn,
    Bad,
}

impl Style {
    fn paint(&self, severity: Severity, text: &str) -> String {
        let code = match severity {
            Severity::Good => 32,
            Severity::Warn => 33,
            Severity::Bad => 31,
        };
        if self.colour { format!("\u{1b}[{code}m{text}\u{1b}[0m") } else { text.to_owned() }
    }

    /// Colours a state or role by its severity.
    fn paint_word(&self, text: &str) -> String {
        let severity = match text {
            "alive" | "primary" | "replica" | "done" => Severity::Good,
            "suspect" | "leaving" | "draining" | "fenced" | "running" | "proposed" => Severity::Warn,
            "dead" | "unreachable" | "failed" | "aborted" => Severity::Bad,
            _ => return text.to_owned(),
        };
        self.paint(severity, text)
    }
}

/// Formats the status of the fleet: the instances, then each group as reported by the first instance that is a home
/// of the group.
pub fn status(style: &Style, all: &[InstanceStatus]) -> String {
    let mut rows = vec![row(&["INSTANCE", "ZONE", "STATE", "SESSIONS", "HOME OF"])];
    let members = all.iter().max_by_key(|s| s.members.len()).map_or(&[][..], |s| &s.members);
    for m in members {
        let own = all.iter().find(|s| s.name == m.name);
        let sessions = own.map_or("-".to_owned(), |s| s.sessions.to_string());
        let homes = own.map_or(0, |s| s.groups.iter().filter(|g| !g.servers.is_empty()).count());
        let state = m.state.to_string();
        rows.push(vec![m.name.to_string(), m.zone.to_string(), state, sessions, format!("{homes} groups")]);
    }
    let mut out = table(style, &rows);
    let mut shown: Vec<&str> = Vec::new();
    for instance in all {
        for g in instance.groups.iter().filter(|g| !g.servers.is_empty()) {
            if shown.contains(&g.name.as_str()) {
                continue;
            }
            shown.push(&g.name);
            out.push_str(&format!(
                "\ngroup {} (version {}, homes {}, seen by {})\n",
                g.name,
                g.version,
                g.homes.iter().map(|home| home.as_str()).collect::<Vec<_>>().join(" "),
                instance.name
            ));
            let mut rows =
                vec![row(&["SERVER", "ZONE", "ROLE", "TERM", "RECEIVED", "APPLIED", "CONNECTIONS", "HEARD"])];
            for s in &g.servers {
                let role = if s.draining { format!("{} draining", s.role) } else { s.role.clone() };
                let last_contact = s.last_contact_ms.map_or("never".to_owned(), |ms| format!("{ms} ms ago"));
                let connections = format!("{} of {}", s.connections, s.share);
                let (term, applied) = (s.term.to_string(), s.applied.to_string());
                let received = s.received.to_string();
                rows.push(vec![
                    s.name.to_string(),
                    s.zone.to_string(),
                    role,
                    term,
                    received,
                    applied,
                    connections,
                    last_contact,
                ]);
            }
            out.push_str(&table(style, &rows));
        }
    }
    out
}

/// Formats a plan that waits for confirmation.
pub fn proposed_plan(style: &Style, plan: &Plan) -> String {
    let mut out = format!("plan {} ({})\n", plan.name, style.paint_word(&plan.state.to_string()));
    for effect in &plan.effects {
        out.push_str(&format!("  - {effect}\n"));
    }
    for (kind, name, version) in &plan.basis {
        out.push_str(&format!("  made from {kind} {name} at version {version}\n"));
    }
    out.push_str(&format!("nothing has changed yet; to do it: pondtrack confirm {}\n", plan.name));
    out
}

/// Formats a plan with its progress.
pub fn plan(style: &Style, plan: &Plan) -> String {
    let mut out =
        format!("plan {} of {}: {}\n", plan.name, plan.operator, style.paint_word(&plan.state.to_string()));
    for (n, (_, state)) in plan.steps.iter().enumerate() {
        let text = match state {
            StepState::Waiting => "waiting".to_owned(),
            StepState::Done => style.paint_word("done"),
            StepState::Failed { reason } => format!("{} ({reason})", style.paint_word("failed")),
        };
        out.push_str(&format!("  step {}: {text}\n", n + 1));
    }
    for line in &plan.log {
        out.push_str(&format!("  {}\n", log_line(line)));
    }
    out
}

/// Formats a list of plans, one per line.
pub fn plans(style: &Style, all: &[Plan]) -> String {
    if all.is_empty() {
        return "there are no plans; pondtrack plan makes one\n".to_owned();
    }
    let mut rows = vec![row(&["PLAN", "OPERATOR", "STATE", "STEPS"])];
    for plan in all {
        let done = plan.steps.iter().filter(|s| s.1 == StepState::Done).count();
        let state = plan.state.to_string();
        let steps = format!("{done} of {}", plan.steps.len());
        rows.push(vec![plan.name.to_string(), plan.operator.to_string(), state, steps]);
    }
    let proposed = all.iter().filter(|plan| plan.state == PlanState::Proposed).count();
    format!("{}{proposed} waiting for confirmation\n", table(style, &rows))
}

/// Formats decisions in the given order.
pub fn decisions(style: &Style, all: &[Decision]) -> String {
    if all.is_empty() {
        return "no decision is recorded; instances forget theirs when they end\n".to_owned();
    }
    let mut out = String::new();
    for decision in all {
        let subject = style.paint(Severity::Warn, &decision.subject);
        out.push_str(&format!(
            "{} {} {subject}: {}\n    because: {}\n",
            time_of_day(decision.at_ms),
            decision.instance,
            decision.what,
            decision.evidence
        ));
    }
    out
}

/// Formats a line of a plan's log, with the leading timestamp as time of day.
pub fn log_line(line: &str) -> String {
    match line.split_once(' ').and_then(|(ms, rest)| Some((ms.parse().ok()?, rest))) {
        Some((ms, rest)) => format!("{} {rest}", time_of_day(ms)),
        None => line.to_owned(),
    }
}

/// Formats a Unix time in milliseconds as time of day in UTC.
fn time_of_day(ms: u64) -> String {
    let s = ms / 1_000;
    format!("{:02}:{:02}:{:02}.{:03}", s / 3_600 % 24, s / 60 % 60, s % 60, ms % 1_000)
}

fn row(cells: &[&str]) -> Vec<String> {
    cells.iter().map(|cell| (*cell).to_owned()).collect()
}

/// Formats rows as a table, with each column as wide as its widest cell. The first row is the heading.
fn table(style: &Style, rows: &[Vec<String>]) -> String {
    let columns = rows.first().map_or(0, Vec::len);
    let width = |c: usize| rows.iter().map(|row| row[c].chars().count()).max().unwrap_or(0);
    let widths: Vec<usize> = (0..columns).map(width).collect();
    let mut out = String::new();
    for row in rows {
        let mut line = String::new();
        for (cell, width) in row.iter().zip(&widths) {
            let padding = " ".repeat(width - cell.chars().count() + 2);
            line.push_str(&style.paint_word(cell));
            line.push_str(&padding);
        }
        out.push_str(line.trim_end());
        out.push('\n');
    }
    out
}

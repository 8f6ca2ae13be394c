//! Tables for people.

use {
    crate::command::Colour,
    pondtrack_proto::{Decision, InstanceStatus, Plan, PlanState, StepState},
    std::io::IsTerminal,
};

/// How things are shown.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Style {
    /// With colour.
    pub colour: bool,
    /// As JSON.
    pub json: bool,
}

/// Whether tables have colour.
pub fn has_colour(it: Colour) -> bool {
    match it {
        Colour::Always => true,
        Colour::Never => false,
        Colour::Auto => std::io::stdout().is_terminal() && std::env::var_os("NO_COLOR").is_none(),
    }
}

/// Shades of a word.
#[derive(Clone, Copy)]
enum Shade {
    Good,
    Warn,
    Bad,
}

impl Style {
    fn paint(&self, shade: Shade, text: &str) -> String {
        let code = match shade {
            Shade::Good => 32,
            Shade::Warn => 33,
            Shade::Bad => 31,
        };
        if self.colour { format!("\u{1b}[{code}m{text}\u{1b}[0m") } else { text.to_owned() }
    }

    fn word(&self, text: &str) -> String {
        let shade = match text {
            "alive" | "primary" | "replica" | "done" => Shade::Good,
            "suspect" | "leaving" | "draining" | "fenced" | "running" | "proposed" => Shade::Warn,
            "dead" | "unreachable" | "failed" | "aborted" => Shade::Bad,
            _ => return text.to_owned(),
        };
        self.paint(shade, text)
    }
}

/// The fleet: instances, then each group as its first reporting home sees it.
pub fn status(look: &Style, all: &[InstanceStatus]) -> String {
    let mut rows = vec![row(&["INSTANCE", "ZONE", "STATE", "SESSIONS", "HOME OF"])];
    let members = all.iter().max_by_key(|it| it.members.len()).map_or(&[][..], |it| &it.members);
    for m in members {
        let own = all.iter().find(|it| it.name == m.name);
        let sessions = own.map_or("-".to_owned(), |it| it.sessions.to_string());
        let homes = own.map_or(0, |it| it.groups.iter().filter(|g| !g.servers.is_empty()).count());
        let state = m.state.to_string();
        rows.push(vec![m.name.to_string(), m.zone.to_string(), state, sessions, format!("{homes} groups")]);
    }
    let mut out = table(look, &rows);
    let mut shown: Vec<&str> = Vec::new();
    for it in all {
        for g in it.groups.iter().filter(|g| !g.servers.is_empty()) {
            if shown.contains(&g.name.as_str()) {
                continue;
            }
            shown.push(&g.name);
            out.push_str(&format!(
                "\ngroup {} (version {}, homes {}, seen by {})\n",
                g.name,
                g.version,
                g.homes.iter().map(|it| it.as_str()).collect::<Vec<_>>().join(" "),
                it.name
            ));
            let mut rows =
                vec![row(&["SERVER", "ZONE", "ROLE", "TERM", "RECEIVED", "APPLIED", "CONNECTIONS", "HEARD"])];
            for s in &g.servers {
                let role = if s.draining { format!("{} draining", s.role) } else { s.role.clone() };
                let heard = s.last_contact_ms.map_or("never".to_owned(), |it| format!("{it} ms ago"));
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
                    heard,
                ]);
            }
            out.push_str(&table(look, &rows));
        }
    }
    out
}

/// A plan that waits for its confirmation.
pub fn proposed_plan(look: &Style, it: &Plan) -> String {
    let mut out = format!("plan {} ({})\n", it.name, look.word(&it.state.to_string()));
    for effect in &it.effects {
        out.push_str(&format!("  - {effect}\n"));
    }
    for (kind, name, version) in &it.basis {
        out.push_str(&format!("  made from {kind} {name} at version {version}\n"));
    }
    out.push_str(&format!("nothing has changed yet; to do it: pondtrack confirm {}\n", it.name));
    out
}

/// A plan with its progress.
pub fn plan(look: &Style, it: &Plan) -> String {
    let mut out = format!("plan {} of {}: {}\n", it.name, it.operator, look.word(&it.state.to_string()));
    for (n, (_, state)) in it.steps.iter().enumerate() {
        let text = match state {
            StepState::Waiting => "waiting".to_owned(),
            StepState::Done => look.word("done"),
            StepState::Failed { reason } => format!("{} ({reason})", look.word("failed")),
        };
        out.push_str(&format!("  step {}: {text}\n", n + 1));
    }
    for line in &it.log {
        out.push_str(&format!("  {}\n", log_line(line)));
    }
    out
}

/// All plans, one a line.
pub fn plans(look: &Style, all: &[Plan]) -> String {
    if all.is_empty() {
        return "there are no plans; pondtrack plan makes one\n".to_owned();
    }
    let mut rows = vec![row(&["PLAN", "OPERATOR", "STATE", "STEPS"])];
    for it in all {
        let done = it.steps.iter().filter(|s| s.1 == StepState::Done).count();
        let state = it.state.to_string();
        let steps = format!("{done} of {}", it.steps.len());
        rows.push(vec![it.name.to_string(), it.operator.to_string(), state, steps]);
    }
    let open = all.iter().filter(|it| it.state == PlanState::Proposed).count();
    format!("{}{open} waiting for confirmation\n", table(look, &rows))
}

/// Decisions, oldest first.
pub fn decisions(look: &Style, all: &[Decision]) -> String {
    if all.is_empty() {
        return "no decision is recorded; instances forget theirs when they end\n".to_owned();
    }
    let mut out = String::new();
    for it in all {
        let subject = look.paint(Shade::Warn, &it.subject);
        out.push_str(&format!(
            "{} {} {subject}: {}\n    because: {}\n",
            time(it.at_ms),
            it.instance,
            it.what,
            it.evidence
        ));
    }
    out
}

/// A line of a plan's log, its time made readable.
pub fn log_line(line: &str) -> String {
    match line.split_once(' ').and_then(|(ms, rest)| Some((ms.parse().ok()?, rest))) {
        Some((ms, rest)) => format!("{} {rest}", time(ms)),
        None => line.to_owned(),
    }
}

/// The time of day in UTC.
fn time(ms: u64) -> String {
    let s = ms / 1_000;
    format!("{:02}:{:02}:{:02}.{:03}", s / 3_600 % 24, s / 60 % 60, s % 60, ms % 1_000)
}

fn row(cells: &[&str]) -> Vec<String> {
    cells.iter().map(|it| (*it).to_owned()).collect()
}

/// Columns as wide as their widest cell; the first row is the heading.
fn table(look: &Style, rows: &[Vec<String>]) -> String {
    let columns = rows.first().map_or(0, Vec::len);
    let width = |c: usize| rows.iter().map(|it| it[c].chars().count()).max().unwrap_or(0);
    let widths: Vec<usize> = (0..columns).map(width).collect();
    let mut out = String::new();
    for it in rows {
        let mut line = String::new();
        for (cell, width) in it.iter().zip(&widths) {
            let pad = " ".repeat(width - cell.chars().count() + 2);
            line.push_str(&look.word(cell));
            line.push_str(&pad);
        }
        out.push_str(line.trim_end());
        out.push('\n');
    }
    out
}

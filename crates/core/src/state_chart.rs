//! State charts, read from files and interpreted.
//!
//! A chart names every pair of state and event: either it moves, or it is ignored on purpose. Anything
//! else is an error at run time and fails the test that checks the charts.

use {
    serde::Deserialize,
    snafu::Snafu,
    std::{fmt::Debug, str::FromStr},
};

/// Why a chart's file is refused.
#[derive(Debug, Snafu)]
pub enum ChartError {
    /// The file is not a chart.
    #[snafu(display("the chart can't be read: {reason}"))]
    Syntax {
        /// What the reader met.
        reason: String,
    },
    /// A name is no state or event of the code.
    #[snafu(display("the chart names {name:?}, which the code doesn't know"))]
    Unknown {
        /// The name.
        name: String,
    },
    /// A pair stands twice.
    #[snafu(display("the chart has {pair} twice"))]
    Duplicate {
        /// The pair.
        pair: String,
    },
}

/// An event that a state doesn't expect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("{event:?} is not expected in {state:?}"))]
pub struct UnexpectedEvent<S: Debug, E: Debug> {
    /// The state.
    pub state: S,
    /// The event.
    pub event: E,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ChartFile {
    initial: String,
    #[serde(rename = "final", default)]
    last: Vec<String>,
    moves: Vec<[String; 3]>,
    #[serde(default)]
    ignored: Vec<[String; 2]>,
}

/// A chart over the states `S` and events `E`.
#[derive(Clone, Debug)]
pub struct StateChart<S, E> {
    /// Where a life begins.
    pub initial: S,
    /// States that are never left.
    pub terminal: Vec<S>,
    /// Moves: from, on, to; sorted.
    pub transitions: Vec<(S, E, S)>,
}

impl<S, E> StateChart<S, E>
where
    S: Copy + Ord + Debug + FromStr,
    E: Copy + Ord + Debug + FromStr,
{
    /// Reads a chart; an ignored pair becomes a move to the same state.
    pub fn parse(text: &str) -> Result<StateChart<S, E>, ChartError> {
        let file: ChartFile =
            toml::from_str(text).map_err(|e| ChartError::Syntax { reason: e.to_string() })?;
        let mut transitions = Vec::new();
        for [from, on, to] in &file.moves {
            transitions.push((name(from)?, name(on)?, name(to)?));
        }
        for [state, on] in &file.ignored {
            let state = name(state)?;
            transitions.push((state, name(on)?, state));
        }
        transitions.sort();
        for pair in transitions.windows(2) {
            if (pair[0].0, pair[0].1) == (pair[1].0, pair[1].1) {
                return Err(ChartError::Duplicate { pair: format!("{:?} on {:?}", pair[0].0, pair[0].1) });
            }
        }
        let terminal = file.last.iter().map(|it| name(it)).collect::<Result<_, _>>()?;
        Ok(StateChart { initial: name(&file.initial)?, terminal, transitions })
    }

    /// The state after an event.
    pub fn next(&self, state: S, event: E) -> Result<S, UnexpectedEvent<S, E>> {
        match self.transitions.binary_search_by_key(&(state, event), |it| (it.0, it.1)) {
            Ok(at) => Ok(self.transitions[at].2),
            Err(_) => Err(UnexpectedEvent { state, event }),
        }
    }

    /// The states of `all` that no life reaches.
    pub fn unreachable(&self, all: &[S]) -> Vec<S> {
        let mut seen = vec![self.initial];
        let mut at = 0;
        while at < seen.len() {
            let from = seen[at];
            let next = self.transitions.iter().filter(|it| it.0 == from).map(|it| it.2);
            for it in next.collect::<Vec<_>>() {
                if !seen.contains(&it) {
                    seen.push(it);
                }
            }
            at += 1;
        }
        all.iter().copied().filter(|it| !seen.contains(it)).collect()
    }

    /// The pairs that are neither moved on nor ignored; final states expect nothing.
    pub fn unhandled(&self, states: &[S], events: &[E]) -> Vec<(S, E)> {
        let open = states.iter().filter(|it| !self.terminal.contains(it));
        let pairs = open.flat_map(|s| events.iter().map(|e| (*s, *e)));
        pairs.filter(|(s, e)| self.next(*s, *e).is_err()).collect()
    }
}

fn name<T: FromStr>(text: &str) -> Result<T, ChartError> {
    text.parse().map_err(|_| ChartError::Unknown { name: text.to_owned() })
}

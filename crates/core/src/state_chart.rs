//! State charts: transition tables that are read from files and interpreted.
//!
//! A chart lists every pair of state and event, either as a transition or as deliberately ignored. Any other pair is an
//! error at run time and fails the test that checks the charts.

use {
    serde::Deserialize,
    snafu::Snafu,
    std::{fmt::Debug, str::FromStr},
};

/// Error while reading a chart's file.
#[derive(Debug, Snafu)]
pub enum ChartError {
    /// The file isn't valid TOML of a chart.
    #[snafu(display("invalid chart: {reason}"))]
    Syntax {
        /// The parser's message.
        reason: String,
    },
    /// A name isn't a state or event of the code.
    #[snafu(display("unknown state or event {name:?} in the chart"))]
    Unknown {
        /// The name.
        name: String,
    },
    /// A pair of state and event is listed twice.
    #[snafu(display("the chart lists {pair} twice"))]
    Duplicate {
        /// The pair.
        pair: String,
    },
}

/// Error for an event that has no transition in a state.
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
    terminal: Vec<String>,
    #[serde(rename = "moves")]
    transitions: Vec<[String; 3]>,
    #[serde(default)]
    ignored: Vec<[String; 2]>,
}

/// Transition table over the states `S` and events `E`.
#[derive(Clone, Debug)]
pub struct StateChart<S, E> {
    /// The initial state.
    pub initial: S,
    /// States without outgoing transitions.
    pub terminal: Vec<S>,
    /// Transitions as source state, event and target state; sorted.
    pub transitions: Vec<(S, E, S)>,
}

impl<S, E> StateChart<S, E>
where
    S: Copy + Ord + Debug + FromStr,
    E: Copy + Ord + Debug + FromStr,
{
    /// Parses a chart. An ignored pair becomes a transition to the same state.
    ///
    /// Fails if the text isn't a chart, names an unknown state or event, or lists a pair twice.
    pub fn parse(text: &str) -> Result<StateChart<S, E>, ChartError> {
        let file: ChartFile =
            toml::from_str(text).map_err(|e| ChartError::Syntax { reason: e.to_string() })?;
        let mut transitions = Vec::new();
        for [from, on, to] in &file.transitions {
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
        let terminal = file.terminal.iter().map(|state| name(state)).collect::<Result<_, _>>()?;
        Ok(StateChart { initial: name(&file.initial)?, terminal, transitions })
    }

    /// Returns the state after an event. Fails if the chart has no transition for the pair.
    pub fn next(&self, state: S, event: E) -> Result<S, UnexpectedEvent<S, E>> {
        match self.transitions.binary_search_by_key(&(state, event), |t| (t.0, t.1)) {
            Ok(at) => Ok(self.transitions[at].2),
            Err(_) => Err(UnexpectedEvent { state, event }),
        }
    }

    /// Returns the states of `all` that can't be reached from the initial state.
    pub fn unreachable(&self, all: &[S]) -> Vec<S> {
        let mut seen = vec![self.initial];
        let mut at = 0;
        while at < seen.len() {
            let from = seen[at];
            let next = self.transitions.iter().filter(|t| t.0 == from).map(|t| t.2);
            for state in next.collect::<Vec<_>>() {
                if !seen.contains(&state) {
                    seen.push(state);
                }
            }
            at += 1;
        }
        all.iter().copied().filter(|state| !seen.contains(state)).collect()
    }

    /// Returns the pairs that are neither transitions nor ignored. Terminal states need no pairs.
    pub fn unhandled(&self, states: &[S], events: &[E]) -> Vec<(S, E)> {
        let open = states.iter().filter(|state| !self.terminal.contains(state));
        let pairs = open.flat_map(|s| events.iter().map(|e| (*s, *e)));
        pairs.filter(|(s, e)| self.next(*s, *e).is_err()).collect()
    }
}

fn name<T: FromStr>(text: &str) -> Result<T, ChartError> {
    text.parse().map_err(|_| ChartError::Unknown { name: text.to_owned() })
}

//! State charts read from files.
//!
//! A chart file lists the initial state, the final states and the transitions of each state: the
//! events that it accepts and the state that each event leads to. [`StateChart::parse`] rejects a
//! file that contains an unknown state or event, omits a state, contains an unreachable state or
//! marks the wrong states as final. The result is a dense table, so a transition costs one lookup.

use serde::Deserialize;
use std::collections::BTreeMap;
use std::fmt;
use std::marker::PhantomData;

/// Enum of the names that a chart file may use for its states or its events.
pub trait ChartSymbol: Copy + Eq + fmt::Debug + 'static {
    /// All symbols, in the order of [`ChartSymbol::index`].
    const ALL: &'static [Self];
    /// Name of the symbol in the chart file.
    fn name(self) -> &'static str;
    /// Position of the symbol in [`ChartSymbol::ALL`].
    fn index(self) -> usize;
}

/// Declares an enum whose variants are the symbols of a chart.
macro_rules! chart_symbols {
    ($(#[$meta:meta])* $name:ident { $($(#[$vmeta:meta])* $variant:ident = $text:literal,)+ }) => {
        $(#[$meta])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
        pub enum $name { $($(#[$vmeta])* $variant,)+ }

        impl $crate::chart::ChartSymbol for $name {
            const ALL: &'static [Self] = &[$(Self::$variant,)+];
            fn name(self) -> &'static str {
                match self { $(Self::$variant => $text,)+ }
            }
            fn index(self) -> usize {
                self as usize
            }
        }
    };
}
pub(crate) use chart_symbols;

/// Contents of a chart file before validation.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ChartFile {
    chart: String,
    initial: String,
    r#final: Vec<String>,
    states: BTreeMap<String, BTreeMap<String, String>>,
}

/// Reason why a chart file is invalid.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChartError {
    /// The file cannot be parsed; contains the message of the parser.
    Unreadable(String),
    /// The file names a state that the code does not define.
    UnknownState(String),
    /// The file names an event that the code does not define.
    UnknownEvent(String),
    /// The file omits a state that the code defines.
    MissingState(&'static str),
    /// No path leads from the initial state to this state.
    UnreachableState(&'static str),
    /// A final state has transitions, or a state without transitions is not final.
    InvalidFinalState(&'static str),
}

impl fmt::Display for ChartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreadable(text) => write!(f, "could not parse the chart file: {text}"),
            Self::UnknownState(name) => write!(f, "unknown state {name}"),
            Self::UnknownEvent(name) => write!(f, "unknown event {name}"),
            Self::MissingState(name) => write!(f, "state {name} has no entry under `states`"),
            Self::UnreachableState(name) => write!(f, "state {name} is unreachable"),
            Self::InvalidFinalState(name) => {
                write!(f, "state {name} must be final if and only if it has no transitions")
            }
        }
    }
}

impl std::error::Error for ChartError {}

/// Event for which the current state has no transition.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TransitionError<S, E> {
    /// State in which the event occurred.
    pub state: S,
    /// Event without a transition.
    pub event: E,
}

/// State chart as a table of transitions.
#[derive(Debug)]
pub struct StateChart<S, E> {
    name: String,
    initial: S,
    table: Vec<Option<S>>,
    event: PhantomData<E>,
}

impl<S: ChartSymbol, E: ChartSymbol> StateChart<S, E> {
    /// Parses the text of a chart file.
    ///
    /// # Errors
    /// Fails on the first fault found, as listed in [`ChartError`].
    pub fn parse(text: &str) -> Result<Self, ChartError> {
        let file: ChartFile =
            serde_saphyr::from_str(text).map_err(|e| ChartError::Unreadable(e.to_string()))?;
        let initial =
            find_symbol::<S>(&file.initial).ok_or(ChartError::UnknownState(file.initial))?;
        let mut table = vec![None; S::ALL.len() * E::ALL.len()];
        for (from, transitions) in &file.states {
            let from =
                find_symbol::<S>(from).ok_or_else(|| ChartError::UnknownState(from.clone()))?;
            for (event, to) in transitions {
                let event = find_symbol::<E>(event)
                    .ok_or_else(|| ChartError::UnknownEvent(event.clone()))?;
                let to =
                    find_symbol::<S>(to).ok_or_else(|| ChartError::UnknownState(to.clone()))?;
                table[from.index() * E::ALL.len() + event.index()] = Some(to);
            }
        }
        let chart = Self { name: file.chart, initial, table, event: PhantomData };
        chart.check_states(&file.states, &file.r#final)?;
        Ok(chart)
    }

    fn check_states(
        &self,
        states: &BTreeMap<String, BTreeMap<String, String>>,
        finals: &[String],
    ) -> Result<(), ChartError> {
        for name in finals {
            find_symbol::<S>(name).ok_or_else(|| ChartError::UnknownState(name.clone()))?;
        }
        let reachable = self.reachable_states();
        for &state in S::ALL {
            let name = state.name();
            let transitions = states.get(name).ok_or(ChartError::MissingState(name))?;
            if !reachable[state.index()] {
                return Err(ChartError::UnreachableState(name));
            }
            let is_final = finals.iter().any(|other| other == name);
            if is_final != transitions.is_empty() {
                return Err(ChartError::InvalidFinalState(name));
            }
        }
        Ok(())
    }

    fn reachable_states(&self) -> Vec<bool> {
        let mut reachable = vec![false; S::ALL.len()];
        let mut pending = vec![self.initial];
        while let Some(state) = pending.pop() {
            if std::mem::replace(&mut reachable[state.index()], true) {
                continue;
            }
            pending.extend(E::ALL.iter().filter_map(|&event| self.next(state, event).ok()));
        }
        reachable
    }

    /// Name of the chart, as given in its file.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Initial state.
    pub fn initial(&self) -> S {
        self.initial
    }

    /// State that `event` leads to from `state`.
    ///
    /// # Errors
    /// Fails if the chart has no such transition.
    pub fn next(&self, state: S, event: E) -> Result<S, TransitionError<S, E>> {
        self.table[state.index() * E::ALL.len() + event.index()]
            .ok_or(TransitionError { state, event })
    }

    /// Whether `state` has no transitions.
    pub fn is_final(&self, state: S) -> bool {
        E::ALL.iter().all(|&event| self.next(state, event).is_err())
    }
}

fn find_symbol<T: ChartSymbol>(name: &str) -> Option<T> {
    T::ALL.iter().copied().find(|symbol| symbol.name() == name)
}

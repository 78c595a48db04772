//! State charts read from files.
//!
//! A chart file names the initial state, the final states and, for each state, the events it takes
//! and the state each leads to. [`StateChart::parse`] refuses a file with a state or event that the
//! code does not know, one that leaves a state out, and one with a state that no path reaches. The
//! result is a dense table, so a transition costs one load.

use serde::Deserialize;
use std::collections::BTreeMap;
use std::fmt;
use std::marker::PhantomData;

/// Closed set of names that a chart file may use: its states or its events.
pub trait ChartSymbol: Copy + Eq + fmt::Debug + 'static {
    /// Every symbol, in the order of [`ChartSymbol::index`].
    const ALL: &'static [Self];
    /// Name in the chart file.
    fn name(self) -> &'static str;
    /// Position in [`ChartSymbol::ALL`].
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

/// Chart file as written.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ChartFile {
    chart: String,
    initial: String,
    r#final: Vec<String>,
    states: BTreeMap<String, BTreeMap<String, String>>,
}

/// Why a chart file is refused.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChartError {
    /// The file is not a chart; the text says where.
    Unreadable(String),
    /// A state that the code does not know.
    UnknownState(String),
    /// An event that the code does not know.
    UnknownEvent(String),
    /// A state of the code that the file leaves out.
    MissingState(&'static str),
    /// A state that no path from the initial state reaches.
    UnreachableState(&'static str),
    /// A final state with a way out, or a state without one that is not final.
    InvalidFinalState(&'static str),
}

impl fmt::Display for ChartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreadable(text) => write!(f, "could not read the chart: {text}"),
            Self::UnknownState(name) => write!(f, "unknown state {name}"),
            Self::UnknownEvent(name) => write!(f, "unknown event {name}"),
            Self::MissingState(name) => write!(f, "state {name} is missing"),
            Self::UnreachableState(name) => write!(f, "state {name} cannot be reached"),
            Self::InvalidFinalState(name) => {
                write!(f, "state {name} must be final exactly when it has no way out")
            }
        }
    }
}

impl std::error::Error for ChartError {}

/// Event that the present state does not take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TransitionError<S, E> {
    /// State in which the event came.
    pub state: S,
    /// Event that came.
    pub event: E,
}

/// Chart compiled into a table.
#[derive(Debug)]
pub struct StateChart<S, E> {
    name: String,
    initial: S,
    table: Vec<Option<S>>,
    event: PhantomData<E>,
}

impl<S: ChartSymbol, E: ChartSymbol> StateChart<S, E> {
    /// Chart from the text of its file.
    ///
    /// # Errors
    /// Fails on the first fault found, as listed in [`ChartError`].
    pub fn parse(text: &str) -> Result<Self, ChartError> {
        let file: ChartFile =
            serde_saphyr::from_str(text).map_err(|e| ChartError::Unreadable(e.to_string()))?;
        let initial = find::<S>(&file.initial).ok_or(ChartError::UnknownState(file.initial))?;
        let mut table = vec![None; S::ALL.len() * E::ALL.len()];
        for (from, ways) in &file.states {
            let from = find::<S>(from).ok_or_else(|| ChartError::UnknownState(from.clone()))?;
            for (event, to) in ways {
                let event =
                    find::<E>(event).ok_or_else(|| ChartError::UnknownEvent(event.clone()))?;
                let to = find::<S>(to).ok_or_else(|| ChartError::UnknownState(to.clone()))?;
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
            find::<S>(name).ok_or_else(|| ChartError::UnknownState(name.clone()))?;
        }
        let reached = self.reached();
        for &state in S::ALL {
            let name = state.name();
            let ways = states.get(name).ok_or(ChartError::MissingState(name))?;
            if !reached[state.index()] {
                return Err(ChartError::UnreachableState(name));
            }
            let is_final = finals.iter().any(|other| other == name);
            if is_final != ways.is_empty() {
                return Err(ChartError::InvalidFinalState(name));
            }
        }
        Ok(())
    }

    fn reached(&self) -> Vec<bool> {
        let mut reached = vec![false; S::ALL.len()];
        let mut open = vec![self.initial];
        while let Some(state) = open.pop() {
            if std::mem::replace(&mut reached[state.index()], true) {
                continue;
            }
            open.extend(E::ALL.iter().filter_map(|&event| self.next(state, event).ok()));
        }
        reached
    }

    /// Name of the chart.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// State in which a life starts.
    pub fn initial(&self) -> S {
        self.initial
    }

    /// State that `event` leads to.
    ///
    /// # Errors
    /// Fails where the chart has no such transition.
    pub fn next(&self, state: S, event: E) -> Result<S, TransitionError<S, E>> {
        self.table[state.index() * E::ALL.len() + event.index()]
            .ok_or(TransitionError { state, event })
    }

    /// Whether no event leads out of `state`.
    pub fn is_final(&self, state: S) -> bool {
        E::ALL.iter().all(|&event| self.next(state, event).is_err())
    }
}

fn find<T: ChartSymbol>(name: &str) -> Option<T> {
    T::ALL.iter().copied().find(|symbol| symbol.name() == name)
}

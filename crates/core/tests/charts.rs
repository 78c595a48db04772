//! State charts: all transitions of the committed chart files, and rejection of invalid files.

use parsleyspool_core::chart::{ChartError, ChartSymbol, StateChart};
use parsleyspool_core::lifecycle::{
    ConnectionEvent, ConnectionState, DomainEvent, DomainState, JobEvent, JobState,
    LifecycleCharts, ServerEvent, ServerState, TaskEvent, TaskState,
};
use std::fmt::Write as _;

/// Lists the transitions of a chart, one state per line.
fn list_transitions<S: ChartSymbol, E: ChartSymbol>(chart: &StateChart<S, E>) -> String {
    let mut text = format!("{} starts {}\n", chart.name(), chart.initial().name());
    for &state in S::ALL {
        let transitions = E::ALL.iter().filter_map(|&event| {
            let next = chart.next(state, event).ok()?;
            Some(format!("{}->{}", event.name(), next.name()))
        });
        let transitions: Vec<String> = transitions.collect();
        let suffix = if chart.is_final(state) { "final" } else { "" };
        let _ = writeln!(text, "{} {}{}", state.name(), transitions.join(" "), suffix);
    }
    text
}

#[test]
fn every_transition_of_the_committed_charts() {
    let charts = LifecycleCharts::load().expect("the committed charts are valid");

    let transition_lists = [
        list_transitions::<JobState, JobEvent>(&charts.job),
        list_transitions::<TaskState, TaskEvent>(&charts.task),
        list_transitions::<ServerState, ServerEvent>(&charts.server),
        list_transitions::<DomainState, DomainEvent>(&charts.domain),
        list_transitions::<ConnectionState, ConnectionEvent>(&charts.connection),
    ];

    insta::assert_snapshot!(transition_lists.join("\n"));
}

#[test]
fn invalid_chart_files_are_rejected() {
    let valid = include_str!("../charts/domain.yaml");
    let cases = [
        ("initial: in_service", "initial: asleep", ChartError::UnknownState("asleep".to_owned())),
        ("take_out:", "take_off:", ChartError::UnknownEvent("take_off".to_owned())),
        (
            "bring_back: returning",
            "bring_back: in_service",
            ChartError::UnreachableState("returning"),
        ),
        ("final: []", "final: [returning]", ChartError::InvalidFinalState("returning")),
    ];

    for (from, to, expected) in cases {
        let text = valid.replace(from, to);
        let result = StateChart::<DomainState, DomainEvent>::parse(&text).map(|_| ());
        assert_eq!(result, Err(expected), "{to}");
    }
}

#[test]
fn a_chart_file_with_an_unknown_key_is_unreadable() {
    let text = format!("{}colour: red\n", include_str!("../charts/job.yaml"));

    let result = StateChart::<JobState, JobEvent>::parse(&text);

    assert!(matches!(result, Err(ChartError::Unreadable(_))));
}

//! State charts: every transition of the committed files, and files that are refused.

use parsleyspool_core::chart::{ChartError, ChartSymbol, StateChart};
use parsleyspool_core::lifecycle::{
    ConnectionEvent, ConnectionState, DomainEvent, DomainState, JobEvent, JobState,
    LifecycleCharts, ServerEvent, ServerState, TaskEvent, TaskState,
};
use std::fmt::Write as _;

/// Every state and event with what follows, one line each.
fn walk<S: ChartSymbol, E: ChartSymbol>(chart: &StateChart<S, E>) -> String {
    let mut text = format!("{} starts {}\n", chart.name(), chart.initial().name());
    for &state in S::ALL {
        let ways = E::ALL.iter().filter_map(|&event| {
            let next = chart.next(state, event).ok()?;
            Some(format!("{}->{}", event.name(), next.name()))
        });
        let ways: Vec<String> = ways.collect();
        let end = if chart.is_final(state) { "final" } else { "" };
        let _ = writeln!(text, "{} {}{}", state.name(), ways.join(" "), end);
    }
    text
}

#[test]
fn every_transition_of_the_committed_charts() {
    let charts = LifecycleCharts::load().expect("the committed charts are right");

    let walks = [
        walk::<JobState, JobEvent>(&charts.job),
        walk::<TaskState, TaskEvent>(&charts.task),
        walk::<ServerState, ServerEvent>(&charts.server),
        walk::<DomainState, DomainEvent>(&charts.domain),
        walk::<ConnectionState, ConnectionEvent>(&charts.connection),
    ];

    insta::assert_snapshot!(walks.join("\n"));
}

#[test]
fn wrong_chart_files_are_refused() {
    let right = include_str!("../charts/domain.yaml");
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
        let text = right.replace(from, to);
        let refused = StateChart::<DomainState, DomainEvent>::parse(&text).map(|_| ());
        assert_eq!(refused, Err(expected), "{to}");
    }
}

#[test]
fn a_chart_file_with_an_unknown_key_is_unreadable() {
    let text = format!("{}colour: red\n", include_str!("../charts/job.yaml"));

    let refused = StateChart::<JobState, JobEvent>::parse(&text);

    assert!(matches!(refused, Err(ChartError::Unreadable(_))));
}

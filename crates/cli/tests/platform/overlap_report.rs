//! Report of runs at the same time, with the log lines that tell how each came about.

use crate::log_lines::LogLine;
use crate::run_record::{RecordedRun, RunOverlap};
#[cfg(test)]
use crate::worker_state::{RunEnding, RunName};
use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

/// Time before and after the two runs from which log lines are printed.
const LINE_MARGIN: Duration = Duration::from_millis(200);
/// Number of reports that are printed with log lines.
const REPORTS_WITH_LINES: usize = 10;
/// Time after the end of a run within which its agent reports the end.
const REPORT_MARGIN: Duration = Duration::from_millis(100);

/// How the agent of the first run of an overlap reported its end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReportedEnd {
    at: Duration,
    /// Cause of an interruption, or the result.
    cause: String,
    /// When the agent last learned of a restart of the server; `None` if it never did.
    restart_noticed_at: Option<Duration>,
}

/// Overlap with the log lines around it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OverlapReport {
    overlap: RunOverlap,
    end: Option<ReportedEnd>,
    lines: Vec<LogLine>,
}

impl OverlapReport {
    /// Finds the lines of `all_lines` that name a server, the job or a submission of the overlap.
    pub fn new(overlap: RunOverlap, all_lines: &[LogLine]) -> Self {
        let (job, task_index) = overlap.first.run.task.rsplit_once('.').expect("a task of a job");
        let submissions = submissions_of(job, all_lines);
        let end = reported_end(&overlap.first, task_index, &submissions, all_lines);
        let names = [job, &overlap.first.server, &overlap.second.server].into_iter();
        let names: Vec<&str> = names.chain(submissions).collect();
        let from = overlap.first.started_at.saturating_sub(LINE_MARGIN);
        let until = overlap.second.started_at + overlap.length() + LINE_MARGIN;
        let lines = all_lines.iter().filter(|line| {
            let is_near = (from..until).contains(&line.at);
            is_near && names.iter().any(|name| line.text.contains(name))
        });
        let lines = lines.cloned().collect();
        Self { overlap, end, lines }
    }

    /// Log lines around the two runs.
    pub fn line_text(&self) -> String {
        let texts = self.lines.iter().map(|line| {
            format!("    {:.6} {} {}\n", line.at.as_secs_f64(), line.process, line.text)
        });
        texts.collect()
    }

    /// Cause with which the end of the first run was reported.
    pub fn cause(&self) -> &str {
        self.end.as_ref().map_or("not_reported", |end| &end.cause)
    }
}

/// Submissions of a job, one for each time that an entry admitted it.
fn submissions_of<'a>(job: &str, lines: &'a [LogLine]) -> Vec<&'a str> {
    let admitted = lines.iter().filter(|line| line.is_event("job_admitted"));
    let admitted = admitted.filter(|line| line.field("subject") == Some(job));
    admitted.filter_map(|line| line.field("submission")).collect()
}

fn reported_end(
    run: &RecordedRun,
    task_index: &str,
    submissions: &[&str],
    lines: &[LogLine],
) -> Option<ReportedEnd> {
    let of_agent = || lines.iter().filter(|line| line.process == run.machine);
    let is_end = |line: &&LogLine| {
        line.is_event("agent_finished")
            && line.at >= run.started_at
            && line.at <= run.ended_at().saturating_add(REPORT_MARGIN)
            && line.field("task") == Some(task_index)
            && line.field("submission").is_some_and(|submission| submissions.contains(&submission))
    };
    let end = of_agent().find(is_end)?;
    let restarts = of_agent().filter(|line| line.is_event("server_life_over"));
    let restarts = restarts.filter(|line| line.field("server") == Some(&run.server));
    let restart_noticed_at = restarts.map(|line| line.at).take_while(|at| *at <= end.at).last();
    let cause = end.field("cause").or(end.field("result")).unwrap_or_default().to_owned();
    Some(ReportedEnd { at: end.at, cause, restart_noticed_at })
}

impl fmt::Display for OverlapReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let RunOverlap { first, second } = &self.overlap;
        writeln!(f, "task {} twice for {:?}", first.run.task, self.overlap.length())?;
        write_run(f, first)?;
        write_run(f, second)?;
        match &self.end {
            Some(end) => write_end(f, end, first),
            None => writeln!(f, "  {} did not report the end of the first", first.machine),
        }
    }
}

fn write_run(f: &mut fmt::Formatter<'_>, run: &RecordedRun) -> fmt::Result {
    let seconds = |time: Duration| time.as_secs_f64();
    let (server, machine, number) = (&run.server, &run.machine, run.run.number);
    let (up, started) = (seconds(run.server_started_at), seconds(run.started_at));
    write!(f, "  run {number} at {server} ({machine}, up since {up:.6}): {started:.6} to ")?;
    match run.end {
        Some((at, ending)) => writeln!(f, "{:.6}, {}", seconds(at), ending.name()),
        None => writeln!(f, "now"),
    }
}

fn write_end(f: &mut fmt::Formatter<'_>, end: &ReportedEnd, run: &RecordedRun) -> fmt::Result {
    let (machine, cause, at) = (&run.machine, &end.cause, end.at.as_secs_f64());
    write!(f, "  {machine} reported the end of the first at {at:.6} ({cause}), ")?;
    if let Some(noticed_at) = end.restart_noticed_at {
        write!(f, "{:?} after server_life_over, ", end.at - noticed_at)?;
    }
    let went_on = run.ended_at().saturating_sub(end.at);
    writeln!(f, "and it went on for {went_on:?}")
}

/// Text of all reports, with the log lines of the first ones.
pub fn report_text(reports: &[OverlapReport]) -> String {
    let texts = reports.iter().enumerate().map(|(index, report)| {
        let lines = if index < REPORTS_WITH_LINES { report.line_text() } else { String::new() };
        format!("{report}{lines}")
    });
    texts.collect()
}

/// Number of overlaps by the cause with which the end of the first run was reported.
pub fn count_causes(reports: &[OverlapReport]) -> BTreeMap<&str, usize> {
    let mut counts = BTreeMap::new();
    for report in reports {
        *counts.entry(report.cause()).or_default() += 1;
    }
    counts
}

fn line(process: &str, at_ms: u64, fields: &str) -> LogLine {
    let (process, text) = (process.to_owned(), format!("ts=x event={fields}"));
    LogLine { process, at: Duration::from_millis(at_ms), text }
}

fn run(server: &str, machine: &str, started_ms: u64, ended_ms: u64) -> RecordedRun {
    RecordedRun {
        server: server.to_owned(),
        machine: machine.to_owned(),
        server_started_at: Duration::ZERO,
        run: RunName { task: "a.0.0.1".to_owned(), number: 1 },
        started_at: Duration::from_millis(started_ms),
        end: Some((Duration::from_millis(ended_ms), RunEnding::Done)),
    }
}

#[test]
fn the_reported_end_and_the_lines_that_name_the_job_or_a_server_are_found() {
    let first = run("i-1", "side-1", 1000, 1100);
    let overlap = RunOverlap { first, second: run("i-2", "side-2", 1030, 1200) };
    let lines = [
        line("edge-1", 900, "job_admitted submission=5f subject=a.0.0"),
        line("side-1", 1001, "server_life_over server=i-1"),
        line("side-1", 1003, "agent_finished submission=77 task=1 figures=\"cause=other\""),
        line("side-1", 1004, "agent_finished submission=5f task=1 figures=\"cause=lease_expired\""),
        line("side-2", 9000, "server_life_over server=i-2"),
    ];

    let report = OverlapReport::new(overlap, &lines);

    assert_eq!(report.cause(), "lease_expired");
    assert!(report.to_string().contains("3ms after server_life_over, and it went on for 96ms"));
    assert_eq!(report.line_text().lines().count(), 3);
}

//! Log lines of the processes, on the time of the record of runs.

use crate::process::PlatformProcess;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

const SECONDS_PER_DAY: u64 = 24 * 3600;

/// Line of the log of a process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogLine {
    pub process: String,
    /// Time since the beginning of the record.
    pub at: Duration,
    pub text: String,
}

impl LogLine {
    /// Value of the field `name`, also within the field `figures`.
    pub fn field(&self, name: &str) -> Option<&str> {
        let mut fields = self.text.split([' ', '"']).filter_map(|field| field.split_once('='));
        fields.find(|(field, _)| *field == name).map(|(_, value)| value)
    }

    pub fn is_event(&self, event: &str) -> bool {
        self.field("event") == Some(event)
    }
}

/// Lines of all processes since `began_at`, in the order of their times.
pub fn read_lines(processes: &[PlatformProcess], began_at: SystemTime) -> Vec<LogLine> {
    let lines = processes.iter().flat_map(|process| {
        let lines = process.log_lines().into_iter();
        lines.filter_map(|text| parse_line(&process.name, text, began_at))
    });
    let mut lines: Vec<LogLine> = lines.collect();
    lines.sort_by_key(|line| line.at);
    lines
}

/// Parses a line; `None` if it has no time or is older than `began_at`.
fn parse_line(process: &str, text: String, began_at: SystemTime) -> Option<LogLine> {
    let time = text.strip_prefix("ts=")?.split(' ').next()?;
    let at = time_since(time, began_at)?;
    Some(LogLine { process: process.to_owned(), at, text })
}

/// Time from `began_at` to a time of day such as `2026-12-05T10:19:38.048837013Z`, at most half a
/// day; `None` if it is malformed or earlier.
fn time_since(time: &str, began_at: SystemTime) -> Option<Duration> {
    let (_, clock) = time.strip_suffix('Z')?.split_once('T')?;
    let mut parts = clock.split(':');
    let hours: u64 = parts.next()?.parse().ok()?;
    let minutes: u64 = parts.next()?.parse().ok()?;
    let seconds: f64 = parts.next()?.parse().ok()?;
    let time_of_day = Duration::from_secs((hours * 60 + minutes) * 60)
        + Duration::try_from_secs_f64(seconds).ok()?;
    let since_epoch = began_at.duration_since(UNIX_EPOCH).ok()?;
    let day = Duration::from_secs(SECONDS_PER_DAY);
    let began_seconds = Duration::from_secs(since_epoch.as_secs() % SECONDS_PER_DAY);
    let began_time_of_day = began_seconds + Duration::from_nanos(since_epoch.subsec_nanos().into());
    let since = time_of_day + day - began_time_of_day;
    let since = since.checked_sub(day).unwrap_or(since);
    (since < day / 2).then_some(since)
}

#[test]
fn a_line_is_placed_on_the_time_of_the_record_also_after_midnight() {
    let began_at = UNIX_EPOCH + Duration::from_millis(SECONDS_PER_DAY * 1000 * 3 - 1500);
    let parse = |text: &str| parse_line("a", text.to_owned(), began_at).map(|line| line.at);

    let before = parse("ts=1970-01-03T23:59:58.4Z event=old");
    let after = parse("ts=1970-01-03T23:59:59Z event=late");
    let next_day = parse("ts=1970-01-04T00:00:00.25Z event=new");

    assert_eq!(before, None);
    assert_eq!(after, Some(Duration::from_millis(500)));
    assert_eq!(next_day, Some(Duration::from_millis(1750)));
}

#[test]
fn fields_are_found_within_figures() {
    let text =
        "ts=x event=agent_finished task=2 figures=\"result=interrupted cause=lease_expired\"";
    let line = LogLine { process: String::new(), at: Duration::ZERO, text: text.to_owned() };

    assert!(line.is_event("agent_finished"));
    assert_eq!(line.field("result"), Some("interrupted"));
    assert_eq!(line.field("cause"), Some("lease_expired"));
    assert_eq!(line.field("why"), None);
}

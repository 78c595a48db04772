//! `parsleyspool refusals`.

use crate::client::ClientOptions;
use crate::error::CommandError;
use crate::output::{format_table, print_json, print_line, write_stdout};
use clap::Args;
use error_stack::{Report, ResultExt};
use parsleyspool_core::audit_log::{AuditedRecord, GapDetector, IncarnationReport, SequenceEnd};
use parsleyspool_daemon::interfaces::LogStore;
use parsleyspool_daemon::log_client::LogClient;
use parsleyspool_wire::record::{
    AUDIT_STREAM, AuditLogRecordWire, AuditLogStepWire, RefusalRecordWire, decode_audit_log,
};
use serde::Serialize;
use std::collections::BTreeMap;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Arguments of `refusals`.
#[derive(Debug, Args)]
pub struct RefusalArgs {
    /// URL of the log service.
    #[arg(long, env = "PARSLEYSPOOL_LOG", default_value = "http://127.0.0.1:7300")]
    log: String,
    /// Only this team.
    #[arg(long)]
    team: Option<String>,
    /// Only this service.
    #[arg(long)]
    service: Option<String>,
    /// Only refusals at or after this time, in RFC 3339.
    #[arg(long, value_parser = humantime::parse_rfc3339_weak)]
    from: Option<SystemTime>,
    /// Only refusals before this time, in RFC 3339.
    #[arg(long, value_parser = humantime::parse_rfc3339_weak)]
    until: Option<SystemTime>,
    /// List every refusal in addition to the totals.
    #[arg(long)]
    each: bool,
}

/// Totals of one team, service and error kind.
#[derive(Debug, Serialize)]
struct RefusalSum {
    team: String,
    service: String,
    kind: String,
    jobs: u64,
    tasks: u64,
    not_run: u64,
}

#[derive(Debug, Serialize)]
struct RefusalReport {
    sums: Vec<RefusalSum>,
    answers: Vec<RefusalRecordWire>,
    gaps: Vec<String>,
}

/// Maximum number of records per read.
const RECORDS_PER_READ: usize = 1000;
/// Timeout of a read.
const READ_TIMEOUT: Duration = Duration::from_secs(5);

impl RefusalArgs {
    /// Reads the refusal records from the audit log and prints the totals and gaps.
    pub async fn run(self, options: ClientOptions) -> Result<(), Report<CommandError>> {
        let log = LogClient::new(&self.log, READ_TIMEOUT).change_context(CommandError::Input)?;
        let (records, mut gaps) = read_records(&log).await?;
        let mut audit = GapDetector::new();
        let mut answers = Vec::new();
        for record in records {
            add_record(&mut audit, &mut answers, record);
        }
        answers.retain(|answer| self.is_shown(answer));
        gaps.extend(audit.reports().iter().flat_map(describe_gaps));
        let sums = sum(&answers);
        let answers = if self.each { answers } else { Vec::new() };
        let report = RefusalReport { sums, answers, gaps };
        if options.json {
            return print_json(&report);
        }
        print(&report);
        Ok(())
    }

    fn is_shown(&self, answer: &RefusalRecordWire) -> bool {
        let time = UNIX_EPOCH + Duration::from_millis(answer.wall_ms);
        self.team.as_ref().is_none_or(|team| *team == answer.team)
            && self.service.as_ref().is_none_or(|service| *service == answer.service)
            && self.from.is_none_or(|from| time >= from)
            && self.until.is_none_or(|until| time < until)
    }
}

async fn read_records(
    log: &LogClient,
) -> Result<(Vec<AuditLogRecordWire>, Vec<String>), Report<CommandError>> {
    let (mut records, mut gaps, mut from) = (Vec::new(), Vec::new(), 0);
    loop {
        let page = log.read(AUDIT_STREAM, from, RECORDS_PER_READ, Duration::ZERO).await;
        let page = page.change_context(CommandError::Unreachable)?;
        if page.earliest > from {
            gaps.push(format!("records {from} to {} have expired", page.earliest - 1));
        }
        let Some((last, _)) = page.records.last() else { return Ok((records, gaps)) };
        from = last + 1;
        for (offset, bytes) in &page.records {
            match decode_audit_log(bytes) {
                Ok(record) => records.push(record),
                Err(_) => gaps.push(format!("record {offset} cannot be read")),
            }
        }
    }
}

fn add_record(
    audit: &mut GapDetector,
    answers: &mut Vec<RefusalRecordWire>,
    record: AuditLogRecordWire,
) {
    let (entry, incarnation) = (record.entry.as_str().into(), record.incarnation());
    match record.step {
        AuditLogStepWire::Opened => {
            audit.record(&entry, incarnation, &AuditedRecord::Opened);
        }
        AuditLogStepWire::Closed { next } => {
            audit.record(&entry, incarnation, &AuditedRecord::Closed(next));
        }
        AuditLogStepWire::Batch(batch) => {
            let numbers = batch.iter().map(|answer| answer.sequence).collect();
            let new = audit.record(&entry, incarnation, &AuditedRecord::Numbers(numbers));
            let batch = batch.into_iter().zip(new);
            answers.extend(batch.filter(|(_, is_new)| *is_new).map(|(answer, _)| answer));
        }
    }
}

fn describe_gaps(audit: &IncarnationReport) -> Vec<String> {
    let source = format!("{} incarnation {:016x}", audit.entry, audit.incarnation);
    let missing = audit
        .gaps
        .iter()
        .map(|gap| format!("{source}: answers {} to {} are missing", gap.start, gap.end - 1));
    let mut lines: Vec<String> = missing.collect();
    if let SequenceEnd::Open { next } = audit.end {
        lines.push(format!(
            "{source}: no closing record; it still runs, or answers from {next} on may be missing"
        ));
    }
    if !audit.is_opened {
        lines.push(format!("{source}: no opening record; earlier records may have expired"));
    }
    lines
}

fn sum(answers: &[RefusalRecordWire]) -> Vec<RefusalSum> {
    let mut sums: BTreeMap<(&str, &str, &str), RefusalSum> = BTreeMap::new();
    for answer in answers {
        let key = (answer.team.as_str(), answer.service.as_str(), answer.kind.as_str());
        let sum = sums.entry(key).or_insert_with(|| RefusalSum {
            team: answer.team.clone(),
            service: answer.service.clone(),
            kind: answer.kind.clone(),
            jobs: 0,
            tasks: 0,
            not_run: 0,
        });
        sum.jobs += 1;
        sum.tasks += u64::from(answer.tasks);
        sum.not_run += u64::from(answer.not_run);
    }
    sums.into_values().collect()
}

fn print(report: &RefusalReport) {
    for answer in &report.answers {
        let at =
            humantime::format_rfc3339_millis(UNIX_EPOCH + Duration::from_millis(answer.wall_ms));
        print_line!(
            "{at} team={} service={} job={} submission={} kind={} not_run={} limit={} \
             allowed={} actual={} tasks={} version={}",
            answer.team,
            answer.service,
            answer.job,
            answer.submission,
            answer.kind,
            answer.not_run,
            answer.limit,
            answer.allowed,
            answer.actual,
            answer.tasks,
            answer.config_version
        );
    }
    let headers = ["team", "service", "kind", "jobs", "tasks", "not run"].map(str::to_owned);
    let mut rows = vec![headers.to_vec()];
    for sum in &report.sums {
        rows.push(vec![
            sum.team.clone(),
            sum.service.clone(),
            sum.kind.clone(),
            sum.jobs.to_string(),
            sum.tasks.to_string(),
            sum.not_run.to_string(),
        ]);
    }
    write_stdout(format_args!("{}", format_table(&rows)));
    for gap in &report.gaps {
        print_line!("gap: {gap}");
    }
}

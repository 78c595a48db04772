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

/// Totals of one team, service and error kind; `not_run` counts jobs.
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
    #[serde(rename = "answers")]
    refusals: Vec<RefusalRecordWire>,
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
        let mut detector = GapDetector::new();
        let mut refusals = Vec::new();
        for record in records {
            add_record(&mut detector, &mut refusals, record);
        }
        refusals.retain(|refusal| self.is_shown(refusal));
        gaps.extend(detector.reports().iter().flat_map(describe_gaps));
        let sums = sum_refusals(&refusals);
        let refusals = if self.each { refusals } else { Vec::new() };
        let report = RefusalReport { sums, refusals, gaps };
        if options.json {
            return print_json(&report);
        }
        print(&report);
        Ok(())
    }

    fn is_shown(&self, refusal: &RefusalRecordWire) -> bool {
        let time = UNIX_EPOCH + Duration::from_millis(refusal.wall_ms);
        self.team.as_ref().is_none_or(|team| *team == refusal.team)
            && self.service.as_ref().is_none_or(|service| *service == refusal.service)
            && self.from.is_none_or(|from| time >= from)
            && self.until.is_none_or(|until| time < until)
    }
}

/// Reads the audit log stream; returns its records and a line for each gap in the stream.
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

/// Adds the refusals of a record. A batch whose confirmation was lost is in the stream twice; its
/// refusals are added once.
fn add_record(
    detector: &mut GapDetector,
    refusals: &mut Vec<RefusalRecordWire>,
    record: AuditLogRecordWire,
) {
    let (entry, incarnation) = (record.entry.as_str().into(), record.incarnation());
    match record.step {
        AuditLogStepWire::Opened => {
            detector.record(&entry, incarnation, &AuditedRecord::Opened);
        }
        AuditLogStepWire::Closed { next } => {
            detector.record(&entry, incarnation, &AuditedRecord::Closed(next));
        }
        AuditLogStepWire::Batch(batch) => {
            let numbers = batch.iter().map(|refusal| refusal.sequence).collect();
            let is_new = detector.record(&entry, incarnation, &AuditedRecord::Numbers(numbers));
            let batch = batch.into_iter().zip(is_new);
            refusals.extend(batch.filter(|(_, is_new)| *is_new).map(|(refusal, _)| refusal));
        }
    }
}

fn describe_gaps(report: &IncarnationReport) -> Vec<String> {
    let source = format!("{} incarnation {:016x}", report.entry, report.incarnation);
    let missing = report
        .gaps
        .iter()
        .map(|gap| format!("{source}: answers {} to {} are missing", gap.start, gap.end - 1));
    let mut lines: Vec<String> = missing.collect();
    if let SequenceEnd::Open { next } = report.end {
        lines.push(format!(
            "{source}: no closing record; it still runs, or answers from {next} on may be missing"
        ));
    }
    if !report.is_opened {
        lines.push(format!("{source}: no opening record; earlier records may have expired"));
    }
    lines
}

fn sum_refusals(refusals: &[RefusalRecordWire]) -> Vec<RefusalSum> {
    let mut sums: BTreeMap<(&str, &str, &str), RefusalSum> = BTreeMap::new();
    for refusal in refusals {
        let key = (refusal.team.as_str(), refusal.service.as_str(), refusal.kind.as_str());
        let sum = sums.entry(key).or_insert_with(|| RefusalSum {
            team: refusal.team.clone(),
            service: refusal.service.clone(),
            kind: refusal.kind.clone(),
            jobs: 0,
            tasks: 0,
            not_run: 0,
        });
        sum.jobs += 1;
        sum.tasks += u64::from(refusal.tasks);
        sum.not_run += u64::from(refusal.not_run);
    }
    sums.into_values().collect()
}

fn print(report: &RefusalReport) {
    for refusal in &report.refusals {
        let at =
            humantime::format_rfc3339_millis(UNIX_EPOCH + Duration::from_millis(refusal.wall_ms));
        print_line!(
            "{at} team={} service={} job={} submission={} kind={} not_run={} limit={} \
             allowed={} actual={} tasks={} version={}",
            refusal.team,
            refusal.service,
            refusal.job,
            refusal.submission,
            refusal.kind,
            refusal.not_run,
            refusal.limit,
            refusal.allowed,
            refusal.actual,
            refusal.tasks,
            refusal.config_version
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

//! Results of a run by priority, and those of the queueing disciplines on the same trace.

use super::discipline::{Discipline, simulate};
use super::file::ExperimentFile;
use super::load_generator::{ClientOutcome, ClientResult};
use super::trace::TraceJob;
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::time::Duration;

/// Label of the report over all priorities.
pub const ALL: &str = "all";

/// Results of the counted jobs of one priority.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PriorityReport {
    /// Priority, `none` for jobs without one, or [`ALL`].
    pub priority: String,
    /// Number of jobs.
    pub jobs: usize,
    /// Share of the jobs answered within their latency objective.
    pub on_time: f64,
    /// Share of the jobs answered after that, while the answer is still of use.
    pub late: f64,
    /// Share of the jobs refused with the statement that nothing ran.
    pub refused: f64,
    /// Share of all other jobs: failed, not answered, or answered when it is of no use.
    pub lost: f64,
    /// Work of the jobs answered on time or late, in seconds of run time at nominal speed per
    /// second of the trace after the warm-up.
    pub goodput: f64,
    /// Median time until a client receives a refusal, in milliseconds, including its delay in both
    /// directions; 0 if no job was refused.
    pub refusal_p50_ms: f64,
    /// 99th percentile of the same.
    pub refusal_p99_ms: f64,
}

/// Results by priority of a run and of the disciplines on the same trace.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct PriorityComparison {
    /// Results of the clients.
    pub measured: Vec<PriorityReport>,
    /// Results of [`Discipline::Fifo`].
    pub fifo: Vec<PriorityReport>,
    /// Results of [`Discipline::Clairvoyant`].
    pub clairvoyant: Vec<PriorityReport>,
}

impl PriorityComparison {
    /// Computes the comparison; `None` if no request has a priority or a latency objective.
    pub fn compute(
        file: &ExperimentFile,
        jobs: &[TraceJob],
        results: &[ClientResult],
    ) -> Option<Self> {
        let simulated =
            |discipline| priority_reports(file, jobs, &simulate(file, jobs, discipline));
        file.has_objectives().then(|| Self {
            measured: priority_reports(file, jobs, results),
            fifo: simulated(Discipline::Fifo),
            clairvoyant: simulated(Discipline::Clairvoyant),
        })
    }

    /// The systems compared, each with a label.
    pub fn systems(&self) -> [(&'static str, &[PriorityReport]); 3] {
        [
            ("measured", &self.measured),
            ("first in, first out", &self.fifo),
            ("clairvoyant", &self.clairvoyant),
        ]
    }

    /// Lines of the text report.
    pub fn lines(&self) -> Vec<String> {
        let lines = self.systems().into_iter().flat_map(|(system, reports)| {
            reports.iter().map(move |report| {
                format!(
                    "priority {} {system}: jobs={} on time={:.4} late={:.4} refused={:.4} \
                     lost={:.4} goodput={:.2} refusal p50={:.1} ms p99={:.1} ms",
                    report.priority,
                    report.jobs,
                    report.on_time,
                    report.late,
                    report.refused,
                    report.lost,
                    report.goodput,
                    report.refusal_p50_ms,
                    report.refusal_p99_ms
                )
            })
        });
        lines.collect()
    }
}

/// Computes the results of each priority, highest first, and of all of them.
pub fn priority_reports(
    file: &ExperimentFile,
    jobs: &[TraceJob],
    results: &[ClientResult],
) -> Vec<PriorityReport> {
    let priority_of = |job: &TraceJob| file.request(&job.request).and_then(|mix| mix.priority);
    let priorities: BTreeSet<_> =
        file.requests.iter().map(|mix| (mix.priority.is_none(), mix.priority)).collect();
    let mut reports: Vec<PriorityReport> = priorities
        .into_iter()
        .map(|(_, priority)| {
            let label = priority.map_or_else(|| "none".to_owned(), |number| number.to_string());
            report(file, jobs, results, label, |job| priority_of(job) == priority)
        })
        .collect();
    reports.push(report(file, jobs, results, ALL.to_owned(), |_| true));
    reports
}

fn report(
    file: &ExperimentFile,
    jobs: &[TraceJob],
    results: &[ClientResult],
    priority: String,
    is_included: impl Fn(&TraceJob) -> bool,
) -> PriorityReport {
    let is_counted =
        |job: &TraceJob| job.at >= file.warm_up && !job.is_cancelled && is_included(job);
    let count = jobs.iter().filter(|job| is_counted(job)).count();
    let (mut on_time, mut late) = (0, 0);
    let mut useful_work = Duration::ZERO;
    let mut refusals = Vec::new();
    for result in results.iter().filter(|result| is_counted(&jobs[result.index])) {
        let job = &jobs[result.index];
        let limits = file.response_limits(job);
        let is_within = |limit: Option<Duration>| limit.is_none_or(|at| result.response_time <= at);
        match result.outcome {
            ClientOutcome::Complete if is_within(limits.map(|limits| limits.on_time)) => {
                on_time += 1;
                useful_work += job.work();
            }
            ClientOutcome::Complete if is_within(limits.map(|limits| limits.expiry)) => {
                late += 1;
                useful_work += job.work();
            }
            ClientOutcome::Failed(_, true) => refusals.push(result.response_time),
            _ => {}
        }
    }
    let share = |part: usize| part as f64 / count.max(1) as f64;
    let refused = refusals.len();
    let (refusal_p50_ms, refusal_p99_ms) = percentiles_ms(&refusals);
    PriorityReport {
        priority,
        jobs: count,
        on_time: share(on_time),
        late: share(late),
        refused: share(refused),
        lost: share(count.saturating_sub(on_time + late + refused)),
        goodput: useful_work.as_secs_f64() / (file.duration - file.warm_up).as_secs_f64(),
        refusal_p50_ms,
        refusal_p99_ms,
    }
}

/// Median and 99th percentile in milliseconds.
fn percentiles_ms(times: &[Duration]) -> (f64, f64) {
    let Ok(mut histogram) = Histogram::<u64>::new(3) else { return (0.0, 0.0) };
    for time in times {
        let _ = histogram.record(u64::try_from(time.as_micros()).unwrap_or(u64::MAX));
    }
    let at = |percentile| histogram.value_at_percentile(percentile) as f64 / 1000.0;
    (at(50.0), at(99.0))
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::experiment::discipline::fixture::{job, two_priorities};

    /// Guards against jobs counted under the wrong outcome or priority: a late answer as on time, a
    /// useless answer or a failure that may have run as useful or refused, and a client without a
    /// result as absent.
    #[test]
    fn each_outcome_counts_once_under_its_priority() {
        let file = two_priorities(1.0);
        let jobs: Vec<TraceJob> =
            (0..6).map(|_| job("urgent", 0)).chain([job("bulk", 0)]).collect();
        let result = |index, millis, outcome| ClientResult {
            index,
            response_time: Duration::from_millis(millis),
            outcome,
        };
        let failed = |not_run| ClientOutcome::Failed("x".to_owned(), not_run);
        // "urgent" runs for 100 ms, is on time for 220 ms and of use for 660 ms.
        let results = [
            result(0, 220, ClientOutcome::Complete),
            result(1, 221, ClientOutcome::Complete),
            result(2, 661, ClientOutcome::Complete),
            result(3, 5, failed(true)),
            result(4, 5, failed(false)),
            result(6, 100, ClientOutcome::Complete),
        ];
        let reports = priority_reports(&file, &jobs, &results);
        let shares: Vec<_> = reports
            .iter()
            .map(|report| {
                let of = |share: f64| (share * report.jobs as f64).round() as usize;
                let counts = [report.on_time, report.late, report.refused, report.lost].map(of);
                (report.priority.as_str(), report.jobs, counts)
            })
            .collect();
        let expected = [("0", 6, [1, 1, 1, 3]), ("1", 1, [1, 0, 0, 0]), (ALL, 7, [2, 1, 1, 3])];
        assert_eq!(shares, expected);
        assert!((reports[0].goodput - 0.2 / 10.0).abs() < 1e-9);
        assert!((reports[0].refusal_p50_ms - 5.0).abs() < 0.1);
    }
}

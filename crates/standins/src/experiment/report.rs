//! Report of one run: measured values as text and JSON, and a plot of the throughput.

use super::file::{DomainAction, ExperimentFile};
use super::load_generator::{ClientOutcome, LoadRun};
use super::measure::{MessageCounts, busy_share};
use super::priority_report::PriorityComparison;
use super::reference::{idle_response_time, response_times};
use super::trace::TraceJob;
use crate::error::StandinError;
use error_stack::{Report, ResultExt};
use hdrhistogram::Histogram;
use parsleyspool_core::checker::CheckReport;
use parsleyspool_wire::operator::TimelineBody;
use plotters::prelude::{
    BLUE, ChartBuilder, IntoDrawingArea, LineSeries, PathElement, RED, SVGBackend, WHITE,
};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::path::Path;
use std::time::Duration;

/// Percentiles of the job slowdown, accurate to 0.001 or three significant digits, whichever is
/// coarser. The slowdown of a job is its response time divided by its response time in an otherwise
/// idle system.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct SlowdownPercentiles {
    /// Median.
    pub p50: f64,
    /// 90th percentile.
    pub p90: f64,
    /// 99th percentile.
    pub p99: f64,
}

/// Contents of `report.json`: the measured values of one run.
#[derive(Debug, Serialize, Deserialize)]
pub struct RunReport {
    /// Name of the experiment.
    pub name: String,
    /// Offered load, as a share of the capacity.
    #[serde(default)]
    pub load: f64,
    /// Number of counted jobs: those submitted after the warm-up and not cancelled.
    pub jobs: usize,
    /// Number of tasks of all jobs, including those of the warm-up and of cancelled jobs.
    pub tasks: usize,
    /// Slowdown of the counted jobs that were answered completely.
    pub slowdown: SlowdownPercentiles,
    /// Slowdown of the counted jobs in the simulation of the reference scheduler.
    pub reference: SlowdownPercentiles,
    /// Number of jobs per outcome, over the whole run.
    pub outcomes: BTreeMap<String, usize>,
    /// Work of the counted jobs that were answered completely, in seconds of run time at nominal
    /// speed per second of the trace after the warm-up.
    pub goodput: f64,
    /// Work of all counted jobs, in the same unit.
    pub offered: f64,
    /// Work that all slots together can do, in the same unit.
    pub capacity: f64,
    /// 99th percentile of the time until a client receives a refusal, in milliseconds, including
    /// its delay in both directions.
    pub refusal_p99_ms: f64,
    /// Results by priority. `None` if no request has a priority or a latency objective.
    #[serde(default)]
    pub priorities: Option<PriorityComparison>,
    /// Messages and task results that the entries counted during the run.
    pub messages: MessageCounts,
    /// Wasted messages per task, as defined by [`MessageCounts::wasted`].
    pub wasted_per_task: f64,
    /// Busy share of the remaining slots while a failure domain was out of service. `None` if the
    /// experiment does not take a domain out and return it.
    pub busy_while_out: Option<f64>,
    /// Busy share of all slots after the domain's return, for half as long as it was out. `None`
    /// under the same condition.
    pub busy_after_back: Option<f64>,
    /// Descriptions of the violated invariants.
    #[serde(rename = "breaches")]
    pub violations: Vec<String>,
    /// Number of task starts that the invariant checker examined.
    pub starts_checked: usize,
    /// Number of processes that dropped events, so that their timelines are incomplete.
    pub gaps: usize,
}

/// Inputs of a report.
#[derive(Debug)]
pub struct ReportInput<'a> {
    /// Experiment that was run.
    pub file: &'a ExperimentFile,
    /// Jobs of the trace.
    pub jobs: &'a [TraceJob],
    /// Results that the clients recorded.
    pub run: &'a LoadRun,
    /// Messages counted between the start and the end of the run.
    pub messages: MessageCounts,
    /// Timelines of the processes.
    pub timelines: &'a [TimelineBody],
    /// Result of the invariant checker.
    pub check: &'a CheckReport,
}

/// The histogram holds integers, so slowdowns are recorded in thousandths.
const HISTOGRAM_SCALE: f64 = 1000.0;

fn percentiles(slowdowns: impl Iterator<Item = f64>) -> SlowdownPercentiles {
    let Ok(mut histogram) = Histogram::<u64>::new(3) else {
        return SlowdownPercentiles { p50: 0.0, p90: 0.0, p99: 0.0 };
    };
    for slowdown in slowdowns {
        let _ = histogram.record((slowdown * HISTOGRAM_SCALE) as u64);
    }
    let at = |percentile| histogram.value_at_percentile(percentile) as f64 / HISTOGRAM_SCALE;
    SlowdownPercentiles { p50: at(50.0), p90: at(90.0), p99: at(99.0) }
}

impl ReportInput<'_> {
    /// Computes the report.
    pub fn report(&self) -> RunReport {
        let file = self.file;
        let is_counted = |job: &TraceJob| job.at >= file.warm_up && !job.is_cancelled;
        let idle_times: Vec<Duration> =
            self.jobs.iter().map(|job| idle_response_time(file, job)).collect();
        let complete = self.run.results.iter().filter(|result| {
            result.outcome == ClientOutcome::Complete && is_counted(&self.jobs[result.index])
        });
        let slowdown = percentiles(
            complete
                .clone()
                .map(|result| job_slowdown(result.response_time, idle_times[result.index])),
        );
        let tasks = self.jobs.iter().map(|job| job.run_times.len()).sum::<usize>();
        let counted_seconds = (file.duration - file.warm_up).as_secs_f64();
        let completed_work: Duration = complete.map(|result| self.jobs[result.index].work()).sum();
        let counted = self.jobs.iter().filter(|job| is_counted(job));
        let offered_work: Duration = counted.clone().map(TraceJob::work).sum();
        RunReport {
            name: file.name.clone(),
            load: file.load,
            jobs: counted.count(),
            tasks,
            slowdown,
            reference: self.reference_slowdown(&idle_times),
            outcomes: self.count_outcomes(),
            goodput: completed_work.as_secs_f64() / counted_seconds,
            offered: offered_work.as_secs_f64() / counted_seconds,
            capacity: file.capacity(),
            refusal_p99_ms: self.refusal_p99(),
            priorities: PriorityComparison::compute(file, self.jobs, &self.run.results),
            messages: self.messages,
            wasted_per_task: self.messages.wasted() as f64 / tasks.max(1) as f64,
            busy_while_out: self
                .out_of_service_window()
                .map(|(from, until)| self.busy_share_of_remaining(from, until)),
            busy_after_back: self
                .out_of_service_window()
                .map(|(from, until)| self.busy_share_of_all(until, until + (until - from) / 2)),
            violations: self.check.violations.iter().map(ToString::to_string).collect(),
            starts_checked: self.check.starts,
            gaps: self.check.gaps.len(),
        }
    }

    fn reference_slowdown(&self, idle_times: &[Duration]) -> SlowdownPercentiles {
        let file = self.file;
        let arrivals = self.jobs.iter().zip(idle_times).filter(|(job, _)| !job.is_cancelled);
        let times = response_times(file, self.jobs);
        let counted = arrivals.zip(times).filter(|((job, _), _)| job.at >= file.warm_up);
        percentiles(counted.map(|((_, idle_time), time)| job_slowdown(time, *idle_time)))
    }

    fn count_outcomes(&self) -> BTreeMap<String, usize> {
        let mut outcomes = BTreeMap::new();
        for result in &self.run.results {
            let name = match &result.outcome {
                ClientOutcome::Complete => "complete".to_owned(),
                ClientOutcome::Failed(kind, true) => format!("{kind} (not run)"),
                ClientOutcome::Failed(kind, false) => kind.clone(),
                ClientOutcome::ConnectionFailed => "connection broken".to_owned(),
                ClientOutcome::Cancelled => "given up".to_owned(),
            };
            *outcomes.entry(name).or_insert(0) += 1;
        }
        outcomes
    }

    fn refusal_p99(&self) -> f64 {
        let refused = self.run.results.iter();
        let refused =
            refused.filter(|result| matches!(result.outcome, ClientOutcome::Failed(_, true)));
        let Ok(mut histogram) = Histogram::<u64>::new(3) else { return 0.0 };
        for result in refused {
            let micros = u64::try_from(result.response_time.as_micros()).unwrap_or(u64::MAX);
            let _ = histogram.record(micros);
        }
        histogram.value_at_percentile(99.0) as f64 / 1000.0
    }

    /// Times, since the Unix epoch, at which a domain was taken out of service and returned.
    /// `None` if the servers differ in slots, since timelines do not state the slots of an agent.
    fn out_of_service_window(&self) -> Option<(Duration, Duration)> {
        if !self.file.server_slots.is_empty() {
            return None;
        }
        let at = |wanted: DomainAction| {
            let found = self.run.actions.iter().find(|(action, _)| action.action == wanted);
            found.map(|(_, at)| self.run.start_wall_clock + *at)
        };
        Some((at(DomainAction::Out)?, at(DomainAction::Back)?))
    }

    fn busy_share_of_remaining(&self, from: Duration, until: Duration) -> f64 {
        let out_domains = self.run.actions.iter().map(|(action, _)| action.domain.as_str());
        let out_domains: Vec<&str> = out_domains.collect();
        let is_remaining = |body: &TimelineBody| !out_domains.contains(&body.domain.as_str());
        busy_share(self.timelines, self.file.slots, from, until, is_remaining)
    }

    fn busy_share_of_all(&self, from: Duration, until: Duration) -> f64 {
        let end = (self.run.start_wall_clock + self.file.duration).min(until);
        busy_share(self.timelines, self.file.slots, from, end, |_| true)
    }

    /// Plots the completed work per second as SVG, in bins of half a second, and marks the times of
    /// the actions.
    ///
    /// # Errors
    /// Fails if the plotting library fails.
    pub fn throughput_svg(&self) -> Result<String, Report<StandinError>> {
        let mut text = String::new();
        self.draw_throughput(&mut text)
            .map_err(|error| Report::new(StandinError::Report).attach(error.to_string()))?;
        Ok(text)
    }

    fn draw_throughput(&self, text: &mut String) -> Result<(), Box<dyn std::error::Error>> {
        const BIN_SECONDS: f64 = 0.5;
        let mut bins = BTreeMap::<usize, f64>::new();
        for result in &self.run.results {
            if result.outcome == ClientOutcome::Complete {
                let job = &self.jobs[result.index];
                let bin = ((job.at + result.response_time).as_secs_f64() / BIN_SECONDS) as usize;
                *bins.entry(bin).or_insert(0.0) += job.work().as_secs_f64() / BIN_SECONDS;
            }
        }
        let points: Vec<(f64, f64)> =
            bins.iter().map(|(bin, work)| (*bin as f64 * BIN_SECONDS, *work)).collect();
        let end = points.last().map_or(1.0, |(at, _)| *at);
        let top = points.iter().map(|(_, work)| *work).fold(self.file.capacity(), f64::max) * 1.1;
        let root = SVGBackend::with_string(text, (900, 400)).into_drawing_area();
        root.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&root)
            .caption(format!("{}: completed work per second", self.file.name), ("sans-serif", 18))
            .margin(10)
            .x_label_area_size(36)
            .y_label_area_size(50)
            .build_cartesian_2d(0.0..end, 0.0..top)?;
        chart.configure_mesh().x_desc("s").y_desc("s of work / s").draw()?;
        chart.draw_series(LineSeries::new(points, &BLUE))?;
        for (_, at) in &self.run.actions {
            let at = at.as_secs_f64();
            chart.draw_series([PathElement::new(vec![(at, 0.0), (at, top)], RED)])?;
        }
        root.present()?;
        drop(chart);
        Ok(())
    }
}

fn job_slowdown(response_time: Duration, idle_time: Duration) -> f64 {
    response_time.as_secs_f64() / idle_time.as_secs_f64().max(f64::MIN_POSITIVE)
}

impl RunReport {
    /// Reads `report.json` in `directory`.
    ///
    /// # Errors
    /// Fails if the file cannot be read or parsed.
    pub fn load(directory: &Path) -> Result<Self, Report<StandinError>> {
        let text = std::fs::read_to_string(directory.join("report.json"))
            .change_context(StandinError::File)
            .attach_with(|| directory.display().to_string())?;
        serde_json::from_str(&text).change_context(StandinError::Parse)
    }

    /// Formats the report as the text of `report.txt`.
    pub fn to_text(&self) -> String {
        let mut text = String::new();
        let mut line = |content: String| {
            let _ = writeln!(text, "{content}");
        };
        line(format!("experiment {} jobs={} tasks={}", self.name, self.jobs, self.tasks));
        line(format!(
            "slowdown p50={:.3} p90={:.3} p99={:.3}",
            self.slowdown.p50, self.slowdown.p90, self.slowdown.p99
        ));
        line(format!(
            "reference p50={:.3} p90={:.3} p99={:.3}",
            self.reference.p50, self.reference.p90, self.reference.p99
        ));
        line(format!(
            "ratio to the reference p50={:.3} p99={:.3}",
            self.slowdown.p50 / self.reference.p50,
            self.slowdown.p99 / self.reference.p99
        ));
        line(format!(
            "goodput={:.2} offered={:.2} capacity={:.2} seconds of work a second",
            self.goodput, self.offered, self.capacity
        ));
        line(format!("outcomes {:?}", self.outcomes));
        line(format!("time to a refusal p99={:.1} ms", self.refusal_p99_ms));
        for text in self.priorities.iter().flat_map(PriorityComparison::lines) {
            line(text);
        }
        line(format!("messages {:?} wasted a task={:.4}", self.messages, self.wasted_per_task));
        if let (Some(out), Some(back)) = (self.busy_while_out, self.busy_after_back) {
            line(format!("busy share of the remaining slots={out:.3} after the return={back:.3}"));
        }
        line(format!(
            "promises broken={} starts checked={} incomplete processes={}",
            self.violations.len(),
            self.starts_checked,
            self.gaps
        ));
        for violation in &self.violations {
            line(format!("  {violation}"));
        }
        text
    }
}

//! Table and plot of the results by priority of several runs.

use super::priority_report::{ALL, PriorityComparison, PriorityReport};
use super::report::RunReport;
use crate::error::StandinError;
use error_stack::Report;
use plotters::prelude::{
    BLUE, ChartBuilder, Color, GREEN, IntoDrawingArea, LineSeries, MAGENTA, PathElement, RED,
    RGBColor, SVGBackend, WHITE,
};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;

/// Medians over the runs of one system at one load, for one priority.
#[derive(Debug, Clone, PartialEq)]
pub struct PriorityRow {
    /// Offered load, as a share of the capacity.
    pub load: f64,
    /// Variant of the product, or the discipline that was simulated.
    pub system: String,
    /// Number of runs.
    pub runs: usize,
    /// Median of each value. The goodput is a share of the capacity.
    pub report: PriorityReport,
}

/// Load in thousandths, system and priority of a row.
type RowKey = (u64, String, String);

/// Computes the rows from runs with the names of their variants. The disciplines of a run are rows
/// of their own; runs of the same trace repeat them.
pub fn priority_rows(runs: &[(String, RunReport)]) -> Vec<PriorityRow> {
    let mut groups: BTreeMap<RowKey, Vec<PriorityReport>> = BTreeMap::new();
    for (variant, run) in runs {
        for (system, reports) in run.priorities.iter().flat_map(PriorityComparison::systems) {
            let system = if system == "measured" { variant } else { system };
            for report in reports {
                let goodput = report.goodput / run.capacity;
                let key = (run.load * 1000.0).round() as u64;
                let key = (key, system.to_owned(), report.priority.clone());
                let report = PriorityReport { goodput, ..report.clone() };
                groups.entry(key).or_default().push(report);
            }
        }
    }
    let rows = groups.into_iter().map(|((load, system, priority), reports)| PriorityRow {
        load: load as f64 / 1000.0,
        system,
        runs: reports.len(),
        report: median_report(priority, &reports),
    });
    rows.collect()
}

fn median_report(priority: String, reports: &[PriorityReport]) -> PriorityReport {
    let median = |read: fn(&PriorityReport) -> f64| {
        let mut values: Vec<f64> = reports.iter().map(read).collect();
        values.sort_by(f64::total_cmp);
        values.get(values.len() / 2).copied().unwrap_or_default()
    };
    PriorityReport {
        priority,
        jobs: median(|report| report.jobs as f64) as usize,
        on_time: median(|report| report.on_time),
        late: median(|report| report.late),
        refused: median(|report| report.refused),
        lost: median(|report| report.lost),
        goodput: median(|report| report.goodput),
        refusal_p50_ms: median(|report| report.refusal_p50_ms),
        refusal_p99_ms: median(|report| report.refusal_p99_ms),
    }
}

/// Formats the rows as a Markdown table.
pub fn markdown_table(rows: &[PriorityRow]) -> String {
    let mut text = "| load | system (runs) | priority | jobs | on time | late | refused | lost | \
                    goodput of capacity | refusal p50, ms | refusal p99, ms |\n"
        .to_owned();
    text.push_str("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n");
    for row in rows {
        let report = &row.report;
        let refusals = if report.refused > 0.0 {
            format!("{:.1} | {:.1}", report.refusal_p50_ms, report.refusal_p99_ms)
        } else {
            "- | -".to_owned()
        };
        let _ = writeln!(
            text,
            "| {:.1} | {} ({}) | {} | {} | {:.3} | {:.3} | {:.3} | {:.3} | {:.3} | {refusals} |",
            row.load,
            row.system,
            row.runs,
            report.priority,
            report.jobs,
            report.on_time,
            report.late,
            report.refused,
            report.lost,
            report.goodput,
        );
    }
    text
}

/// Color for each system, in the order of their names; repeated if there are more.
const COLORS: [RGBColor; 5] = [BLUE, RED, GREEN, MAGENTA, RGBColor(255, 140, 0)];
/// Width and height of the plot of one priority.
const PANEL: (u32, u32) = (330, 320);

/// Plots over the load, as SVG: the share of jobs on time for each priority, and the goodput of all
/// as a share of the capacity.
///
/// # Errors
/// Fails if the plotting library fails.
pub fn priority_svg(rows: &[PriorityRow]) -> Result<String, Report<StandinError>> {
    let mut text = String::new();
    draw(rows, &mut text)
        .map_err(|error| Report::new(StandinError::Report).attach(error.to_string()))?;
    Ok(text)
}

fn draw(rows: &[PriorityRow], text: &mut String) -> Result<(), Box<dyn std::error::Error>> {
    let priorities: BTreeSet<&str> = rows.iter().map(|row| row.report.priority.as_str()).collect();
    let systems: BTreeSet<&str> = rows.iter().map(|row| row.system.as_str()).collect();
    let panels = u32::try_from(priorities.len())?;
    let most = rows.iter().map(|row| row.load).fold(1.0, f64::max) * 1.05;
    let least = rows.iter().map(|row| row.load).fold(1.0, f64::min) * 0.95;
    let root = SVGBackend::with_string(text, (PANEL.0 * panels, PANEL.1)).into_drawing_area();
    root.fill(&WHITE)?;
    for (area, priority) in root.split_evenly((1, priorities.len())).iter().zip(priorities) {
        let (title, value): (_, fn(&PriorityReport) -> f64) = if priority == ALL {
            ("all: goodput / capacity".to_owned(), |report| report.goodput)
        } else {
            (format!("priority {priority}: share on time"), |report| report.on_time)
        };
        let mut chart = ChartBuilder::on(area)
            .caption(title, ("sans-serif", 16))
            .margin(8)
            .x_label_area_size(32)
            .y_label_area_size(40)
            .build_cartesian_2d(least..most, 0.0..1.05)?;
        chart.configure_mesh().x_desc("load / capacity").draw()?;
        for (system, color) in systems.iter().zip(COLORS.iter().cycle()) {
            let points = rows
                .iter()
                .filter(|row| row.system == *system && row.report.priority == priority)
                .map(|row| (row.load, value(&row.report)));
            chart
                .draw_series(LineSeries::new(points, color.stroke_width(2)).point_size(3))?
                .label(*system)
                .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], *color));
        }
        chart.configure_series_labels().background_style(WHITE.mix(0.8)).draw()?;
    }
    root.present()?;
    drop(root);
    Ok(())
}

#[cfg(test)]
mod tests {
    use super::*;

    fn row(load: f64, system: &str, priority: &str, on_time: f64) -> PriorityRow {
        let report = PriorityReport {
            priority: priority.to_owned(),
            jobs: 10,
            on_time,
            late: 0.0,
            refused: 1.0 - on_time,
            lost: 0.0,
            goodput: on_time,
            refusal_p50_ms: 4.0,
            refusal_p99_ms: 9.0,
        };
        PriorityRow { load, system: system.to_owned(), runs: 1, report }
    }

    /// Guards against a median that is the mean or an extreme, and against a plot that omits a
    /// system or the goodput.
    #[test]
    fn rows_are_medians_and_every_system_is_plotted() {
        let reports = [0.9, 0.1, 0.4].map(|on_time| row(1.0, "a", "0", on_time).report);
        let report = median_report("0".to_owned(), &reports);
        assert!((report.on_time - 0.4).abs() < 1e-9);
        let rows = [row(1.0, "a", "0", 1.0), row(2.0, "a", ALL, 0.5), row(1.0, "b", "0", 0.5)];
        let table = markdown_table(&rows);
        assert!(
            table.contains(
                "| 1.0 | a (1) | 0 | 10 | 1.000 | 0.000 | 0.000 | 0.000 | 1.000 | - | - |"
            )
        );
        assert!(table.contains("| 0.500 | 4.0 | 9.0 |"));
        let svg = priority_svg(&rows).expect("the plot is drawn");
        for text in ["priority 0: share on time", "goodput", "\na\n", "\nb\n"] {
            assert!(svg.contains(text), "{text} is missing");
        }
    }
}

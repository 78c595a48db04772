//! Draws a timeline as SVG, with a lane for each process and a mark for each event.

use parsleyspool_core::checker::ObservedEvent;
use parsleyspool_core::timeline::EventKind;
use plotters::prelude::{
    BLACK, BLUE, ChartBuilder, Circle, EmptyElement, GREEN, IntoDrawingArea, IntoFont, MAGENTA,
    RED, RGBColor, SVGBackend, Text, WHITE,
};
use plotters::style::Color;
use std::collections::BTreeSet;
use std::fmt;

/// Failure of the drawing library.
#[derive(Debug)]
pub struct ChartError(String);

impl fmt::Display for ChartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "could not draw the timeline: {}", self.0)
    }
}

impl std::error::Error for ChartError {}

/// Width of the chart in pixels.
const CHART_WIDTH: u32 = 1200;
/// Height of one lane in pixels.
const LANE_HEIGHT: u32 = 48;
/// Height of the caption and the time axis in pixels.
const FRAME_HEIGHT: u32 = 110;
/// Width of the column of process names in pixels.
const NAME_WIDTH: u32 = 120;
/// Number of events up to which each mark is labelled with the name of its event.
const MAX_LABELLED_EVENTS: usize = 60;

fn mark_colour(kind: EventKind) -> RGBColor {
    use EventKind as K;
    match kind {
        K::JobRefused | K::JobFailed | K::TaskFaulted | K::TaskLost | K::DomainOut => RED,
        K::JobComplete | K::TaskAnswered | K::AgentFinished | K::DomainBack => GREEN,
        K::TaskSent | K::AgentStarted | K::AgentQueued => BLUE,
        K::ConfigApplied | K::ConfigAccepted | K::FreshnessLost | K::FreshnessRegained => MAGENTA,
        _ => BLACK,
    }
}

/// Draws `events` as SVG; times are in milliseconds since the first event.
///
/// # Errors
/// Fails if the drawing library does.
pub fn render_svg(events: &[&ObservedEvent]) -> Result<String, ChartError> {
    let mut svg = String::new();
    draw_chart(events, &mut svg).map_err(|error| ChartError(error.to_string()))?;
    Ok(svg)
}

fn draw_chart(
    events: &[&ObservedEvent],
    svg: &mut String,
) -> Result<(), Box<dyn std::error::Error>> {
    let lanes: BTreeSet<&str> = events.iter().map(|observed| &*observed.process).collect();
    let lanes: Vec<&str> = lanes.into_iter().collect();
    let lane_count = u32::try_from(lanes.len().max(1))?;
    let first = events.first().map_or(0, |observed| observed.event.stamp.wall_us);
    let time_ms = |observed: &ObservedEvent| {
        observed.event.stamp.wall_us.saturating_sub(first) as f64 / 1000.0
    };
    let end = events.iter().map(|observed| time_ms(observed)).fold(1.0, f64::max) * 1.05;
    let root = SVGBackend::with_string(svg, (CHART_WIDTH, FRAME_HEIGHT + LANE_HEIGHT * lane_count))
        .into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .caption("time line in milliseconds", ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(36)
        .y_label_area_size(NAME_WIDTH)
        .build_cartesian_2d(0.0..end, -0.6..f64::from(lane_count) - 0.4)?;
    // The axis may have ticks between the lanes; those get no label.
    let tick_label = |lane: &f64| {
        let index = lane.round();
        let is_lane = (lane - index).abs() < 0.01 && index >= 0.0;
        let name = is_lane.then(|| lanes.get(index as usize)).flatten();
        name.map_or_else(String::new, |name| (*name).to_owned())
    };
    chart
        .configure_mesh()
        .disable_y_mesh()
        .y_labels(lanes.len() * 2 + 1)
        .y_label_formatter(&tick_label)
        .x_desc("ms")
        .draw()?;
    let is_labelled = events.len() <= MAX_LABELLED_EVENTS;
    let marks = events.iter().zip(0i32..).map(|(observed, index)| {
        let lane = lanes.iter().position(|name| *name == &*observed.process).unwrap_or(0);
        let colour = mark_colour(observed.event.kind);
        let label = if is_labelled { observed.event.kind.name() } else { "" };
        // Consecutive labels have different heights so that they do not overlap.
        let label_offset = 6 + index % 3 * 10;
        EmptyElement::at((time_ms(observed), lane as f64))
            + Circle::new((0, 0), 3, colour.filled())
            + Text::new(label, (4, label_offset - 12), ("sans-serif", 9).into_font())
    });
    chart.draw_series(marks)?;
    root.present()?;
    drop(chart);
    Ok(())
}

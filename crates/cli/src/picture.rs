//! Picture of a time line: one lane for each process, one mark for each event.

use parsleyspool_core::checker::ObservedEvent;
use parsleyspool_core::timeline::EventKind;
use plotters::prelude::{
    BLACK, BLUE, ChartBuilder, Circle, EmptyElement, GREEN, IntoDrawingArea, IntoFont, MAGENTA,
    RED, RGBColor, SVGBackend, Text, WHITE,
};
use plotters::style::Color;
use std::collections::BTreeSet;
use std::fmt;

/// Picture that could not be drawn.
#[derive(Debug)]
pub struct PictureError(String);

impl fmt::Display for PictureError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "could not draw the time line: {}", self.0)
    }
}

impl std::error::Error for PictureError {}

/// Width of the picture in pixels.
const WIDTH: u32 = 1200;
/// Height of one lane in pixels.
const LANE: u32 = 48;
/// Height of title and axis in pixels.
const FRAME: u32 = 110;
/// Width of the names in pixels.
const NAMES: u32 = 120;
/// Events up to which each mark has its name beside it.
const NAMED_EVENTS: usize = 60;

fn colour(kind: EventKind) -> RGBColor {
    use EventKind as K;
    match kind {
        K::JobRefused | K::JobFailed | K::TaskFaulted | K::TaskLost | K::DomainOut => RED,
        K::JobComplete | K::TaskAnswered | K::AgentFinished | K::DomainBack => GREEN,
        K::TaskSent | K::AgentStarted | K::AgentQueued => BLUE,
        K::ConfigApplied | K::ConfigAccepted | K::FreshnessLost | K::FreshnessRegained => MAGENTA,
        _ => BLACK,
    }
}

/// Time line of `events` in SVG; times are milliseconds from the first event.
///
/// # Errors
/// Fails where the drawing library does.
pub fn draw(events: &[&ObservedEvent]) -> Result<String, PictureError> {
    let mut text = String::new();
    draw_on(events, &mut text).map_err(|error| PictureError(error.to_string()))?;
    Ok(text)
}

fn draw_on(events: &[&ObservedEvent], text: &mut String) -> Result<(), Box<dyn std::error::Error>> {
    let lanes: BTreeSet<&str> = events.iter().map(|observed| &*observed.process).collect();
    let lanes: Vec<&str> = lanes.into_iter().collect();
    let count = u32::try_from(lanes.len().max(1))?;
    let first = events.first().map_or(0, |observed| observed.event.stamp.wall_us);
    let at = |observed: &ObservedEvent| {
        observed.event.stamp.wall_us.saturating_sub(first) as f64 / 1000.0
    };
    let end = events.iter().map(|observed| at(observed)).fold(1.0, f64::max) * 1.05;
    let root = SVGBackend::with_string(text, (WIDTH, FRAME + LANE * count)).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .caption("time line in milliseconds", ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(36)
        .y_label_area_size(NAMES)
        .build_cartesian_2d(0.0..end, -0.6..f64::from(count) - 0.4)?;
    let name = |lane: &f64| {
        let index = lane.round();
        let is_lane = (lane - index).abs() < 0.01 && index >= 0.0;
        let name = is_lane.then(|| lanes.get(index as usize)).flatten();
        name.map_or_else(String::new, |name| (*name).to_owned())
    };
    chart
        .configure_mesh()
        .disable_y_mesh()
        .y_labels(lanes.len() * 2 + 1)
        .y_label_formatter(&name)
        .x_desc("ms")
        .draw()?;
    let is_named = events.len() <= NAMED_EVENTS;
    let marks = events.iter().zip(0i32..).map(|(observed, number)| {
        let lane = lanes.iter().position(|name| *name == &*observed.process).unwrap_or(0);
        let shade = colour(observed.event.kind);
        let label = if is_named { observed.event.kind.name() } else { "" };
        let below = 6 + number % 3 * 10;
        EmptyElement::at((at(observed), lane as f64))
            + Circle::new((0, 0), 3, shade.filled())
            + Text::new(label, (4, below - 12), ("sans-serif", 9).into_font())
    });
    chart.draw_series(marks)?;
    root.present()?;
    drop(chart);
    Ok(())
}

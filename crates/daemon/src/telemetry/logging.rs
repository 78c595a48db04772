//! Structured logging to standard output, with one line of key=value pairs per event.
//!
//! A separate thread writes the lines, so that a stalled reader of standard output does not block
//! the process. Lines beyond the capacity of its queue are dropped and counted.

use crate::error::DaemonError;
use error_stack::fmt::ColorMode;
use error_stack::{Report, ResultExt};
use std::sync::Arc;
use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;
use tracing_subscriber::{EnvFilter, Registry, reload};

/// Handle that changes the log levels of the running process.
#[derive(Debug, Clone)]
pub struct LogControl {
    handle: Option<reload::Handle<EnvFilter, Registry>>,
    /// Keeps the writer thread running; dropping the last clone writes the queued lines.
    _writer_guard: Option<Arc<WorkerGuard>>,
}

/// Largest number of lines in the queue of the writer thread.
const MAX_QUEUED_LINES: usize = 8192;

impl LogControl {
    /// Creates a control for a process whose embedder owns the logger; [`Self::set_filter`] fails.
    pub fn detached() -> Self {
        Self { handle: None, _writer_guard: None }
    }

    /// Installs the logger of the process with the log filter `filter`.
    ///
    /// # Errors
    /// Fails if `filter` is malformed or a logger is already installed.
    pub fn install(filter: &str) -> Result<Self, Report<DaemonError>> {
        let filter = parse_filter(filter)?;
        let (filter_layer, handle) = reload::Layer::new(filter);
        let line_layer = tracing_logfmt::builder().with_target(false).layer();
        let writer = NonBlockingBuilder::default().lossy(true);
        let writer = writer.buffered_lines_limit(MAX_QUEUED_LINES);
        let (writer, guard) = writer.finish(std::io::stdout());
        let line_layer = line_layer.with_writer(writer);
        let registry = tracing_subscriber::registry().with(filter_layer).with(line_layer);
        registry.try_init().change_context(DaemonError::LogFilter)?;
        Report::set_color_mode(ColorMode::None);
        Ok(Self { handle: Some(handle), _writer_guard: Some(Arc::new(guard)) })
    }

    /// Replaces the log filter.
    ///
    /// # Errors
    /// Fails if `filter` is malformed or the logger belongs to an embedder.
    pub fn set_filter(&self, filter: &str) -> Result<(), Report<DaemonError>> {
        let filter = parse_filter(filter)?;
        let handle = self.handle.as_ref().ok_or_else(|| {
            Report::new(DaemonError::LogFilter).attach("the logger belongs to the embedder")
        })?;
        handle.reload(filter).change_context(DaemonError::LogFilter)
    }
}

fn parse_filter(filter: &str) -> Result<EnvFilter, Report<DaemonError>> {
    EnvFilter::try_new(filter)
        .change_context(DaemonError::LogFilter)
        .attach_with(|| format!("filter {filter:?}"))
}

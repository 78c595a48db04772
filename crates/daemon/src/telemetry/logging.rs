//! Structured logs: one line of key=value pairs for each event, on standard output.
//!
//! A thread of its own writes the lines, so that a reader who stops reading never holds the process
//! up; lines that do not fit its queue are dropped and counted.

use crate::error::DaemonError;
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
    /// Keeps the writing thread; the last lines are written when it is dropped.
    _writer: Option<Arc<WorkerGuard>>,
}

/// Lines that wait to be written at most.
const LINES_WAITING: usize = 8192;

impl LogControl {
    /// Control of a process whose logs belong to its embedder.
    pub fn detached() -> Self {
        Self { handle: None, _writer: None }
    }

    /// Installs the logger of the process with the levels of `filter`.
    ///
    /// # Errors
    /// Fails where `filter` is malformed or a logger is installed already.
    pub fn install(filter: &str) -> Result<Self, Report<DaemonError>> {
        let filter = parse(filter)?;
        let (layer, handle) = reload::Layer::new(filter);
        let lines = tracing_logfmt::builder().with_target(false).layer();
        let writer = NonBlockingBuilder::default().lossy(true);
        let writer = writer.buffered_lines_limit(LINES_WAITING);
        let (writer, guard) = writer.finish(std::io::stdout());
        let lines = lines.with_writer(writer);
        let registry = tracing_subscriber::registry().with(layer).with(lines);
        registry.try_init().change_context(DaemonError::LogFilter)?;
        Ok(Self { handle: Some(handle), _writer: Some(Arc::new(guard)) })
    }

    /// Sets other levels.
    ///
    /// # Errors
    /// Fails where `filter` is malformed or the logger belongs to an embedder.
    pub fn set_filter(&self, filter: &str) -> Result<(), Report<DaemonError>> {
        let filter = parse(filter)?;
        let handle = self.handle.as_ref().ok_or_else(|| {
            Report::new(DaemonError::LogFilter).attach("the logger belongs to the embedder")
        })?;
        handle.reload(filter).change_context(DaemonError::LogFilter)
    }
}

fn parse(filter: &str) -> Result<EnvFilter, Report<DaemonError>> {
    EnvFilter::try_new(filter)
        .change_context(DaemonError::LogFilter)
        .attach_with(|| format!("filter {filter:?}"))
}

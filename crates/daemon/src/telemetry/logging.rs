//! Structured logs: one line of key=value pairs for each event, on standard error.

use crate::error::DaemonError;
use error_stack::{Report, ResultExt};
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;
use tracing_subscriber::{EnvFilter, Registry, reload};

/// Handle that changes the log levels of the running process.
#[derive(Debug, Clone)]
pub struct LogControl {
    handle: Option<reload::Handle<EnvFilter, Registry>>,
}

impl LogControl {
    /// Control of a process whose logs belong to its embedder.
    pub fn detached() -> Self {
        Self { handle: None }
    }

    /// Installs the logger of the process with the levels of `filter`.
    ///
    /// # Errors
    /// Fails where `filter` is malformed or a logger is installed already.
    pub fn install(filter: &str) -> Result<Self, Report<DaemonError>> {
        let filter = parse(filter)?;
        let (layer, handle) = reload::Layer::new(filter);
        let lines = tracing_logfmt::builder().with_target(false).layer();
        let lines = lines.with_writer(std::io::stderr);
        let registry = tracing_subscriber::registry().with(layer).with(lines);
        registry.try_init().change_context(DaemonError::LogFilter)?;
        Ok(Self { handle: Some(handle) })
    }

    /// Sets other levels.
    ///
    /// # Errors
    /// Fails where `filter` is malformed or the logger belongs to an embedder.
    pub fn set(&self, filter: &str) -> Result<(), Report<DaemonError>> {
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

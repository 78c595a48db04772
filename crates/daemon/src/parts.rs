//! What every daemon is made of before its own edges.

use crate::clock::SystemClock;
use crate::edge::ClockSource;
use crate::error::DaemonError;
use crate::exchange::HttpExchange;
use crate::recorder::EventRecorder;
use crate::settings::TelemetrySettings;
use crate::telemetry::logging::LogControl;
use crate::telemetry::metrics::DaemonMetrics;
use error_stack::Report;
use parsleyspool_core::id::Incarnation;
use std::sync::Arc;

/// Parts of one start of a daemon.
#[derive(Debug)]
pub struct DaemonParts {
    /// Incarnation, drawn at random.
    pub incarnation: Incarnation,
    /// Clock.
    pub clock: Arc<dyn ClockSource>,
    /// Metrics.
    pub metrics: Arc<DaemonMetrics>,
    /// Recorder of events.
    pub recorder: Arc<EventRecorder>,
    /// HTTP to the other daemons.
    pub exchange: Arc<HttpExchange>,
    /// Log control.
    pub control: LogControl,
}

impl DaemonParts {
    /// Parts on `clock`, with the log under `control`.
    ///
    /// # Errors
    /// Fails where a client or a metric cannot be made.
    pub fn new(
        telemetry: &TelemetrySettings,
        control: LogControl,
        clock: Arc<dyn ClockSource>,
    ) -> Result<Self, Report<DaemonError>> {
        let incarnation: Incarnation = rand::random();
        let metrics = Arc::new(DaemonMetrics::new()?);
        let recorder =
            EventRecorder::new(telemetry.events, incarnation, clock.clone(), metrics.clone());
        let recorder = Arc::new(recorder);
        let exchange = Arc::new(HttpExchange::new(recorder.clone(), metrics.clone())?);
        Ok(Self { incarnation, clock, metrics, recorder, exchange, control })
    }

    /// Parts of a process, with the machine's clock and the log installed.
    ///
    /// # Errors
    /// Fails also where the log filter is wrong.
    pub fn of_process(telemetry: &TelemetrySettings) -> Result<Self, Report<DaemonError>> {
        let control = LogControl::install(&telemetry.filter)?;
        Self::new(telemetry, control, Arc::new(SystemClock::new()))
    }
}

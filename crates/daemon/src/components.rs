//! Components that entries and agents have in common.

use crate::clock::SystemClock;
use crate::error::DaemonError;
use crate::interfaces::ClockSource;
use crate::peer_client::PeerClient;
use crate::recorder::EventRecorder;
use crate::settings::TelemetrySettings;
use crate::telemetry::logging::LogControl;
use crate::telemetry::metrics::DaemonMetrics;
use error_stack::Report;
use parsleyspool_core::id::Incarnation;
use std::sync::Arc;

/// Components of one daemon process.
#[derive(Debug)]
pub struct DaemonComponents {
    /// Incarnation of the daemon, chosen at random at its start.
    pub incarnation: Incarnation,
    /// Source of the current time.
    pub clock: Arc<dyn ClockSource>,
    /// Metrics of the process.
    pub metrics: Arc<DaemonMetrics>,
    /// Recorder of events, which also stamps messages.
    pub recorder: Arc<EventRecorder>,
    /// HTTP client for the other daemons.
    pub peer_client: Arc<PeerClient>,
    /// Handle that changes the log levels at run time.
    pub log_control: LogControl,
}

impl DaemonComponents {
    /// Creates the components with the given clock and log control.
    ///
    /// # Errors
    /// Fails if an HTTP client cannot be built or a metric cannot be registered.
    pub fn new(
        telemetry: &TelemetrySettings,
        log_control: LogControl,
        clock: Arc<dyn ClockSource>,
    ) -> Result<Self, Report<DaemonError>> {
        let incarnation: Incarnation = rand::random();
        let metrics = Arc::new(DaemonMetrics::new()?);
        let recorder =
            EventRecorder::new(telemetry.events, incarnation, clock.clone(), metrics.clone());
        let recorder = Arc::new(recorder);
        let peer_client = Arc::new(PeerClient::new(recorder.clone(), metrics.clone())?);
        Ok(Self { incarnation, clock, metrics, recorder, peer_client, log_control })
    }

    /// Creates the components with the system clock, and applies the log filter of the settings.
    ///
    /// # Errors
    /// Fails as [`Self::new`] does, or if the log filter is malformed.
    pub fn for_process(
        telemetry: &TelemetrySettings,
        log_control: LogControl,
    ) -> Result<Self, Report<DaemonError>> {
        log_control.set_filter(&telemetry.filter)?;
        Self::new(telemetry, log_control, Arc::new(SystemClock::new()))
    }
}

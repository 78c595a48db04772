//! What every daemon is made of before its own edges.

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

/// Parts of one start of a daemon.
#[derive(Debug)]
pub struct DaemonComponents {
    /// Incarnation, drawn at random.
    pub incarnation: Incarnation,
    /// Clock.
    pub clock: Arc<dyn ClockSource>,
    /// Metrics.
    pub metrics: Arc<DaemonMetrics>,
    /// Recorder of events.
    pub recorder: Arc<EventRecorder>,
    /// HTTP to the other daemons.
    pub peer_client: Arc<PeerClient>,
    /// Log control.
    pub log_control: LogControl,
}

impl DaemonComponents {
    /// Parts on `clock`, with the log under `control`.
    ///
    /// # Errors
    /// Fails where a client or a metric cannot be made.
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

    /// Parts of a process, with the machine's clock and the log installed.
    ///
    /// # Errors
    /// Fails also where the log filter is wrong.
    pub fn for_process(telemetry: &TelemetrySettings) -> Result<Self, Report<DaemonError>> {
        let log_control = LogControl::install(&telemetry.filter)?;
        Self::new(telemetry, log_control, Arc::new(SystemClock::new()))
    }
}

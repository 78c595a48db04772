//! Evidence for the end of a run, and for the end of a server incarnation.

use super::protocol::{RunNumber, ServerIncarnation};
use crate::named_enum::named_enum;
use std::time::Duration;

named_enum! {
    /// What an agent concludes from that a run has ended or never started.
    pub enum EndEvidence {
        /// No start was sent, since the server was not ready.
        NotSent = "not_sent",
        /// The worker refused the start.
        StartRefused = "start_refused",
        /// The server accepted no connection for the start.
        ConnectionRefused = "connection_refused",
        /// Another server answered at the address.
        OtherServer = "other_server",
        /// The worker listed the end.
        Listed = "listed",
        /// The worker no longer lists the run, although it had it or confirmed its stop.
        Unlisted = "unlisted",
        /// The lease of all runs at the worker expired.
        LeaseExpired = "lease_expired",
    }
}

named_enum! {
    /// How an agent learned that a server incarnation has ended.
    pub enum IncarnationEnd {
        /// A later incarnation announced itself under the same id.
        Announced = "later_announcement",
        /// A later incarnation answered a poll.
        Listed = "later_listing",
        /// The server deregistered.
        Deregistered = "deregistered",
        /// Another server answered at the address.
        OtherServer = "other_server",
    }
}

/// Circumstances in which a run was reported as ended or as never started.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndRecord {
    /// What the end was concluded from.
    pub evidence: EndEvidence,
    /// Number of the run; `None` if no start was sent.
    pub run: Option<RunNumber>,
    /// Incarnation of the current session; `None` if there is none.
    pub incarnation: Option<ServerIncarnation>,
    /// Estimated reading of the worker's clock; `None` before the first reading.
    pub clock: Option<Duration>,
    /// Latest end of the lease at the worker, on the agent's steady clock; `None` if it is unknown.
    pub lease_end: Option<Duration>,
    /// When the end was reported, on the agent's steady clock.
    pub reported_at: Duration,
}

//! Checks of the log whether the failure domain of an agent is in service.

use super::actor::AgentActor;
use crate::error::DaemonError;
use crate::telemetry::metrics::MessageKind;
use error_stack::Report;
use parsleyspool_core::agent::{AgentEvent, DomainReading};
use std::time::Duration;
use xtra::WeakAddress;
use xtra::prelude::*;

impl AgentActor {
    /// Reads the changes of the failure domain after `known` in a task, and reports the result to the
    /// state machine.
    pub(super) fn check_domain(&self, known: DomainReading, address: &WeakAddress<Self>) {
        let (shared, address) = (self.shared.clone(), address.clone());
        let domain = self.server_description().map(|(_, domain, _)| domain);
        let sent_at = shared.interfaces.clock.now().elapsed;
        tokio::spawn(async move {
            let reading = match (&shared.interfaces.domains, domain) {
                (Some(source), Some(domain)) => {
                    shared.metrics.count_message(MessageKind::DomainCheck);
                    log_outcome(known, source.read_domain(domain, known).await)
                }
                _ => None,
            };
            // A send error means that the agent has stopped and starts nothing.
            let _ = address.send(HandleDomainCheck { reading, sent_at }).await;
        });
    }
}

fn log_outcome(
    known: DomainReading,
    outcome: Result<DomainReading, Report<DaemonError>>,
) -> Option<DomainReading> {
    match outcome {
        Ok(reading) => {
            tracing::info!(
                event = "domain_checked",
                known_version = known.version,
                version = reading.version,
                is_in_service = reading.is_in_service
            );
            Some(reading)
        }
        Err(report) => {
            tracing::warn!(event = "domain_check_failed", error = ?report);
            None
        }
    }
}

/// End of a check that was sent at `sent_at`.
#[derive(Debug)]
struct HandleDomainCheck {
    reading: Option<DomainReading>,
    sent_at: Duration,
}

impl Handler<HandleDomainCheck> for AgentActor {
    type Return = ();

    async fn handle(&mut self, message: HandleDomainCheck, ctx: &mut Context<Self>) {
        let address = ctx.mailbox().address();
        let HandleDomainCheck { reading, sent_at } = message;
        let was_leaving = self.machine.is_leaving();
        self.handle_event(AgentEvent::DomainChecked { reading, sent_at }, None, &address);
        if self.machine.is_leaving() != was_leaving {
            self.shared.heartbeat_wakeup.notify_waiters();
        }
    }
}

//! Execution of the actions that the state machine of an entry decides on.

use super::actor::{CallerAnswer, EntryActor, HandleEvent};
use super::log_streams::encoded_record;
use parsleyspool_core::config::{ConfigRecord, ConfigSnapshot};
use parsleyspool_core::entry::{
    EntryAction, EntryEvent, ExchangeFailure, StartId, StartRequest, TaskReply,
};
use parsleyspool_core::id::{PeerAddress, TaskId};
use parsleyspool_wire::codec::CodecError;
use parsleyspool_wire::peer::{CancelMessage, StartMessage, StatusQueryMessage, TaskReplyMessage};
use parsleyspool_wire::record::{
    AUDIT_STREAM, AuditLogRecordWire, CLAIM_STREAM, CONFIG_STREAM, encode_audit_log, encode_claims,
    encode_config,
};
use std::collections::HashMap;
use std::time::Duration;
use xtra::WeakAddress;

/// Delay before an unconfirmed append is reported to the state machine, which may repeat it.
const APPEND_RETRY_DELAY: Duration = Duration::from_millis(200);

impl EntryActor {
    /// Executes actions in order, but sends all cancellations for one agent in one message.
    pub(super) fn execute_actions(
        &mut self,
        actions: Vec<EntryAction>,
        address: &WeakAddress<Self>,
    ) {
        let mut cancels: HashMap<PeerAddress, Vec<TaskId>> = HashMap::new();
        for action in actions {
            match action {
                EntryAction::CancelTask { address, task, .. } => {
                    cancels.entry(address).or_default().push(task);
                }
                other => self.execute_action(other, address),
            }
        }
        for (agent, tasks) in cancels {
            self.send_cancel(agent, tasks);
        }
    }

    fn execute_action(&mut self, action: EntryAction, address: &WeakAddress<Self>) {
        match action {
            EntryAction::Answer { waiter_id, submission, answer, version } => {
                self.send_answer(waiter_id, CallerAnswer { submission, answer, version });
            }
            EntryAction::Start { address: to, request, timeout } => {
                self.send_start(to, request, timeout, address);
            }
            EntryAction::QueryStatus { address: agent, start, sent_at } => {
                let message = StatusQueryMessage::new(&self.shared.settings.name, start, sent_at);
                self.send_status_query(agent, start, message, address);
            }
            EntryAction::CancelTask { .. } => {}
            EntryAction::AppendClaims(steps) => {
                let record = encode_claims(&steps);
                self.append_record(CLAIM_STREAM, record, address, |is_confirmed| {
                    EntryEvent::ClaimsAppended { is_confirmed }
                });
            }
            EntryAction::AppendRefusals(record) => {
                let identity = self.machine.identity();
                let record = AuditLogRecordWire::new(&identity.name, identity.incarnation, &record);
                let record = encode_audit_log(&record);
                self.append_record(AUDIT_STREAM, record, address, |is_confirmed| {
                    EntryEvent::RefusalsAppended { is_confirmed }
                });
            }
            EntryAction::AppendSnapshot(snapshot) => self.republish_config(snapshot),
            EntryAction::RecordEvent(event) => self.shared.recorder.record(event),
        }
    }

    fn send_answer(&mut self, waiter_id: u64, answer: CallerAnswer) {
        if let Some(waiter) = self.waiters.remove(&waiter_id) {
            let _ = waiter.send(answer);
        }
    }

    fn send_start(
        &self,
        agent: PeerAddress,
        request: StartRequest,
        timeout: Duration,
        address: &WeakAddress<Self>,
    ) {
        let start = request.start_id();
        let message = StartMessage::new(&self.shared.settings.name, request);
        let (shared, address) = (self.shared.clone(), address.clone());
        tokio::spawn(async move {
            let result = shared.interfaces.agents.start(agent, message, timeout).await;
            let event = match result {
                Ok(reply) => reply_event(start, reply),
                Err(failure) => EntryEvent::NoReply { start, failure },
            };
            let _ = address.send(HandleEvent(event)).await;
        });
    }

    fn send_status_query(
        &self,
        agent: PeerAddress,
        start: StartId,
        message: StatusQueryMessage,
        address: &WeakAddress<Self>,
    ) {
        let (shared, address) = (self.shared.clone(), address.clone());
        tokio::spawn(async move {
            let result = shared.interfaces.agents.query_status(agent, message).await;
            let event = match result {
                Ok(reply) => reply_event(start, reply),
                // The next status query is already scheduled, so other failures are ignored.
                // A refused connection shows that the agent is gone.
                Err(failure @ ExchangeFailure::PeerGone) => EntryEvent::NoReply { start, failure },
                Err(_) => return,
            };
            let _ = address.send(HandleEvent(event)).await;
        });
    }

    fn send_cancel(&self, agent: PeerAddress, tasks: Vec<TaskId>) {
        let shared = self.shared.clone();
        let message = CancelMessage { tasks: tasks.into_iter().map(Into::into).collect() };
        tokio::spawn(async move { shared.interfaces.agents.cancel(agent, message).await });
    }

    /// Appends a record and passes `event`, with whether it was confirmed, to the state machine.
    fn append_record(
        &self,
        stream: &'static str,
        record: Result<Vec<u8>, CodecError>,
        address: &WeakAddress<Self>,
        event: impl FnOnce(bool) -> EntryEvent + Send + 'static,
    ) {
        let Some(bytes) = encoded_record(stream, record) else { return };
        let (shared, address) = (self.shared.clone(), address.clone());
        tokio::spawn(async move {
            let result = shared.interfaces.log.append(stream, bytes).await;
            if let Err(report) = &result {
                tracing::warn!(event = "append_unconfirmed", stream, error = %report);
                tokio::time::sleep(APPEND_RETRY_DELAY).await;
            }
            let _ = address.send(HandleEvent(event(result.is_ok()))).await;
        });
    }

    fn republish_config(&self, snapshot: ConfigSnapshot) {
        let record = encode_config(&ConfigRecord::Snapshot(snapshot));
        let Some(bytes) = encoded_record(CONFIG_STREAM, record) else { return };
        let shared = self.shared.clone();
        tokio::spawn(async move {
            match shared.interfaces.log.append(CONFIG_STREAM, bytes).await {
                Ok(offset) => tracing::info!(event = "config_republished", offset),
                Err(report) => {
                    tracing::warn!(event = "append_unconfirmed", stream = CONFIG_STREAM, error = %report);
                }
            }
        });
    }
}

fn reply_event(start: StartId, reply: TaskReplyMessage) -> EntryEvent {
    let load = Some(reply.load_report());
    EntryEvent::Reply { start, reply: TaskReply::from(reply.reply), load }
}

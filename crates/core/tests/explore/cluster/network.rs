//! Delivery, loss and duplication of messages.

use super::*;

impl SimulatedCluster {
    pub(super) fn send_reply(
        &mut self,
        entry: usize,
        epoch: Duration,
        mut start: StartId,
        reply: TaskReply,
    ) {
        if self.fault == PlantedFault::AnswersSwapped && matches!(reply, TaskReply::Done { .. }) {
            start.task.index ^= 1;
        }
        self.messages.push(Message::Reply { entry, epoch, start, reply });
    }

    pub(super) fn deliver(&mut self, choice: u8, is_duplicated: bool) {
        if self.messages.is_empty() {
            return;
        }
        let at = usize::from(choice) % self.messages.len();
        let message = self.messages[at].clone();
        let is_duplicable = matches!(message, Message::Start { .. } | Message::Reply { .. });
        if is_duplicated && is_duplicable {
            self.counters.duplicated += 1;
        } else {
            self.messages.remove(at);
        }
        self.handle_message(message);
    }

    pub(super) fn handle_message(&mut self, message: Message) {
        match message {
            Message::Start { entry, to, request } => {
                let name = self.entries[entry].name.clone();
                self.handle_agent_event(to, entry, AgentEvent::Start { entry: name, request });
            }
            Message::StatusQuery { entry, to, start, sent_at } => {
                let name = self.entries[entry].name.clone();
                let query = AgentEvent::Query { entry: name, start, sent_at };
                self.handle_agent_event(to, entry, query);
            }
            Message::Reply { entry, epoch, start, reply } => {
                if self.entries[entry].epoch == epoch {
                    let load = None;
                    let event = EntryEvent::Reply { start, reply, load };
                    self.handle_entry_event(entry, event);
                }
            }
            Message::Directive { to, incarnation, directive, sent_at } => {
                if self.agents[to].machine.incarnation() == incarnation {
                    self.handle_agent_event(to, 0, AgentEvent::Directive { directive, sent_at });
                }
            }
            Message::Claims { entry, epoch, steps } => {
                let is_cut_off = self.is_cut_off(entry);
                if !is_cut_off {
                    self.claims.push(steps);
                }
                if self.entries[entry].epoch == epoch {
                    let event = EntryEvent::ClaimsAppended { is_confirmed: !is_cut_off };
                    self.handle_entry_event(entry, event);
                }
            }
            Message::Refusal { entry, epoch } => {
                let is_confirmed = !self.is_cut_off(entry);
                if self.entries[entry].epoch == epoch {
                    self.handle_entry_event(entry, EntryEvent::RefusalsAppended { is_confirmed });
                }
            }
        }
    }

    pub(super) fn lose(&mut self, choice: u8, is_noticed: bool) {
        if self.messages.is_empty() {
            return;
        }
        let at = usize::from(choice) % self.messages.len();
        self.counters.lost += 1;
        match self.messages.remove(at) {
            Message::Start { entry, request, .. } if is_noticed => {
                self.report_broken_exchange(entry, request.start_id());
            }
            Message::Reply { entry, epoch, start, .. }
                if is_noticed && self.entries[entry].epoch == epoch =>
            {
                self.report_broken_exchange(entry, start);
            }
            Message::Claims { entry, epoch, steps } => {
                // The append takes effect, but its confirmation is lost.
                if !self.is_cut_off(entry) {
                    self.claims.push(steps);
                }
                if self.entries[entry].epoch == epoch {
                    let event = EntryEvent::ClaimsAppended { is_confirmed: false };
                    self.handle_entry_event(entry, event);
                }
            }
            Message::Refusal { entry, epoch } if self.entries[entry].epoch == epoch => {
                self.handle_entry_event(
                    entry,
                    EntryEvent::RefusalsAppended { is_confirmed: false },
                );
            }
            _ => {}
        }
    }

    pub(super) fn report_broken_exchange(&mut self, entry: usize, start: StartId) {
        let failure = match self.fault {
            PlantedFault::BreaksReportedAsUnsent => ExchangeFailure::NothingSent,
            _ => ExchangeFailure::MaybeSent,
        };
        self.handle_entry_event(entry, EntryEvent::NoReply { start, failure });
    }
}

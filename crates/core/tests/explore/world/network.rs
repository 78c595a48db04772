//! Messages under way: their arrival, loss and doubling.

use super::*;

impl World {
    pub(super) fn reply(
        &mut self,
        entry: usize,
        born: Duration,
        mut start: StartId,
        reply: TaskReply,
    ) {
        if self.fault == PlantedFault::AnswersSwapped && matches!(reply, TaskReply::Done { .. }) {
            start.task.index ^= 1;
        }
        self.messages.push(Message::Reply { entry, born, start, reply });
    }

    pub(super) fn deliver(&mut self, which: u8, is_kept: bool) {
        if self.messages.is_empty() {
            return;
        }
        let at = usize::from(which) % self.messages.len();
        let message = self.messages[at].clone();
        let may_double = matches!(message, Message::Start { .. } | Message::Reply { .. });
        if is_kept && may_double {
            self.figures.doubled += 1;
        } else {
            self.messages.remove(at);
        }
        self.arrive(message);
    }

    pub(super) fn arrive(&mut self, message: Message) {
        match message {
            Message::Start { entry, to, request } => {
                let name = self.entries[entry].name.clone();
                self.tell_agent(to, entry, AgentEvent::Start { entry: name, request });
            }
            Message::Ask { entry, to, start, sent_at } => {
                let name = self.entries[entry].name.clone();
                let ask = AgentEvent::Query { entry: name, start, sent_at };
                self.tell_agent(to, entry, ask);
            }
            Message::Reply { entry, born, start, reply } => {
                if self.entries[entry].born == born {
                    let load = None;
                    let event = EntryEvent::Reply { start, reply, load };
                    self.tell_entry(entry, event);
                }
            }
            Message::Directive { to, incarnation, directive, sent_at } => {
                if self.agents[to].machine.incarnation() == incarnation {
                    self.tell_agent(to, 0, AgentEvent::Directive { directive, sent_at });
                }
            }
            Message::Claims { entry, born, steps } => {
                let is_away = self.is_cut_off(entry);
                if !is_away {
                    self.claims.push(steps);
                }
                if self.entries[entry].born == born {
                    let event = EntryEvent::ClaimsAppended { is_confirmed: !is_away };
                    self.tell_entry(entry, event);
                }
            }
            Message::Accounts { entry, born } => {
                let is_confirmed = !self.is_cut_off(entry);
                if self.entries[entry].born == born {
                    self.tell_entry(entry, EntryEvent::RefusalsAppended { is_confirmed });
                }
            }
        }
    }

    pub(super) fn lose(&mut self, which: u8, is_noticed: bool) {
        if self.messages.is_empty() {
            return;
        }
        let at = usize::from(which) % self.messages.len();
        self.figures.lost += 1;
        match self.messages.remove(at) {
            Message::Start { entry, request, .. } if is_noticed => {
                self.notice_break(entry, request.start_id());
            }
            Message::Reply { entry, born, start, .. }
                if is_noticed && self.entries[entry].born == born =>
            {
                self.notice_break(entry, start);
            }
            Message::Claims { entry, born, steps } => {
                // The answer is lost after the append took effect.
                if !self.is_cut_off(entry) {
                    self.claims.push(steps);
                }
                if self.entries[entry].born == born {
                    let event = EntryEvent::ClaimsAppended { is_confirmed: false };
                    self.tell_entry(entry, event);
                }
            }
            Message::Accounts { entry, born } if self.entries[entry].born == born => {
                self.tell_entry(entry, EntryEvent::RefusalsAppended { is_confirmed: false });
            }
            _ => {}
        }
    }

    pub(super) fn notice_break(&mut self, entry: usize, start: StartId) {
        let failure = match self.fault {
            PlantedFault::BreaksCountAsUnsent => ExchangeFailure::NothingSent,
            _ => ExchangeFailure::MaybeSent,
        };
        self.tell_entry(entry, EntryEvent::NoReply { start, failure });
    }
}

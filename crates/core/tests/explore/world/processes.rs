//! Processes: their decisions, crashes, pauses and stops.

use super::*;

impl World {
    pub(super) fn tell_entry(&mut self, index: usize, event: EntryEvent) {
        if self.entries[index].is_paused {
            // A frozen process misses its ticks and finds everything else on its return.
            if !matches!(event, EntryEvent::Tick) {
                self.entries[index].inbox.push(event);
            }
            return;
        }
        let now = self.moment(self.entries[index].born);
        let actions = self.entries[index].machine.handle(event, now);
        for action in actions {
            self.carry_out(index, action);
        }
    }

    pub(super) fn carry_out(&mut self, entry: usize, action: EntryAction) {
        let born = self.entries[entry].born;
        match action {
            EntryAction::Answer { waiter_id, answer, .. } => self.answer(waiter_id, &answer),
            EntryAction::Start { address, mut request } => {
                let to = agent_at(&address);
                if self.fault == PlantedFault::PermitsNeverEnd {
                    let agent_time = self.now - self.agents[to].born;
                    request.permit_until = agent_time + Duration::from_secs(9);
                }
                self.messages.push(Message::Start { entry, to, request });
            }
            EntryAction::QueryStatus { address, start, sent_at } => {
                let to = agent_at(&address);
                let ask = Message::Ask { entry, to, start, sent_at };
                self.messages.push(ask);
            }
            EntryAction::CancelTask { address, task, .. } => {
                self.tell_agent(agent_at(&address), entry, AgentEvent::Cancel { task });
            }
            EntryAction::AppendClaims(steps) => {
                self.messages.push(Message::Claims { entry, born, steps });
            }
            EntryAction::AppendRefusals(_) => self.messages.push(Message::Accounts { entry, born }),
            EntryAction::AppendSnapshot(snapshot) => {
                if !self.is_cut_off(entry) {
                    self.append_config(ConfigRecord::Snapshot(snapshot));
                }
            }
            EntryAction::RecordEvent(event) => self.note_entry(entry, event),
        }
    }

    pub(super) fn answer(&mut self, ticket: u64, answer: &JobAnswer) {
        *self.answers.entry(ticket).or_insert(0) += 1;
        if self.answers[&ticket] > 1 {
            let text = format!("ticket {ticket} was answered twice");
            self.wrong_answers.push((TimelineInvariant::WholeAnswer, text));
        }
        self.open_tickets.retain(|(_, other)| *other != ticket);
        match answer {
            JobAnswer::Complete(answers) => {
                self.figures.complete += 1;
                let tasks = self.tickets_of[&ticket];
                let expected = (0..tasks).map(|index| Bytes::from(format!("p{index}")));
                if !answers.iter().cloned().eq(expected) {
                    let text = format!("ticket {ticket} got {answers:?}");
                    self.wrong_answers.push((TimelineInvariant::OwnAnswer, text));
                }
            }
            JobAnswer::Failed(error) if error.not_run => self.figures.refused += 1,
            JobAnswer::Failed(_) => self.figures.failed += 1,
        }
    }

    pub(super) fn note_entry(&mut self, entry: usize, event: TimelineEvent) {
        if self.fault == PlantedFault::AnswersDropped && event.kind == EventKind::TaskAnswered {
            return;
        }
        let now = self.moment(self.entries[entry].born);
        let process = &mut self.entries[entry];
        let stamp = process.clock.tick(now);
        let incarnation = process.machine.identity().incarnation;
        let (name, domain) = (process.name.clone(), domain_of(entry));
        let event = TimelineEvent { stamp, ..event };
        self.events.push(ObservedEvent { process: name, incarnation, domain, event });
    }

    pub(super) fn tell_agent(&mut self, index: usize, from: usize, event: AgentEvent) {
        if self.agents[index].is_paused {
            if !matches!(event, AgentEvent::Tick) {
                self.agents[index].inbox.push((from, event));
            }
            return;
        }
        let asked = match &event {
            AgentEvent::Start { request, .. } => Some(request.start_id()),
            AgentEvent::Query { start, .. } => Some(*start),
            _ => None,
        };
        let now = self.moment(self.agents[index].born);
        let actions = self.agents[index].machine.handle(event, now);
        for action in actions {
            self.carry_out_agent(index, from, asked, action);
        }
    }

    pub(super) fn carry_out_agent(
        &mut self,
        index: usize,
        from: usize,
        asked: Option<StartId>,
        action: AgentAction,
    ) {
        match action {
            AgentAction::Stop { task } => {
                let running = &self.agents[index].running;
                if let Some(run) = running.iter().position(|request| request.task == task) {
                    self.end_run(index, run, false);
                }
            }
            AgentAction::Run(request) => self.agents[index].running.push(request),
            AgentAction::ReplyToSender { reply, .. } => {
                let Some(start) = asked else { return };
                self.reply(from, self.entries[from].born, start, reply);
            }
            AgentAction::ReplyToWaiters { task, reply, .. } => {
                for (entry, born, start) in self.waiting.remove(&task).unwrap_or_default() {
                    self.reply(entry, born, start, reply.clone());
                }
            }
            AgentAction::AddWaiter { task } => {
                let Some(start) = asked else { return };
                let born = self.entries[from].born;
                self.waiting.entry(task).or_default().push((from, born, start));
            }
            AgentAction::RecordEvent(event) => {
                let now = self.moment(self.agents[index].born);
                let agent = &mut self.agents[index];
                let event = TimelineEvent { stamp: agent.clock.tick(now), ..event };
                self.events.push(ObservedEvent {
                    process: agent.name.clone(),
                    incarnation: agent.machine.incarnation(),
                    domain: agent.domain.clone(),
                    event,
                });
            }
        }
    }

    pub(super) fn finish(&mut self, which: u8, is_good: bool) {
        let busy: Vec<usize> =
            (0..AGENTS).filter(|&index| !self.agents[index].running.is_empty()).collect();
        if busy.is_empty() {
            return;
        }
        let agent = busy[usize::from(which) % busy.len()];
        let run = usize::from(which / 16) % self.agents[agent].running.len();
        self.end_run(agent, run, is_good);
    }

    pub(super) fn end_run(&mut self, agent: usize, run: usize, is_good: bool) {
        let request = self.agents[agent].running.remove(run);
        let result = if is_good { RunResult::Answered(request.payload) } else { RunResult::Failed };
        let event = AgentEvent::Finished { task: request.task, result };
        self.tell_agent(agent, 0, event);
    }

    pub(super) fn restart_agent(&mut self, index: usize) {
        self.figures.crashes += 1;
        let incarnation = self.agents[index].machine.incarnation();
        let mut agent = self.new_agent(index);
        if self.fault == PlantedFault::AgentForgets {
            let limits = AgentLimits {
                capacity: ResourceAmounts::from_slots(2),
                queue_slots: 2,
                ..AgentLimits::default()
            };
            agent.machine = AgentMachine::new(incarnation, limits);
            agent.born = self.agents[index].born;
            agent.sequence = self.agents[index].sequence;
        }
        self.agents[index] = agent;
    }

    pub(super) fn restart_entry(&mut self, index: usize) {
        self.figures.crashes += 1;
        self.entries[index] = self.new_entry(index);
        self.open_tickets.retain(|(entry, _)| *entry != index);
    }

    pub(super) fn toggle_pause(&mut self, which: usize) {
        let which = which % (ENTRIES + AGENTS);
        if which < ENTRIES {
            let entry = &mut self.entries[which];
            entry.is_paused = !entry.is_paused;
            if !entry.is_paused {
                for event in std::mem::take(&mut entry.inbox) {
                    self.tell_entry(which, event);
                }
            }
            return;
        }
        let index = which - ENTRIES;
        let agent = &mut self.agents[index];
        agent.is_paused = !agent.is_paused;
        if !agent.is_paused {
            for (from, event) in std::mem::take(&mut agent.inbox) {
                self.tell_agent(index, from, event);
            }
        }
    }

    pub(super) fn greet(&mut self, agent: usize, entry: usize) {
        if self.agents[agent].is_paused || self.entries[entry].is_paused {
            return;
        }
        let now = self.moment(self.agents[agent].born);
        let name = self.entries[entry].name.clone();
        let process = &mut self.agents[agent];
        process.sequence += 1;
        let load = process.machine.load_for(&name);
        let report = ServerReport {
            name: process.name.clone(),
            incarnation: process.machine.incarnation(),
            sequence: process.sequence,
            address: format!("{agent}").into(),
            domain: process.domain.clone(),
            worker: "w".into(),
            services: vec!["s".into()],
            capacity: ResourceAmounts::from_slots(2),
            load_limit: process.machine.admission_slots(),
            load: load.load,
            own_load: load.own_load,
            is_leaving: process.machine.is_leaving(),
            clock: now.elapsed,
            version: process.machine.version(),
        };
        let (name, domain, incarnation) =
            (process.name.clone(), process.domain.clone(), process.machine.incarnation());
        self.tell_entry(entry, EntryEvent::Heartbeat(report));
        let entry_now = self.moment(self.entries[entry].born);
        let mut directive = self.entries[entry].machine.directive(&name, &domain, entry_now);
        if self.fault == PlantedFault::PermitsNeverEnd {
            directive.valid_for = Duration::from_secs(100);
            directive.is_in_service = true;
            directive.is_leaving = false;
        }
        let sent_at = now.elapsed;
        self.messages.push(Message::Directive { to: agent, incarnation, directive, sent_at });
    }

    pub(super) fn stop(&mut self, which: usize) {
        let index = which % AGENTS;
        if self.agents[index].is_paused {
            return;
        }
        self.tell_agent(index, 0, AgentEvent::Drain);
        let mut unfinished = 0;
        if self.fault == PlantedFault::StopCutsWork {
            unfinished = self.agents[index].running.len() as u64;
        } else {
            while !self.agents[index].running.is_empty() {
                self.end_run(index, 0, true);
            }
        }
        let event = TimelineEvent::new(EventKind::ProcessStopped);
        let event = event.field(EventField::Unfinished(unfinished));
        let asked = None;
        self.carry_out_agent(index, 0, asked, AgentAction::RecordEvent(event));
        self.restart_agent(index);
    }
}

//! Event handling, crashes, pauses and graceful stops of processes.

use super::*;

impl SimulatedCluster {
    pub(super) fn handle_entry_event(&mut self, index: usize, event: EntryEvent) {
        if self.entries[index].is_paused {
            // A paused process misses its ticks; all other events wait until it resumes.
            if !matches!(event, EntryEvent::Tick) {
                self.entries[index].inbox.push(event);
            }
            return;
        }
        let now = self.moment(self.entries[index].epoch);
        let actions = self.entries[index].machine.handle(event, now);
        for action in actions {
            self.execute_entry_action(index, action);
        }
    }

    pub(super) fn execute_entry_action(&mut self, entry: usize, action: EntryAction) {
        let epoch = self.entries[entry].epoch;
        match action {
            EntryAction::Answer { waiter_id, answer, .. } => self.record_answer(waiter_id, &answer),
            EntryAction::Start { address, mut request, .. } => {
                let to = agent_index(&address);
                if self.fault == PlantedFault::PermitsTooLong {
                    let agent_time = self.now - self.agents[to].epoch;
                    request.permit_until = agent_time + Duration::from_secs(9);
                }
                self.messages.push(Message::Start { entry, to, request });
            }
            EntryAction::QueryStatus { address, start, sent_at } => {
                let to = agent_index(&address);
                let query = Message::StatusQuery { entry, to, start, sent_at };
                self.messages.push(query);
            }
            EntryAction::CancelTask { address, task, .. } => {
                self.handle_agent_event(agent_index(&address), entry, AgentEvent::Cancel { task });
            }
            EntryAction::AppendClaims(steps) => {
                self.messages.push(Message::Claims { entry, epoch, steps });
            }
            EntryAction::AppendRefusals(_) => self.messages.push(Message::Refusal { entry, epoch }),
            EntryAction::AppendSnapshot(snapshot) => {
                if !self.is_cut_off(entry) {
                    self.append_config_record(ConfigRecord::Snapshot(snapshot));
                }
            }
            EntryAction::RecordEvent(event) => self.record_entry_event(entry, event),
        }
    }

    pub(super) fn record_answer(&mut self, waiter_id: u64, answer: &JobAnswer) {
        *self.answer_counts.entry(waiter_id).or_insert(0) += 1;
        if self.answer_counts[&waiter_id] > 1 {
            let text = format!("waiter {waiter_id} was answered twice");
            self.answer_violations.push((TimelineInvariant::WholeAnswer, text));
        }
        self.open_waiters.retain(|(_, other)| *other != waiter_id);
        match answer {
            JobAnswer::Complete(answers) => {
                self.counters.complete += 1;
                let tasks = self.task_counts[&waiter_id];
                let expected = (0..tasks).map(|index| Bytes::from(format!("p{index}")));
                if !answers.iter().cloned().eq(expected) {
                    let text = format!("waiter {waiter_id} got {answers:?}");
                    self.answer_violations.push((TimelineInvariant::OwnAnswer, text));
                }
            }
            JobAnswer::Failed(error) if error.not_run => self.counters.refused += 1,
            JobAnswer::Failed(_) => self.counters.failed += 1,
        }
    }

    pub(super) fn record_entry_event(&mut self, entry: usize, event: TimelineEvent) {
        if self.fault == PlantedFault::AnswerEventsDropped && event.kind == EventKind::TaskAnswered
        {
            return;
        }
        let now = self.moment(self.entries[entry].epoch);
        let process = &mut self.entries[entry];
        let stamp = process.clock.tick(now);
        let incarnation = process.machine.identity().incarnation;
        let (name, domain) = (process.name.clone(), domain_of(entry));
        let event = TimelineEvent { stamp, ..event };
        self.events.push(ObservedEvent { process: name, incarnation, domain, event });
    }

    /// Handles `event` at an agent. `sender` is the entry that sent a start request or query, and
    /// is ignored for all other events.
    pub(super) fn handle_agent_event(&mut self, index: usize, sender: usize, event: AgentEvent) {
        if self.agents[index].is_paused {
            if !matches!(event, AgentEvent::Tick) {
                self.agents[index].inbox.push((sender, event));
            }
            return;
        }
        let exchange_start = match &event {
            AgentEvent::Start { request, .. } => Some(request.start_id()),
            AgentEvent::Query { start, .. } => Some(*start),
            _ => None,
        };
        let now = self.moment(self.agents[index].epoch);
        let actions = self.agents[index].machine.handle(event, now);
        for action in actions {
            self.execute_agent_action(index, sender, exchange_start, action);
        }
    }

    pub(super) fn execute_agent_action(
        &mut self,
        index: usize,
        sender: usize,
        exchange_start: Option<StartId>,
        action: AgentAction,
    ) {
        match action {
            AgentAction::Stop { task } => {
                let running = &self.agents[index].running;
                if let Some(run) = running.iter().position(|request| request.task == task) {
                    self.end_run(index, run, false);
                }
            }
            AgentAction::CheckDomain(_) => unreachable!("the agents cannot read the log"),
            AgentAction::Run(request) => self.agents[index].running.push(request),
            AgentAction::ReplyToSender { reply, .. } => {
                let Some(start) = exchange_start else { return };
                self.send_reply(sender, self.entries[sender].epoch, start, reply);
            }
            AgentAction::ReplyToWaiters { task, reply, .. } => {
                for (entry, epoch, start) in self.reply_waiters.remove(&task).unwrap_or_default() {
                    self.send_reply(entry, epoch, start, reply.clone());
                }
            }
            AgentAction::AddWaiter { task } => {
                let Some(start) = exchange_start else { return };
                let epoch = self.entries[sender].epoch;
                self.reply_waiters.entry(task).or_default().push((sender, epoch, start));
            }
            AgentAction::RecordEvent(event) => {
                let now = self.moment(self.agents[index].epoch);
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

    pub(super) fn finish_run(&mut self, choice: u8, has_answer: bool) {
        let busy: Vec<usize> =
            (0..AGENTS).filter(|&index| !self.agents[index].running.is_empty()).collect();
        if busy.is_empty() {
            return;
        }
        let agent = busy[usize::from(choice) % busy.len()];
        let run = usize::from(choice / 16) % self.agents[agent].running.len();
        self.end_run(agent, run, has_answer);
    }

    pub(super) fn end_run(&mut self, agent: usize, run: usize, has_answer: bool) {
        let request = self.agents[agent].running.remove(run);
        let result =
            if has_answer { RunResult::Answered(request.payload) } else { RunResult::Failed };
        let event = AgentEvent::Finished { task: request.task, result };
        self.handle_agent_event(agent, 0, event);
    }

    pub(super) fn restart_agent(&mut self, index: usize) {
        self.counters.crashes += 1;
        let incarnation = self.agents[index].machine.incarnation();
        let mut agent = self.new_agent(index);
        if self.fault == PlantedFault::AgentLosesState {
            let limits = AgentLimits {
                capacity: ResourceAmounts::from_slots(2),
                queue_slots: 2,
                ..AgentLimits::default()
            };
            agent.machine = AgentMachine::new(incarnation, limits);
            agent.epoch = self.agents[index].epoch;
            agent.sequence = self.agents[index].sequence;
        }
        self.agents[index] = agent;
    }

    pub(super) fn restart_entry(&mut self, index: usize) {
        self.counters.crashes += 1;
        self.entries[index] = self.new_entry(index);
        self.open_waiters.retain(|(entry, _)| *entry != index);
    }

    pub(super) fn toggle_pause(&mut self, choice: usize) {
        let choice = choice % (ENTRIES + AGENTS);
        if choice < ENTRIES {
            let entry = &mut self.entries[choice];
            entry.is_paused = !entry.is_paused;
            if !entry.is_paused {
                for event in std::mem::take(&mut entry.inbox) {
                    self.handle_entry_event(choice, event);
                }
            }
            return;
        }
        let index = choice - ENTRIES;
        let agent = &mut self.agents[index];
        agent.is_paused = !agent.is_paused;
        if !agent.is_paused {
            for (sender, event) in std::mem::take(&mut agent.inbox) {
                self.handle_agent_event(index, sender, event);
            }
        }
    }

    pub(super) fn send_heartbeat(&mut self, agent: usize, entry: usize) {
        if self.agents[agent].is_paused || self.entries[entry].is_paused {
            return;
        }
        let now = self.moment(self.agents[agent].epoch);
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
            lost_tasks: process.machine.lost_tasks(),
            held_submissions: process.machine.held_submissions(&name),
        };
        let incarnation = process.machine.incarnation();
        self.handle_entry_event(entry, EntryEvent::Heartbeat(report.clone()));
        let entry_now = self.moment(self.entries[entry].epoch);
        let mut directive = self.entries[entry].machine.directive(&report, entry_now);
        if self.fault == PlantedFault::PermitsTooLong {
            directive.valid_for = Duration::from_secs(100);
            directive.is_in_service = true;
            directive.is_leaving = false;
        }
        let sent_at = now.elapsed;
        self.messages.push(Message::Directive { to: agent, incarnation, directive, sent_at });
    }

    pub(super) fn stop_agent(&mut self, choice: usize) {
        let index = choice % AGENTS;
        if self.agents[index].is_paused {
            return;
        }
        self.handle_agent_event(index, 0, AgentEvent::Drain);
        let mut unfinished = 0;
        if self.fault == PlantedFault::StopAbandonsRuns {
            unfinished = self.agents[index].running.len() as u64;
        } else {
            while !self.agents[index].running.is_empty() {
                self.end_run(index, 0, true);
            }
        }
        let event = TimelineEvent::new(EventKind::ProcessStopped);
        let event = event.field(EventField::Unfinished(unfinished));
        let exchange_start = None;
        self.execute_agent_action(index, 0, exchange_start, AgentAction::RecordEvent(event));
        self.restart_agent(index);
    }
}

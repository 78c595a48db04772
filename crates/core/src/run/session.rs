//! Lives of the server: how one is greeted, cleared of what ran before, renewed and ended.

use super::worker_clock::WorkerClock;
use super::{
    LifePhase, PresentLife, RunAction, RunLedger, RunningRow, ServerIncarnation, fence_at,
};
use crate::agent::RunResult;
use crate::time::Moment;
use std::collections::BTreeSet;
use std::time::Duration;

impl RunLedger {
    pub(super) fn greet(
        &mut self,
        incarnation: ServerIncarnation,
        clock: Option<Duration>,
        now: Moment,
    ) {
        if self.former.as_ref() == Some(&incarnation) {
            return;
        }
        match &mut self.present {
            Some(present) if present.incarnation == incarnation => {
                if let Some(reading) = clock {
                    present.clock.note(reading, now.elapsed);
                }
            }
            Some(present) if present.incarnation.server == incarnation.server => {
                if incarnation.started_at > present.incarnation.started_at {
                    self.renew_life(incarnation.started_at, now);
                } else {
                    // Late, or the wall clock of a new life went back; a look tells which.
                    self.look(Duration::ZERO, now);
                }
            }
            Some(_) => {
                // The present life is over once it does not answer to its name any more.
                self.next = Some(incarnation);
                self.look(Duration::ZERO, now);
            }
            None => self.begin_life(incarnation, now),
        }
    }

    pub(super) fn begin_life(&mut self, incarnation: ServerIncarnation, now: Moment) {
        self.present = Some(PresentLife {
            incarnation,
            phase: LifePhase::Greeting,
            fence: None,
            clock: WorkerClock::default(),
            last_seen: 0,
            told: 0,
            holds: BTreeSet::new(),
            strays: BTreeSet::new(),
        });
        self.look(Duration::ZERO, now);
    }

    /// Goes on with a server that started again under its id. Orders sent since then reached the
    /// new life, so the next look decides what became of each run.
    pub(super) fn renew_life(&mut self, started_at: Duration, now: Moment) {
        let Some(present) = self.present.take() else { return };
        let incarnation =
            ServerIncarnation { server: present.incarnation.server.clone(), started_at };
        self.former = Some(present.incarnation.clone());
        self.actions.push(RunAction::IncarnationEnded(present.incarnation));
        self.begin_life(incarnation, now);
    }

    /// The server leaves: its runs end with it, or with their lease.
    pub(super) fn part(&mut self, incarnation: &ServerIncarnation) {
        let Some(present) = &mut self.present else { return };
        if present.incarnation == *incarnation && present.phase != LifePhase::Parting {
            present.phase = LifePhase::Parting;
            self.actions.push(RunAction::IncarnationEnded(incarnation.clone()));
        }
    }

    /// Ends the present life with everything that ran in it.
    pub(super) fn end_life(&mut self, now: Moment) {
        let Some(present) = self.present.take() else { return };
        self.former = Some(present.incarnation.clone());
        if present.phase != LifePhase::Parting {
            self.actions.push(RunAction::IncarnationEnded(present.incarnation));
        }
        self.numbers.clear();
        for task in self.tasks_where(|_| true) {
            self.finish(task, RunResult::Interrupted);
        }
        if let Some(incarnation) = self.next.take() {
            self.begin_life(incarnation, now);
        }
    }

    /// Sets a fence above the one that outranked ours.
    pub(super) fn fence_again(&mut self, now: Moment) {
        if let Some(present) = &mut self.present {
            present.fence = None;
            present.phase = LifePhase::Greeting;
        }
        self.look(Duration::ZERO, now);
    }

    pub(super) fn advance_life(&mut self, running: &[RunningRow], clock: Duration) {
        let Some(present) = &mut self.present else { return };
        match present.phase {
            LifePhase::Greeting if present.fence.is_none() => {
                present.fence = Some(fence_at(clock));
            }
            LifePhase::Greeting => present.phase = LifePhase::Clearing,
            LifePhase::Clearing | LifePhase::Settled | LifePhase::Parting => {}
        }
        let is_clear = running.iter().all(|row| self.tasks.contains_key(&row.key));
        if present.phase == LifePhase::Clearing && is_clear && present.strays.is_empty() {
            present.phase = LifePhase::Settled;
            let incarnation = present.incarnation.clone();
            self.actions.push(RunAction::ServerReady(incarnation));
        }
    }

    pub(super) fn end_parted(&mut self, now: Moment) {
        let is_parting =
            self.present.as_ref().is_some_and(|present| present.phase == LifePhase::Parting);
        if is_parting && self.runs.is_empty() {
            self.end_life(now);
        }
    }
}

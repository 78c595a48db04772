//! Lives of the server: how one is greeted, cleared of what ran before, renewed and ended.

use super::clock::WorkerClock;
use super::{LifePhase, PresentLife, RunAction, RunLedger, RunningRow, ServerLife, fence_at};
use crate::agent::RunResult;
use crate::time::Moment;
use std::collections::BTreeSet;
use std::time::Duration;

impl RunLedger {
    pub(super) fn greet(&mut self, life: ServerLife, clock: Option<Duration>, now: Moment) {
        if self.former.as_ref() == Some(&life) {
            return;
        }
        match &mut self.present {
            Some(present) if present.life == life => {
                if let Some(reading) = clock {
                    present.clock.note(reading, now.elapsed);
                }
            }
            Some(present) if present.life.server == life.server => {
                if life.born > present.life.born {
                    self.renew_life(life.born, now);
                } else {
                    // Late, or the wall clock of a new life went back; a look tells which.
                    self.look(Duration::ZERO, now);
                }
            }
            Some(_) => {
                // The present life is over once it does not answer to its name any more.
                self.next = Some(life);
                self.look(Duration::ZERO, now);
            }
            None => self.begin_life(life, now),
        }
    }

    pub(super) fn begin_life(&mut self, life: ServerLife, now: Moment) {
        self.present = Some(PresentLife {
            life,
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
    pub(super) fn renew_life(&mut self, born: Duration, now: Moment) {
        let Some(present) = self.present.take() else { return };
        let life = ServerLife { server: present.life.server.clone(), born };
        self.former = Some(present.life.clone());
        self.actions.push(RunAction::LifeOver(present.life));
        self.begin_life(life, now);
    }

    /// The server leaves: its runs end with it, or with their lease.
    pub(super) fn part(&mut self, life: &ServerLife) {
        let Some(present) = &mut self.present else { return };
        if present.life == *life && present.phase != LifePhase::Parting {
            present.phase = LifePhase::Parting;
            self.actions.push(RunAction::LifeOver(life.clone()));
        }
    }

    /// Ends the present life with everything that ran in it.
    pub(super) fn end_life(&mut self, now: Moment) {
        let Some(present) = self.present.take() else { return };
        self.former = Some(present.life.clone());
        if present.phase != LifePhase::Parting {
            self.actions.push(RunAction::LifeOver(present.life));
        }
        self.numbers.clear();
        for task in self.tasks_where(|_| true) {
            self.finish(task, RunResult::Interrupted);
        }
        if let Some(life) = self.next.take() {
            self.begin_life(life, now);
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
            let life = present.life.clone();
            self.actions.push(RunAction::Settled(life));
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

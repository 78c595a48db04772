//! Faults of the fleet: processes that are killed or stand still, links that are cut, and workers that
//! leave commands unanswered and carry them out late.

use super::event::FleetEvent;
use super::{ACTIVE_TIME, AGENTS, ENTRIES, Fleet, LEAD};
use rand::RngExt;
use std::time::Duration;

/// Time from the end of a process to its next start.
const RESTART_DELAY: Duration = Duration::from_millis(1_000);
const FAULTS: std::ops::Range<usize> = 2..6;
/// Time after an entry is killed in which its agents may follow, in milliseconds.
const FOLLOWING_KILL_MS: std::ops::Range<u64> = 300..1_200;

#[derive(Debug, Clone, Copy)]
pub enum FleetFault {
    KillEntry {
        entry: usize,
    },
    KillAgent {
        agent: usize,
    },
    FreezeEntry {
        entry: usize,
        time: Duration,
    },
    FreezeAgent {
        agent: usize,
        time: Duration,
    },
    /// No message passes between the two.
    Cut {
        entry: usize,
        agent: usize,
        time: Duration,
    },
    /// Starts and cancellations are lost in connections that are silent; new connections work.
    Silence {
        entry: usize,
        agent: usize,
        time: Duration,
    },
    /// Each message between the two takes up to `delay` longer, so that they overtake one another.
    Delay {
        entry: usize,
        agent: usize,
        delay: Duration,
        time: Duration,
    },
    LateCommands {
        percent: u32,
        time: Duration,
    },
}

/// Link between an entry and an agent.
#[derive(Debug, Clone, Copy, Default)]
pub struct Link {
    cut_until: Duration,
    silent_until: Duration,
    slow_until: Duration,
    delay: Duration,
}

impl Link {
    /// Whether all messages are lost at `now`.
    pub fn is_cut(self, now: Duration) -> bool {
        now < self.cut_until
    }

    /// Whether messages over existing connections are lost at `now`.
    pub fn is_silent(self, now: Duration) -> bool {
        now < self.silent_until
    }

    /// Longest time that a message takes longer at `now`.
    pub fn longest_delay(self, now: Duration) -> Duration {
        if now < self.slow_until { self.delay } else { Duration::ZERO }
    }
}

/// Share of the starts and stops that get no answer and are carried out late.
#[derive(Debug, Clone, Copy)]
pub struct LateCommands {
    pub percent: u32,
    pub until: Duration,
}

impl Fleet {
    pub(super) fn plan_faults(&mut self) {
        for _ in 0..self.random.random_range(FAULTS) {
            let at = LEAD + self.draw_ms(500..ACTIVE_TIME.as_millis() as u64);
            let fault = self.draw_fault();
            self.schedule(at, FleetEvent::Fault(fault));
            if matches!(fault, FleetFault::KillEntry { .. }) {
                self.plan_following_faults(at);
            }
        }
    }

    /// Faults right after the end of an entry, while its runs are being ended.
    fn plan_following_faults(&mut self, at: Duration) {
        for agent in 0..AGENTS {
            if self.random.random_bool(0.4) {
                let later = at + self.draw_ms(FOLLOWING_KILL_MS);
                self.schedule(later, FleetEvent::Fault(FleetFault::KillAgent { agent }));
            }
        }
        if self.random.random_bool(0.5) {
            let percent = self.random.random_range(20..80);
            let time = Duration::from_millis(1_500);
            let late = FleetFault::LateCommands { percent, time };
            self.schedule(at, FleetEvent::Fault(late));
        }
    }

    fn draw_ms(&mut self, range: std::ops::Range<u64>) -> Duration {
        Duration::from_millis(self.random.random_range(range))
    }

    fn draw_fault(&mut self) -> FleetFault {
        let entry = self.random.random_range(0..ENTRIES);
        let agent = self.random.random_range(0..AGENTS);
        match self.random.random_range(0..10) {
            0..3 => FleetFault::KillEntry { entry },
            3 => FleetFault::KillAgent { agent },
            4 => FleetFault::FreezeEntry { entry, time: self.draw_ms(200..3_000) },
            5 => FleetFault::FreezeAgent { agent, time: self.draw_ms(200..2_000) },
            6 => FleetFault::Cut { entry, agent, time: self.draw_ms(200..3_000) },
            7 => FleetFault::Silence { entry, agent, time: self.draw_ms(200..3_000) },
            8 => {
                let delay = self.draw_ms(50..1_500);
                FleetFault::Delay { entry, agent, delay, time: self.draw_ms(200..3_000) }
            }
            _ => {
                let percent = self.random.random_range(5..80);
                FleetFault::LateCommands { percent, time: self.draw_ms(300..3_000) }
            }
        }
    }

    pub(super) fn inject(&mut self, fault: FleetFault) {
        self.faults.push((self.now, fault));
        match fault {
            FleetFault::KillEntry { entry } => {
                self.kill_entry(entry);
                self.schedule(RESTART_DELAY, FleetEvent::EntryStarts { entry });
            }
            FleetFault::KillAgent { agent } => {
                self.kill_agent(agent);
                self.schedule(RESTART_DELAY, FleetEvent::AgentStarts { agent });
            }
            FleetFault::FreezeEntry { entry, time } => {
                self.entries[entry].frozen_until = self.now + time;
            }
            FleetFault::FreezeAgent { agent, time } => {
                self.agents[agent].frozen_until = self.now + time;
            }
            FleetFault::Cut { entry, agent, time } => {
                self.links[entry][agent].cut_until = self.now + time;
            }
            FleetFault::Silence { entry, agent, time } => {
                self.links[entry][agent].silent_until = self.now + time;
            }
            FleetFault::Delay { entry, agent, delay, time } => {
                let link = &mut self.links[entry][agent];
                link.delay = delay;
                link.slow_until = self.now + time;
            }
            FleetFault::LateCommands { percent, time } => {
                self.late_commands = Some(LateCommands { percent, until: self.now + time });
            }
        }
    }
}

//! Late jobs: which of those that can no longer be on time are worth holding.
//!
//! Servers that are kept busy by jobs that can still be on time start none that is late. Once one
//! late job of a service has waited in vain, only a single one goes on waiting, as the probe that
//! shows when there is room again; the others are refused as soon as they are late.

use crate::id::{ServiceName, SubmissionId};
use std::collections::HashMap;

/// What to do with a job that has become late.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LateChoice {
    /// Let it wait for a start.
    Wait,
    /// Refuse it; others like it wait in vain.
    Refuse,
}

/// Services whose late jobs wait in vain, each with the job that still waits as a probe.
#[derive(Debug, Default)]
pub struct LateJobs {
    probes: HashMap<ServiceName, SubmissionId>,
}

impl LateJobs {
    /// Notes that a late job of `service` waited in vain.
    pub fn note_expired(&mut self, service: &ServiceName, job: SubmissionId) {
        self.probes.insert(service.clone(), job);
    }

    /// Notes that a task of a late job of `service` got a start.
    pub fn note_started(&mut self, service: &str) {
        self.probes.remove(service);
    }

    /// What to do with `job`, which has become late; `is_waiting` tells whether another still waits.
    pub fn choose(
        &mut self,
        service: &str,
        job: SubmissionId,
        is_waiting: impl Fn(SubmissionId) -> bool,
    ) -> LateChoice {
        let Some(probe) = self.probes.get_mut(service) else { return LateChoice::Wait };
        if is_waiting(*probe) {
            return LateChoice::Refuse;
        }
        *probe = job;
        LateChoice::Wait
    }
}

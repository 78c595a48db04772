//! Load shedding of late jobs.
//!
//! While jobs that can still be on time keep the servers of a service busy, no late job starts.
//! Once a late job of the service has expired without being started, only one late job, the probe,
//! keeps waiting, and every other job of the service is refused as soon as it becomes late. When a
//! late job starts, capacity is free again, and late jobs of the service are no longer refused.

use crate::id::{ServiceName, SubmissionId};
use std::collections::HashMap;

/// How to handle a job that has become late.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ShedDecision {
    /// Keep the job queued.
    Wait,
    /// Refuse the job; late jobs of its service are not being started.
    Refuse,
}

/// Services whose late jobs are shed, each with the job that may wait as its probe.
#[derive(Debug, Default)]
pub struct LoadShedder {
    probes: HashMap<ServiceName, SubmissionId>,
}

impl LoadShedder {
    /// Starts shedding after `job`, a late job of `service`, expired without being started.
    ///
    /// `job` no longer waits, so the next late job becomes the probe.
    pub fn record_expired(&mut self, service: &ServiceName, job: SubmissionId) {
        self.probes.insert(service.clone(), job);
    }

    /// Stops shedding after a late job of `service` started.
    pub fn record_started(&mut self, service: &str) {
        self.probes.remove(service);
    }

    /// Decides how to handle `job`, which has become late; `is_waiting` tells whether a job still
    /// waits for its first start.
    pub fn decide(
        &mut self,
        service: &str,
        job: SubmissionId,
        is_waiting: impl Fn(SubmissionId) -> bool,
    ) -> ShedDecision {
        let Some(probe) = self.probes.get_mut(service) else { return ShedDecision::Wait };
        if is_waiting(*probe) {
            return ShedDecision::Refuse;
        }
        *probe = job;
        ShedDecision::Wait
    }
}

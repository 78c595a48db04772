//! Request keys of jobs that may run only once: what is known of each when a job arrives.

use super::EntryMachine;
use super::admit::{Admission, CLOCK_LEAD, find_spec, is_idempotent, millis};
use crate::claim::{ClaimKey, claim_key, content_digest};
use crate::error::{ErrorKind, JobError, RefusalFigures};
use crate::id::SubmissionId;
use crate::job::JobRequest;
use crate::time::Moment;

impl EntryMachine {
    /// Claim key that the job needs, `None` where all its requests are idempotent.
    pub(super) fn claim_for(
        &self,
        request: &JobRequest,
        now: Moment,
    ) -> Result<Option<ClaimKey>, JobError> {
        let spec = find_spec(self.ledger.configuration(), request)?;
        if is_idempotent(spec, request) {
            return Ok(None);
        }
        let Some(created) = request.created_at else {
            let figures = RefusalFigures::new("created_at_required", 1, 0);
            return Err(JobError::new(ErrorKind::InvalidRequest, figures));
        };
        if created > now.wall + CLOCK_LEAD {
            let lead = millis(created - now.wall);
            let figures = RefusalFigures::new("clock_lead_ms", millis(CLOCK_LEAD), lead);
            return Err(JobError::new(ErrorKind::InvalidRequest, figures));
        }
        let age = now.wall.saturating_sub(created);
        if age > self.limits.claim_window {
            let allowed = millis(self.limits.claim_window);
            let figures = RefusalFigures::new("claim_window_ms", allowed, millis(age));
            return Err(JobError::new(ErrorKind::RequestKeyExpired, figures));
        }
        if self.claims_read.is_none() {
            return Err(JobError::plain(ErrorKind::LogUnavailable));
        }
        Ok(Some(claim_key(&request.team, &request.service, &request.name, created)))
    }

    /// What to do with a key that a submission known here holds.
    pub(super) fn find_claimed(&self, key: ClaimKey, request: &JobRequest) -> Option<Admission> {
        let digest = content_digest(&request.tasks);
        if let Some(kept) = self.kept.get(&key) {
            let repeat = Admission::Repeat(key);
            return Some(if kept.digest == digest { repeat } else { Self::key_reused() });
        }
        let holder = self.claims.holder(key)?;
        Some(match self.jobs.get(&holder) {
            Some(job) if job.digest == digest => Admission::Join(holder),
            Some(_) => Self::key_reused(),
            None => Admission::Refuse(JobError::plain(ErrorKind::AlreadyClaimed)),
        })
    }

    /// Refusal of another job under a key that is taken.
    pub(super) fn key_reused() -> Admission {
        let figures = RefusalFigures::new("jobs_per_request_key", 1, 2);
        Admission::Refuse(JobError::new(ErrorKind::InvalidRequest, figures))
    }

    /// Whether no submission but `own` can have run under `key`, as of the last claims read.
    ///
    /// A submission starts only after its claim stands in the log, so a read that reached the end
    /// of the claims without finding one proves that none started before.
    pub(super) fn is_key_clear(
        &self,
        key: ClaimKey,
        own: Option<SubmissionId>,
        now: Moment,
    ) -> bool {
        let is_read = self.claims_read.is_some_and(|at| at + self.limits.lease > now.elapsed);
        let holder = self.claims.holder(key);
        holder.map_or(is_read, |holder| Some(holder) == own)
    }

    /// The same error, without the statement that the request was not run where an earlier
    /// submission of it may have run.
    pub(super) fn proven(&self, request: &JobRequest, error: JobError, now: Moment) -> JobError {
        let spec = find_spec(self.ledger.configuration(), request);
        let is_idempotent = spec.is_ok_and(|spec| is_idempotent(spec, request));
        let Some(created) = request.created_at.filter(|_| !is_idempotent) else { return error };
        let key = claim_key(&request.team, &request.service, &request.name, created);
        let not_run = error.not_run && self.is_key_clear(key, None, now);
        JobError { not_run, ..error }
    }
}

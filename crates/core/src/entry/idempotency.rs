//! Idempotency keys: how a job that may run only once is handled if its key is already known.

use super::EntryMachine;
use super::admission::{AdmissionDecision, MAX_CLOCK_LEAD, find_spec, is_idempotent, millis};
use crate::claim::{ClaimKey, claim_key, content_digest};
use crate::error::{ErrorKind, JobError, LimitDetails, LimitName};
use crate::id::SubmissionId;
use crate::job::JobRequest;
use crate::time::Moment;

impl EntryMachine {
    /// Key that the job must claim before it runs; `None` if all its requests are idempotent.
    pub(super) fn claim_key_for(
        &self,
        request: &JobRequest,
        now: Moment,
    ) -> Result<Option<ClaimKey>, JobError> {
        let spec = find_spec(self.ledger.configuration(), request)?;
        if is_idempotent(spec, request) {
            return Ok(None);
        }
        let Some(created) = request.created_at else {
            let details = LimitDetails::new(LimitName::CreatedAtRequired, 1, 0);
            return Err(JobError::new(ErrorKind::InvalidRequest, details));
        };
        if created > now.wall + MAX_CLOCK_LEAD {
            let lead = millis(created - now.wall);
            let details = LimitDetails::new(LimitName::ClockLeadMs, millis(MAX_CLOCK_LEAD), lead);
            return Err(JobError::new(ErrorKind::InvalidRequest, details));
        }
        let age = now.wall.saturating_sub(created);
        if age > self.limits.claim_window {
            let allowed = millis(self.limits.claim_window);
            let details = LimitDetails::new(LimitName::ClaimWindowMs, allowed, millis(age));
            return Err(JobError::new(ErrorKind::RequestKeyExpired, details));
        }
        if self.claims_read_at.is_none() {
            return Err(JobError::plain(ErrorKind::LogUnavailable));
        }
        Ok(Some(claim_key(&request.team, &request.service, &request.name, created)))
    }

    /// How to handle a job whose key was claimed before; `None` if no claim of the key is known.
    pub(super) fn resolve_claimed_key(
        &self,
        key: ClaimKey,
        request: &JobRequest,
    ) -> Option<AdmissionDecision> {
        let digest = content_digest(&request.task_groups);
        if let Some(cached) = self.cached_answers.get(&key) {
            let answer = AdmissionDecision::AnswerFromCache(key);
            return Some(if cached.digest == digest { answer } else { Self::key_reuse_refusal() });
        }
        let holder = self.claims.holder(key)?;
        Some(match self.jobs.get(&holder) {
            Some(job) if job.digest == digest => AdmissionDecision::Join(holder),
            Some(_) => Self::key_reuse_refusal(),
            None => AdmissionDecision::Refuse(JobError::plain(ErrorKind::AlreadyClaimed)),
        })
    }

    /// Refusal of a job whose key belongs to a job with different content.
    pub(super) fn key_reuse_refusal() -> AdmissionDecision {
        let details = LimitDetails::new(LimitName::JobsPerRequestKey, 1, 2);
        AdmissionDecision::Refuse(JobError::new(ErrorKind::InvalidRequest, details))
    }

    /// Whether no submission other than `own_submission` can have run under `key` when the claims
    /// were last read.
    ///
    /// A submission starts only after its claim is in the log. If a read reaches the end of the
    /// claim stream without finding a claim of the key, no submission had started before that read.
    pub(super) fn is_key_unused(
        &self,
        key: ClaimKey,
        own_submission: Option<SubmissionId>,
        now: Moment,
    ) -> bool {
        let is_read_recent =
            self.claims_read_at.is_some_and(|at| at + self.limits.lease > now.elapsed);
        let holder = self.claims.holder(key);
        holder.map_or(is_read_recent, |holder| Some(holder) == own_submission)
    }

    /// Clears `not_run` in `error` if an earlier submission of the same request may have run.
    pub(super) fn clear_uncertain_not_run(
        &self,
        request: &JobRequest,
        error: JobError,
        now: Moment,
    ) -> JobError {
        let spec = find_spec(self.ledger.configuration(), request);
        let is_idempotent = spec.is_ok_and(|spec| is_idempotent(spec, request));
        let Some(created) = request.created_at.filter(|_| !is_idempotent) else { return error };
        let key = claim_key(&request.team, &request.service, &request.name, created);
        let not_run = error.not_run && self.is_key_unused(key, None, now);
        JobError { not_run, ..error }
    }
}

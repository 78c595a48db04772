//! Session with a server incarnation: how it begins, becomes ready, restarts and ends.

use super::worker_clock::WorkerClock;
use super::worker_lease::{LeaseRenewal, WorkerLease};
use super::{
    EndEvidence, FenceToken, IncarnationEnd, RunAction, RunLedger, RunLimits, RunningRow,
    ServerIncarnation, ServerSession, SessionPhase,
};
use crate::agent::RunResult;
use crate::entry::InterruptCause;
use crate::time::Moment;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

impl ServerSession {
    /// Renews the lease at `now`, for as long as every run may continue.
    pub(super) fn renew_lease(
        &mut self,
        limits: &RunLimits,
        run_deadline: Option<Duration>,
        now: Moment,
    ) -> LeaseRenewal {
        let renewal = self.clock.lease_end(limits.lease, run_deadline, now);
        if let LeaseRenewal::Until(_) = renewal {
            self.lease.extend(limits.longest_hold, now.steady);
        }
        renewal
    }

    /// Drops the fencing token. Until another one is accepted, other calls may extend the lease.
    fn drop_fence(&mut self) {
        self.fence = None;
        self.lease = WorkerLease::Unknown;
        if self.phase != SessionPhase::Closing {
            self.phase = SessionPhase::Connecting;
        }
    }
}

impl RunLedger {
    pub(super) fn on_announce(
        &mut self,
        incarnation: ServerIncarnation,
        clock: Option<Duration>,
        now: Moment,
    ) {
        if self.ended_incarnation.as_ref() == Some(&incarnation) {
            return;
        }
        match &mut self.session {
            Some(session) if session.incarnation == incarnation => {
                if let Some(reading) = clock {
                    session.clock.update(reading, now.steady);
                }
            }
            Some(session) if session.incarnation.server == incarnation.server => {
                if incarnation.started_at > session.incarnation.started_at {
                    self.restart_session(incarnation.started_at, IncarnationEnd::Announced, now);
                } else {
                    // Either the announcement is late, or the server restarted and its wall clock
                    // went back. The answer to a poll tells which.
                    self.send_poll(Duration::ZERO, now);
                }
            }
            Some(_) => {
                // The current session ends once the server at this address rejects its id.
                self.next_incarnation = Some(incarnation);
                self.send_poll(Duration::ZERO, now);
            }
            None => self.begin_session(incarnation, now),
        }
    }

    pub(super) fn begin_session(&mut self, incarnation: ServerIncarnation, now: Moment) {
        self.session = Some(ServerSession {
            incarnation,
            phase: SessionPhase::Connecting,
            fence: None,
            clock: WorkerClock::default(),
            lease: WorkerLease::Unknown,
            last_seen: 0,
            acknowledged: 0,
            open_polls: BTreeMap::new(),
            orphans: BTreeSet::new(),
        });
        self.send_poll(Duration::ZERO, now);
    }

    /// Begins a session with a server that restarted under the same id. Requests sent since the
    /// restart reached the new incarnation, so the next poll decides the outcome of each run. Neither
    /// its clock nor its lease is known yet.
    pub(super) fn restart_session(
        &mut self,
        started_at: Duration,
        reason: IncarnationEnd,
        now: Moment,
    ) {
        let Some(session) = self.session.take() else { return };
        let incarnation =
            ServerIncarnation { server: session.incarnation.server.clone(), started_at };
        self.ended_incarnation = Some(session.incarnation.clone());
        self.actions.push(RunAction::IncarnationEnded { incarnation: session.incarnation, reason });
        for run in self.runs.values_mut() {
            run.ended_by_restart.get_or_insert(end_cause(session.phase));
        }
        self.begin_session(incarnation, now);
    }

    /// Stops renewing the lease: the runs end with the server or when the lease expires.
    pub(super) fn on_deregister(&mut self, incarnation: &ServerIncarnation) {
        let Some(session) = &mut self.session else { return };
        if session.incarnation == *incarnation && session.phase != SessionPhase::Closing {
            session.phase = SessionPhase::Closing;
            self.actions.push(RunAction::IncarnationEnded {
                incarnation: incarnation.clone(),
                reason: IncarnationEnd::Deregistered,
            });
        }
    }

    /// Ends the session and finishes all of its runs as interrupted.
    pub(super) fn end_session(&mut self, now: Moment) {
        let Some(session) = &self.session else { return };
        let (incarnation, phase) = (session.incarnation.clone(), session.phase);
        if phase != SessionPhase::Closing {
            let reason = IncarnationEnd::OtherServer;
            self.actions
                .push(RunAction::IncarnationEnded { incarnation: incarnation.clone(), reason });
        }
        for task in self.tasks_matching(|_| true) {
            let result = RunResult::Interrupted(end_cause(phase));
            self.finish_run(task, result, EndEvidence::OtherServer, now);
        }
        self.latest_numbers.clear();
        self.ended_incarnation = Some(incarnation);
        self.session = None;
        if let Some(incarnation) = self.next_incarnation.take() {
            self.begin_session(incarnation, now);
        }
    }

    /// Drops the fencing token if it is the `refused` one: the worker has seen a higher one. The
    /// answer to the next poll sets a token above that one.
    pub(super) fn replace_fence(&mut self, refused: FenceToken, now: Moment) {
        let Some(session) = &mut self.session else { return };
        if session.fence != Some(refused) {
            return;
        }
        session.drop_fence();
        self.fence_chooser.record_refusal();
        self.send_poll(Duration::ZERO, now);
    }

    /// Chooses another fencing token if the worker refused the one in use, at `clock` of the worker.
    pub(super) fn on_poll_fenced(&mut self, poll_fence: Option<FenceToken>, clock: Duration) {
        let Some(session) = &mut self.session else { return };
        if session.fence.is_some() {
            if poll_fence != session.fence {
                return;
            }
            self.fence_chooser.record_refusal();
        }
        session.drop_fence();
        session.fence = Some(self.fence_chooser.choose(&session.incarnation, clock));
    }

    /// Advances the session after a listing, in answer to a poll with the token `poll_fence`.
    pub(super) fn advance_phase(
        &mut self,
        running: &[RunningRow],
        clock: Duration,
        poll_fence: Option<FenceToken>,
        now: Moment,
    ) {
        self.advance_fence(clock, poll_fence, now);
        let Some(session) = &mut self.session else { return };
        let has_only_known_runs =
            running.iter().all(|row| self.tasks_by_run.contains_key(&row.key));
        if session.phase == SessionPhase::StoppingOrphans
            && has_only_known_runs
            && session.orphans.is_empty()
        {
            session.phase = SessionPhase::Ready;
            let incarnation = session.incarnation.clone();
            self.actions.push(RunAction::ServerReady(incarnation));
        }
    }

    /// Chooses the fencing token of the session, or records that the worker has accepted it. From
    /// then on the worker does nothing for calls of earlier sessions, so the lease is bounded.
    fn advance_fence(&mut self, clock: Duration, poll_fence: Option<FenceToken>, now: Moment) {
        let Some(session) = &mut self.session else { return };
        if session.fence.is_none() {
            session.fence = Some(self.fence_chooser.choose(&session.incarnation, clock));
        } else if poll_fence == session.fence && session.lease == WorkerLease::Unknown {
            self.fence_chooser.record_acceptance();
            session.lease.bound(self.limits.longest_hold, now.steady);
            if session.phase == SessionPhase::Connecting {
                session.phase = SessionPhase::StoppingOrphans;
            }
        }
    }

    pub(super) fn end_closing_session(&mut self, now: Moment) {
        let is_closing =
            self.session.as_ref().is_some_and(|session| session.phase == SessionPhase::Closing);
        if is_closing && self.runs.is_empty() {
            self.end_session(now);
        }
    }
}

/// Why the runs of a session end with it.
fn end_cause(phase: SessionPhase) -> InterruptCause {
    match phase {
        SessionPhase::Closing => InterruptCause::Stopped,
        SessionPhase::Connecting | SessionPhase::StoppingOrphans | SessionPhase::Ready => {
            InterruptCause::ServerLost
        }
    }
}

//! Faults planted in the simulated cluster to prove that the checker detects them.

/// Fault that violates an invariant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlantedFault {
    /// No fault; every invariant must hold.
    None,
    /// A restarted agent keeps its incarnation but loses the state of its tasks.
    AgentLosesState,
    /// A broken exchange is reported to the entry as if nothing had been sent.
    BreaksReportedAsUnsent,
    /// An entry that reads the claim stream does not see the claims of other entries.
    ForeignClaimsHidden,
    /// Permits are too long: 9 s in start requests and 100 s in directives. Directives also report
    /// every server as in service and not leaving.
    PermitsTooLong,
    /// Every fourth read of the log, an entry reports the version of the first record alone.
    LedgerReset,
    /// The answer of a task is delivered as that of another task of the same job.
    AnswersSwapped,
    /// Task answers are missing from the time line, so that a complete job lacks answers.
    AnswerEventsDropped,
    /// A graceful stop does not wait for running tasks.
    StopAbandonsRuns,
}

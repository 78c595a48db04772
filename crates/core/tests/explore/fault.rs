//! Faults planted in the simulated cluster to verify that the checker detects them.

/// Fault planted in the cluster; all but `None` lead to a violation of an invariant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlantedFault {
    /// No fault; every invariant must hold.
    None,
    /// A restarted agent reuses the incarnation of its predecessor without the state of its tasks.
    AgentLosesState,
    /// A broken exchange is reported to the entry as if nothing had been sent.
    BreaksReportedAsUnsent,
    /// An entry that reads the claim stream does not see the claims of other entries.
    ForeignClaimsHidden,
    /// Permits are too long: 9 s in start requests and 100 s in directives. Directives also report
    /// every server as in service and not leaving.
    PermitsTooLong,
    /// At every fourth read of the log, an entry records that it applied the version after the
    /// first record, as if its ledger had been reset.
    LedgerReset,
    /// The answer of a task is delivered as that of another task of the same job.
    AnswersSwapped,
    /// Task answers are missing from the timeline, so that a complete job lacks answers.
    AnswerEventsDropped,
    /// A graceful stop does not wait for running tasks.
    StopAbandonsRuns,
}

//! Faults planted in the world around the decision parts, to prove the checker.

/// Fault that a promise must not survive.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlantedFault {
    /// No fault.
    None,
    /// A restarted agent keeps its incarnation, but not its memory.
    AgentForgets,
    /// A broken exchange is reported as if nothing had been sent.
    BreaksCountAsUnsent,
    /// The log loses claims that still count.
    ClaimsForgotten,
    /// Starts and directives carry permits that never end, and agents learn no new orders.
    PermitsNeverEnd,
    /// An entry forgets its configuration and reads an old snapshot.
    LedgerReset,
    /// An answer is delivered to another job.
    AnswersSwapped,
    /// A job is reported whole although a task was not answered.
    AnswersDropped,
    /// A planned stop does not wait for running tasks.
    StopCutsWork,
}

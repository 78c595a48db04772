//! Steps of a schedule, decoded from random bytes.

/// One step of a schedule. Each `u8` selects one of the processes, messages, jobs or changes that
/// are available when the step is executed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Advances the time by this many milliseconds.
    AdvanceTime(u64),
    /// Advances the time by this many milliseconds. Then every entry reads the log, polls a peer
    /// and receives a heartbeat from every agent, except where a pause or a log outage prevents it.
    Round(u64),
    /// Delivers a message in flight.
    Deliver(u8),
    /// Loses a message in flight; the flag states whether the entry notices the broken exchange.
    Lose(u8, bool),
    /// Delivers a start request or reply and keeps a copy in flight; delivers any other message
    /// once.
    Duplicate(u8),
    /// Submits a job.
    Submit {
        /// Selects the entry.
        entry: u8,
        /// Selects the job name, request, deadline and number of tasks.
        job: u8,
    },
    /// Cancels a job that has no answer yet.
    Cancel(u8),
    /// Ends a run at a backend server: with an answer if the flag is set, with a failure otherwise.
    FinishRun(u8, bool),
    /// Kills an agent and starts its next incarnation.
    RestartAgent(u8),
    /// Kills an entry and starts its next incarnation.
    RestartEntry(u8),
    /// Pauses or resumes an entry or agent.
    TogglePause(u8),
    /// Sends a heartbeat from an agent to an entry.
    Heartbeat(u8, u8),
    /// Changes the availability of a failure domain, or makes a server leave or rejoin.
    ChangeConfig(u8),
    /// Starts or ends a log outage, for all processes or for one entry.
    ToggleLogOutage(u8),
    /// Reads the configuration and claim streams at an entry.
    ReadLog(u8),
    /// Polls the state of one entry from another, unless either is paused.
    Poll(u8, u8),
    /// Appends a snapshot of the configuration and drops all earlier records.
    TrimLog,
    /// Drains an agent, stops it gracefully and starts its next incarnation.
    StopAgent(u8),
}

impl Step {
    /// Decodes a step from three random bytes; frequent kinds get more values of the first byte.
    pub fn from_bytes((kind, a, b): (u8, u8, u8)) -> Self {
        match kind % 64 {
            0..=5 => Self::Round(u64::from(a) * 4),
            6..=8 => Self::AdvanceTime(u64::from(a) * 4),
            9 if b % 4 == 0 => Self::AdvanceTime(u64::from(a) * 40),
            9..=25 => Self::Deliver(a),
            26 => Self::Lose(a, b % 2 == 0),
            27 => Self::Duplicate(a),
            28..=33 => Self::Submit { entry: a, job: b },
            34 => Self::Cancel(a),
            35..=40 => Self::FinishRun(a, b % 8 != 0),
            41 => Self::RestartAgent(a),
            42 if b % 2 == 0 => Self::RestartEntry(a),
            43 => Self::TogglePause(a),
            45..=50 => Self::Heartbeat(a, b),
            51..=53 => Self::ChangeConfig(a),
            54 if b % 2 == 0 => Self::ToggleLogOutage(a),
            55..=59 => Self::ReadLog(a),
            60..=61 => Self::Poll(a, b),
            62 if a % 4 == 0 => Self::TrimLog,
            62 => Self::StopAgent(a),
            _ => Self::AdvanceTime(1),
        }
    }
}

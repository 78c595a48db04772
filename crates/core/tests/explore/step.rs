//! Steps that a schedule is made of.

/// One step; the numbers choose among what exists at that time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Time passes, in milliseconds.
    Pass(u64),
    /// Time passes, in milliseconds; everyone who can reads the log and sends heartbeats.
    Beat(u64),
    /// A message arrives.
    Deliver(u8),
    /// A message is lost; its sender may notice.
    Lose(u8, bool),
    /// A message arrives and stays under way.
    Double(u8),
    /// A caller submits a job.
    Submit {
        /// Entry.
        entry: u8,
        /// Which job.
        job: u8,
    },
    /// A caller gives up.
    Cancel(u8),
    /// A backend server finishes a task.
    Finish(u8, bool),
    /// An agent dies and is replaced.
    RestartAgent(u8),
    /// An entry dies and is replaced.
    RestartEntry(u8),
    /// A process stops running or runs on.
    TogglePause(u8),
    /// An agent greets an entry.
    Greet(u8, u8),
    /// An operator changes something.
    Operate(u8),
    /// The log goes away or comes back, for everyone or for one entry.
    ToggleLog(u8),
    /// An entry reads the log.
    Read(u8),
    /// Two entries talk, unless they are cut off.
    Talk(u8, u8),
    /// The log drops old records.
    Trim,
    /// A process stops as planned.
    Stop(u8),
}

impl Step {
    /// Step for three random bytes; the frequent kinds have more numbers.
    pub fn from_bytes((kind, a, b): (u8, u8, u8)) -> Self {
        match kind % 64 {
            0..=5 => Self::Beat(u64::from(a) * 4),
            6..=8 => Self::Pass(u64::from(a) * 4),
            9 if b % 4 == 0 => Self::Pass(u64::from(a) * 40),
            9..=25 => Self::Deliver(a),
            26 => Self::Lose(a, b % 2 == 0),
            27 => Self::Double(a),
            28..=33 => Self::Submit { entry: a, job: b },
            34 => Self::Cancel(a),
            35..=40 => Self::Finish(a, b % 8 != 0),
            41 => Self::RestartAgent(a),
            42 if b % 2 == 0 => Self::RestartEntry(a),
            43 => Self::TogglePause(a),
            45..=50 => Self::Greet(a, b),
            51..=53 => Self::Operate(a),
            54 if b % 2 == 0 => Self::ToggleLog(a),
            55..=59 => Self::Read(a),
            60..=61 => Self::Talk(a, b),
            62 if a % 4 == 0 => Self::Trim,
            62 => Self::Stop(a),
            _ => Self::Pass(1),
        }
    }
}

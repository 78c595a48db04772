//! Questionnaire of a new team.
//!
//! [`TeamAnswers`] is what a team says of its requests, backend servers and failure domains.
//! [`find_faults`] lists everything that is wrong with the answers, each fault with its place and a
//! mend. [`generate`] makes the configuration and the settings of every process from them, with an
//! explanation of what follows from which answer.

mod answers;
mod faults;
mod generate;
mod question;

pub use answers::{
    EntryAnswer, LogAnswer, QuotaAnswer, RequestAnswer, ServerAnswer, ServiceAnswer, TeamAnswers,
    TeamPriority,
};
pub use faults::{AnswerFault, find_faults};
pub use generate::{GeneratedDeployment, SettingsFile, generate};
pub use question::{Interview, InterviewStep, Question};

//! Questionnaire for a new team, and the deployment generated from its answers.
//!
//! [`TeamAnswers`] describes the requests, backend servers and failure domains of a team. It is
//! read from an answer file or collected by an [`Interview`]. [`validate`] returns every error in
//! the answers, each with the path of the answer and a suggestion. [`generate`] derives the
//! configuration and the settings of every process from the answers, and explains how the answers
//! determine them.

mod answers;
mod generate;
mod interview;
mod validation;

pub use answers::{
    EntryAnswer, LogAnswer, QuotaAnswer, RequestAnswer, ServerAnswer, ServiceAnswer, TeamAnswers,
    TeamPriority,
};
pub use generate::{GeneratedDeployment, SettingsFile, generate};
pub use interview::{Interview, InterviewStep, Question};
pub use validation::{ValidationError, validate};

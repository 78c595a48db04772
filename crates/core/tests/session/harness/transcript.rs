//! Transcript lines for the actions of the entry.
//!
//! Submission ids are shortened to the number of the submission within the incarnation.

use super::EntryHarness;
use parsleyspool_core::claim::ClaimStep;
use parsleyspool_core::entry::EntryAction;
use parsleyspool_core::job::JobAnswer;
use std::fmt::Write as _;

impl EntryHarness {
    pub(super) fn record(&mut self, action: &EntryAction) {
        let line = match action {
            EntryAction::Answer { waiter_id, answer, version, .. } => {
                format!("answer waiter={waiter_id} version={version} {}", describe(answer))
            }
            EntryAction::Start { address, request, .. } => {
                let waiter_id = self.waiter_of(request.task.submission);
                self.starts.insert((waiter_id, request.task.index), request.start_id());
                format!(
                    "start at={address} task={} attempt={} version={} permit_until_ms={}",
                    request.task.index,
                    request.attempt,
                    request.version,
                    request.permit_until.as_millis()
                )
            }
            EntryAction::QueryStatus { address, start, .. } => {
                format!("query at={address} task={} attempt={}", start.task.index, start.attempt)
            }
            EntryAction::CancelTask { address, task, .. } => {
                format!("cancel at={address} task={}", task.index)
            }
            EntryAction::AppendClaims(steps) => {
                self.claim_appends.push(!self.is_losing_claims);
                if !self.is_losing_claims {
                    self.claim_stream.push(steps.clone());
                }
                let label = |step: &ClaimStep| match step {
                    ClaimStep::Claim { submission, .. } => format!("claim:{}", *submission as u64),
                    ClaimStep::Release { submission, .. } => {
                        format!("release:{}", *submission as u64)
                    }
                };
                format!("append claims {}", steps.iter().map(label).collect::<Vec<_>>().join(" "))
            }
            EntryAction::AppendRefusals(record) => match record {
                parsleyspool_core::audit_log::AuditLogRecord::Batch(batch) => {
                    let kinds = batch.records.iter();
                    let kinds: Vec<_> = kinds
                        .map(|record| format!("{}:{}", record.sequence, record.error.kind.name()))
                        .collect();
                    format!("append refusals {}", kinds.join(" "))
                }
                other => format!("append refusals {other:?}"),
            },
            EntryAction::AppendSnapshot(_) => "append snapshot".to_owned(),
            EntryAction::RecordEvent(event) => {
                let text = event.to_string();
                text.replace("submission=0000000000000001000000000000000", "submission=")
            }
        };
        let _ = writeln!(self.transcript, "  {line}");
    }
}

fn describe(answer: &JobAnswer) -> String {
    match answer {
        JobAnswer::Complete(answers) => {
            let texts = answers.iter().map(|bytes| String::from_utf8_lossy(bytes).into_owned());
            format!("complete {}", texts.collect::<Vec<_>>().join(", "))
        }
        JobAnswer::Failed(error) => format!(
            "{} not_run={} limit={} allowed={} actual={}",
            error.kind.name(),
            error.not_run,
            error.details.name(),
            error.details.allowed,
            error.details.actual
        ),
    }
}

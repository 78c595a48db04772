//! Callers that keep their connections and submit jobs one after the other.

use super::promise::DEADLINE;
use super::stage::SoakStage;
use crate::caller::{CallerReply, job_of, submit};
use parsleyspool_wire::caller::SubmitBody;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicI64, Ordering};
use std::time::{Duration, Instant};

/// Pause of a caller between two jobs.
const PAUSE: Duration = Duration::from_millis(30);
/// Submissions of one redemption at most.
const SUBMISSIONS: usize = 3;

/// What all callers share.
#[derive(Debug, Default)]
pub struct SoakCallers {
    pub is_over: AtomicBool,
    /// Lead of their clocks in seconds.
    pub lead: AtomicI64,
}

/// Submits jobs to the entry at `entry` until the run is over.
pub async fn call(stage: Arc<SoakStage>, callers: Arc<SoakCallers>, entry: usize, number: usize) {
    let client = reqwest::Client::builder().no_proxy().build().expect("a client");
    let mut count = 0;
    while !callers.is_over.load(Ordering::SeqCst) {
        let name = format!("c{entry}-{number}-{count}");
        let lead = callers.lead.load(Ordering::SeqCst);
        match count % 3 {
            0 => redeem(&stage, &client, entry, &job("redeem", &name, 1, lead)).await,
            _ => {
                let job = job("balance", &name, 1 + count % 5, lead);
                submit_noted(&stage, &client, entry, &job).await;
            }
        }
        count += 1;
        tokio::time::sleep(PAUSE).await;
    }
}

/// Redeems once; sends the same job again, to the next entry, while its outcome is not known.
async fn redeem(stage: &SoakStage, client: &reqwest::Client, entry: usize, job: &SubmitBody) {
    for attempt in 0..SUBMISSIONS {
        let at = (entry + attempt) % stage.entries.len();
        let reply = submit_noted(stage, client, at, job).await;
        let is_known = reply.is_whole() || reply.kind().as_deref() == Some("already_claimed");
        if is_known {
            return;
        }
        tokio::time::sleep(PAUSE).await;
    }
}

/// Submits a job and notes what came of it.
pub async fn submit_noted(
    stage: &SoakStage,
    client: &reqwest::Client,
    entry: usize,
    job: &SubmitBody,
) -> CallerReply {
    let sent = Instant::now();
    let reply = submit(client.clone(), stage.entries[entry].front.address, job.clone()).await;
    stage.record.note_reply(entry, job, sent, &reply);
    reply
}

/// Job of `tasks` short tasks of one kind, by a clock that leads by `lead` seconds.
pub fn job(request: &str, name: &str, tasks: usize, lead: i64) -> SubmitBody {
    let payloads = (0..tasks).map(|index| format!("{}ms {name} {index}", 20 + index * 15));
    let job = job_of(request, name, payloads);
    SubmitBody {
        deadline_ms: Some(u64::try_from(DEADLINE.as_millis()).expect("a short deadline")),
        created_at_ms: job.created_at_ms.and_then(|now| now.checked_add_signed(lead * 1000)),
        ..job
    }
}

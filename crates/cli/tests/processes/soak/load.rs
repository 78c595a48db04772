//! Callers that submit jobs sequentially over keep-alive connections.

use super::cluster::SoakCluster;
use super::invariants::DEADLINE;
use crate::caller::{CallerReply, job_of, submit};
use parsleyspool_wire::caller::SubmitBody;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicI64, Ordering};
use std::time::{Duration, Instant};

/// Pause of a caller between two jobs.
const JOB_PAUSE: Duration = Duration::from_millis(30);
/// Maximum number of submissions of one redemption.
const MAX_SUBMISSIONS: usize = 3;

/// State that all callers share.
#[derive(Debug, Default)]
pub struct LoadControl {
    pub is_over: AtomicBool,
    /// Seconds by which the clocks of the callers are ahead; negative if they are behind.
    pub clock_lead: AtomicI64,
}

/// Submits jobs to the entry at `entry` until the run is over.
pub async fn run_caller(
    cluster: Arc<SoakCluster>,
    control: Arc<LoadControl>,
    entry: usize,
    id: usize,
) {
    let client = reqwest::Client::builder().no_proxy().build().expect("a client");
    let mut count = 0;
    while !control.is_over.load(Ordering::SeqCst) {
        let name = format!("c{entry}-{id}-{count}");
        let clock_lead = control.clock_lead.load(Ordering::SeqCst);
        match count % 3 {
            0 => redeem(&cluster, &client, entry, &job("redeem", &name, 1, clock_lead)).await,
            _ => {
                let job = job("balance", &name, 1 + count % 5, clock_lead);
                submit_recorded(&cluster, &client, entry, &job).await;
            }
        }
        count += 1;
        tokio::time::sleep(JOB_PAUSE).await;
    }
}

/// Submits a redemption, and again to the next entry while its outcome is unknown.
async fn redeem(cluster: &SoakCluster, client: &reqwest::Client, entry: usize, job: &SubmitBody) {
    for attempt in 0..MAX_SUBMISSIONS {
        let target = (entry + attempt) % cluster.entries.len();
        let reply = submit_recorded(cluster, client, target, job).await;
        let is_outcome_known =
            reply.is_complete() || reply.kind().as_deref() == Some("already_claimed");
        if is_outcome_known {
            return;
        }
        tokio::time::sleep(JOB_PAUSE).await;
    }
}

/// Submits a job and records the reply.
pub async fn submit_recorded(
    cluster: &SoakCluster,
    client: &reqwest::Client,
    entry: usize,
    job: &SubmitBody,
) -> CallerReply {
    let sent = Instant::now();
    let reply = submit(client.clone(), cluster.entries[entry].callers.address, job.clone()).await;
    cluster.record.add_reply(entry, job, sent, &reply);
    reply
}

/// Job of `tasks` short tasks of one request, created by a caller whose clock is `clock_lead`
/// seconds ahead.
pub fn job(request: &str, name: &str, tasks: usize, clock_lead: i64) -> SubmitBody {
    let payloads = (0..tasks).map(|index| format!("{}ms {name} {index}", 20 + index * 15));
    let job = job_of(request, name, payloads);
    SubmitBody {
        deadline_ms: Some(u64::try_from(DEADLINE.as_millis()).expect("a short deadline")),
        created_at_ms: job.created_at_ms.and_then(|now| now.checked_add_signed(clock_lead * 1000)),
        ..job
    }
}

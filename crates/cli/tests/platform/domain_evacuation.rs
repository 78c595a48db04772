//! A failure domain that is taken out of service while no entry reaches the store.

use crate::callers::{CallerAnswer, CallerTally, submit_jobs};
use crate::deployment::{PlatformDeployment, agent_domain, agent_name};
use crate::play_size::PlaySize;
use serde_json::json;
use std::time::Duration;

/// Agent whose domain is taken out of service; it is that of the first entry, which therefore prefers it.
const EVACUATED_AGENT: usize = 2;
/// Number of rounds of jobs within which the agent has to notice it.
const MAX_ROUNDS: u32 = 8;

async fn submit_round(deployment: &PlatformDeployment, size: PlaySize, seed: u64) -> CallerTally {
    let fronts = deployment.entries.iter().map(|entry| entry.front).collect();
    submit_jobs(PlaySize { seed, ..size }, fronts).await
}

/// Whether the agent has logged that its domain is out of service.
fn has_noticed(deployment: &PlatformDeployment, agent: &str) -> bool {
    let process = deployment.processes.iter().find(|process| process.name == agent);
    let lines = process.expect("the agent runs").log_lines();
    let is_notice = |line: &String| {
        line.contains("event=domain_checked") && line.contains("is_in_service=false")
    };
    lines.iter().any(is_notice)
}

/// Failure (review/12): while the entries are cut off from the store, the agents of a domain that is taken
/// out of service start tasks until an entry reads the store again.
#[tokio::test(flavor = "multi_thread")]
async fn agents_notice_themselves_that_their_domain_is_out_of_service() {
    let size = PlaySize { length: Duration::from_secs(2), ..PlaySize::none_restart() };
    let agent = agent_name(EVACUATED_AGENT);
    let mut deployment = PlatformDeployment::start(&size).await;
    deployment.wait_serving(size.agents).await.expect("the deployment serves");

    (0..size.entries).for_each(|index| deployment.cut_from_store(index));
    let key = format!("evacuate/{}", agent_domain(EVACUATED_AGENT));
    deployment.store.put_operator_record(&key, &json!({}));
    let mut rounds = 0;
    while !has_noticed(&deployment, &agent) {
        rounds += 1;
        assert!(rounds <= MAX_ROUNDS, "the agent starts tasks in a domain out of service");
        submit_round(&deployment, size, rounds.into()).await;
    }
    let noticed_at = deployment.record.began.elapsed();
    let tally = submit_round(&deployment, size, u64::from(MAX_ROUNDS) + 1).await;

    let runs = deployment.record.runs().into_iter();
    let late = runs.filter(|run| run.machine == agent && run.started_at > noticed_at);
    assert_eq!(late.count(), 0);
    assert!(tally.last.contains_key(&CallerAnswer::Status(200)), "the other domains serve");
}

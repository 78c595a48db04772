//! Play: workers restart under their ids while callers submit jobs.

use crate::callers::{CallerTally, submit_jobs};
use crate::deployment::PlatformDeployment;
use crate::play_size::PlaySize;
use crate::worker_standin::LiveWorker;
use futures_util::future::join_all;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// Shortest time for which a restarted worker is down.
const MIN_DOWN_MS: u64 = 20;
/// Separates the draws of restarts from those of callers with the same seed.
const RESTART_STREAM: u64 = 1;

/// Plays with a running deployment and returns the answers to the callers.
pub async fn play(deployment: &mut PlatformDeployment, size: PlaySize) -> CallerTally {
    let fronts = deployment.entries.iter().map(|entry| entry.front).collect();
    let callers = tokio::spawn(submit_jobs(size, fronts));
    let restarts = restart_repeatedly(&mut deployment.workers, &size);
    let _ = tokio::time::timeout(size.length, restarts).await;
    callers.await.expect("the callers end")
}

/// Restarts the drawn workers at the same time, again and again; never returns.
async fn restart_repeatedly(workers: &mut [LiveWorker], size: &PlaySize) {
    let mut random = ChaCha8Rng::seed_from_u64(size.seed);
    random.set_stream(RESTART_STREAM);
    loop {
        tokio::time::sleep(size.restart_interval).await;
        let mut chosen: Vec<&mut LiveWorker> = workers.iter_mut().collect();
        chosen.shuffle(&mut random);
        chosen.truncate(size.restarted);
        let max_down_ms = (size.max_down.as_millis() as u64).max(MIN_DOWN_MS);
        let restarts = chosen.into_iter().map(|worker| {
            let down = Duration::from_millis(random.random_range(MIN_DOWN_MS..=max_down_ms));
            worker.restart(down)
        });
        join_all(restarts.collect::<Vec<_>>()).await;
    }
}

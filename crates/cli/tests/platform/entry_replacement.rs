//! Replacement of every entry, at other addresses than those that the agents know.

use crate::deployment::PlatformDeployment;
use crate::play_size::PlaySize;

/// Starts a deployment that serves.
async fn start_serving(size: &PlaySize) -> PlatformDeployment {
    let mut deployment = PlatformDeployment::start(size).await;
    deployment.wait_serving(size.agents).await.expect("the deployment serves");
    deployment
}

/// Failure (review/11): all entries are replaced at the same moment, and every agent calls the former
/// ones for good.
#[tokio::test(flavor = "multi_thread")]
async fn agents_find_the_entries_again_after_all_are_replaced_at_once() {
    let size = PlaySize::none_restart();
    let mut deployment = start_serving(&size).await;

    deployment.replace_entries();
    let found = deployment.wait_serving(size.agents).await;

    assert_eq!(found, Ok(()));
}

/// Failure (review/11): agents start soon after the entries were replaced, when their settings still name
/// the former ones. They do not reach the store, and get no signal when their settings change.
#[tokio::test(flavor = "multi_thread")]
async fn agents_that_start_with_old_seeds_find_the_entries_in_their_changed_settings() {
    let size = PlaySize::none_restart();
    let mut deployment = start_serving(&size).await;
    deployment.replace_entries();
    deployment.tells_store = false;
    deployment.restart_agents();
    deployment.wait_listening().await;

    deployment.name_entries_in_settings();
    let found = deployment.wait_serving(size.agents).await;

    assert_eq!(found, Ok(()));
}

/// Failure (review/14): agents that start while their settings name no entry, since all were replaced, end
/// by themselves with code 7, again after each restart.
#[tokio::test(flavor = "multi_thread")]
async fn agents_that_start_while_their_settings_name_no_entry_run_on_until_one_is_named() {
    let size = PlaySize::none_restart();
    let mut deployment = start_serving(&size).await;
    deployment.replace_entries();
    deployment.tells_store = false;
    deployment.name_no_entry_in_settings();
    deployment.restart_agents();
    deployment.wait_listening().await;

    deployment.name_entries_in_settings();
    let found = deployment.wait_serving(size.agents).await;

    assert_eq!(found, Ok(()));
}

//! Numbers of a backend server at the end of their range, at its agent.

use bytes::Bytes;
use parsleyspool_core::agent::{
    AgentAction, AgentEvent, AgentLimits, AgentMachine, ServerAvailability,
};
use parsleyspool_core::entry::{NotStartedReason, StartRequest, TaskReply};
use parsleyspool_core::id::{TaskId, submission_id};
use parsleyspool_core::resources::ResourceAmounts;
use parsleyspool_core::time::Moment;
use std::time::Duration;

const AGENT_INCARNATION: u64 = 9;
const NOW: Moment = Moment {
    elapsed: Duration::from_secs(1),
    steady: Duration::from_secs(1),
    wall: Duration::from_secs(1),
};

/// Agent of a server that states the largest capacity.
fn agent_of_endless_server() -> AgentMachine {
    let mut agent = AgentMachine::new(AGENT_INCARNATION, AgentLimits::default());
    let capacity = ResourceAmounts::from_slots(u32::MAX);
    let availability = ServerAvailability { capacity, is_leaving: false };
    agent.handle(AgentEvent::ServerAvailable(availability), NOW);
    agent
}

fn start(agent: &mut AgentMachine, index: u32, slots: u32) -> Vec<AgentAction> {
    let request = StartRequest {
        task: TaskId::new(submission_id(7, 1), index),
        attempt: 1,
        incarnation: AGENT_INCARNATION,
        service: "s".into(),
        job: "j".into(),
        request_name: "look".into(),
        demand: ResourceAmounts::from_slots(slots),
        may_stop: true,
        queue_penalty: Duration::ZERO,
        payload: Bytes::new(),
        version: 1,
        permit_until: NOW.elapsed + Duration::from_secs(3),
        confirmation: None,
        run_lease_until: None,
        start_before: NOW.elapsed + Duration::from_secs(60),
    };
    agent.handle(AgentEvent::Start { entry: "e".into(), request }, NOW)
}

/// Failure: the sum of the slots at a server overflows, and its agent ends or refuses everything.
#[test]
fn a_server_of_the_largest_capacity_runs_tasks_until_it_is_full() {
    let mut agent = agent_of_endless_server();

    let large = start(&mut agent, 0, u32::MAX - 1);
    let small = start(&mut agent, 1, 1);
    let excessive = start(&mut agent, 2, 1);

    let is_run = |actions: &[AgentAction]| {
        actions.iter().any(|action| matches!(action, AgentAction::Run(_)))
    };
    assert!(is_run(&large));
    assert!(is_run(&small));
    let refusal = TaskReply::NotStarted(NotStartedReason::Full);
    assert!(excessive.iter().any(|action| {
        matches!(action, AgentAction::ReplyToSender { reply, .. } if *reply == refusal)
    }));
}

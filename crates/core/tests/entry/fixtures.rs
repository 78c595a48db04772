//! Entry with one service and one backend server, and the events that it receives.

use bytes::Bytes;
use parsleyspool_core::config::{
    ConfigSnapshot, Configuration, LatencyObjective, RequestRule, ServiceSpec,
};
use parsleyspool_core::directory::ServerReport;
use parsleyspool_core::entry::{
    EntryAction, EntryEvent, EntryIdentity, EntryLimits, EntryMachine, StartId,
};
use parsleyspool_core::job::{JobRequest, TaskDemand, TaskGroup, TaskRequest};
use parsleyspool_core::resources::ResourceAmounts;
use parsleyspool_core::time::Moment;
use std::collections::BTreeMap;
use std::time::Duration;

/// Tasks that the server runs at the same time.
pub const SERVER_SLOTS: u32 = 6;
/// Time allowed for an answer.
pub const DEADLINE: Duration = Duration::from_secs(5);
/// Incarnation of the entry.
pub const INCARNATION: u64 = 1;

pub fn at(elapsed_ms: u64) -> Moment {
    Moment::new(Duration::from_millis(elapsed_ms), Duration::from_secs(1_000))
}

fn configuration(rules: &[(&str, RequestRule)]) -> ConfigSnapshot {
    let requests = rules.iter().map(|(name, rule)| ((*name).into(), rule.clone()));
    let spec =
        ServiceSpec { team: "t".into(), default_deadline: DEADLINE, requests: requests.collect() };
    let services = BTreeMap::from([("s".into(), spec)]);
    ConfigSnapshot { configuration: Configuration { version: 1, services, ..Default::default() } }
}

/// Entry that knows its configuration.
pub fn entry(limits: EntryLimits) -> EntryMachine {
    entry_with_objective(limits, None)
}

/// Entry whose requests have this latency objective.
pub fn entry_with_objective(
    limits: EntryLimits,
    objective: Option<LatencyObjective>,
) -> EntryMachine {
    let rule = RequestRule { idempotent: true, objective, ..RequestRule::default() };
    entry_with_rule(limits, rule)
}

/// Entry whose requests follow this rule.
pub fn entry_with_rule(limits: EntryLimits, rule: RequestRule) -> EntryMachine {
    entry_with_rules(limits, &[("look", rule)])
}

/// Entry with several kinds of request, by name.
pub fn entry_with_rules(limits: EntryLimits, rules: &[(&str, RequestRule)]) -> EntryMachine {
    let identity =
        EntryIdentity { name: "e".into(), incarnation: INCARNATION, domain: "d".into(), rank: 0 };
    let lease = Duration::from_secs(60);
    let limits = EntryLimits { lease, max_attempts: 100, ..limits };
    let mut machine = EntryMachine::new(identity, limits, 1);
    let snapshot = Some(configuration(rules));
    let requested_at = Duration::ZERO;
    machine.handle(EntryEvent::ConfigFetched { snapshot, requested_at }, at(0));
    machine
}

/// Submits a job at 10 ms and returns the starts that it leads to.
pub fn submit(machine: &mut EntryMachine, waiter_id: u64, tasks: usize) -> Vec<StartId> {
    let actions = submit_job(machine, waiter_id, vec![task(None); tasks], 10);
    starts(actions)
}

/// Task of the service, with the `demand` that the caller declares.
pub fn task(demand: Option<TaskDemand>) -> TaskRequest {
    TaskRequest { request_name: "look".into(), payload: Bytes::new(), demand }
}

/// Submits a job of `tasks` tasks of the kind `request_name`.
pub fn submit_named(
    machine: &mut EntryMachine,
    waiter_id: u64,
    request_name: &str,
    tasks: usize,
    now_ms: u64,
) -> Vec<EntryAction> {
    let task = TaskRequest { request_name: request_name.into(), ..task(None) };
    submit_job(machine, waiter_id, vec![task; tasks], now_ms)
}

/// Submits a job of these tasks.
pub fn submit_job(
    machine: &mut EntryMachine,
    waiter_id: u64,
    tasks: Vec<TaskRequest>,
    now_ms: u64,
) -> Vec<EntryAction> {
    submit_groups(machine, waiter_id, tasks.into_iter().map(TaskGroup::from).collect(), now_ms)
}

/// Submits a job of these groups of tasks.
pub fn submit_groups(
    machine: &mut EntryMachine,
    waiter_id: u64,
    task_groups: Vec<TaskGroup>,
    now_ms: u64,
) -> Vec<EntryAction> {
    let request = job_request(waiter_id, task_groups);
    machine.handle(EntryEvent::Submit { waiter_id, request }, at(now_ms))
}

/// Job of this caller, without a deadline of its own.
pub fn job_request(waiter_id: u64, task_groups: Vec<TaskGroup>) -> JobRequest {
    JobRequest {
        name: format!("j-{waiter_id}").into(),
        team: "t".into(),
        service: "s".into(),
        deadline: None,
        created_at: None,
        task_groups,
    }
}

pub fn report(sequence: u64, load: u32, own_load: u32) -> ServerReport {
    ServerReport {
        name: "s-1".into(),
        incarnation: 1,
        sequence,
        address: "a".into(),
        domain: "d".into(),
        worker: "w".into(),
        services: vec!["s".into()],
        capacity: ResourceAmounts::from_slots(SERVER_SLOTS),
        load_limit: SERVER_SLOTS + 1,
        load,
        own_load,
        is_leaving: false,
        clock: Duration::from_secs(100),
        version: 1,
        lost_tasks: Vec::new(),
        held_submissions: Vec::new(),
    }
}

pub fn starts(actions: Vec<EntryAction>) -> Vec<StartId> {
    let started = actions.into_iter().filter_map(|action| match action {
        EntryAction::Start { request, .. } => Some(request.start_id()),
        _ => None,
    });
    started.collect()
}

pub fn is_answered(actions: &[EntryAction]) -> bool {
    actions.iter().any(|action| matches!(action, EntryAction::Answer { .. }))
}

//! The `cost` subcommand: measures costs at several system sizes.

use clap::Args;
use error_stack::Report;
use parsleyspool_standins::cost::{
    LinearFit, agent_task_time, claim_memory_bytes, config_change_time, entry_memory_bytes,
    entry_task_time, entry_tick_time, heartbeat_size, heartbeat_time, job_task_time, message_sizes,
};
use parsleyspool_standins::error::StandinError;
use std::time::Duration;

/// Arguments of `cost`.
#[derive(Debug, Args)]
pub struct CostArgs {}

/// Numbers of servers registered at an entry.
const SERVERS: [usize; 4] = [10, 100, 1_000, 7_800];
/// Numbers of teams in the configuration.
const TEAMS: [usize; 4] = [1, 10, 35, 70];
/// Numbers of tasks per job.
const TASKS: [usize; 4] = [1, 10, 100, 790];
/// Numbers of claims in a claim ledger.
const CLAIMS: [u64; 4] = [10_000, 50_000, 100_000, 200_000];
/// Numbers of configuration changes in the log.
const CHANGES: [u64; 4] = [1_000, 4_000, 8_000, 17_000];
/// Numbers of tasks that an agent runs per measurement round.
const STARTS: [u32; 4] = [1_000, 5_000, 10_000, 20_000];
/// Numbers of lost tasks listed in a heartbeat.
const LOST_TASKS: [usize; 4] = [0, 4, 16, 64];
/// Numbers of entries listed in a directive.
const ENTRIES: [usize; 4] = [3, 10, 21, 42];

impl CostArgs {
    /// Measures every cost at several sizes and prints the values with a linear fit.
    pub fn run(self) -> Result<(), Report<StandinError>> {
        let micros = |time: Duration| time.as_secs_f64() * 1e6;
        print("entry_memory_bytes", &SERVERS, |&size| entry_memory_bytes(size) as f64);
        print("claim_memory_bytes", &CLAIMS, |&size| claim_memory_bytes(size) as f64);
        print("entry_task_us by servers", &SERVERS, |&size| micros(entry_task_time(size, 1)));
        print("entry_task_us by teams", &TEAMS, |&size| micros(entry_task_time(100, size)));
        print("entry_task_us by tasks in a job", &TASKS, |&size| micros(job_task_time(size)));
        print("entry_heartbeat_us by servers", &SERVERS, |&size| micros(heartbeat_time(size)));
        print("entry_tick_us by servers", &SERVERS, |&size| micros(entry_tick_time(size)));
        print("agent_task_us by starts", &STARTS, |&size| micros(agent_task_time(size)));
        print("config_change_us by changes", &CHANGES, |&size| micros(config_change_time(size)));
        print("heartbeat_bytes by lost tasks", &LOST_TASKS, |&size| heartbeat_size(size) as f64);
        print("directive_bytes by entries", &ENTRIES, |&size| message_sizes(size).directive as f64);
        print("start_bytes by entries", &ENTRIES, |&size| message_sizes(size).start as f64);
        Ok(())
    }
}

fn print<T: Copy + TryInto<u64>>(name: &str, sizes: &[T], measure: impl Fn(&T) -> f64) {
    let to_float = |size: T| size.try_into().unwrap_or(0) as f64;
    let points: Vec<(f64, f64)> =
        sizes.iter().map(|&size| (to_float(size), measure(&size))).collect();
    let shown: Vec<String> =
        points.iter().map(|(size, value)| format!("{size:.0}:{value:.3}")).collect();
    let fit = LinearFit::of(&points);
    println!(
        "{name} {} slope={:.6} intercept={:.3} residual={:.3}",
        shown.join(" "),
        fit.slope,
        fit.intercept,
        fit.residual
    );
}

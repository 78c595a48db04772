//! Cases: the entry is removed for good, and a new one comes at another address.

use crate::deployment::{
    CONTROL, Deployment, HOST, Machine, PREFIX, STORE, Size, configuration, get,
};
use crate::http::{self, Request};
use crate::record::Record;
use crate::store::Store;
use crate::{Trouble, Verdict};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Bounds of the sheet.
const RECOVERY: Duration = Duration::from_secs(12);
const SEED_LAG: Duration = Duration::from_secs(3);
/// Time for which the entry is missing.
const MISSING: Duration = Duration::from_millis(600);
/// Time for which all processes are missing after the final fault.
const DOWN: Duration = Duration::from_millis(950);
/// Time between two jobs.
const STEP: Duration = Duration::from_millis(100);
/// Time after which the platform starts a process again that has ended by itself.
const RESTART_DELAY: Duration = Duration::from_millis(500);

fn job(number: u64) -> Request {
    let body = "{\"taskSpec\":\"ms=60 cpu=3100\",\"bestEffort\":true,\"steps\":[{\"count\":2,\
                \"cpu\":3100,\"memMb\":64,\"estimatedMs\":60}]}";
    Request {
        method: "POST".to_owned(),
        headers: vec![
            ("host".to_owned(), HOST.to_owned()),
            ("x-request-deadline".to_owned(), "1500".to_owned()),
        ],
        body: body.as_bytes().to_vec(),
        ..get(&format!("{PREFIX}{number:016x}"))
    }
}

/// Requests with the time of each one's sending, and whether it was served.
type Answers = Arc<Mutex<Vec<(Instant, bool)>>>;

/// Sends a job every [`STEP`] until `is_over`, at the entry that there is at the time.
fn send_jobs(
    front: Arc<Mutex<std::net::SocketAddr>>,
    is_over: Arc<AtomicBool>,
    record: Arc<Record>,
) -> Answers {
    let answers = Answers::default();
    let collected = answers.clone();
    std::thread::spawn(move || {
        let mut number = 0x5c0e_7a21_d94b_0000;
        while !is_over.load(Ordering::Relaxed) {
            number += 1;
            let (answers, record) = (answers.clone(), record.clone());
            let address = *front.lock().expect("no writer panics");
            std::thread::spawn(move || {
                let request = job(number);
                let sent_at = Instant::now();
                let answer = http::send(address, &request, Duration::from_millis(1500));
                record.line(&format!("client: POST {}: {answer:?}", request.path));
                let is_served = matches!(answer, Ok((200, _)));
                answers.lock().expect("no writer panics").push((sent_at, is_served));
            });
            std::thread::sleep(STEP);
        }
    });
    collected
}

/// Number of requests sent from `from` to `until`, and of those that were served.
fn count(answers: &Answers, from: Instant, until: Instant) -> (usize, usize) {
    let answers = answers.lock().expect("no writer panics");
    let sent: Vec<_> = answers.iter().filter(|(at, _)| *at >= from && *at < until).collect();
    (sent.len(), sent.iter().filter(|(_, is_served)| *is_served).count())
}

fn start(record: &Arc<Record>) -> Result<Deployment, String> {
    let listener = Machine::new(2).listen(STORE).map_err(|error| error.to_string())?;
    let store = Store::start(listener, record.clone());
    let address = store.address;
    store.put("config", &configuration(7, &[PREFIX], 1500));
    let size = Size { agents: 2, cpu: 32_000 };
    let deployment = Deployment::start(store, address, size, record.clone())?;
    deployment.wait_until_ready(Duration::from_secs(10))?;
    std::thread::sleep(Duration::from_secs(4));
    Ok(deployment)
}

/// The entry is replaced shortly before the final fault.
pub fn run(trouble: Trouble, record: Arc<Record>) -> Result<Verdict, String> {
    let mut deployment = start(&record)?;
    let front = Arc::new(Mutex::new(deployment.front()));
    let is_over = Arc::new(AtomicBool::new(false));
    let begun_at = Instant::now();
    let answers = send_jobs(front.clone(), is_over.clone(), record.clone());
    std::thread::sleep(Duration::from_secs(5));
    let old = vec![deployment.entry_machine.address(CONTROL).to_string()];
    let mut new = old.clone();
    let mut came_at = Instant::now();
    if trouble == Trouble::Injected {
        deployment.kill_entry();
        record.line("the entry is removed for good");
        std::thread::sleep(MISSING);
        deployment.start_entry(Machine::new(4), &old)?;
        new = vec![deployment.entry_machine.address(CONTROL).to_string()];
        *front.lock().expect("no writer panics") = deployment.front();
        came_at = Instant::now();
        record.line(&format!("a new entry comes, at {}", deployment.entry_machine.ip));
    }
    std::thread::sleep(Duration::from_millis(500));
    deployment.store.put("config", &configuration(12, &[PREFIX], 1500));
    let fault_at = Instant::now();
    deployment.kill_all();
    record.line("the final fault: all processes are killed");
    std::thread::sleep(DOWN);
    deployment.start_entry(deployment.entry_machine, &old)?;
    deployment.start_agents(&old)?;
    let back_at = Instant::now();
    record.line(&format!("all processes are back, with the seeds {old:?}"));
    std::thread::sleep((came_at + SEED_LAG).saturating_duration_since(Instant::now()));
    deployment.list_seeds(&new)?;
    record.line(&format!("the settings files list the seeds {new:?}; SIGHUP was sent"));
    let until = back_at + RECOVERY + Duration::from_secs(6);
    std::thread::sleep(until.saturating_duration_since(Instant::now()));
    is_over.store(true, Ordering::Relaxed);
    std::thread::sleep(Duration::from_secs(2));
    let (sent_before, served_before) = count(&answers, begun_at, fault_at);
    let (sent, served) = count(&answers, back_at + RECOVERY, until);
    record.line(&format!(
        "before the final fault {served_before} of {sent_before} requests were served; of those sent \
         later than recoveryS after the machines were back, {served} of {sent}"
    ));
    if served_before * 4 < sent_before {
        return Err("too few requests were served before the final fault".to_owned());
    }
    Ok(if served * 4 < sent { Verdict::Broken } else { Verdict::Held })
}

/// The agents are killed while no entry is listed, and end by themselves from then on.
pub fn run_unseeded(trouble: Trouble, record: Arc<Record>) -> Result<Verdict, String> {
    let mut deployment = start(&record)?;
    let old = vec![deployment.entry_machine.address(CONTROL).to_string()];
    let removed_at = Instant::now();
    let mut seeds = old.clone();
    if trouble == Trouble::Injected {
        deployment.kill_entry();
        record.line("the entry is removed for good");
        std::thread::sleep(SEED_LAG);
        seeds = Vec::new();
        deployment.list_seeds(&seeds)?;
        record.line("the settings files list no seed; SIGHUP was sent");
    }
    deployment.agents.clear();
    record.line("the agents are killed, and started again");
    std::thread::sleep(RESTART_DELAY);
    deployment.start_agents(&seeds)?;
    let mut ends = vec![0; deployment.agents.len()];
    // Settings that list a new entry come seedLagS after it; it comes 4 s after the old one went.
    let until = removed_at + Duration::from_secs(4) + SEED_LAG;
    while Instant::now() < until {
        std::thread::sleep(RESTART_DELAY);
        for index in 0..ends.len() {
            let Some(code) = deployment.agents[index].exit_code() else { continue };
            ends[index] += 1;
            record.line(&format!("agent {} has ended by itself, with code {code}", index + 1));
            deployment.agents[index] = deployment.start_agent(index, &seeds)?;
        }
    }
    record.line(&format!("ends of each agent by itself: {ends:?}"));
    let is_broken = ends.iter().filter(|ends| **ends >= 3).count() >= 2;
    Ok(if is_broken { Verdict::Broken } else { Verdict::Held })
}

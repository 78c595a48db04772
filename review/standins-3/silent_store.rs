//! Case: the entry's open channels to the store go silent while new ones work.

use crate::deployment::{Deployment, Machine, PREFIX, STORE, Size, configuration, get};
use crate::http::{self, Request};
use crate::proxy::Proxy;
use crate::record::Record;
use crate::store::Store;
use crate::{Trouble, Verdict};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// Bounds of the sheets.
const CONTACT: Duration = Duration::from_millis(3000);
const CONFIG_APPLY: Duration = Duration::from_millis(2000);
/// Time from the start after which the entry has no idle channel of its start any more.
const SETTLED: Duration = Duration::from_secs(10);
/// Interval at which the channels are looked at.
const STEP: Duration = Duration::from_millis(20);
/// Path of the queue that the new configuration adds.
const ADDED: &str = "/pule252/";
/// Path of the queue that it drops.
const DROPPED: &str = "/pufi791/";

/// Longest time between the start of a read of the members and the start of the latest read of the
/// configuration. The entry then repeats the latter first.
const PHASE_GAP: Duration = Duration::from_millis(200);

/// Sends a job whose only task fits no runner. The entry refuses it and records that in the store, over
/// a third channel.
fn send_refused_job(front: SocketAddr, record: &Record) -> Result<(), String> {
    let body = "{\"taskSpec\":\"ms=50\",\"bestEffort\":true,\"steps\":[{\"count\":1,\
                \"cpu\":64000,\"memMb\":64,\"estimatedMs\":50}]}";
    let request = Request {
        method: "POST".to_owned(),
        path: format!("{PREFIX}5c0e7a21d94b36f1"),
        body: body.as_bytes().to_vec(),
        ..get(PREFIX)
    };
    let answer = http::send(front, &request, Duration::from_secs(2));
    record.line(&format!("client: answer to a job that fits no runner: {answer:?}"));
    answer.map(|_| ()).map_err(|error| error.to_string())
}

/// Job of one short task for the queue that the new configuration drops.
fn small_job(number: u64) -> Request {
    let body = "{\"taskSpec\":\"ms=20\",\"bestEffort\":true,\"steps\":[{\"count\":1,\
                \"cpu\":1000,\"memMb\":64,\"estimatedMs\":20}]}";
    Request {
        method: "POST".to_owned(),
        body: body.as_bytes().to_vec(),
        ..get(&format!("{DROPPED}{number:016x}"))
    }
}

/// Waits until the third channel is idle and the entry waits for both of its reads of the store, begun
/// at about the same time.
fn wait_for_moment(proxy: &Proxy) -> Result<(), String> {
    let deadline = Instant::now() + Duration::from_millis(2500);
    while Instant::now() < deadline {
        std::thread::sleep(STEP);
        let channels = proxy.open_channels();
        let age_of = |topic: &str| {
            let waiting =
                channels.iter().filter(|channel| !channel.is_idle.load(Ordering::Relaxed));
            let latest = waiting.filter_map(|channel| channel.latest());
            latest.filter(|(_, line)| line.contains(topic)).map(|(age, _)| age).min()
        };
        let has_idle = channels.iter().any(|channel| channel.is_idle.load(Ordering::Relaxed));
        let (Some(config), Some(members)) = (age_of("topic=keyed.op"), age_of("topic=members"))
        else {
            continue;
        };
        if has_idle && members < config + PHASE_GAP {
            return Ok(());
        }
    }
    Err("the moment did not come".to_owned())
}

pub fn run(trouble: Trouble, record: Arc<Record>) -> Result<Verdict, String> {
    let listener = Machine::new(2).listen(STORE).map_err(|error| error.to_string())?;
    let store = Store::start(listener, record.clone());
    let proxy = Machine::new(3).listen(STORE).map_err(|error| error.to_string())?;
    let proxy = Proxy::start(proxy, store.address);
    store.put("config", &configuration(7, &[PREFIX, DROPPED], 1500));
    let size = Size { agents: 1, cpu: 32_000 };
    let deployment = Deployment::start(store, proxy.address, size, record.clone())?;
    deployment.wait_until_ready(Duration::from_secs(10))?;
    std::thread::sleep(SETTLED);
    send_refused_job(deployment.front(), &record)?;
    wait_for_moment(&proxy)?;
    for channel in proxy.open_channels() {
        record.line(&format!(
            "channel to the store: latest request {:?}, answered: {}",
            channel.latest(),
            channel.is_idle.load(Ordering::Relaxed)
        ));
        if trouble == Trouble::Injected {
            channel.is_silent.store(true, Ordering::Relaxed);
        }
    }
    let silent_at = Instant::now();
    record.line("the open channels to the store are silent from now on; new ones work");
    std::thread::sleep(Duration::from_millis(100));
    deployment.store.put("config", &configuration(12, &[PREFIX, ADDED], 1500));
    let confirmed_at = Instant::now();
    let in_touch_from = (silent_at + CONTACT).max(confirmed_at + CONFIG_APPLY);
    let mut is_broken = false;
    let until = silent_at + Duration::from_secs(8);
    let mut number = 0;
    while Instant::now() < until {
        number += 1;
        // The new version adds one queue, whose length is asked for, and drops one, which gets a job.
        for (request, expected) in [(get(ADDED), 200), (small_job(number), 404)] {
            let sent_at = Instant::now();
            let is_bound = sent_at > in_touch_from;
            let answer = http::send(deployment.front(), &request, Duration::from_secs(2));
            let Ok((status, body)) = answer else { continue };
            let is_old = status != expected;
            is_broken |= is_old && is_bound;
            record.line(&format!(
                "{}{} {}: {status} {body}; sent {:?} after version 12 was confirmed and {:?} after \
                 the channels went silent",
                if is_old && is_bound { "BROKEN: as only version 7 allows: " } else { "" },
                request.method,
                request.path,
                sent_at - confirmed_at,
                sent_at - silent_at
            ));
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    Ok(if is_broken { Verdict::Broken } else { Verdict::Held })
}

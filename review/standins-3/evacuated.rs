//! Case: a zone is evacuated while the entry is partitioned from the store.

use crate::deployment::{
    Deployment, HOST, Machine, PREFIX, STORE, Size, ZONES, configuration, get,
};
use crate::http::{self, Request};
use crate::proxy::Proxy;
use crate::record::Record;
use crate::store::Store;
use crate::{Trouble, Verdict};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Bound of the sheet.
const EVACUATE: Duration = Duration::from_millis(5000);
/// Largest length of the cut in the site file.
const CUT: Duration = Duration::from_millis(5500);
/// Time between two jobs.
const STEP: Duration = Duration::from_millis(40);

/// Job of four short tasks.
fn job(number: u64) -> Request {
    let body = "{\"taskSpec\":\"ms=100 cpu=3100\",\"bestEffort\":true,\"steps\":[{\"count\":4,\
                \"cpu\":3100,\"memMb\":64,\"estimatedMs\":100}]}";
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

pub fn run(trouble: Trouble, record: Arc<Record>) -> Result<Verdict, String> {
    let listener = Machine::new(2).listen(STORE).map_err(|error| error.to_string())?;
    let store = Store::start(listener, record.clone());
    let proxy = Machine::new(3).listen(STORE).map_err(|error| error.to_string())?;
    let proxy = Proxy::start(proxy, store.address);
    store.put("config", &configuration(7, &[PREFIX], 1500));
    let size = Size { agents: 2, cpu: 32_000 };
    let deployment = Deployment::start(store, proxy.address, size, record.clone())?;
    deployment.wait_until_ready(Duration::from_secs(10))?;
    std::thread::sleep(Duration::from_secs(6));
    let front = deployment.front();
    let cut_at = Instant::now();
    if trouble == Trouble::Injected {
        proxy.cut();
        record.line("the entry is partitioned from the store");
    }
    std::thread::sleep(Duration::from_millis(50));
    let zone = ZONES[1];
    deployment.store.put(&format!("evacuate/{zone}"), "{}");
    let confirmed_at = Instant::now();
    let runner = &deployment.runners[1];
    assert_eq!(runner.settings.zone, zone, "the second agent is in the second zone");
    let mut is_cut = trouble == Trouble::Injected;
    let mut number = 0x5c0e_7a21_d94b_0000;
    while confirmed_at.elapsed() < EVACUATE + Duration::from_millis(2500) {
        if is_cut && cut_at.elapsed() >= CUT {
            is_cut = false;
            proxy.heal();
            record.line("the partition is over");
        }
        number += 1;
        let request = job(number);
        let sent = record.clone();
        std::thread::spawn(move || {
            let answer = http::send(front, &request, Duration::from_millis(1500));
            sent.line(&format!("client: POST {}: {answer:?}", request.path));
        });
        std::thread::sleep(STEP);
    }
    let late = runner.starts_after(confirmed_at + EVACUATE);
    for (task, at) in &late {
        let since = at.duration_since(confirmed_at);
        record.line(&format!("BROKEN: {task} started in {zone} {since:?} after the confirmation"));
    }
    Ok(if late.is_empty() { Verdict::Held } else { Verdict::Broken })
}

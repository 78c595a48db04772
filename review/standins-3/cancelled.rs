//! Case: a job is cancelled while its tasks run or wait.

use crate::deployment::{Deployment, HOST, Machine, PREFIX, STORE, Size, configuration};
use crate::http::{self, Request};
use crate::record::Record;
use crate::store::Store;
use crate::{Trouble, Verdict};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Bounds of the sheets.
const CANCEL_MS: u64 = 3000;
const STOP_MS: u64 = 50;
/// Time that clients wait for an answer.
const DEADLINE_MS: u64 = 8000;

/// Job of one task that works for `work_ms` on `cpu` thousandths of a core.
fn job(id: &str, work_ms: u64, cpu: u64) -> Request {
    let body = format!(
        "{{\"taskSpec\":\"ms={work_ms} cpu={cpu}\",\"bestEffort\":true,\"steps\":[{{\"count\":1,\
         \"cpu\":{cpu},\"memMb\":64,\"estimatedMs\":{work_ms}}}]}}"
    );
    Request {
        method: "POST".to_owned(),
        path: format!("{PREFIX}{id}"),
        query: String::new(),
        headers: vec![
            ("host".to_owned(), HOST.to_owned()),
            ("x-request-deadline".to_owned(), DEADLINE_MS.to_string()),
        ],
        body: body.into_bytes(),
    }
}

/// Sends a job from a thread of its own and records the answer.
fn submit(front: SocketAddr, name: &'static str, request: Request, record: &Arc<Record>) {
    let record = record.clone();
    record.line(&format!("client: POST {} ({name})", request.path));
    std::thread::spawn(move || {
        let answer = http::send(front, &request, Duration::from_millis(DEADLINE_MS));
        record.line(&format!("client: answer to POST of {name}: {answer:?}"));
    });
}

/// Cancels a job over a channel of its own; returns whether it was confirmed.
fn cancel(front: SocketAddr, name: &str, id: &str, record: &Record) -> Result<bool, String> {
    let request = Request {
        method: "DELETE".to_owned(),
        path: format!("{PREFIX}{id}"),
        query: String::new(),
        headers: vec![("host".to_owned(), HOST.to_owned())],
        body: Vec::new(),
    };
    let answer = http::send(front, &request, Duration::from_secs(4));
    record.line(&format!("client: answer to DELETE of {name}: {answer:?}"));
    let (status, _) = answer.map_err(|error| format!("no answer to DELETE: {error}"))?;
    Ok((200..300).contains(&status) || status == 410)
}

pub fn run(trouble: Trouble, record: Arc<Record>) -> Result<Verdict, String> {
    let listener = Machine::new(2).listen(STORE).map_err(|error| error.to_string())?;
    let store = Store::start(listener, record.clone());
    store.put("config", &configuration(7, &[PREFIX], DEADLINE_MS));
    let address = store.address;
    let size = Size { agents: 1, cpu: 2000 };
    let deployment = Deployment::start(store, address, size, record.clone())?;
    deployment.wait_until_ready(Duration::from_secs(10))?;
    std::thread::sleep(Duration::from_secs(4));
    let front = deployment.front();
    let runner = &deployment.runners[0];
    // The first job is at work when it is cancelled; the third waits behind the second.
    let ids = ["5c0e7a21d94b36f1", "5c0e7a21d94b36f2", "5c0e7a21d94b36f3"];
    submit(front, "the running job", job(ids[0], 5000, 1000), &record);
    submit(front, "another job", job(ids[1], 5000, 1000), &record);
    std::thread::sleep(Duration::from_millis(500));
    submit(front, "the waiting job", job(ids[2], 2000, 1000), &record);
    std::thread::sleep(Duration::from_millis(500));
    let task = |id: &str| format!("{id}.0.0.0");
    let running = runner.running();
    if !running.contains(&task(ids[0])) || running.contains(&task(ids[2])) {
        return Err(format!("the jobs do not run as planned: {running:?}"));
    }
    if trouble == Trouble::None {
        std::thread::sleep(Duration::from_secs(8));
        record.line(&format!("running at the end: {:?}", runner.running()));
        return Ok(Verdict::Held);
    }
    for (name, id) in [("the running job", ids[0]), ("the waiting job", ids[2])] {
        if !cancel(front, name, id, &record)? {
            return Err(format!("the cancelling of {name} was not confirmed"));
        }
    }
    std::thread::sleep(Duration::from_millis(CANCEL_MS + STOP_MS + 100));
    let running = runner.running();
    record.line(&format!("running cancel_ms + stopMs and 100 ms later: {running:?}"));
    let runs_on = running.contains(&task(ids[0]));
    std::thread::sleep(Duration::from_secs(2));
    let running = runner.running();
    record.line(&format!("running 2 s after that: {running:?}"));
    let starts_late = running.contains(&task(ids[2]));
    record.line(&format!(
        "the job cancelled at work runs on: {runs_on}; the job cancelled while it waited was started \
         later than cancel_ms after that: {starts_late}"
    ));
    Ok(if runs_on || starts_late { Verdict::Broken } else { Verdict::Held })
}

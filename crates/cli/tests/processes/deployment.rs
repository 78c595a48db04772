//! Deployment of real processes with the log and the backend servers as stand-ins.

use futures_util::future::join_all;
use parsleyspool_core::checker::{CheckGrace, ObservedEvent, check};
use parsleyspool_core::id::parse_id;
use parsleyspool_core::timeline::TimelineEvent;
use parsleyspool_standins::backend::{self, BackendModel, ExampleBackend};
use parsleyspool_standins::log::{LogFaults, LogStreams, server as log_server};
use parsleyspool_wire::caller::{AnswerBody, ErrorBody, SubmitBody, TaskBody};
use parsleyspool_wire::operator::{
    ChangeBody, ChangeOutcomeBody, ConfigBody, StatusBody, TimelineBody,
};
use parsleyspool_wire::settings::{ChangeWire, QuotaWire, RequestWire, ServiceWire};
use std::collections::{BTreeMap, HashMap};
use std::future::Future;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::net::TcpListener;

const PROGRAM: &str = env!("CARGO_BIN_EXE_parsleyspool");
const DOMAINS: usize = 3;
/// Polls before a wait is given up; the bound of the whole test is the test runner's.
const POLLS: u32 = 1500;
const POLL: Duration = Duration::from_millis(20);

/// What a caller got.
#[derive(Debug)]
pub struct CallerReply {
    pub took: Duration,
    status: Option<u16>,
    body: Vec<u8>,
}

impl CallerReply {
    pub fn is_whole(&self) -> bool {
        self.status == Some(200) && serde_json::from_slice::<AnswerBody>(&self.body).is_ok()
    }

    /// Kind of the refusal or failure.
    pub fn kind(&self) -> Option<String> {
        serde_json::from_slice::<ErrorBody>(&self.body).ok().map(|body| body.kind)
    }

    /// Whether the entry went away under the caller.
    pub fn is_entry_gone(&self) -> bool {
        self.status.is_none()
    }

    fn error(&self) -> Option<ErrorBody> {
        serde_json::from_slice(&self.body).ok()
    }
}

/// Replies that are not whole, for messages.
pub fn unwhole(replies: &[CallerReply]) -> Vec<String> {
    let unwhole = replies.iter().filter(|reply| !reply.is_whole());
    unwhole.map(|reply| String::from_utf8_lossy(&reply.body).into_owned()).collect()
}

struct EntryPlace {
    callers: SocketAddr,
    peers: SocketAddr,
    child: Option<Child>,
}

struct AgentPlace {
    listen: SocketAddr,
    backend: SocketAddr,
    child: Option<Child>,
}

pub struct Deployment {
    log: Arc<LogStreams>,
    log_address: SocketAddr,
    entries: Vec<EntryPlace>,
    agents: Vec<AgentPlace>,
    backends: Vec<Arc<ExampleBackend>>,
    directory: PathBuf,
    client: reqwest::Client,
    jobs: AtomicUsize,
    /// Events of processes that are gone.
    kept: Vec<TimelineBody>,
}

impl Drop for Deployment {
    fn drop(&mut self) {
        let entries = self.entries.iter_mut().filter_map(|entry| entry.child.as_mut());
        let agents = self.agents.iter_mut().filter_map(|agent| agent.child.as_mut());
        for child in entries.chain(agents) {
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

/// Address in the field `key` of a log line.
fn address_in(line: &str, key: &str) -> SocketAddr {
    let fields = line.split_whitespace().filter_map(|field| field.split_once('='));
    let value = fields.filter(|(name, _)| *name == key).map(|(_, value)| value).next();
    value.and_then(|value| value.trim_matches('"').parse().ok()).expect("an address")
}

fn signal(child: &Child, name: &str) {
    let status = Command::new("kill").arg(format!("-{name}")).arg(child.id().to_string()).status();
    assert!(status.expect("kill runs").success());
}

impl Deployment {
    /// Deployment that serves.
    pub async fn start(entries: usize, agents: usize) -> Self {
        let log = Arc::new(LogStreams::new(Duration::from_secs(3600)));
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
        let log_address = listener.local_addr().expect("the listener has an address");
        tokio::spawn(log_server::serve(listener, log.clone()));
        let name = format!("parsleyspool-test-{}-{}", std::process::id(), log_address.port());
        let directory = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&directory).expect("a directory can be made");
        let mut deployment = Self {
            log,
            log_address,
            entries: Vec::new(),
            agents: Vec::new(),
            backends: Vec::new(),
            directory,
            client: reqwest::Client::builder().no_proxy().build().expect("a client"),
            jobs: AtomicUsize::new(0),
            kept: Vec::new(),
        };
        for index in 0..entries {
            deployment.spawn_entry(index);
        }
        for index in 0..agents {
            deployment.add_backend().await;
            deployment.spawn_agent(index);
        }
        deployment.wait_freshness("confirmed").await;
        deployment.wait_entries(entries).await;
        deployment.configure().await;
        deployment.wait_serving(agents).await;
        deployment
    }

    /// Starts a process and returns it with the fields of its line `event=listening`.
    fn spawn(&self, role: &str, name: &str, settings: &str) -> (Child, String) {
        let path = self.directory.join(format!("{name}.yaml"));
        std::fs::write(&path, settings).expect("settings can be written");
        let mut command = Command::new(PROGRAM);
        command.arg(role).arg("--settings").arg(&path);
        command.stdout(Stdio::null()).stderr(Stdio::piped());
        let mut child = command.spawn().expect("the program starts");
        let mut lines = BufReader::new(child.stderr.take().expect("a pipe")).lines();
        let is_listening = |line: &String| line.contains("event=listening");
        let listening = lines.by_ref().map_while(Result::ok).find(is_listening);
        let listening = listening.expect("the process says where it listens");
        std::thread::spawn(move || lines.count());
        (child, listening)
    }

    fn spawn_entry(&mut self, index: usize) {
        let settings = format!(
            "entry:\n  name: entry-{}\n  domain: domain-{}\n  rank: {index}\n  listen:\n    \
             callers: 127.0.0.1:0\n    peers: 127.0.0.1:0\n  log:\n    url: http://{}\n",
            index + 1,
            index % DOMAINS + 1,
            self.log_address,
        );
        let (child, line) = self.spawn("entry", &format!("entry-{}", index + 1), &settings);
        let (callers, peers) = (address_in(&line, "callers"), address_in(&line, "peers"));
        self.entries.push(EntryPlace { callers, peers, child: Some(child) });
    }

    async fn add_backend(&mut self) {
        let backend = Arc::new(ExampleBackend::new(BackendModel::default()));
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
        let address = listener.local_addr().expect("the listener has an address");
        tokio::spawn(backend::serve(listener, backend.clone()));
        self.backends.push(backend);
        let listen = address;
        self.agents.push(AgentPlace { listen, backend: address, child: None });
    }

    /// Starts an agent that knows one entry and hears of the others from it.
    fn spawn_agent(&mut self, index: usize) {
        let settings = format!(
            "agent:\n  name: server-{}\n  domain: domain-{}\n  worker: worker-{}\n  listen: \
             127.0.0.1:0\n  entries:\n    entry-1: {}\n  backend:\n    url: http://{}\n    \
             services: [tokens]\n    slots: 8\n",
            index + 1,
            index % DOMAINS + 1,
            index + 1,
            self.entries[0].peers,
            self.agents[index].backend
        );
        let (child, line) = self.spawn("agent", &format!("agent-{}", index + 1), &settings);
        self.agents[index].listen = address_in(&line, "peers");
        self.agents[index].child = Some(child);
    }

    async fn configure(&self) {
        let entries = (1..=self.entries.len()).map(|number| format!("entry-{number}")).collect();
        self.change(ChangeWire::SetElectorate { entries }).await;
        let rule =
            |idempotent| RequestWire { idempotent, run_time: Duration::from_millis(20), slots: 1 };
        let requests = BTreeMap::from([
            ("balance".to_owned(), rule(true)),
            ("redeem".to_owned(), rule(false)),
        ]);
        let deadline = Duration::from_secs(10);
        let spec = ServiceWire { team: "prizeleaf".to_owned(), deadline, requests };
        self.change(ChangeWire::PutService { name: "tokens".to_owned(), spec }).await;
        let quota = QuotaWire { tasks_in_flight: 10_000, weight: 1 };
        self.change(ChangeWire::SetQuota { team: "prizeleaf".to_owned(), quota }).await;
    }

    /// Makes a change and returns the version from which it is in force.
    pub async fn change(&self, change: ChangeWire) -> u64 {
        let subject = parsleyspool_core::config::ConfigChange::from(change.clone()).subject();
        let config: ConfigBody = self.get(0, "/v1/config").await.expect("the entry answers");
        let base = config.configuration.subjects.get(&subject.to_string()).copied().unwrap_or(0);
        let id = uuid::Uuid::new_v4().simple().to_string();
        let body = ChangeBody { id, operator: "test".to_owned(), base, change };
        let url = format!("http://{}/v1/changes", self.entries[0].peers);
        let response = self.client.post(url).json(&body).send().await.expect("the entry answers");
        match response.json().await.expect("an outcome") {
            ChangeOutcomeBody::Accepted { version } => version,
            other => panic!("the change is not accepted: {other:?}"),
        }
    }

    async fn get<T: serde::de::DeserializeOwned>(&self, entry: usize, path: &str) -> Option<T> {
        self.get_at(self.entries[entry].peers, path).await
    }

    async fn get_at<T: serde::de::DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
    ) -> Option<T> {
        let request = self.client.get(format!("http://{address}{path}"));
        let response = request.timeout(Duration::from_secs(2)).send().await.ok()?;
        response.json().await.ok()
    }

    async fn wait_status(&self, what: &str, is_reached: impl Fn(&StatusBody) -> bool) {
        for entry in 0..self.entries.len() {
            if self.entries[entry].child.is_none() {
                continue;
            }
            let mut polls = 0;
            while !self.get(entry, "/v1/status").await.is_some_and(|status| is_reached(&status)) {
                polls += 1;
                assert!(polls < POLLS, "entry {entry} never reached: {what}");
                tokio::time::sleep(POLL).await;
            }
        }
    }

    pub async fn wait_freshness(&self, word: &str) {
        self.wait_status(word, |status| status.freshness == word).await;
    }

    async fn wait_entries(&self, entries: usize) {
        let is_known = |status: &StatusBody| {
            status.processes.iter().filter(|process| process.role == "entry").count() >= entries
        };
        self.wait_status("all entries", is_known).await;
    }

    async fn wait_serving(&self, agents: usize) {
        let is_serving = |status: &StatusBody| {
            let agents_seen = status.processes.iter().filter(|process| process.role == "agent");
            agents_seen.filter(|process| process.state == "serving").count() >= agents
        };
        self.wait_status("serving agents", is_serving).await;
    }

    /// Waits until every process that an entry knows holds `version`.
    pub async fn wait_version(&self, version: u64) {
        let is_held =
            |status: &StatusBody| status.processes.iter().all(|process| process.version >= version);
        self.wait_status("the version everywhere", is_held).await;
    }

    pub async fn wait_jobs(&self, entry: usize, jobs: usize) {
        for _ in 0..POLLS {
            let status: Option<StatusBody> = self.get(entry, "/v1/status").await;
            if status.is_some_and(|status| status.jobs >= jobs) {
                return;
            }
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
        panic!("entry {entry} never held {jobs} jobs");
    }

    pub fn set_log_away(&self, is_away: bool) {
        self.log.set_faults(LogFaults { is_away, ..LogFaults::default() });
    }

    fn job(&self, request: &str, name: &str) -> SubmitBody {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).expect("after the epoch");
        let task = |index| TaskBody {
            request: request.to_owned(),
            payload: format!("{}ms {name}", 60 + index * 20),
        };
        SubmitBody {
            job: name.to_owned(),
            team: "prizeleaf".to_owned(),
            service: "tokens".to_owned(),
            deadline_ms: None,
            created_at_ms: Some(u64::try_from(now.as_millis()).expect("the time fits")),
            tasks: (0..if request == "redeem" { 1 } else { 3 }).map(task).collect(),
        }
    }

    pub fn redemption(&self, name: &str) -> SubmitBody {
        self.job("redeem", name)
    }

    fn next_jobs(&self, count: usize) -> Vec<SubmitBody> {
        let first = self.jobs.fetch_add(count, Ordering::SeqCst);
        (first..first + count).map(|number| self.job("balance", &format!("job-{number}"))).collect()
    }

    pub async fn submit(&self, entry: usize, job: &SubmitBody) -> CallerReply {
        submit(self.client.clone(), self.entries[entry].callers, job.clone()).await
    }

    /// Submits again until the answer is whole, as a caller that may resubmit would.
    pub async fn submit_until_whole(&self, entry: usize, job: &SubmitBody) -> CallerReply {
        for _ in 0..POLLS {
            let reply = self.submit(entry, job).await;
            if reply.is_whole() || reply.kind().as_deref() == Some("already_claimed") {
                return reply;
            }
            tokio::time::sleep(POLL).await;
        }
        panic!("the job was never answered whole");
    }

    /// Submits jobs to all entries at once.
    pub fn submit_many(&self, count: usize) -> impl Future<Output = Vec<CallerReply>> + use<> {
        self.submit_paced(count, Duration::ZERO)
    }

    /// Submits jobs to all entries in turn, one each `pace`.
    pub fn submit_paced(
        &self,
        count: usize,
        pace: Duration,
    ) -> impl Future<Output = Vec<CallerReply>> + use<> {
        let places: Vec<SocketAddr> = self.entries.iter().map(|place| place.callers).collect();
        self.spawn_jobs(&places, count, pace)
    }

    pub fn submit_to(
        &self,
        entry: usize,
        count: usize,
    ) -> impl Future<Output = Vec<CallerReply>> + use<> {
        self.spawn_jobs(&[self.entries[entry].callers], count, Duration::ZERO)
    }

    fn spawn_jobs(
        &self,
        places: &[SocketAddr],
        count: usize,
        pace: Duration,
    ) -> impl Future<Output = Vec<CallerReply>> + use<> {
        let jobs = self.next_jobs(count).into_iter().enumerate();
        let tasks: Vec<_> = jobs
            .map(|(number, job)| {
                let (client, callers) = (self.client.clone(), places[number % places.len()]);
                let wait = pace * u32::try_from(number).expect("few jobs");
                tokio::spawn(async move {
                    tokio::time::sleep(wait).await;
                    submit(client, callers, job).await
                })
            })
            .collect();
        async { join_all(tasks).await.into_iter().map(|reply| reply.expect("no panic")).collect() }
    }

    pub fn kill_agent(&mut self, index: usize) {
        let mut child = self.agents[index].child.take().expect("the agent runs");
        signal(&child, "KILL");
        child.wait().expect("the agent ends");
    }

    pub fn kill_entry(&mut self, index: usize) {
        let mut child = self.entries[index].child.take().expect("the entry runs");
        signal(&child, "KILL");
        child.wait().expect("the entry ends");
    }

    pub fn freeze_agent(&mut self, index: usize) {
        signal(self.agents[index].child.as_ref().expect("the agent runs"), "STOP");
    }

    pub fn thaw_agent(&mut self, index: usize) {
        signal(self.agents[index].child.as_ref().expect("the agent runs"), "CONT");
    }

    /// Stops an agent as planned and starts another in its place.
    pub async fn replace_agent(&mut self, index: usize) {
        let address = self.agents[index].listen;
        let child = self.agents[index].child.take().expect("the agent runs");
        signal(&child, "TERM");
        let events = self.get_at(address, "/v1/timeline").await;
        self.kept.extend(events);
        assert_eq!(wait_exit(child).await, Some(0));
        self.spawn_agent(index);
        self.wait_serving(self.agents.len()).await;
    }

    /// Stops an entry as planned and returns its exit code.
    pub async fn stop_entry(&mut self, index: usize) -> Option<i32> {
        let child = self.entries[index].child.take().expect("the entry runs");
        signal(&child, "TERM");
        wait_exit(child).await
    }

    /// Starts that the backend server at `index` saw.
    pub fn starts_at(&self, index: usize) -> u32 {
        self.backends[index].starts().iter().map(|(_, count)| count).sum()
    }

    /// Starts of the tasks whose payload names `key`.
    pub fn starts_of(&self, key: &str) -> u32 {
        let starts = self.backends.iter().flat_map(|backend| backend.starts());
        starts.filter(|(start, _)| start.key == key).map(|(_, count)| count).sum()
    }

    fn starts(&self) -> HashMap<(String, u32), u32> {
        let mut starts = HashMap::new();
        for (start, count) in self.backends.iter().flat_map(|backend| backend.starts()) {
            *starts.entry((start.submission, start.task)).or_insert(0) += count;
        }
        starts
    }

    pub fn assert_nothing_started_twice(&self) {
        let twice: Vec<_> = self.starts().into_iter().filter(|(_, count)| *count > 1).collect();
        assert!(twice.is_empty(), "started twice: {twice:?}");
    }

    pub fn assert_refusals_true(&self, replies: &[CallerReply]) {
        let starts = self.starts();
        for error in replies.iter().filter_map(CallerReply::error).filter(|error| error.not_run) {
            let ran = starts.keys().any(|(submission, _)| *submission == error.submission);
            assert!(!ran, "{error:?} was run");
        }
    }

    /// Checks the promises over the time lines of the processes that still answer.
    pub async fn verify(&self) {
        let mut bodies = self.kept.clone();
        let entries = self.entries.iter().filter(|place| place.child.is_some());
        let agents = self.agents.iter().filter(|place| place.child.is_some());
        let addresses = entries.map(|place| place.peers).chain(agents.map(|place| place.listen));
        for address in addresses {
            bodies.extend(self.get_at::<TimelineBody>(address, "/v1/timeline").await);
        }
        let events: Vec<ObservedEvent> = bodies.iter().flat_map(observed).collect();
        let report = check(&events, CheckGrace::default());
        assert!(report.breaches.is_empty(), "{:?}", report.breaches);
        assert!(report.starts > 0);
    }
}

fn observed(body: &TimelineBody) -> Vec<ObservedEvent> {
    let incarnation = parse_id(&body.incarnation).and_then(|id| u64::try_from(id).ok());
    let events = body.events.iter().map(|event| ObservedEvent {
        process: body.process.as_str().into(),
        incarnation: incarnation.expect("an incarnation"),
        domain: body.domain.as_str().into(),
        event: TimelineEvent::try_from(event).expect("a known event"),
    });
    events.collect()
}

async fn submit(client: reqwest::Client, callers: SocketAddr, job: SubmitBody) -> CallerReply {
    let started = Instant::now();
    let request = client.post(format!("http://{callers}/v1/jobs")).json(&job);
    let (status, body) = match request.send().await {
        Ok(response) => {
            let status = response.status().as_u16();
            match response.bytes().await {
                Ok(body) => (Some(status), body.to_vec()),
                Err(_) => (None, Vec::new()),
            }
        }
        Err(_) => (None, Vec::new()),
    };
    CallerReply { took: started.elapsed(), status, body }
}

async fn wait_exit(child: Child) -> Option<i32> {
    let mut child = child;
    tokio::task::spawn_blocking(move || child.wait().ok()?.code()).await.expect("no panic")
}

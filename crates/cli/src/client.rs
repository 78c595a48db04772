//! Requests of operators to the entries.

use crate::error::CommandError;
use clap::Args;
use error_stack::{Report, ResultExt};
use parsleyspool_core::config::ConfigSubject;
use parsleyspool_wire::operator::{
    ChangeBody, ChangeOutcomeBody, ConfigBody, OperatorErrorBody, StatusBody, TimelineBody,
};
use parsleyspool_wire::settings::ChangeWire;
use reqwest::{Client, RequestBuilder};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::time::Duration;
use uuid::Uuid;

/// Options of every operators' command.
#[derive(Debug, Args)]
pub struct ClientOptions {
    /// Peer listener of an entry; may be given several times.
    #[arg(
        long = "entry-at",
        global = true,
        env = "PARSLEYSPOOL_ENTRIES",
        value_delimiter = ',',
        default_value = "127.0.0.1:7311"
    )]
    pub entries: Vec<SocketAddr>,
    /// Print JSON.
    #[arg(long, global = true)]
    pub json: bool,
    /// Name under which changes are made.
    #[arg(long, global = true, env = "USER", default_value = "operator")]
    pub operator: String,
    /// Wait until a change is in force everywhere, at most for this time.
    #[arg(long, global = true, value_parser = humantime::parse_duration)]
    pub wait: Option<Duration>,
}

/// Time for one request; a change waits for the log and the voting entries.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(8);
/// Time for one request to one of many processes.
const GATHER_TIMEOUT: Duration = Duration::from_secs(2);

/// Word of an entry that cannot confirm its configuration.
const LAPSED: &str = "lapsed";

/// Client of the entries.
#[derive(Debug)]
pub struct OperatorClient {
    http: Client,
    options: ClientOptions,
}

/// Change accepted.
#[derive(Debug, Clone, Copy)]
pub struct AcceptedChange {
    /// Version from which it is in force.
    pub version: u64,
}

impl OperatorClient {
    /// Client with `options`.
    ///
    /// # Errors
    /// Fails where the HTTP client cannot be built.
    pub fn new(options: ClientOptions) -> Result<Self, Report<CommandError>> {
        let http = Client::builder().no_proxy().timeout(REQUEST_TIMEOUT).build();
        Ok(Self { http: http.change_context(CommandError::Unreachable)?, options })
    }

    /// Options of the command.
    pub fn options(&self) -> &ClientOptions {
        &self.options
    }

    /// Configuration in force at the first entry that answers.
    ///
    /// # Errors
    /// Fails where no entry answers.
    pub async fn config(&self) -> Result<ConfigBody, Report<CommandError>> {
        self.ask_any("/v1/config").await
    }

    /// Configuration at the first entry that can confirm it.
    async fn fresh_config(&self) -> Result<ConfigBody, Report<CommandError>> {
        for entry in &self.options.entries {
            let request = self.http.get(format!("http://{entry}/v1/config"));
            let answer: Result<ConfigBody, _> = self.send(request).await;
            if let Ok(body) = answer
                && body.freshness != LAPSED
            {
                return Ok(body);
            }
        }
        let text = "no entry that answers can confirm its configuration";
        Err(Report::new(CommandError::Unreachable).attach(text))
    }

    /// Status of each entry given, where it answers.
    pub async fn statuses(&self) -> Vec<(SocketAddr, Option<StatusBody>)> {
        let mut statuses = Vec::new();
        for &entry in &self.options.entries {
            let request = self.http.get(format!("http://{entry}/v1/status"));
            statuses.push((entry, self.send(request.timeout(GATHER_TIMEOUT)).await.ok()));
        }
        statuses
    }

    /// Events of the process at `address`.
    ///
    /// # Errors
    /// Fails where it does not answer.
    pub async fn timeline(&self, address: &str) -> Result<TimelineBody, Report<CommandError>> {
        let request = self.http.get(format!("http://{address}/v1/timeline"));
        self.send(request.timeout(GATHER_TIMEOUT)).await
    }

    /// Sends `body` to `path` of the process at `address`.
    ///
    /// # Errors
    /// Fails where it does not answer or refuses.
    pub async fn put<T: Serialize + DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
        body: &T,
    ) -> Result<T, Report<CommandError>> {
        self.send(self.http.put(format!("http://{address}{path}")).json(body)).await
    }

    /// Makes a change, based on what is in force now.
    ///
    /// The same change goes to another entry where one does not answer; its id keeps it from being
    /// made twice.
    ///
    /// # Errors
    /// Fails where it is rejected, not confirmed in time, or no entry answers.
    pub async fn change(
        &self,
        subject: &ConfigSubject,
        change: ChangeWire,
    ) -> Result<AcceptedChange, Report<CommandError>> {
        let config = self.fresh_config().await?.configuration;
        let base = config.subjects.get(&subject.to_string()).copied().unwrap_or(0);
        let id = Uuid::new_v4().simple().to_string();
        let operator = self.options.operator.clone();
        let body = ChangeBody { id, operator, base, change };
        let outcome: ChangeOutcomeBody = self.post_any("/v1/changes", &body).await?;
        match outcome {
            ChangeOutcomeBody::Accepted { version } => Ok(AcceptedChange { version }),
            ChangeOutcomeBody::Rejected { current } => {
                let text = format!("{subject} changed at version {current}; look and try again");
                Err(Report::new(CommandError::Rejected).attach(text))
            }
            ChangeOutcomeBody::Unconfirmed { version } => {
                let text = format!(
                    "the change stands in the log as version {version}, but no majority of the \
                     voting entries holds it yet"
                );
                Err(Report::new(CommandError::Unconfirmed).attach(text))
            }
            ChangeOutcomeBody::Unknown => {
                let text = "the log did not confirm the change; it may still come into force";
                Err(Report::new(CommandError::Unconfirmed).attach(text))
            }
        }
    }

    async fn ask_any<T: DeserializeOwned>(&self, path: &str) -> Result<T, Report<CommandError>> {
        let mut last = Report::new(CommandError::Unreachable).attach("no entry is given");
        for entry in &self.options.entries {
            match self.send(self.http.get(format!("http://{entry}{path}"))).await {
                Ok(body) => return Ok(body),
                Err(report) => last = report,
            }
        }
        Err(last)
    }

    async fn post_any<Q: Serialize, A: DeserializeOwned>(
        &self,
        path: &str,
        body: &Q,
    ) -> Result<A, Report<CommandError>> {
        let mut last = Report::new(CommandError::Unreachable).attach("no entry is given");
        for entry in &self.options.entries {
            let request = self.http.post(format!("http://{entry}{path}")).json(body);
            match self.send(request).await {
                Ok(answer) => return Ok(answer),
                Err(report) if *report.current_context() == CommandError::Input => {
                    return Err(report);
                }
                Err(report) => last = report,
            }
        }
        Err(last)
    }

    async fn send<T: DeserializeOwned>(
        &self,
        request: RequestBuilder,
    ) -> Result<T, Report<CommandError>> {
        let response = request
            .send()
            .await
            .map_err(|error| Report::new(CommandError::Unreachable).attach(error.to_string()))?;
        let status = response.status();
        let bytes = response.bytes().await.change_context(CommandError::Unreachable)?;
        if status.is_success() {
            return serde_json::from_slice(&bytes).change_context(CommandError::Unreachable);
        }
        let text = serde_json::from_slice::<OperatorErrorBody>(&bytes).map(|body| body.error);
        let kind =
            if status.is_client_error() { CommandError::Input } else { CommandError::Unreachable };
        Err(Report::new(kind).attach(text.unwrap_or_else(|_| format!("status {status}"))))
    }
}

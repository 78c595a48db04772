//! HTTP client for the operator API of the entries.

use crate::error::CommandError;
use clap::Args;
use error_stack::{Report, ResultExt};
use parsleyspool_core::config::ConfigSubject;
use parsleyspool_wire::config::ChangeWire;
use parsleyspool_wire::operator::{
    ChangeBody, ChangeOutcomeBody, ConfigBody, OperatorErrorBody, StatusBody, TimelineBody,
};
use reqwest::{Client, RequestBuilder};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::time::Duration;
use uuid::Uuid;

/// Options shared by all operator commands.
#[derive(Debug, Args)]
pub struct ClientOptions {
    /// Address of an entry's peer listener; can be given several times.
    #[arg(
        long = "entry-at",
        global = true,
        env = "PARSLEYSPOOL_ENTRIES",
        value_delimiter = ',',
        default_value = "127.0.0.1:7311"
    )]
    pub entries: Vec<SocketAddr>,
    /// Print JSON instead of text.
    #[arg(long, global = true)]
    pub json: bool,
    /// Name of the operator, sent with each change.
    #[arg(long, global = true, env = "USER", default_value = "operator")]
    pub operator: String,
    /// Wait until a change is in force everywhere, for at most this duration.
    #[arg(long, global = true, value_parser = humantime::parse_duration)]
    pub wait: Option<Duration>,
}

/// Timeout of a request. A change waits for the log and for the voting entries.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(8);
/// Timeout of a request when many processes are queried one after the other.
const COLLECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Freshness that an entry reports if the lease on its configuration has lapsed.
const LAPSED_FRESHNESS: &str = "lapsed";

/// Client that tries the given entries in order.
#[derive(Debug)]
pub struct OperatorClient {
    http: Client,
    options: ClientOptions,
}

/// Change that the entries have accepted.
#[derive(Debug, Clone, Copy)]
pub struct AcceptedChange {
    /// Configuration version from which the change is in force.
    pub version: u64,
}

impl OperatorClient {
    /// Creates a client with `options`.
    ///
    /// # Errors
    /// Fails if the HTTP client cannot be built.
    pub fn new(options: ClientOptions) -> Result<Self, Report<CommandError>> {
        let http = Client::builder().no_proxy().timeout(REQUEST_TIMEOUT).build();
        Ok(Self { http: http.change_context(CommandError::Unreachable)?, options })
    }

    /// Options given on the command line.
    pub fn options(&self) -> &ClientOptions {
        &self.options
    }

    /// Configuration of the first entry that answers; it may be outdated if the freshness of the
    /// entry has lapsed.
    ///
    /// # Errors
    /// Fails if no entry answers.
    pub async fn config(&self) -> Result<ConfigBody, Report<CommandError>> {
        self.get_from_any("/v1/config").await
    }

    /// Configuration of the first entry whose freshness has not lapsed.
    async fn fresh_config(&self) -> Result<ConfigBody, Report<CommandError>> {
        for entry in &self.options.entries {
            let request = self.http.get(format!("http://{entry}/v1/config"));
            let answer: Result<ConfigBody, _> = self.send(request).await;
            if let Ok(body) = answer
                && body.freshness != LAPSED_FRESHNESS
            {
                return Ok(body);
            }
        }
        let text = "no entry that answers can confirm its configuration";
        Err(Report::new(CommandError::Unreachable).attach(text))
    }

    /// Status of each given entry; `None` if the entry does not answer.
    pub async fn statuses(&self) -> Vec<(SocketAddr, Option<StatusBody>)> {
        let mut statuses = Vec::new();
        for &entry in &self.options.entries {
            let request = self.http.get(format!("http://{entry}/v1/status"));
            statuses.push((entry, self.send(request.timeout(COLLECT_TIMEOUT)).await.ok()));
        }
        statuses
    }

    /// Events of the process at `address`.
    ///
    /// # Errors
    /// Fails if the process does not answer.
    pub async fn timeline(&self, address: &str) -> Result<TimelineBody, Report<CommandError>> {
        let request = self.http.get(format!("http://{address}/v1/timeline"));
        self.send(request.timeout(COLLECT_TIMEOUT)).await
    }

    /// Sends `body` in a PUT request to `path` of the process at `address`; returns the body of the
    /// response.
    ///
    /// # Errors
    /// Fails if the process does not answer or rejects the request.
    pub async fn put<T: Serialize + DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
        body: &T,
    ) -> Result<T, Report<CommandError>> {
        self.send(self.http.put(format!("http://{address}{path}")).json(body)).await
    }

    /// Sends a change that is based on the current version of its subject.
    ///
    /// If an entry does not answer, the same change is sent to the next one. The id of the change
    /// prevents it from being applied twice.
    ///
    /// # Errors
    /// Fails if the change is rejected or not confirmed in time, or if no entry answers.
    pub async fn send_change(
        &self,
        subject: &ConfigSubject,
        change: ChangeWire,
    ) -> Result<AcceptedChange, Report<CommandError>> {
        let config = self.fresh_config().await?.configuration;
        let base = config.subjects.get(&subject.to_string()).copied().unwrap_or(0);
        let id = Uuid::new_v4().simple().to_string();
        let operator = self.options.operator.clone();
        let body = ChangeBody { id, operator, base, change };
        let outcome: ChangeOutcomeBody = self.post_to_any("/v1/changes", &body).await?;
        match outcome {
            ChangeOutcomeBody::Accepted { version } => Ok(AcceptedChange { version }),
            ChangeOutcomeBody::Rejected { current } => {
                let text = format!(
                    "{subject} was changed in version {current}; check the configuration and try \
                     again"
                );
                Err(Report::new(CommandError::Conflict).attach(text))
            }
            ChangeOutcomeBody::Unconfirmed { version } => {
                let text = format!(
                    "the log holds the change as version {version}, but no majority of the voting \
                     entries holds it yet"
                );
                Err(Report::new(CommandError::Unconfirmed).attach(text))
            }
            ChangeOutcomeBody::Unknown => {
                let text = "the log did not confirm the change; it may still take effect";
                Err(Report::new(CommandError::Unconfirmed).attach(text))
            }
        }
    }

    /// Fetches `path` from the first entry that returns it.
    async fn get_from_any<T: DeserializeOwned>(
        &self,
        path: &str,
    ) -> Result<T, Report<CommandError>> {
        let mut last_report =
            Report::new(CommandError::Unreachable).attach("no entry address is given");
        for entry in &self.options.entries {
            match self.send(self.http.get(format!("http://{entry}{path}"))).await {
                Ok(body) => return Ok(body),
                Err(report) => last_report = report,
            }
        }
        Err(last_report)
    }

    /// Posts `body` to the first entry that answers; a request that an entry rejects as invalid is
    /// not sent to the next one.
    async fn post_to_any<Q: Serialize, A: DeserializeOwned>(
        &self,
        path: &str,
        body: &Q,
    ) -> Result<A, Report<CommandError>> {
        let mut last_report =
            Report::new(CommandError::Unreachable).attach("no entry address is given");
        for entry in &self.options.entries {
            let request = self.http.post(format!("http://{entry}{path}")).json(body);
            match self.send(request).await {
                Ok(answer) => return Ok(answer),
                Err(report) if *report.current_context() == CommandError::Input => {
                    return Err(report);
                }
                Err(report) => last_report = report,
            }
        }
        Err(last_report)
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

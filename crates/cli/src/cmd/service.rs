//! `parsleyspool service`.

use crate::change::send_and_report;
use crate::client::{ClientOptions, OperatorClient};
use crate::error::CommandError;
use crate::output::{format_table, print_json, write_stdout};
use clap::{Args, Subcommand};
use error_stack::{Report, ResultExt};
use parsleyspool_wire::config::{ChangeWire, RequestWire, ServiceWire};
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::time::Duration;

/// Subcommands of `service`.
#[derive(Debug, Subcommand)]
pub enum ServiceCommand {
    /// Create or replace a service from a YAML file.
    Put(PutArgs),
    /// Create a service without requests.
    Create(CreateArgs),
    /// Declare or change a request of a service.
    Request(RequestArgs),
    /// Remove a service.
    Remove(RemoveArgs),
    /// List the services.
    List,
}

/// Arguments of `service put`.
#[derive(Debug, Args)]
pub struct PutArgs {
    /// Name of the service.
    name: String,
    /// YAML file with team, deadline and requests.
    #[arg(long)]
    file: PathBuf,
}

/// Arguments of `service create`.
#[derive(Debug, Args)]
pub struct CreateArgs {
    /// Name of the service.
    name: String,
    /// Team that owns the service.
    #[arg(long)]
    team: String,
    /// Deadline of a job if the caller sets none.
    #[arg(long, default_value = "10s", value_parser = humantime::parse_duration)]
    deadline: Duration,
}

/// Arguments of `service request`.
#[derive(Debug, Args)]
pub struct RequestArgs {
    /// Name of the service.
    service: String,
    /// Name of the request.
    request: String,
    /// A repeated run has a further effect, so the request runs at most once.
    #[arg(long, conflicts_with = "idempotent")]
    non_idempotent: bool,
    /// A repeated run has no further effect.
    #[arg(long)]
    idempotent: bool,
    /// Expected run time of one task.
    #[arg(long, value_parser = humantime::parse_duration)]
    run_time: Option<Duration>,
    /// Slots that one task occupies.
    #[arg(long)]
    slots: Option<u32>,
}

/// Arguments of `service remove`.
#[derive(Debug, Args)]
pub struct RemoveArgs {
    /// Name of the service.
    name: String,
}

/// Run time declared for a new request if `--run-time` is not given.
const DEFAULT_RUN_TIME: Duration = Duration::from_millis(100);

impl ServiceCommand {
    /// Runs the subcommand.
    pub async fn run(self, options: ClientOptions) -> Result<(), Report<CommandError>> {
        let client = OperatorClient::new(options)?;
        match self {
            Self::Put(args) => {
                let spec = args.load()?;
                send_and_report(&client, ChangeWire::PutService { name: args.name, spec }).await
            }
            Self::Create(args) => {
                let requests = BTreeMap::new();
                let spec = ServiceWire { team: args.team, deadline: args.deadline, requests };
                send_and_report(&client, ChangeWire::PutService { name: args.name, spec }).await
            }
            Self::Request(args) => args.run(&client).await,
            Self::Remove(args) => {
                send_and_report(&client, ChangeWire::RemoveService { name: args.name }).await
            }
            Self::List => list(&client).await,
        }
    }
}

impl PutArgs {
    fn load(&self) -> Result<ServiceWire, Report<CommandError>> {
        let path = self.file.display().to_string();
        let text = std::fs::read_to_string(&self.file)
            .change_context(CommandError::Input)
            .attach_with(|| path.clone())?;
        serde_saphyr::from_str(&text)
            .map_err(|error| Report::new(CommandError::Input).attach(format!("{path}: {error}")))
    }
}

impl RequestArgs {
    async fn run(self, client: &OperatorClient) -> Result<(), Report<CommandError>> {
        let config = client.config().await?.configuration;
        let Some(mut spec) = config.services.get(&self.service).cloned() else {
            let text = format!("there is no service {}", self.service);
            return Err(Report::new(CommandError::Input).attach(text));
        };
        let current = spec.requests.get(&self.request).cloned();
        let rule = self.updated_rule(current);
        spec.requests.insert(self.request, rule);
        send_and_report(client, ChangeWire::PutService { name: self.service, spec }).await
    }

    /// Applies the given options to the current rule and keeps its other values.
    fn updated_rule(&self, current: Option<RequestWire>) -> RequestWire {
        let default = RequestWire::new(false, DEFAULT_RUN_TIME, 1);
        let current = current.unwrap_or(default);
        RequestWire {
            idempotent: (current.idempotent || self.idempotent) && !self.non_idempotent,
            run_time: self.run_time.unwrap_or(current.run_time),
            slots: self.slots.unwrap_or(current.slots),
            ..current
        }
    }
}

async fn list(client: &OperatorClient) -> Result<(), Report<CommandError>> {
    let services = client.config().await?.configuration.services;
    if client.options().json {
        return print_json(&services);
    }
    let mut rows = vec![
        ["service", "team", "request", "idempotent", "run time", "slots"]
            .map(str::to_owned)
            .to_vec(),
    ];
    for (name, spec) in &services {
        for (request, rule) in &spec.requests {
            let run_time = humantime::format_duration(rule.run_time).to_string();
            let idempotent = if rule.idempotent { "yes" } else { "no" };
            let slots = rule.slots.to_string();
            let row: [&str; 6] = [name, &spec.team, request, idempotent, &run_time, &slots];
            rows.push(row.map(str::to_owned).to_vec());
        }
    }
    write_stdout(format_args!("{}", format_table(&rows)));
    Ok(())
}

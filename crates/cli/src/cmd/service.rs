//! `parsleyspool service`.

use crate::change::make;
use crate::client::{ClientOptions, OperatorClient};
use crate::error::CommandError;
use crate::output::{print_json, table, write};
use clap::{Args, Subcommand};
use error_stack::{Report, ResultExt};
use parsleyspool_wire::settings::{ChangeWire, RequestWire, ServiceWire};
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
    /// Declare or change one kind of request of a service.
    Request(RequestArgs),
    /// Remove a service.
    Remove(NameArgs),
    /// List the services.
    List,
}

/// Arguments of `service put`.
#[derive(Debug, Args)]
pub struct PutArgs {
    /// Name of the service.
    name: String,
    /// File with team, deadline and requests.
    #[arg(long)]
    file: PathBuf,
}

/// Arguments of `service create`.
#[derive(Debug, Args)]
pub struct CreateArgs {
    /// Name of the service.
    name: String,
    /// Team that owns it.
    #[arg(long)]
    team: String,
    /// Time for an answer where the caller states none.
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
    /// A second run has a further effect; the request runs at most once.
    #[arg(long, conflicts_with = "idempotent")]
    non_idempotent: bool,
    /// A second run has no further effect.
    #[arg(long)]
    idempotent: bool,
    /// Declared run time.
    #[arg(long, value_parser = humantime::parse_duration)]
    run_time: Option<Duration>,
    /// Slots that one task takes.
    #[arg(long)]
    slots: Option<u32>,
}

/// Arguments that are a name.
#[derive(Debug, Args)]
pub struct NameArgs {
    /// Name of the service.
    name: String,
}

/// Run time declared for a new request kind where none is given.
const DEFAULT_RUN_TIME: Duration = Duration::from_millis(100);

impl ServiceCommand {
    /// Runs the subcommand.
    pub async fn run(self, options: ClientOptions) -> Result<(), Report<CommandError>> {
        let client = OperatorClient::new(options)?;
        match self {
            Self::Put(args) => {
                let spec = args.load()?;
                make(&client, ChangeWire::PutService { name: args.name, spec }).await
            }
            Self::Create(args) => {
                let requests = BTreeMap::new();
                let spec = ServiceWire { team: args.team, deadline: args.deadline, requests };
                make(&client, ChangeWire::PutService { name: args.name, spec }).await
            }
            Self::Request(args) => args.run(&client).await,
            Self::Remove(args) => {
                make(&client, ChangeWire::RemoveService { name: args.name }).await
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
        let known = spec.requests.get(&self.request).cloned();
        let rule = self.changed(known);
        spec.requests.insert(self.request, rule);
        make(client, ChangeWire::PutService { name: self.service, spec }).await
    }

    /// Rule with what is given, and the rest as it was.
    fn changed(&self, known: Option<RequestWire>) -> RequestWire {
        let default = RequestWire::new(false, DEFAULT_RUN_TIME, 1);
        let known = known.unwrap_or(default);
        RequestWire {
            idempotent: (known.idempotent || self.idempotent) && !self.non_idempotent,
            run_time: self.run_time.unwrap_or(known.run_time),
            slots: self.slots.unwrap_or(known.slots),
            ..known
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
    write(format_args!("{}", table(&rows)));
    Ok(())
}

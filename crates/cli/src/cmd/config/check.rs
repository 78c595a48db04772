//! `parsleyspool config check`.

use crate::client::{ClientOptions, OperatorClient};
use crate::error::CommandError;
use crate::output::{print_json, print_line};
use clap::Args;
use error_stack::{Report, ResultExt};
use parsleyspool_core::config::Configuration;
use parsleyspool_core::config::check::{CheckContext, FindingKind, FindingSeverity, KnownServers};
use parsleyspool_core::entry::EntryLimits;
use parsleyspool_daemon::settings::{ProcessSettings, load};
use parsleyspool_wire::config::{
    ConfigDifference, ConfigDocument, LocatedFinding, config_differences, unknown_keys,
};
use parsleyspool_wire::operator::ConfigBody;
use serde::Serialize;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Arguments of `config check`.
#[derive(Debug, Args)]
pub struct ConfigCheckArgs {
    /// YAML or JSON file with a configuration, or with changes for `apply`.
    file: PathBuf,
    /// Configuration in force, in a file as `config` prints it.
    #[arg(long, conflicts_with = "entry")]
    against: Option<PathBuf>,
    /// Entry to read the configuration in force from; address of its peer
    /// listener.
    #[arg(long)]
    entry: Option<SocketAddr>,
    /// Settings file of an entry whose limits apply.
    #[arg(long)]
    settings: Option<PathBuf>,
}

/// Result of the check, as printed for the operator.
#[derive(Debug, Serialize)]
struct CheckReport {
    file: String,
    /// What the file was compared with; `None` if nothing.
    against: Option<String>,
    errors: usize,
    warnings: usize,
    findings: Vec<FindingReport>,
    differences: Vec<ConfigDifference>,
}

/// One finding, as printed for the operator.
#[derive(Debug, Serialize)]
struct FindingReport {
    severity: &'static str,
    kind: &'static str,
    /// Dotted path, or the line of a syntax error; empty for the whole file.
    place: String,
    /// Whether the place is in the file, not in the configuration after its changes.
    in_file: bool,
    message: String,
    fix: &'static str,
}

/// Configuration that the file is compared with.
#[derive(Debug)]
struct Baseline {
    name: String,
    configuration: Configuration,
}

/// What was read from a file, or the findings that prevent a check.
type ReadDocument = Result<ConfigDocument, Vec<LocatedFinding>>;

impl ConfigCheckArgs {
    /// Checks the file and prints the result.
    pub async fn run(self, options: ClientOptions) -> Result<(), Report<CommandError>> {
        let is_json = options.json;
        let mut context = CheckContext { limits: self.limits()?, servers: None };
        let baseline = match (&self.against, self.entry) {
            (Some(path), _) => Some(read_baseline(path)?),
            (None, Some(address)) => {
                let client =
                    OperatorClient::new(ClientOptions { entries: vec![address], ..options })?;
                context.servers = known_servers(&client).await;
                Some(fetch_baseline(&client).await?)
            }
            (None, None) => None,
        };
        let mut report = CheckReport {
            file: self.file.display().to_string(),
            against: baseline.as_ref().map(|baseline| baseline.name.clone()),
            errors: 0,
            warnings: 0,
            findings: Vec::new(),
            differences: Vec::new(),
        };
        let base = baseline.as_ref().map(|baseline| &baseline.configuration);
        match read_document(&self.file)? {
            Ok(document) => {
                let checked = document.check(base, &context);
                report.add_findings(&checked.findings);
                if let Some(base) = base {
                    report.differences = config_differences(base, &checked.configuration);
                }
            }
            Err(findings) => report.add_findings(&findings),
        }
        if is_json {
            print_json(&report)?;
        } else {
            report.print();
        }
        report.result()
    }

    fn limits(&self) -> Result<Option<EntryLimits>, Report<CommandError>> {
        let Some(path) = &self.settings else { return Ok(None) };
        match load(path).change_context(CommandError::Input)? {
            ProcessSettings::Entry(settings) => Ok(Some(settings.entry_limits())),
            ProcessSettings::Agent(_) => {
                let text = format!("{}: these are settings of an agent", path.display());
                Err(Report::new(CommandError::Input).attach(text))
            }
        }
    }
}

impl CheckReport {
    fn add_findings(&mut self, findings: &[LocatedFinding]) {
        for LocatedFinding { path, is_in_file, kind } in findings {
            let severity = match kind.severity() {
                FindingSeverity::Error => {
                    self.errors += 1;
                    "error"
                }
                FindingSeverity::Warning => {
                    self.warnings += 1;
                    "warning"
                }
            };
            self.findings.push(FindingReport {
                severity,
                kind: kind.name(),
                place: path.clone(),
                in_file: *is_in_file,
                message: kind.message(),
                fix: kind.fix(),
            });
        }
    }

    fn print(&self) {
        for finding in &self.findings {
            let FindingReport { severity, place, message, fix, .. } = finding;
            let origin = if finding.in_file { &self.file } else { "after the changes" };
            let separator = if place.is_empty() { "" } else { ": " };
            print_line!("{severity}: {origin}: {place}{separator}{message}; {fix}");
        }
        match &self.against {
            Some(name) => print_line!("differences from {name}: {}", self.differences.len()),
            None => print_line!(
                "nothing to compare with; changes are applied to an empty configuration"
            ),
        }
        for ConfigDifference { path, before, after } in &self.differences {
            match (before, after) {
                (Some(before), Some(after)) => print_line!("  {path}: {before} becomes {after}"),
                (Some(before), None) => print_line!("  {path}: {before} is removed"),
                (None, Some(after)) => print_line!("  {path}: {after} is added"),
                (None, None) => {}
            }
        }
        print_line!("errors: {}, warnings: {}", self.errors, self.warnings);
    }

    fn result(&self) -> Result<(), Report<CommandError>> {
        match (self.errors, self.warnings) {
            (0, 0) => Ok(()),
            (0, _) => Err(Report::new(CommandError::Warnings)),
            _ => Err(Report::new(CommandError::Input)),
        }
    }
}

/// Reads the document at `path`; the outer error means that the file cannot be read at all.
fn read_document(path: &Path) -> Result<ReadDocument, Report<CommandError>> {
    let text = std::fs::read_to_string(path)
        .change_context(CommandError::Input)
        .attach_with(|| path.display().to_string())?;
    Ok(parse_document(&text))
}

fn parse_document(text: &str) -> ReadDocument {
    let value: Value = serde_saphyr::from_str(text).map_err(|error| vec![unreadable(&error)])?;
    let parsed = if value.is_array() {
        serde_saphyr::from_str(text).map(ConfigDocument::Changes)
    } else if value.get("configuration").is_some() {
        let body = serde_saphyr::from_str(text);
        body.map(|body: ConfigBody| ConfigDocument::Configuration(Box::new(body.configuration)))
    } else {
        let unknown: Vec<LocatedFinding> = unknown_keys(&value)
            .into_iter()
            .map(|path| LocatedFinding { path, is_in_file: true, kind: FindingKind::UnknownKey })
            .collect();
        if !unknown.is_empty() {
            return Err(unknown);
        }
        serde_saphyr::from_str(text).map(|wire| ConfigDocument::Configuration(Box::new(wire)))
    };
    parsed.map_err(|error| vec![unreadable(&error)])
}

fn unreadable(error: &serde_saphyr::Error) -> LocatedFinding {
    let line = error.location().map(|at| format!("line {}", at.line()));
    let message = error.without_snippet().to_string();
    LocatedFinding {
        path: line.unwrap_or_default(),
        is_in_file: true,
        kind: FindingKind::Unreadable(message),
    }
}

fn read_baseline(path: &Path) -> Result<Baseline, Report<CommandError>> {
    let name = path.display().to_string();
    let document = read_document(path)?.map_err(|findings| {
        let lines = findings
            .iter()
            .map(|finding| format!("{name}: {}: {}", finding.path, finding.kind.message()));
        Report::new(CommandError::Input).attach(lines.collect::<Vec<_>>().join("\n"))
    })?;
    let checked = document.check(None, &CheckContext::default());
    Ok(Baseline { name, configuration: checked.configuration })
}

async fn fetch_baseline(client: &OperatorClient) -> Result<Baseline, Report<CommandError>> {
    let body = client.config().await?;
    let name =
        format!("version {} of {}, {}", body.configuration.version, body.entry, body.freshness);
    let configuration = Configuration::try_from(body.configuration)
        .map_err(|error| Report::new(CommandError::Unreachable).attach(error.to_string()))?;
    Ok(Baseline { name, configuration })
}

/// Servers that the entry knows; `None` if it does not answer or knows none yet.
async fn known_servers(client: &OperatorClient) -> Option<KnownServers> {
    let (_, status) = client.statuses().await.pop()?;
    let mut servers = KnownServers::default();
    for process in status?.processes.into_iter().filter(|process| process.role == "agent") {
        servers.max_slots = servers.max_slots.max(process.slots);
        servers.names.insert(process.name.into());
        servers.domains.insert(process.domain.into());
    }
    (!servers.names.is_empty()).then_some(servers)
}

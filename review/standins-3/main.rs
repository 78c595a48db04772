//! Stand-ins and cases of the review: `standins CASE FOLDER`, with the record in FOLDER.
//!
//! Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run. With `TROUBLE=0`
//! in the environment, the case runs without the disruption.

mod deployment;
mod evacuated;
mod http;
mod json;
mod proxy;
mod record;
mod replaced;
mod runner;
mod silent_store;
mod store;
mod template;

use record::Record;
use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;

/// Whether the case injects its disruption.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Trouble {
    Injected,
    None,
}

/// Whether the rule held.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    Held,
    Broken,
}

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: standins CASE FOLDER");
        return ExitCode::from(2);
    };
    let is_calm = std::env::var("TROUBLE").is_ok_and(|value| value == "0");
    let trouble = if is_calm { Trouble::None } else { Trouble::Injected };
    let record = match Record::create(Path::new(&folder)) {
        Ok(record) => Arc::new(record),
        Err(error) => {
            eprintln!("no record: {error}");
            return ExitCode::from(2);
        }
    };
    record.line(&format!("case {case}, disruption {trouble:?}"));
    let result = match case.as_str() {
        "evacuated" => evacuated::run(trouble, record.clone()),
        "replaced" => replaced::run(trouble, record.clone()),
        "unseeded" => replaced::run_unseeded(trouble, record.clone()),
        "silent-store" => silent_store::run(trouble, record.clone()),
        other => Err(format!("no case {other}")),
    };
    record.line(&format!("result: {result:?}"));
    match result {
        Ok(Verdict::Held) => ExitCode::SUCCESS,
        Ok(Verdict::Broken) => ExitCode::from(1),
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(2)
        }
    }
}

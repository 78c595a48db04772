//! Stand-ins for the platform around the programs of the deploy file: the store, the servers with
//! their workers, and a caller. `main` runs one case and exits with 1 if its rule was broken, with 0
//! if it held, and with 2 if the case could not run.

mod cases;
mod deployment;
mod http;
mod json;
mod record;
mod store;
mod worker;

use std::process::exit;
use std::time::Duration;

/// Longest time of a case; one that takes longer is ended and could not run.
const TIME_LIMIT: Duration = Duration::from_secs(115);

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, directory] = arguments.as_slice() else {
        eprintln!("usage: standins-2 CASE DIRECTORY");
        exit(2);
    };
    std::thread::spawn(|| {
        std::thread::sleep(TIME_LIMIT);
        deployment::kill_all_processes();
        eprintln!("the case took too long");
        exit(2);
    });
    let is_troubled = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    match cases::run(case, directory, is_troubled) {
        Ok(true) => exit(0),
        Ok(false) => exit(1),
        Err(error) => {
            eprintln!("the case could not run: {error}");
            exit(2);
        }
    }
}

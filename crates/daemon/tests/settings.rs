//! Settings files: what is refused and how it is named.

use parsleyspool_daemon::settings::{SETTING_TABLE, parse};
use proptest::prelude::{any, proptest};
use proptest::test_runner::{Config, RngSeed};
use std::collections::BTreeSet;

const ENTRY: &str = "\
entry:
  name: entry-1
  domain: coast
  listen:
    callers: 127.0.0.1:7101
    peers: 127.0.0.1:7201
  log:
    url: http://127.0.0.1:7300
  limits:
    lease: 3s
";

const AGENT: &str = "\
agent:
  name: runner-1
  domain: coast
  worker: w-1
  listen: 127.0.0.1:7501
  entries:
    entry-1: 127.0.0.1:7201
  backend:
    url: http://127.0.0.1:7401
    services: [tokens]
    slots: 8
";

/// Agent of a server that announces itself and whose worker gives leases.
const LEASED_AGENT: &str = "\
agent:
  name: runner-1
  domain: coast
  worker: w-1
  listen: 127.0.0.1:7501
  seeds: [127.0.0.1:7201]
  runs:
    lease: 700ms
    renewal: 200ms
";

fn faults(text: &str) -> Vec<String> {
    match parse(text) {
        Ok(_) => Vec::new(),
        Err(faults) => faults.iter().map(ToString::to_string).collect(),
    }
}

#[test]
fn right_files_are_taken() {
    assert_eq!(faults(ENTRY), Vec::<String>::new());
    assert_eq!(faults(AGENT), Vec::<String>::new());
    assert_eq!(faults(LEASED_AGENT), Vec::<String>::new());
}

#[test]
fn wrong_files_are_refused_with_line_and_key() {
    let cases = [
        (ENTRY, "lease: 3s", "lease: 9s", "10: entry.limits.lease: must be between 1s and 5s"),
        (ENTRY, "lease: 3s", "leese: 3s", "10: "),
        (ENTRY, "lease: 3s", "lease: 3 parsecs", "10: "),
        (ENTRY, "url: http:", "url: ftp:", "8: entry.log.url: must start with http://"),
        (
            ENTRY,
            "    lease: 3s\n",
            "    heartbeat: 4s\n    silent_after: 5s\n",
            "10: entry.limits.heartbeat: must be at most half of entry.limits.silent_after",
        ),
        (
            ENTRY,
            "    lease: 3s\n",
            "    claim_window: 2h\n",
            "10: entry.limits.claim_window: must with entry.limits.longest_deadline be shorter",
        ),
        (AGENT, "slots: 8", "slots: 0", "11: agent.backend.slots: must be between 1 and 10000"),
        (AGENT, "slots: 8", "slots: eight", "11: "),
        (AGENT, "services: [tokens]", "services: []", "10: agent.backend.services: must name"),
        (AGENT, "agent:", "runner:", "1: "),
        (LEASED_AGENT, "seeds: [127.0.0.1:7201]", "seeds: []", "agent.entries: must name at"),
        (LEASED_AGENT, "renewal: 200ms", "renewal: 600ms", "9: agent.runs.renewal: must be at"),
        (
            LEASED_AGENT,
            "runs:\n    lease: 700ms\n    renewal: 200ms",
            "drain: 1s",
            "agent.backend: must be",
        ),
    ];

    for (text, from, to, expected) in cases {
        let faults = faults(&text.replace(from, to));
        assert!(
            faults.first().is_some_and(|fault| fault.starts_with(expected)),
            "{to}: {faults:?}"
        );
    }
}

#[test]
fn every_fault_of_a_file_is_named_at_once() {
    let text = ENTRY.replace("lease: 3s", "lease: 9s\n    attempts: 0\n    placement: fastest");

    let faults = faults(&text);

    assert_eq!(faults.len(), 3, "{faults:?}");
}

/// Dotted paths of the keys in a serialised file.
fn keys(value: &serde_json::Value, path: &str, found: &mut BTreeSet<String>) {
    match value {
        serde_json::Value::Object(map) if !map.is_empty() && !is_map(path) => {
            for (key, value) in map {
                let path = if path.is_empty() { key.clone() } else { format!("{path}.{key}") };
                keys(value, &path, found);
            }
        }
        _ => {
            found.insert(path.to_owned());
        }
    }
}

fn is_map(path: &str) -> bool {
    matches!(path, "entry.peers" | "agent.entries")
}

#[test]
fn the_reference_names_every_key_and_no_other() {
    let mut found = BTreeSet::new();
    let advertised = ENTRY.replace("  log:", "    advertise: 192.0.2.9:7201\n  log:");
    for text in [&advertised, AGENT, LEASED_AGENT] {
        let settings = parse(text).expect("the file is right");
        let value = serde_json::to_value(&settings).expect("settings can be written");
        keys(&value, "", &mut found);
    }

    let table: BTreeSet<String> = SETTING_TABLE.iter().map(|row| row.key.to_owned()).collect();

    assert_eq!(table, found);
}

proptest! {
    #![proptest_config(Config {
        rng_seed: RngSeed::Fixed(6),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn damaged_files_are_taken_or_refused(is_entry: bool, at in any::<usize>(), to in any::<char>()) {
        let mut text: Vec<char> = if is_entry { ENTRY } else { AGENT }.chars().collect();
        let at = at % text.len();
        text[at] = to;
        let damaged: String = text.iter().collect();
        let cut: String = text[..at].iter().collect();
        for text in [damaged, cut] {
            assert!(parse(&text).is_ok() || !faults(&text).is_empty());
        }
    }
}

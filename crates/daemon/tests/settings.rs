//! Settings files: which are rejected and what the errors report.

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

/// Agent of a server that announces itself and whose worker runs tasks under leases.
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

fn parse_errors(text: &str) -> Vec<String> {
    match parse(text) {
        Ok(_) => Vec::new(),
        Err(errors) => errors.iter().map(ToString::to_string).collect(),
    }
}

#[test]
fn valid_files_are_accepted() {
    assert_eq!(parse_errors(ENTRY), Vec::<String>::new());
    assert_eq!(parse_errors(AGENT), Vec::<String>::new());
    assert_eq!(parse_errors(LEASED_AGENT), Vec::<String>::new());
    let without_entries = LEASED_AGENT.replace("seeds: [127.0.0.1:7201]", "seeds: []");
    assert_eq!(parse_errors(&without_entries), Vec::<String>::new());
}

#[test]
fn invalid_files_are_rejected_with_line_and_key() {
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
            "10: entry.limits.claim_window: must be shorter than entry.log.retention minus \
             entry.limits.longest_deadline",
        ),
        (
            ENTRY,
            "    lease: 3s\n",
            "    lease: 3s\n  machine:\n    descriptors: 200\n",
            "12: entry.machine.descriptors: must be above 204",
        ),
        (
            ENTRY,
            "    lease: 3s\n",
            "    lease: 3s\n  machine:\n    memory_mb: 39\n",
            "12: entry.machine.memory_mb: must allow for 5242880 bytes",
        ),
        (
            ENTRY,
            "    lease: 3s\n",
            "    lease: 3s\n  inbound:\n    connections: 4000\n",
            "12: entry.inbound.connections: must be below entry.machine.descriptors minus 200",
        ),
        (
            AGENT,
            "  backend:\n",
            "  inbound:\n    head_time: 10ms\n  backend:\n",
            "9: agent.inbound.head_time: must be at least 1s",
        ),
        (AGENT, "slots: 8", "slots: 0", "11: agent.backend.slots: must be between 1 and 10000"),
        (AGENT, "slots: 8", "slots: eight", "11: "),
        (AGENT, "services: [tokens]", "services: []", "10: agent.backend.services: must name"),
        (AGENT, "agent:", "runner:", "1: "),
        (LEASED_AGENT, "seeds: [127.0.0.1:7201]", "seeds: [127.0.0.1]", "6: "),
        (
            LEASED_AGENT,
            "  runs:",
            "  limits:\n    start_for: 1s\n  runs:",
            "8: agent.limits.start_for: must be at least agent.limits.check_after",
        ),
        (LEASED_AGENT, "renewal: 200ms", "renewal: 600ms", "9: agent.runs.renewal: must be at"),
        (
            LEASED_AGENT,
            "runs:\n    lease: 700ms\n    renewal: 200ms",
            "drain: 1s",
            "agent.backend: must be",
        ),
    ];

    for (text, from, to, expected) in cases {
        let errors = parse_errors(&text.replace(from, to));
        assert!(
            errors.first().is_some_and(|error| error.starts_with(expected)),
            "{to}: {errors:?}"
        );
    }
}

#[test]
fn all_errors_of_a_file_are_reported_together() {
    let text = ENTRY.replace(
        "lease: 3s",
        "lease: 9s\n    attempts: 0\n    placement: fastest\n    overload: hope",
    );

    let errors = parse_errors(&text);

    assert_eq!(errors.len(), 4, "{errors:?}");
}

/// Collects the dotted paths of the keys in serialised settings.
fn collect_keys(value: &serde_json::Value, path: &str, found: &mut BTreeSet<String>) {
    match value {
        serde_json::Value::Object(map) if !map.is_empty() && !is_map_setting(path) => {
            for (key, value) in map {
                let path = if path.is_empty() { key.clone() } else { format!("{path}.{key}") };
                collect_keys(value, &path, found);
            }
        }
        _ => {
            found.insert(path.to_owned());
        }
    }
}

fn is_map_setting(path: &str) -> bool {
    matches!(path, "entry.peers" | "agent.entries")
}

#[test]
fn reference_lists_exactly_the_keys_of_the_settings() {
    let mut found = BTreeSet::new();
    let advertised = ENTRY.replace("  log:", "    advertise: 192.0.2.9:7201\n  log:");
    for text in [&advertised, AGENT, LEASED_AGENT] {
        let settings = parse(text).expect("the file is valid");
        let value = serde_json::to_value(&settings).expect("settings can be serialised");
        collect_keys(&value, "", &mut found);
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
    fn corrupted_files_never_panic(is_entry: bool, at in any::<usize>(), to in any::<char>()) {
        let mut text: Vec<char> = if is_entry { ENTRY } else { AGENT }.chars().collect();
        let at = at % text.len();
        text[at] = to;
        let corrupted: String = text.iter().collect();
        let truncated: String = text[..at].iter().collect();
        for text in [corrupted, truncated] {
            assert!(parse(&text).is_ok() || !parse_errors(&text).is_empty());
        }
    }
}

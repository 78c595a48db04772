//! Starts an entry and an agent as the deploy file does, with settings and ports as the platform may
//! leave them on any day, and checks whether the process serves, waits or ends.

mod machine;
#[path = "../platform/machine_fields.rs"]
mod machine_fields;
#[path = "../platform/process.rs"]
mod process;
#[path = "../platform/settings_template.rs"]
mod settings_template;

use machine::{DaemonRole, StartMachine, poll};
use serde_json::{Value, json};

const FRONT_PORT: u16 = 8161;
const READY_PORT: u16 = 8167;
const METRICS_PORT: u16 = 9464;
/// Address that no machine of a test has.
const FOREIGN_ADDRESS: &str = "192.0.2.1:8166";
/// Arguments for a start that gives up soon.
const SHORT_WINDOW: [&str; 2] = ["--start-window", "300ms"];
const WRONG_COMMAND_LINE: i32 = 2;
/// Exit code of a daemon that could not start.
const DAEMON_FAILED: i32 = 7;

/// Values with which a daemon of either role serves: their path in the fields, and the value.
fn harmless_values() -> Vec<(&'static str, Value)> {
    vec![
        ("/limits/memoryMb", json!(260.0)),
        ("/limits/memoryMb", json!(96.5)),
        ("/limits/memoryMb", json!(null)),
        ("/limits/maxFds", json!(4100.0)),
        ("/limits/maxFds", json!(null)),
        ("/bounds/graceS", json!(6.5)),
        ("/bounds/graceS", json!(null)),
        ("/platform/keep_s", json!(300.5)),
        ("/platform/keep_s", json!(null)),
        ("/seeds", json!([])),
        ("/seeds", json!(null)),
        ("/seeds", json!(["10.1.0.13:8166", "10.1.0.13:8166", "10.1.0.13:8166"])),
        ("/zones", json!({})),
        ("/zones", json!(null)),
        ("/zones", json!({"another": "coast"})),
    ]
}

/// Values without which a daemon cannot work, by their paths in the fields.
fn needed_values(role: DaemonRole) -> Vec<&'static str> {
    let of_both = ["/nodeName", "/zone", "/ip", "/internalPorts/0", "/listenAddrs/control"];
    let of_role: &[&str] = match role {
        DaemonRole::Entry => &["/platform/address", "/listenAddrs/front", "/listenAddrs/ready"],
        DaemonRole::Agent => &["/app"],
    };
    of_both.iter().chain(of_role).copied().collect()
}

fn set(machine: &mut StartMachine, path: &str, value: Value) {
    *machine.fields.pointer_mut(path).expect("the field is there") = value;
}

/// Failure (class of review/14): a value that the platform may render, or none, ends the process, again
/// after each restart.
#[test]
fn a_daemon_serves_with_every_value_that_it_can_do_without() {
    for role in DaemonRole::BOTH {
        for (path, value) in harmless_values() {
            let mut machine = StartMachine::new(role);
            set(&mut machine, path, value.clone());

            machine.start_with_fields(&[]);

            assert_eq!(machine.wait_up(), Ok(()), "{role:?} {path} {value}");
        }
    }
}

/// Failure (class of review/14): the deploy file renders an empty address of the store, and the agent ends
/// with code 2.
#[test]
fn an_agent_serves_with_an_empty_address_of_the_store() {
    let mut machine = StartMachine::new(DaemonRole::Agent);
    machine.store = Some("");

    machine.start_with_fields(&[]);

    assert_eq!(machine.wait_up(), Ok(()));
    assert_eq!(machine.wait_line("event=no_store_named"), Ok(()));
}

/// Failure (class of review/14): a value that the process needs is missing for a moment, and it ends.
#[test]
fn a_daemon_waits_for_a_value_that_it_needs() {
    let needed = |role| needed_values(role).into_iter().map(move |path| (role, path));
    for (role, path) in DaemonRole::BOTH.into_iter().flat_map(needed) {
        let mut machine = StartMachine::new(role);
        let whole = machine.settings();
        set(&mut machine, path, Value::Null);
        machine.start_with_fields(&[]);
        let delayed = machine.wait_line("event=start_delayed");

        machine.write(&whole);
        let started = machine.wait_up();

        assert_eq!((delayed, started), (Ok(()), Ok(())), "{role:?} {path}");
    }
}

/// Values of the wrong kind, or that no process can run with.
fn unusable_values() -> Vec<(&'static str, Value)> {
    vec![
        ("/limits/memoryMb", json!(32)),
        ("/limits/memoryMb", json!(true)),
        ("/limits/maxFds", json!(204)),
        ("/bounds/graceS", json!("soon")),
        ("/seeds", json!(["nowhere"])),
        ("/listenAddrs/control", json!("nowhere")),
    ]
}

/// Failure (class of review/14): as above, with a value that is there and cannot be used.
#[test]
fn a_daemon_waits_for_another_value_than_one_that_it_cannot_use() {
    for role in DaemonRole::BOTH {
        for (path, value) in unusable_values() {
            let mut machine = StartMachine::new(role);
            let whole = machine.settings();
            set(&mut machine, path, value.clone());
            machine.start_with_fields(&[]);
            let delayed = machine.wait_line("event=start_delayed");

            machine.write(&whole);
            let started = machine.wait_up();

            assert_eq!((delayed, started), (Ok(()), Ok(())), "{role:?} {path} {value}");
        }
    }
}

/// Failure: a running process ends, or drops its values, when its settings file becomes invalid.
#[test]
fn a_running_daemon_keeps_its_values_when_its_file_becomes_invalid() {
    for role in DaemonRole::BOTH {
        let mut machine = StartMachine::new(role);
        let whole = machine.settings();
        machine.start_with_fields(&[]);
        machine.wait_up().expect("the daemon starts");

        machine.write(&whole[..whole.len() / 2]);
        machine.hang_up();
        let rejected = machine.wait_line("event=settings_wrong");
        machine.write(&whole);
        machine.hang_up();
        let read = machine.wait_line("event=settings_read");

        assert_eq!((rejected, read), (Ok(()), Ok(())), "{role:?}");
    }
}

/// Failure: a variable that stays wrong as long as the process runs is waited for.
#[test]
fn an_agent_ends_at_once_with_a_store_at_no_address() {
    let mut machine = StartMachine::new(DaemonRole::Agent);
    machine.store = Some("nowhere");

    machine.start_with_fields(&[]);
    let (code, log) = machine.wait_end();

    assert_eq!(code, WRONG_COMMAND_LINE, "{log}");
}

/// Failure (class of review/14): a process starts while its settings file is being written, and ends.
#[test]
fn a_daemon_waits_for_a_file_that_is_being_written() {
    for role in DaemonRole::BOTH {
        for part in [None, Some(0.0), Some(0.5)] {
            let mut machine = StartMachine::new(role);
            let whole = machine.settings();
            if let Some(part) = part {
                machine.write(&whole[..(whole.len() as f64 * part) as usize]);
            }
            machine.start(&[]);
            let delayed = machine.wait_line("event=start_delayed");

            machine.write(&whole);
            let started = machine.wait_up();

            assert_eq!((delayed, started), (Ok(()), Ok(())), "{role:?} {part:?}");
        }
    }
}

/// Failure: a setting that stays wrong is waited for without an end, or without its place.
#[test]
fn a_daemon_ends_with_line_and_key_of_a_setting_that_stays_wrong() {
    for role in DaemonRole::BOTH {
        let mut machine = StartMachine::new(role);
        set(&mut machine, "/limits/maxFds", json!(204));

        machine.start_with_fields(&SHORT_WINDOW);
        let (code, log) = machine.wait_end();

        assert_eq!(code, DAEMON_FAILED, "{log}");
        assert!(log.contains("event=start_delayed"), "{log}");
        assert!(log.contains("platform.descriptors: must be above 204"), "{log}");
        assert!(!log.contains("u{1b}"), "a terminal's colours are in the log: {log}");
    }
}

/// Failure: a process that waits for its settings ignores SIGTERM until it is killed.
#[test]
fn a_daemon_that_waits_stops_at_once() {
    for role in DaemonRole::BOTH {
        let mut machine = StartMachine::new(role);
        machine.write("");
        machine.start(&[]);
        machine.wait_line("event=start_delayed").expect("the daemon waits");

        machine.terminate();
        let (code, log) = machine.wait_end();

        assert_eq!(code, 0, "{log}");
    }
}

/// Failure (class of review/14): a port still belongs to a process that is about to leave, and the process
/// ends.
#[test]
fn a_daemon_waits_for_a_port_that_is_taken() {
    for role in DaemonRole::BOTH {
        for port in role.required_ports() {
            let mut machine = StartMachine::new(role);
            let holder = machine.occupy(*port);
            machine.start_with_fields(&[]);
            let delayed = machine.wait_line("event=start_delayed");

            drop(holder);
            let started = machine.wait_up();

            assert_eq!((delayed, started), (Ok(()), Ok(())), "{role:?} {port}");
        }
    }
}

/// Failure: the address of a listener changes in the settings, and the process waits for the former one.
#[test]
fn a_daemon_waits_for_an_address_of_its_machine_in_the_settings() {
    for role in DaemonRole::BOTH {
        let mut machine = StartMachine::new(role);
        let whole = machine.settings();
        set(&mut machine, "/listenAddrs/control", json!(FOREIGN_ADDRESS));
        machine.start_with_fields(&[]);
        let delayed = machine.wait_line("event=start_delayed");

        machine.write(&whole);
        let started = machine.wait_up();

        assert_eq!((delayed, started), (Ok(()), Ok(())), "{role:?}");
    }
}

/// Failure: callers wait at a listener of a process that still waits for another port.
#[test]
fn a_daemon_that_waits_for_one_port_holds_no_other() {
    let mut machine = StartMachine::new(DaemonRole::Entry);
    let _holder = machine.occupy(FRONT_PORT);
    machine.start_with_fields(&[]);
    machine.wait_line("event=start_delayed").expect("the entry waits");

    // An attempt binds the other ports for a moment.
    let is_refused = poll(|| !machine.accepts_at(READY_PORT));

    assert!(is_refused);
}

/// Failure: a port that stays taken is waited for without an end, or without its name.
#[test]
fn a_daemon_ends_with_the_address_of_a_port_that_stays_taken() {
    let mut machine = StartMachine::new(DaemonRole::Entry);
    let _holder = machine.occupy(FRONT_PORT);

    machine.start_with_fields(&SHORT_WINDOW);
    let (code, log) = machine.wait_end();

    assert_eq!(code, DAEMON_FAILED, "{log}");
    assert!(log.contains(&format!(":{FRONT_PORT}")), "{log}");
}

/// Failure (class of review/14): the port for metrics is taken, and the process ends, though it could serve.
#[test]
fn a_daemon_serves_without_its_metrics_until_their_port_is_free() {
    for role in DaemonRole::BOTH {
        let mut machine = StartMachine::new(role);
        let holder = machine.occupy(METRICS_PORT);
        machine.start_with_fields(&[]);
        let started = machine.wait_up();
        let reported = machine.wait_line("event=metrics_unavailable");

        drop(holder);
        let serves_metrics = poll(|| machine.accepts_at(METRICS_PORT));

        assert_eq!((started, reported, serves_metrics), (Ok(()), Ok(()), true), "{role:?}");
    }
}

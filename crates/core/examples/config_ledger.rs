//! Replays configuration records without the daemons.
//!
//! Two operators change the same failure domain concurrently. A reader that starts after the first
//! records have expired reaches the same state from a snapshot.
//!
//! Run it with `cargo run -p parsleyspool-core --example config_ledger`.

use parsleyspool_core::config::{
    ChangeRecord, ConfigChange, ConfigLedger, ConfigRecord, DomainAvailability,
};

fn change(id: u128, operator: &str, availability: DomainAvailability) -> ConfigRecord {
    let change = ConfigChange::SetDomainAvailability { domain: "coast".into(), availability };
    ConfigRecord::Change(ChangeRecord { id, operator: operator.to_owned(), base: 0, change })
}

fn main() {
    let records = [
        change(1, "ana", DomainAvailability::OutOfService),
        change(2, "bo", DomainAvailability::InService),
    ];

    let mut early = ConfigLedger::new();
    for (offset, record) in (0..).zip(records) {
        println!("offset={offset} outcome={:?}", early.apply(offset, record));
    }
    let snapshot = early.snapshot().expect("the state is complete");

    let mut late = ConfigLedger::new();
    late.skip_to(2);
    println!("late reader complete={}", late.is_complete());
    println!("offset=2 outcome={:?}", late.apply(2, ConfigRecord::Snapshot(snapshot)));
    println!("in service here={}", early.configuration().is_in_service("coast"));
    println!("in service there={}", late.configuration().is_in_service("coast"));
}

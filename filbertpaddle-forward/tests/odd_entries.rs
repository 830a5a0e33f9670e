//! Entries of another writer: invalid ones, and those of services that are not named.

use std::sync::Arc;

use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::name::Name;
use filbertpaddle_forward::change::Batch;
use filbertpaddle_forward::change::Change;
use filbertpaddle_forward::change::Entry;
use filbertpaddle_forward::change::Table;
use filbertpaddle_forward::configuration::Configuration;
use filbertpaddle_forward::configuration::Service;
use filbertpaddle_forward::directory::Directory;
use filbertpaddle_forward::invalid_entries::InvalidEntries;
use filbertpaddle_forward::revision::Revision;
use filbertpaddle_forward::target::Target;

fn target(id: &str, service: &str) -> Entry {
    Entry::Target(Target {
        id: id.into(),
        service: service.into(),
        address: "10.0.0.1:80".into(),
        data_centre: "dc-a".into(),
        slots: 4,
        is_draining: false,
        cold_ms: Millis::ZERO,
        started_ms: Some(Millis(1)),
        version: "v1".into(),
    })
}

fn configuration(version: u64, services: &[&str]) -> Entry {
    let service = Service {
        max_connections: 8,
        cold_per_sec: 0.0,
        engine: None,
    };
    let named = |name: &&str| (Name::from(*name), service.clone());
    Entry::Configuration(Arc::new(Configuration {
        version,
        services: services.iter().map(named).collect(),
        ..Configuration::default()
    }))
}

/// Applies entries one after the other; returns the IDs of the listed targets in order.
fn listed(entries: Vec<Entry>) -> Vec<String> {
    let mut directory = Directory::new();
    for (revision, entry) in (1..).zip(entries) {
        let table = match entry {
            Entry::Configuration(_) => Table::Operator,
            _ => Table::Targets,
        };
        let revision = Revision::new(0, revision);
        let batch = Batch {
            table,
            is_whole: false,
            revision,
            changes: vec![Change { revision, entry }],
        };
        directory.apply(Millis(10), Millis(10), &batch);
    }
    let targets = directory.targets();
    let mut ids: Vec<_> = targets.map(|(target, _)| target.id.to_string()).collect();
    ids.sort();
    ids
}

#[test]
fn an_entry_of_a_service_that_is_not_named_takes_no_address() {
    let named = || configuration(1, &["app", "engine"]);
    let later = listed(vec![named(), target("sound", "app"), target("odd", "none")]);
    assert_eq!(later, ["odd", "sound"]);
    let earlier = listed(vec![named(), target("odd", "none"), target("sound", "app")]);
    assert_eq!(earlier, ["odd", "sound"]);
    // Before a node knows the configuration, either may be the odd one.
    let unknown = listed(vec![target("sound", "app"), target("odd", "none")]);
    assert_eq!(unknown, ["odd", "sound"]);
}

#[test]
fn a_target_takes_the_address_of_one_of_another_named_service() {
    let named = configuration(1, &["app", "engine"]);
    let ids = listed(vec![
        named,
        target("former", "engine"),
        target("new", "app"),
    ]);
    assert_eq!(ids, ["new"]);
}

/// The odd entry was written once; live targets write theirs again and again.
#[test]
fn a_target_that_writes_itself_again_takes_its_address_back() {
    let ids = listed(vec![
        configuration(1, &["app"]),
        target("sound", "app"),
        target("odd", "none"),
        configuration(2, &["app", "none"]),
        target("sound", "app"),
    ]);
    assert_eq!(ids, ["sound"]);
}

#[test]
fn an_invalid_entry_is_reported_once_until_it_is_valid_again() {
    let mut entries = InvalidEntries::new();
    let key = Name::from("odd");
    assert!(entries.record(Table::Targets, &key));
    assert!(!entries.record(Table::Targets, &key));
    assert!(entries.record(Table::Operator, &key));
    entries.record_valid(Table::Targets, &key);
    assert!(entries.record(Table::Targets, &key));
    let others = (0..10_000).map(|number| Name::from(format!("odd-{number}")));
    let reported = others.filter(|key| entries.record(Table::Targets, key));
    assert!(reported.count() < 1_000);
}

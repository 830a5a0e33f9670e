//! What two ends of a link know of the configuration, whatever either knew before.

use std::sync::Arc;

use filbertpaddle_forward::change::Batch;
use filbertpaddle_forward::change::Change;
use filbertpaddle_forward::change::Entry;
use filbertpaddle_forward::change::Table;
use filbertpaddle_forward::configuration::Configuration;
use filbertpaddle_forward::configuration::Identity;
use filbertpaddle_forward::linked_configuration::LinkedConfiguration;
use filbertpaddle_forward::revision::Revision;

fn configuration(version: u64) -> Arc<Configuration> {
    Arc::new(Configuration {
        version,
        ..Configuration::default()
    })
}

/// A batch with the configuration of a version and one more entry.
fn batch(version: u64) -> Batch {
    let revision = Revision::new(0, version);
    let data_centre = Entry::DataCentre {
        name: "dc-a".into(),
        is_out: true,
    };
    let entries = [data_centre, Entry::Configuration(configuration(version))];
    Batch {
        table: Table::Operator,
        is_whole: false,
        revision,
        changes: entries.map(|entry| Change { revision, entry }).to_vec(),
    }
}

fn has_configuration(batch: &Batch) -> bool {
    let mut changes = batch.changes.iter();
    changes.any(|change| matches!(change.entry, Entry::Configuration(_)))
}

#[test]
fn only_the_first_configuration_is_sent_whole() {
    let mut sender =
        LinkedConfiguration::sending(Some(Identity::default()), Some(configuration(3)));
    let mut receiver = LinkedConfiguration::receiving(None);
    for version in 3..6 {
        let mut sent = batch(version);
        let change = sender.shorten(&mut sent);
        assert_eq!(has_configuration(&sent), version == 3);
        assert_eq!(change.is_some(), version > 3);
        receiver.restore(&mut sent, change).unwrap();
        assert!(has_configuration(&sent));
        assert_eq!(receiver.id(), configuration(version).id());
    }
}

#[test]
fn a_configuration_that_the_other_end_has_is_not_sent_again() {
    let mut sender =
        LinkedConfiguration::sending(Some(configuration(3).id()), Some(configuration(3)));
    let mut sent = batch(3);
    assert_eq!(sender.shorten(&mut sent), None);
    assert!(!has_configuration(&sent));
    assert_eq!(sent.changes.len(), 1);
    // What is missing since then is sent as a change.
    let mut receiver = LinkedConfiguration::receiving(Some(configuration(3)));
    let mut later = batch(4);
    let change = sender.shorten(&mut later);
    receiver.restore(&mut later, change).unwrap();
    assert!(has_configuration(&later));
}

#[test]
fn an_end_of_an_earlier_build_gets_whole_configurations() {
    let mut sender = LinkedConfiguration::sending(None, Some(configuration(3)));
    for version in 3..6 {
        let mut sent = batch(version);
        assert_eq!(sender.shorten(&mut sent), None);
        assert!(has_configuration(&sent));
    }
}

#[test]
fn a_change_from_an_unknown_configuration_is_not_applied() {
    let mut sender =
        LinkedConfiguration::sending(Some(configuration(3).id()), Some(configuration(3)));
    let mut sent = batch(4);
    let change = sender.shorten(&mut sent);
    let mut receiver = LinkedConfiguration::receiving(Some(configuration(2)));
    assert!(receiver.restore(&mut sent, change).is_err());
    assert!(!has_configuration(&sent));
}

/// After a rollback of the store, two nodes may hold different configurations of one version.
#[test]
fn a_change_from_another_configuration_of_the_same_version_is_not_sent() {
    let mut other = Configuration::clone(&configuration(3));
    other.digest = 7;
    let mut sender = LinkedConfiguration::sending(Some(other.id()), Some(configuration(3)));
    let mut sent = batch(4);
    assert_eq!(sender.shorten(&mut sent), None);
    assert!(has_configuration(&sent));
}

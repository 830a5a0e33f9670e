//! What a node takes from the store and from peers, in any order.

use std::sync::Arc;

use filbertpaddle_core::clock::Millis;
use filbertpaddle_forward::configuration::Configuration;
use filbertpaddle_forward::directory::Batch;
use filbertpaddle_forward::directory::Change;
use filbertpaddle_forward::directory::Directory;
use filbertpaddle_forward::directory::Entry;
use filbertpaddle_forward::directory::Table;
use filbertpaddle_forward::target::Target;

fn target(id: &str, is_draining: bool) -> Target {
    Target {
        id: id.into(),
        service: "engine".into(),
        address: format!("{id}.test:1").into(),
        data_centre: "dc-a".into(),
        slots: 4,
        is_draining,
        cold_ms: Millis::ZERO,
        started_ms: Some(Millis(1)),
    }
}

fn batch(table: Table, is_whole: bool, revision: u64, changes: Vec<(u64, Entry)>) -> Batch {
    let changes = changes
        .into_iter()
        .map(|(revision, entry)| Change { revision, entry })
        .collect();
    Batch {
        table,
        is_whole,
        revision,
        changes,
    }
}

fn configuration(version: u64) -> Entry {
    Entry::Configuration(Arc::new(Configuration {
        version,
        ..Configuration::default()
    }))
}

fn ids(directory: &Directory) -> Vec<&str> {
    directory
        .targets()
        .map(|(target, _)| target.id.as_str())
        .collect()
}

/// A directory that lists two targets at revision 2.
fn listed() -> Directory {
    let mut directory = Directory::new();
    let changes = vec![
        (1, Entry::Target(target("a", false))),
        (2, Entry::Target(target("b", false))),
    ];
    let whole = batch(Table::Targets, true, 2, changes);
    directory.apply(Millis(10), Millis(10), &whole);
    directory
}

#[test]
fn a_configuration_never_reverts() {
    let mut directory = Directory::new();
    for (revision, version) in [(5, 3), (9, 2), (4, 7), (10, 6)] {
        let changes = vec![(revision, configuration(version))];
        let now = Millis(revision);
        directory.apply(now, now, &batch(Table::Operator, false, revision, changes));
    }
    assert_eq!(directory.configuration().unwrap().version, 7);
    assert_eq!(directory.revision(Table::Operator), 10);
}

#[test]
fn an_entry_older_than_its_removal_does_not_come_back() {
    let mut directory = listed();
    let removal = vec![(5, Entry::NoTarget("a".into()))];
    directory.apply(
        Millis(20),
        Millis(20),
        &batch(Table::Targets, false, 5, removal),
    );
    assert_eq!(ids(&directory), ["b"]);
    let stale = vec![(1, Entry::Target(target("a", false)))];
    directory.apply(
        Millis(21),
        Millis(21),
        &batch(Table::Targets, false, 4, stale),
    );
    assert_eq!(ids(&directory), ["b"]);
    let new = vec![(6, Entry::Target(target("a", false)))];
    directory.apply(
        Millis(22),
        Millis(22),
        &batch(Table::Targets, false, 6, new),
    );
    assert_eq!(ids(&directory), ["b", "a"]);
}

#[test]
fn what_a_whole_table_does_not_name_is_gone() {
    let mut directory = listed();
    let changes = vec![(7, Entry::Target(target("c", false)))];
    let effect = directory.apply(
        Millis(20),
        Millis(20),
        &batch(Table::Targets, true, 7, changes),
    );
    assert_eq!(ids(&directory), ["c"]);
    assert_eq!(effect.targets.len(), 3);
}

#[test]
fn removals_after_an_outage_are_doubted_for_a_while() {
    let mut directory = listed();
    directory.record_store_lost(Table::Targets);
    assert!(directory.is_store_lost());
    directory.record_store_regained(Millis(5_000), Table::Targets);
    let removal = vec![
        (8, Entry::NoTarget("a".into())),
        (9, Entry::NoTarget("b".into())),
    ];
    let now = Millis(5_001);
    directory.apply(now, now, &batch(Table::Targets, false, 9, removal));
    assert_eq!(ids(&directory), ["a", "b"]);
    // One of the two lives and is listed again.
    let back = vec![(11, Entry::Target(target("b", false)))];
    let now = Millis(6_500);
    directory.apply(now, now, &batch(Table::Targets, false, 11, back));
    directory.apply_due_removals(Millis(7_499));
    assert_eq!(ids(&directory), ["a", "b"]);
    let effect = directory.apply_due_removals(Millis(7_500));
    assert_eq!(ids(&directory), ["b"]);
    assert_eq!(effect.targets, ["a"]);
}

/// A node regains the store 0.5 s before a target leaves: taking that for a lapse
/// would send to it for 2.5 s, beyond the platform's bound of 2 s.
/// A reader that was cut off from the store doubts what it then hears to be gone;
/// its followers, which were not, are told and need not.
#[test]
fn a_doubted_removal_is_told_to_those_who_need_not_doubt() {
    let mut reader = listed();
    let mut follower = Directory::new();
    let told = reader.changes_after(Table::Targets, 0);
    follower.apply(Millis(10), Millis(10), &told);
    let sequence = reader.sequence();
    reader.record_store_lost(Table::Targets);
    reader.record_store_regained(Millis(5_000), Table::Targets);
    let gone = batch(
        Table::Targets,
        false,
        7,
        vec![(7, Entry::NoTarget("a".into()))],
    );
    reader.apply(Millis(5_010), Millis(5_010), &gone);
    assert_eq!(ids(&reader), ["a", "b"]);
    let told = reader.changes_after(Table::Targets, sequence);
    follower.apply(Millis(5_020), Millis(5_020), &told);
    assert_eq!(ids(&follower), ["b"]);
    // One that starts now takes it for listed until the reader is sure.
    let mut newcomer = Directory::new();
    newcomer.apply(
        Millis(5_030),
        Millis(5_030),
        &reader.changes_after(Table::Targets, 0),
    );
    assert_eq!(ids(&newcomer), ["a", "b"]);
    let sequence = reader.sequence();
    reader.apply_due_removals(Millis(60_000));
    let told = reader.changes_after(Table::Targets, sequence);
    newcomer.apply(Millis(60_010), Millis(60_010), &told);
    assert_eq!(ids(&newcomer), ["b"]);
}

/// Peers may tell late what was listed before the removal.
#[test]
fn an_old_word_does_not_end_the_doubt() {
    let mut directory = listed();
    directory.record_store_lost(Table::Targets);
    directory.record_store_regained(Millis(5_000), Table::Targets);
    let gone = batch(
        Table::Targets,
        false,
        7,
        vec![(7, Entry::NoTarget("a".into()))],
    );
    directory.apply(Millis(5_010), Millis(5_010), &gone);
    let old = batch(
        Table::Targets,
        false,
        7,
        vec![(1, Entry::Target(target("a", false)))],
    );
    directory.apply(Millis(5_020), Millis(5_020), &old);
    directory.apply_due_removals(Millis(60_000));
    assert_eq!(ids(&directory), ["b"]);
}

#[test]
fn a_removal_after_the_return_is_believed_at_once() {
    let mut directory = listed();
    directory.record_store_lost(Table::Targets);
    directory.record_store_regained(Millis(5_000), Table::Targets);
    let first = batch(Table::Targets, false, 9, Vec::new());
    directory.apply(Millis(5_001), Millis(5_001), &first);
    let removal = vec![(10, Entry::NoTarget("a".into()))];
    let now = Millis(5_500);
    directory.apply(now, now, &batch(Table::Targets, false, 10, removal));
    assert_eq!(ids(&directory), ["b"]);
}

#[test]
fn a_target_that_was_leaving_is_gone_at_once_after_an_outage() {
    let mut directory = listed();
    let leaving = vec![(3, Entry::Target(target("a", true)))];
    directory.apply(
        Millis(20),
        Millis(20),
        &batch(Table::Targets, false, 3, leaving),
    );
    directory.record_store_lost(Table::Targets);
    directory.record_store_regained(Millis(30), Table::Targets);
    let removal = vec![(4, Entry::NoTarget("a".into()))];
    directory.apply(
        Millis(31),
        Millis(31),
        &batch(Table::Targets, false, 4, removal),
    );
    assert_eq!(ids(&directory), ["b"]);
}

/// Crashed targets stay listed for a while, and others start at their addresses.
#[test]
fn a_target_at_the_address_of_another_takes_its_place() {
    let at = |id: &str| Target {
        address: "shared.test:1".into(),
        ..target(id, false)
    };
    let (old, new) = ((3, Entry::Target(at("old"))), (7, Entry::Target(at("new"))));
    for changes in [[old.clone(), new.clone()], [new.clone(), old.clone()]] {
        let mut directory = listed();
        let effect = directory.apply(
            Millis(20),
            Millis(20),
            &batch(Table::Targets, false, 7, changes.to_vec()),
        );
        assert_eq!(ids(&directory), ["a", "b", "new"]);
        assert!(effect.targets.contains(&"new".into()));
        // A word of the old one that is newer than the new one is believed.
        let back = vec![(8, Entry::Target(at("old")))];
        let again = batch(Table::Targets, false, 8, back);
        directory.apply(Millis(30), Millis(30), &again);
        assert_eq!(ids(&directory), ["a", "b", "old"]);
    }
}

#[test]
fn a_target_that_says_it_leaves_is_believed_until_a_new_life() {
    let mut directory = listed();
    assert!(directory.mark_draining(&target("a", false)));
    assert!(!directory.mark_draining(&target("a", false)));
    assert!(directory.target("a").unwrap().is_draining);
    let mut reborn = target("a", false);
    reborn.started_ms = Some(Millis(2));
    let changes = vec![(3, Entry::Target(reborn.clone()))];
    directory.apply(
        Millis(20),
        Millis(20),
        &batch(Table::Targets, false, 3, changes),
    );
    assert!(!directory.target("a").unwrap().is_draining);
    assert!(!directory.mark_draining(&target("a", false)));
}

#[test]
fn a_data_centre_that_is_not_named_is_in_service() {
    let mut directory = Directory::new();
    let out = |revision, is_out| {
        let name = "dc-a".into();
        vec![(revision, Entry::DataCentre { name, is_out })]
    };
    let apply = |directory: &mut Directory, is_whole, revision, changes| {
        let batch = batch(Table::Operator, is_whole, revision, changes);
        directory.apply(Millis(revision), Millis(revision), &batch)
    };
    apply(&mut directory, false, 3, out(3, true));
    assert!(directory.is_out("dc-a"));
    apply(&mut directory, false, 4, out(2, false));
    assert!(directory.is_out("dc-a"));
    apply(&mut directory, true, 8, vec![(1, configuration(1))]);
    assert!(!directory.is_out("dc-a"));
}

#[test]
fn a_peer_that_is_told_changes_ends_with_the_same() {
    let mut source = listed();
    let mut peer = Directory::new();
    let mut told = 0;
    let mut pass_on = |source: &Directory, peer: &mut Directory, now| {
        for table in [Table::Operator, Table::Targets] {
            peer.apply(now, now, &source.changes_after(table, told));
        }
        told = source.sequence();
    };
    pass_on(&source, &mut peer, Millis(11));
    let changes = vec![
        (4, Entry::NoTarget("a".into())),
        (5, Entry::Target(target("b", true))),
        (6, Entry::Target(target("c", false))),
    ];
    source.apply(
        Millis(20),
        Millis(20),
        &batch(Table::Targets, false, 6, changes),
    );
    let changes = vec![(7, configuration(3))];
    source.apply(
        Millis(21),
        Millis(21),
        &batch(Table::Operator, false, 7, changes),
    );
    pass_on(&source, &mut peer, Millis(22));
    assert_eq!(ids(&peer), ["b", "c"]);
    assert!(peer.target("b").unwrap().is_draining);
    assert_eq!(peer.configuration().unwrap().version, 3);
    assert_eq!(peer.revision(Table::Targets), 6);
}

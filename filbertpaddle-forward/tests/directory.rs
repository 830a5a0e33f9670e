//! Changes from the store and from peers, applied in any order.

use std::sync::Arc;

use filbertpaddle_core::clock::Millis;
use filbertpaddle_forward::change::Batch;
use filbertpaddle_forward::change::Change;
use filbertpaddle_forward::change::Entry;
use filbertpaddle_forward::change::Table;
use filbertpaddle_forward::configuration::Configuration;
use filbertpaddle_forward::directory::Directory;
use filbertpaddle_forward::revision::Revision;
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
        version: "v1".into(),
    }
}

fn batch(table: Table, is_whole: bool, revision: u64, changes: Vec<(u64, Entry)>) -> Batch {
    let changes = changes
        .into_iter()
        .map(|(revision, entry)| Change {
            revision: Revision::new(0, revision),
            entry,
        })
        .collect();
    Batch {
        table,
        is_whole,
        revision: Revision::new(0, revision),
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

/// Returns a directory that lists the targets `a` and `b` at revision 2.
fn directory_with_two_targets() -> Directory {
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
fn configuration_never_reverts_to_an_older_version() {
    let mut directory = Directory::new();
    for (revision, version) in [(5, 3), (9, 2), (4, 7), (10, 6)] {
        let changes = vec![(revision, configuration(version))];
        let now = Millis(revision);
        directory.apply(now, now, &batch(Table::Operator, false, revision, changes));
    }
    assert_eq!(directory.configuration().unwrap().version, 7);
    assert_eq!(directory.revision(Table::Operator).number, 10);
}

#[test]
fn entry_older_than_its_removal_is_ignored() {
    let mut directory = directory_with_two_targets();
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
fn targets_missing_from_a_whole_table_are_removed() {
    let mut directory = directory_with_two_targets();
    let changes = vec![(7, Entry::Target(target("c", false)))];
    let applied = directory.apply(
        Millis(20),
        Millis(20),
        &batch(Table::Targets, true, 7, changes),
    );
    assert_eq!(ids(&directory), ["c"]);
    assert_eq!(applied.targets.len(), 3);
}

#[test]
fn removals_after_an_outage_are_deferred() {
    let mut directory = directory_with_two_targets();
    directory.record_store_lost(Millis(25), Table::Targets);
    assert!(directory.is_store_lost());
    directory.record_store_regained(Millis(5_000), Table::Targets);
    let removal = vec![
        (8, Entry::NoTarget("a".into())),
        (9, Entry::NoTarget("b".into())),
    ];
    let now = Millis(5_001);
    directory.apply(now, now, &batch(Table::Targets, false, 9, removal));
    assert_eq!(ids(&directory), ["a", "b"]);
    // One of the two is alive and lists itself again.
    let back = vec![(11, Entry::Target(target("b", false)))];
    let now = Millis(6_500);
    directory.apply(now, now, &batch(Table::Targets, false, 11, back));
    directory.apply_due(Millis(7_499));
    assert_eq!(ids(&directory), ["a", "b"]);
    let applied = directory.apply_due(Millis(7_500));
    assert_eq!(ids(&directory), ["b"]);
    assert_eq!(applied.targets, ["a"]);
}

/// A reader that was cut off from the store defers removals. Its followers were not cut off,
/// and must apply the removals that it publishes at once.
#[test]
fn deferred_removal_is_applied_at_once_by_followers() {
    let mut reader = directory_with_two_targets();
    let mut follower = Directory::new();
    let published = reader.changes_after(Table::Targets, 0);
    follower.apply(Millis(10), Millis(10), &published);
    let sequence = reader.sequence();
    reader.record_store_lost(Millis(25), Table::Targets);
    reader.record_store_regained(Millis(5_000), Table::Targets);
    let gone = batch(
        Table::Targets,
        false,
        7,
        vec![(7, Entry::NoTarget("a".into()))],
    );
    reader.apply(Millis(5_010), Millis(5_010), &gone);
    assert_eq!(ids(&reader), ["a", "b"]);
    let published = reader.changes_after(Table::Targets, sequence);
    follower.apply(Millis(5_020), Millis(5_020), &published);
    assert_eq!(ids(&follower), ["b"]);
    // A follower that starts now lists the target until the reader applies the removal.
    let mut late_follower = Directory::new();
    late_follower.apply(
        Millis(5_030),
        Millis(5_030),
        &reader.changes_after(Table::Targets, 0),
    );
    assert_eq!(ids(&late_follower), ["a", "b"]);
    let sequence = reader.sequence();
    reader.apply_due(Millis(60_000));
    let published = reader.changes_after(Table::Targets, sequence);
    late_follower.apply(Millis(60_010), Millis(60_010), &published);
    assert_eq!(ids(&late_follower), ["b"]);
}

/// Peers may deliver an entry from before the removal late; it must not cancel the removal.
#[test]
fn outdated_entry_does_not_cancel_a_deferred_removal() {
    let mut directory = directory_with_two_targets();
    directory.record_store_lost(Millis(25), Table::Targets);
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
    directory.apply_due(Millis(60_000));
    assert_eq!(ids(&directory), ["b"]);
}

/// If a target stops 0.5 s after the store is reachable again, its removal must not be taken
/// for an expired entry and deferred: requests would be sent to it for 2.5 s, more than the
/// 2 s that the platform allows.
#[test]
fn removal_after_the_first_batch_takes_effect_at_once() {
    let mut directory = directory_with_two_targets();
    directory.record_store_lost(Millis(25), Table::Targets);
    directory.record_store_regained(Millis(5_000), Table::Targets);
    let first = batch(Table::Targets, false, 9, Vec::new());
    directory.apply(Millis(5_001), Millis(5_001), &first);
    let removal = vec![(10, Entry::NoTarget("a".into()))];
    let now = Millis(5_500);
    directory.apply(now, now, &batch(Table::Targets, false, 10, removal));
    assert_eq!(ids(&directory), ["b"]);
}

/// A node whose own path to the store is cut follows a peer that reads the store, so the
/// store is up, no entry of a live target has expired, and a removal that the node then reads
/// itself must not be deferred beyond the 2 s that the platform allows.
#[test]
fn removal_is_not_deferred_by_a_node_that_followed_a_peer_with_the_store_meanwhile() {
    let mut directory = directory_with_two_targets();
    directory.record_store_lost(Millis(1_000), Table::Targets);
    directory.record_current(Table::Targets, Millis(4_700));
    directory.record_store_regained(Millis(5_000), Table::Targets);
    let removal = vec![(8, Entry::NoTarget("a".into()))];
    let now = Millis(5_001);
    directory.apply(now, now, &batch(Table::Targets, false, 8, removal));
    assert_eq!(ids(&directory), ["b"]);
}

/// The peer has lost the store as well, and entries have expired since.
#[test]
fn removal_is_deferred_by_a_node_whose_peer_has_lost_the_store_too() {
    let mut directory = directory_with_two_targets();
    directory.record_store_lost(Millis(1_000), Table::Targets);
    directory.record_current(Table::Targets, Millis(2_000));
    directory.record_store_regained(Millis(5_000), Table::Targets);
    let removal = vec![(8, Entry::NoTarget("a".into()))];
    let now = Millis(5_001);
    directory.apply(now, now, &batch(Table::Targets, false, 8, removal));
    assert_eq!(ids(&directory), ["a", "b"]);
}

#[test]
fn removal_of_a_draining_target_is_not_deferred() {
    let mut directory = directory_with_two_targets();
    let leaving = vec![(3, Entry::Target(target("a", true)))];
    directory.apply(
        Millis(20),
        Millis(20),
        &batch(Table::Targets, false, 3, leaving),
    );
    directory.record_store_lost(Millis(25), Table::Targets);
    directory.record_store_regained(Millis(30), Table::Targets);
    let removal = vec![(4, Entry::NoTarget("a".into()))];
    directory.apply(
        Millis(31),
        Millis(31),
        &batch(Table::Targets, false, 4, removal),
    );
    assert_eq!(ids(&directory), ["b"]);
}

/// A crashed target stays listed until its entry expires, and another may have started at
/// its address by then.
#[test]
fn newer_target_replaces_an_older_one_at_its_address() {
    let at = |id: &str| Target {
        address: "shared.test:1".into(),
        ..target(id, false)
    };
    let (old, new) = ((3, Entry::Target(at("old"))), (7, Entry::Target(at("new"))));
    for changes in [[old.clone(), new.clone()], [new.clone(), old.clone()]] {
        let mut directory = directory_with_two_targets();
        let applied = directory.apply(
            Millis(20),
            Millis(20),
            &batch(Table::Targets, false, 7, changes.to_vec()),
        );
        assert_eq!(ids(&directory), ["a", "b", "new"]);
        assert!(applied.targets.contains(&"new".into()));
        // An entry of the old target that is newer than that of the new one replaces it.
        let back = vec![(8, Entry::Target(at("old")))];
        let again = batch(Table::Targets, false, 8, back);
        directory.apply(Millis(30), Millis(30), &again);
        assert_eq!(ids(&directory), ["a", "b", "old"]);
    }
}

#[test]
fn target_stays_marked_as_draining_until_it_restarts() {
    let mut directory = directory_with_two_targets();
    assert!(directory.mark_draining(&target("a", false).incarnation()));
    assert!(!directory.mark_draining(&target("a", false).incarnation()));
    assert!(directory.target("a").unwrap().is_draining);
    let mut restarted = target("a", false);
    restarted.started_ms = Some(Millis(2));
    let changes = vec![(3, Entry::Target(restarted.clone()))];
    directory.apply(
        Millis(20),
        Millis(20),
        &batch(Table::Targets, false, 3, changes),
    );
    assert!(!directory.target("a").unwrap().is_draining);
    assert!(!directory.mark_draining(&target("a", false).incarnation()));
}

/// A write that got no response may be performed seconds later.
#[test]
fn late_entry_of_an_older_incarnation_does_not_replace_the_newer_one() {
    let mut directory = directory_with_two_targets();
    let restarted = Target {
        cold_ms: Millis(9_000),
        started_ms: Some(Millis(2)),
        ..target("a", false)
    };
    let mut write = |at, revision, entry: &Target| {
        let changes = vec![(revision, Entry::Target(entry.clone()))];
        let written = batch(Table::Targets, false, revision, changes);
        directory.apply(Millis(at), Millis(at), &written);
        directory.target("a").cloned()
    };
    write(1_000, 3, &restarted);
    assert_eq!(write(4_000, 4, &target("a", true)), Some(restarted.clone()));
    let again = Target {
        cold_ms: Millis(5_000),
        ..restarted
    };
    assert_eq!(write(5_000, 5, &again), Some(again));
    // An incarnation that writes no more has ended, whatever the clocks of the hosts.
    let earlier = target("a", false);
    assert_eq!(write(8_700, 6, &earlier), Some(earlier));
}

#[test]
fn data_centre_missing_from_a_whole_table_is_in_service() {
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
fn peer_that_follows_changes_has_the_same_state() {
    let mut source = directory_with_two_targets();
    let mut peer = Directory::new();
    let mut published = 0;
    let mut publish = |source: &Directory, peer: &mut Directory, now| {
        for table in [Table::Operator, Table::Targets] {
            peer.apply(now, now, &source.changes_after(table, published));
        }
        published = source.sequence();
    };
    publish(&source, &mut peer, Millis(11));
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
    publish(&source, &mut peer, Millis(22));
    assert_eq!(ids(&peer), ["b", "c"]);
    assert!(peer.target("b").unwrap().is_draining);
    assert_eq!(peer.configuration().unwrap().version, 3);
    assert_eq!(peer.revision(Table::Targets).number, 6);
}

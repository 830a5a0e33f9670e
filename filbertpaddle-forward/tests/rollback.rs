//! The store comes back from an older copy: changes are lost, and revisions are assigned
//! again. What was in force stays in force until it is written again.

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

const REWRITE_MS: Millis = Millis(4_800);
/// Time at which the store is rolled back.
const ROLLBACK_MS: Millis = Millis(10_000);
/// Time at which entries that were not written again count as gone.
const REWRITTEN_MS: Millis = Millis(14_800);

fn target(id: &str) -> Target {
    Target {
        id: id.into(),
        service: "engine".into(),
        address: format!("{id}.test:1").into(),
        data_centre: "dc-a".into(),
        slots: 4,
        is_draining: false,
        cold_ms: Millis::ZERO,
        started_ms: Some(Millis(100)),
        version: "v1".into(),
    }
}

fn draining(id: &str) -> Target {
    Target {
        is_draining: true,
        ..target(id)
    }
}

fn out(name: &str, is_out: bool) -> Entry {
    Entry::DataCentre {
        name: name.into(),
        is_out,
    }
}

fn configuration(version: u64) -> Entry {
    Entry::Configuration(Arc::new(Configuration {
        version,
        ..Configuration::default()
    }))
}

/// Returns a batch whose changes have consecutive revisions that end at `revision`.
fn batch(table: Table, is_whole: bool, revision: Revision, entries: Vec<Entry>) -> Batch {
    let first = revision.number + 1 - entries.len() as u64;
    let changes = (first..).zip(entries).map(|(number, entry)| Change {
        revision: Revision::new(revision.era, number),
        entry,
    });
    Batch {
        table,
        is_whole,
        revision,
        changes: changes.collect(),
    }
}

fn apply(directory: &mut Directory, now: Millis, batch: &Batch) {
    directory.record_era(now, batch.revision.era, REWRITE_MS);
    directory.apply(now, now, batch);
}

/// Reads a whole table.
fn read(directory: &mut Directory, now: Millis, table: Table, era: u64, entries: Vec<Entry>) {
    let revision = Revision::new(era, 50);
    apply(directory, now, &batch(table, true, revision, entries));
}

/// Receives changes of a table.
fn change(
    directory: &mut Directory,
    now: Millis,
    table: Table,
    revision: Revision,
    entries: Vec<Entry>,
) {
    apply(directory, now, &batch(table, false, revision, entries));
}

fn ids(directory: &Directory) -> Vec<&str> {
    let mut ids: Vec<_> = directory
        .targets()
        .map(|(target, _)| target.id.as_str())
        .collect();
    ids.sort_unstable();
    ids
}

/// Returns a directory with configuration 1 and the targets `a` and `b`, in era 0.
fn directory() -> Directory {
    let mut directory = Directory::new();
    let now = Millis(10);
    read(
        &mut directory,
        now,
        Table::Operator,
        0,
        vec![configuration(1)],
    );
    let targets = vec![Entry::Target(target("a")), Entry::Target(target("b"))];
    read(&mut directory, now, Table::Targets, 0, targets);
    directory
}

#[test]
fn the_configuration_does_not_revert() {
    let mut directory = directory();
    let revision = Revision::new(0, 60);
    let now = Millis(5_000);
    change(
        &mut directory,
        now,
        Table::Operator,
        revision,
        vec![configuration(4)],
    );
    read(
        &mut directory,
        ROLLBACK_MS,
        Table::Operator,
        1,
        vec![configuration(1)],
    );
    assert_eq!(directory.configuration().unwrap().version, 4);
    directory.apply_due(REWRITTEN_MS);
    assert_eq!(directory.configuration().unwrap().version, 4);
    let revision = Revision::new(1, 51);
    change(
        &mut directory,
        REWRITTEN_MS,
        Table::Operator,
        revision,
        vec![configuration(5)],
    );
    assert_eq!(directory.configuration().unwrap().version, 5);
}

#[test]
fn a_data_centre_stays_out_until_its_order_could_be_given_again() {
    for is_given_again in [false, true] {
        let mut directory = directory();
        let revision = Revision::new(0, 60);
        change(
            &mut directory,
            Millis(5_000),
            Table::Operator,
            revision,
            vec![out("dc-a", true)],
        );
        read(
            &mut directory,
            ROLLBACK_MS,
            Table::Operator,
            1,
            vec![configuration(1)],
        );
        assert!(directory.is_out("dc-a"));
        if is_given_again {
            let now = ROLLBACK_MS + Millis(3_000);
            let revision = Revision::new(1, 51);
            change(
                &mut directory,
                now,
                Table::Operator,
                revision,
                vec![out("dc-a", true)],
            );
        }
        directory.apply_due(REWRITTEN_MS.since(Millis(1)));
        assert!(directory.is_out("dc-a"));
        directory.apply_due(REWRITTEN_MS);
        assert_eq!(directory.is_out("dc-a"), is_given_again);
    }
}

#[test]
fn a_data_centre_returns_at_once_when_the_operator_ends_its_order() {
    let mut directory = directory();
    let revision = Revision::new(0, 60);
    change(
        &mut directory,
        Millis(5_000),
        Table::Operator,
        revision,
        vec![out("dc-a", true)],
    );
    let copy = vec![configuration(1), out("dc-a", true)];
    read(&mut directory, ROLLBACK_MS, Table::Operator, 1, copy);
    let revision = Revision::new(1, 51);
    change(
        &mut directory,
        ROLLBACK_MS,
        Table::Operator,
        revision,
        vec![out("dc-a", false)],
    );
    assert!(!directory.is_out("dc-a"));
}

#[test]
fn targets_that_the_copy_lacks_stay_listed_until_they_could_list_themselves_again() {
    let mut directory = directory();
    let revision = Revision::new(0, 61);
    let new = vec![Entry::Target(target("c")), Entry::Target(target("d"))];
    change(&mut directory, Millis(5_000), Table::Targets, revision, new);
    let copy = vec![Entry::Target(target("a")), Entry::Target(target("b"))];
    read(&mut directory, ROLLBACK_MS, Table::Targets, 1, copy);
    assert_eq!(ids(&directory), ["a", "b", "c", "d"]);
    let revision = Revision::new(1, 51);
    let now = ROLLBACK_MS + Millis(1_000);
    change(
        &mut directory,
        now,
        Table::Targets,
        revision,
        vec![Entry::Target(target("c"))],
    );
    directory.apply_due(REWRITTEN_MS);
    assert_eq!(ids(&directory), ["a", "b", "c"]);
}

#[test]
fn a_draining_target_that_the_copy_lists_as_ready_gets_nothing() {
    let mut directory = directory();
    let revision = Revision::new(0, 60);
    let leaving = vec![Entry::Target(draining("a"))];
    change(
        &mut directory,
        Millis(9_000),
        Table::Targets,
        revision,
        leaving,
    );
    let copy = vec![Entry::Target(target("a")), Entry::Target(target("b"))];
    read(&mut directory, ROLLBACK_MS, Table::Targets, 1, copy);
    directory.apply_due(REWRITTEN_MS);
    assert!(directory.target("a").unwrap().is_draining);
    assert!(!directory.target("b").unwrap().is_draining);
}

#[test]
fn a_target_that_has_gone_is_listed_again_only_if_it_lives() {
    for is_alive in [false, true] {
        let mut directory = directory();
        let revision = Revision::new(0, 60);
        let gone = vec![Entry::NoTarget("a".into())];
        change(
            &mut directory,
            Millis(9_000),
            Table::Targets,
            revision,
            gone,
        );
        let copy = vec![Entry::Target(target("a")), Entry::Target(target("b"))];
        read(&mut directory, ROLLBACK_MS, Table::Targets, 1, copy);
        assert_eq!(ids(&directory), ["b"]);
        let now = ROLLBACK_MS + Millis(3_600);
        let revision = Revision::new(1, 51);
        // The platform removes the entry of a target that does not write it again.
        let entry = match is_alive {
            true => Entry::Target(target("a")),
            false => Entry::NoTarget("a".into()),
        };
        change(&mut directory, now, Table::Targets, revision, vec![entry]);
        assert_eq!(directory.target("a").is_some(), is_alive);
        directory.apply_due(REWRITTEN_MS);
        assert_eq!(directory.target("a").is_some(), is_alive);
    }
}

#[test]
fn a_restarted_target_is_not_replaced_by_its_former_incarnation() {
    let mut directory = directory();
    let restarted = Target {
        started_ms: Some(Millis(8_000)),
        cold_ms: Millis(4_000),
        ..target("a")
    };
    let revision = Revision::new(0, 60);
    let entries = vec![Entry::Target(restarted.clone())];
    change(
        &mut directory,
        Millis(9_000),
        Table::Targets,
        revision,
        entries,
    );
    let copy = vec![Entry::Target(target("a")), Entry::Target(target("b"))];
    read(&mut directory, ROLLBACK_MS, Table::Targets, 1, copy);
    assert_eq!(directory.target("a"), Some(&restarted));
}

#[test]
fn a_target_that_became_cold_after_the_copy_stays_cold() {
    let mut directory = directory();
    let cold = Target {
        cold_ms: Millis(4_000),
        ..target("a")
    };
    let revision = Revision::new(0, 60);
    change(
        &mut directory,
        Millis(9_000),
        Table::Targets,
        revision,
        vec![Entry::Target(cold)],
    );
    let copy = vec![Entry::Target(target("a")), Entry::Target(target("b"))];
    read(&mut directory, ROLLBACK_MS, Table::Targets, 1, copy);
    assert_eq!(directory.target("a").unwrap().cold_ms, Millis(3_000));
}

#[test]
fn changes_of_an_earlier_era_are_ignored() {
    let mut directory = directory();
    let copy = vec![Entry::Target(target("a")), Entry::Target(target("b"))];
    read(&mut directory, ROLLBACK_MS, Table::Targets, 1, copy);
    // A peer that has not read the store since sends a later revision of the former era.
    let revision = Revision::new(0, 99);
    let late = batch(
        Table::Targets,
        true,
        revision,
        vec![Entry::Target(target("z"))],
    );
    let applied = directory.apply(REWRITTEN_MS, REWRITTEN_MS, &late);
    assert!(applied.is_empty());
    assert_eq!(ids(&directory), ["a", "b"]);
}

#[test]
fn revisions_of_the_new_era_count_although_their_numbers_are_lower() {
    let mut directory = directory();
    let revision = Revision::new(0, 90);
    change(
        &mut directory,
        Millis(9_000),
        Table::Targets,
        revision,
        vec![Entry::Target(target("b"))],
    );
    let revision = Revision::new(1, 51);
    change(
        &mut directory,
        ROLLBACK_MS,
        Table::Targets,
        revision,
        vec![Entry::Target(draining("b"))],
    );
    assert!(directory.target("b").unwrap().is_draining);
}

#[test]
fn a_second_rollback_holds_what_is_known_again() {
    let mut directory = directory();
    let revision = Revision::new(0, 60);
    change(
        &mut directory,
        Millis(5_000),
        Table::Operator,
        revision,
        vec![out("dc-a", true)],
    );
    read(
        &mut directory,
        ROLLBACK_MS,
        Table::Operator,
        1,
        vec![configuration(1)],
    );
    let second = ROLLBACK_MS + Millis(4_000);
    read(
        &mut directory,
        second,
        Table::Operator,
        2,
        vec![configuration(1)],
    );
    directory.apply_due(REWRITTEN_MS);
    assert!(directory.is_out("dc-a"));
    directory.apply_due(second + REWRITE_MS);
    assert!(!directory.is_out("dc-a"));
}

#[test]
fn a_follower_holds_what_its_reader_holds() {
    let mut reader = directory();
    let mut follower = Directory::new();
    for table in [Table::Operator, Table::Targets] {
        apply(&mut follower, Millis(11), &reader.changes_after(table, 0));
    }
    let sequence = reader.sequence();
    let copy = vec![Entry::Target(target("a"))];
    read(&mut reader, ROLLBACK_MS, Table::Targets, 1, copy);
    apply(
        &mut follower,
        ROLLBACK_MS,
        &reader.changes_after(Table::Targets, sequence),
    );
    assert_eq!(ids(&follower), ["a", "b"]);
    reader.apply_due(REWRITTEN_MS);
    follower.apply_due(REWRITTEN_MS);
    assert_eq!((ids(&reader), ids(&follower)), (vec!["a"], vec!["a"]));
}

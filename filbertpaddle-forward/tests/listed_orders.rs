//! Orders of roll-outs in the directory: late batches, withdrawals and rollbacks of the store.

use filbertpaddle_core::clock::Millis;
use filbertpaddle_forward::change::Batch;
use filbertpaddle_forward::change::Change;
use filbertpaddle_forward::change::Entry;
use filbertpaddle_forward::change::Table;
use filbertpaddle_forward::configuration::Configuration;
use filbertpaddle_forward::directory::Directory;
use filbertpaddle_forward::revision::Revision;
use filbertpaddle_forward::rollout_record::RolloutOrder;

const REWRITE_MS: Millis = Millis(5_000);

fn order(version: &str) -> Entry {
    Entry::Rollout(RolloutOrder {
        service: "app".into(),
        version: version.into(),
        duration_ms: Millis(12_000),
    })
}

/// Applies entries of the operators' table that changed at revision `number`; returns the
/// services whose orders changed.
fn apply(
    directory: &mut Directory,
    now: Millis,
    (era, number): (u64, u64),
    is_whole: bool,
    entries: Vec<Entry>,
) -> Vec<String> {
    let revision = Revision::new(era, number);
    let changes = entries.into_iter();
    let batch = Batch {
        table: Table::Operator,
        is_whole,
        revision,
        changes: changes.map(|entry| Change { revision, entry }).collect(),
    };
    let applied = directory.apply(now, now, &batch);
    applied.rollouts.iter().map(ToString::to_string).collect()
}

/// Returns the version and the revision of each order in force.
fn versions(directory: &Directory) -> Vec<(String, u64)> {
    let orders = directory.orders().iter();
    orders
        .map(|(order, revision)| (order.version.to_string(), revision.number))
        .collect()
}

#[test]
fn the_latest_order_is_in_force_until_it_is_withdrawn() {
    let mut directory = Directory::new();
    let now = Millis(1);
    assert_eq!(
        apply(&mut directory, now, (0, 5), false, vec![order("v2")]),
        ["app"]
    );
    // An older batch that arrives late.
    assert!(apply(&mut directory, now, (0, 4), false, vec![order("v1")]).is_empty());
    assert_eq!(versions(&directory), [("v2".to_owned(), 5)]);
    apply(&mut directory, now, (0, 6), false, vec![order("v3")]);
    assert_eq!(versions(&directory), [("v3".to_owned(), 6)]);
    let withdrawal = vec![Entry::NoRollout("app".into())];
    assert_eq!(
        apply(&mut directory, now, (0, 7), false, withdrawal),
        ["app"]
    );
    assert!(versions(&directory).is_empty());
}

#[test]
fn an_order_that_a_whole_table_lacks_is_withdrawn() {
    let mut directory = Directory::new();
    apply(&mut directory, Millis(1), (0, 5), false, vec![order("v2")]);
    assert_eq!(
        apply(&mut directory, Millis(2), (0, 6), true, Vec::new()),
        ["app"]
    );
    assert!(versions(&directory).is_empty());
}

/// Another writer has replaced the order by bytes that are none.
#[test]
fn an_order_that_cannot_be_decoded_leaves_the_former_in_force() {
    let mut directory = Directory::new();
    apply(&mut directory, Millis(1), (0, 5), false, vec![order("v2")]);
    for is_whole in [false, true] {
        let invalid = vec![Entry::InvalidRollout("app".into())];
        assert!(apply(&mut directory, Millis(2), (0, 6), is_whole, invalid).is_empty());
        assert_eq!(versions(&directory), [("v2".to_owned(), 5)]);
    }
}

#[test]
fn followers_get_orders_and_withdrawals_in_both_sequences() {
    let mut reader = Directory::new();
    let mut follower = Directory::new();
    let now = Millis(1);
    apply(&mut reader, now, (0, 5), false, vec![order("v2")]);
    follower.apply(now, now, &reader.changes_after(Table::Operator, 0));
    assert_eq!(versions(&follower), [("v2".to_owned(), 5)]);
    let sequence = reader.sequence();
    apply(&mut reader, now, (0, 6), true, Vec::new());
    follower.apply(now, now, &reader.changes_after(Table::Operator, sequence));
    assert!(versions(&follower).is_empty());
}

/// The store comes back from a copy that lacks the order, which the operator gives again or not.
#[test]
fn an_order_that_a_rolled_back_store_lacks_stays_in_force_for_a_while() {
    for is_given_again in [true, false] {
        let mut directory = Directory::new();
        let configuration = Configuration {
            version: 1,
            ..Configuration::default()
        };
        let entries = vec![Entry::Configuration(configuration.into()), order("v2")];
        apply(&mut directory, Millis(1), (0, 5), true, entries);
        directory.apply(Millis(1), Millis(1), &whole_targets());
        assert!(directory.record_era(Millis(100), 1, REWRITE_MS));
        assert!(apply(&mut directory, Millis(100), (1, 3), true, Vec::new()).is_empty());
        assert_eq!(versions(&directory), [("v2".to_owned(), 5)]);
        if is_given_again {
            apply(
                &mut directory,
                Millis(200),
                (1, 4),
                false,
                vec![order("v2")],
            );
        }
        directory.apply_due(Millis(100) + REWRITE_MS);
        assert_eq!(!versions(&directory).is_empty(), is_given_again);
    }
}

fn whole_targets() -> Batch {
    Batch {
        table: Table::Targets,
        is_whole: true,
        revision: Revision::new(0, 5),
        changes: Vec::new(),
    }
}

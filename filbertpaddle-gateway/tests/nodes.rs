//! The list of nodes: which read the store for the others, and which list counts.

use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::name::Name;
use filbertpaddle_gateway::nodes::Node;
use filbertpaddle_gateway::nodes::Nodes;
use filbertpaddle_gateway::platform_api::NodeList;

fn node(name: &str) -> Node {
    Node {
        name: name.into(),
        data_centre: "dc-a".into(),
        peers: ([127, 0, 0, 1], 7_000).into(),
        cores: 0.25,
        written_ms: Millis(1_000),
    }
}

fn list(names: &[&str], era: u64, store_ms: u64) -> NodeList {
    NodeList {
        nodes: names.iter().map(|name| node(name)).collect(),
        store_ms: Millis(store_ms),
        era,
    }
}

fn names(nodes: &Nodes) -> Vec<&str> {
    let mut names: Vec<_> = nodes.live().iter().map(|node| node.name.as_str()).collect();
    names.sort_unstable();
    names
}

fn reader(nodes: &Nodes, now: Millis) -> Option<Name> {
    let readers = nodes.readers(now, &"dc-a".into());
    readers.first().map(|node| node.name.clone())
}

/// Guards against nodes that each take themselves for the reader: a list that a peer read
/// when only it had started replaced a complete one, and for half a minute the node neither
/// followed its reader nor received the load of others.
#[test]
fn an_older_list_of_a_peer_does_not_replace_a_later_one() {
    let mut nodes = Nodes::new();
    nodes.update(Millis(10), list(&["a", "b", "c"], 0, 5_000));
    nodes.update(Millis(20), list(&["b"], 0, 4_000));
    assert_eq!(names(&nodes), ["a", "b", "c"]);
    nodes.update(Millis(30), list(&["b", "c"], 0, 6_000));
    assert_eq!(names(&nodes), ["b", "c"]);
}

#[test]
fn nodes_with_the_same_list_have_the_same_fingerprint() {
    let (mut one, mut other) = (Nodes::new(), Nodes::new());
    one.update(Millis(10), list(&["a", "b", "c"], 0, 5_000));
    other.update(Millis(70), list(&["c", "a", "b"], 0, 5_400));
    assert_eq!(one.fingerprint(), other.fingerprint());
    other.update(Millis(80), list(&["c", "a"], 0, 5_500));
    assert_ne!(one.fingerprint(), other.fingerprint());
}

#[test]
fn an_excluded_reader_is_replaced_until_it_responds_again() {
    let mut nodes = Nodes::new();
    nodes.update(Millis(10), list(&["a", "b", "c"], 0, 5_000));
    let first = reader(&nodes, Millis(10)).unwrap();
    nodes.mark_unresponsive(Millis(10), &first);
    let second = reader(&nodes, Millis(11));
    assert!(second.is_some() && second.as_ref() != Some(&first));
    let excluded = nodes.excluded_readers(Millis(11), &"dc-a".into());
    assert_eq!(excluded.len(), 1);
    assert_eq!(excluded[0].name, first);
    nodes.mark_responsive(&first);
    assert_eq!(reader(&nodes, Millis(12)), Some(first));
    assert!(
        nodes
            .excluded_readers(Millis(12), &"dc-a".into())
            .is_empty()
    );
}

/// Fewer known nodes would each take a larger share of the limits that all share.
#[test]
fn nodes_count_as_live_until_they_have_written_their_entries_after_a_rollback() {
    let mut nodes = Nodes::new();
    nodes.update(Millis(10), list(&["a", "b", "c"], 0, 9_000));
    // The copy lacks all entries but one, and the store's clock went back with it.
    nodes.update(Millis(20_000), list(&["a"], 1, 7_000));
    assert_eq!(names(&nodes), ["a", "b", "c"]);
    nodes.update(Millis(22_000), list(&["a", "b"], 1, 9_000));
    assert_eq!(names(&nodes), ["a", "b", "c"]);
    nodes.update(Millis(26_000), list(&["a", "b"], 1, 13_000));
    assert_eq!(names(&nodes), ["a", "b"]);
}

/// A node that starts and ranks first takes over from a reader that does not know of it yet.
#[test]
fn the_reader_that_a_new_one_replaces_is_its_standby() {
    let mut nodes = Nodes::new();
    nodes.update(Millis(10), list(&["a", "b", "c"], 0, 5_000));
    let former = reader(&nodes, Millis(10)).unwrap();
    // Of many names, one ranks before the reader.
    let new = (0..100).map(|number| format!("new-{number}")).find(|name| {
        nodes.update(Millis(20), list(&["a", "b", "c", name], 0, 5_000));
        reader(&nodes, Millis(20)).as_deref() == Some(name)
    });
    assert!(new.is_some());
    let linked = nodes.readers_and_standby(Millis(20), &"dc-a".into());
    assert_eq!(linked.len(), 2);
    assert_eq!(linked[1].name, former);
}

#[test]
fn a_node_with_old_data_is_passed_over_for_a_moment() {
    let mut nodes = Nodes::new();
    nodes.update(Millis(10), list(&["a"], 0, 5_000));
    nodes.mark_outdated(Millis(10), &"a".into());
    assert!(nodes.is_unresponsive(Millis(500), &"a".into()));
    assert!(!nodes.is_unresponsive(Millis(1_100), &"a".into()));
}

/// A node that counts as live for ever would take a share of every limit.
#[test]
fn an_entry_far_ahead_of_the_stores_clock_names_no_node_and_is_removed() {
    let mut odd = list(&["a", "b", "odd"], 0, 5_000);
    odd.nodes[2].written_ms = Millis(u64::MAX);
    // A rollback has set the store's clock back by an hour.
    odd.nodes[1].written_ms = Millis(3_600_000);
    let mut nodes = Nodes::new();
    let dropped = nodes.update(Millis(10), odd);
    assert_eq!(names(&nodes), ["a", "b"]);
    assert_eq!(dropped, ["odd"]);
}

/// At its new address, the store may have another clock and another list of nodes.
#[test]
fn a_list_from_a_new_address_of_the_store_counts_though_its_clock_is_behind() {
    let mut nodes = Nodes::new();
    nodes.update(Millis(10), list(&["a", "b"], 0, 50_000));
    nodes.record_store_moved(Millis(20));
    nodes.update(Millis(600), list(&["a"], 0, 1_000));
    // The others write their entries as they reread their settings.
    assert_eq!(names(&nodes), ["a", "b"]);
    assert_eq!(nodes.store_ms(Millis(700)), Millis(1_100));
    nodes.update(Millis(30_000), list(&["a", "c"], 0, 30_400));
    assert_eq!(names(&nodes), ["a", "c"]);
    nodes.update(Millis(30_100), list(&["b"], 0, 1_500));
    assert_eq!(names(&nodes), ["a", "c"]);
}

/// Entries that came along look old by a clock that is ahead.
#[test]
fn no_entries_are_removed_while_nodes_go_to_a_new_address_of_the_store() {
    let mut nodes = Nodes::new();
    nodes.update(Millis(10), list(&["a", "b"], 0, 5_000));
    nodes.record_store_moved(Millis(20));
    assert!(
        nodes
            .update(Millis(600), list(&["a", "b"], 0, 900_000))
            .is_empty()
    );
    assert_eq!(names(&nodes), ["a", "b"]);
    assert_eq!(
        nodes.update(Millis(30_000), list(&["b"], 0, 930_000)),
        ["b"]
    );
}

/// Guards against shares of limits that are too large: while the store is unavailable no node can
/// renew its entry, and the first that reads the list again finds few that are not stale.
#[test]
fn nodes_count_as_live_until_they_have_written_their_entries_after_an_outage() {
    let mut nodes = Nodes::new();
    nodes.update(Millis(10), list(&["a", "b", "c"], 0, 20_000));
    let back_ms = 20_000 + 70_000;
    let mut first = list(&["a", "b", "c"], 0, back_ms);
    first.nodes[0].written_ms = Millis(back_ms);
    nodes.update(Millis(70_010), first.clone());
    assert_eq!(names(&nodes), ["a", "b", "c"]);
    // One of them has ended meanwhile.
    first.store_ms = Millis(back_ms + 6_000);
    first.nodes[1].written_ms = Millis(back_ms + 2_000);
    nodes.update(Millis(76_010), first);
    assert_eq!(names(&nodes), ["a", "b"]);
}

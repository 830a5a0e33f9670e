//! A committer joins the change sets of several nodes into shared transactions.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use filbertpaddle_core::claim::Id;
use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::commit;
use filbertpaddle_core::commit::Action;
use filbertpaddle_core::commit::ChangeSet;
use filbertpaddle_core::commit::Committer;
use filbertpaddle_core::commit::Event;
use filbertpaddle_core::commit::Settings;
use filbertpaddle_core::group_commit::Change;
use filbertpaddle_core::group_commit::TransactionResult;
use filbertpaddle_core::name::Name;

fn id(key: u32) -> Id {
    Id {
        customer: "customer".into(),
        key: key.to_string().into(),
    }
}

fn submit(from: &str, keys: &[u32]) -> Event {
    let change = |key: &u32| Change {
        attempt: "attempt".into(),
        id: id(*key),
        expected: None,
        record: None,
        tries: 1,
    };
    Event::Submit(ChangeSet {
        from: from.into(),
        sequence: 1,
        changes: keys.iter().map(change).collect(),
    })
}

fn keys(actions: &[Action]) -> Vec<String> {
    let changes = actions.iter().find_map(|action| match action {
        Action::Transact(changes) => Some(changes),
        Action::Reply { .. } => None,
    });
    let changes = changes.into_iter().flatten();
    changes.map(|change| change.id.key.to_string()).collect()
}

fn replies(actions: &[Action]) -> Vec<(&str, &TransactionResult)> {
    actions
        .iter()
        .filter_map(|action| match action {
            Action::Reply { to, result, .. } => Some((to.as_str(), result)),
            Action::Transact(_) => None,
        })
        .collect()
}

fn committer_in_flight() -> Committer {
    let mut committer = Committer::new(Settings::default());
    assert_eq!(keys(&committer.on(Millis(0), submit("a", &[1]))), ["1"]);
    committer
}

#[test]
fn change_sets_of_several_nodes_share_a_transaction() {
    let mut committer = committer_in_flight();
    committer.on(Millis(1), submit("b", &[2, 3]));
    committer.on(Millis(2), submit("c", &[4]));
    let committed = TransactionResult::Committed { revision: 1 };
    let actions = committer.on(Millis(30), Event::TransactionDone(committed.clone()));
    assert_eq!(replies(&actions), [("a", &committed)]);
    assert_eq!(keys(&actions), ["2", "3", "4"]);
}

#[test]
fn conflict_of_one_node_does_not_affect_the_others() {
    let mut committer = committer_in_flight();
    committer.on(Millis(1), submit("b", &[2, 3]));
    committer.on(Millis(2), submit("c", &[4]));
    committer.on(
        Millis(30),
        Event::TransactionDone(TransactionResult::Committed { revision: 1 }),
    );
    let rows = BTreeMap::from([(id(3), None)]);
    let conflict = TransactionResult::Conflict { rows };
    let actions = committer.on(Millis(60), Event::TransactionDone(conflict.clone()));
    assert_eq!(replies(&actions), [("b", &conflict)]);
    assert_eq!(keys(&actions), ["4"]);
}

#[test]
fn changes_of_one_row_go_into_separate_transactions() {
    let mut committer = committer_in_flight();
    committer.on(Millis(1), submit("b", &[2]));
    committer.on(Millis(2), submit("c", &[2]));
    let committed = Event::TransactionDone(TransactionResult::Committed { revision: 1 });
    let actions = committer.on(Millis(30), committed.clone());
    assert_eq!(keys(&actions), ["2"]);
    assert_eq!(keys(&committer.on(Millis(60), committed)), ["2"]);
}

#[test]
fn unknown_and_not_done_reach_every_node_in_flight() {
    for result in [TransactionResult::Unknown, TransactionResult::NotDone] {
        let mut committer = committer_in_flight();
        let actions = committer.on(Millis(1), Event::TransactionDone(result.clone()));
        assert_eq!(replies(&actions), [("a", &result)]);
    }
}

#[test]
fn full_queue_and_long_wait_are_reported_as_not_done() {
    let mut committer = Committer::new(Settings {
        max_queue: 1,
        ..Settings::default()
    });
    committer.on(Millis(0), submit("a", &[1]));
    committer.on(Millis(1), submit("b", &[2]));
    let actions = committer.on(Millis(2), submit("c", &[3]));
    assert_eq!(replies(&actions), [("c", &TransactionResult::NotDone)]);
    let actions = committer.on(Millis(5_000), Event::Tick);
    assert_eq!(replies(&actions), [("b", &TransactionResult::NotDone)]);
}

#[test]
fn few_committers_serve_all_nodes_of_a_data_centre() {
    let nodes: Vec<Name> = (0..62).map(|n| format!("entry-{n}").into()).collect();
    let chosen: BTreeSet<Name> = nodes
        .iter()
        .map(|own| commit::choose(own, &nodes, 16))
        .collect();
    assert_eq!(chosen.len(), 4);
    let own = commit::choose(&nodes[5], &nodes, 1);
    assert_eq!(own, nodes[5]);
    let one: BTreeSet<Name> = nodes[..3]
        .iter()
        .map(|own| commit::choose(own, &nodes[..3], 16))
        .collect();
    assert_eq!(one.len(), 1);
}

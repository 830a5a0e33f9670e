//! Exhaustive state-space checks of edits and replicas against a model of the table.
//!
//! Guards against a change that takes effect twice or is reported wrongly after
//! lost, delayed or refused answers, and against replicas that move back to an
//! older revision or claim to be more recent than they are.

use std::collections::BTreeSet;
use std::fmt::Debug;
use std::hash::Hash;

use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::config::Change;
use filbertpaddle_core::config::ChangeId;
use filbertpaddle_core::config::Key;
use filbertpaddle_core::config::Record;
use filbertpaddle_core::config::ServiceState;
use filbertpaddle_core::config::Setting;
use filbertpaddle_core::edit::Action;
use filbertpaddle_core::edit::Answer;
use filbertpaddle_core::edit::Commit;
use filbertpaddle_core::edit::Edit;
use filbertpaddle_core::edit::Event;
use filbertpaddle_core::edit::Request;
use filbertpaddle_core::edit::Row;
use filbertpaddle_core::edit::Snapshot;
use filbertpaddle_core::replica::Page;
use filbertpaddle_core::replica::Replica;
use filbertpaddle_core::replica::TransferProgress;
use filbertpaddle_core::revision::Revision;
use pathfinding::prelude::bfs;
use pathfinding::prelude::dijkstra_reach;

/// Model of the platform's table: holds the audit rows and derives the other rows.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Table {
    log: Vec<Record>,
}

impl Table {
    fn head(&self) -> Revision {
        Revision(self.log.len() as u64)
    }

    fn entry(&self, key: &Key) -> Option<&Change> {
        let mut changes = self.log.iter().rev().map(|record| &record.change);
        changes.find(|change| change.setting.key() == *key)
    }

    fn read(&self, key: &Key, audit: Option<Revision>) -> Snapshot {
        let head = self.head();
        let row = |revision: Revision| self.log.get(revision.0 as usize - 1);
        Snapshot {
            head: (head > Revision::ZERO).then_some(Row {
                value: head,
                version: head.0,
            }),
            entry: self.entry(key).map(|change| Row {
                value: change.clone(),
                version: change.revision.0,
            }),
            audit: audit.and_then(row).map(|record| record.change.id),
        }
    }

    /// Runs a transaction; the entry's condition applies only if `checked`.
    fn transact(&mut self, commit: &Commit, checked: bool) -> bool {
        let head = (self.head() > Revision::ZERO).then_some(self.head().0);
        let key = commit.record.change.setting.key();
        let entry = self.entry(&key).map(|change| change.revision.0);
        if commit.head != head || (checked && commit.entry != entry) {
            return false;
        }
        self.log.push(commit.record.clone());
        true
    }
}

fn setting(name: &str, service: ServiceState) -> Setting {
    Setting::Vm {
        name: name.into(),
        service,
    }
}

fn key(name: &str) -> Key {
    Key::Vm(name.into())
}

/// Visits every reachable state; returns the number of states and the maximum depth.
fn explore<S, F, V>(start: S, successors: F, violation: V) -> (usize, usize)
where
    S: Clone + Hash + Eq + Debug,
    F: Fn(&S) -> Vec<S>,
    V: Fn(&S) -> Option<&'static str>,
{
    let unit = |state: &S| successors(state).into_iter().map(|next| (next, 1));
    let mut states = 0;
    let mut depth = 0;
    for item in dijkstra_reach(&start, |state| unit(state).collect::<Vec<_>>()) {
        states += 1;
        depth = depth.max(item.total_cost);
        if let Some(violation) = violation(&item.node) {
            panic!(
                "{violation}, at depth {}: {:#?}",
                item.total_cost, item.node
            );
        }
    }
    (states, depth)
}

/// Change that one operator requests.
#[derive(Clone, Copy, Debug)]
struct EditSpec {
    name: &'static str,
    expected: Option<Revision>,
    service: ServiceState,
}

/// Creates a new entry.
const fn create(name: &'static str) -> EditSpec {
    EditSpec {
        name,
        expected: None,
        service: ServiceState::Out,
    }
}

/// Reverts the change at revision 1.
const fn revert(name: &'static str) -> EditSpec {
    EditSpec {
        name,
        expected: Some(Revision(1)),
        service: ServiceState::In,
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    Act(Action),
    RowsReady(Snapshot),
    /// Only in the faulty variant: the answer was lost and the edit is not restarted yet.
    Restart,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Client {
    request: Request,
    edit: Edit,
    step: Step,
    /// Transactions that may still reach the table after the sender stopped waiting.
    delayed: Vec<Commit>,
    faults_left: u8,
}

impl Client {
    fn start(id: u64, spec: EditSpec, faults_left: u8) -> Self {
        let request = Request {
            id: ChangeId(id),
            by: format!("operator-{id}").into(),
            at_ms: Millis(id),
            expected: spec.expected,
            setting: setting(spec.name, spec.service),
        };
        let (edit, action) = Edit::start(request.clone());
        Self {
            request,
            edit,
            step: Step::Act(action),
            delayed: Vec::new(),
            faults_left,
        }
    }

    fn deliver(&mut self, event: Event) {
        self.step = Step::Act(self.edit.on(event));
    }

    fn is_finished(&self) -> bool {
        matches!(self.step, Step::Act(Action::Finish(_)))
    }
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum EditVariant {
    Correct,
    /// Restarts with a new id and new conditions after a lost answer.
    NewIdAfterNoAnswer,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Edits {
    table: Table,
    clients: Vec<Client>,
}

impl Edits {
    fn start(specs: &[EditSpec], faults_left: u8) -> Self {
        let client =
            |(id, spec): (usize, &EditSpec)| Client::start(id as u64 + 1, *spec, faults_left);
        Self {
            table: Table::default(),
            clients: specs.iter().enumerate().map(client).collect(),
        }
    }

    fn successors(&self, variant: EditVariant) -> Vec<Self> {
        let each = |index| self.successors_of(index, variant);
        (0..self.clients.len()).flat_map(each).collect()
    }

    fn successors_of(&self, index: usize, variant: EditVariant) -> Vec<Self> {
        let mut next = Vec::new();
        let mut with = |change: &dyn Fn(&mut Self)| {
            let mut state = self.clone();
            change(&mut state);
            next.push(state);
        };
        let client = &self.clients[index];
        for delayed in 0..client.delayed.len() {
            with(&|state| {
                let commit = state.clients[index].delayed.remove(delayed);
                state.table.transact(&commit, true);
            });
        }
        match &client.step {
            Step::RowsReady(snapshot) => with(&|state| {
                state.clients[index].deliver(Event::RowsRead(snapshot.clone()));
            }),
            Step::Act(Action::Read { key, audit }) => with(&|state| {
                let snapshot = state.table.read(key, *audit);
                state.clients[index].step = Step::RowsReady(snapshot);
            }),
            Step::Act(Action::Commit(commit)) => with(&|state| {
                let event = if state.table.transact(commit, true) {
                    Event::Committed
                } else {
                    Event::Conflict
                };
                state.clients[index].deliver(event);
            }),
            Step::Restart => with(&|state| state.restart(index)),
            Step::Act(Action::Finish(_)) => {}
        }
        if client.faults_left == 0 || client.is_finished() {
            return next;
        }
        if let Step::Act(Action::Commit(commit)) = &client.step {
            with(&|state| {
                state.table.transact(commit, true);
                state.lose_answer(index, variant);
            });
            with(&|state| {
                state.clients[index].delayed.push((**commit).clone());
                state.lose_answer(index, variant);
            });
            with(&|state| {
                state.clients[index].delayed.push((**commit).clone());
                state.fail(index, Event::Expired);
            });
        }
        if matches!(&client.step, Step::Act(_)) {
            with(&|state| state.fail(index, Event::Refused));
            with(&|state| state.fail(index, Event::Expired));
        }
        next
    }

    fn fail(&mut self, index: usize, event: Event) {
        let client = &mut self.clients[index];
        client.faults_left -= 1;
        client.deliver(event);
    }

    fn lose_answer(&mut self, index: usize, variant: EditVariant) {
        if variant == EditVariant::Correct {
            self.fail(index, Event::NoAnswer);
            return;
        }
        self.clients[index].faults_left -= 1;
        self.clients[index].step = Step::Restart;
    }

    fn restart(&mut self, index: usize) {
        let client = &mut self.clients[index];
        client.request.id = ChangeId(client.request.id.0 + 100);
        let entry = self.table.entry(&client.request.setting.key());
        client.request.expected = entry.map(|change| change.revision);
        let (edit, action) = Edit::start(client.request.clone());
        client.edit = edit;
        client.step = Step::Act(action);
    }

    /// Returns whether a delayed transaction can still take effect.
    fn may_take_effect(&self, client: &Client) -> bool {
        let takes_effect = |commit: &Commit| self.table.clone().transact(commit, true);
        client.delayed.iter().any(takes_effect)
    }

    fn violation(&self) -> Option<&'static str> {
        let mut by = BTreeSet::new();
        let mut log = self.table.log.iter();
        if !log.all(|record| by.insert(record.change.by.clone())) {
            return Some("a change was applied twice");
        }
        let mut taken = BTreeSet::new();
        self.clients.iter().find_map(|client| {
            let Step::Act(Action::Finish(answer)) = &client.step else {
                return None;
            };
            if let Answer::Accepted(revision) = answer
                && !taken.insert(*revision)
            {
                return Some("two edits were accepted at one revision");
            }
            self.false_answer(client, answer)
        })
    }

    fn false_answer(&self, client: &Client, answer: &Answer) -> Option<&'static str> {
        let mut changes = self.table.log.iter().map(|record| &record.change);
        let committed = changes
            .find(|change| change.id == client.request.id)
            .map(|change| change.revision);
        match answer {
            Answer::Accepted(revision) => (committed != Some(*revision))
                .then_some("an edit was answered as accepted at a revision that it does not have"),
            Answer::Conflict { current: None } if client.request.expected.is_none() => {
                Some("a conflict was answered without the conflicting change")
            }
            Answer::Conflict { .. } | Answer::Unavailable => (committed.is_some()
                || self.may_take_effect(client))
            .then_some("an edit was answered as not applied although it was or may be applied"),
            Answer::Unchanged { .. } => {
                Some("an edit was answered as unchanged although every edit changes its entry")
            }
            Answer::Unknown(revision) => committed
                .is_some_and(|committed| committed != *revision)
                .then_some("an edit answered as unknown was committed at another revision"),
        }
    }
}

fn explore_edits(specs: &[EditSpec], faults_left: u8) {
    let (states, depth) = explore(
        Edits::start(specs, faults_left),
        |state| state.successors(EditVariant::Correct),
        Edits::violation,
    );
    let names: Vec<_> = specs.iter().map(|spec| spec.name).collect();
    println!("edits of {names:?}, {faults_left} faults each: {states} states, depth {depth}");
    assert!(states > 1_000);
}

#[test]
fn concurrent_edits_of_one_entry_have_one_winner_and_correct_answers() {
    explore_edits(&[create("a"), create("a")], 3);
}

#[test]
fn edits_of_different_entries_are_totally_ordered() {
    explore_edits(&[create("a"), create("b")], 2);
    explore_edits(&[create("a"), create("a"), create("b")], 1);
}

#[test]
fn a_later_edit_is_not_overwritten_by_an_unresolved_one() {
    explore_edits(&[create("a"), revert("a")], 3);
}

#[test]
fn the_model_detects_a_restart_with_a_new_id_after_a_lost_answer() {
    let path = bfs(
        &Edits::start(&[create("a"), revert("a")], 1),
        |state| state.successors(EditVariant::NewIdAfterNoAnswer),
        |state| state.violation() == Some("a change was applied twice"),
    );
    assert!(path.is_some());
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Source {
    Table(Revision),
    Node(usize),
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Node {
    replica: Replica,
    /// Head that a pending read of the table will return.
    head_read: Option<Revision>,
    transfer: Option<(TransferProgress, Source)>,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum NodeVariant {
    Correct,
    /// Applies changes in the order of arrival, whatever their revision.
    LastWriteWins,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Nodes {
    table: Table,
    nodes: Vec<Node>,
    restarts_left: u8,
    reverted: bool,
}

/// Index of the node that also reads the head and transfers pages; the other node
/// only receives pushes and restarts.
const TESTED_NODE: usize = 0;
/// Names of the entries, ordered by key.
const NAMES: [&str; 2] = ["a", "b"];
/// Names of the changed entries, ordered by revision.
const CHANGED_NAMES: [&str; 3] = ["a", "b", "a"];

impl Nodes {
    fn start() -> Self {
        Self {
            table: Table::default(),
            nodes: vec![Node::default(); 2],
            restarts_left: 1,
            reverted: false,
        }
    }

    fn accept(&mut self) {
        let revision = self.table.head().next();
        let name = CHANGED_NAMES[self.table.log.len()];
        let change = Change {
            revision,
            id: ChangeId(revision.0),
            by: "operator".into(),
            at_ms: Millis::ZERO,
            setting: setting(name, ServiceState::Out),
        };
        let before = None;
        self.table.log.push(Record { change, before });
    }

    fn successors(&self, variant: NodeVariant) -> Vec<Self> {
        let mut next = Vec::new();
        if self.table.log.len() < CHANGED_NAMES.len() {
            let mut state = self.clone();
            state.accept();
            next.push(state);
        }
        for index in 0..self.nodes.len() {
            self.add_successors_of(index, variant, &mut next);
        }
        next
    }

    fn add_successors_of(&self, index: usize, variant: NodeVariant, next: &mut Vec<Self>) {
        let node = &self.nodes[index];
        if self.restarts_left > 0 {
            let mut state = self.clone();
            state.restarts_left -= 1;
            state.nodes[index] = Node::default();
            next.push(state);
        }
        let mut with = |change: &dyn Fn(&mut Node)| {
            let mut state = self.clone();
            change(&mut state.nodes[index]);
            state.reverted |= is_reverted(&node.replica, &state.nodes[index].replica);
            next.push(state);
        };
        // Pushes may arrive delayed, duplicated, out of order or not at all.
        for record in &self.table.log {
            with(&|node| push(node, &record.change, variant));
        }
        // The second node only serves as a peer of the first: it may be behind,
        // ahead of the head that the first node read, or restarted.
        if index != TESTED_NODE {
            return;
        }
        match node.head_read {
            None => with(&|node| node.head_read = Some(self.table.head())),
            Some(head) => with(&|node| {
                node.head_read = None;
                node.replica.confirm_head(head, Millis(head.0));
            }),
        }
        match node.transfer {
            None => {
                for source in [Source::Table(self.table.head()), Source::Node(1 - index)] {
                    with(&|node| {
                        let mut progress = TransferProgress::default();
                        node.replica
                            .apply_page(&mut progress, &self.page(source, 0));
                        node.transfer = Some((progress, source));
                    });
                }
            }
            Some((_, source)) => with(&|node| {
                if let Some((mut progress, _)) = node.transfer.take() {
                    node.replica
                        .apply_page(&mut progress, &self.page(source, 1));
                }
            }),
        }
    }

    /// Returns one of the two pages of a transfer, each with one key.
    fn page(&self, source: Source, part: usize) -> Page {
        let key = key(NAMES[part]);
        let (head, change) = match source {
            Source::Table(head) => (head, self.table.entry(&key)),
            Source::Node(index) => {
                let replica = &self.nodes[index].replica;
                (replica.head(), replica.get(&key))
            }
        };
        Page {
            head,
            changes: change.cloned().into_iter().collect(),
            last: part == 1,
        }
    }

    fn violation(&self) -> Option<&'static str> {
        if self.reverted {
            return Some("a node reverted");
        }
        let mut replicas = self.nodes.iter().map(|node| &node.replica);
        replicas.find_map(|replica| self.violation_of(replica))
    }

    fn violation_of(&self, replica: &Replica) -> Option<&'static str> {
        if replica.head() > self.table.head() {
            return Some("a node is ahead of the table");
        }
        // In this model the time of a read is the head that it returned, so a
        // replica must not be current at a time later than its head.
        if replica.current_at() > Some(Millis(replica.head().0)) {
            return Some("a node claims to be more recent than it is");
        }
        let is_missing = |record: &Record| {
            let change = &record.change;
            let held = replica.get(&change.setting.key());
            change.revision <= replica.head()
                && held.map(|held| held.revision) < Some(change.revision)
        };
        if self.table.log.iter().any(is_missing) {
            return Some("a node lacks a change below its head");
        }
        let is_wrong = |held: &Change| {
            let record = self.table.log.get(held.revision.0 as usize - 1);
            record.is_none_or(|record| record.change != *held)
        };
        replica
            .entries()
            .any(is_wrong)
            .then_some("a node holds a change that was not accepted")
    }
}

fn is_reverted(before: &Replica, after: &Replica) -> bool {
    let entry_is_reverted = |name: &&str| {
        let revision = |replica: &Replica| replica.get(&key(name)).map(|held| held.revision);
        revision(after) < revision(before)
    };
    after.head() < before.head()
        || after.current_at() < before.current_at()
        || NAMES.iter().any(entry_is_reverted)
}

fn push(node: &mut Node, change: &Change, variant: NodeVariant) {
    if variant == NodeVariant::Correct {
        node.replica.apply(change);
        return;
    }
    // Rebuilds the replica so that the entry takes the last change that arrived,
    // without comparing revisions.
    let mut replica = Replica::default();
    for held in node.replica.entries() {
        if held.setting.key() != change.setting.key() {
            replica.apply(held);
        }
    }
    replica.apply(change);
    node.replica = replica;
}

#[test]
fn replicas_never_revert_or_overstate_how_recent_they_are() {
    let (states, depth) = explore(
        Nodes::start(),
        |state| state.successors(NodeVariant::Correct),
        Nodes::violation,
    );
    println!("replicas: {states} states, depth {depth}");
    assert!(states > 1_000);
}

#[test]
fn the_model_detects_changes_applied_in_order_of_arrival() {
    let path = bfs(
        &Nodes::start(),
        |state| state.successors(NodeVariant::LastWriteWins),
        |state| state.violation() == Some("a node reverted"),
    );
    assert!(path.is_some());
}

//! Exhaustive checks of edits and replicas against a small model of the table.

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

/// The platform's table: the audit rows, from which the other rows follow.
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

    /// Runs a transaction; `checked` says whether the entry's condition counts.
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

/// Visits every state; returns how many there are and the greatest depth.
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

/// What one operator wants.
#[derive(Clone, Copy, Debug)]
struct Wish {
    name: &'static str,
    expected: Option<Revision>,
    service: ServiceState,
}

/// Wants a new entry.
const fn new(name: &'static str) -> Wish {
    Wish {
        name,
        expected: None,
        service: ServiceState::Out,
    }
}

/// Wants to change the first change.
const fn undo(name: &'static str) -> Wish {
    Wish {
        name,
        expected: Some(Revision(1)),
        service: ServiceState::In,
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    Act(Action),
    Answered(Snapshot),
    /// Only in the broken variant: the operator has not repeated yet.
    Repeat,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Editor {
    request: Request,
    edit: Edit,
    step: Step,
    /// Transactions still on their way after their sender gave them up.
    late: Vec<Commit>,
    faults_left: u8,
}

impl Editor {
    fn start(id: u64, wish: Wish, faults_left: u8) -> Self {
        let request = Request {
            id: ChangeId(id),
            by: format!("operator-{id}").into(),
            at_ms: Millis(id),
            expected: wish.expected,
            setting: setting(wish.name, wish.service),
        };
        let (edit, action) = Edit::start(request.clone());
        Self {
            request,
            edit,
            step: Step::Act(action),
            late: Vec::new(),
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
    Real,
    /// Starts over with a new id and new conditions after a lost answer.
    BlindRepeat,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Edits {
    table: Table,
    editors: Vec<Editor>,
}

impl Edits {
    fn start(wishes: &[Wish], faults_left: u8) -> Self {
        let editor = |(id, wish): (usize, &Wish)| Editor::start(id as u64 + 1, *wish, faults_left);
        Self {
            table: Table::default(),
            editors: wishes.iter().enumerate().map(editor).collect(),
        }
    }

    fn successors(&self, variant: EditVariant) -> Vec<Self> {
        let each = |index| self.successors_of(index, variant);
        (0..self.editors.len()).flat_map(each).collect()
    }

    fn successors_of(&self, index: usize, variant: EditVariant) -> Vec<Self> {
        let mut next = Vec::new();
        let mut with = |change: &dyn Fn(&mut Self)| {
            let mut state = self.clone();
            change(&mut state);
            next.push(state);
        };
        let editor = &self.editors[index];
        for late in 0..editor.late.len() {
            with(&|state| {
                let commit = state.editors[index].late.remove(late);
                state.table.transact(&commit, true);
            });
        }
        match &editor.step {
            Step::Answered(seen) => with(&|state| {
                state.editors[index].deliver(Event::RowsRead(seen.clone()));
            }),
            Step::Act(Action::Read { key, audit }) => with(&|state| {
                let seen = state.table.read(key, *audit);
                state.editors[index].step = Step::Answered(seen);
            }),
            Step::Act(Action::Commit(commit)) => with(&|state| {
                let event = if state.table.transact(commit, true) {
                    Event::Committed
                } else {
                    Event::Conflict
                };
                state.editors[index].deliver(event);
            }),
            Step::Repeat => with(&|state| state.repeat(index)),
            Step::Act(Action::Finish(_)) => {}
        }
        if editor.faults_left == 0 || editor.is_finished() {
            return next;
        }
        if let Step::Act(Action::Commit(commit)) = &editor.step {
            with(&|state| {
                state.table.transact(commit, true);
                state.lose(index, variant);
            });
            with(&|state| {
                state.editors[index].late.push((**commit).clone());
                state.lose(index, variant);
            });
            with(&|state| {
                state.editors[index].late.push((**commit).clone());
                state.fail(index, Event::Expired);
            });
        }
        if matches!(&editor.step, Step::Act(_)) {
            with(&|state| state.fail(index, Event::Refused));
            with(&|state| state.fail(index, Event::Expired));
        }
        next
    }

    fn fail(&mut self, index: usize, event: Event) {
        let editor = &mut self.editors[index];
        editor.faults_left -= 1;
        editor.deliver(event);
    }

    fn lose(&mut self, index: usize, variant: EditVariant) {
        if variant == EditVariant::Real {
            self.fail(index, Event::NoAnswer);
            return;
        }
        self.editors[index].faults_left -= 1;
        self.editors[index].step = Step::Repeat;
    }

    fn repeat(&mut self, index: usize) {
        let editor = &mut self.editors[index];
        editor.request.id = ChangeId(editor.request.id.0 + 100);
        let entry = self.table.entry(&editor.request.setting.key());
        editor.request.expected = entry.map(|change| change.revision);
        let (edit, action) = Edit::start(editor.request.clone());
        editor.edit = edit;
        editor.step = Step::Act(action);
    }

    /// Whether what may still arrive at the table can take effect.
    fn may_land(&self, editor: &Editor) -> bool {
        let lands = |commit: &Commit| self.table.clone().transact(commit, true);
        editor.late.iter().any(lands)
    }

    fn violation(&self) -> Option<&'static str> {
        let mut by = BTreeSet::new();
        let mut log = self.table.log.iter();
        if !log.all(|record| by.insert(record.change.by.clone())) {
            return Some("a change was applied twice");
        }
        let mut taken = BTreeSet::new();
        self.editors.iter().find_map(|editor| {
            let Step::Act(Action::Finish(answer)) = &editor.step else {
                return None;
            };
            if let Answer::Accepted(revision) = answer
                && !taken.insert(*revision)
            {
                return Some("two winners of one revision");
            }
            self.untruth(editor, answer)
        })
    }

    fn untruth(&self, editor: &Editor, answer: &Answer) -> Option<&'static str> {
        let mut changes = self.table.log.iter().map(|record| &record.change);
        let landed = changes
            .find(|change| change.id == editor.request.id)
            .map(|change| change.revision);
        match answer {
            Answer::Accepted(revision) => {
                (landed != Some(*revision)).then_some("an answer says accepted and it is not")
            }
            Answer::Conflict { current: None } if editor.request.expected.is_none() => {
                Some("a conflict does not show the other change")
            }
            Answer::Conflict { .. } | Answer::Unavailable => (landed.is_some()
                || self.may_land(editor))
            .then_some("an answer says unchanged and it is not"),
            Answer::Unchanged { .. } => Some("no edit asks for what is so already"),
            Answer::Unknown(revision) => landed
                .is_some_and(|landed| landed != *revision)
                .then_some("an unknown change landed at another revision"),
        }
    }
}

fn explore_edits(wishes: &[Wish], faults_left: u8) {
    let (states, depth) = explore(
        Edits::start(wishes, faults_left),
        |state| state.successors(EditVariant::Real),
        Edits::violation,
    );
    let names: Vec<_> = wishes.iter().map(|wish| wish.name).collect();
    println!("edits of {names:?}, {faults_left} faults each: {states} states, depth {depth}");
    assert!(states > 1_000);
}

#[test]
fn racing_edits_have_one_winner_and_truthful_answers() {
    explore_edits(&[new("a"), new("a")], 3);
}

#[test]
fn edits_of_different_entries_share_one_order() {
    explore_edits(&[new("a"), new("b")], 2);
    explore_edits(&[new("a"), new("a"), new("b")], 1);
}

#[test]
fn an_edit_on_top_of_a_lost_one_is_kept() {
    explore_edits(&[new("a"), undo("a")], 3);
}

#[test]
fn a_blind_repeat_after_a_lost_answer_is_caught() {
    let path = bfs(
        &Edits::start(&[new("a"), undo("a")], 1),
        |state| state.successors(EditVariant::BlindRepeat),
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
    /// A read of the head that has not been answered.
    head_read: Option<Revision>,
    transfer: Option<(TransferProgress, Source)>,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum NodeVariant {
    Real,
    /// Applies whatever arrives last.
    LastWins,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Nodes {
    table: Table,
    nodes: Vec<Node>,
    restarts_left: u8,
    reverted: bool,
}

/// The node that reads and transfers; the other one is pushed to and restarts.
const CHECKED: usize = 0;
/// The entries, in the order of keys.
const NAMES: [&str; 2] = ["a", "b"];
/// The entries that are changed, in the order of revisions.
const SCRIPT: [&str; 3] = ["a", "b", "a"];

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
        let name = SCRIPT[self.table.log.len()];
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
        if self.table.log.len() < SCRIPT.len() {
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
            state.reverted |= is_lower(&node.replica, &state.nodes[index].replica);
            next.push(state);
        };
        // Pushes arrive late, twice, out of order or not at all.
        for record in &self.table.log {
            with(&|node| push(node, &record.change, variant));
        }
        // The second node is there to be a peer of the first, which may be
        // behind, ahead of the table's reader, or restarted.
        if index != CHECKED {
            return;
        }
        match node.head_read {
            None => with(&|node| node.head_read = Some(self.table.head())),
            Some(head) => with(&|node| {
                node.head_read = None;
                node.replica.confirm(head, Millis(head.0));
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

    /// One of the two pages of a transfer, each with one key.
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
        // Times are heads here, so this says that a node is as recent as it claims.
        if replica.current_at() > Some(Millis(replica.head().0)) {
            return Some("a node claims to be more recent than it is");
        }
        let lacks = |record: &Record| {
            let change = &record.change;
            let held = replica.get(&change.setting.key());
            change.revision <= replica.head()
                && held.map(|held| held.revision) < Some(change.revision)
        };
        if self.table.log.iter().any(lacks) {
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

fn is_lower(before: &Replica, after: &Replica) -> bool {
    let entry_is_lower = |name: &&str| {
        let revision = |replica: &Replica| replica.get(&key(name)).map(|held| held.revision);
        revision(after) < revision(before)
    };
    after.head() < before.head()
        || after.current_at() < before.current_at()
        || NAMES.iter().any(entry_is_lower)
}

fn push(node: &mut Node, change: &Change, variant: NodeVariant) {
    if variant == NodeVariant::Real {
        node.replica.apply(change);
        return;
    }
    // A copy without memory of revisions: an entry becomes what came last.
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
fn replicas_never_revert_and_are_as_recent_as_they_claim() {
    let (states, depth) = explore(
        Nodes::start(),
        |state| state.successors(NodeVariant::Real),
        Nodes::violation,
    );
    println!("replicas: {states} states, depth {depth}");
    assert!(states > 1_000);
}

#[test]
fn applying_whatever_arrives_last_is_caught() {
    let path = bfs(
        &Nodes::start(),
        |state| state.successors(NodeVariant::LastWins),
        |state| state.violation() == Some("a node reverted"),
    );
    assert!(path.is_some());
}

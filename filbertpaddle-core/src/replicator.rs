//! Replication of the configuration between nodes and from the platform's table.
//!
//! A change is pushed to the relay of each data centre, which forwards it down
//! a tree of its members. Periodic pulls recover lost pushes: members pull from
//! their relay, and relays read the table and pull from each other.

use std::collections::BTreeMap;

use crate::clock::Millis;
use crate::config::Change;
use crate::config::Key;
use crate::gossip::Action;
use crate::gossip::Event;
use crate::gossip::Message;
use crate::gossip::NodeStatus;
use crate::name::Name;
use crate::poll_choice;
use crate::poll_choice::PollChoice;
use crate::relay;
use crate::relay::LiveNodes;
use crate::relay::Member;
use crate::replica::MAX_RECENT_CHANGES;
use crate::replica::Page;
use crate::replica::Replica;
use crate::revision::Revision;
use crate::transfer::Source;
use crate::transfer::Transfer;

/// Interval at which a node pulls from its relay and a relay reads the table.
pub const POLL_INTERVAL_MS: Millis = Millis(1_500);
/// Age of the replica beyond which a node also pulls from other nodes than its relay.
pub const STALE_AFTER_MS: Millis = Millis::from_secs(4);
/// Maximum confirmed age of the configuration at which a node starts serving.
pub const READY_MAX_AGE_MS: Millis = Millis::from_secs(10);
/// Interval between two [`Event::Tick`]s.
pub const TICK_INTERVAL_MS: Millis = Millis(250);

/// State that a node last reported.
#[derive(Clone, Copy, Debug)]
struct PeerState {
    received_at: Millis,
    head: Revision,
    current_at: Option<Millis>,
}

/// State of the reads of the table.
#[derive(Clone, Copy, Debug, Default)]
struct TableState {
    read_started_at: Option<Millis>,
    next_read_at: Millis,
    last_read_failed: bool,
    head: Revision,
}

/// Replicates the configuration on one node.
#[derive(Clone, Debug)]
pub struct Replicator {
    live_nodes: LiveNodes,
    replica: Replica,
    next_poll_at: Millis,
    poll_choice: PollChoice,
    peer_states: BTreeMap<Name, PeerState>,
    transfer: Option<Transfer>,
    table: TableState,
    is_ready: bool,
}

impl Replicator {
    /// Creates a replicator with an empty replica.
    pub fn new(local: Member) -> Self {
        Self {
            live_nodes: LiveNodes::new(local),
            replica: Replica::default(),
            next_poll_at: Millis::ZERO,
            poll_choice: PollChoice::default(),
            peer_states: BTreeMap::new(),
            transfer: None,
            table: TableState::default(),
            is_ready: false,
        }
    }

    /// Returns this node's replica.
    pub fn replica(&self) -> &Replica {
        &self.replica
    }

    /// Returns whether the configuration here is recent enough to start serving.
    ///
    /// Once true it stays true: a node that is cut off later keeps serving with
    /// its last configuration.
    pub fn is_ready(&self) -> bool {
        self.is_ready
    }

    /// Returns whether the last read of the table failed.
    pub fn is_table_unavailable(&self) -> bool {
        self.table.last_read_failed
    }

    /// Returns the live nodes known to this node.
    pub fn live_nodes(&self) -> &LiveNodes {
        &self.live_nodes
    }

    /// Returns the status of the nodes of this data centre.
    pub fn status(&self, now: Millis) -> Vec<NodeStatus> {
        let nodes = self
            .live_nodes
            .nodes_of(&self.live_nodes.local().data_centre);
        nodes.map(|node| self.status_of(now, node)).collect()
    }

    fn status_of(&self, now: Millis, node: &Name) -> NodeStatus {
        let state = if *node == self.live_nodes.local().node {
            Some(PeerState {
                received_at: now,
                head: self.replica.head(),
                current_at: self.replica.current_at(),
            })
        } else {
            self.peer_states.get(node).copied()
        };
        NodeStatus {
            node: node.clone(),
            head: state.map(|state| state.head),
            age_ms: state.and_then(|state| state.current_at.map(|at| now.since(at))),
            heard_ms: state.map(|state| now.since(state.received_at)),
        }
    }

    /// Handles an event and returns the resulting actions.
    pub fn on(&mut self, now: Millis, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Members(members) => self.on_members(members),
            Event::Accepted(change) => self.on_accepted(&change, &mut actions),
            Event::Message { from, message } => self.on_message(now, from, message, &mut actions),
            Event::TableHead(head) => self.on_table_head(now, head, &mut actions),
            Event::TableLog(changes) => self.on_table_log(now, &changes, &mut actions),
            Event::TablePage(page) => self.on_page(now, &page, &mut actions),
            Event::TableFailed => self.on_table_failed(now),
            Event::Tick => self.on_tick(now, &mut actions),
        }
        self.check_ready(now);
        actions
    }

    fn on_members(&mut self, members: Vec<Member>) {
        self.live_nodes.set_members(members);
        self.peer_states
            .retain(|node, _| self.live_nodes.contains(node));
    }

    fn on_accepted(&mut self, change: &Change, actions: &mut Vec<Action>) {
        if !self.replica.apply(change) {
            return;
        }
        actions.push(Action::Applied(change.setting.key()));
        for data_centre in self.live_nodes.data_centres() {
            let relay = self.live_nodes.relay_of(&data_centre);
            let to = relay.filter(|relay| *relay != self.live_nodes.local().node);
            actions.extend(to.map(|to| push(to, change)));
        }
        if self.is_relay() {
            self.forward(None, change, actions);
        }
    }

    fn on_message(&mut self, now: Millis, from: Name, message: Message, actions: &mut Vec<Action>) {
        self.live_nodes.mark_responsive(&from);
        match message {
            Message::Push(change) => self.on_push(&from, &change, actions),
            Message::PullRequest { seq, head, age_ms } => {
                self.record_peer_state(now, &from, head, age_ms);
                let message = self.pull_response(now, seq, head);
                actions.push(Action::Send { to: from, message });
            }
            Message::PullResponse {
                seq,
                head,
                age_ms,
                changes,
            } => {
                let Some(requested_at) = self.live_nodes.complete_request(&from, seq) else {
                    return;
                };
                self.record_peer_state(now, &from, head, age_ms);
                self.apply_changes(&changes, actions);
                if let Some(age_ms) = age_ms {
                    let at = Millis(requested_at.0.saturating_sub(age_ms.0));
                    self.replica.confirm_head(head, at);
                }
                self.catch_up(now, from, head, !changes.is_empty(), actions);
            }
            Message::PageRequest { seq, after } => {
                let page = self.replica.page(after.as_ref());
                let message = Message::PageResponse { seq, page };
                actions.push(Action::Send { to: from, message });
            }
            Message::PageResponse { seq, page } => {
                let is_expected = self.live_nodes.complete_request(&from, seq).is_some();
                if is_expected && self.transfers_from(&Source::Node(from)) {
                    self.on_page(now, &page, actions);
                }
            }
            Message::StatusRequest { seq } => {
                let nodes = self.status(now);
                let message = Message::StatusResponse { seq, nodes };
                actions.push(Action::Send { to: from, message });
            }
            // The daemon takes the status directly from the message.
            Message::StatusResponse { .. } => {}
        }
    }

    fn on_push(&mut self, from: &Name, change: &Change, actions: &mut Vec<Action>) {
        if self.replica.apply(change) {
            actions.push(Action::Applied(change.setting.key()));
            self.forward(Some(from), change, actions);
        }
    }

    /// Continues until the replica reaches a peer's head: pulls again after
    /// progress, otherwise transfers the whole configuration.
    fn catch_up(
        &mut self,
        now: Millis,
        from: Name,
        head: Revision,
        progressed: bool,
        actions: &mut Vec<Action>,
    ) {
        if self.replica.head() >= head {
            return;
        }
        if progressed {
            self.send_pull(now, from, actions);
        } else {
            self.start_transfer(now, Source::Node(from), actions);
        }
    }

    fn transfers_from(&self, source: &Source) -> bool {
        let transfer = self.transfer.as_ref();
        transfer.is_some_and(|transfer| transfer.source == *source)
    }

    fn on_table_head(&mut self, now: Millis, head: Revision, actions: &mut Vec<Action>) {
        let Some(requested_at) = self.table.read_started_at.take() else {
            return;
        };
        self.table.last_read_failed = false;
        self.replica.confirm_head(head, requested_at);
        self.table.head = head;
        self.catch_up_with_table(now, true, actions);
    }

    fn on_table_log(&mut self, now: Millis, changes: &[Change], actions: &mut Vec<Action>) {
        let before = self.replica.head();
        self.apply_changes(changes, actions);
        let progressed = self.replica.head() > before;
        self.catch_up_with_table(now, progressed, actions);
    }

    /// Continues until the replica reaches the table's head.
    ///
    /// A replica that is too far behind, or that makes no progress because of a gap
    /// in the log, takes a transfer of the entries instead.
    fn catch_up_with_table(&mut self, now: Millis, progressed: bool, actions: &mut Vec<Action>) {
        let head = self.table.head;
        let known = self.replica.head();
        if known >= head {
            return;
        }
        if progressed && head.0 - known.0 <= MAX_RECENT_CHANGES as u64 {
            actions.push(Action::ReadLog { after: known });
        } else {
            self.start_transfer(now, Source::Table(head), actions);
        }
    }

    fn on_table_failed(&mut self, now: Millis) {
        self.table.last_read_failed = true;
        self.table.read_started_at = None;
        self.table.next_read_at = now + POLL_INTERVAL_MS;
        self.transfer.take_if(|transfer| transfer.is_from_table());
    }

    fn on_page(&mut self, now: Millis, page: &Page, actions: &mut Vec<Action>) {
        let Some(mut transfer) = self.transfer.take() else {
            return;
        };
        let newer = |change: &&Change| {
            let known = self.replica.get(&change.setting.key());
            known.map(|known| known.revision) < Some(change.revision)
        };
        let applied = page.changes.iter().filter(newer);
        actions.extend(applied.map(|change| Action::Applied(change.setting.key())));
        self.replica.apply_page(&mut transfer.progress, page);
        if page.last {
            return;
        }
        let Some(after) = page.changes.last().map(|change| change.setting.key()) else {
            return;
        };
        transfer.requested_at = now;
        self.request_page(now, &transfer.source, Some(after), actions);
        self.transfer = Some(transfer);
    }

    fn on_tick(&mut self, now: Millis, actions: &mut Vec<Action>) {
        if self.live_nodes.exclude_unresponsive(now) {
            // Pulls from the node that is next in rank without waiting.
            self.next_poll_at = now;
        }
        self.transfer.take_if(|transfer| transfer.is_overdue(now));
        self.read_table(now, actions);
        if now < self.next_poll_at {
            return;
        }
        self.next_poll_at = now + POLL_INTERVAL_MS;
        for to in self.nodes_to_poll(now) {
            self.send_pull(now, to, actions);
        }
    }

    fn read_table(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let is_standby =
            self.is_stale(now) && self.live_nodes.local_rank() < relay::RELAY_CANDIDATES;
        let reads_table = self.is_relay() || is_standby || !self.is_ready;
        if !reads_table || now < self.table.next_read_at || self.table.read_started_at.is_some() {
            return;
        }
        self.table.read_started_at = Some(now);
        self.table.next_read_at = now + POLL_INTERVAL_MS;
        actions.push(Action::ReadHead);
    }

    fn nodes_to_poll(&mut self, now: Millis) -> Vec<Name> {
        let situation = poll_choice::Situation {
            is_ready: self.is_ready,
            is_stale: self.is_stale(now),
            is_table_lost: self.table.last_read_failed,
        };
        self.poll_choice.next(&self.live_nodes, situation)
    }

    fn is_stale(&self, now: Millis) -> bool {
        self.age_ms(now)
            .is_none_or(|age_ms| age_ms > STALE_AFTER_MS)
    }

    fn check_ready(&mut self, now: Millis) {
        if self.is_ready {
            return;
        }
        let is_recent = |at: Millis| now.since(at) <= READY_MAX_AGE_MS;
        let is_confirmed = self.replica.current_at().is_some_and(is_recent);
        self.is_ready = is_confirmed || self.is_as_recent_as_peers();
    }

    /// Returns whether, with the table unavailable, no reachable peer has a newer
    /// configuration.
    ///
    /// Every polled peer has responded or is unresponsive, and none has a higher
    /// head than this node.
    fn is_as_recent_as_peers(&self) -> bool {
        let Some(highest) = self.peer_states.values().map(|state| state.head).max() else {
            return false;
        };
        let has_no_pending_work = self.live_nodes.none_pending() && self.transfer.is_none();
        let has_all = highest <= self.replica.head() && self.replica.current_at().is_some();
        self.table.last_read_failed && has_no_pending_work && has_all
    }

    fn record_peer_state(
        &mut self,
        now: Millis,
        node: &Name,
        head: Revision,
        age_ms: Option<Millis>,
    ) {
        if !self.live_nodes.contains(node) {
            return;
        }
        let current_at = age_ms.map(|age_ms| Millis(now.0.saturating_sub(age_ms.0)));
        let state = PeerState {
            received_at: now,
            head,
            current_at,
        };
        self.peer_states.insert(node.clone(), state);
    }

    fn pull_response(&self, now: Millis, seq: u64, head: Revision) -> Message {
        Message::PullResponse {
            seq,
            head: self.replica.head(),
            age_ms: self.age_ms(now),
            changes: self.replica.changes_after(head).unwrap_or_default(),
        }
    }

    fn age_ms(&self, now: Millis) -> Option<Millis> {
        self.replica.current_at().map(|at| now.since(at))
    }

    fn send_pull(&mut self, now: Millis, to: Name, actions: &mut Vec<Action>) {
        let seq = self.live_nodes.start_request(now, &to);
        let message = Message::PullRequest {
            seq,
            head: self.replica.head(),
            age_ms: self.age_ms(now),
        };
        actions.push(Action::Send { to, message });
    }

    fn start_transfer(&mut self, now: Millis, source: Source, actions: &mut Vec<Action>) {
        if self.transfer.is_some() {
            return;
        }
        self.request_page(now, &source, None, actions);
        self.transfer = Some(Transfer::new(now, source));
    }

    fn request_page(
        &mut self,
        now: Millis,
        source: &Source,
        after: Option<Key>,
        actions: &mut Vec<Action>,
    ) {
        match source {
            Source::Table(head) => actions.push(Action::ReadPage { head: *head, after }),
            Source::Node(node) => {
                let seq = self.live_nodes.start_request(now, node);
                let message = Message::PageRequest { seq, after };
                let to = node.clone();
                actions.push(Action::Send { to, message });
            }
        }
    }

    fn apply_changes(&mut self, changes: &[Change], actions: &mut Vec<Action>) {
        for change in changes {
            if !self.replica.apply(change) {
                continue;
            }
            actions.push(Action::Applied(change.setting.key()));
            if self.is_ready && self.is_relay() {
                self.forward(None, change, actions);
            }
        }
    }

    fn forward(&self, from: Option<&Name>, change: &Change, actions: &mut Vec<Action>) {
        let ranked = self.live_nodes.ranked(&self.live_nodes.local().data_centre);
        let children = relay::children(&ranked, &self.live_nodes.local().node);
        let others = children.into_iter().filter(|child| Some(*child) != from);
        actions.extend(others.map(|child| push(child.clone(), change)));
    }

    fn is_relay(&self) -> bool {
        self.live_nodes.local_rank() == 0
    }
}

fn push(to: Name, change: &Change) -> Action {
    let message = Message::Push(change.clone());
    Action::Send { to, message }
}

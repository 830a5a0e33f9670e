//! Spreading configuration between nodes, and from the table.
//!
//! A change is pushed to the relay of each data centre and down a tree of
//! its members. What a push misses is found by asking: members ask their
//! relay, relays ask the table and each other.

use std::collections::BTreeMap;

use crate::clock::Millis;
use crate::config::Change;
use crate::config::Key;
use crate::gossip::Action;
use crate::gossip::Event;
use crate::gossip::Message;
use crate::gossip::NodeStatus;
use crate::name::Name;
use crate::relay;
use crate::relay::LiveNodes;
use crate::relay::Member;
use crate::replica::MAX_RECENT_CHANGES;
use crate::replica::Page;
use crate::replica::Replica;
use crate::revision::Revision;
use crate::transfer::Source;
use crate::transfer::Transfer;

/// How often a node asks its relay, and a relay asks the table.
pub const ASK_MS: Millis = Millis(1_500);
/// Age beyond which a node looks for news elsewhere than at its relay.
pub const STALE_MS: Millis = Millis::from_secs(4);
/// How recent a configuration must be known to be for a node to start serving.
pub const RECENT_MS: Millis = Millis::from_secs(10);
/// Relays of other data centres that a relay asks at once when it looks for news.
const FAR_ASKS: usize = 4;
/// Time between two ticks.
pub const TICK_INTERVAL_MS: Millis = Millis(250);

/// What a node last said of itself.
#[derive(Clone, Copy, Debug)]
struct Heard {
    at: Millis,
    head: Revision,
    current_at: Option<Millis>,
}

/// The state of the table's reads.
#[derive(Clone, Copy, Debug, Default)]
struct Table {
    reading_since: Option<Millis>,
    next_at: Millis,
    failed: bool,
    head: Revision,
}

/// One node's part in spreading configuration.
#[derive(Clone, Debug)]
pub struct Replicator {
    live_nodes: LiveNodes,
    replica: Replica,
    next_ask_at: Millis,
    stand_by: usize,
    far_index: usize,
    heard: BTreeMap<Name, Heard>,
    transfer: Option<Transfer>,
    table: Table,
    ready: bool,
}

impl Replicator {
    /// Starts with nothing known.
    pub fn new(me: Member) -> Self {
        Self {
            live_nodes: LiveNodes::new(me),
            replica: Replica::default(),
            next_ask_at: Millis::ZERO,
            stand_by: 0,
            far_index: 0,
            heard: BTreeMap::new(),
            transfer: None,
            table: Table::default(),
            ready: false,
        }
    }

    /// Returns this node's copy.
    pub fn replica(&self) -> &Replica {
        &self.replica
    }

    /// Returns whether the configuration here is recent enough to start serving.
    ///
    /// Once true it stays true: a node that is cut off later goes on with what
    /// it has.
    pub fn is_ready(&self) -> bool {
        self.ready
    }

    /// Returns whether the table failed to answer the last read.
    pub fn is_table_unavailable(&self) -> bool {
        self.table.failed
    }

    /// Returns the live nodes as this node sees them.
    pub fn live_nodes(&self) -> &LiveNodes {
        &self.live_nodes
    }

    /// Returns what is known of the nodes of this data centre.
    pub fn status(&self, now: Millis) -> Vec<NodeStatus> {
        let nodes = self
            .live_nodes
            .nodes_of(&self.live_nodes.local().data_centre);
        nodes.map(|node| self.status_of(now, node)).collect()
    }

    fn status_of(&self, now: Millis, node: &Name) -> NodeStatus {
        let heard = if *node == self.live_nodes.local().node {
            Some(Heard {
                at: now,
                head: self.replica.head(),
                current_at: self.replica.current_at(),
            })
        } else {
            self.heard.get(node).copied()
        };
        NodeStatus {
            node: node.clone(),
            head: heard.map(|heard| heard.head),
            age_ms: heard.and_then(|heard| heard.current_at.map(|at| now.since(at))),
            heard_ms: heard.map(|heard| now.since(heard.at)),
        }
    }

    /// Takes an event and returns what to do.
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
        self.live_nodes.set(members);
        self.heard.retain(|node, _| self.live_nodes.contains(node));
    }

    fn on_accepted(&mut self, change: &Change, actions: &mut Vec<Action>) {
        if !self.replica.apply(change) {
            return;
        }
        actions.push(Action::Applied(change.setting.key()));
        for data_centre in self.live_nodes.data_centres() {
            let relay = self.relay_of(&data_centre);
            let to = relay.filter(|relay| *relay != self.live_nodes.local().node);
            actions.extend(to.map(|to| push(to, change)));
        }
        if self.is_relay() {
            self.forward(None, change, actions);
        }
    }

    fn on_message(&mut self, now: Millis, from: Name, message: Message, actions: &mut Vec<Action>) {
        self.live_nodes.hear(&from);
        match message {
            Message::Push(change) => self.on_push(&from, &change, actions),
            Message::PullRequest { seq, head, age_ms } => {
                self.hear(now, &from, head, age_ms);
                let message = self.answer(now, seq, head);
                actions.push(Action::Send { to: from, message });
            }
            Message::PullResponse {
                seq,
                head,
                age_ms,
                changes,
            } => {
                let Some(asked_at) = self.live_nodes.answered(&from, seq) else {
                    return;
                };
                self.hear(now, &from, head, age_ms);
                self.take_changes(&changes, actions);
                if let Some(age_ms) = age_ms {
                    let at = Millis(asked_at.0.saturating_sub(age_ms.0));
                    self.replica.confirm(head, at);
                }
                self.catch_up(now, from, head, !changes.is_empty(), actions);
            }
            Message::PageRequest { seq, after } => {
                let page = self.replica.page(after.as_ref());
                let message = Message::PageResponse { seq, page };
                actions.push(Action::Send { to: from, message });
            }
            Message::PageResponse { seq, page } => {
                let is_answer = self.live_nodes.answered(&from, seq).is_some();
                if is_answer && self.transfers_from(&Source::Node(from)) {
                    self.on_page(now, &page, actions);
                }
            }
            Message::StatusRequest { seq } => {
                let nodes = self.status(now);
                let message = Message::StatusResponse { seq, nodes };
                actions.push(Action::Send { to: from, message });
            }
            // The daemon gives these to whoever waits for them.
            Message::StatusResponse { .. } => {}
        }
    }

    fn on_push(&mut self, from: &Name, change: &Change, actions: &mut Vec<Action>) {
        if self.replica.apply(change) {
            actions.push(Action::Applied(change.setting.key()));
            self.forward(Some(from), change, actions);
        }
    }

    /// Asks on for what is still missing below a peer's head.
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
            self.ask(now, from, actions);
        } else {
            self.start_transfer(now, Source::Node(from), actions);
        }
    }

    fn transfers_from(&self, source: &Source) -> bool {
        let transfer = self.transfer.as_ref();
        transfer.is_some_and(|transfer| transfer.from == *source)
    }

    fn on_table_head(&mut self, now: Millis, head: Revision, actions: &mut Vec<Action>) {
        let Some(asked_at) = self.table.reading_since.take() else {
            return;
        };
        self.table.failed = false;
        self.replica.confirm(head, asked_at);
        self.table.head = head;
        self.catch_up_with_table(now, true, actions);
    }

    fn on_table_log(&mut self, now: Millis, changes: &[Change], actions: &mut Vec<Action>) {
        let before = self.replica.head();
        self.take_changes(changes, actions);
        let progressed = self.replica.head() > before;
        self.catch_up_with_table(now, progressed, actions);
    }

    /// Reads on; without progress the log has a gap and only entries help.
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
        self.table.failed = true;
        self.table.reading_since = None;
        self.table.next_at = now + ASK_MS;
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
        let in_force = page.changes.iter().filter(newer);
        actions.extend(in_force.map(|change| Action::Applied(change.setting.key())));
        self.replica.apply_page(&mut transfer.progress, page);
        if page.last {
            return;
        }
        let Some(after) = page.changes.last().map(|change| change.setting.key()) else {
            return;
        };
        transfer.at = now;
        self.ask_page(now, &transfer.from, Some(after), actions);
        self.transfer = Some(transfer);
    }

    fn on_tick(&mut self, now: Millis, actions: &mut Vec<Action>) {
        if self.live_nodes.pass_over_silent(now) {
            // Whoever is next in rank is asked at once.
            self.next_ask_at = now;
        }
        self.transfer.take_if(|transfer| transfer.is_late(now));
        self.read_table(now, actions);
        if now < self.next_ask_at {
            return;
        }
        self.next_ask_at = now + ASK_MS;
        for to in self.whom_to_ask(now) {
            self.ask(now, to, actions);
        }
    }

    fn read_table(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let stands_by = self.is_stale(now) && self.live_nodes.my_rank() < relay::STAND_BYS;
        let reads = self.is_relay() || stands_by || !self.ready;
        if !reads || now < self.table.next_at || self.table.reading_since.is_some() {
            return;
        }
        self.table.reading_since = Some(now);
        self.table.next_at = now + ASK_MS;
        actions.push(Action::ReadHead);
    }

    fn whom_to_ask(&mut self, now: Millis) -> Vec<Name> {
        let mut nodes = self.near(now);
        if self.is_relay() || !self.ready {
            nodes.extend(self.far_relays(now));
        }
        nodes.retain(|node| *node != self.live_nodes.local().node && !self.live_nodes.owes(node));
        nodes
    }

    /// Returns the relay, and a stand-by if the relay leaves this node stale.
    fn near(&mut self, now: Millis) -> Vec<Name> {
        let stale = self.is_stale(now);
        let ranked = self.live_nodes.ranked(&self.live_nodes.local().data_centre);
        let nodes = ranked.into_iter().take(relay::STAND_BYS).cloned();
        if !self.ready {
            return nodes.collect();
        }
        if !stale {
            return nodes.take(1).collect();
        }
        self.stand_by = self.stand_by % (relay::STAND_BYS - 1) + 1;
        let stand_by = self.stand_by;
        let is_asked = |index: usize| index == 0 || index == stand_by;
        nodes
            .enumerate()
            .filter_map(|(index, node)| is_asked(index).then_some(node))
            .collect()
    }

    fn far_relays(&mut self, now: Millis) -> Vec<Name> {
        let mut far = self.live_nodes.data_centres();
        far.retain(|data_centre| *data_centre != self.live_nodes.local().data_centre);
        if far.is_empty() {
            return Vec::new();
        }
        let looks = self.table.failed || self.is_stale(now);
        let count = if looks { FAR_ASKS } else { 1 };
        let first = self.far_index % far.len();
        self.far_index = first + count;
        far.rotate_left(first);
        far.iter()
            .take(count)
            .filter_map(|data_centre| self.relay_of(data_centre))
            .collect()
    }

    fn is_stale(&self, now: Millis) -> bool {
        self.age_ms(now).is_none_or(|age_ms| age_ms > STALE_MS)
    }

    fn check_ready(&mut self, now: Millis) {
        if self.ready {
            return;
        }
        let is_recent = |at: Millis| now.since(at) <= RECENT_MS;
        let proved = self.replica.current_at().is_some_and(is_recent);
        self.ready = proved || self.is_as_recent_as_peers();
    }

    /// Returns whether, with the table silent, nothing newer can be learned.
    ///
    /// Every peer that could be asked has answered or is silent, and none has
    /// more than is here.
    fn is_as_recent_as_peers(&self) -> bool {
        let Some(heard) = self.heard.values().map(|heard| heard.head).max() else {
            return false;
        };
        let is_settled = self.live_nodes.is_settled() && self.transfer.is_none();
        let has_all = heard <= self.replica.head() && self.replica.current_at().is_some();
        self.table.failed && is_settled && has_all
    }

    fn hear(&mut self, now: Millis, node: &Name, head: Revision, age_ms: Option<Millis>) {
        if !self.live_nodes.contains(node) {
            return;
        }
        let current_at = age_ms.map(|age_ms| Millis(now.0.saturating_sub(age_ms.0)));
        let heard = Heard {
            at: now,
            head,
            current_at,
        };
        self.heard.insert(node.clone(), heard);
    }

    fn answer(&self, now: Millis, seq: u64, head: Revision) -> Message {
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

    fn ask(&mut self, now: Millis, to: Name, actions: &mut Vec<Action>) {
        let seq = self.live_nodes.ask(now, &to);
        let message = Message::PullRequest {
            seq,
            head: self.replica.head(),
            age_ms: self.age_ms(now),
        };
        actions.push(Action::Send { to, message });
    }

    fn start_transfer(&mut self, now: Millis, from: Source, actions: &mut Vec<Action>) {
        if self.transfer.is_some() {
            return;
        }
        self.ask_page(now, &from, None, actions);
        self.transfer = Some(Transfer::new(now, from));
    }

    fn ask_page(
        &mut self,
        now: Millis,
        from: &Source,
        after: Option<Key>,
        actions: &mut Vec<Action>,
    ) {
        match from {
            Source::Table(head) => actions.push(Action::ReadPage { head: *head, after }),
            Source::Node(node) => {
                let seq = self.live_nodes.ask(now, node);
                let message = Message::PageRequest { seq, after };
                let to = node.clone();
                actions.push(Action::Send { to, message });
            }
        }
    }

    fn take_changes(&mut self, changes: &[Change], actions: &mut Vec<Action>) {
        for change in changes {
            if !self.replica.apply(change) {
                continue;
            }
            actions.push(Action::Applied(change.setting.key()));
            if self.ready && self.is_relay() {
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

    fn relay_of(&self, data_centre: &Name) -> Option<Name> {
        self.live_nodes
            .ranked(data_centre)
            .first()
            .copied()
            .cloned()
    }

    fn is_relay(&self) -> bool {
        self.live_nodes.my_rank() == 0
    }
}

fn push(to: Name, change: &Change) -> Action {
    let message = Message::Push(change.clone());
    Action::Send { to, message }
}

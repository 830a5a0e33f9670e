//! State and steps of the model: nodes, their messages, the table and one cold target.
//!
//! Lost messages, crashed nodes and an unavailable table need no steps of their
//! own: the message is never delivered, the node takes no further step, the
//! table is never read. Promises, reads of the roster and releases take effect
//! at once, since a delay only keeps an owner from granting. Grants, collect
//! replies and reports to members arrive at any time or never.

use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;
use std::sync::Arc;

use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::grant_mode::Mode;
use filbertpaddle_core::grant_mode::ModeState;
use filbertpaddle_core::member::Member;
use filbertpaddle_core::name::Name;
use filbertpaddle_core::owner::CollectReply;
use filbertpaddle_core::owner::CollectRequest;
use filbertpaddle_core::owner::Owner;
use filbertpaddle_core::peer::Promise;
use filbertpaddle_core::report::Report;
use filbertpaddle_core::roster::NodeId;
use filbertpaddle_core::roster::Roster;
use filbertpaddle_core::slot::Grant;
use filbertpaddle_core::slot::Source;
use filbertpaddle_core::slot::WorkKey;
use filbertpaddle_core::slot::fence;
use filbertpaddle_core::timing::Timing;

const TARGET: Name = Name::new_static("u");
const START_MS: Millis = Millis(10);
const TICK_MS: Millis = Millis(1);
const TIMING: Timing = Timing {
    promise_ms: Millis(2),
    accept_ms: Millis(1),
    settle_ms: Millis(1),
    confirm_ms: Millis(1),
    report_ms: Millis(5),
};

/// Change of the system that breaks it on purpose, so that the search must find a violation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Mutation {
    /// A successor reserves no slots for members that do not reply.
    NoReserve,
    /// An owner counts itself as confirmed without reading the roster.
    NoConfirmationAge,
    /// A member that enters share mode ignores its granted work.
    ShareIgnoresRunning,
    /// A member uses its share without a report of the target.
    ShareWithoutReport,
    /// A member accepts a grant however late it arrives.
    GrantNeverExpires,
    /// A promise counts although the member held a newer roster.
    StalePromise,
}

/// How many times each kind of step may occur.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Budget {
    /// Pieces of work started by nodes.
    pub(crate) works: u8,
    /// Pauses of a node between its last check and its send.
    pub(crate) pauses: u8,
    /// Changes of the owner in the table.
    pub(crate) owner_changes: u8,
    /// Entries into share mode.
    pub(crate) share_entries: u8,
    /// Exits from share mode.
    pub(crate) share_exits: u8,
    /// Promises after the first.
    pub(crate) promises: u8,
    /// Reads of the roster by owners.
    pub(crate) roster_reads: u8,
    /// Reports polled from the target.
    pub(crate) polls: u8,
    /// Replies of members to collect requests.
    pub(crate) collect_replies: u8,
}

/// Configuration of one search.
#[derive(Clone, Debug)]
pub(crate) struct Setup {
    pub(crate) members: u8,
    pub(crate) limit: u32,
    pub(crate) checks_fence: bool,
    pub(crate) allows_late_work: bool,
    /// Whether `b` took over one quarantine period before the start, unnoticed by `a`.
    pub(crate) is_owner_replaced: bool,
    pub(crate) horizon_ticks: u64,
    pub(crate) max_messages: usize,
    pub(crate) budget: Budget,
    pub(crate) mutation: Option<Mutation>,
}

impl Setup {
    pub(crate) fn succession() -> Self {
        Self {
            members: 2,
            limit: 1,
            checks_fence: false,
            allows_late_work: true,
            is_owner_replaced: false,
            horizon_ticks: 3,
            max_messages: 2,
            budget: Budget {
                works: 2,
                pauses: 0,
                owner_changes: 1,
                share_entries: 0,
                share_exits: 0,
                promises: 1,
                roster_reads: 2,
                polls: 1,
                collect_replies: 1,
            },
            mutation: None,
        }
    }

    pub(crate) fn shares() -> Self {
        Self {
            horizon_ticks: 4,
            budget: Budget {
                works: 2,
                pauses: 1,
                owner_changes: 0,
                share_entries: 1,
                share_exits: 1,
                promises: 1,
                roster_reads: 1,
                polls: 1,
                collect_replies: 1,
            },
            ..Self::succession()
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Message {
    CollectReply(u8, CollectReply),
    Grant(u8, Grant),
    Report(u8, Report),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Node {
    id: NodeId,
    is_paused: bool,
    mode_state: ModeState,
    member: Member,
    owner: Option<Owner>,
    unsent: Vec<(Millis, WorkKey)>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Work {
    key: WorkKey,
    is_late: bool,
}

#[derive(Clone, Debug)]
pub(crate) struct World {
    now: Millis,
    epoch: u64,
    roster_owner: u8,
    fence: u64,
    nodes: Vec<Arc<Node>>,
    messages: Vec<Arc<Message>>,
    works: Vec<Work>,
    budget: Budget,
    /// Description of the step that led here; not part of the state.
    pub(crate) step: String,
}

impl PartialEq for World {
    fn eq(&self, other: &Self) -> bool {
        self.now == other.now
            && self.epoch == other.epoch
            && self.roster_owner == other.roster_owner
            && self.fence == other.fence
            && self.nodes == other.nodes
            && self.messages == other.messages
            && self.works == other.works
            && self.budget == other.budget
    }
}

impl Eq for World {}

impl Hash for World {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.now.hash(state);
        self.epoch.hash(state);
        self.roster_owner.hash(state);
        self.fence.hash(state);
        self.nodes.hash(state);
        self.messages.hash(state);
        self.works.hash(state);
        self.budget.hash(state);
    }
}

fn id(index: u8) -> NodeId {
    const NAMES: [&str; 3] = ["a", "b", "c"];
    NodeId {
        name: Name::new_static(NAMES[usize::from(index)]),
        incarnation: 1,
    }
}

fn roster(members: u8) -> Roster {
    Roster {
        version: 1,
        sharers: (0..members).map(id).collect(),
        ..Roster::default()
    }
}

/// Passes the promise and the held work of the owner's own member to the owner
/// at once.
fn collect_own_member(node: &mut Node, owner: &mut Owner, now: Millis) {
    let Some(session) = node.mode_state.promise(now) else {
        return;
    };
    let made_ms = now;
    owner.on_promise(&node.id, Promise { session, made_ms });
    let collects = owner.due_collects();
    let own = collects.iter().find(|collect| collect.holder == node.id);
    if let Some(reply) = own.and_then(|collect| node.member.on_collect(collect)) {
        owner.on_collect_reply(&reply);
    }
}

fn digest(message: &Message) -> u64 {
    let mut hasher = DefaultHasher::new();
    message.hash(&mut hasher);
    hasher.finish()
}

impl World {
    /// Returns the initial world, in which node `a` owns the pool past its quarantine.
    pub(crate) fn new(setup: &Setup) -> Self {
        let mut nodes: Vec<_> = (0..setup.members)
            .map(|index| Node {
                id: id(index),
                is_paused: false,
                mode_state: ModeState::new(TIMING),
                member: Member::new(TIMING, id(index)),
                owner: None,
                unsent: Vec::new(),
            })
            .collect();
        let mut owner = Owner::new(TIMING, 1, Millis::ZERO, roster(setup.members));
        owner.add_target(&TARGET);
        for node in &mut nodes {
            let session = node.mode_state.promise(START_MS).unwrap();
            // The successor made its last promise before it took over.
            let made_ms = match setup.is_owner_replaced && node.id == id(1) {
                true => Millis(START_MS.0 - TIMING.quarantine_ms().0),
                false => START_MS,
            };
            owner.on_promise(&node.id, Promise { session, made_ms });
        }
        for collect in owner.due_collects() {
            let node = nodes.iter_mut().find(|node| node.id == collect.holder);
            let reply = node.unwrap().member.on_collect(&collect).unwrap();
            owner.on_collect_reply(&reply);
        }
        let mut world = Self {
            now: START_MS,
            epoch: 1,
            roster_owner: 0,
            fence: fence(1, Source::Granted),
            nodes: Vec::new(),
            messages: Vec::new(),
            works: Vec::new(),
            budget: setup.budget.clone(),
            step: "start".to_owned(),
        };
        owner.on_report(START_MS, &TARGET, &world.report(setup));
        if setup.is_owner_replaced {
            let since_ms = Millis(START_MS.0 - TIMING.quarantine_ms().0);
            owner.on_confirm(since_ms);
            world.epoch = 2;
            world.roster_owner = 1;
            let node = &mut nodes[1];
            let mut successor = Owner::new(TIMING, 2, since_ms, roster(setup.members));
            successor.add_target(&TARGET);
            collect_own_member(node, &mut successor, START_MS);
            node.owner = Some(successor);
        } else {
            owner.on_confirm(START_MS);
        }
        nodes[0].owner = Some(owner);
        world.nodes = nodes.into_iter().map(Arc::new).collect();
        world
    }

    /// Returns whether the target runs more work than its limit.
    ///
    /// Work whose sender was paused between its last check and its send is
    /// late. It may be counted apart, with at most one piece for each pause.
    pub(crate) fn is_violated(&self, setup: &Setup) -> bool {
        let counts_late_apart = setup.allows_late_work && !setup.checks_fence;
        let late = self.works.iter().filter(|work| work.is_late).count();
        let pauses = usize::from(setup.budget.pauses - self.budget.pauses);
        let counted = match counts_late_apart {
            true => self.works.len() - late,
            false => self.works.len(),
        };
        counted > setup.limit as usize || (counts_late_apart && late > pauses)
    }

    /// Returns every world that one step leads to.
    pub(crate) fn successors(&self, setup: &Setup) -> Vec<Self> {
        let mut next = Vec::new();
        self.tick(setup, &mut next);
        for index in 0..self.messages.len() {
            self.deliver(setup, index, &mut next);
        }
        for index in 0..self.works.len() {
            self.end_work(index, &mut next);
        }
        for index in 0..setup.members {
            let node = &self.nodes[usize::from(index)];
            if node.is_paused {
                self.change_node(index, "resumes", &mut next, |node, _| {
                    node.is_paused = false
                });
                continue;
            }
            self.work_steps(setup, index, &mut next);
            self.change_mode(setup, index, &mut next);
            self.ownership_steps(setup, index, &mut next);
        }
        next.retain(|world| world.messages.len() <= setup.max_messages);
        next
    }

    fn tick(&self, setup: &Setup, next: &mut Vec<Self>) {
        if self.now >= START_MS + Millis(setup.horizon_ticks) {
            return;
        }
        let mut world = self.clone();
        for node in &mut world.nodes {
            let mut unsent = node.unsent.iter();
            let is_overdue = unsent.any(|(since_ms, _)| *since_ms + TIMING.settle_ms <= self.now);
            if is_overdue && !node.is_paused {
                if world.budget.pauses == 0 {
                    return;
                }
                world.budget.pauses -= 1;
                Arc::make_mut(node).is_paused = true;
            }
        }
        world.step = "tick".to_owned();
        world.now = self.now + TICK_MS;
        let now = world.now;
        // Expired reports have no effect and are dropped to reduce the states.
        world.messages.retain(|message| match &**message {
            Message::Report(_, report) => now.since(report.taken_ms) <= TIMING.report_ms,
            _ => true,
        });
        next.push(world);
    }

    /// A node requests slots or uses its share, and sends the work it has accepted.
    fn work_steps(&self, setup: &Setup, index: u8, next: &mut Vec<Self>) {
        let node = &self.nodes[usize::from(index)];
        for unsent in 0..node.unsent.len() {
            self.send(setup, index, unsent, next);
        }
        if node.mode_state.mode() == Mode::Granted {
            for owner in 0..setup.members {
                self.request(index, owner, next);
            }
        } else if self.budget.works > 0 {
            self.poll(setup, index, next);
        }
    }

    fn send(&self, setup: &Setup, index: u8, unsent: usize, next: &mut Vec<Self>) {
        let mut world = self.clone();
        let node = Arc::make_mut(&mut world.nodes[usize::from(index)]);
        let (since_ms, key) = node.unsent.remove(unsent);
        node.member.on_sent(&key);
        world.step = format!("{} sends {key:?}", node.id.name);
        if setup.checks_fence && key.fence() < world.fence {
            node.member.on_end(&key);
            world.release(&key);
        } else {
            world.fence = world.fence.max(key.fence());
            let is_late = since_ms + TIMING.settle_ms < self.now;
            world.works.push(Work { key, is_late });
            world.works.sort_by(|a, b| a.key.cmp(&b.key));
        }
        next.push(world);
    }

    /// Request and decision are one step: a later decision only shortens the
    /// time in which the grant can be accepted.
    fn request(&self, index: u8, owner: u8, next: &mut Vec<Self>) {
        let mut world = self.clone();
        let member = &mut Arc::make_mut(&mut world.nodes[usize::from(index)]).member;
        let request = member.request_slot(self.now);
        let node = Arc::make_mut(&mut world.nodes[usize::from(owner)]);
        let Some(owner) = node.owner.as_mut().filter(|_| !node.is_paused) else {
            return;
        };
        if self.budget.works == 0 || !owner.on_request(request) {
            return;
        }
        let grants = owner.grant_all(self.now);
        if grants.is_empty() {
            return;
        }
        world.step = format!("{} is granted by {}", id(index).name, node.id.name);
        for grant in grants {
            world.post(Message::Grant(index, grant));
        }
        world.budget.works -= 1;
        next.push(world);
    }

    fn poll(&self, setup: &Setup, index: u8, next: &mut Vec<Self>) {
        if self.budget.polls == 0 {
            return;
        }
        let mut world = self.clone();
        world.budget.polls -= 1;
        let node = &self.nodes[usize::from(index)];
        world.step = format!("{} polls", node.id.name);
        if setup.checks_fence {
            let own = match &node.owner {
                Some(owner) => fence(owner.epoch(), Source::Granted),
                None => 0,
            };
            let share = match node.mode_state.mode() {
                Mode::Granted => 0,
                Mode::Share { .. } => node.member.share_fence(),
            };
            world.fence = world.fence.max(own).max(share);
        }
        let report = world.report(setup);
        let changed = Arc::make_mut(&mut world.nodes[usize::from(index)]);
        if let Some(owner) = &mut changed.owner {
            owner.on_report(self.now, &TARGET, &report);
        }
        if node.mode_state.mode() != Mode::Granted {
            world.post(Message::Report(index, report));
        }
        next.push(world);
    }

    fn change_mode(&self, setup: &Setup, index: u8, next: &mut Vec<Self>) {
        let node = &self.nodes[usize::from(index)];
        match node.mode_state.mode() {
            Mode::Granted => {
                if self.budget.share_entries > 0 && node.mode_state.may_share(self.now) {
                    self.change_node(index, "enters share mode", next, |node, budget| {
                        budget.share_entries -= 1;
                        node.mode_state.enter_share(self.now);
                        if setup.mutation == Some(Mutation::ShareIgnoresRunning) {
                            node.member = Member::new(TIMING, node.id.clone());
                        }
                        let session = node.mode_state.session();
                        node.member.on_mode(node.mode_state.mode(), session);
                    });
                }
                for owner in 0..setup.members {
                    self.promise(setup, index, owner, next);
                }
            }
            Mode::Share { .. } if self.budget.share_exits > 0 => {
                self.change_node(index, "leaves share mode", next, |node, budget| {
                    budget.share_exits -= 1;
                    node.mode_state.leave_share();
                    let session = node.mode_state.session();
                    node.member.on_mode(node.mode_state.mode(), session);
                });
            }
            Mode::Share { .. } => {}
        }
    }

    fn promise(&self, setup: &Setup, index: u8, owner: u8, next: &mut Vec<Self>) {
        let epoch = self.nodes[usize::from(owner)]
            .owner
            .as_ref()
            .map(Owner::epoch);
        let node = &self.nodes[usize::from(index)];
        let own_epoch = node.owner.as_ref().map_or(0, Owner::epoch);
        let known = node.member.epoch().max(own_epoch);
        // A promise made while holding a newer roster does not count.
        let counts = setup.mutation == Some(Mutation::StalePromise);
        let is_stale = epoch.is_none_or(|epoch| epoch < known && !counts);
        if is_stale || self.budget.promises == 0 {
            return;
        }
        let mut world = self.clone();
        let node = Arc::make_mut(&mut world.nodes[usize::from(index)]);
        let Some(session) = node.mode_state.promise(self.now) else {
            return;
        };
        world.step = format!("{} promises", node.id.name);
        world.budget.promises -= 1;
        let made_ms = self.now;
        let node = Arc::make_mut(&mut world.nodes[usize::from(owner)]);
        if let Some(owner) = &mut node.owner {
            owner.on_promise(&id(index), Promise { session, made_ms });
        }
        next.push(world);
    }

    /// Steps of an owner, and steps by which a node becomes one.
    fn ownership_steps(&self, setup: &Setup, index: u8, next: &mut Vec<Self>) {
        let node = &self.nodes[usize::from(index)];
        if let Some(owner) = &node.owner {
            self.poll(setup, index, next);
            self.confirm(setup, index, next);
            for collect in owner.due_collects() {
                self.collect(index, &collect, next);
            }
        } else if self.roster_owner == index && self.budget.roster_reads > 0 {
            self.take_over(setup, index, next);
        } else if self.budget.owner_changes > 0 {
            self.replace_owner(index, next);
        }
    }

    fn collect(&self, index: u8, collect: &CollectRequest, next: &mut Vec<Self>) {
        let is_answer = |message: &Arc<Message>| match &**message {
            Message::CollectReply(to, reply) => *to == index && reply.holder == collect.holder,
            _ => false,
        };
        if self.budget.collect_replies == 0 || self.messages.iter().any(is_answer) {
            return;
        }
        let mut world = self.clone();
        world.budget.collect_replies -= 1;
        let mut nodes = world.nodes.iter_mut();
        let Some(node) = nodes.find(|node| node.id == collect.holder) else {
            return;
        };
        if node.is_paused {
            return;
        }
        let Some(reply) = Arc::make_mut(node).member.on_collect(collect) else {
            return;
        };
        world.step = format!(
            "{} replies to the collect request of {}",
            node.id.name,
            id(index).name
        );
        world.post(Message::CollectReply(index, reply));
        next.push(world);
    }

    fn confirm(&self, setup: &Setup, index: u8, next: &mut Vec<Self>) {
        if self.budget.roster_reads == 0 {
            return;
        }
        if setup.mutation == Some(Mutation::NoConfirmationAge) {
            self.change_node(index, "counts itself as confirmed", next, |node, budget| {
                budget.roster_reads -= 1;
                node.owner.as_mut().unwrap().on_confirm(self.now);
            });
            return;
        }
        let epoch = self.epoch;
        self.change_node(index, "reads the roster", next, |node, budget| {
            budget.roster_reads -= 1;
            let confirmed = node.owner.as_mut().filter(|owner| owner.epoch() == epoch);
            if let Some(owner) = confirmed {
                owner.on_confirm(self.now);
            }
        });
    }

    /// The roster names another owner, which has not read the change yet.
    fn replace_owner(&self, index: u8, next: &mut Vec<Self>) {
        let mut world = self.clone();
        world.epoch += 1;
        world.roster_owner = index;
        world.budget.owner_changes -= 1;
        world.step = format!("the roster names {}", id(index).name);
        next.push(world);
    }

    fn take_over(&self, setup: &Setup, index: u8, next: &mut Vec<Self>) {
        let mut world = self.clone();
        let members = match setup.mutation {
            Some(Mutation::NoReserve) => Roster {
                version: 1,
                sharers: vec![id(index)],
                ..Roster::default()
            },
            _ => roster(setup.members),
        };
        let node = Arc::make_mut(&mut world.nodes[usize::from(index)]);
        let mut owner = Owner::new(TIMING, world.epoch, self.now, members);
        owner.add_target(&TARGET);
        collect_own_member(node, &mut owner, self.now);
        node.owner = Some(owner);
        world.step = format!("{} takes over", node.id.name);
        next.push(world);
    }

    fn deliver(&self, setup: &Setup, index: usize, next: &mut Vec<Self>) {
        let mut world = self.clone();
        let message = world.messages.remove(index);
        let to = match &*message {
            Message::CollectReply(to, _) | Message::Grant(to, _) | Message::Report(to, _) => {
                usize::from(*to)
            }
        };
        if self.nodes[to].is_paused {
            return;
        }
        world.step = format!("{} receives {message:?}", self.nodes[to].id.name);
        let mut node = (*self.nodes[to]).clone();
        world.receive(setup, &mut node, &message);
        world.nodes[to] = Arc::new(node);
        next.push(world);
    }

    fn receive(&mut self, setup: &Setup, node: &mut Node, message: &Message) {
        match message {
            Message::CollectReply(_, reply) => {
                if let Some(owner) = &mut node.owner {
                    owner.on_collect_reply(reply);
                }
            }
            Message::Grant(_, grant) => self.receive_grant(setup, node, grant),
            Message::Report(_, report) => self.receive_report(setup, node, report),
        }
    }

    fn receive_grant(&mut self, setup: &Setup, node: &mut Node, grant: &Grant) {
        let mut grant = grant.clone();
        if setup.mutation == Some(Mutation::GrantNeverExpires) {
            grant.stamp = node.member.stamp(self.now);
        }
        match node.member.accept(self.now, &grant) {
            Ok(held) => node.unsent.push((self.now, held.key)),
            Err(_) => {
                if let Some(owner) = &mut node.owner {
                    owner.on_release(self.now, &grant.key, true);
                }
                self.release(&grant.key);
            }
        }
    }

    fn receive_report(&mut self, setup: &Setup, node: &mut Node, report: &Report) {
        if node.mode_state.mode() == Mode::Granted || self.budget.works == 0 {
            return;
        }
        let mut report = report.clone();
        if setup.mutation == Some(Mutation::ShareWithoutReport) {
            report.taken_ms = self.now + TIMING.settle_ms;
            report.works.clear();
        }
        let roster = roster(setup.members);
        if let Ok(held) = node.member.take_share(self.now, &TARGET, &report, &roster) {
            self.budget.works -= 1;
            node.unsent.push((self.now, held.key));
        }
    }

    /// Work ends at the target; its holder is notified unless it is paused.
    fn end_work(&self, index: usize, next: &mut Vec<Self>) {
        let mut world = self.clone();
        let work = world.works.remove(index);
        let mut nodes = world.nodes.iter();
        let holder = nodes.position(|node| node.id == work.key.holder).unwrap();
        let node = Arc::make_mut(&mut world.nodes[holder]);
        world.step = format!("{} ends", node.id.name);
        if !node.is_paused {
            node.member.on_end(&work.key);
            world.release(&work.key);
        }
        next.push(world);
    }

    fn release(&mut self, key: &WorkKey) {
        for node in self.nodes.iter_mut().filter(|node| !node.is_paused) {
            let epoch = node.owner.as_ref().map(Owner::epoch);
            if epoch.is_none_or(|epoch| epoch != key.epoch) {
                continue;
            }
            if let Some(owner) = &mut Arc::make_mut(node).owner {
                owner.on_release(self.now, key, true);
            }
        }
    }

    fn report(&self, setup: &Setup) -> Report {
        let running = u32::try_from(self.works.len()).unwrap();
        Report {
            taken_ms: self.now,
            incarnation: 1,
            warm: false,
            cold_limit: setup.limit,
            warm_limit: setup.limit,
            running,
            waiting: 0,
            preemptions: 0,
            fence: setup.checks_fence.then_some(self.fence),
            works: self.works.iter().map(|work| work.key.clone()).collect(),
        }
    }

    fn post(&mut self, message: Message) {
        self.messages.push(Arc::new(message));
        self.messages.sort_by_key(|message| digest(message));
    }

    fn change_node<F>(&self, index: u8, step: &str, next: &mut Vec<Self>, change: F)
    where
        F: FnOnce(&mut Node, &mut Budget),
    {
        let mut world = self.clone();
        let node = Arc::make_mut(&mut world.nodes[usize::from(index)]);
        change(node, &mut world.budget);
        world.step = format!("{}: {step}", node.id.name);
        next.push(world);
    }
}

//! Spreading of changes between nodes that exchange messages in memory.

use std::collections::BTreeMap;

use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::config::Change;
use filbertpaddle_core::config::ChangeId;
use filbertpaddle_core::config::Key;
use filbertpaddle_core::config::ServiceState;
use filbertpaddle_core::config::Setting;
use filbertpaddle_core::gossip::Action;
use filbertpaddle_core::gossip::Event;
use filbertpaddle_core::gossip::Message;
use filbertpaddle_core::name::Name;
use filbertpaddle_core::relay::Member;
use filbertpaddle_core::replica::Page;
use filbertpaddle_core::replicator::Replicator;
use filbertpaddle_core::replicator::TICK_INTERVAL_MS;
use filbertpaddle_core::revision::Revision;

/// The bound from acceptance to every reachable node.
const BOUND_MS: u64 = 6_000;

struct Net {
    nodes: BTreeMap<Name, Replicator>,
    members: Vec<Member>,
    log: Vec<Change>,
    now: Millis,
    pushes: usize,
    drop_pushes: bool,
    dead: Vec<Name>,
    /// Data centres that the table does not answer.
    table_cut: Vec<Name>,
    /// Data centres that no other one reaches.
    peers_cut: Vec<Name>,
    /// Audit rows up to here are no longer in the table.
    trimmed: Revision,
}

fn member(node: &str, data_centre: &str) -> Member {
    Member {
        node: node.into(),
        data_centre: data_centre.into(),
    }
}

fn change(revision: u64) -> Change {
    Change {
        revision: Revision(revision),
        id: ChangeId(revision),
        by: "operator".into(),
        at_ms: Millis::ZERO,
        setting: Setting::Vm {
            name: format!("vm-{}", revision % 400).into(),
            service: ServiceState::Out,
        },
    }
}

impl Net {
    fn new(data_centres: usize, nodes_each: usize) -> Self {
        let each = |index: usize| {
            let data_centre = format!("dc-{}", index % data_centres);
            member(&format!("node-{index}"), &data_centre)
        };
        let members: Vec<_> = (0..data_centres * nodes_each).map(each).collect();
        let mut net = Self {
            nodes: BTreeMap::new(),
            members: members.clone(),
            log: Vec::new(),
            now: Millis(1_000),
            pushes: 0,
            drop_pushes: false,
            dead: Vec::new(),
            table_cut: Vec::new(),
            peers_cut: Vec::new(),
            trimmed: Revision::ZERO,
        };
        members.into_iter().for_each(|member| net.add(member));
        net
    }

    fn add(&mut self, member: Member) {
        let mut replicator = Replicator::new(member.clone());
        replicator.on(self.now, Event::Members(self.members.clone()));
        self.nodes.insert(member.node, replicator);
    }

    fn data_centre(&self, node: &Name) -> Name {
        self.nodes[node].live_nodes().local().data_centre.clone()
    }

    fn is_reachable(&self, from: &Name, to: &Name) -> bool {
        let (here, there) = (self.data_centre(from), self.data_centre(to));
        let is_cut = |data_centre| self.peers_cut.contains(data_centre);
        !self.dead.contains(to) && (here == there || !(is_cut(&here) || is_cut(&there)))
    }

    fn accept(&mut self, through: &str) {
        let change = change(self.log.len() as u64 + 1);
        self.log.push(change.clone());
        self.deliver(&through.into(), Event::Accepted(change));
    }

    fn deliver(&mut self, node: &Name, event: Event) {
        let Some(replicator) = self.nodes.get_mut(node) else {
            return;
        };
        let actions = replicator.on(self.now, event);
        for action in actions {
            self.run(node, action);
        }
    }

    fn run(&mut self, node: &Name, action: Action) {
        match action {
            Action::Send { to, message } => self.send(node, &to, message),
            Action::Applied(_) => {}
            read => {
                let is_cut = self.table_cut.contains(&self.data_centre(node));
                let event = if is_cut {
                    Event::TableFailed
                } else {
                    self.read(read)
                };
                self.deliver(node, event);
            }
        }
    }

    fn send(&mut self, from: &Name, to: &Name, message: Message) {
        let is_push = matches!(message, Message::Push(_));
        self.pushes += usize::from(is_push);
        if !self.is_reachable(from, to) || (is_push && self.drop_pushes) {
            return;
        }
        let from = from.clone();
        self.deliver(to, Event::Message { from, message });
    }

    fn read(&self, read: Action) -> Event {
        match read {
            Action::ReadLog { after } => {
                let after = after.max(self.trimmed);
                let newer = self.log.iter().filter(|change| change.revision > after);
                Event::TableLog(newer.cloned().collect())
            }
            Action::ReadPage { head, after } => self.read_page(head, after),
            _ => Event::TableHead(Revision(self.log.len() as u64)),
        }
    }

    fn read_page(&self, head: Revision, after: Option<Key>) -> Event {
        const PAGE: usize = 100;
        let entries: BTreeMap<_, _> = self
            .log
            .iter()
            .map(|change| (change.setting.key(), change.clone()))
            .collect();
        let newer = entries
            .into_iter()
            .filter(|(key, _)| Some(key) > after.as_ref());
        let mut changes: Vec<_> = newer.map(|(_, change)| change).collect();
        let last = changes.len() <= PAGE;
        changes.truncate(PAGE);
        Event::TablePage(Page {
            head,
            changes,
            last,
        })
    }

    fn pass(&mut self, span_ms: u64) {
        let nodes: Vec<_> = self.nodes.keys().cloned().collect();
        for _ in 0..span_ms / TICK_INTERVAL_MS.0 {
            self.now = self.now + TICK_INTERVAL_MS;
            for node in nodes
                .iter()
                .filter(|node| !self.dead.contains(node))
                .cloned()
                .collect::<Vec<_>>()
            {
                self.deliver(&node, Event::Tick);
            }
        }
    }

    fn behind(&self) -> Vec<&Name> {
        let head = Revision(self.log.len() as u64);
        self.nodes
            .iter()
            .filter(|(node, _)| !self.dead.contains(node))
            .filter(|(_, replicator)| replicator.replica().head() < head)
            .map(|(node, _)| node)
            .collect()
    }

    fn relay_of(&self, data_centre: &str) -> Name {
        let any = &self.nodes["node-0"];
        any.live_nodes().ranked(&data_centre.into())[0].clone()
    }
}

#[test]
fn a_push_reaches_each_node_about_once() {
    let mut net = Net::new(12, 62);
    net.pass(2_000);
    net.pushes = 0;
    net.accept("node-5");
    assert!(net.behind().is_empty());
    println!("pushes to {} nodes: {}", net.nodes.len(), net.pushes);
    assert!(net.pushes <= net.nodes.len() + 2);
}

#[test]
fn lost_pushes_are_made_good_within_the_bound() {
    let mut net = Net::new(3, 20);
    net.pass(2_000);
    net.drop_pushes = true;
    net.accept("node-5");
    net.pass(BOUND_MS);
    assert!(net.behind().is_empty());
}

#[test]
fn a_dead_relay_is_passed_over_within_the_bound() {
    let mut net = Net::new(3, 20);
    net.pass(2_000);
    net.dead.push(net.relay_of("dc-1"));
    net.accept("node-0");
    net.pass(BOUND_MS);
    assert!(net.behind().is_empty(), "{:?}", net.behind());
}

#[test]
fn a_data_centre_without_the_table_learns_from_its_peers() {
    let mut net = Net::new(3, 20);
    net.pass(2_000);
    net.table_cut.push("dc-1".into());
    net.drop_pushes = true;
    net.accept("node-0");
    net.pass(BOUND_MS);
    assert!(net.behind().is_empty(), "{:?}", net.behind());
}

#[test]
fn a_cut_off_data_centre_catches_up_when_it_rejoins() {
    let mut net = Net::new(3, 5);
    net.pass(2_000);
    net.table_cut.push("dc-1".into());
    net.peers_cut.push("dc-1".into());
    (0..1_000).for_each(|_| net.accept("node-0"));
    net.pass(20_000);
    assert_eq!(net.behind().len(), 5);
    let cut_off = &net.nodes[&net.relay_of("dc-1")];
    assert!(cut_off.replica().current_at() < Some(Millis(net.now.0 - 15_000)));
    assert!(cut_off.is_ready());
    net.peers_cut.clear();
    net.pass(15_000);
    assert!(net.behind().is_empty(), "{:?}", net.behind());
}

#[test]
fn a_restarted_node_starts_from_its_peers_while_the_table_is_out() {
    let mut net = Net::new(3, 5);
    net.pass(2_000);
    (0..1_000).for_each(|_| net.accept("node-0"));
    net.pass(3_000);
    net.table_cut = vec!["dc-0".into(), "dc-1".into(), "dc-2".into()];
    net.pass(60_000);
    net.add(member("node-4", "dc-1"));
    assert!(!net.nodes["node-4"].is_ready());
    net.pass(BOUND_MS);
    let restarted = &net.nodes["node-4"];
    assert!(restarted.is_ready());
    assert_eq!(restarted.replica().head(), Revision(1_000));
    // It knows that what it has may be old.
    assert!(restarted.replica().current_at() < Some(Millis(net.now.0 - 50_000)));
}

#[test]
fn a_trimmed_log_is_made_good_by_entries() {
    let mut net = Net::new(1, 1);
    net.log = (1..=5).map(change).collect();
    net.trimmed = Revision(3);
    net.pass(BOUND_MS);
    assert!(net.nodes["node-0"].is_ready());
    assert!(net.behind().is_empty());
}

#[test]
fn a_node_with_nothing_to_learn_from_is_not_ready() {
    let mut net = Net::new(1, 1);
    net.table_cut.push("dc-0".into());
    net.pass(60_000);
    assert!(!net.nodes["node-0"].is_ready());
}

#[test]
fn a_node_is_not_ready_from_a_push_alone() {
    let mut net = Net::new(1, 1);
    net.table_cut.push("dc-0".into());
    let message = Message::Push(change(1));
    let from = "elsewhere".into();
    net.deliver(&"node-0".into(), Event::Message { from, message });
    assert!(!net.nodes["node-0"].is_ready());
}

#[test]
fn the_relay_reports_its_data_centre() {
    let mut net = Net::new(2, 3);
    net.pass(4_000);
    net.accept("node-0");
    net.pass(4_000);
    let relay = net.relay_of("dc-1");
    let nodes = net.nodes[&relay].status(net.now);
    assert_eq!(nodes.len(), 3);
    assert!(nodes.iter().all(|node| node.head == Some(Revision(1))));
}

//! Replication of configuration changes between nodes of a simulated network.

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

/// Maximum time from the acceptance of a change to its application on every
/// reachable node.
const CONVERGENCE_BOUND_MS: u64 = 6_000;

struct Network {
    nodes: BTreeMap<Name, Replicator>,
    members: Vec<Member>,
    log: Vec<Change>,
    now: Millis,
    pushes: usize,
    drop_pushes: bool,
    dead: Vec<Name>,
    /// Data centres that cannot reach the table.
    cut_from_table: Vec<Name>,
    /// Data centres that are cut off from the others.
    cut_from_peers: Vec<Name>,
    /// Nodes that reach only those of their data centre; their reads of the table get no answer.
    confined: Vec<Name>,
    /// Audit rows up to this revision are no longer in the table.
    trimmed_up_to: Revision,
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

impl Network {
    fn new(data_centres: usize, nodes_each: usize) -> Self {
        let each = |index: usize| {
            let data_centre = format!("dc-{}", index % data_centres);
            member(&format!("node-{index}"), &data_centre)
        };
        let members: Vec<_> = (0..data_centres * nodes_each).map(each).collect();
        let mut network = Self {
            nodes: BTreeMap::new(),
            members: members.clone(),
            log: Vec::new(),
            now: Millis(1_000),
            pushes: 0,
            drop_pushes: false,
            dead: Vec::new(),
            cut_from_table: Vec::new(),
            cut_from_peers: Vec::new(),
            confined: Vec::new(),
            trimmed_up_to: Revision::ZERO,
        };
        members.into_iter().for_each(|member| network.add(member));
        network
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
        let is_cut = |data_centre| self.cut_from_peers.contains(data_centre);
        let is_confined = self.confined.contains(from) || self.confined.contains(to);
        let is_open = !(is_cut(&here) || is_cut(&there) || is_confined);
        !self.dead.contains(to) && (here == there || is_open)
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
            _ if self.confined.contains(node) => {}
            read => {
                let is_cut = self.cut_from_table.contains(&self.data_centre(node));
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
                let after = after.max(self.trimmed_up_to);
                let newer = self.log.iter().filter(|change| change.revision > after);
                Event::TableLog(newer.cloned().collect())
            }
            Action::ReadPage { head, after } => self.read_page(head, after),
            _ => Event::TableHead(Revision(self.log.len() as u64)),
        }
    }

    fn read_page(&self, head: Revision, after: Option<Key>) -> Event {
        const PAGE_ROWS: usize = 100;
        let entries: BTreeMap<_, _> = self
            .log
            .iter()
            .map(|change| (change.setting.key(), change.clone()))
            .collect();
        let newer = entries
            .into_iter()
            .filter(|(key, _)| Some(key) > after.as_ref());
        let mut changes: Vec<_> = newer.map(|(_, change)| change).collect();
        let last = changes.len() <= PAGE_ROWS;
        changes.truncate(PAGE_ROWS);
        Event::TablePage(Page {
            head,
            changes,
            last,
        })
    }

    fn advance(&mut self, duration_ms: u64) {
        let nodes: Vec<_> = self.nodes.keys().cloned().collect();
        for _ in 0..duration_ms / TICK_INTERVAL_MS.0 {
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

    fn nodes_behind(&self) -> Vec<&Name> {
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
fn a_push_reaches_every_node_with_few_duplicates() {
    let mut network = Network::new(12, 62);
    network.advance(2_000);
    network.pushes = 0;
    network.accept("node-5");
    assert!(network.nodes_behind().is_empty());
    println!(
        "pushes to {} nodes: {}",
        network.nodes.len(),
        network.pushes
    );
    assert!(network.pushes <= network.nodes.len() + 2);
}

#[test]
fn lost_pushes_are_recovered_within_the_bound() {
    let mut network = Network::new(3, 20);
    network.advance(2_000);
    network.drop_pushes = true;
    network.accept("node-5");
    network.advance(CONVERGENCE_BOUND_MS);
    assert!(network.nodes_behind().is_empty());
}

#[test]
fn a_dead_relay_is_bypassed_within_the_bound() {
    let mut network = Network::new(3, 20);
    network.advance(2_000);
    network.dead.push(network.relay_of("dc-1"));
    network.accept("node-0");
    network.advance(CONVERGENCE_BOUND_MS);
    assert!(
        network.nodes_behind().is_empty(),
        "{:?}",
        network.nodes_behind()
    );
}

// At the users' platform, the followers of a node that was cut off like this kept an old
// configuration for longer than the bound.
#[test]
fn a_relay_that_reaches_only_its_members_is_bypassed_within_the_bound() {
    for cut_after_ms in (0..3_000).step_by(250) {
        let mut network = Network::new(3, 20);
        network.advance(2_000 + cut_after_ms);
        let relay = network.relay_of("dc-1");
        network.confined.push(relay.clone());
        network.accept("node-0");
        network.advance(CONVERGENCE_BOUND_MS);
        let mut behind = network.nodes_behind();
        behind.retain(|node| **node != relay);
        assert!(behind.is_empty(), "cut after {cut_after_ms} ms: {behind:?}");
    }
}

#[test]
fn a_data_centre_cut_off_from_the_table_pulls_from_its_peers() {
    let mut network = Network::new(3, 20);
    network.advance(2_000);
    network.cut_from_table.push("dc-1".into());
    network.drop_pushes = true;
    network.accept("node-0");
    network.advance(CONVERGENCE_BOUND_MS);
    assert!(
        network.nodes_behind().is_empty(),
        "{:?}",
        network.nodes_behind()
    );
}

#[test]
fn a_cut_off_data_centre_catches_up_when_it_rejoins() {
    let mut network = Network::new(3, 5);
    network.advance(2_000);
    network.cut_from_table.push("dc-1".into());
    network.cut_from_peers.push("dc-1".into());
    (0..1_000).for_each(|_| network.accept("node-0"));
    network.advance(20_000);
    assert_eq!(network.nodes_behind().len(), 5);
    let cut_off = &network.nodes[&network.relay_of("dc-1")];
    assert!(cut_off.replica().current_at() < Some(Millis(network.now.0 - 15_000)));
    assert!(cut_off.is_ready());
    network.cut_from_peers.clear();
    network.advance(15_000);
    assert!(
        network.nodes_behind().is_empty(),
        "{:?}",
        network.nodes_behind()
    );
}

#[test]
fn a_restarted_node_loads_from_its_peers_while_the_table_is_unavailable() {
    let mut network = Network::new(3, 5);
    network.advance(2_000);
    (0..1_000).for_each(|_| network.accept("node-0"));
    network.advance(3_000);
    network.cut_from_table = vec!["dc-0".into(), "dc-1".into(), "dc-2".into()];
    network.advance(60_000);
    network.add(member("node-4", "dc-1"));
    assert!(!network.nodes["node-4"].is_ready());
    network.advance(CONVERGENCE_BOUND_MS);
    let restarted = &network.nodes["node-4"];
    assert!(restarted.is_ready());
    assert_eq!(restarted.replica().head(), Revision(1_000));
    // It reports that its configuration may be outdated.
    assert!(restarted.replica().current_at() < Some(Millis(network.now.0 - 50_000)));
}

#[test]
fn a_trimmed_log_is_replaced_by_a_transfer_of_entries() {
    let mut network = Network::new(1, 1);
    network.log = (1..=5).map(change).collect();
    network.trimmed_up_to = Revision(3);
    network.advance(CONVERGENCE_BOUND_MS);
    assert!(network.nodes["node-0"].is_ready());
    assert!(network.nodes_behind().is_empty());
}

#[test]
fn a_node_without_table_and_peers_is_not_ready() {
    let mut network = Network::new(1, 1);
    network.cut_from_table.push("dc-0".into());
    network.advance(60_000);
    assert!(!network.nodes["node-0"].is_ready());
}

#[test]
fn a_push_alone_does_not_make_a_node_ready() {
    let mut network = Network::new(1, 1);
    network.cut_from_table.push("dc-0".into());
    let message = Message::Push(change(1));
    let from = "elsewhere".into();
    network.deliver(&"node-0".into(), Event::Message { from, message });
    assert!(!network.nodes["node-0"].is_ready());
}

#[test]
fn a_relay_reports_the_status_of_its_data_centre() {
    let mut network = Network::new(2, 3);
    network.advance(4_000);
    network.accept("node-0");
    network.advance(4_000);
    let relay = network.relay_of("dc-1");
    let nodes = network.nodes[&relay].status(network.now);
    assert_eq!(nodes.len(), 3);
    assert!(nodes.iter().all(|node| node.head == Some(Revision(1))));
}

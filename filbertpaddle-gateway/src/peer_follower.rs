//! Receives the store's tables from another node instead of the store.
//!
//! A node that is no reader follows a reader of its data centre. A reader that cannot
//! read the store follows any node that can. The followed node sends changes, and at
//! intervals the age of its data; the follower sends the load that it has placed on
//! targets.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::name::Name;
use filbertpaddle_forward::change::Table;
use filbertpaddle_forward::load_table;
use filbertpaddle_forward::load_table::LoadByTarget;
use filbertpaddle_forward::remote_clock::RemoteClock;
use filbertpaddle_forward::speed_table::SpeedPart;
use filbertpaddle_forward::speed_table::SpeedTable;
use filbertpaddle_forward::store_reading::FollowedPeer;
use rand::seq::IndexedRandom;
use slog::debug;
use slog::info;
use tokio::time::Instant;
use tokio::time::interval;
use tokio::time::sleep;
use tokio::time::sleep_until;

use crate::load_exchange::update_other_load;
use crate::peer_link::Error;
use crate::peer_link::PUBLISH_INTERVAL;
use crate::peer_link::PeerLink;
use crate::peer_link::SILENCE_TIMEOUT;
use crate::peer_link::merge_findings;
use crate::peer_message::Message;
use crate::state::State;
use crate::store_sync::REGISTRATION_CHECK_INTERVAL;

const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which the followed node is asked for its clock.
const CLOCK_INTERVAL: Duration = Duration::from_secs(1);

/// Follows another node whenever this one needs to, for as long as it runs.
pub async fn run(state: Rc<State>) {
    wait_for_node_list(&state).await;
    let mut pause = Duration::ZERO;
    loop {
        sleep(pause).await;
        pause = CHECK_INTERVAL;
        let is_reader = state.is_reader();
        if is_reader && !state.directory.borrow().is_store_lost() {
            continue;
        }
        let Some((name, address)) = pick_peer(&state, is_reader) else {
            continue;
        };
        let result = follow_peer(&state, address).await;
        state.set_followed_peer(FollowedPeer::default());
        state.merge_speeds(|table, _| SpeedTable::clear_followed(table));
        info!(state.log, "stopped following a node";
            "peer" => %address, "reason" => result.as_ref().err().map(ToString::to_string));
        let Err(error) = result else {
            continue;
        };
        if let Some(name) = name {
            exclude(&state, &name, &error);
            if !state.has_data() {
                // The node that reads instead is known already.
                pause = Duration::ZERO;
            }
        }
        state.record_turned_away();
        // This node may have to read the store now.
        state.notify();
    }
}

/// Waits until this node has read the list of nodes, or long enough to follow a seed instead.
async fn wait_for_node_list(state: &State) {
    let deadline = Instant::now() + CHECK_INTERVAL;
    while !state.is_registered.get() && Instant::now() < deadline {
        sleep(REGISTRATION_CHECK_INTERVAL).await;
    }
}

/// Excludes a node that could not be followed for a while.
fn exclude(state: &State, name: &Name, error: &Error) {
    let now = state.clock.now();
    let mut nodes = state.nodes.borrow_mut();
    match error {
        Error::TooOld => nodes.mark_outdated(now, name),
        _ => nodes.mark_unresponsive(now, name),
    }
}

/// Clock of the followed node.
#[derive(Clone, Copy, Debug)]
struct PeerClock {
    /// Time before the first message of this link was sent.
    dialled_ms: Millis,
    clock: RemoteClock,
    /// Whether the node states its clock. One of an earlier build does not.
    is_stated: bool,
}

impl PeerClock {
    fn new(dialled_ms: Millis) -> Self {
        Self {
            dialled_ms,
            clock: RemoteClock::default(),
            is_stated: false,
        }
    }

    /// Records the response to a request for the node's clock.
    fn record(&mut self, requested_ms: Millis, now: Millis, clock_ms: Millis) {
        self.clock.record(requested_ms, now, clock_ms);
    }

    /// Returns the latest time at which a message that states the node's clock was sent for
    /// certain: it may have been under way for any time.
    fn sent_ms(&mut self, now: Millis, clock_ms: Option<Millis>) -> Millis {
        let Some(clock_ms) = clock_ms else {
            return now;
        };
        self.is_stated = true;
        self.clock.record(self.dialled_ms, now, clock_ms);
        self.clock.local_ms(clock_ms).min(now)
    }
}

async fn follow_peer(state: &State, address: SocketAddr) -> Result<(), Error> {
    let mut clock = PeerClock::new(state.clock.now());
    let mut link = PeerLink::dial(state, address, false).await?;
    info!(state.log, "following a node";
        "peer" => %address, "is_reader" => state.is_reader(),
        "age_ms" => state.data_age_ms(Table::Targets).0);
    state.metrics.count("peer.followed");
    let mut load = LoadByTarget::new();
    let mut publish_timer = interval(PUBLISH_INTERVAL);
    let mut clock_timer = interval(CLOCK_INTERVAL);
    let mut last_received = Instant::now();
    loop {
        tokio::select! {
            _ = clock_timer.tick(), if clock.is_stated => {
                let sent_ms = state.clock.now();
                link.send(&Message::ClockRequest { sent_ms }).await?;
            }
            _ = publish_timer.tick() => {
                let own = state.published_load();
                link.publish(state, own).await?;
                link.publish_speeds(state, SpeedPart::Own).await?;
                link.publish_counts(state).await?;
            }
            () = sleep_until(last_received + SILENCE_TIMEOUT) => return Err(Error::Timeout),
            message = link.receive() => {
                last_received = Instant::now();
                match message? {
                    Message::Work(changes) => {
                        load_table::apply_changes(&mut load, &changes);
                        update_other_load(state, &load, link.published_load());
                    }
                    Message::Speeds(sent) => {
                        state.merge_speeds(|table, now| table.update_followed(now, &sent));
                    }
                    message => apply_message(state, &mut clock, message)?,
                }
            }
        }
        if !should_follow(state, address) {
            return Ok(());
        }
    }
}

/// Returns whether to keep following the node at `address`.
fn should_follow(state: &State, address: SocketAddr) -> bool {
    if state.is_reader() {
        return state.directory.borrow().is_store_lost();
    }
    let now = state.clock.now();
    let nodes = state.nodes.borrow();
    let readers = nodes.readers(now, &state.settings.data_centre);
    !state.is_registered.get()
        || readers.is_empty()
        || readers.iter().any(|node| node.peers == address)
}

fn before(at_ms: Millis, age_ms: Millis) -> Millis {
    Millis(at_ms.0.saturating_sub(age_ms.0))
}

/// Applies a message from the followed node.
fn apply_message(state: &State, clock: &mut PeerClock, message: Message) -> Result<(), Error> {
    let now = state.clock.now();
    match message {
        Message::Clock {
            requested_ms,
            clock_ms,
        } => clock.record(requested_ms, now, clock_ms),
        Message::Table {
            age_ms,
            clock_ms,
            batch,
            ..
        } => {
            let as_of_ms = before(clock.sent_ms(now, clock_ms), age_ms);
            state.apply("peer", as_of_ms, &batch);
        }
        Message::Ages(ages) => {
            state.record_peer_ages(&ages);
            let sent_ms = clock.sent_ms(now, ages.clock_ms);
            let max_age_ms = state.age_limits().max_age_ms;
            let is_behind = ages.era < state.directory.borrow().era();
            let age_ms = now.since(sent_ms) + ages.operator_ms.max(ages.targets_ms);
            let is_old = is_behind || age_ms > max_age_ms;
            if is_old && state.is_reader() {
                return Err(Error::TooOld);
            }
            let mut directory = state.directory.borrow_mut();
            directory.record_current(Table::Operator, before(sent_ms, ages.operator_ms));
            directory.record_current(Table::Targets, before(sent_ms, ages.targets_ms));
            drop(directory);
            let status = FollowedPeer {
                is_up: true,
                is_store_lost: ages.is_store_lost || is_old,
            };
            if state.followed_peer.get() != status {
                info!(state.log, "status of followed node changed";
                    "is_store_lost" => status.is_store_lost,
                    "operator_age_ms" => ages.operator_ms.0, "targets_age_ms" => ages.targets_ms.0,
                    "under_way_ms" => now.since(sent_ms).0);
            }
            if status.is_store_lost {
                state.record_turned_away();
            }
            state.set_followed_peer(status);
        }
        Message::Nodes(list) => {
            // Expired entries are removed by the nodes that read the store.
            state.update_nodes(list);
        }
        message => {
            if let Some(message) = merge_findings(state, message) {
                debug!(state.log, "unexpected message from followed node ignored";
                    "message" => ?message);
            }
        }
    }
    Ok(())
}

/// Picks a node to follow: a reader of this data centre, or any node if this one is
/// itself a reader that cannot read. If none is known, picks a seed.
fn pick_peer(state: &State, is_reader: bool) -> Option<(Option<Name>, SocketAddr)> {
    let settings = &state.settings;
    let now = state.clock.now();
    let nodes = state.nodes.borrow();
    let mut known = if is_reader {
        nodes.live().iter().collect()
    } else {
        nodes.readers(now, &settings.data_centre)
    };
    known.retain(|node| node.name != settings.node);
    let is_list_known = !known.is_empty();
    known.retain(|node| !nodes.is_unresponsive(now, &node.name));
    let mut rng = rand::rng();
    if let Some(node) = known.choose(&mut rng) {
        return Some((Some(node.name.clone()), node.peers));
    }
    if is_list_known {
        return None;
    }
    let reloadable = state.reloadable.borrow();
    let seeds: Vec<_> = reloadable
        .seeds
        .iter()
        .filter(|seed| **seed != settings.peers)
        .collect();
    seeds.choose(&mut rng).map(|seed| (None, **seed))
}

//! Order in which the requests of a service that wait at a node are given room, and when waiting
//! serves them.
//!
//! Load pattern: more requests arrive than find room, at many nodes. Room goes to the first in
//! the order that fits, not to whichever looks first; nodes that see the same room take it
//! with a chance that their number shares; a request that cannot be in time is refused at once.

use filbertpaddle_core::clock::Millis;

use crate::level_arrivals::ARRIVAL_WINDOW_MS;
use crate::level_load::LevelLoads;

/// Interval in which each waiting request looks for room once.
pub const ROUND_MS: Millis = Millis(25);
/// Waiting time after which a request counts as one level more urgent.
const AGEING_MS: Millis = Millis(400);
/// Part of the latency goal for which a request may wait for room.
const WAIT_GOAL_DIVISOR: u64 = 4;
/// Time after which other nodes know that room is taken.
const LOAD_DELAY_MS: Millis = Millis(100);

/// Place of a request in a [`WaitingLine`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Place(u64);

/// Requests of one service that wait at one node.
#[derive(Clone, Debug, Default)]
pub struct WaitingLine {
    waiting: Vec<Waiting>,
    joined: u64,
}

#[derive(Clone, Copy, Debug)]
struct Waiting {
    place: Place,
    level: u8,
    is_returning: bool,
    since_ms: Millis,
    /// Last round in which it looked for room.
    looked_in: Option<u64>,
}

impl Waiting {
    /// Returns the key by which requests are served, the lowest first.
    fn order(&self, now: Millis) -> (u64, bool, u64) {
        let aged = now.since(self.since_ms).0 / AGEING_MS.0;
        let level = u64::from(self.level).saturating_sub(aged);
        (level, !self.is_returning, self.place.0)
    }
}

impl WaitingLine {
    /// Creates a line without requests.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Adds a request; `is_returning` is whether its caller has waited after a refusal.
    pub fn join(&mut self, now: Millis, level: u8, is_returning: bool) -> Place {
        let place = Place(self.joined);
        self.joined += 1;
        self.waiting.push(Waiting {
            place,
            level,
            is_returning,
            since_ms: now,
            looked_in: None,
        });
        place
    }

    /// Removes a request that has found room or no longer waits.
    pub fn leave(&mut self, place: Place) {
        self.waiting.retain(|waiting| waiting.place != place);
    }

    /// Returns whether a request may look for room now, and records that it does: once in a
    /// round, after all requests before it have looked.
    pub fn look(&mut self, now: Millis, place: Place) -> bool {
        let round = now.0 / ROUND_MS.0;
        let own = self.waiting.iter().position(|own| own.place == place);
        let Some(own) = own.filter(|own| self.waiting[*own].looked_in != Some(round)) else {
            return false;
        };
        let order = self.waiting[own].order(now);
        let mut before = self.waiting.iter().filter(|other| other.order(now) < order);
        if before.any(|other| other.looked_in != Some(round)) {
            return false;
        }
        self.waiting[own].looked_in = Some(round);
        true
    }
}

/// Returns how long a request may wait for room.
pub fn max_wait_ms(latency_goal_ms: Millis) -> Millis {
    Millis(latency_goal_ms.0 / WAIT_GOAL_DIVISOR)
}

/// Returns the time until a request of `level` that begins to wait is expected to find room, by
/// what waits before it at all nodes and by how much found room lately; `None` if nothing did.
pub fn expected_wait_ms(service: &LevelLoads, level: u8) -> Option<Millis> {
    let before = service.sum(|other| other <= level);
    let waiting = u64::from(before.waiting);
    if waiting == 0 {
        return Some(Millis::ZERO);
    }
    let wait_ms = (waiting * ARRIVAL_WINDOW_MS.0).checked_div(u64::from(before.placed));
    wait_ms.map(Millis)
}

/// Returns the chance with which a request of `level` takes room that it sees at `targets`
/// targets: all that wait before or beside it, at all nodes, see the same, in each round until
/// they know that it is taken.
pub fn take_chance(service: &LevelLoads, level: u8, targets: usize) -> f64 {
    let waiting = service.sum(|other| other <= level).waiting;
    if waiting <= 1 {
        return 1.0;
    }
    let rounds = LOAD_DELAY_MS.0 as f64 / ROUND_MS.0 as f64;
    (targets as f64 / (f64::from(waiting) * rounds)).min(1.0)
}

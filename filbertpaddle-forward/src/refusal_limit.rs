//! Targets that crash if they have to refuse too many requests in a second for want of room.
//!
//! Load pattern: callers press beyond the places of such targets, at all nodes at once. Each node
//! finds a target full by asking it, and each caller's next attempt asks again: the refusals of
//! all nodes add up.
//!
//! Nodes divide the places of a brittle target, and each keeps to its share. If there are more
//! nodes than places, each has one in some slices of time. After a refusal a node pauses for so
//! long that the nodes together stay below what the target states.
//!
//! Places that others leave free are not used: in simulations the refusals that this costs, and
//! the pauses after them, leave more places empty than it fills.

use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::name::Name;
use indexmap::IndexMap;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::cold_limit;
use crate::target::Target;

/// Length of the slices of time in which a node may have a place, if there are too few for all.
const SLICE_MS: u64 = 500;
/// Part of the places that are given to nodes at a time, if there are too few for all. Slices of
/// different nodes overlap.
const DRAWN_SHARE: f64 = 0.6;
/// Shortest pause after a refusal.
const MIN_PAUSE_MS: f64 = 500.0;
/// Longest pause. A node that pauses at all targets of a service does not learn from them that
/// they are sound again.
const MAX_PAUSE_MS: f64 = 10_000.0;
/// Part of the stated refusals that nodes use up.
const USED_SHARE: f64 = 0.5;

/// What targets state about refusals, and how this node has fared at each.
#[derive(Clone, Debug, Default)]
pub struct BrittleTargets {
    services: IndexMap<Name, Statement>,
    /// Time until which this node pauses, by target.
    paused_until_ms: IndexMap<Name, Millis>,
}

#[derive(Clone, Copy, Debug)]
struct Statement {
    /// Refusals per second that each target of the service bears.
    per_sec: f64,
    at_ms: Millis,
}

impl BrittleTargets {
    /// Creates an empty set.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that a target of a service states how many requests a second it can refuse;
    /// returns whether that is new.
    pub fn record_stated(&mut self, now: Millis, service: &Name, per_sec: f64) -> bool {
        let statement = Statement {
            per_sec,
            at_ms: now,
        };
        let former = self.services.insert(service.clone(), statement);
        former.is_none_or(|former| former.per_sec != per_sec)
    }

    /// Records that the response to a request that was sent at `sent_ms` states nothing; returns
    /// whether that ends a statement.
    pub fn record_none(&mut self, service: &Name, sent_ms: Millis) -> bool {
        let is_over = self
            .services
            .get(service)
            .is_some_and(|statement| sent_ms > statement.at_ms);
        if is_over {
            self.services.swap_remove(service);
        }
        is_over
    }

    /// Returns the refusals per second that targets of a service state.
    pub fn per_sec(&self, service: &str) -> Option<f64> {
        Some(self.services.get(service)?.per_sec)
    }

    /// Records that a target refused a request of one of `nodes` nodes; returns the time until
    /// which this node sends it none.
    pub fn record_refused(&mut self, now: Millis, target: &Target, nodes: usize) -> Millis {
        let Some(statement) = self.services.get(&target.service) else {
            return now;
        };
        let per_sec = (statement.per_sec * USED_SHARE).max(f64::MIN_POSITIVE);
        let pause_ms = nodes.max(1) as f64 * 1_000.0 / per_sec;
        let until_ms = now + Millis(pause_ms.clamp(MIN_PAUSE_MS, MAX_PAUSE_MS) as u64);
        self.paused_until_ms.insert(target.id.clone(), until_ms);
        until_ms
    }

    /// Returns whether `node`, of which `own` requests run at a target, may send it one more.
    pub fn has_place(
        &self,
        now: Millis,
        target: &Target,
        own: u32,
        node: &Name,
        nodes: &[Name],
    ) -> bool {
        if !self.services.contains_key(&target.service) {
            return true;
        }
        let paused_until_ms = self.paused_until_ms.get(&target.id);
        paused_until_ms.is_none_or(|until_ms| now >= *until_ms)
            && (own as usize) < share(now, target, node, nodes)
    }

    /// Drops what is known of targets that `is_listed` does not hold for.
    pub fn retain_listed<F>(&mut self, is_listed: F)
    where
        F: Fn(&str) -> bool,
    {
        self.paused_until_ms.retain(|id, _| is_listed(id));
    }
}

/// Returns how many of a target's places are `node`'s.
fn share(now: Millis, target: &Target, node: &Name, nodes: &[Name]) -> usize {
    let places = target.slots as usize;
    if nodes.len() <= places {
        return cold_limit::node_share(&target.id, f64::from(target.slots), node, nodes);
    }
    let seed = xxh3_64_with_seed(target.id.as_bytes(), now.0 / SLICE_MS);
    let drawn = xxh3_64_with_seed(node.as_bytes(), seed) % nodes.len() as u64;
    usize::from((drawn as f64) < places as f64 * DRAWN_SHARE)
}

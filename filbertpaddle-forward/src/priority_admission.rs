//! Admission of generations by priority.
//!
//! Load pattern: bursts of long generations of low priority fill the memory and the prompt time
//! of all targets while short ones of high priority, with a tighter goal, arrive all the time.
//! Engines process more urgent prompts first, so only those of a request's own or a more urgent
//! level are ahead of it. Less urgent requests leave room at the targets for the more urgent
//! ones that arrive at the service, as far as these need it; more urgent ones leave a
//! minimum to the less urgent.

use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::name::Name;
use xxhash_rust::xxh3::xxh3_64;

use crate::admission;
use crate::admission::Claim;
use crate::admission::PrefillRate;
use crate::configuration::Engine;
use crate::directory::Directory;
use crate::level_arrivals::ARRIVAL_WINDOW_MS;
use crate::level_arrivals::service_key;
use crate::level_load::LevelLoad;
use crate::level_load::LevelLoads;
use crate::load_table::TargetLoad;
use crate::request_demand::RequestDemand;
use crate::target_selector::TargetSelector;

/// Largest part of a target's memory and slots that is kept free for more urgent requests.
const MAX_MORE_URGENT_SHARE: f64 = 0.4;
/// Part of the targets' memory and slots that less urgent requests keep under any load.
const MIN_LESS_URGENT_SHARE: f64 = 0.1;
/// Largest part of a target's time for prompts that more urgent requests are assumed to take.
const MAX_MORE_URGENT_TIME_SHARE: f64 = 0.5;
/// Standard deviations of the number of running requests that the room kept for a level covers.
const DEVIATIONS: f64 = 3.0;

/// Room at the targets of a service that a request leaves to other requests.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct KeptRoom {
    more_urgent: LevelNeed,
    less_urgent: LevelNeed,
    /// Prompt tokens of more urgent requests that arrive in a second for each target.
    more_urgent_prompt_tokens_per_sec: f64,
}

/// Room that the requests of a group of levels need.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct LevelNeed {
    /// Number of requests at every target.
    requests: u32,
    /// Hash of its ID below which a target has room for one more.
    one_more_below: u64,
    /// Typical memory, in tokens, of one request.
    tokens: u32,
}

/// Room at one target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct TargetRoom {
    requests: u32,
    tokens: u64,
}

impl LevelNeed {
    /// Returns the need of the levels that `is_included` accepts, by recent arrivals and by
    /// what runs at the targets, whose IDs have the sorted `hashes`.
    fn new<F>(arrived: &LevelLoads, running: &LevelLoads, hashes: &[u64], is_included: F) -> Self
    where
        F: Fn(u8) -> bool,
    {
        let recent = arrived.sum(&is_included);
        if recent.requests == 0 || hashes.is_empty() {
            return Self::default();
        }
        let running = f64::from(running.sum(&is_included).requests);
        let needed = (running + DEVIATIONS * (running + 1.0).sqrt()).ceil() as usize;
        Self {
            requests: u32::try_from(needed / hashes.len()).unwrap_or(u32::MAX),
            one_more_below: hashes[needed % hashes.len()],
            tokens: typical_tokens(&recent),
        }
    }

    /// Returns the part of the need that one target covers, within `max_share` of it.
    ///
    /// Where the need is not a whole number for each target, the same targets have one more at
    /// all nodes.
    fn at_target(&self, hash: u64, engine: &Engine, max_share: f64) -> TargetRoom {
        if self.tokens == 0 {
            return TargetRoom::default();
        }
        let by_memory = f64::from(engine.memory_tokens) / f64::from(self.tokens);
        let most = max_share * by_memory.min(f64::from(engine.slots));
        let one_more = u32::from(hash < self.one_more_below);
        // One request that is larger than the share still finds room.
        let requests = (self.requests + one_more).min((most as u32).max(1));
        TargetRoom {
            requests,
            tokens: u64::from(requests) * u64::from(self.tokens),
        }
    }
}

impl TargetRoom {
    /// Returns the part of this room that is still free beside `running`.
    fn left_beside(self, running: &LevelLoad) -> Self {
        Self {
            requests: self.requests.saturating_sub(running.requests),
            tokens: self.tokens.saturating_sub(running.tokens),
        }
    }

    fn add(&mut self, other: Self) {
        self.requests += other.requests;
        self.tokens += other.tokens;
    }
}

impl KeptRoom {
    /// Returns the room that requests of `level` leave to others, by the service's recent
    /// arrivals at all nodes and by what runs at its targets, whose IDs have the sorted `hashes`.
    fn new(level: u8, arrived: &LevelLoads, running: &LevelLoads, hashes: &[u64]) -> Self {
        let is_more_urgent = |other| other < level;
        let is_less_urgent = |other| other > level;
        let window_sec = ARRIVAL_WINDOW_MS.0 as f64 / 1_000.0;
        let prompt_tokens = arrived.sum(is_more_urgent).prompt_tokens as f64;
        let targets = hashes.len().max(1) as f64;
        Self {
            more_urgent: LevelNeed::new(arrived, running, hashes, is_more_urgent),
            less_urgent: LevelNeed::new(arrived, running, hashes, is_less_urgent),
            more_urgent_prompt_tokens_per_sec: prompt_tokens / window_sec / targets,
        }
    }

    /// Returns what of a target with `load` a request of `level` leaves free.
    fn at_target(&self, hash: u64, engine: &Engine, load: &TargetLoad, level: u8) -> TargetRoom {
        let more_urgent = load.levels.sum(|other| other < level);
        let less_urgent = load.levels.sum(|other| other > level);
        let mut kept = self
            .more_urgent
            .at_target(hash, engine, MAX_MORE_URGENT_SHARE)
            .left_beside(&more_urgent);
        let minimum = self
            .less_urgent
            .at_target(hash, engine, MIN_LESS_URGENT_SHARE);
        kept.add(minimum.left_beside(&less_urgent));
        kept
    }

    /// Returns the part of a target's time for prompts that more urgent requests take.
    fn more_urgent_time_share(&self, prefill: &PrefillRate) -> f64 {
        let us_per_sec = self.more_urgent_prompt_tokens_per_sec * prefill.us_per_token();
        (us_per_sec / 1e6).min(MAX_MORE_URGENT_TIME_SHARE)
    }
}

/// Returns whether a target with a load has room for a request of `level`, so that its first
/// event is in time and other levels find the room that they need.
///
/// A target that runs nothing has room for any request.
pub fn has_room(
    id: &Name,
    load: &TargetLoad,
    engine: &Engine,
    level: u8,
    demand: &RequestDemand,
    prefill: &PrefillRate,
) -> bool {
    if load.running == 0 {
        return true;
    }
    let ahead_tokens = load.prompt_tokens_ahead_of(Some(level));
    let prompt_tokens = ahead_tokens + u64::from(demand.prompt_tokens);
    let own_time_share = 1.0 - demand.kept.more_urgent_time_share(prefill);
    let expected_ms = prefill.expected_ms(prompt_tokens).0 as f64 / own_time_share;
    if ahead_tokens > 0 && expected_ms > demand.max_prefill_ms.0 as f64 {
        return false;
    }
    // What a started generation has made would be lost.
    let kept = match demand.claim {
        Claim::Started => TargetRoom::default(),
        _ => {
            let hash = xxh3_64(id.as_bytes());
            demand.kept.at_target(hash, engine, load, level)
        }
    };
    let tokens = load.tokens + kept.tokens + u64::from(demand.total_tokens);
    load.running + kept.requests < engine.slots
        && tokens as f64 <= f64::from(engine.memory_tokens) * admission::memory_share(demand)
}

impl TargetSelector {
    /// Returns a service's recent arrivals at all nodes, by level.
    pub fn arrived_levels(&self, now: Millis, service: &str) -> LevelLoads {
        let mut levels = self.level_arrivals.service(now, service);
        if let Some(others) = self.others.get(&service_key(service)) {
            levels.add(&others.levels);
        }
        levels
    }

    /// Returns the room that requests of `level` leave to other levels of their service.
    pub fn kept_room(
        &self,
        now: Millis,
        directory: &Directory,
        demand: &RequestDemand,
    ) -> KeptRoom {
        let Some(level) = demand.level else {
            return KeptRoom::default();
        };
        let mut running = LevelLoads::default();
        let mut hashes = Vec::new();
        for (target, _) in directory.targets() {
            let is_usable = target.service == demand.service
                && !target.is_draining
                && !directory.is_out(&target.data_centre);
            if is_usable {
                hashes.push(xxh3_64(target.id.as_bytes()));
                running.add(&self.total_load(&target.id).levels);
            }
        }
        let arrived = self.arrived_levels(now, &demand.service);
        hashes.sort_unstable();
        KeptRoom::new(level, &arrived, &running, &hashes)
    }
}

fn typical_tokens(arrived: &LevelLoad) -> u32 {
    let tokens = arrived.tokens / u64::from(arrived.requests.max(1));
    u32::try_from(tokens).unwrap_or(u32::MAX)
}

//! Requests that crash their targets, and the innocent beside them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::name::Name;
use filbertpaddle_core::outcome::Reason;
use filbertpaddle_core::policy::Policy;
use filbertpaddle_core::policy::Settings;
use filbertpaddle_core::scheduler::Ending;
use filbertpaddle_core::scheduler::Placement;
use filbertpaddle_core::scheduler::RequestId;
use filbertpaddle_core::scheduler::Scheduler;
use filbertpaddle_core::scheduler::SlotId;
use filbertpaddle_core::scheduler::SlotRequest;
use filbertpaddle_core::scheduler::TargetView;
use filbertpaddle_core::suspect::CRASH_LIMIT;
use filbertpaddle_core::suspect::Record;
use filbertpaddle_core::suspect::SUSPECTS;
use filbertpaddle_core::suspect::Standing;
use filbertpaddle_core::suspect::Suspects;
use filbertpaddle_core::template::Priority;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use strum::VariantArray;

const POISON: u64 = 666;
const SLOTS: u32 = 6;

/// Targets that crash when the poison runs on them, and one caller of each
/// digest that sends it again until it is answered or refused for good.
struct Pool {
    scheduler: Scheduler,
    now: Millis,
    next_id: u64,
    targets: Vec<Name>,
    running: BTreeMap<u64, Placement>,
    digests: BTreeMap<RequestId, u64>,
    poisons: Vec<u64>,
    crashes: BTreeMap<u64, usize>,
    answered: BTreeSet<u64>,
    refused: BTreeSet<u64>,
}

impl Pool {
    fn new(policy: Policy, targets: usize, poisons: &[u64]) -> Self {
        let settings = Settings {
            policy,
            ..Settings::default()
        };
        Self {
            scheduler: Scheduler::new(settings),
            now: Millis(0),
            next_id: 0,
            targets: (0..targets)
                .map(|target| Name::new(format!("target-{target}")))
                .collect(),
            running: BTreeMap::new(),
            digests: BTreeMap::new(),
            poisons: poisons.to_vec(),
            crashes: BTreeMap::new(),
            answered: BTreeSet::new(),
            refused: BTreeSet::new(),
        }
    }

    fn send(&mut self, digest: u64) {
        self.next_id += 1;
        self.digests.insert(RequestId(self.next_id), digest);
        let ask = SlotRequest {
            id: RequestId(self.next_id),
            customer: Name::new(format!("customer-{}", digest % 3)),
            template: Name::new("summary"),
            priority: Priority(0),
            weight: 1,
            prompt_tokens: 100,
            max_tokens: 1_000,
            prefix: 0,
            prefix_tokens: 0,
            digest,
            arrived_ms: self.now,
            deadline_ms: self.now + Millis::from_secs(600),
        };
        if let Err(refusal) = self.scheduler.push(self.now, ask)
            && refusal.reason == Reason::Quarantined
        {
            self.refused.insert(digest);
        }
        self.place();
    }

    fn place(&mut self) {
        loop {
            let views: Vec<_> = self.targets.iter().map(|name| self.view(name)).collect();
            let Some(placement) = self.scheduler.next(self.now, &views) else {
                break;
            };
            self.next_id += 1;
            let slot = SlotId(self.next_id);
            self.scheduler.started(self.now, slot, &placement);
            self.running.insert(slot.0, placement);
        }
        let refusals = self.scheduler.expired(self.now);
        let quarantined = refusals.iter().filter(|r| r.reason == Reason::Quarantined);
        for refusal in quarantined {
            self.refused.extend(self.digests.get(&refusal.id));
        }
    }

    fn view(&self, name: &Name) -> TargetView {
        let used = self.running.values().filter(|p| p.target == *name).count();
        assert!(used <= SLOTS as usize);
        TargetView {
            name: name.clone(),
            free_slots: SLOTS - used as u32,
            capacity_tokens: 0,
            warm: true,
        }
    }

    /// Crashes each target that runs the poison.
    fn crash(&mut self) {
        let poisons = self.poisons.clone();
        self.now = self.now + Millis(100);
        let crashed: BTreeSet<Name> = self
            .running
            .values()
            .filter(|placement| poisons.contains(&placement.request.digest))
            .map(|placement| placement.target.clone())
            .collect();
        for target in &crashed {
            let on_target = |p: &Placement| p.target == *target;
            let digests: BTreeSet<u64> = self
                .running
                .values()
                .filter(|p| on_target(p))
                .map(|p| p.request.digest)
                .collect();
            for poison in poisons.iter().filter(|p| digests.contains(p)) {
                let crashes = self.crashes.entry(*poison).or_default();
                *crashes += 1;
                assert!(
                    *crashes <= CRASH_LIMIT,
                    "{poison} crashed {crashes} targets"
                );
            }
        }
        let lost: Vec<u64> = self
            .running
            .iter()
            .filter(|(_, placement)| crashed.contains(&placement.target))
            .map(|(slot, _)| *slot)
            .collect();
        for slot in &lost {
            self.scheduler
                .ended(self.now, SlotId(*slot), 3, Ending::Failed);
        }
        let again: BTreeSet<u64> = lost
            .iter()
            .filter_map(|slot| self.running.remove(slot))
            .map(|placement| placement.request.digest)
            .collect();
        self.now = self.now + Millis(100);
        for digest in again {
            self.send(digest);
        }
    }

    fn is_idle(&self) -> bool {
        self.running.is_empty() && self.scheduler.queued() == 0
    }

    /// Ends the oldest `count` attempts of the innocent with whole answers.
    fn answer(&mut self, count: usize) {
        self.now = self.now + Millis(100);
        let slots: Vec<u64> = self
            .running
            .iter()
            .filter(|(_, placement)| !self.poisons.contains(&placement.request.digest))
            .map(|(slot, _)| *slot)
            .take(count)
            .collect();
        for slot in slots {
            self.scheduler
                .ended(self.now, SlotId(slot), 50, Ending::Complete);
            let placement = self.running.remove(&slot);
            self.answered.extend(placement.map(|p| p.request.digest));
        }
        self.place();
    }
}

fn config() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::with_cases(100)
    }
}

proptest! {
    #![proptest_config(config())]

    /// The poison stops after a fixed number of targets however often it is
    /// sent; everybody else is answered and nobody else is refused.
    #[test]
    fn poison_stops_and_the_innocent_are_answered(
        policy in proptest::sample::select(Policy::VARIANTS),
        targets in 1_usize..8,
        copies in 1_usize..6,
        innocents in 1_u64..30,
        answers in 0_usize..4,
    ) {
        let mut pool = Pool::new(policy, targets, &[POISON]);
        (1..=innocents).for_each(|digest| pool.send(digest));
        for _ in 0..20 {
            (0..copies).for_each(|_| pool.send(POISON));
            pool.crash();
            pool.answer(answers);
        }
        while !pool.is_idle() {
            pool.crash();
            pool.answer(2);
        }
        prop_assert!(pool.crashes[&POISON] <= CRASH_LIMIT);
        prop_assert_eq!(&pool.refused, &BTreeSet::from([POISON]));
        prop_assert_eq!(pool.answered.len() as u64, innocents);
    }

    /// Records agree whatever the order in which nodes hear of each other.
    #[test]
    fn records_agree_in_any_order(
        events in proptest::collection::vec((0_u64..6, any::<bool>()), 1..12),
    ) {
        let records: Vec<Record> = events
            .iter()
            .map(|(crash, cleared)| {
                let crashes = BTreeSet::from([*crash]);
                let cleared = if *cleared { crashes.clone() } else { BTreeSet::new() };
                Record { crashes, cleared }
            })
            .collect();
        let (mut there, mut back) = (Suspects::new(), Suspects::new());
        for record in &records {
            there.merge(Millis(1), POISON, record);
        }
        for record in records.iter().rev().chain(&records) {
            back.merge(Millis(1), POISON, record);
        }
        prop_assert_eq!(there.standing(POISON), back.standing(POISON));
        prop_assert_eq!(there.level(POISON), back.level(POISON));
    }
}

#[test]
fn several_poisons_stop_each_within_the_limit() {
    let poisons = [601, 602, 603, 604];
    let mut pool = Pool::new(Policy::Predictive, 5, &poisons);
    for round in 0..200 {
        pool.send(round % 10 + 1);
        pool.send(poisons[round as usize % 4]);
        pool.crash();
        pool.answer(2);
    }
    while !pool.is_idle() {
        pool.crash();
        pool.answer(2);
    }
    let within = pool.crashes.values().all(|count| *count <= CRASH_LIMIT);
    assert!(within, "{:?}", pool.crashes);
    assert_eq!(pool.refused, BTreeSet::from(poisons));
    assert_eq!(pool.answered, (1..=10).collect());
}

#[test]
fn suspects_never_share_a_target() {
    let mut pool = Pool::new(Policy::Predictive, 3, &[POISON]);
    (1..=5).for_each(|digest| pool.send(digest));
    pool.send(POISON);
    pool.crash();
    for name in pool.targets.clone() {
        let suspects = pool
            .running
            .values()
            .filter(|p| p.target == name && pool.scheduler.suspects().level(p.request.digest) > 0)
            .count();
        assert!(suspects <= 1, "{name} runs {suspects}");
    }
}

#[test]
fn what_another_node_knows_stops_a_queued_request() {
    let mut pool = Pool::new(Policy::Predictive, 0, &[POISON]);
    pool.send(POISON);
    let record = Record {
        crashes: (1..=CRASH_LIMIT as u64).collect(),
        cleared: BTreeSet::new(),
    };
    pool.scheduler.suspected(pool.now, POISON, &record);
    pool.targets.push(Name::new("late"));
    pool.place();
    assert!(pool.running.is_empty());
    pool.send(POISON);
    assert_eq!(pool.refused, BTreeSet::from([POISON]));
    assert_eq!(pool.scheduler.queued(), 0);
}

#[test]
fn memory_of_suspects_is_bounded_and_keeps_the_condemned() {
    let mut suspects = Suspects::new();
    for crash in 0..CRASH_LIMIT as u64 {
        suspects.crashed(Millis(0), POISON, crash);
    }
    for digest in 0..2 * SUSPECTS as u64 {
        suspects.crashed(Millis(digest), 10_000 + digest, digest);
    }
    assert!(suspects.len() <= SUSPECTS);
    assert_eq!(suspects.standing(POISON), Standing::Condemned);
}

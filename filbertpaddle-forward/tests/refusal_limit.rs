//! Brittle targets under more load than they have places for.

use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::name::Name;
use filbertpaddle_forward::refusal_limit::BrittleTargets;
use filbertpaddle_forward::target::Target;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

const PER_SEC: f64 = 5.0;
const SLOTS: u32 = 6;
const TARGETS: usize = 3;
const SPAN_MS: u64 = 20_000;
/// Number of falls that the users' deployments allow in that time: two and a tenth of the targets.
const MAX_FALLS: usize = 2;

fn target(number: usize) -> Target {
    Target {
        id: Name::new(format!("t-{number}")),
        service: Name::new("app"),
        address: Name::new("127.0.0.1:1"),
        data_centre: Name::new("dc"),
        slots: SLOTS,
        is_draining: false,
        cold_ms: Millis::ZERO,
        started_ms: None,
        version: Name::default(),
    }
}

fn names(count: usize) -> Vec<Name> {
    let name = |number| Name::new(format!("n-{number}"));
    (0..count).map(name).collect()
}

/// Returns how often a target falls over that refuses requests at these times.
fn count_falls(refused_at: &[u64]) -> usize {
    let mut falls = 0;
    let mut recent: Vec<u64> = Vec::new();
    for at in refused_at {
        recent.retain(|earlier| at - earlier < 1_000);
        recent.push(*at);
        if recent.len() as f64 > PER_SEC {
            falls += 1;
            recent.clear();
        }
    }
    falls
}

#[test]
fn a_target_that_states_nothing_is_not_limited() {
    let mut brittle = BrittleTargets::new();
    let (nodes, target) = (names(3), target(0));
    assert!(brittle.has_place(Millis(5), &target, 9, &nodes[0], &nodes));
    assert!(brittle.record_stated(Millis(5), &target.service, PER_SEC));
    assert!(!brittle.has_place(Millis(6), &target, 9, &nodes[0], &nodes));
    assert!(!brittle.record_none(&target.service, Millis(4)));
    assert!(brittle.record_none(&target.service, Millis(6)));
    assert!(brittle.has_place(Millis(7), &target, 9, &nodes[0], &nodes));
}

#[test]
fn a_node_pauses_after_a_refusal_the_longer_the_more_nodes_there_are_but_not_for_minutes() {
    let mut brittle = BrittleTargets::new();
    let target = target(0);
    brittle.record_stated(Millis(5), &target.service, PER_SEC);
    let few = brittle.record_refused(Millis(1_000), &target, 3);
    let many = brittle.record_refused(Millis(1_000), &target, 740);
    assert_eq!((few, many), (Millis(2_200), Millis(11_000)));
    let nodes = names(1);
    assert!(!brittle.has_place(Millis(10_999), &target, 0, &nodes[0], &nodes));
    assert!(brittle.has_place(many, &target, 0, &nodes[0], &nodes));
}

/// Load pattern: all nodes always have a request to send, most of them at a few nodes.
#[test]
fn refusals_of_all_nodes_stay_below_the_limit_under_any_load() {
    for seed in 0..60 {
        let mut rng = StdRng::seed_from_u64(seed);
        let nodes = names(rng.random_range(2..40));
        let press: Vec<_> = nodes.iter().map(|_| rng.random_range(0.05..0.9)).collect();
        let targets: Vec<_> = (0..TARGETS).map(target).collect();
        let mut states: Vec<_> = nodes.iter().map(|_| BrittleTargets::new()).collect();
        for state in &mut states {
            state.record_stated(Millis::ZERO, &targets[0].service, PER_SEC);
        }
        // Ends of the requests that run, by target and node.
        let mut running = vec![vec![Vec::<u64>::new(); nodes.len()]; TARGETS];
        let mut refusals = vec![Vec::new(); TARGETS];
        let mut served = 0;
        for now in 0..SPAN_MS {
            running
                .iter_mut()
                .flatten()
                .for_each(|ends| ends.retain(|end| *end > now));
            for node in 0..nodes.len() {
                if !rng.random_bool(press[node]) {
                    continue;
                }
                let number = rng.random_range(0..TARGETS);
                let own = running[number][node].len() as u32;
                let (target, at) = (&targets[number], Millis(now));
                let state = &mut states[node];
                if !state.has_place(at, target, own, &nodes[node], &nodes) {
                    continue;
                }
                let all: usize = running[number].iter().map(Vec::len).sum();
                if all >= SLOTS as usize {
                    state.record_refused(at, target, nodes.len());
                    refusals[number].push(now);
                } else {
                    running[number][node].push(now + rng.random_range(15..60));
                    served += 1;
                }
            }
        }
        let falls: usize = refusals.iter().map(|times| count_falls(times)).sum();
        assert!(falls <= MAX_FALLS, "seed {seed}: {falls} targets fell");
        // 37 ms each in the mean; at least a third of the places is in use.
        let most_served = SPAN_MS * TARGETS as u64 * u64::from(SLOTS) / 37;
        assert!(
            served >= most_served / 3,
            "seed {seed}: {served} of {most_served}"
        );
    }
}

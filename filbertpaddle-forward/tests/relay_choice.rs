//! Which nodes relay connections to targets for one that does not reach these.

use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::name::Name;
use filbertpaddle_forward::relay_choice::Candidate;
use filbertpaddle_forward::relay_choice::RelayChoice;
use indexmap::IndexMap;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// Time for which a node that could not relay is passed over, and some more.
const LATER_MS: Millis = Millis(1_100);

fn names(prefix: &str, count: usize) -> Vec<Name> {
    let name = |number| Name::new(format!("{prefix}-{number}"));
    (0..count).map(name).collect()
}

fn candidates<'a>(nearby: &'a [Name], others: &'a [Name]) -> Vec<Candidate<'a>> {
    let candidate = |is_nearby| move |node| Candidate { node, is_nearby };
    let nearby = nearby.iter().map(candidate(true));
    nearby.chain(others.iter().map(candidate(false))).collect()
}

#[test]
fn nodes_of_the_own_data_centre_are_asked_first_and_share_the_connections() {
    let (nearby, others) = (names("near", 4), names("far", 8));
    let mut rng = StdRng::seed_from_u64(1);
    let choice = RelayChoice::new();
    let mut firsts: IndexMap<Name, u32> = IndexMap::new();
    for _ in 0..4_000 {
        let draw = || rng.random::<f64>();
        let chosen = choice.choose(Millis(5), candidates(&nearby, &others), draw);
        assert!(nearby.contains(chosen[0]));
        *firsts.entry(chosen[0].clone()).or_default() += 1;
    }
    assert!(
        firsts.values().all(|count| (800..1_200).contains(count)),
        "{firsts:?}"
    );
}

/// Load pattern: all of a data centre is cut off. Its nodes know only by asking that the others
/// of it are as well.
#[test]
fn a_data_centre_that_is_cut_off_as_a_whole_costs_two_questions_at_most() {
    let (nearby, others) = (names("near", 61), names("far", 678));
    let mut rng = StdRng::seed_from_u64(2);
    let mut choice = RelayChoice::new();
    let mut questions = 0;
    for request in 0..1_000 {
        let now = Millis(request * 17);
        let candidates = candidates(&nearby, &others);
        let asked: Vec<_> = choice
            .choose(now, candidates, || rng.random::<f64>())
            .into_iter()
            .cloned()
            .collect();
        let serving = asked.iter().position(|node| others.contains(node));
        assert!(serving.is_some_and(|position| position <= 2));
        for node in asked.iter().take(serving.unwrap_or_default()) {
            choice.record_unfit(now, node);
            questions += 1;
        }
    }
    // Each of 61 nodes once a second at most, for 17 s.
    assert!(questions <= 61 * 18, "{questions}");
}

/// Load pattern: most nodes are cut off, and one is not.
#[test]
fn nodes_that_could_not_relay_are_passed_over_for_a_while() {
    let (nearby, others) = (names("near", 2), names("far", 4));
    let mut choice = RelayChoice::new();
    let all: Vec<_> = nearby.iter().chain(&others).collect();
    for node in &all[..5] {
        choice.record_unfit(Millis(0), node);
    }
    let chosen = choice.choose(Millis(10), candidates(&nearby, &others), || 0.5);
    assert_eq!(chosen, [all[5]]);
    choice.record_unfit(Millis(10), all[5]);
    let chosen = choice.choose(Millis(20), candidates(&nearby, &others), || 0.5);
    assert_eq!(chosen.len(), 1, "one of the unfit nodes is asked again");
    let chosen = choice.choose(LATER_MS, candidates(&nearby, &others), || 0.5);
    assert_eq!(chosen.len(), 6);
}

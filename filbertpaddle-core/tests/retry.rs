//! Retry budget.

use filbertpaddle_core::retry::Budget;
use filbertpaddle_core::retry::Settings;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn config() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::with_cases(200)
    }
}

proptest! {
    #![proptest_config(config())]

    /// The number of retries never exceeds the burst plus the allowed share of
    /// successes, in any order of successes and failures.
    #[test]
    fn retries_stay_within_budget(successes in proptest::collection::vec(any::<bool>(), 1..2_000)) {
        let settings = Settings { per_thousand: 100, burst: 5 };
        let mut budget = Budget::new(settings);
        let (mut succeeded, mut retried) = (0, 0);
        for success in successes {
            if success {
                budget.record_success();
                succeeded += 1;
            } else if budget.try_take() {
                retried += 1;
            }
            prop_assert!(retried <= 5 + succeeded / 10);
        }
    }
}

//! Budgets for retries.

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

    /// Retries stay under the burst and the share of successes, in any order.
    #[test]
    fn retries_are_bounded(successes in proptest::collection::vec(any::<bool>(), 1..2_000)) {
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

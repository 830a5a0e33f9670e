//! Changed settings that take effect only after a restart.

use filbertpaddle_core::clock::Millis;
use filbertpaddle_forward::features::Features;
use filbertpaddle_forward::retry_budget::RetryLimits;
use filbertpaddle_gateway::settings::Reloadable;
use filbertpaddle_gateway::settings::Settings;

fn settings() -> Settings {
    Settings {
        node: "node-0".into(),
        data_centre: "dc-a".into(),
        region: vec!["dc-a".into(), "dc-b".into()],
        callers: ([127, 0, 0, 1], 1).into(),
        ready: ([127, 0, 0, 1], 2).into(),
        peers: ([127, 0, 0, 1], 3).into(),
        metrics: None,
        cores: 0.25,
        memory_bytes: Some(110 << 20),
        reloadable: Reloadable {
            store: ([127, 0, 0, 1], 4).into(),
            is_first_start: true,
            seeds: Vec::new(),
            retries: RetryLimits {
                ratio: 0.2,
                slack: 58.0,
                window_ms: Millis(10_000),
            },
            grace_ms: Millis(8_000),
            apply_ms: Millis(2_000),
            rewrite_ms: Millis(4_800),
            features: Features::default(),
        },
    }
}

#[test]
fn every_changed_field_that_needs_a_restart_is_named() {
    let changed = Settings {
        node: "node-1".into(),
        data_centre: "dc-b".into(),
        region: vec!["dc-b".into()],
        callers: ([127, 0, 0, 1], 11).into(),
        ready: ([127, 0, 0, 1], 12).into(),
        peers: ([127, 0, 0, 1], 13).into(),
        metrics: Some(([127, 0, 0, 1], 14).into()),
        cores: 0.5,
        memory_bytes: None,
        reloadable: settings().reloadable,
    };
    let all = [
        "node",
        "data_centre",
        "region",
        "callers",
        "ready",
        "peers",
        "metrics",
        "cores",
        "memory_bytes",
    ];
    assert_eq!(settings().changed_until_restart(&changed), all);
    assert!(settings().changed_until_restart(&settings()).is_empty());
}

#[test]
fn reloadable_fields_and_the_order_of_data_centres_need_no_restart() {
    let mut changed = settings();
    changed.region.reverse();
    changed.reloadable.store = ([127, 0, 0, 1], 5).into();
    changed.reloadable.is_first_start = false;
    assert!(settings().changed_until_restart(&changed).is_empty());
}

//! Choices of a target for streams that one software version has begun.

use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::name::Name;
use filbertpaddle_forward::request_demand::RequestDemand;
use filbertpaddle_forward::software_version::SoftwareVersion;
use filbertpaddle_forward::software_version::VersionBinding;
use filbertpaddle_forward::target::Target;
use filbertpaddle_forward::target_selector::PlacementError;
use filbertpaddle_forward::target_selector::TargetSelector;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::demand;
use crate::directory;
use crate::target;

/// Load pattern: targets of two software versions side by side, those of the other one idle.
#[test]
fn streams_go_on_only_at_the_software_version_that_began_them() {
    let versioned = |id: &str, version: &str| Target {
        version: version.into(),
        ..target(id, "dc-a")
    };
    let targets = [
        versioned("old-1", "v1"),
        versioned("old-2", "v1"),
        versioned("new-1", "v2"),
        versioned("new-2", "v2"),
        versioned("unknown", ""),
    ];
    let directory = directory(&targets);
    let mut selector = TargetSelector::new("node".into(), "dc-a".into());
    let mut rng = StdRng::seed_from_u64(3);
    for _ in 0..4 {
        selector.record_sent(Millis(1), &targets[1], &demand(1_000, 2_000));
    }
    let bound = RequestDemand {
        version: VersionBinding::to_target(&targets[0]),
        ..demand(100, 200)
    };
    let excluded = [Name::from("old-1")];
    for _ in 0..200 {
        let mut draw = || rng.random::<f64>();
        let chosen = selector.choose(Millis(1), &directory, &bound, &excluded, &mut draw);
        assert_eq!(chosen.unwrap().id, "old-2");
        let copy =
            selector.choose_copy_target(Millis(1), &directory, &targets[0], &bound, &[], &mut draw);
        assert_eq!(copy.unwrap().id, "old-2");
    }
    let mut choose_of = |version: VersionBinding| {
        let demand = RequestDemand {
            version,
            ..demand(100, 200)
        };
        let draw = || rng.random::<f64>();
        let chosen = selector.choose(Millis(1), &directory, &demand, &[], draw);
        chosen.map(|target| target.id.clone())
    };
    let other_service = VersionBinding::Bound(SoftwareVersion::new("app", "v1"));
    for binding in [
        VersionBinding::Unknown,
        VersionBinding::to_target(&targets[4]),
        other_service,
    ] {
        assert_eq!(choose_of(binding), Err(PlacementError::NoneOfVersion));
    }
    assert!(choose_of(VersionBinding::Free).is_ok());
}

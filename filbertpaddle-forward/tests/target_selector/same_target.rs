//! Whether a target that has run a request may be sent it once more.

use filbertpaddle_core::clock::Millis;
use filbertpaddle_forward::request_demand::RequestDemand;
use filbertpaddle_forward::software_version::VersionBinding;
use filbertpaddle_forward::target::Target;
use filbertpaddle_forward::target_selector::TargetSelector;

use crate::MEMORY_TOKENS;
use crate::demand;
use crate::directory;
use crate::target;

const NOW: Millis = Millis(1);

#[test]
fn a_target_may_be_sent_a_request_again_unless_it_leaves_fails_is_full_or_has_changed() {
    let own = target("own", "dc-a");
    let bound = RequestDemand {
        version: VersionBinding::to_target(&own),
        ..demand(100, 200)
    };
    let selector = || TargetSelector::new("node".into(), "dc-a".into());
    let listed = directory(std::slice::from_ref(&own));
    assert!(selector().may_return(NOW, &listed, &bound, &own));
    for changed in [
        Target {
            is_draining: true,
            ..own.clone()
        },
        Target {
            started_ms: Some(Millis(1)),
            ..own.clone()
        },
        Target {
            version: "v2".into(),
            ..own.clone()
        },
        target("other", "dc-a"),
    ] {
        let listed = directory(&[changed]);
        assert!(!selector().may_return(NOW, &listed, &bound, &own));
    }
    let mut failing = selector();
    failing.record_failure(NOW, &own.id);
    assert!(!failing.may_return(NOW, &listed, &bound, &own));
    let mut full = selector();
    full.record_sent(NOW, &own, &demand(100, MEMORY_TOKENS));
    assert!(!full.may_return(NOW, &listed, &bound, &own));
}

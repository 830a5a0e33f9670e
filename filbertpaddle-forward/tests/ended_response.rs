//! Whether a target goes on after it has ended a response together with its connection.

use filbertpaddle_core::clock::Millis;
use filbertpaddle_forward::ended_response::Finding;
use filbertpaddle_forward::target::Report;
use filbertpaddle_forward::target::Target;

fn target(started_ms: Option<Millis>) -> Target {
    Target {
        id: "i-1".into(),
        service: "engine".into(),
        address: "127.0.0.1:9".into(),
        data_centre: "dc-a".into(),
        slots: 1,
        is_draining: false,
        cold_ms: Millis::ZERO,
        started_ms,
        version: "v1".into(),
    }
}

/// A listener that another process holds accepts connections too.
#[test]
fn only_an_answer_that_a_sound_target_may_give_shows_that_it_goes_on() {
    let target = target(Some(Millis(7)));
    for finding in [Finding::Unreached, Finding::Closed, Finding::Failed] {
        assert!(!finding.shows_sound(&target), "{finding:?}");
    }
    for finding in [Finding::Accepted, Finding::Silent, Finding::Unknown] {
        assert!(finding.shows_sound(&target), "{finding:?}");
    }
}

#[test]
fn a_report_of_a_later_start_is_that_of_another_incarnation() {
    for (listed, reported, is_sound) in [
        (Some(7), Some(8), false),
        (Some(7), Some(7), true),
        // The entry is that of the later one.
        (Some(7), Some(6), true),
        (None, Some(8), true),
        (Some(7), None, true),
    ] {
        let report = Report {
            started_ms: reported.map(Millis),
            ..Report::default()
        };
        let finding = Finding::Report(report);
        let is_found_sound = finding.shows_sound(&target(listed.map(Millis)));
        assert_eq!(is_found_sound, is_sound, "{listed:?} {reported:?}");
    }
}

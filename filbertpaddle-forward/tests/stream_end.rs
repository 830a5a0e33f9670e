//! Whether streams are complete that end in order without a length.

use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::name::Name;
use filbertpaddle_forward::stream_end::EarlyEnds;
use filbertpaddle_forward::stream_end::EndStep;
use filbertpaddle_forward::stream_end::QueryFailure;
use filbertpaddle_forward::stream_end::UnstatedEnd;
use filbertpaddle_forward::stream_end::query_timeout_ms;

const RESUMABLE: UnstatedEnd = UnstatedEnd {
    may_resume: true,
    has_sends_left: true,
    has_resumed: false,
    is_placed: true,
    is_confirmation: false,
};

#[test]
fn a_stream_is_asked_for_unless_it_cannot_be_or_two_runs_agree() {
    assert_eq!(RESUMABLE.step(), EndStep::Query);
    for end in [
        UnstatedEnd {
            may_resume: false,
            ..RESUMABLE
        },
        UnstatedEnd {
            is_placed: false,
            ..RESUMABLE
        },
        UnstatedEnd {
            is_confirmation: true,
            ..RESUMABLE
        },
    ] {
        assert_eq!(end.step(), EndStep::Complete, "{end:?}");
    }
}

#[test]
fn a_resumed_stream_that_has_no_attempt_left_is_cut_off() {
    let used_up = UnstatedEnd {
        has_sends_left: false,
        ..RESUMABLE
    };
    assert_eq!(used_up.step(), EndStep::Complete);
    let resumed = UnstatedEnd {
        has_resumed: true,
        ..used_up
    };
    assert_eq!(resumed.step(), EndStep::CutOff);
    let confirmed = UnstatedEnd {
        is_confirmation: true,
        ..resumed
    };
    assert_eq!(confirmed.step(), EndStep::Complete);
}

#[test]
fn only_a_sign_of_a_failure_counts_against_an_end() {
    for failure in [
        QueryFailure::NotSent,
        QueryFailure::NotRun,
        QueryFailure::NoAnswer,
        QueryFailure::Declined,
    ] {
        assert_eq!(failure.step(false), EndStep::Complete, "{failure}");
    }
    for failure in [
        QueryFailure::TargetsFailing,
        QueryFailure::Failed,
        QueryFailure::TargetEnded,
    ] {
        assert_eq!(failure.step(false), EndStep::CutOff, "{failure}");
    }
}

#[test]
fn an_ask_ends_before_its_caller_leaves_its_deadline_passes_or_its_node_exits() {
    let goal_ms = Millis(400);
    let long_ms = Millis::from_secs(10);
    let timeout = |remaining_ms, exit_ms| query_timeout_ms(goal_ms, remaining_ms, exit_ms);
    assert_eq!(timeout(long_ms, None), Some(Millis(800)));
    assert_eq!(
        query_timeout_ms(Millis(5_000), long_ms, None),
        Some(Millis(1_400))
    );
    assert_eq!(timeout(Millis(500), None), Some(Millis(200)));
    assert_eq!(timeout(long_ms, Some(Millis(600))), Some(Millis(300)));
    assert_eq!(timeout(long_ms, Some(Millis(349))), None);
    assert_eq!(timeout(Millis::ZERO, None), None);
}

#[test]
fn an_end_that_cannot_be_asked_about_counts_unless_others_were_early() {
    let (service, other) = (Name::from("engine"), Name::from("other"));
    let mut early_ends = EarlyEnds::default();
    let step = |early_ends: &EarlyEnds, now_ms, service| {
        let has_early_ends = early_ends.is_recent(Millis(now_ms), service);
        QueryFailure::NotSent.step(has_early_ends)
    };
    assert_eq!(step(&early_ends, 0, &service), EndStep::Complete);
    early_ends.record(Millis::ZERO, &service);
    assert_eq!(step(&early_ends, 9_999, &service), EndStep::CutOff);
    assert_eq!(step(&early_ends, 10_000, &service), EndStep::Complete);
    assert_eq!(step(&early_ends, 0, &other), EndStep::Complete);
    for failure in [QueryFailure::NotRun, QueryFailure::NoAnswer] {
        assert_eq!(failure.step(true), EndStep::CutOff, "{failure}");
    }
    assert_eq!(QueryFailure::Declined.step(true), EndStep::Complete);
}

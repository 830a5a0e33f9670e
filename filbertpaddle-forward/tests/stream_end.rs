//! Whether streams are complete that end in order without a length.

use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::name::Name;
use filbertpaddle_forward::stream_end::EmptyRuns;
use filbertpaddle_forward::stream_end::EndStep;
use filbertpaddle_forward::stream_end::QueryFailure;
use filbertpaddle_forward::stream_end::UnstatedEnd;
use filbertpaddle_forward::stream_end::query_timeout_ms;

const RESUMABLE: UnstatedEnd = UnstatedEnd {
    may_resume: true,
    has_sends_left: true,
    allows_retries: true,
    is_placed: true,
    is_agreed: false,
};

#[test]
fn a_stream_is_asked_for_unless_it_cannot_be_or_two_targets_agree() {
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
            allows_retries: false,
            ..RESUMABLE
        },
        UnstatedEnd {
            is_agreed: true,
            ..RESUMABLE
        },
    ] {
        assert_eq!(end.step(), EndStep::Complete, "{end:?}");
    }
}

/// Such streams were complete unless they had gone on elsewhere.
#[test]
fn a_stream_that_has_no_attempt_left_is_cut_off() {
    let used_up = UnstatedEnd {
        has_sends_left: false,
        ..RESUMABLE
    };
    assert_eq!(used_up.step(), EndStep::CutOff);
    let agreed = UnstatedEnd {
        is_agreed: true,
        ..used_up
    };
    assert_eq!(agreed.step(), EndStep::Complete);
}

/// Cut streams were complete if their target closed the query for what follows too.
#[test]
fn two_different_targets_have_to_agree_on_an_end() {
    let (first, second) = (Name::from("e1"), Name::from("e2"));
    let mut runs = EmptyRuns::default();
    runs.record(&first);
    runs.record(&first);
    assert!(!runs.is_agreed() && !runs.would_agree(&first));
    assert!(runs.would_agree(&second));
    runs.record(&second);
    assert!(runs.is_agreed());
    runs.clear();
    assert!(!runs.is_agreed() && runs.targets().is_empty());
}

/// Cut streams were complete if no answer came, in time or at all, unless others had been early.
#[test]
fn only_a_target_that_serves_no_query_lets_an_end_count() {
    for failure in [
        QueryFailure::NotSent,
        QueryFailure::NotRun,
        QueryFailure::NoAnswer,
        QueryFailure::TargetsFailing,
        QueryFailure::Failed,
        QueryFailure::TargetEnded,
    ] {
        assert_eq!(failure.step(), EndStep::CutOff, "{failure}");
    }
    assert_eq!(QueryFailure::Declined.step(), EndStep::Complete);
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

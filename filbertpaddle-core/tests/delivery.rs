//! Tokens are delivered once, in order and from a single generation.

use filbertpaddle_core::delivery::Action;
use filbertpaddle_core::delivery::Delivery;
use filbertpaddle_core::delivery::Event;
use filbertpaddle_core::delivery::MAX_RESUMES_WITHOUT_PROGRESS;
use filbertpaddle_core::delivery::RestartPolicy;
use filbertpaddle_core::outcome::Outcome;
use filbertpaddle_core::outcome::Reason;
use proptest::prelude::*;

const STREAMED: RestartPolicy = RestartPolicy {
    idempotent: true,
    buffered: false,
};
const BUFFERED: RestartPolicy = RestartPolicy {
    idempotent: true,
    buffered: true,
};
const NON_IDEMPOTENT: RestartPolicy = RestartPolicy {
    idempotent: false,
    buffered: true,
};

fn token(attempt: &str, index: u32) -> Event {
    Event::Token {
        attempt: attempt.into(),
        index,
    }
}

#[test]
fn foreign_and_duplicate_tokens_are_dropped() {
    let mut delivery = Delivery::new(STREAMED, "a".into());
    assert_eq!(delivery.on(&token("b", 0)), Action::DropForeign);
    assert_eq!(delivery.on(&token("a", 0)), Action::Deliver);
    assert_eq!(delivery.on(&token("a", 0)), Action::DropDuplicate);
    assert_eq!(delivery.on(&token("a", 2)), Action::Resume { from: 1 });
}

#[test]
fn end_before_the_last_token_resumes_the_stream() {
    let mut delivery = Delivery::new(STREAMED, "a".into());
    let end = Event::End {
        attempt: "a".into(),
        tokens: 1,
    };
    assert_eq!(delivery.on(&end), Action::Resume { from: 0 });
    assert_eq!(delivery.on(&token("a", 0)), Action::Deliver);
    assert_eq!(
        delivery.on(&end),
        Action::Finish(Outcome::Complete { tokens: 1 })
    );
}

#[test]
fn tokens_of_two_generations_are_never_mixed() {
    let mut streamed = Delivery::new(STREAMED, "a".into());
    streamed.on(&token("a", 0));
    assert_eq!(
        streamed.on(&Event::Lost),
        Action::Finish(Outcome::Incomplete {
            tokens: 1,
            reason: Reason::TargetFailed
        })
    );
    let mut buffered = Delivery::new(BUFFERED, "a".into());
    buffered.on(&token("a", 0));
    assert_eq!(buffered.on(&Event::Lost), Action::Restart);
    buffered.restart("b".into());
    assert_eq!(buffered.on(&token("a", 1)), Action::DropForeign);
    assert_eq!(buffered.on(&token("b", 0)), Action::Deliver);
}

#[test]
fn a_cancelled_generation_is_incomplete() {
    let cancelled = Event::Cancelled {
        attempt: "a".into(),
    };
    let mut delivery = Delivery::new(STREAMED, "a".into());
    delivery.on(&token("a", 0));
    assert_eq!(
        delivery.on(&cancelled),
        Action::Finish(Outcome::Incomplete {
            tokens: 1,
            reason: Reason::Cancelled
        })
    );
    let mut other = Delivery::new(STREAMED, "b".into());
    assert_eq!(other.on(&cancelled), Action::DropForeign);
    let mut non_idempotent = Delivery::new(NON_IDEMPOTENT, "a".into());
    assert_eq!(
        non_idempotent.on(&cancelled),
        Action::Finish(Outcome::MayHaveRun {
            reason: Reason::Cancelled
        })
    );
}

#[test]
fn non_idempotent_request_is_not_restarted() {
    let mut delivery = Delivery::new(NON_IDEMPOTENT, "a".into());
    assert_eq!(
        delivery.on(&Event::Lost),
        Action::Finish(Outcome::MayHaveRun {
            reason: Reason::TargetFailed
        })
    );
}

#[test]
fn resumes_without_progress_are_limited() {
    let mut delivery = Delivery::new(STREAMED, "a".into());
    for _ in 0..MAX_RESUMES_WITHOUT_PROGRESS {
        assert_eq!(delivery.on(&Event::Broken), Action::Resume { from: 0 });
    }
    assert_eq!(delivery.on(&Event::Broken), Action::Restart);
}

proptest! {
    #[test]
    fn delivered_tokens_count_up_from_zero(
        events in prop::collection::vec((0_u8..2, 0_u32..6), 0..200),
    ) {
        let mut delivery = Delivery::new(STREAMED, "0".into());
        let mut delivered = Vec::new();
        for (attempt, index) in events {
            let event = token(&attempt.to_string(), index);
            match delivery.on(&event) {
                Action::Deliver => {
                    prop_assert_eq!(attempt, 0);
                    delivered.push(index);
                }
                Action::Restart => break,
                _ => {}
            }
        }
        let expected: Vec<u32> = (0..delivered.len() as u32).collect();
        prop_assert_eq!(delivered, expected);
    }
}

//! Tokens are delivered once, in order, and from one generation.

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
const WITH_EFFECTS: RestartPolicy = RestartPolicy {
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
fn crossed_and_duplicate_tokens_are_dropped() {
    let mut delivery = Delivery::new(STREAMED, "a".into());
    assert_eq!(delivery.on(&token("b", 0)), Action::DropForeign);
    assert_eq!(delivery.on(&token("a", 0)), Action::Deliver);
    assert_eq!(delivery.on(&token("a", 0)), Action::DropDuplicate);
    assert_eq!(delivery.on(&token("a", 2)), Action::Resume { from: 1 });
}

#[test]
fn an_early_end_is_resumed_not_believed() {
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
fn two_generations_are_never_joined() {
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
    let mut with_effects = Delivery::new(WITH_EFFECTS, "a".into());
    assert_eq!(
        with_effects.on(&cancelled),
        Action::Finish(Outcome::MayHaveRun {
            reason: Reason::Cancelled
        })
    );
}

#[test]
fn effects_are_not_repeated() {
    let mut delivery = Delivery::new(WITH_EFFECTS, "a".into());
    assert_eq!(
        delivery.on(&Event::Lost),
        Action::Finish(Outcome::MayHaveRun {
            reason: Reason::TargetFailed
        })
    );
}

#[test]
fn fruitless_resumes_end() {
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

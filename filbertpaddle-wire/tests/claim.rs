//! Round trips and sizes of claim changes sent to a committer.

use filbertpaddle_core::claim::FinalResult;
use filbertpaddle_core::claim::Id;
use filbertpaddle_core::claim::Record;
use filbertpaddle_core::claim::State;
use filbertpaddle_core::claim::StoredAnswer;
use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::group_commit::Change;
use filbertpaddle_core::name::Name;
use filbertpaddle_core::outcome::Outcome;
use filbertpaddle_wire::claim;
use filbertpaddle_wire::frame;
use filbertpaddle_wire::message::Message;

fn change(state: State) -> Change {
    let record = Record {
        attempt: "entry-11-1a23dc92895-2f".into(),
        digest: "81988a7f87c6094b94219c1e327827e3".into(),
        holder: "entry-11".into(),
        incarnation: 1_796_332_923_029,
        claimed_at_ms: Millis(1_796_332_923_081),
        state,
    };
    Change {
        // Not encoded, and neither is `tries`.
        attempt: Name::default(),
        id: Id {
            customer: "school-1".into(),
            key: "0190b6c2-7b1a-7d3e-9a51-0e6c1f7a2b33".into(),
        },
        expected: Some(7),
        record: Some(record),
        tries: 0,
    }
}

fn commit(changes: Vec<Change>) -> Message {
    Message::Claim(claim::Message::Commit {
        sequence: 9,
        changes,
    })
}

#[test]
fn changes_are_equal_after_a_round_trip() {
    let finished = State::Finished(FinalResult {
        outcome: Outcome::Complete { tokens: 1 },
        answer: StoredAnswer::Inline("done".into()),
    });
    let states = [State::Claimed, State::Released, finished];
    let sent = vec![commit(states.map(change).to_vec())];
    let bytes = frame::Encoder::new()
        .encode(&sent)
        .expect("the changes fit a frame");
    assert_eq!(
        frame::Decoder::new()
            .decode(&bytes)
            .expect("the frame is whole"),
        sent
    );
}

#[test]
fn each_claim_in_a_commit_takes_less_than_240_bytes() {
    let mut encoder = frame::Encoder::new();
    let one = encoder.encode(&[commit(vec![change(State::Claimed)])]);
    let two = encoder.encode(&[commit(vec![change(State::Claimed), change(State::Claimed)])]);
    let (one, two) = (
        one.map(|bytes| bytes.len()).ok(),
        two.map(|bytes| bytes.len()).ok(),
    );
    let bytes_per_claim = two.zip(one).map(|(two, one)| two - one);
    println!("{bytes_per_claim:?} bytes per claim");
    assert!(
        bytes_per_claim.is_some_and(|bytes| bytes < 240),
        "{bytes_per_claim:?}"
    );
}

//! Dead peers are distinguished from peers that read slowly.

use filbertpaddle_core::clock::Millis;
use filbertpaddle_forward::peer_silence::Finding;
use filbertpaddle_forward::peer_silence::PeerSilence;
use filbertpaddle_forward::peer_silence::SendState;

const CHECK_MS: u64 = 250;

fn state(unanswered: u32, acknowledged_ago_ms: u64) -> SendState {
    SendState {
        queued_bytes: 1_000,
        unanswered,
        acknowledged_ago_ms: Millis(acknowledged_ago_ms),
    }
}

/// Returns when and what a check finds, with the state at each time; `None` after a minute.
fn first_finding<F>(silence: &mut PeerSilence, state_at: F) -> Option<(u64, Finding)>
where
    F: Fn(u64) -> SendState,
{
    silence.begin(Millis::ZERO);
    let times = (1..240).map(|check| check * CHECK_MS);
    let mut findings = times.map(|at| (at, silence.record(Millis(at), state_at(at), false)));
    findings.find(|(_, finding)| *finding != Finding::Waiting)
}

#[test]
fn a_peer_that_answers_nothing_is_dead_in_time() {
    let found = first_finding(&mut PeerSilence::new(None), |at| state(1, 10_000 + at));
    assert_eq!(found, Some((2_250, Finding::Dead)));
}

/// The time between probes of a closed window grows, and so does the age of the last answer.
#[test]
fn a_peer_that_does_not_read_but_answers_probes_is_alive() {
    let probes = [200, 600, 1_400, 3_000, 6_200, 12_600, 25_400, 51_000];
    let found = first_finding(&mut PeerSilence::new(None), |at| {
        let last = probes.iter().rfind(|probe| **probe <= at).unwrap_or(&0);
        state(0, at - last)
    });
    assert_eq!(found, None);
}

/// A probe that is sent after a long pause is not yet unanswered for long.
#[test]
fn silence_counts_from_the_first_unanswered_probe() {
    let found = first_finding(&mut PeerSilence::new(None), |at| {
        state(u32::from(at >= 10_000), at)
    });
    assert_eq!(found, Some((12_000, Finding::Dead)));
}

/// A peer that drops what it has no room for answers each retransmission.
#[test]
fn any_acknowledgement_shows_that_the_peer_is_alive() {
    let found = first_finding(&mut PeerSilence::new(None), |at| state(3, at % 1_000));
    assert_eq!(found, None);
}

#[test]
fn a_node_that_was_stopped_itself_does_not_blame_the_peer() {
    let mut silence = PeerSilence::new(None);
    silence.begin(Millis::ZERO);
    assert_eq!(
        silence.record(Millis(250), state(1, 250), false),
        Finding::Waiting
    );
    let resumed = silence.record(Millis(60_000), state(1, 60_000), false);
    assert_eq!(resumed, Finding::Waiting);
}

#[test]
fn a_peer_that_reads_nothing_is_given_up_at_the_limit() {
    let mut silence = PeerSilence::new(Some(Millis(39_000)));
    let found = first_finding(&mut silence, |_| state(0, 0));
    assert_eq!(found, Some((39_000, Finding::Unread)));
    let reads = |at: u64| SendState {
        queued_bytes: 100_000 - at as u32,
        ..state(0, 0)
    };
    assert_eq!(first_finding(&mut silence, reads), None);
}

#[test]
fn a_peer_that_reads_nothing_is_given_up_early_if_the_node_holds_too_much() {
    let mut silence = PeerSilence::new(Some(Millis(39_000)));
    silence.begin(Millis::ZERO);
    let mut record = |at| silence.record(Millis(at), state(0, 0), at > 2_000);
    let findings: Vec<_> = (1..=10).map(|check| record(check * CHECK_MS)).collect();
    let unread = findings
        .iter()
        .position(|finding| *finding == Finding::Unread);
    assert_eq!(unread, Some(9));
}

#[test]
fn nothing_is_checked_once_all_is_acknowledged() {
    let mut silence = PeerSilence::new(None);
    silence.begin(Millis::ZERO);
    let settled = silence.record(Millis(250), SendState::default(), false);
    assert_eq!(settled, Finding::Settled);
}

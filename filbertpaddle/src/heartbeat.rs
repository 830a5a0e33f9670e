//! Chooses a data centre's relay, schedules a node's heartbeats to it and keeps its
//! last answer.

use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::grant_mode::ModeState;
use filbertpaddle_core::membership;
use filbertpaddle_core::membership::Answer;
use filbertpaddle_core::membership::Confirmation;
use filbertpaddle_core::membership::Heartbeat;
use filbertpaddle_core::roster::Member;
use filbertpaddle_core::roster::NodeId;
use filbertpaddle_core::roster::Roster;

/// Time without an answer after which another relay is chosen.
const RELAY_TIMEOUT_MS: Millis = Millis(1_500);
/// Time for which the last answer is valid.
const ANSWER_VALID_MS: Millis = Millis(3_000);
/// Time for which a relay that did not answer is avoided.
const RELAY_AVOID_MS: Millis = Millis(5_000);

/// The member's side of the heartbeat protocol.
#[derive(Debug)]
pub struct RelayClient {
    relay: Option<NodeId>,
    last_relay_ms: Option<Millis>,
    last_sent_ms: Option<Millis>,
    last_answer_ms: Millis,
    avoided_relays: Vec<(NodeId, Millis)>,
    confirmation: Option<Confirmation>,
}

impl RelayClient {
    /// Returns a client that has sent no heartbeat.
    pub fn new(now: Millis) -> Self {
        Self {
            relay: None,
            last_relay_ms: None,
            last_sent_ms: None,
            last_answer_ms: now,
            avoided_relays: Vec::new(),
            confirmation: None,
        }
    }

    /// Returns the current relay.
    pub fn relay(&self) -> Option<&NodeId> {
        self.relay.as_ref()
    }

    /// Returns what the relay confirmed last, if its last answer is still valid.
    pub fn confirmation(&self, now: Millis) -> Option<&Confirmation> {
        let recent = now.since(self.last_answer_ms) < ANSWER_VALID_MS;
        self.confirmation.as_ref().filter(|_| recent)
    }

    /// Returns whether the last answer is no longer valid.
    pub fn is_lost(&self, now: Millis) -> bool {
        now.since(self.last_answer_ms) >= ANSWER_VALID_MS
    }

    /// Returns the heartbeat that is due, if any, and the relay to send it to.
    pub fn next_heartbeat(
        &mut self,
        now: Millis,
        roster: &Roster,
        data_centre: &str,
        mode_state: &mut ModeState,
        may_promise: bool,
    ) -> Option<(Member, Heartbeat)> {
        let interval_ms = membership::interval_ms(roster.members.len());
        if self
            .last_sent_ms
            .is_some_and(|at_ms| now.since(at_ms) < interval_ms)
        {
            return None;
        }
        let relay = self.choose_relay(now, roster, data_centre)?;
        self.last_sent_ms = Some(now);
        // Without a valid answer the node may have to use its shares, so it must not promise
        // the owners to leave them unused.
        let may_promise = may_promise && self.confirmation(now).is_some();
        let promise = match may_promise && self.last_relay_ms.is_some() {
            true => mode_state.promise(now),
            false => None,
        };
        let heartbeat = Heartbeat {
            sent_ms: now,
            echo_ms: self.last_relay_ms,
            version: roster.version,
            promise,
        };
        Some((relay, heartbeat))
    }

    /// Records the current relay's answer; ignores answers of other nodes.
    pub fn on_answer(&mut self, now: Millis, from: &NodeId, answer: &Answer, roster: &Roster) {
        if self.relay.as_ref() != Some(from) {
            return;
        }
        self.last_answer_ms = now;
        self.last_relay_ms = Some(answer.relay_ms);
        if let Some(confirmation) = membership::confirmation(answer, roster) {
            self.confirmation = Some(confirmation);
        }
    }

    fn choose_relay(&mut self, now: Millis, roster: &Roster, data_centre: &str) -> Option<Member> {
        self.avoided_relays.retain(|(_, until_ms)| now < *until_ms);
        if let Some(relay) = &self.relay
            && now.since(self.last_answer_ms) >= RELAY_TIMEOUT_MS
            && self
                .last_sent_ms
                .is_some_and(|at_ms| at_ms > self.last_answer_ms)
        {
            self.avoided_relays
                .push((relay.clone(), now + RELAY_AVOID_MS));
        }
        let avoided_relays = &self.avoided_relays;
        let is_open = |member: &Member| avoided_relays.iter().all(|(id, _)| *id != member.id);
        let first = roster
            .rendezvous_first(data_centre, is_open)
            .or_else(|| roster.rendezvous_first(data_centre, |_| true))?;
        if self.relay.as_ref() != Some(&first.id) {
            self.relay = Some(first.id.clone());
            self.last_relay_ms = None;
        }
        Some(first.clone())
    }
}

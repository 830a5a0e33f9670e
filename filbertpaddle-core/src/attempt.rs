//! One request with effects on the node that holds it, from its claim to its end.

use crate::claim::FinalResult;
use crate::claim::Id;
use crate::claim::Record;
use crate::claim::Row;
use crate::claim::State;
use crate::claim::Status;
use crate::group_commit::Change;
use crate::group_commit::ChangeOutcome;
use crate::group_commit::SettledChange;
use crate::name::Name;
use crate::outcome::Outcome;
use crate::outcome::Reason;

/// What the caller's request may do or is told.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Decision {
    /// The claim is held: the request may be sent once.
    Held,
    /// An earlier request with the same key and body ended like this.
    Replay(FinalResult),
    /// The request is refused.
    Refused(Outcome),
    /// The platform cannot be used now, and this request was not sent.
    Unavailable,
}

/// What an attempt wants done.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Step {
    /// Write a claim.
    Claim(Change),
    /// Write a change that no caller waits for.
    Write(Change),
    /// Ask the holder of the row.
    QueryHolder(Row),
    /// Tell the caller.
    Decide(Decision),
    /// Forget the attempt.
    Remove,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Phase {
    /// The claim is being written.
    Claiming { expected: Option<u64> },
    /// The holder of this row is being asked.
    Asking { row: Row },
    /// The request may be sent, or has been.
    Held { revision: u64 },
    /// The request has ended and its final_result is being written.
    Finishing { final_result: FinalResult },
    /// The request will never be sent; a write of its claim is in flight.
    Abandoned { expected: Option<u64> },
    /// The request will never be sent; its row is being cleared.
    Releasing,
}

/// One attempt to run a request with effects.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Attempt {
    id: Id,
    record: Record,
    phase: Phase,
}

impl Attempt {
    /// Makes an attempt and the first write of its claim.
    pub fn start(id: Id, record: Record) -> (Self, Vec<Step>) {
        let attempt = Self {
            id,
            record,
            phase: Phase::Claiming { expected: None },
        };
        let steps = vec![attempt.claim(None)];
        (attempt, steps)
    }

    /// Names the claim.
    pub fn id(&self) -> &Id {
        &self.id
    }

    /// Returns the digest of the request's body.
    pub fn digest(&self) -> &Name {
        &self.record.digest
    }

    /// Returns what another node may be told about the attempt.
    ///
    /// `Unsent` and `Ended` never change again.
    pub fn status(&self) -> Status {
        match &self.phase {
            Phase::Claiming { .. } | Phase::Asking { .. } | Phase::Held { .. } => Status::Running,
            Phase::Finishing { final_result } => Status::Ended(final_result.clone()),
            Phase::Abandoned { .. } | Phase::Releasing => Status::Unsent,
        }
    }

    /// Returns whether the attempt only waits for its row to be cleared.
    pub fn is_releasing(&self) -> bool {
        matches!(self.phase, Phase::Releasing)
    }

    /// Takes in the fate of the attempt's last change.
    pub fn on_settled(&mut self, settled: SettledChange) -> Vec<Step> {
        match self.phase.clone() {
            Phase::Claiming { expected } => self.on_claim_settled(expected, settled),
            Phase::Abandoned { expected } => self.on_abandoned_settled(expected, settled),
            Phase::Finishing { .. } | Phase::Releasing => self.on_final_settled(settled),
            Phase::Asking { .. } | Phase::Held { .. } => Vec::new(),
        }
    }

    /// Takes in what the holder of the row says about the attempt `about`.
    pub fn on_status(&mut self, about: &Name, status: Status) -> Vec<Step> {
        let Phase::Asking { row } = &self.phase else {
            return Vec::new();
        };
        if row.record.attempt != *about {
            return Vec::new();
        }
        let same_body = row.record.digest == self.record.digest;
        let decision = match status {
            Status::Unsent => {
                // The holder itself says that it will never send; the write
                // still takes effect only if the row has not changed since.
                let expected = Some(row.revision);
                self.phase = Phase::Claiming { expected };
                return vec![self.claim(expected)];
            }
            _ if !same_body => Decision::Refused(key_reused()),
            Status::Ended(final_result) => Decision::Replay(final_result),
            Status::Running => Decision::Refused(may_have_run(Reason::KeyInUse)),
            Status::Gone => Decision::Refused(may_have_run(Reason::HolderGone)),
        };
        vec![Step::Decide(decision), Step::Remove]
    }

    /// Gives up on a request that is not held yet: its caller waits no longer.
    ///
    /// `queued` is the attempt's claim if it was taken back from the queue.
    pub fn abandon(&mut self, queued: Option<Change>) -> Vec<Step> {
        let Phase::Claiming { expected } = self.phase else {
            return match self.phase {
                Phase::Asking { .. } => vec![Step::Decide(Decision::Unavailable), Step::Remove],
                _ => Vec::new(),
            };
        };
        let decide = Step::Decide(Decision::Unavailable);
        match queued {
            Some(change) if change.tries == 0 => vec![decide, Step::Remove],
            Some(_) => vec![decide, self.mark_released(expected)],
            None => {
                self.phase = Phase::Abandoned { expected };
                vec![decide]
            }
        }
    }

    /// Ends a request that was held.
    pub fn finish(&mut self, final_result: FinalResult) -> Vec<Step> {
        let Phase::Held { revision } = self.phase else {
            return Vec::new();
        };
        let step = self.write_final_result(revision, final_result.clone());
        self.phase = Phase::Finishing { final_result };
        vec![step]
    }

    /// Gives back a claim whose request was not sent and never will be.
    pub fn release(&mut self) -> Vec<Step> {
        let Phase::Held { revision } = self.phase else {
            return Vec::new();
        };
        vec![self.delete(revision)]
    }

    fn on_claim_settled(&mut self, expected: Option<u64>, settled: SettledChange) -> Vec<Step> {
        let unavailable = Step::Decide(Decision::Unavailable);
        match settled.outcome {
            ChangeOutcome::Committed { revision } => self.hold(revision),
            ChangeOutcome::Conflict { row } => self.on_conflict(row),
            ChangeOutcome::Pending => vec![Step::Claim(settled.change)],
            ChangeOutcome::NotDone if settled.change.tries == 0 => vec![unavailable, Step::Remove],
            ChangeOutcome::NotDone | ChangeOutcome::Unknown => {
                vec![unavailable, self.mark_released(expected)]
            }
        }
    }

    fn on_abandoned_settled(&mut self, expected: Option<u64>, settled: SettledChange) -> Vec<Step> {
        match settled.outcome {
            ChangeOutcome::Committed { revision } => vec![self.delete(revision)],
            ChangeOutcome::Conflict { row } => self.delete_if_claimed(row),
            ChangeOutcome::NotDone if settled.change.tries == 0 => vec![Step::Remove],
            ChangeOutcome::NotDone | ChangeOutcome::Pending | ChangeOutcome::Unknown => {
                vec![self.mark_released(expected)]
            }
        }
    }

    fn on_final_settled(&mut self, settled: SettledChange) -> Vec<Step> {
        match (settled.outcome, self.phase.clone()) {
            (ChangeOutcome::Committed { .. }, _) => vec![Step::Remove],
            (ChangeOutcome::Conflict { row: Some(row) }, Phase::Finishing { final_result })
                if row.record.is_claimed_by(&self.record.attempt) =>
            {
                vec![self.write_final_result(row.revision, final_result)]
            }
            (ChangeOutcome::Conflict { .. }, Phase::Finishing { .. }) => vec![Step::Remove],
            (ChangeOutcome::Conflict { row }, _) => self.delete_if_claimed(row),
            (ChangeOutcome::NotDone | ChangeOutcome::Pending | ChangeOutcome::Unknown, _) => {
                vec![Step::Write(settled.change)]
            }
        }
    }

    /// Decides about a claim whose row was not as expected.
    fn on_conflict(&mut self, row: Option<Row>) -> Vec<Step> {
        let Some(row) = row else {
            self.phase = Phase::Claiming { expected: None };
            return vec![self.claim(None)];
        };
        if row.record.is_claimed_by(&self.record.attempt) {
            return self.hold(row.revision);
        }
        let same_body = row.record.digest == self.record.digest;
        match &row.record.state {
            State::Released => {
                let expected = Some(row.revision);
                self.phase = Phase::Claiming { expected };
                vec![self.claim(expected)]
            }
            // An unsent claim is free for any body, so the holder is asked first.
            State::Claimed => {
                self.phase = Phase::Asking { row: row.clone() };
                vec![Step::QueryHolder(row)]
            }
            State::Finished(_) if !same_body => {
                vec![Step::Decide(Decision::Refused(key_reused())), Step::Remove]
            }
            State::Finished(final_result) => {
                vec![
                    Step::Decide(Decision::Replay(final_result.clone())),
                    Step::Remove,
                ]
            }
        }
    }

    fn hold(&mut self, revision: u64) -> Vec<Step> {
        self.phase = Phase::Held { revision };
        vec![Step::Decide(Decision::Held)]
    }

    /// Clears the row if it still shows this attempt, which was never sent.
    fn delete_if_claimed(&mut self, row: Option<Row>) -> Vec<Step> {
        match row {
            Some(row) if row.record.is_claimed_by(&self.record.attempt) => {
                vec![self.delete(row.revision)]
            }
            _ => vec![Step::Remove],
        }
    }

    /// Marks the row released, so that a claim still on its way cannot take effect.
    fn mark_released(&mut self, expected: Option<u64>) -> Step {
        self.phase = Phase::Releasing;
        Step::Write(self.change(expected, Some(State::Released)))
    }

    fn delete(&mut self, revision: u64) -> Step {
        self.phase = Phase::Releasing;
        Step::Write(self.change(Some(revision), None))
    }

    fn claim(&self, expected: Option<u64>) -> Step {
        Step::Claim(self.change(expected, Some(State::Claimed)))
    }

    fn write_final_result(&self, revision: u64, final_result: FinalResult) -> Step {
        Step::Write(self.change(Some(revision), Some(State::Finished(final_result))))
    }

    fn change(&self, expected: Option<u64>, state: Option<State>) -> Change {
        Change {
            attempt: self.record.attempt.clone(),
            id: self.id.clone(),
            expected,
            record: state.map(|state| self.record.with_state(state)),
            tries: 0,
        }
    }
}

/// The refusal of a key that was used with another body.
pub fn key_reused() -> Outcome {
    Outcome::NotRun {
        reason: Reason::KeyReused,
        retry_after_ms: None,
    }
}

/// The refusal of a request that may be running or have run elsewhere.
pub fn may_have_run(reason: Reason) -> Outcome {
    Outcome::MayHaveRun { reason }
}

//! State machine of one attempt to run a non-idempotent request: claims its key, then
//! records its final result or releases the claim.

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

/// Decision on a caller's request.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Decision {
    /// The attempt holds the claim, so the request may be sent once.
    Held,
    /// An earlier request with the same key and body has this result.
    Replay(FinalResult),
    /// The request is refused.
    Refused(Outcome),
    /// The platform is unavailable, and the request was not sent.
    Unavailable,
}

/// Step that the owner of an attempt must perform.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Step {
    /// Write a claim.
    Claim(Change),
    /// Write a change that no caller is waiting for.
    Write(Change),
    /// Query the holder of the row for its status.
    QueryHolder(Row),
    /// Report the decision to the caller.
    Decide(Decision),
    /// Remove the attempt from the node's claims.
    Remove,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Phase {
    /// The claim is being written.
    Claiming { expected: Option<u64> },
    /// The holder of this row has been queried.
    Querying { row: Row },
    /// The request may be sent or has been sent.
    Held { revision: u64 },
    /// The request has ended, and its final result is being written.
    Finishing { final_result: FinalResult },
    /// The request will not be sent, but a write of its claim is in flight.
    Abandoned { expected: Option<u64> },
    /// The request will not be sent, and its row is being deleted or marked released.
    Releasing,
}

/// One attempt to run a non-idempotent request.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Attempt {
    id: Id,
    record: Record,
    phase: Phase,
}

impl Attempt {
    /// Creates an attempt and returns it with the first write of its claim.
    pub fn start(id: Id, record: Record) -> (Self, Vec<Step>) {
        let attempt = Self {
            id,
            record,
            phase: Phase::Claiming { expected: None },
        };
        let steps = vec![attempt.claim(None)];
        (attempt, steps)
    }

    /// Returns the identifier of the claim.
    pub fn id(&self) -> &Id {
        &self.id
    }

    /// Returns the digest of the request's body.
    pub fn digest(&self) -> &Name {
        &self.record.digest
    }

    /// Returns the status to report to other nodes.
    ///
    /// `Unsent` and `Ended` are final.
    pub fn status(&self) -> Status {
        match &self.phase {
            Phase::Claiming { .. } | Phase::Querying { .. } | Phase::Held { .. } => Status::Running,
            Phase::Finishing { final_result } => Status::Ended(final_result.clone()),
            Phase::Abandoned { .. } | Phase::Releasing => Status::Unsent,
        }
    }

    /// Returns whether only the row of the attempt is left to clear.
    pub fn is_releasing(&self) -> bool {
        matches!(self.phase, Phase::Releasing)
    }

    /// Handles the outcome of the attempt's last change.
    pub fn on_settled(&mut self, settled: SettledChange) -> Vec<Step> {
        match self.phase.clone() {
            Phase::Claiming { expected } => self.on_claim_settled(expected, settled),
            Phase::Abandoned { expected } => self.on_abandoned_settled(expected, settled),
            Phase::Finishing { .. } | Phase::Releasing => self.on_final_settled(settled),
            Phase::Querying { .. } | Phase::Held { .. } => Vec::new(),
        }
    }

    /// Handles the status of attempt `about` reported by the holder of its row.
    pub fn on_status(&mut self, about: &Name, status: Status) -> Vec<Step> {
        let Phase::Querying { row } = &self.phase else {
            return Vec::new();
        };
        if row.record.attempt != *about {
            return Vec::new();
        }
        let same_body = row.record.digest == self.record.digest;
        let decision = match status {
            Status::Unsent => {
                // The holder has confirmed that it will never send. The write
                // is still conditional on the revision that was read.
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

    /// Abandons a request whose claim is not held yet, since its caller stopped waiting.
    ///
    /// `queued` is the attempt's claim if it was still queued and has been removed.
    pub fn abandon(&mut self, queued: Option<Change>) -> Vec<Step> {
        let Phase::Claiming { expected } = self.phase else {
            return match self.phase {
                Phase::Querying { .. } => vec![Step::Decide(Decision::Unavailable), Step::Remove],
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

    /// Records the final result of a request whose claim is held.
    pub fn finish(&mut self, final_result: FinalResult) -> Vec<Step> {
        let Phase::Held { revision } = self.phase else {
            return Vec::new();
        };
        let step = self.write_final_result(revision, final_result.clone());
        self.phase = Phase::Finishing { final_result };
        vec![step]
    }

    /// Releases the claim of a request that was not sent and never will be.
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

    /// Handles a row that did not have the expected revision.
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
            // If the holder never sent its request, any body may take over the
            // key, so the holder is queried before the digests are compared.
            State::Claimed => {
                self.phase = Phase::Querying { row: row.clone() };
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

    /// Deletes the row if this attempt, which was never sent, still claims it.
    fn delete_if_claimed(&mut self, row: Option<Row>) -> Vec<Step> {
        match row {
            Some(row) if row.record.is_claimed_by(&self.record.attempt) => {
                vec![self.delete(row.revision)]
            }
            _ => vec![Step::Remove],
        }
    }

    /// Marks the row released, so that a late write of the claim fails its condition.
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

/// Returns the outcome for a key that was used with another body.
pub fn key_reused() -> Outcome {
    Outcome::NotRun {
        reason: Reason::KeyReused,
        retry_after_ms: None,
    }
}

/// Returns the outcome for a request that may be running or have run elsewhere.
pub fn may_have_run(reason: Reason) -> Outcome {
    Outcome::MayHaveRun { reason }
}

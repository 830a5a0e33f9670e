//! All claims of one node: claims keys for its non-idempotent requests and answers
//! status queries of other nodes.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::attempt;
use crate::attempt::Attempt;
use crate::attempt::Decision;
use crate::attempt::Step;
use crate::claim::FinalResult;
use crate::claim::Id;
use crate::claim::Record;
use crate::claim::Row;
use crate::claim::State;
use crate::claim::Status;
use crate::claim::StatusQuery;
use crate::claim::StatusReply;
use crate::clock::Millis;
use crate::group_commit;
use crate::group_commit::Change;
use crate::group_commit::GroupCommit;
use crate::group_commit::SettledChange;
use crate::name::Name;
use crate::outcome::Outcome;
use crate::outcome::Reason;

/// Settings of a node's claims.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Settings {
    /// Rate and size of transactions.
    pub group_commit: group_commit::Settings,
    /// Maximum number of abandoned claims whose rows wait to be cleared.
    pub max_backlog: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            group_commit: group_commit::Settings::default(),
            max_backlog: 4_096,
        }
    }
}

/// A non-idempotent request to claim.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Request {
    /// Identifier of the claim.
    pub id: Id,
    /// Attempt that will run the request; unique across all nodes.
    pub attempt: Name,
    /// Digest of the request's body.
    pub digest: Name,
    /// Unix time of the request.
    pub now_unix_ms: Millis,
}

/// Input to [`Claims`].
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// A caller's request needs a claim.
    Claim(Request),
    /// The caller stopped waiting for a claim that is not held yet.
    Abandon {
        /// The request's attempt.
        attempt: Name,
    },
    /// A request whose claim is held was not sent and never will be.
    Release {
        /// The request's attempt.
        attempt: Name,
    },
    /// A request whose claim is held has ended.
    Finish {
        /// The request's attempt.
        attempt: Name,
        /// Its final result.
        final_result: FinalResult,
    },
    /// The transaction in flight has ended with this result.
    TransactionDone(group_commit::TransactionResult),
    /// The requested rows were read, with absent rows left out; `None` if the read failed.
    ReadBack(Option<BTreeMap<Id, Row>>),
    /// Another node queried the status of an attempt of this node.
    QueryReceived {
        /// The node that sent the query.
        from: Name,
        /// The query.
        query: StatusQuery,
    },
    /// Another node replied to a query; [`Status::Gone`] if it did not reply in time.
    ReplyReceived(StatusReply),
    /// Rows past their retention were found.
    Expired(Vec<(Id, Row)>),
    /// Time has passed.
    Tick,
}

/// Output of [`Claims`], for the caller to perform.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Perform a transaction and report with [`Event::TransactionDone`].
    Transact(Vec<Change>),
    /// Read rows and report with [`Event::ReadBack`].
    Read(Vec<Id>),
    /// Query a node and report with [`Event::ReplyReceived`].
    SendQuery {
        /// The node to query.
        holder: Name,
        /// The query.
        query: StatusQuery,
    },
    /// Reply to another node.
    SendReply {
        /// The node that sent the query.
        to: Name,
        /// The reply.
        reply: StatusReply,
    },
    /// Report a decision to the caller's request.
    Decide {
        /// The request's attempt.
        attempt: Name,
        /// The decision.
        decision: Decision,
    },
}

/// The claims of one node.
///
/// An attempt stays in the map until it can no longer be sent, or until its
/// final result is in the table. So an attempt of the current incarnation that
/// is not in the map was never sent and never will be, unless its row has
/// changed since.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Claims {
    node: Name,
    incarnation: u64,
    settings: Settings,
    // Ordered maps, since the model checker hashes the state.
    attempts: BTreeMap<Name, Attempt>,
    current: BTreeMap<Id, Name>,
    releasing: BTreeSet<Name>,
    dropped: u64,
    group_commit: GroupCommit,
}

impl Claims {
    /// Creates the claims of a node that has just started.
    pub fn new(node: Name, incarnation: u64, settings: Settings) -> Self {
        Self {
            node,
            incarnation,
            settings,
            attempts: BTreeMap::new(),
            current: BTreeMap::new(),
            releasing: BTreeSet::new(),
            dropped: 0,
            group_commit: GroupCommit::new(settings.group_commit),
        }
    }

    /// Returns when the next [`Event::Tick`] is due, if any.
    pub fn next_tick(&self) -> Option<Millis> {
        self.group_commit.next_start()
    }

    /// Returns the number of attempts that are not settled.
    pub fn len(&self) -> usize {
        self.attempts.len()
    }

    /// Returns whether all attempts are settled.
    pub fn is_empty(&self) -> bool {
        self.attempts.is_empty()
    }

    /// Returns the number of abandoned claims whose rows wait to be cleared.
    pub fn backlog(&self) -> usize {
        self.releasing.len()
    }

    /// Returns the number of abandoned claims that did not fit the backlog.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }

    /// Handles an event and returns the actions to perform.
    pub fn on(&mut self, now: Millis, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Claim(request) => self.claim(now, request, &mut actions),
            Event::Abandon { attempt } => self.abandon(&attempt, &mut actions),
            Event::Release { attempt } => self.release(&attempt, &mut actions),
            Event::Finish {
                attempt,
                final_result,
            } => self.finish(&attempt, final_result, &mut actions),
            Event::TransactionDone(result) => self.on_transaction_done(now, result, &mut actions),
            Event::ReadBack(rows) => {
                let settled = self.group_commit.read_back(now, rows.as_ref());
                self.settle(settled, &mut actions);
                self.refuse_queued(now, &mut actions);
            }
            Event::QueryReceived { from, query } => actions.push(self.reply_to_query(from, query)),
            Event::ReplyReceived(reply) => self.on_reply(&reply, &mut actions),
            Event::Expired(rows) => self.expire(rows),
            Event::Tick => {}
        }
        actions.extend(self.group_commit.start(now).map(Action::Transact));
        actions
    }

    fn claim(&mut self, now: Millis, request: Request, actions: &mut Vec<Action>) {
        if let Some(decision) = self.decide_locally(now, &request) {
            actions.push(Action::Decide {
                attempt: request.attempt,
                decision,
            });
            return;
        }
        let record = Record {
            attempt: request.attempt.clone(),
            digest: request.digest,
            holder: self.node.clone(),
            incarnation: self.incarnation,
            claimed_at_ms: request.now_unix_ms,
            state: State::Claimed,
        };
        self.current
            .insert(request.id.clone(), request.attempt.clone());
        let (attempt, steps) = Attempt::start(request.id, record);
        self.attempts.insert(request.attempt.clone(), attempt);
        self.perform(&request.attempt, steps, actions);
    }

    /// Decides on a request without access to the table, if possible.
    fn decide_locally(&self, now: Millis, request: &Request) -> Option<Decision> {
        let other = self
            .current
            .get(&request.id)
            .and_then(|attempt| self.attempts.get(attempt));
        if let Some(other) = other {
            if *other.digest() != request.digest {
                return Some(Decision::Refused(attempt::key_reused()));
            }
            return Some(match other.status() {
                Status::Ended(final_result) => Decision::Replay(final_result),
                _ => Decision::Refused(attempt::may_have_run(Reason::KeyInUse)),
            });
        }
        let retry_after_ms = self.group_commit.retry_after(now)?;
        Some(Decision::Refused(unavailable(retry_after_ms)))
    }

    fn abandon(&mut self, name: &Name, actions: &mut Vec<Action>) {
        let Some(attempt) = self.attempts.get_mut(name) else {
            return;
        };
        let queued = self.group_commit.cancel_claim(name);
        let steps = attempt.abandon(queued);
        self.perform(name, steps, actions);
    }

    fn release(&mut self, name: &Name, actions: &mut Vec<Action>) {
        let Some(attempt) = self.attempts.get_mut(name) else {
            return;
        };
        let steps = attempt.release();
        self.perform(name, steps, actions);
    }

    fn finish(&mut self, name: &Name, final_result: FinalResult, actions: &mut Vec<Action>) {
        let Some(attempt) = self.attempts.get_mut(name) else {
            return;
        };
        let steps = match final_result.outcome {
            Outcome::NotRun { .. } => attempt.release(),
            _ => attempt.finish(final_result),
        };
        self.perform(name, steps, actions);
    }

    fn on_transaction_done(
        &mut self,
        now: Millis,
        result: group_commit::TransactionResult,
        actions: &mut Vec<Action>,
    ) {
        let settled = self.group_commit.on_transaction_done(now, result);
        self.settle(settled, actions);
        let unsettled = self.group_commit.unsettled();
        if !unsettled.is_empty() {
            actions.push(Action::Read(unsettled));
        }
        self.refuse_queued(now, actions);
    }

    /// Refuses all queued claims at once after a platform failure.
    fn refuse_queued(&mut self, now: Millis, actions: &mut Vec<Action>) {
        if self.group_commit.retry_after(now).is_none() {
            return;
        }
        for change in self.group_commit.cancel_claims() {
            let name = change.attempt.clone();
            let Some(attempt) = self.attempts.get_mut(&name) else {
                continue;
            };
            let steps = attempt.abandon(Some(change));
            self.perform(&name, steps, actions);
        }
    }

    fn settle(&mut self, settled: Vec<SettledChange>, actions: &mut Vec<Action>) {
        for settled in settled {
            let name = settled.change.attempt.clone();
            let Some(attempt) = self.attempts.get_mut(&name) else {
                continue;
            };
            let steps = attempt.on_settled(settled);
            self.perform(&name, steps, actions);
        }
    }

    fn reply_to_query(&self, from: Name, query: StatusQuery) -> Action {
        let status = self.status(&query);
        Action::SendReply {
            to: from,
            reply: StatusReply {
                requester: query.requester,
                attempt: query.attempt,
                status,
            },
        }
    }

    fn status(&self, query: &StatusQuery) -> Status {
        if query.incarnation != self.incarnation {
            return Status::Gone;
        }
        self.attempts
            .get(&query.attempt)
            .map_or(Status::Unsent, Attempt::status)
    }

    fn on_reply(&mut self, reply: &StatusReply, actions: &mut Vec<Action>) {
        let Some(attempt) = self.attempts.get_mut(&reply.requester) else {
            return;
        };
        let steps = attempt.on_status(&reply.attempt, reply.status.clone());
        self.perform(&reply.requester, steps, actions);
    }

    fn expire(&mut self, rows: Vec<(Id, Row)>) {
        for (id, row) in rows {
            self.group_commit.push_background(Change {
                // No attempt waits for the outcome of the deletion.
                attempt: Name::default(),
                id,
                expected: Some(row.revision),
                record: None,
                tries: 0,
            });
        }
    }

    fn perform(&mut self, name: &Name, steps: Vec<Step>, actions: &mut Vec<Action>) {
        self.free_key_if_unsent(name);
        for step in steps {
            match step {
                Step::Claim(change) => self.group_commit.push_claim(change),
                Step::Write(change) => self.push_background(name, change),
                Step::QueryHolder(row) => self.query_holder(name, &row, actions),
                Step::Decide(decision) => actions.push(self.decide(name, decision)),
                Step::Remove => self.remove_attempt(name),
            }
        }
    }

    /// Frees the key of an attempt that will never be sent for a new request.
    fn free_key_if_unsent(&mut self, name: &Name) {
        if let Some(attempt) = self.attempts.get(name)
            && attempt.status() == Status::Unsent
            && self.current.get(attempt.id()) == Some(name)
        {
            self.current.remove(attempt.id());
        }
    }

    fn push_background(&mut self, name: &Name, change: Change) {
        let releasing = self.attempts.get(name).is_some_and(Attempt::is_releasing);
        if releasing && !self.releasing.contains(name) {
            if self.releasing.len() >= self.settings.max_backlog {
                // A node that finds the row can still query this one, which replies
                // that the attempt was not sent.
                self.dropped += 1;
                self.remove_attempt(name);
                return;
            }
            self.releasing.insert(name.clone());
        }
        self.group_commit.push_background(change);
    }

    fn query_holder(&mut self, requester: &Name, row: &Row, actions: &mut Vec<Action>) {
        let query = StatusQuery {
            requester: requester.clone(),
            attempt: row.record.attempt.clone(),
            incarnation: row.record.incarnation,
        };
        if row.record.holder != self.node {
            actions.push(Action::SendQuery {
                holder: row.record.holder.clone(),
                query,
            });
            return;
        }
        let reply = StatusReply {
            requester: query.requester.clone(),
            attempt: query.attempt.clone(),
            status: self.status(&query),
        };
        self.on_reply(&reply, actions);
    }

    fn decide(&self, name: &Name, decision: Decision) -> Action {
        let decision = match decision {
            Decision::Unavailable => {
                Decision::Refused(unavailable(self.settings.group_commit.backoff_ms))
            }
            decision => decision,
        };
        Action::Decide {
            attempt: name.clone(),
            decision,
        }
    }

    fn remove_attempt(&mut self, name: &Name) {
        let Some(attempt) = self.attempts.remove(name) else {
            return;
        };
        if self.current.get(attempt.id()) == Some(name) {
            self.current.remove(attempt.id());
        }
        self.releasing.remove(name);
    }
}

/// Returns the outcome for a request while the platform is unavailable.
fn unavailable(retry_after_ms: Millis) -> Outcome {
    Outcome::NotRun {
        reason: Reason::PlatformUnavailable,
        retry_after_ms: Some(retry_after_ms),
    }
}

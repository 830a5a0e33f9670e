//! State of the model: two nodes, the row of one claim and the messages in transit.

use std::collections::BTreeMap;
use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;

use filbertpaddle_core::attempt::Decision;
use filbertpaddle_core::claim::FinalResult;
use filbertpaddle_core::claim::Id;
use filbertpaddle_core::claim::Row;
use filbertpaddle_core::claim::Status;
use filbertpaddle_core::claim::StatusQuery;
use filbertpaddle_core::claim::StatusReply;
use filbertpaddle_core::claim::StoredAnswer;
use filbertpaddle_core::claims::Action;
use filbertpaddle_core::claims::Claims;
use filbertpaddle_core::claims::Event;
use filbertpaddle_core::claims::Request;
use filbertpaddle_core::claims::Settings;
use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::group_commit;
use filbertpaddle_core::group_commit::Change;
use filbertpaddle_core::name::Name;
use filbertpaddle_core::outcome::Outcome;
use filbertpaddle_core::outcome::Reason;

/// Change of the system that breaks it on purpose, so that the checker must find a violation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Mutation {
    /// The unchanged system.
    None,
    /// A holder that does not reply in time is assumed to have released its claim.
    TakeoverOnTimer,
    /// A node keeps its incarnation when it restarts.
    SameIncarnation,
}

/// Remaining number of each fault and choice.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Budget {
    /// Digests of the bodies still to be submitted, taken from the end.
    pub(crate) submissions: Vec<&'static str>,
    /// Platform answers lost or delayed, and transactions refused.
    pub(crate) losses: u8,
    /// Node crashes, each followed by a restart.
    pub(crate) crashes: u8,
    /// Status queries whose reply times out.
    pub(crate) reply_timeouts: u8,
    /// Requests released unsent after their claim was held.
    pub(crate) releases: u8,
    /// Requests abandoned by their caller before the claim is decided.
    pub(crate) abandonments: u8,
}

/// Facts recorded on the path to a state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct History {
    /// Attempts that were sent, with the digest of their body.
    pub(crate) sent: BTreeMap<Name, Name>,
    /// First violation of an invariant, if any.
    pub(crate) violation: Option<String>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct World {
    nodes: [Node; 2],
    row: Option<Row>,
    revision: u64,
    messages: Vec<Message>,
    budget: Budget,
    mutation: Mutation,
    pub(crate) history: History,
    /// Kinds of the decisions made in the last step.
    pub(crate) decisions: Vec<&'static str>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Node {
    claims: Claims,
    incarnation: u64,
    tasks: BTreeMap<Name, Task>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Task {
    digest: Name,
    stage: Stage,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Stage {
    Waiting,
    Held,
    Sent,
}

/// Message in transit between a node and the platform or another node.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Message {
    Transact {
        node: usize,
        changes: Vec<Change>,
        awaited: bool,
    },
    CommitResult {
        node: usize,
        result: group_commit::TransactionResult,
    },
    Read {
        node: usize,
    },
    Rows {
        node: usize,
        rows: BTreeMap<Id, Row>,
    },
    Query {
        node: usize,
        to: usize,
        query: StatusQuery,
    },
    Reply {
        to: usize,
        reply: StatusReply,
    },
}

impl World {
    pub(crate) fn new(budget: Budget, mutation: Mutation) -> Self {
        Self {
            nodes: [Node::new(0, 1), Node::new(1, 1)],
            row: None,
            revision: 0,
            messages: Vec::new(),
            budget,
            mutation,
            history: History::default(),
            decisions: Vec::new(),
        }
    }

    /// Returns all successor states, each with the decisions made in its step.
    pub(crate) fn successors(&self) -> Vec<Self> {
        if self.history.violation.is_some() {
            return Vec::new();
        }
        let mut next = Vec::new();
        for node in 0..self.nodes.len() {
            next.extend(self.submitted(node));
            next.extend(self.crashed(node));
            for attempt in self.nodes[node].tasks.keys() {
                next.extend(self.task_steps(node, attempt));
            }
        }
        for index in 0..self.messages.len() {
            next.extend(self.message_steps(index));
        }
        next
    }

    /// Returns whether only new submissions and faults are possible.
    pub(crate) fn is_quiescent(&self) -> bool {
        self.messages.is_empty() && self.nodes.iter().all(|node| node.tasks.is_empty())
    }

    /// Returns whether all attempts of all nodes are settled.
    pub(crate) fn is_settled(&self) -> bool {
        self.nodes.iter().all(|node| node.claims.is_empty())
    }

    fn submitted(&self, node: usize) -> Option<Self> {
        let mut world = self.clone();
        let digest = Name::from(world.budget.submissions.pop()?);
        let attempt = Name::from(format!("attempt {}", world.budget.submissions.len()));
        let task = Task {
            digest: digest.clone(),
            stage: Stage::Waiting,
        };
        world.nodes[node].tasks.insert(attempt.clone(), task);
        world.on(
            node,
            Event::Claim(Request {
                id: id(),
                attempt,
                digest,
                now_unix_ms: Millis::ZERO,
            }),
        );
        Some(world)
    }

    fn crashed(&self, node: usize) -> Option<Self> {
        let mut world = self.clone();
        world.budget.crashes = world.budget.crashes.checked_sub(1)?;
        let incarnation = match world.mutation {
            Mutation::SameIncarnation => world.nodes[node].incarnation,
            _ => world.nodes[node].incarnation + 1,
        };
        world.nodes[node] = Node::new(node, incarnation);
        world
            .messages
            .retain(|message| !message.is_lost_in_crash_of(node));
        for message in &mut world.messages {
            message.detach_transaction(node);
        }
        Some(world)
    }

    fn task_steps(&self, node: usize, attempt: &Name) -> Vec<Self> {
        let task = &self.nodes[node].tasks[attempt];
        match task.stage {
            Stage::Waiting => self.abandoned(node, attempt).into_iter().collect(),
            Stage::Held => {
                let released = self.released(node, attempt);
                released
                    .into_iter()
                    .chain([self.sent(node, attempt)])
                    .collect()
            }
            Stage::Sent => vec![self.finished(node, attempt)],
        }
    }

    fn abandoned(&self, node: usize, attempt: &Name) -> Option<Self> {
        let mut world = self.clone();
        world.budget.abandonments = world.budget.abandonments.checked_sub(1)?;
        let attempt = attempt.clone();
        world.on(node, Event::Abandon { attempt });
        Some(world)
    }

    fn released(&self, node: usize, attempt: &Name) -> Option<Self> {
        let mut world = self.clone();
        world.budget.releases = world.budget.releases.checked_sub(1)?;
        world.nodes[node].tasks.remove(attempt);
        let attempt = attempt.clone();
        world.on(node, Event::Release { attempt });
        Some(world)
    }

    fn sent(&self, node: usize, attempt: &Name) -> Self {
        let mut world = self.clone();
        if let Some(task) = world.nodes[node].tasks.get_mut(attempt) {
            task.stage = Stage::Sent;
            let digest = task.digest.clone();
            world.history.sent.insert(attempt.clone(), digest);
        }
        if world.history.sent.len() > 1 {
            world.record_violation("sent twice");
        }
        world
    }

    fn finished(&self, node: usize, attempt: &Name) -> Self {
        let mut world = self.clone();
        world.nodes[node].tasks.remove(attempt);
        let final_result = FinalResult {
            outcome: Outcome::Complete { tokens: 1 },
            answer: StoredAnswer::Inline(attempt.clone()),
        };
        let attempt = attempt.clone();
        world.on(
            node,
            Event::Finish {
                attempt,
                final_result,
            },
        );
        world
    }

    fn message_steps(&self, index: usize) -> Vec<Self> {
        let mut world = self.clone();
        let message = world.messages.remove(index);
        match message {
            Message::Transact {
                node,
                changes,
                awaited,
            } => world.transact_steps(node, changes, awaited),
            Message::CommitResult { node, result } => {
                let lost = world.lose(
                    node,
                    Event::TransactionDone(group_commit::TransactionResult::Unknown),
                );
                world.on(node, Event::TransactionDone(result));
                lost.into_iter().chain([world]).collect()
            }
            Message::Read { node } => {
                let lost = world.lose(node, Event::ReadBack(None));
                let rows = world.row.iter().map(|row| (id(), row.clone())).collect();
                world.send(Message::Rows { node, rows });
                lost.into_iter().chain([world]).collect()
            }
            Message::Rows { node, rows } => {
                world.on(node, Event::ReadBack(Some(rows)));
                vec![world]
            }
            Message::Query { node, to, query } => world.query_steps(node, to, query),
            Message::Reply { to, reply } => {
                world.on(to, Event::ReplyReceived(reply));
                vec![world]
            }
        }
    }

    /// Returns the states after the transaction commits or conflicts, and, while the budget
    /// lasts, after it is refused or delayed beyond the time-out.
    fn transact_steps(&self, node: usize, changes: Vec<Change>, awaited: bool) -> Vec<Self> {
        let mut next = Vec::new();
        if awaited {
            next.extend(self.lose(
                node,
                Event::TransactionDone(group_commit::TransactionResult::NotDone),
            ));
            let delayed = self.lose(
                node,
                Event::TransactionDone(group_commit::TransactionResult::Unknown),
            );
            next.extend(delayed.map(|mut world| {
                world.send(Message::Transact {
                    node,
                    changes: changes.clone(),
                    awaited: false,
                });
                world
            }));
        }
        let mut world = self.clone();
        let result = world.transact(&changes);
        if awaited {
            world.send(Message::CommitResult { node, result });
        }
        next.push(world);
        next
    }

    /// Returns the states after the query arrives, and, while the budget lasts, after it
    /// times out and stays in transit.
    fn query_steps(&self, node: usize, to: usize, query: StatusQuery) -> Vec<Self> {
        let mut next = Vec::new();
        let mut delivered = self.clone();
        let from = name(node);
        let received = Event::QueryReceived {
            from,
            query: query.clone(),
        };
        delivered.on(to, received);
        next.push(delivered);
        if let Some(reply_timeouts) = self.budget.reply_timeouts.checked_sub(1) {
            let mut timed_out = self.clone();
            timed_out.budget.reply_timeouts = reply_timeouts;
            let status = match timed_out.mutation {
                Mutation::TakeoverOnTimer => Status::Unsent,
                _ => Status::Gone,
            };
            let reply = StatusReply {
                requester: query.requester.clone(),
                attempt: query.attempt.clone(),
                status,
            };
            timed_out.send(Message::Query { node, to, query });
            timed_out.on(node, Event::ReplyReceived(reply));
            next.push(timed_out);
        }
        next
    }

    fn lose(&self, node: usize, event: Event) -> Option<Self> {
        let mut world = self.clone();
        world.budget.losses = world.budget.losses.checked_sub(1)?;
        world.on(node, event);
        Some(world)
    }

    fn transact(&mut self, changes: &[Change]) -> group_commit::TransactionResult {
        let revision = self.row.as_ref().map(|row| row.revision);
        if changes.iter().any(|change| change.expected != revision) {
            let rows = BTreeMap::from([(id(), self.row.clone())]);
            return group_commit::TransactionResult::Conflict { rows };
        }
        self.revision += 1;
        let revision = self.revision;
        for change in changes {
            self.row = change.record.clone().map(|record| Row { record, revision });
        }
        group_commit::TransactionResult::Committed { revision }
    }

    fn on(&mut self, node: usize, event: Event) {
        let actions = self.nodes[node].claims.on(Millis::ZERO, event);
        for action in actions {
            self.perform(node, action);
        }
    }

    fn perform(&mut self, node: usize, action: Action) {
        match action {
            Action::Transact(changes) => self.send(Message::Transact {
                node,
                changes,
                awaited: true,
            }),
            Action::Read(_) => self.send(Message::Read { node }),
            Action::SendQuery { holder, query } => self.send(Message::Query {
                node,
                to: index(&holder),
                query,
            }),
            Action::SendReply { to, reply } => self.send(Message::Reply {
                to: index(&to),
                reply,
            }),
            Action::Decide { attempt, decision } => self.decide(node, &attempt, decision),
        }
    }

    fn decide(&mut self, node: usize, attempt: &Name, decision: Decision) {
        let Some(task) = self.nodes[node].tasks.remove(attempt) else {
            return self.record_violation("decision for an unknown request");
        };
        self.decisions.push(kind(&decision));
        match decision {
            Decision::Held => {
                let stage = Stage::Held;
                let task = Task { stage, ..task };
                self.nodes[node].tasks.insert(attempt.clone(), task);
            }
            Decision::Replay(final_result) => self.check_replay(&task, &final_result),
            Decision::Refused(Outcome::NotRun { .. })
                if self.history.sent.contains_key(attempt) =>
            {
                self.record_violation("reported as not run after it was sent");
            }
            Decision::Refused(_) => {}
            Decision::Unavailable => self.record_violation("decision not converted to an outcome"),
        }
    }

    fn check_replay(&mut self, task: &Task, final_result: &FinalResult) {
        let StoredAnswer::Inline(attempt) = &final_result.answer else {
            return self.record_violation("replay without an answer");
        };
        if self.history.sent.get(attempt) != Some(&task.digest) {
            self.record_violation("replay of another request's answer");
        }
    }

    fn record_violation(&mut self, violation: &str) {
        self.history.violation = Some(violation.to_owned());
    }

    fn send(&mut self, message: Message) {
        self.messages.push(message);
        // Messages arrive in any order, so sorting them merges states that differ only by
        // their order.
        self.messages.sort_by_cached_key(|message| {
            let mut hasher = DefaultHasher::new();
            message.hash(&mut hasher);
            hasher.finish()
        });
    }
}

impl Node {
    fn new(index: usize, incarnation: u64) -> Self {
        let settings = Settings {
            group_commit: group_commit::Settings {
                max_rows: 4,
                pace_ms: Millis::ZERO,
                backoff_ms: Millis::ZERO,
            },
            max_backlog: 1,
        };
        Self {
            claims: Claims::new(name(index), incarnation, settings),
            incarnation,
            tasks: BTreeMap::new(),
        }
    }
}

impl Message {
    /// Returns whether the message is lost when the node crashes.
    fn is_lost_in_crash_of(&self, crashed: usize) -> bool {
        match self {
            Self::CommitResult { node, .. }
            | Self::Read { node }
            | Self::Rows { node, .. }
            | Self::Query { node, .. } => *node == crashed,
            Self::Reply { to, .. } => *to == crashed,
            Self::Transact { .. } => false,
        }
    }

    /// Leaves a transaction of a crashed node in transit with no node awaiting its result.
    fn detach_transaction(&mut self, crashed: usize) {
        if let Self::Transact { node, awaited, .. } = self
            && *node == crashed
        {
            *awaited = false;
        }
    }
}

fn kind(decision: &Decision) -> &'static str {
    match decision {
        Decision::Held => "held",
        Decision::Replay(_) => "replay",
        Decision::Refused(Outcome::MayHaveRun {
            reason: Reason::HolderGone,
        }) => "holder gone",
        Decision::Refused(Outcome::MayHaveRun { .. }) => "key in use",
        Decision::Refused(Outcome::NotRun {
            reason: Reason::KeyReused,
            ..
        }) => "key reused",
        Decision::Refused(_) | Decision::Unavailable => "unavailable",
    }
}

fn id() -> Id {
    Id {
        customer: "customer".into(),
        key: "key".into(),
    }
}

fn name(index: usize) -> Name {
    ["node 0", "node 1"][index].into()
}

fn index(name: &Name) -> usize {
    usize::from(name != "node 0")
}

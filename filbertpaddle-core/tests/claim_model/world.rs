//! Two nodes, one claim's row and the network between them.

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

/// A mistake that the model checker must find.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Mistake {
    /// None: the system as it is.
    None,
    /// A holder that does not answer in time is taken to have released its claim.
    TakeoverOnTimer,
    /// A node that restarts keeps its incarnation.
    SameIncarnation,
}

/// How often each fault and choice may still occur.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Budget {
    /// Digests of the bodies still to be submitted, last first.
    pub(crate) submissions: Vec<&'static str>,
    /// Answers lost or late, and requests refused.
    pub(crate) losses: u8,
    /// Crashes with restart.
    pub(crate) crashes: u8,
    /// Questions whose answer is late.
    pub(crate) silences: u8,
    /// Held requests released unsent.
    pub(crate) releases: u8,
    /// Requests whose caller gives up before the claim is decided.
    pub(crate) abandonments: u8,
}

/// What has been seen on the way to a state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Seen {
    /// Attempts that were sent, with the digest of their body.
    pub(crate) sent: BTreeMap<Name, Name>,
    /// What went wrong.
    pub(crate) fault: Option<String>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct World {
    nodes: [Node; 2],
    row: Option<Row>,
    revision: u64,
    flights: Vec<Flight>,
    budget: Budget,
    mistake: Mistake,
    pub(crate) seen: Seen,
    /// Kinds of the decisions given in the last step.
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

/// Something on its way over the network.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Flight {
    Transact {
        node: usize,
        changes: Vec<Change>,
        awaited: bool,
    },
    Answer {
        node: usize,
        answer: group_commit::TransactionResult,
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
    pub(crate) fn new(budget: Budget, mistake: Mistake) -> Self {
        Self {
            nodes: [Node::new(0, 1), Node::new(1, 1)],
            row: None,
            revision: 0,
            flights: Vec::new(),
            budget,
            mistake,
            seen: Seen::default(),
            decisions: Vec::new(),
        }
    }

    /// Returns all states that one step leads to, with the decisions given in that step.
    pub(crate) fn successors(&self) -> Vec<Self> {
        if self.seen.fault.is_some() {
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
        for index in 0..self.flights.len() {
            next.extend(self.flight_steps(index));
        }
        next
    }

    /// Returns whether nothing can happen but new submissions and faults.
    pub(crate) fn is_quiet(&self) -> bool {
        self.flights.is_empty() && self.nodes.iter().all(|node| node.tasks.is_empty())
    }

    /// Returns whether no node has anything left to settle.
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
        let incarnation = match world.mistake {
            Mistake::SameIncarnation => world.nodes[node].incarnation,
            _ => world.nodes[node].incarnation + 1,
        };
        world.nodes[node] = Node::new(node, incarnation);
        world.flights.retain(|flight| !flight.ends_with(node));
        for flight in &mut world.flights {
            flight.orphan(node);
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
            world.seen.sent.insert(attempt.clone(), digest);
        }
        if world.seen.sent.len() > 1 {
            world.fail("sent twice");
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

    fn flight_steps(&self, index: usize) -> Vec<Self> {
        let mut world = self.clone();
        let flight = world.flights.remove(index);
        match flight {
            Flight::Transact {
                node,
                changes,
                awaited,
            } => world.transact_steps(node, changes, awaited),
            Flight::Answer { node, answer } => {
                let lost = world.lose(
                    node,
                    Event::TransactionDone(group_commit::TransactionResult::Unknown),
                );
                world.on(node, Event::TransactionDone(answer));
                lost.into_iter().chain([world]).collect()
            }
            Flight::Read { node } => {
                let lost = world.lose(node, Event::ReadBack(None));
                let rows = world.row.iter().map(|row| (id(), row.clone())).collect();
                world.put(Flight::Rows { node, rows });
                lost.into_iter().chain([world]).collect()
            }
            Flight::Rows { node, rows } => {
                world.on(node, Event::ReadBack(Some(rows)));
                vec![world]
            }
            Flight::Query { node, to, query } => world.query_steps(node, to, query),
            Flight::Reply { to, reply } => {
                world.on(to, Event::ReplyReceived(reply));
                vec![world]
            }
        }
    }

    /// The request lands; or it is refused, or late, if that may still happen.
    fn transact_steps(&self, node: usize, changes: Vec<Change>, awaited: bool) -> Vec<Self> {
        let mut next = Vec::new();
        if awaited {
            next.extend(self.lose(
                node,
                Event::TransactionDone(group_commit::TransactionResult::NotDone),
            ));
            let late = self.lose(
                node,
                Event::TransactionDone(group_commit::TransactionResult::Unknown),
            );
            next.extend(late.map(|mut world| {
                world.put(Flight::Transact {
                    node,
                    changes: changes.clone(),
                    awaited: false,
                });
                world
            }));
        }
        let mut world = self.clone();
        let answer = world.transact(&changes);
        if awaited {
            world.put(Flight::Answer { node, answer });
        }
        next.push(world);
        next
    }

    /// The question arrives; or it is taken as unanswered and arrives late.
    fn query_steps(&self, node: usize, to: usize, query: StatusQuery) -> Vec<Self> {
        let mut next = Vec::new();
        let mut arrived = self.clone();
        let from = name(node);
        let received = Event::QueryReceived {
            from,
            query: query.clone(),
        };
        arrived.on(to, received);
        next.push(arrived);
        if let Some(silences) = self.budget.silences.checked_sub(1) {
            let mut silent = self.clone();
            silent.budget.silences = silences;
            let status = match silent.mistake {
                Mistake::TakeoverOnTimer => Status::Unsent,
                _ => Status::Gone,
            };
            let reply = StatusReply {
                requester: query.requester.clone(),
                attempt: query.attempt.clone(),
                status,
            };
            silent.put(Flight::Query { node, to, query });
            silent.on(node, Event::ReplyReceived(reply));
            next.push(silent);
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
            Action::Transact(changes) => self.put(Flight::Transact {
                node,
                changes,
                awaited: true,
            }),
            Action::Read(_) => self.put(Flight::Read { node }),
            Action::SendQuery { holder, query } => self.put(Flight::Query {
                node,
                to: index(&holder),
                query,
            }),
            Action::SendReply { to, reply } => self.put(Flight::Reply {
                to: index(&to),
                reply,
            }),
            Action::Decide { attempt, decision } => self.decide(node, &attempt, decision),
        }
    }

    fn decide(&mut self, node: usize, attempt: &Name, decision: Decision) {
        let Some(task) = self.nodes[node].tasks.remove(attempt) else {
            return self.fail("verdict for nobody");
        };
        self.decisions.push(kind(&decision));
        match decision {
            Decision::Held => {
                let stage = Stage::Held;
                let task = Task { stage, ..task };
                self.nodes[node].tasks.insert(attempt.clone(), task);
            }
            Decision::Replay(final_result) => self.check_replay(&task, &final_result),
            Decision::Refused(Outcome::NotRun { .. }) if self.seen.sent.contains_key(attempt) => {
                self.fail("false: not run");
            }
            Decision::Refused(_) => {}
            Decision::Unavailable => self.fail("decision not translated"),
        }
    }

    fn check_replay(&mut self, task: &Task, final_result: &FinalResult) {
        let StoredAnswer::Inline(attempt) = &final_result.answer else {
            return self.fail("replay without answer");
        };
        if self.seen.sent.get(attempt) != Some(&task.digest) {
            self.fail("replay of another request's answer");
        }
    }

    fn fail(&mut self, fault: &str) {
        self.seen.fault = Some(fault.to_owned());
    }

    fn put(&mut self, flight: Flight) {
        self.flights.push(flight);
        // The network has no order, so states that differ only in it are one.
        self.flights.sort_by_cached_key(|flight| {
            let mut hasher = DefaultHasher::new();
            flight.hash(&mut hasher);
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

impl Flight {
    /// Returns whether a crash of the node ends the flight.
    fn ends_with(&self, crashed: usize) -> bool {
        match self {
            Self::Answer { node, .. }
            | Self::Read { node }
            | Self::Rows { node, .. }
            | Self::Query { node, .. } => *node == crashed,
            Self::Reply { to, .. } => *to == crashed,
            Self::Transact { .. } => false,
        }
    }

    /// Leaves a transaction of a crashed node to land without anyone waiting.
    fn orphan(&mut self, crashed: usize) {
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

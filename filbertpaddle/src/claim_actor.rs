//! The actor that carries out what the core decides about claims.

use std::sync::Arc;
use std::time::Duration;

use filbertpaddle_core::attempt::Decision;
use filbertpaddle_core::claim::Id;
use filbertpaddle_core::claim::Status;
use filbertpaddle_core::claim::StatusQuery;
use filbertpaddle_core::claim::StatusReply;
use filbertpaddle_core::claims::Action;
use filbertpaddle_core::claims::Claims;
use filbertpaddle_core::claims::Event;
use filbertpaddle_core::claims::Request;
use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::group_commit::Change;
use filbertpaddle_core::group_commit::TransactionResult;
use filbertpaddle_core::name::Name;
use filbertpaddle_platform::client::Client;
use filbertpaddle_wire::claim;
use filbertpaddle_wire::message::Message;
use indexmap::IndexMap;
use tokio::sync::oneshot;
use xtra::Context;
use xtra::Handler;
use xtra::WeakAddress;

use crate::claim_route::Route;
use crate::claim_store;
use crate::clock;
use crate::clock::Clock;
use crate::metrics::Metrics;
use crate::peers::Peers;

/// Longest wait for the answer of a claim's holder.
const ASK_TIMEOUT: Duration = Duration::from_secs(1);

/// A request to claim, and where its verdict goes.
#[derive(Debug)]
pub(crate) struct Ask {
    pub(crate) request: Request,
    pub(crate) verdict: oneshot::Sender<Decision>,
}

/// Something that happened to the claims.
#[derive(Debug)]
pub(crate) struct Input(pub(crate) Event);

/// Asks for the number of attempts that are not settled.
#[derive(Debug)]
pub(crate) struct Unsettled;

/// Says what became of changes that were handed to a committer.
#[derive(Debug)]
pub(crate) struct Settled {
    pub(crate) by: Name,
    pub(crate) sequence: u64,
    pub(crate) answer: TransactionResult,
}

/// A committer has had long enough to answer.
#[derive(Debug)]
struct Overdue {
    by: Name,
    sequence: u64,
}

/// A timer that the actor armed for itself.
#[derive(Debug)]
struct Timer;

/// What the actor works with.
#[derive(Debug)]
pub(crate) struct Actor {
    pub(crate) core: Claims,
    pub(crate) route: Route,
    pub(crate) platform: Client,
    pub(crate) peers: Peers,
    pub(crate) clock: Clock,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) waiting: IndexMap<Name, oneshot::Sender<Decision>>,
    pub(crate) timer_ms: Option<Millis>,
}

impl xtra::Actor for Actor {
    type Stop = ();

    async fn stopped(self) {}
}

impl Handler<Ask> for Actor {
    type Return = ();

    async fn handle(&mut self, ask: Ask, context: &mut Context<Self>) {
        self.waiting
            .insert(ask.request.attempt.clone(), ask.verdict);
        self.on(Event::Claim(ask.request), &context.mailbox().address());
    }
}

impl Handler<Input> for Actor {
    type Return = ();

    async fn handle(&mut self, input: Input, context: &mut Context<Self>) {
        self.on(input.0, &context.mailbox().address());
    }
}

impl Handler<Unsettled> for Actor {
    type Return = usize;

    async fn handle(&mut self, _: Unsettled, _: &mut Context<Self>) -> usize {
        self.core.len()
    }
}

impl Handler<Settled> for Actor {
    type Return = ();

    async fn handle(&mut self, settled: Settled, context: &mut Context<Self>) {
        if self.route.settle(settled.sequence, &settled.by) {
            let event = Event::TransactionDone(settled.answer);
            self.on(event, &context.mailbox().address());
        }
    }
}

impl Handler<Overdue> for Actor {
    type Return = ();

    async fn handle(&mut self, overdue: Overdue, context: &mut Context<Self>) {
        if self.route.settle(overdue.sequence, &overdue.by) {
            self.metrics.count("claim.committer_silent");
            self.route.avoid(self.clock.now(), overdue.by);
            let event = Event::TransactionDone(TransactionResult::Unknown);
            self.on(event, &context.mailbox().address());
        }
    }
}

impl Handler<Timer> for Actor {
    type Return = ();

    async fn handle(&mut self, _: Timer, context: &mut Context<Self>) {
        self.timer_ms = None;
        self.on(Event::Tick, &context.mailbox().address());
    }
}

impl Actor {
    fn on(&mut self, event: Event, own: &WeakAddress<Self>) {
        for action in self.core.on(self.clock.now(), event) {
            self.perform(action, own);
        }
        self.arm(own);
    }

    fn perform(&mut self, action: Action, own: &WeakAddress<Self>) {
        match action {
            Action::Transact(changes) => self.transact(changes, own),
            Action::Read(ids) => self.read(ids, own),
            Action::SendQuery { holder, query } => self.ask(&holder, query, own),
            Action::SendReply { to, reply } => {
                let message = Message::Claim(claim::Message::StatusReply(reply));
                self.peers.send(&to, message);
            }
            Action::Decide { attempt, decision } => self.decide(&attempt, decision, own),
        }
    }

    fn transact(&mut self, changes: Vec<Change>, own: &WeakAddress<Self>) {
        let (sequence, by) = self.route.submit(self.clock.now(), changes);
        let timeout = self.route.timeout;
        let own = own.clone();
        tokio::spawn(async move {
            tokio::time::sleep(timeout).await;
            own.send(Overdue { by, sequence }).await.ok();
        });
    }

    fn read(&self, ids: Vec<Id>, own: &WeakAddress<Self>) {
        self.metrics.count("claim.read_back");
        let platform = self.platform.clone();
        let own = own.clone();
        tokio::spawn(async move {
            let rows = claim_store::read(&platform, &ids).await;
            own.send(Input(Event::ReadBack(rows))).await.ok();
        });
    }

    fn ask(&self, holder: &Name, question: StatusQuery, own: &WeakAddress<Self>) {
        self.metrics.count("claim.asked");
        // Silence proves nothing, so it is taken as a holder that has gone.
        let silence = StatusReply {
            requester: question.requester.clone(),
            attempt: question.attempt.clone(),
            status: Status::Gone,
        };
        let message = Message::Claim(claim::Message::StatusQuery(question));
        let wait = match self.peers.send(holder, message) {
            true => ASK_TIMEOUT,
            false => Duration::ZERO,
        };
        let own = own.clone();
        tokio::spawn(async move {
            tokio::time::sleep(wait).await;
            own.send(Input(Event::ReplyReceived(silence))).await.ok();
        });
    }

    fn decide(&mut self, attempt: &Name, verdict: Decision, own: &WeakAddress<Self>) {
        let held = verdict == Decision::Held;
        let told = self
            .waiting
            .swap_remove(attempt)
            .is_some_and(|waiting| waiting.send(verdict).is_ok());
        if held && !told {
            // Nobody is left to send the request.
            let attempt = attempt.clone();
            self.on(Event::Release { attempt }, own);
        }
    }

    fn arm(&mut self, own: &WeakAddress<Self>) {
        let Some(next_ms) = self.core.next_tick() else {
            return;
        };
        if self.timer_ms.is_some_and(|timer_ms| timer_ms <= next_ms) {
            return;
        }
        self.timer_ms = Some(next_ms);
        let wait = clock::duration(next_ms.since(self.clock.now()));
        let own = own.clone();
        tokio::spawn(async move {
            tokio::time::sleep(wait).await;
            own.send(Timer).await.ok();
        });
    }
}

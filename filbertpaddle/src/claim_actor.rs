//! Actor that performs the actions of the core's claims.

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

/// Timeout of a status query to the holder of a claim.
const STATUS_QUERY_TIMEOUT: Duration = Duration::from_secs(1);

/// Submits a claim; the decision is sent to `sender`.
#[derive(Debug)]
pub(crate) struct SubmitClaim {
    pub(crate) request: Request,
    pub(crate) sender: oneshot::Sender<Decision>,
}

/// Passes an event to the core.
#[derive(Debug)]
pub(crate) struct CoreEvent(pub(crate) Event);

/// Requests the number of attempts that are not settled.
#[derive(Debug)]
pub(crate) struct CountUnsettled;

/// Reports the result of changes that were submitted to a committer.
#[derive(Debug)]
pub(crate) struct TransactionSettled {
    pub(crate) committer: Name,
    pub(crate) sequence: u64,
    pub(crate) result: TransactionResult,
}

/// The timeout for a committer's answer has passed.
#[derive(Debug)]
struct CommitTimeout {
    committer: Name,
    sequence: u64,
}

/// A timer of the actor has fired.
#[derive(Debug)]
struct Timer;

/// Runs the core of this node's claims and performs its actions.
#[derive(Debug)]
pub(crate) struct ClaimActor {
    pub(crate) core: Claims,
    pub(crate) route: Route,
    pub(crate) platform: Client,
    pub(crate) peers: Peers,
    pub(crate) clock: Clock,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) pending: IndexMap<Name, oneshot::Sender<Decision>>,
    pub(crate) timer_ms: Option<Millis>,
}

impl xtra::Actor for ClaimActor {
    type Stop = ();

    async fn stopped(self) {}
}

impl Handler<SubmitClaim> for ClaimActor {
    type Return = ();

    async fn handle(&mut self, claim: SubmitClaim, context: &mut Context<Self>) {
        self.pending
            .insert(claim.request.attempt.clone(), claim.sender);
        self.on(Event::Claim(claim.request), &context.mailbox().address());
    }
}

impl Handler<CoreEvent> for ClaimActor {
    type Return = ();

    async fn handle(&mut self, event: CoreEvent, context: &mut Context<Self>) {
        self.on(event.0, &context.mailbox().address());
    }
}

impl Handler<CountUnsettled> for ClaimActor {
    type Return = usize;

    async fn handle(&mut self, _: CountUnsettled, _: &mut Context<Self>) -> usize {
        self.core.len()
    }
}

impl Handler<TransactionSettled> for ClaimActor {
    type Return = ();

    async fn handle(&mut self, settled: TransactionSettled, context: &mut Context<Self>) {
        if self.route.settle(settled.sequence, &settled.committer) {
            let event = Event::TransactionDone(settled.result);
            self.on(event, &context.mailbox().address());
        }
    }
}

impl Handler<CommitTimeout> for ClaimActor {
    type Return = ();

    async fn handle(&mut self, timeout: CommitTimeout, context: &mut Context<Self>) {
        if self.route.settle(timeout.sequence, &timeout.committer) {
            self.metrics.count("claim.committer_silent");
            self.route.avoid(self.clock.now(), timeout.committer);
            let event = Event::TransactionDone(TransactionResult::Unknown);
            self.on(event, &context.mailbox().address());
        }
    }
}

impl Handler<Timer> for ClaimActor {
    type Return = ();

    async fn handle(&mut self, _: Timer, context: &mut Context<Self>) {
        self.timer_ms = None;
        self.on(Event::Tick, &context.mailbox().address());
    }
}

impl ClaimActor {
    fn on(&mut self, event: Event, address: &WeakAddress<Self>) {
        for action in self.core.on(self.clock.now(), event) {
            self.perform(action, address);
        }
        self.arm_timer(address);
    }

    fn perform(&mut self, action: Action, address: &WeakAddress<Self>) {
        match action {
            Action::Transact(changes) => self.transact(changes, address),
            Action::Read(ids) => self.read(ids, address),
            Action::SendQuery { holder, query } => self.query_status(&holder, query, address),
            Action::SendReply { to, reply } => {
                let message = Message::Claim(claim::Message::StatusReply(reply));
                self.peers.send(&to, message);
            }
            Action::Decide { attempt, decision } => self.decide(&attempt, decision, address),
        }
    }

    fn transact(&mut self, changes: Vec<Change>, address: &WeakAddress<Self>) {
        let (sequence, committer) = self.route.submit(self.clock.now(), changes);
        let timeout = self.route.timeout;
        let address = address.clone();
        tokio::spawn(async move {
            tokio::time::sleep(timeout).await;
            address
                .send(CommitTimeout {
                    committer,
                    sequence,
                })
                .await
                .ok();
        });
    }

    fn read(&self, ids: Vec<Id>, address: &WeakAddress<Self>) {
        self.metrics.count("claim.read_back");
        let platform = self.platform.clone();
        let address = address.clone();
        tokio::spawn(async move {
            let rows = claim_store::read(&platform, &ids).await;
            address.send(CoreEvent(Event::ReadBack(rows))).await.ok();
        });
    }

    fn query_status(&self, holder: &Name, query: StatusQuery, address: &WeakAddress<Self>) {
        self.metrics.count("claim.asked");
        // A missing reply does not show whether the request ran, so the holder is taken
        // as gone.
        let no_reply = StatusReply {
            requester: query.requester.clone(),
            attempt: query.attempt.clone(),
            status: Status::Gone,
        };
        let message = Message::Claim(claim::Message::StatusQuery(query));
        let wait = match self.peers.send(holder, message) {
            true => STATUS_QUERY_TIMEOUT,
            false => Duration::ZERO,
        };
        let address = address.clone();
        tokio::spawn(async move {
            tokio::time::sleep(wait).await;
            address
                .send(CoreEvent(Event::ReplyReceived(no_reply)))
                .await
                .ok();
        });
    }

    fn decide(&mut self, attempt: &Name, decision: Decision, address: &WeakAddress<Self>) {
        let is_held = decision == Decision::Held;
        let is_delivered = self
            .pending
            .swap_remove(attempt)
            .is_some_and(|pending| pending.send(decision).is_ok());
        if is_held && !is_delivered {
            // The task that would have sent the request has ended, so nothing was sent.
            let attempt = attempt.clone();
            self.on(Event::Release { attempt }, address);
        }
    }

    fn arm_timer(&mut self, address: &WeakAddress<Self>) {
        let Some(next_ms) = self.core.next_tick() else {
            return;
        };
        if self.timer_ms.is_some_and(|timer_ms| timer_ms <= next_ms) {
            return;
        }
        self.timer_ms = Some(next_ms);
        let wait = clock::duration(next_ms.since(self.clock.now()));
        let address = address.clone();
        tokio::spawn(async move {
            tokio::time::sleep(wait).await;
            address.send(Timer).await.ok();
        });
    }
}

//! Actor that commits the claims of several nodes in shared transactions.

use std::sync::Arc;

use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::commit::Action;
use filbertpaddle_core::commit::ChangeSet;
use filbertpaddle_core::commit::Committer;
use filbertpaddle_core::commit::Event;
use filbertpaddle_core::group_commit::Change;
use filbertpaddle_core::group_commit::TransactionResult;
use filbertpaddle_core::name::Name;
use filbertpaddle_platform::client::Client;
use filbertpaddle_wire::claim;
use filbertpaddle_wire::message::Message;
use slog::Logger;
use slog::debug;
use xtra::Address;
use xtra::Context;
use xtra::Handler;
use xtra::WeakAddress;

use crate::claim_actor;
use crate::claim_actor::TransactionSettled;
use crate::claim_store;
use crate::clock;
use crate::clock::Clock;
use crate::metrics::Metrics;
use crate::peers::Peers;

/// Submits the changes of one node.
#[derive(Debug)]
pub(crate) struct SubmitChanges(pub(crate) ChangeSet);

#[derive(Debug)]
struct TransactionDone(TransactionResult);

#[derive(Debug)]
struct Timer;

/// Runs the core of the group commit for the nodes that chose this one as committer.
#[derive(Debug)]
pub(crate) struct CommitActor {
    pub(crate) core: Committer,
    pub(crate) own: Name,
    pub(crate) claims: Address<claim_actor::ClaimActor>,
    pub(crate) platform: Client,
    pub(crate) peers: Peers,
    pub(crate) clock: Clock,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) log: Logger,
    pub(crate) timer_ms: Option<Millis>,
}

impl xtra::Actor for CommitActor {
    type Stop = ();

    async fn stopped(self) {}
}

impl Handler<SubmitChanges> for CommitActor {
    type Return = ();

    async fn handle(&mut self, submit: SubmitChanges, context: &mut Context<Self>) {
        self.on(Event::Submit(submit.0), &context.mailbox().address());
    }
}

impl Handler<TransactionDone> for CommitActor {
    type Return = ();

    async fn handle(&mut self, done: TransactionDone, context: &mut Context<Self>) {
        self.on(Event::TransactionDone(done.0), &context.mailbox().address());
    }
}

impl Handler<Timer> for CommitActor {
    type Return = ();

    async fn handle(&mut self, _: Timer, context: &mut Context<Self>) {
        self.timer_ms = None;
        self.on(Event::Tick, &context.mailbox().address());
    }
}

impl CommitActor {
    fn on(&mut self, event: Event, address: &WeakAddress<Self>) {
        for action in self.core.on(self.clock.now(), event) {
            match action {
                Action::Transact(changes) => self.transact(changes, address),
                Action::Reply {
                    to,
                    sequence,
                    result,
                } => self.reply(&to, sequence, result),
            }
        }
        self.arm_timer(address);
    }

    fn transact(&self, changes: Vec<Change>, address: &WeakAddress<Self>) {
        self.metrics.count("claim.transaction");
        let platform = self.platform.clone();
        let address = address.clone();
        let log = self.log.clone();
        tokio::spawn(async move {
            let result = claim_store::transact(&platform, &changes).await;
            // Logs contain neither idempotency keys nor answers.
            let label = claim_store::result_label(&result);
            debug!(log, "Claim transaction done."; "rows" => changes.len(), "answer" => label);
            address.send(TransactionDone(result)).await.ok();
        });
    }

    fn reply(&self, to: &Name, sequence: u64, result: TransactionResult) {
        if *to != self.own {
            let message = claim::Message::Committed { sequence, result };
            self.peers.send(to, Message::Claim(message));
            return;
        }
        let settled = TransactionSettled {
            committer: to.clone(),
            sequence,
            result,
        };
        tokio::spawn(self.claims.send(settled).detach());
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

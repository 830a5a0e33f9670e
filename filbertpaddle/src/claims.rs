//! Claims on idempotency keys.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use filbertpaddle_core::attempt::Decision;
use filbertpaddle_core::claim::FinalResult;
use filbertpaddle_core::claim::Id;
use filbertpaddle_core::claims as core;
use filbertpaddle_core::claims::Event;
use filbertpaddle_core::commit;
use filbertpaddle_core::commit::ChangeSet;
use filbertpaddle_core::commit::Committer;
use filbertpaddle_core::name::Name;
use filbertpaddle_core::outcome::Outcome;
use filbertpaddle_core::outcome::Reason;
use filbertpaddle_platform::client::Client;
use filbertpaddle_wire::claim::Message;
use indexmap::IndexMap;
use slog::Logger;
use slog::warn;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use xtra::Address;
use xtra::Mailbox;

use crate::claim_actor::Actor;
use crate::claim_actor::Ask as ActorAsk;
use crate::claim_actor::Input;
use crate::claim_actor::Settled;
use crate::claim_actor::Unsettled;
use crate::claim_commit;
use crate::claim_commit::Submit;
use crate::claim_route::Route;
use crate::claim_store;
use crate::claim_sweep::Sweep;
use crate::clock;
use crate::clock::Clock;
use crate::inbox::Incoming;
use crate::metrics::Metrics;
use crate::peers::Peer;
use crate::peers::Peers;
use crate::settings;

/// Longest wait for a claim to be decided.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(3);
/// Hexadecimal digits of the body's digest that are kept: 128 bits.
const DIGEST_CHARS: usize = 32;
/// Wait for a committer beyond what the platform may take.
const ROUTE_SLACK: Duration = Duration::from_millis(500);
/// Longest wait for endings to reach the table when a node stops.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(10);
/// Time between two looks at what is not settled.
const CLOSE_INTERVAL: Duration = Duration::from_millis(20);

/// Asks for the right to run a non-idempotent request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ask {
    /// Customer that sent the request.
    pub customer: Name,
    /// The caller's idempotency key.
    pub key: Name,
    /// Digest of the request's body, in hexadecimal.
    pub digest: Name,
    /// Attempt that will run the request.
    pub attempt: Name,
}

/// A right to run a request, once.
///
/// A claim that is dropped is taken as one whose request may have run.
#[derive(Debug)]
pub struct Claim {
    attempt: Name,
    actor: Option<Address<Actor>>,
}

/// Answer to an ask.
#[derive(Debug)]
pub enum Answer {
    /// The request may be run, once.
    Granted(Claim),
    /// The request was run before with this result.
    Replay(Finished),
    /// The request is not run now.
    Refused(Outcome),
}

/// Result of a request that was run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finished {
    /// What became of the request.
    pub outcome: Outcome,
    /// Text of the answer.
    pub text: String,
}

/// What claims need of their node.
#[derive(Debug)]
pub struct Parts {
    /// This node.
    pub own: Peer,
    /// How claims are committed.
    pub settings: settings::Claims,
    /// Table and object store.
    pub platform: Client,
    /// Longest wait for an answer of the platform.
    pub platform_timeout: Duration,
    /// Links to other nodes.
    pub peers: Peers,
    /// What other nodes ask and answer.
    pub inbox: mpsc::Receiver<Incoming<Message>>,
    /// The node's clock.
    pub clock: Clock,
    /// Metrics of claims.
    pub metrics: Arc<Metrics>,
    /// Log of claims.
    pub log: Logger,
}

/// Gives out claims.
#[derive(Clone, Debug)]
pub struct Claims {
    actor: Address<Actor>,
    platform: Client,
    metrics: Arc<Metrics>,
    log: Logger,
}

impl Claims {
    /// Starts to give out claims and to answer other nodes about them.
    pub fn start(parts: Parts) -> Self {
        let (actor, mailbox) = Mailbox::unbounded();
        let committer = committer(&parts, actor.clone());
        tokio::spawn(xtra::run(mailbox, claims(&parts, committer.clone())));
        tokio::spawn(receive(parts.inbox, actor.clone(), committer));
        let sweep = Sweep {
            platform: parts.platform.clone(),
            actor: actor.clone(),
            metrics: Arc::clone(&parts.metrics),
            log: parts.log.clone(),
        };
        tokio::spawn(sweep.run());
        Self {
            actor,
            platform: parts.platform,
            metrics: parts.metrics,
            log: parts.log,
        }
    }

    /// Claims a key before anything is sent to a target.
    pub async fn claim(&self, ask: Ask) -> Answer {
        match self.decide(&ask).await {
            Some(Decision::Held) => {
                self.metrics.count("claim.held");
                Answer::Granted(Claim {
                    attempt: ask.attempt,
                    actor: Some(self.actor.clone()),
                })
            }
            Some(Decision::Replay(ending)) => self.replay(ending).await,
            Some(Decision::Refused(outcome)) => {
                self.metrics.count("claim.refused");
                Answer::Refused(outcome)
            }
            Some(Decision::Unavailable) | None => Answer::Refused(Outcome::NotRun {
                reason: Reason::PlatformUnavailable,
                retry_after_ms: None,
            }),
        }
    }

    /// Stores the result of a request that was, or may have been, run.
    ///
    /// The result is told to resends at once and reaches the table soon after.
    pub async fn finish(&self, mut claim: Claim, finished: Finished) {
        let Some(actor) = claim.actor.take() else {
            return;
        };
        let attempt = claim.attempt.clone();
        let platform = self.platform.clone();
        tokio::spawn(async move {
            let answer = claim_store::store_answer(&platform, &attempt, &finished.text).await;
            let final_result = FinalResult {
                outcome: finished.outcome,
                answer,
            };
            let finish = Event::Finish {
                attempt,
                final_result,
            };
            actor.send(Input(finish)).await.ok();
        });
    }

    /// Gives a claim back of which nothing was sent to any target.
    pub async fn release(&self, mut claim: Claim) {
        if let Some(actor) = claim.actor.take() {
            let attempt = claim.attempt.clone();
            actor.send(Input(Event::Release { attempt })).await.ok();
        }
    }

    /// Waits until all endings are in the table, or long enough.
    pub async fn close(&self) {
        let start = Instant::now();
        while let Ok(unsettled @ 1..) = self.actor.send(Unsettled).await {
            if start.elapsed() > CLOSE_TIMEOUT {
                warn!(self.log, "Claims left unsettled."; "count" => unsettled);
                return;
            }
            tokio::time::sleep(CLOSE_INTERVAL).await;
        }
    }

    async fn decide(&self, ask: &Ask) -> Option<Decision> {
        let (verdict, mut decided) = oneshot::channel();
        let request = core::Request {
            id: Id {
                customer: ask.customer.clone(),
                key: ask.key.clone(),
            },
            attempt: ask.attempt.clone(),
            digest: ask.digest.chars().take(DIGEST_CHARS).collect(),
            now_unix_ms: clock::unix_now(),
        };
        self.actor.send(ActorAsk { request, verdict }).await.ok()?;
        match tokio::time::timeout(CLAIM_TIMEOUT, &mut decided).await {
            Ok(verdict) => verdict.ok(),
            Err(_) => {
                // The claim may be held by now, so the last word is waited for.
                let attempt = ask.attempt.clone();
                let give_up = Event::Abandon { attempt };
                self.actor.send(Input(give_up)).await.ok()?;
                decided.await.ok()
            }
        }
    }

    async fn replay(&self, ending: FinalResult) -> Answer {
        self.metrics.count("claim.replayed");
        match claim_store::load_answer(&self.platform, ending.answer).await {
            Some(text) => Answer::Replay(Finished {
                outcome: ending.outcome,
                text,
            }),
            // It did run, but its answer cannot be had now.
            None => Answer::Refused(Outcome::MayHaveRun {
                reason: Reason::PlatformUnavailable,
            }),
        }
    }
}

impl Drop for Claim {
    fn drop(&mut self) {
        let Some(actor) = self.actor.take() else {
            return;
        };
        let finish = Event::Finish {
            attempt: self.attempt.clone(),
            final_result: FinalResult {
                outcome: Outcome::MayHaveRun {
                    reason: Reason::TargetFailed,
                },
                answer: filbertpaddle_core::claim::StoredAnswer::Inline(Name::default()),
            },
        };
        if let Ok(runtime) = tokio::runtime::Handle::try_current() {
            runtime.spawn(actor.send(Input(finish)).detach());
        }
    }
}

fn claims(parts: &Parts, committer: Address<claim_commit::Actor>) -> Actor {
    let own = &parts.own;
    let mut settings = core::Settings::default();
    settings.group_commit.pace_ms = parts.settings.pace_ms;
    let route = Route::new(
        own.clone(),
        parts.settings.nodes_per_committer.get(),
        committer,
        parts.peers.clone(),
        parts.platform_timeout + clock::duration(parts.settings.pace_ms) + ROUTE_SLACK,
    );
    Actor {
        core: core::Claims::new(own.name.clone(), own.incarnation, settings),
        route,
        platform: parts.platform.clone(),
        peers: parts.peers.clone(),
        clock: parts.clock,
        metrics: Arc::clone(&parts.metrics),
        waiting: IndexMap::new(),
        timer_ms: None,
    }
}

fn committer(parts: &Parts, claims: Address<Actor>) -> Address<claim_commit::Actor> {
    let settings = commit::Settings {
        pace_ms: parts.settings.pace_ms,
        ..commit::Settings::default()
    };
    let actor = claim_commit::Actor {
        core: Committer::new(settings),
        own: parts.own.name.clone(),
        claims,
        platform: parts.platform.clone(),
        peers: parts.peers.clone(),
        clock: parts.clock,
        metrics: Arc::clone(&parts.metrics),
        log: parts.log.clone(),
        timer_ms: None,
    };
    xtra::spawn_tokio(actor, Mailbox::unbounded())
}

async fn receive(
    mut inbox: mpsc::Receiver<Incoming<Message>>,
    actor: Address<Actor>,
    committer: Address<claim_commit::Actor>,
) {
    while let Some(Incoming { peer, message }) = inbox.recv().await {
        let from = peer.name;
        let taken = match message {
            Message::StatusQuery(query) => {
                actor
                    .send(Input(Event::QueryReceived { from, query }))
                    .await
            }
            Message::StatusReply(reply) => actor.send(Input(Event::ReplyReceived(reply))).await,
            Message::Commit { sequence, changes } => {
                let unit = ChangeSet {
                    from,
                    sequence,
                    changes,
                };
                committer.send(Submit(unit)).await
            }
            Message::Committed {
                sequence,
                result: answer,
            } => {
                let settled = Settled {
                    by: from,
                    sequence,
                    answer,
                };
                actor.send(settled).await
            }
        };
        if taken.is_err() {
            return;
        }
    }
}

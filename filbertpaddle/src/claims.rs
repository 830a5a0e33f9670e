//! Claims on idempotency keys, so that a non-idempotent request runs at most once.

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

use crate::claim_actor::ClaimActor;
use crate::claim_actor::CoreEvent;
use crate::claim_actor::CountUnsettled;
use crate::claim_actor::SubmitClaim;
use crate::claim_actor::TransactionSettled;
use crate::claim_commit;
use crate::claim_commit::SubmitChanges;
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

/// Timeout for the decision on a claim, after which the claim is abandoned.
const DECISION_TIMEOUT: Duration = Duration::from_secs(3);
/// Number of hexadecimal digits of the body's digest to store, which is 128 bits.
const DIGEST_HEX_CHARS: usize = 32;
/// Margin of the timeout for a committer over the platform's timeout and the commit pace.
const COMMIT_TIMEOUT_MARGIN: Duration = Duration::from_millis(500);
/// Maximum time for final results to reach the table when a node stops.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval at which a stopping node checks for unsettled attempts.
const CLOSE_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Request for the right to run a non-idempotent request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimRequest {
    /// Customer that sent the request.
    pub customer: Name,
    /// The caller's idempotency key.
    pub key: Name,
    /// Digest of the request's body, in hexadecimal.
    pub digest: Name,
    /// Attempt that will run the request.
    pub attempt: Name,
}

/// The right to run a request once.
///
/// If a claim is dropped, its request is recorded as one that may have run.
#[derive(Debug)]
pub struct Claim {
    attempt: Name,
    actor: Option<Address<ClaimActor>>,
}

/// Response to a claim request.
#[derive(Debug)]
pub enum ClaimResult {
    /// The request may be run once.
    Granted(Claim),
    /// The request ran before and had this result.
    Replay(RequestResult),
    /// The request must not be run.
    Refused(Outcome),
}

/// Result of a request that has run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestResult {
    /// Outcome of the request.
    pub outcome: Outcome,
    /// Text of the answer.
    pub text: String,
}

/// Dependencies of the claims.
#[derive(Debug)]
pub struct Dependencies {
    /// This node.
    pub own: Peer,
    /// Settings of the group commit of claims.
    pub settings: settings::Claims,
    /// Client of the platform's table and object store.
    pub platform: Client,
    /// Timeout of calls to the platform.
    pub platform_timeout: Duration,
    /// Connections to other nodes.
    pub peers: Peers,
    /// Messages about claims from other nodes.
    pub inbox: mpsc::Receiver<Incoming<Message>>,
    /// The node's clock.
    pub clock: Clock,
    /// Metrics of claims.
    pub metrics: Arc<Metrics>,
    /// Log of claims.
    pub log: Logger,
}

/// Handle of the tasks that claim keys for this node.
#[derive(Clone, Debug)]
pub struct Claims {
    actor: Address<ClaimActor>,
    platform: Client,
    metrics: Arc<Metrics>,
    log: Logger,
}

impl Claims {
    /// Starts the tasks that claim keys, commit claims, remove expired ones and answer
    /// other nodes.
    pub fn start(dependencies: Dependencies) -> Self {
        let (actor, mailbox) = Mailbox::unbounded();
        let committer = committer(&dependencies, actor.clone());
        tokio::spawn(xtra::run(
            mailbox,
            claim_actor(&dependencies, committer.clone()),
        ));
        tokio::spawn(receive(dependencies.inbox, actor.clone(), committer));
        let sweep = Sweep {
            platform: dependencies.platform.clone(),
            actor: actor.clone(),
            metrics: Arc::clone(&dependencies.metrics),
            log: dependencies.log.clone(),
        };
        tokio::spawn(sweep.run());
        Self {
            actor,
            platform: dependencies.platform,
            metrics: dependencies.metrics,
            log: dependencies.log,
        }
    }

    /// Claims a key before anything is sent to a target.
    pub async fn claim(&self, claim_request: ClaimRequest) -> ClaimResult {
        match self.decide(&claim_request).await {
            Some(Decision::Held) => {
                self.metrics.count("claim.held");
                ClaimResult::Granted(Claim {
                    attempt: claim_request.attempt,
                    actor: Some(self.actor.clone()),
                })
            }
            Some(Decision::Replay(final_result)) => self.replay(final_result).await,
            Some(Decision::Refused(outcome)) => {
                self.metrics.count("claim.refused");
                ClaimResult::Refused(outcome)
            }
            Some(Decision::Unavailable) | None => ClaimResult::Refused(Outcome::NotRun {
                reason: Reason::PlatformUnavailable,
                retry_after_ms: None,
            }),
        }
    }

    /// Stores the result of a request that was, or may have been, run.
    ///
    /// Resent requests receive the result as soon as its text is stored; the table
    /// receives it with the next commit.
    pub async fn finish(&self, mut claim: Claim, result: RequestResult) {
        let Some(actor) = claim.actor.take() else {
            return;
        };
        let attempt = claim.attempt.clone();
        let platform = self.platform.clone();
        tokio::spawn(async move {
            let answer = claim_store::store_answer(&platform, &attempt, &result.text).await;
            let final_result = FinalResult {
                outcome: result.outcome,
                answer,
            };
            let finish = Event::Finish {
                attempt,
                final_result,
            };
            actor.send(CoreEvent(finish)).await.ok();
        });
    }

    /// Releases a claim whose request was not sent to any target.
    pub async fn release(&self, mut claim: Claim) {
        if let Some(actor) = claim.actor.take() {
            let attempt = claim.attempt.clone();
            actor.send(CoreEvent(Event::Release { attempt })).await.ok();
        }
    }

    /// Waits until all final results are in the table, or until a timeout.
    pub async fn close(&self) {
        let start = Instant::now();
        while let Ok(unsettled @ 1..) = self.actor.send(CountUnsettled).await {
            if start.elapsed() > CLOSE_TIMEOUT {
                warn!(
                    self.log,
                    "Claims unsettled {:?} after the stop; their results may not be in the table.",
                    CLOSE_TIMEOUT;
                    "count" => unsettled,
                );
                return;
            }
            tokio::time::sleep(CLOSE_POLL_INTERVAL).await;
        }
    }

    async fn decide(&self, claim_request: &ClaimRequest) -> Option<Decision> {
        let (sender, mut receiver) = oneshot::channel();
        let request = core::Request {
            id: Id {
                customer: claim_request.customer.clone(),
                key: claim_request.key.clone(),
            },
            attempt: claim_request.attempt.clone(),
            digest: claim_request
                .digest
                .chars()
                .take(DIGEST_HEX_CHARS)
                .collect(),
            now_unix_ms: clock::unix_now(),
        };
        self.actor
            .send(SubmitClaim { request, sender })
            .await
            .ok()?;
        match tokio::time::timeout(DECISION_TIMEOUT, &mut receiver).await {
            Ok(decision) => decision.ok(),
            Err(_) => {
                // The claim may have been granted in the meantime, so this waits for the
                // decision that follows the abandonment.
                let attempt = claim_request.attempt.clone();
                let abandon = Event::Abandon { attempt };
                self.actor.send(CoreEvent(abandon)).await.ok()?;
                receiver.await.ok()
            }
        }
    }

    async fn replay(&self, final_result: FinalResult) -> ClaimResult {
        self.metrics.count("claim.replayed");
        match claim_store::load_answer(&self.platform, final_result.answer).await {
            Some(text) => ClaimResult::Replay(RequestResult {
                outcome: final_result.outcome,
                text,
            }),
            // The request did run, but its stored answer cannot be read now.
            None => ClaimResult::Refused(Outcome::MayHaveRun {
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
            runtime.spawn(actor.send(CoreEvent(finish)).detach());
        }
    }
}

fn claim_actor(
    dependencies: &Dependencies,
    committer: Address<claim_commit::CommitActor>,
) -> ClaimActor {
    let own = &dependencies.own;
    let mut settings = core::Settings::default();
    settings.group_commit.pace_ms = dependencies.settings.pace_ms;
    let route = Route::new(
        own.clone(),
        dependencies.settings.nodes_per_committer.get(),
        committer,
        dependencies.peers.clone(),
        dependencies.platform_timeout
            + clock::duration(dependencies.settings.pace_ms)
            + COMMIT_TIMEOUT_MARGIN,
    );
    ClaimActor {
        core: core::Claims::new(own.name.clone(), own.incarnation, settings),
        route,
        platform: dependencies.platform.clone(),
        peers: dependencies.peers.clone(),
        clock: dependencies.clock,
        metrics: Arc::clone(&dependencies.metrics),
        pending: IndexMap::new(),
        timer_ms: None,
    }
}

fn committer(
    dependencies: &Dependencies,
    claims: Address<ClaimActor>,
) -> Address<claim_commit::CommitActor> {
    let settings = commit::Settings {
        pace_ms: dependencies.settings.pace_ms,
        ..commit::Settings::default()
    };
    let actor = claim_commit::CommitActor {
        core: Committer::new(settings),
        own: dependencies.own.name.clone(),
        claims,
        platform: dependencies.platform.clone(),
        peers: dependencies.peers.clone(),
        clock: dependencies.clock,
        metrics: Arc::clone(&dependencies.metrics),
        log: dependencies.log.clone(),
        timer_ms: None,
    };
    xtra::spawn_tokio(actor, Mailbox::unbounded())
}

async fn receive(
    mut inbox: mpsc::Receiver<Incoming<Message>>,
    actor: Address<ClaimActor>,
    committer: Address<claim_commit::CommitActor>,
) {
    while let Some(Incoming { peer, message }) = inbox.recv().await {
        let from = peer.name;
        let sent = match message {
            Message::StatusQuery(query) => {
                actor
                    .send(CoreEvent(Event::QueryReceived { from, query }))
                    .await
            }
            Message::StatusReply(reply) => actor.send(CoreEvent(Event::ReplyReceived(reply))).await,
            Message::Commit { sequence, changes } => {
                let change_set = ChangeSet {
                    from,
                    sequence,
                    changes,
                };
                committer.send(SubmitChanges(change_set)).await
            }
            Message::Committed { sequence, result } => {
                let settled = TransactionSettled {
                    committer: from,
                    sequence,
                    result,
                };
                actor.send(settled).await
            }
        };
        if sent.is_err() {
            return;
        }
    }
}

//! The life of one request: claim, slot, target, answer, release.

use std::sync::Arc;

use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::delivery::Delivery;
use filbertpaddle_core::delivery::RestartPolicy;
use filbertpaddle_core::outcome::Outcome;
use filbertpaddle_core::outcome::Reason;
use filbertpaddle_core::template;
use filbertpaddle_core::template::WorkKind;
use filbertpaddle_target::protocol::Submit;
use filbertpaddle_wire::grant::Want;
use slog::debug;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::oneshot;

use crate::attempt;
use crate::claims;
use crate::front::Front;
use crate::generation::Attempt;
use crate::generation::Step;
use crate::generation::Used;
use crate::generation::ticket;
use crate::output::Output;
use crate::pools;
use crate::request::Request;
use crate::request::Started;

/// Most targets that one request is sent to.
const MAX_ATTEMPTS: u32 = 3;
/// When a caller may come back after targets refused.
const RETRY_AFTER_MS: Millis = Millis(1_000);

/// Runs a request in a task of its own, which outlives the caller's connection.
pub async fn start(front: Arc<Front>, request: Request, permit: OwnedSemaphorePermit) -> Started {
    let (answer, started) = oneshot::channel();
    tokio::spawn(async move {
        Run::new(front, request, Output::new(answer)).run().await;
        drop(permit);
    });
    started.await.unwrap_or(Started::Ended(Outcome::MayHaveRun {
        reason: Reason::TargetFailed,
    }))
}

struct Run {
    front: Arc<Front>,
    request: Request,
    output: Output,
    delivery: Delivery,
    attempts: u32,
    sent: bool,
}

impl Run {
    fn new(front: Arc<Front>, request: Request, output: Output) -> Self {
        let promise = RestartPolicy {
            idempotent: request.template.idempotent,
            buffered: request.template.delivery == template::DeliveryMode::Whole,
        };
        let delivery = Delivery::new(promise, front.gate.attempt());
        Self {
            front,
            request,
            output,
            delivery,
            attempts: 0,
            sent: false,
        }
    }

    async fn run(mut self) {
        if self.request.template.idempotent {
            let outcome = self.work().await;
            self.close(outcome);
            return;
        }
        match self.claim().await {
            claims::Answer::Granted(claim) => self.run_claimed(claim).await,
            claims::Answer::Refused(outcome) => self.close(outcome),
            claims::Answer::Replay(finished) => {
                self.front.metrics.count("request.replayed");
                self.output.replay(Started::Replay(finished));
            }
        }
    }

    async fn run_claimed(mut self, claim: claims::Claim) {
        let outcome = self.work().await;
        if matches!(outcome, Outcome::NotRun { .. }) {
            self.front.claims.release(claim).await;
        } else {
            let finished = claims::Finished {
                outcome: outcome.clone(),
                text: self.output.text().to_owned(),
            };
            self.front.claims.finish(claim, finished).await;
        }
        self.close(outcome);
    }

    async fn claim(&self) -> claims::Answer {
        let Some(key) = self.request.key.clone() else {
            return claims::Answer::Refused(Outcome::NotRun {
                reason: Reason::KeyRequired,
                retry_after_ms: None,
            });
        };
        let ask = claims::Ask {
            customer: self.request.customer.clone(),
            key,
            digest: self.request.digest_hex(),
            attempt: self.delivery.attempt().clone(),
        };
        self.front.claims.claim(ask).await
    }

    // Every pass uses one target; the attempt limit bounds the passes.
    async fn work(&mut self) -> Outcome {
        loop {
            let grant = match self.acquire().await {
                Ok(grant) => grant,
                Err(outcome) => return outcome,
            };
            self.attempts += 1;
            let step = self.attempt(grant).await;
            self.sent |= !matches!(step, Step::Unsent);
            match step {
                Step::Ended(outcome) => return self.ended(outcome),
                Step::Restart | Step::Unsent if !self.may_retry() => {
                    return self.not_granted(refusal());
                }
                Step::Restart => self.restart(),
                Step::Unsent => {}
            }
        }
    }

    fn may_retry(&self) -> bool {
        let retries = &self.front.retries;
        let allowed = self.attempts < MAX_ATTEMPTS && retries.take(&self.request.template.model);
        if !allowed {
            self.front.metrics.count("request.not_retried");
        }
        allowed
    }

    fn ended(&self, outcome: Outcome) -> Outcome {
        if matches!(outcome, Outcome::Complete { .. }) {
            self.front.retries.succeeded(&self.request.template.model);
        }
        outcome
    }

    async fn acquire(&mut self) -> Result<pools::Grant, Outcome> {
        let ask = self.ask();
        let slot = tokio::select! {
            slot = self.front.slots.acquire(ask) => slot,
            () = self.output.abandoned() => Err(pools::Refusal {
                reason: Reason::Cancelled,
                retry_after_ms: None,
            }),
        };
        slot.map_err(|refusal| self.not_granted(refusal))
    }

    fn ask(&self) -> pools::SlotRequest {
        let template = &self.request.template;
        pools::SlotRequest {
            model: template.model.clone(),
            want: Want {
                template: self.request.template_key(),
                priority: template.priority,
                weight: template.weight,
                prompt_tokens: self.request.prompt_tokens(),
                max_tokens: template.max_tokens,
                prefix: self.request.prefix(),
                prefix_tokens: self.request.prefix_tokens(),
                digest: self.request.digest(),
                wait_ms: self.request.wait_ms,
            },
        }
    }

    async fn attempt(&mut self, grant: pools::Grant) -> Step {
        let template = Arc::clone(&self.request.template);
        self.name_attempt(&grant);
        let submit = Submit {
            attempt: self.delivery.attempt().clone(),
            fence: grant.fence,
            priority: template.priority,
            prompt: self.request.prompt.clone(),
            max_tokens: template.max_tokens,
        };
        let attempt = Attempt {
            front: &self.front,
            ticket: ticket(
                &self.request.customer,
                &self.delivery,
                &grant,
                template.idempotent,
            ),
            grant: &grant,
            delivery: &mut self.delivery,
            output: &mut self.output,
        };
        let Used { step, ending } = match template.work {
            WorkKind::Generation => attempt.generate(&submit).await,
            WorkKind::Call => attempt.call(&submit, template.idempotent).await,
        };
        let tokens = self.delivery.delivered_tokens();
        self.front.slots.release(grant, ending, tokens);
        step
    }

    // Reports of the target then show whose slot the attempt uses.
    fn name_attempt(&mut self, grant: &pools::Grant) {
        if let Some(slot) = &grant.slot {
            let attempt = attempt::with_slot(self.delivery.attempt(), &slot.key);
            self.delivery.restart(attempt);
        }
        if let Some(borrowed) = &grant.borrowed {
            self.delivery.restart(borrowed.attempt.clone());
        }
    }

    fn restart(&mut self) {
        self.front.metrics.count("request.restarted");
        let attempt = self.front.gate.attempt();
        self.delivery.restart(attempt);
        self.output.restart();
    }

    // "Not run" is said only if no target was sent anything.
    fn not_granted(&self, refusal: pools::Refusal) -> Outcome {
        if self.sent {
            return Outcome::Incomplete {
                tokens: 0,
                reason: refusal.reason,
            };
        }
        Outcome::NotRun {
            reason: refusal.reason,
            retry_after_ms: refusal.retry_after_ms,
        }
    }

    fn close(self, outcome: Outcome) {
        self.front.metrics.count(metric(&outcome));
        debug!(self.front.log, "Request ended."; "outcome" => ?outcome);
        self.output.close(outcome);
    }
}

fn refusal() -> pools::Refusal {
    pools::Refusal {
        reason: Reason::TargetFailed,
        retry_after_ms: Some(RETRY_AFTER_MS),
    }
}

fn metric(outcome: &Outcome) -> &'static str {
    match outcome {
        Outcome::Complete { .. } => "request.complete",
        Outcome::NotRun { .. } => "request.not_run",
        Outcome::MayHaveRun { .. } => "request.may_have_run",
        Outcome::Incomplete { .. } => "request.incomplete",
    }
}

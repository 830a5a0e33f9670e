//! Runs one request: claims its key, acquires a slot, sends it to a target, delivers the
//! answer and releases the slot.

use std::sync::Arc;

use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::delivery::Delivery;
use filbertpaddle_core::delivery::RestartPolicy;
use filbertpaddle_core::outcome::Outcome;
use filbertpaddle_core::outcome::Reason;
use filbertpaddle_core::template;
use filbertpaddle_core::template::WorkKind;
use filbertpaddle_target::protocol::Submit;
use filbertpaddle_wire::grant::WorkSpec;
use slog::debug;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::oneshot;

use crate::attempt_id;
use crate::claims;
use crate::generation::Attempt;
use crate::generation::AttemptResult;
use crate::generation::SlotUse;
use crate::generation::new_ticket;
use crate::output::Output;
use crate::pools;
use crate::request::FirstResponse;
use crate::request::Request;
use crate::request_context::RequestContext;

/// Maximum number of attempts of one request, each on one target.
const MAX_ATTEMPTS: u32 = 3;
/// Time until a caller may retry after its request failed at the targets.
const TARGET_RETRY_AFTER_MS: Millis = Millis(1_000);

/// Runs a request in a task of its own, which continues if the caller disconnects.
pub async fn start(
    context: Arc<RequestContext>,
    request: Request,
    permit: OwnedSemaphorePermit,
) -> FirstResponse {
    let (first_response, receiver) = oneshot::channel();
    tokio::spawn(async move {
        // Only a result that may be replayed needs its text.
        let keeps_text = !request.template.idempotent;
        let output = Output::new(first_response, context.texts.start(), keeps_text);
        Run::new(context, request, output).run().await;
        drop(permit);
    });
    receiver
        .await
        .unwrap_or(FirstResponse::Ended(Outcome::MayHaveRun {
            reason: Reason::TargetFailed,
        }))
}

struct Run {
    context: Arc<RequestContext>,
    request: Request,
    output: Output,
    delivery: Delivery,
    attempts: u32,
    sent: bool,
}

impl Run {
    fn new(context: Arc<RequestContext>, request: Request, output: Output) -> Self {
        let restart_policy = RestartPolicy {
            idempotent: request.template.idempotent,
            buffered: request.template.delivery == template::DeliveryMode::Whole,
        };
        let delivery = Delivery::new(restart_policy, context.admission.next_attempt_id());
        Self {
            context,
            request,
            output,
            delivery,
            attempts: 0,
            sent: false,
        }
    }

    async fn run(mut self) {
        if self.request.template.idempotent {
            let outcome = self.run_attempts().await;
            self.close(outcome);
            return;
        }
        match self.claim().await {
            claims::ClaimResult::Granted(claim) => self.run_claimed(claim).await,
            claims::ClaimResult::Refused(outcome) => self.close(outcome),
            claims::ClaimResult::Replay(result) => {
                self.context.metrics.count("request.replayed");
                self.output.respond(FirstResponse::Replay(result));
            }
        }
    }

    async fn run_claimed(mut self, claim: claims::Claim) {
        let outcome = self.run_attempts().await;
        if matches!(outcome, Outcome::NotRun { .. }) {
            self.context.claims.release(claim).await;
        } else {
            let result = claims::RequestResult {
                outcome: outcome.clone(),
                text: self.output.text().to_owned(),
            };
            self.context.claims.finish(claim, result).await;
        }
        self.close(outcome);
    }

    async fn claim(&self) -> claims::ClaimResult {
        let Some(key) = self.request.key.clone() else {
            return claims::ClaimResult::Refused(Outcome::NotRun {
                reason: Reason::KeyRequired,
                retry_after_ms: None,
            });
        };
        let claim_request = claims::ClaimRequest {
            customer: self.request.customer.clone(),
            key,
            digest: self.request.digest_hex(),
            attempt: self.delivery.attempt().clone(),
        };
        self.context.claims.claim(claim_request).await
    }

    // Each iteration makes one attempt on one target, up to `MAX_ATTEMPTS`.
    async fn run_attempts(&mut self) -> Outcome {
        loop {
            let grant = match self.acquire().await {
                Ok(grant) => grant,
                Err(outcome) => return outcome,
            };
            self.attempts += 1;
            let result = self.attempt(grant).await;
            self.sent |= !matches!(result, AttemptResult::Unsent);
            match result {
                AttemptResult::Ended(outcome) => return self.record_outcome(outcome),
                AttemptResult::Restart | AttemptResult::Unsent if !self.may_retry() => {
                    return self.refused_outcome(target_failure());
                }
                AttemptResult::Restart => self.restart(),
                AttemptResult::Unsent => {}
            }
        }
    }

    fn may_retry(&self) -> bool {
        let retries = &self.context.retries;
        let allowed =
            self.attempts < MAX_ATTEMPTS && retries.try_take(&self.request.template.model);
        if !allowed {
            self.context.metrics.count("request.not_retried");
        }
        allowed
    }

    fn record_outcome(&self, outcome: Outcome) -> Outcome {
        if matches!(outcome, Outcome::Complete { .. }) {
            self.context
                .retries
                .record_success(&self.request.template.model);
        }
        outcome
    }

    async fn acquire(&mut self) -> Result<pools::Grant, Outcome> {
        let request = self.slot_request();
        let slot = tokio::select! {
            slot = self.context.slots.acquire(request) => slot,
            () = self.output.caller_gone() => Err(pools::Refusal {
                reason: Reason::Cancelled,
                retry_after_ms: None,
            }),
        };
        slot.map_err(|refusal| self.refused_outcome(refusal))
    }

    fn slot_request(&self) -> pools::SlotRequest {
        let template = &self.request.template;
        pools::SlotRequest {
            model: template.model.clone(),
            want: WorkSpec {
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

    async fn attempt(&mut self, grant: pools::Grant) -> AttemptResult {
        let template = Arc::clone(&self.request.template);
        self.add_slot_to_attempt_id(&grant);
        let submit = Submit {
            attempt: self.delivery.attempt().clone(),
            fence: grant.fence,
            priority: template.priority,
            prompt: self.request.prompt.clone(),
            max_tokens: template.max_tokens,
        };
        let attempt = Attempt {
            context: &self.context,
            ticket: new_ticket(
                &self.request.customer,
                &self.delivery,
                &grant,
                template.idempotent,
            ),
            max_tokens: Some(template.max_tokens),
            grant: &grant,
            delivery: &mut self.delivery,
            output: &mut self.output,
        };
        let SlotUse { result, ending } = match template.work {
            WorkKind::Generation => attempt.generate(&submit).await,
            WorkKind::Call => attempt.call(&submit, template.idempotent).await,
        };
        let tokens = self.delivery.delivered_tokens();
        self.context.slots.release(grant, ending, tokens);
        result
    }

    // The target's reports then show which slot the attempt uses.
    fn add_slot_to_attempt_id(&mut self, grant: &pools::Grant) {
        if let Some(slot) = &grant.slot {
            let attempt = attempt_id::with_slot(self.delivery.attempt(), &slot.key);
            self.delivery.restart(attempt);
        }
        if let Some(borrowed) = &grant.borrowed {
            self.delivery.restart(borrowed.attempt.clone());
        }
    }

    fn restart(&mut self) {
        self.context.metrics.count("request.restarted");
        let attempt = self.context.admission.next_attempt_id();
        self.delivery.restart(attempt);
        self.output.restart();
    }

    // The outcome is `NotRun` only if no target may have started an attempt.
    fn refused_outcome(&self, refusal: pools::Refusal) -> Outcome {
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
        self.context.metrics.count(outcome_metric(&outcome));
        debug!(self.context.log, "Request ended."; "outcome" => ?outcome);
        self.output.close(outcome);
    }
}

fn target_failure() -> pools::Refusal {
    pools::Refusal {
        reason: Reason::TargetFailed,
        retry_after_ms: Some(TARGET_RETRY_AFTER_MS),
    }
}

fn outcome_metric(outcome: &Outcome) -> &'static str {
    match outcome {
        Outcome::Complete { .. } => "request.complete",
        Outcome::NotRun { .. } => "request.not_run",
        Outcome::MayHaveRun { .. } => "request.may_have_run",
        Outcome::Incomplete { .. } => "request.incomplete",
    }
}

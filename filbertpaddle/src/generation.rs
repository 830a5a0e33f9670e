//! One attempt of a request on one target, from the submission to the last token.

use std::fmt;
use std::time::Duration;

use filbertpaddle_core::delivery::Action;
use filbertpaddle_core::delivery::Delivery;
use filbertpaddle_core::delivery::Event;
use filbertpaddle_core::outcome::Outcome;
use filbertpaddle_core::outcome::Reason;
use filbertpaddle_core::scheduler::Ending;
use filbertpaddle_target::error::Error;
use filbertpaddle_target::error::NotStarted;
use filbertpaddle_target::protocol::EndCause;
use filbertpaddle_target::protocol::RefusalCause;
use filbertpaddle_target::protocol::Submit;
use filbertpaddle_target::stream::Received;
use filbertpaddle_target::stream::Tokens;
use slog::debug;
use slog::info;

use crate::clock;
use crate::output::Output;
use crate::pools::Grant;
use crate::request::ResponseItem;
use crate::request_context::RequestContext;
use crate::ticket;
use crate::ticket::Ticket;

/// Delay before a failed resume is repeated.
const RESUME_DELAY: Duration = Duration::from_millis(50);

/// Result of an attempt.
#[derive(Debug)]
pub(crate) enum AttemptResult {
    /// The request has ended with this outcome.
    Ended(Outcome),
    /// The target may have run the attempt; another may be started.
    Restart,
    /// The target is known not to have started the attempt; another may be started.
    Unsent,
}

/// Result of an attempt, and the ending of its slot to report to the pool's owner.
#[derive(Debug)]
pub(crate) struct SlotUse {
    pub(crate) result: AttemptResult,
    pub(crate) ending: Ending,
}

/// An attempt with its slot, its caller's output and its delivery state.
#[derive(Debug)]
pub(crate) struct Attempt<'a> {
    pub(crate) context: &'a RequestContext,
    pub(crate) ticket: Ticket,
    /// Maximum number of tokens, if it is known.
    pub(crate) max_tokens: Option<u32>,
    pub(crate) grant: &'a Grant,
    pub(crate) delivery: &'a mut Delivery,
    pub(crate) output: &'a mut Output,
}

impl Attempt<'_> {
    /// Sends a generation and relays its tokens.
    pub(crate) async fn generate(mut self, submit: &Submit) -> SlotUse {
        let submitted = self
            .context
            .targets
            .submit(self.grant.address, submit)
            .await;
        self.context.slots.mark_sent(self.grant);
        match submitted {
            Ok(stream) => self.relay(stream).await,
            Err(error) if error.is_not_started() => self.not_started(&error),
            Err(error) => {
                self.log_failure(&error);
                self.resume_and_relay(&Event::Broken).await
            }
        }
    }

    /// Resumes a generation from its ticket and relays the remaining tokens.
    pub(crate) async fn resume(mut self) -> SlotUse {
        self.resume_and_relay(&Event::Broken).await
    }

    /// Sends a call to a plain service.
    pub(crate) async fn call(mut self, submit: &Submit, idempotent: bool) -> SlotUse {
        let answered = self.context.targets.call(self.grant.address, submit).await;
        self.context.slots.mark_sent(self.grant);
        match answered {
            Ok(answer) => {
                if let Err(limit) = self.output.count(&answer.body) {
                    return self.give_up(&limit);
                }
                self.deliver_token(0, answer.body);
                slot_use(
                    AttemptResult::Ended(Outcome::Complete { tokens: 1 }),
                    Ending::Complete,
                )
            }
            Err(error) if error.is_not_started() => self.not_started(&error),
            Err(error) => {
                self.log_failure(&error);
                let unknown = Outcome::MayHaveRun {
                    reason: Reason::TargetFailed,
                };
                let result = if idempotent {
                    AttemptResult::Restart
                } else {
                    AttemptResult::Ended(unknown)
                };
                slot_use(result, Ending::Failed)
            }
        }
    }

    async fn resume_and_relay(&mut self, event: &Event) -> SlotUse {
        let action = self.delivery.on(event);
        match self.resume_stream(action).await {
            Ok(stream) => self.relay(stream).await,
            Err(slot_use) => slot_use,
        }
    }

    async fn relay(&mut self, mut stream: Tokens) -> SlotUse {
        loop {
            let next = tokio::select! {
                biased;
                next = stream.next() => next,
                limit = self.output.evicted() => return self.give_up(&limit),
            };
            let (event, text) = match next {
                Ok(Some(received)) => match self.delivery_event(received) {
                    Some(event) => event,
                    None => continue,
                },
                Ok(None) => (Event::Broken, String::new()),
                Err(error) => {
                    self.log_failure(&error);
                    (failure_event(&error), String::new())
                }
            };
            if self.is_beyond_max_tokens(&event) {
                return self.give_up(&"target sends more tokens than it was asked for");
            }
            if let Err(limit) = self.output.count(&text) {
                return self.give_up(&limit);
            }
            match self.delivery.on(&event) {
                Action::Deliver => self.deliver_token(self.delivery.delivered_tokens() - 1, text),
                Action::DropForeign | Action::DropDuplicate => self.count_dropped(),
                action => match self.resume_stream(action).await {
                    Ok(resumed) => stream = resumed,
                    Err(slot_use) => return slot_use,
                },
            }
        }
    }

    fn delivery_event(&self, received: Received) -> Option<(Event, String)> {
        let attempt = self.delivery.attempt().clone();
        match received {
            Received::Token { index, text } => Some((Event::Token { attempt, index }, text)),
            Received::End {
                cause: EndCause::Cancelled,
                ..
            } => Some((Event::Cancelled { attempt }, String::new())),
            Received::End { tokens, .. } => Some((Event::End { attempt, tokens }, String::new())),
            Received::OtherAttempt { .. } | Received::Repeated { .. } => {
                self.count_dropped();
                None
            }
        }
    }

    // Resumes the stream until that succeeds or the delivery ends the attempt.
    async fn resume_stream(&mut self, mut action: Action) -> Result<Tokens, SlotUse> {
        loop {
            let from = match action {
                Action::Resume { from } => from,
                Action::Finish(outcome) => {
                    let ending = slot_ending(&outcome);
                    return Err(slot_use(AttemptResult::Ended(outcome), ending));
                }
                _ => return Err(slot_use(AttemptResult::Restart, Ending::Failed)),
            };
            self.context.metrics.count("stream.resumed");
            let attempt = self.delivery.attempt();
            let targets = &self.context.targets;
            match targets.resume(self.grant.address, attempt, from).await {
                Ok(stream) => return Ok(stream),
                Err(error) => {
                    self.log_failure(&error);
                    tokio::time::sleep(RESUME_DELAY).await;
                    action = self.delivery.on(&failure_event(&error));
                }
            }
        }
    }

    fn is_beyond_max_tokens(&self, event: &Event) -> bool {
        let max_tokens = self.max_tokens.unwrap_or(u32::MAX);
        matches!(event, Event::Token { index, .. } if *index >= max_tokens)
    }

    /// Ends an attempt whose target goes on without end, or whose answer the node has no memory for.
    fn give_up(&mut self, reason: &dyn fmt::Display) -> SlotUse {
        let target = &self.grant.target;
        info!(self.context.log, "Answer given up."; "target" => %target, "reason" => %reason);
        self.context.metrics.count("answer.given_up");
        self.output.give_up();
        let outcome = self.delivery.give_up();
        slot_use(AttemptResult::Ended(outcome), Ending::Failed)
    }

    fn deliver_token(&mut self, index: u32, text: String) {
        let generation = self.delivery.attempt().clone();
        let secret = self.context.ticket_secret.as_bytes();
        let ticket = &self.ticket;
        self.output.send_token(index, text, || ResponseItem::Start {
            generation,
            ticket: ticket::sign(ticket, secret),
        });
    }

    fn not_started(&self, error: &Error) -> SlotUse {
        self.log_failure(error);
        let ending = match error {
            Error::NotStarted(NotStarted::Unreachable(_)) => Ending::Unreached,
            _ => Ending::Refused,
        };
        slot_use(AttemptResult::Unsent, ending)
    }

    fn count_dropped(&self) {
        self.context.metrics.count("token.dropped");
    }

    fn log_failure(&self, error: &Error) {
        let target = &self.grant.target;
        debug!(self.context.log, "Request to target failed."; "target" => %target, "error" => %error);
    }
}

/// Creates the resume ticket of an attempt.
pub(crate) fn new_ticket(
    customer: &str,
    delivery: &Delivery,
    grant: &Grant,
    idempotent: bool,
) -> Ticket {
    Ticket {
        customer: customer.into(),
        attempt: delivery.attempt().clone(),
        target: grant.target.clone(),
        address: grant.address,
        idempotent,
        expires_unix_ms: clock::unix_now() + ticket::LIFETIME_MS,
    }
}

fn failure_event(error: &Error) -> Event {
    match error {
        Error::NotStarted(NotStarted::Refused(RefusalCause::UnknownAttempt)) => Event::Lost,
        _ => Event::Broken,
    }
}

fn slot_ending(outcome: &Outcome) -> Ending {
    match outcome {
        Outcome::Complete { .. } => Ending::Complete,
        Outcome::Incomplete {
            reason: Reason::Cancelled,
            ..
        }
        | Outcome::MayHaveRun {
            reason: Reason::Cancelled,
        } => Ending::Cancelled,
        _ => Ending::Failed,
    }
}

fn slot_use(result: AttemptResult, ending: Ending) -> SlotUse {
    SlotUse { result, ending }
}

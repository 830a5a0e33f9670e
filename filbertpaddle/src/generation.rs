//! One attempt at one target, from submit to its last token.

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

use crate::clock;
use crate::front::Front;
use crate::output::Output;
use crate::pools::Grant;
use crate::request::Item;
use crate::ticket;
use crate::ticket::Ticket;

/// Wait before a broken stream is resumed.
const RESUME_PAUSE: Duration = Duration::from_millis(50);

/// How the use of a target ended.
#[derive(Debug)]
pub(crate) enum Step {
    /// The request has its final answer.
    Ended(Outcome),
    /// The target may have run the attempt; another may be started.
    Restart,
    /// The target provably did nothing.
    Unsent,
}

/// A step and what the slot's owner is told.
#[derive(Debug)]
pub(crate) struct Used {
    pub(crate) step: Step,
    pub(crate) ending: Ending,
}

/// One attempt and whom it is for.
#[derive(Debug)]
pub(crate) struct Attempt<'a> {
    pub(crate) front: &'a Front,
    pub(crate) ticket: Ticket,
    pub(crate) grant: &'a Grant,
    pub(crate) delivery: &'a mut Delivery,
    pub(crate) output: &'a mut Output,
}

impl Attempt<'_> {
    /// Sends a generation and relays its tokens.
    pub(crate) async fn generate(mut self, submit: &Submit) -> Used {
        let submitted = self.front.targets.submit(self.grant.address, submit).await;
        self.front.slots.mark_sent(self.grant);
        match submitted {
            Ok(stream) => self.relay(stream).await,
            Err(error) if error.is_not_started() => self.not_started(&error),
            Err(error) => {
                self.log_failure(&error);
                self.resume_and_relay(&Event::Broken).await
            }
        }
    }

    /// Goes on with a generation that another node started.
    pub(crate) async fn resume(mut self) -> Used {
        self.resume_and_relay(&Event::Broken).await
    }

    /// Sends a call to a plain service.
    pub(crate) async fn call(mut self, submit: &Submit, idempotent: bool) -> Used {
        let answered = self.front.targets.call(self.grant.address, submit).await;
        self.front.slots.mark_sent(self.grant);
        match answered {
            Ok(answer) => {
                self.token(0, answer.body);
                used(
                    Step::Ended(Outcome::Complete { tokens: 1 }),
                    Ending::Complete,
                )
            }
            Err(error) if error.is_not_started() => self.not_started(&error),
            Err(error) => {
                self.log_failure(&error);
                let unknown = Outcome::MayHaveRun {
                    reason: Reason::TargetFailed,
                };
                let step = if idempotent {
                    Step::Restart
                } else {
                    Step::Ended(unknown)
                };
                used(step, Ending::Failed)
            }
        }
    }

    async fn resume_and_relay(&mut self, event: &Event) -> Used {
        let action = self.delivery.on(event);
        match self.follow(action).await {
            Ok(stream) => self.relay(stream).await,
            Err(used) => used,
        }
    }

    async fn relay(&mut self, mut stream: Tokens) -> Used {
        loop {
            let (event, text) = match stream.next().await {
                Ok(Some(received)) => match self.event(received) {
                    Some(event) => event,
                    None => continue,
                },
                Ok(None) => (Event::Broken, String::new()),
                Err(error) => {
                    self.log_failure(&error);
                    (failure(&error), String::new())
                }
            };
            match self.delivery.on(&event) {
                Action::Deliver => self.token(self.delivery.delivered_tokens() - 1, text),
                Action::DropForeign | Action::DropDuplicate => self.dropped(),
                action => match self.follow(action).await {
                    Ok(resumed) => stream = resumed,
                    Err(used) => return used,
                },
            }
        }
    }

    fn event(&self, received: Received) -> Option<(Event, String)> {
        let attempt = self.delivery.attempt().clone();
        match received {
            Received::Token { index, text } => Some((Event::Token { attempt, index }, text)),
            Received::End {
                cause: EndCause::Cancelled,
                ..
            } => Some((Event::Cancelled { attempt }, String::new())),
            Received::End { tokens, .. } => Some((Event::End { attempt, tokens }, String::new())),
            Received::Foreign { .. } | Received::Repeated { .. } => {
                self.dropped();
                None
            }
        }
    }

    // Resumes until there is a stream again or the attempt is over.
    async fn follow(&mut self, mut action: Action) -> Result<Tokens, Used> {
        loop {
            let from = match action {
                Action::Resume { from } => from,
                Action::Finish(outcome) => {
                    let ending = ending(&outcome);
                    return Err(used(Step::Ended(outcome), ending));
                }
                _ => return Err(used(Step::Restart, Ending::Failed)),
            };
            self.front.metrics.count("stream.resumed");
            let attempt = self.delivery.attempt();
            let targets = &self.front.targets;
            match targets.resume(self.grant.address, attempt, from).await {
                Ok(stream) => return Ok(stream),
                Err(error) => {
                    self.log_failure(&error);
                    tokio::time::sleep(RESUME_PAUSE).await;
                    action = self.delivery.on(&failure(&error));
                }
            }
        }
    }

    fn token(&mut self, index: u32, text: String) {
        let generation = self.delivery.attempt().clone();
        let secret = self.front.ticket_secret.as_bytes();
        let ticket = &self.ticket;
        self.output.token(index, text, || Item::Start {
            generation,
            ticket: ticket::sign(ticket, secret),
        });
    }

    fn not_started(&self, error: &Error) -> Used {
        self.log_failure(error);
        used(Step::Unsent, Ending::Refused)
    }

    fn dropped(&self) {
        self.front.metrics.count("token.dropped");
    }

    fn log_failure(&self, error: &Error) {
        let target = &self.grant.target;
        debug!(self.front.log, "Target failed."; "target" => %target, "error" => %error);
    }
}

/// Makes the ticket of an attempt.
pub(crate) fn ticket(
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
        expires_unix_ms: clock::unix_now() + ticket::LIFE_MS,
    }
}

fn failure(error: &Error) -> Event {
    match error {
        Error::NotStarted(NotStarted::Refused(RefusalCause::UnknownAttempt)) => Event::Lost,
        _ => Event::Broken,
    }
}

fn ending(outcome: &Outcome) -> Ending {
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

fn used(step: Step, ending: Ending) -> Used {
    Used { step, ending }
}

//! Baselines: simulated entry VMs that send requests straight to targets, without nodes.

use std::net::SocketAddr;

use filbertpaddle_core::name::Name;
use filbertpaddle_core::scheduler as slot;
use filbertpaddle_target::client::Client;
use filbertpaddle_target::error::Error;
use filbertpaddle_target::error::UnknownOutcome;
use filbertpaddle_target::protocol::Submit;
use filbertpaddle_target::stream::Received;
use filbertpaddle_target::stream::Tokens;

use crate::balancer::Balancer;
use crate::observation::Ending;
use crate::observation::Observer;
use crate::pool::Grant;
use crate::pool::Pool;
use crate::pool::Release;
use crate::workload::Request;

/// Most attempts to run a request.
const MAX_ATTEMPTS: u32 = 3;

/// A simulated entry VM.
#[derive(Debug)]
pub struct EntryVm {
    /// Client that sends requests to targets.
    pub client: Client,
    /// Selects engines for generations.
    pub engines: TargetSelector,
    /// Selects plain services for calls.
    pub services: TargetSelector,
}

/// Selects a target for each request.
#[derive(Debug)]
pub enum TargetSelector {
    /// The entry VM selects targets by itself, without coordination with others.
    Independent(Balancer),
    /// All entry VMs share one pool of targets.
    Pool(Pool),
}

/// Target selected for one attempt.
#[derive(Clone, Copy, Debug)]
enum SelectedTarget {
    Independent(SocketAddr),
    Pool(Grant),
}

impl TargetSelector {
    async fn select(&self, request: &Request) -> Option<SelectedTarget> {
        match self {
            Self::Independent(balancer) => balancer.choose().map(SelectedTarget::Independent),
            Self::Pool(pool) => pool.acquire(request).await.map(SelectedTarget::Pool),
        }
    }

    fn release(&self, selected: SelectedTarget, tokens: u32, ending: slot::Ending) {
        match (self, selected) {
            (Self::Independent(balancer), SelectedTarget::Independent(address)) => {
                balancer.release(address, ending != slot::Ending::Complete);
            }
            (Self::Pool(pool), SelectedTarget::Pool(grant)) => pool.release(Release {
                grant,
                tokens,
                ending,
            }),
            _ => {}
        }
    }

    /// Takes a data centre out of service; `None` puts all back in service.
    pub fn set_out_of_service(&self, data_centre: Option<usize>) {
        match self {
            Self::Independent(balancer) => balancer.set_out_of_service(data_centre),
            Self::Pool(pool) => pool.set_out_of_service(data_centre),
        }
    }
}

impl SelectedTarget {
    const fn address(&self) -> SocketAddr {
        match self {
            Self::Independent(address) => *address,
            Self::Pool(grant) => grant.address,
        }
    }
}

/// Result of one attempt.
enum AttemptResult {
    /// The request has ended and is not attempted again.
    Ended(Ending),
    /// The effect is unknown, but the request is idempotent and may be repeated.
    Retryable,
    /// The target has not started the request.
    NotStarted,
}

impl AttemptResult {
    const fn slot_ending(&self) -> slot::Ending {
        match self {
            Self::Ended(Ending::Complete) => slot::Ending::Complete,
            Self::Ended(_) | Self::Retryable => slot::Ending::Failed,
            Self::NotStarted => slot::Ending::Unsent,
        }
    }
}

impl EntryVm {
    /// Runs a request, with further attempts where repeating it is safe, and
    /// returns how it ended.
    pub async fn run(&self, request: &Request, observer: &mut Observer) -> Ending {
        let mut ending = Ending::NotRun;
        for number in 0..MAX_ATTEMPTS {
            let selector = self.selector(request);
            let Some(selected) = selector.select(request).await else {
                break;
            };
            let address = selected.address();
            let result = self.attempt(request, number, address, observer).await;
            selector.release(selected, observer.tokens(), result.slot_ending());
            match result {
                AttemptResult::Ended(ended) => return ended,
                AttemptResult::Retryable => ending = Ending::MayHaveRun,
                AttemptResult::NotStarted => {}
            }
        }
        ending
    }

    const fn selector(&self, request: &Request) -> &TargetSelector {
        if request.kind.is_call() {
            &self.services
        } else {
            &self.engines
        }
    }

    async fn attempt(
        &self,
        request: &Request,
        number: u32,
        address: SocketAddr,
        observer: &mut Observer,
    ) -> AttemptResult {
        let submit = Submit {
            attempt: Name::new(format!("{}-{number}", request.marker)),
            fence: 0,
            priority: request.priority(),
            prompt: request.prompt(),
            max_tokens: request.kind.max_tokens,
        };
        let outcome = if request.kind.is_call() {
            self.call(address, &submit, observer).await
        } else {
            self.generate(address, &submit, observer).await
        };
        match outcome {
            Ok(()) => AttemptResult::Ended(Ending::Complete),
            Err(error) if error.is_not_started() && observer.tokens() == 0 => {
                AttemptResult::NotStarted
            }
            Err(_) if observer.tokens() > 0 => AttemptResult::Ended(Ending::Incomplete),
            Err(_) if request.kind.idempotent => AttemptResult::Retryable,
            Err(_) => AttemptResult::Ended(Ending::MayHaveRun),
        }
    }

    async fn call(
        &self,
        address: SocketAddr,
        submit: &Submit,
        observer: &mut Observer,
    ) -> Result<(), Error> {
        self.client.call(address, submit).await?;
        observer.record_answer(1);
        Ok(())
    }

    async fn generate(
        &self,
        address: SocketAddr,
        submit: &Submit,
        observer: &mut Observer,
    ) -> Result<(), Error> {
        let mut stream = self.client.submit(address, submit).await?;
        match observe_stream(&mut stream, observer).await {
            Ok(()) => Ok(()),
            Err(_) => {
                let from = stream.next_index();
                let resumed = self.client.resume(address, &submit.attempt, from).await;
                // The target accepted the submission earlier, so the outcome is unknown even
                // if the error of the resume means that the resume itself did not run.
                let mut stream = resumed.map_err(|error| {
                    let text = error.to_string();
                    Error::Unknown(UnknownOutcome::ConnectionLost(text))
                })?;
                observe_stream(&mut stream, observer).await
            }
        }
    }
}

async fn observe_stream(stream: &mut Tokens, observer: &mut Observer) -> Result<(), Error> {
    while let Some(received) = stream.next().await? {
        match received {
            Received::Token { index, text } => observer.record_token(index, &text),
            Received::End { tokens, .. } => observer.check_token_count(tokens),
            Received::OtherAttempt { .. } | Received::Repeated { .. } => {}
        }
    }
    Ok(())
}

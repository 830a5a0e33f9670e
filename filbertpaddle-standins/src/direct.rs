//! Requests sent to targets without any node, as baselines do.

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

/// Targets tried for one request.
const MAX_TRIES: u32 = 3;

/// One entry VM of a baseline.
#[derive(Debug)]
pub struct Entry {
    /// Client of the targets.
    pub client: Client,
    /// What chooses engines.
    pub engines: Chooser,
    /// What chooses plain services.
    pub services: Chooser,
}

/// What chooses a target for one request.
#[derive(Debug)]
pub enum Chooser {
    /// This entry VM by itself.
    Alone(Balancer),
    /// One pool for all entry VMs.
    Pool(Pool),
}

/// A target that was chosen.
#[derive(Clone, Copy, Debug)]
enum Chosen {
    Alone(SocketAddr),
    Pool(Grant),
}

impl Chooser {
    async fn choose(&self, request: &Request) -> Option<Chosen> {
        match self {
            Self::Alone(balancer) => balancer.choose().map(Chosen::Alone),
            Self::Pool(pool) => pool.acquire(request).await.map(Chosen::Pool),
        }
    }

    fn release(&self, chosen: Chosen, tokens: u32, ending: slot::Ending) {
        match (self, chosen) {
            (Self::Alone(balancer), Chosen::Alone(address)) => {
                balancer.release(address, ending != slot::Ending::Complete);
            }
            (Self::Pool(pool), Chosen::Pool(grant)) => pool.release(Release {
                grant,
                tokens,
                ending,
            }),
            _ => {}
        }
    }

    /// Takes a data centre out, or brings all back.
    pub fn set_out(&self, data_centre: Option<usize>) {
        match self {
            Self::Alone(balancer) => balancer.set_out(data_centre),
            Self::Pool(pool) => pool.set_out(data_centre),
        }
    }
}

impl Chosen {
    const fn address(&self) -> SocketAddr {
        match self {
            Self::Alone(address) => *address,
            Self::Pool(grant) => grant.address,
        }
    }
}

/// How one try ended.
enum Tried {
    Ended(Ending),
    Again,
    Nothing,
}

impl Tried {
    const fn slot_ending(&self) -> slot::Ending {
        match self {
            Self::Ended(Ending::Complete) => slot::Ending::Complete,
            Self::Ended(_) | Self::Again => slot::Ending::Failed,
            Self::Nothing => slot::Ending::Unsent,
        }
    }
}

impl Entry {
    /// Runs one request and returns how it ended.
    pub async fn run(&self, request: &Request, observer: &mut Observer) -> Ending {
        let mut ending = Ending::NotRun;
        for number in 0..MAX_TRIES {
            let chooser = self.chooser(request);
            let Some(chosen) = chooser.choose(request).await else {
                break;
            };
            let address = chosen.address();
            let tried = self.attempt(request, number, address, observer).await;
            chooser.release(chosen, observer.tokens(), tried.slot_ending());
            match tried {
                Tried::Ended(ended) => return ended,
                Tried::Again => ending = Ending::MayHaveRun,
                Tried::Nothing => {}
            }
        }
        ending
    }

    const fn chooser(&self, request: &Request) -> &Chooser {
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
    ) -> Tried {
        let submit = Submit {
            attempt: Name::new(format!("{}-{number}", request.marker)),
            fence: 0,
            priority: request.priority(),
            prompt: request.prompt(),
            max_tokens: request.kind.max_tokens,
        };
        let result = if request.kind.is_call() {
            self.call(address, &submit, observer).await
        } else {
            self.generate(address, &submit, observer).await
        };
        match result {
            Ok(()) => Tried::Ended(Ending::Complete),
            Err(error) if error.is_not_started() && observer.tokens() == 0 => Tried::Nothing,
            Err(_) if observer.tokens() > 0 => Tried::Ended(Ending::Incomplete),
            Err(_) if request.kind.idempotent => Tried::Again,
            Err(_) => Tried::Ended(Ending::MayHaveRun),
        }
    }

    async fn call(
        &self,
        address: SocketAddr,
        submit: &Submit,
        observer: &mut Observer,
    ) -> Result<(), Error> {
        self.client.call(address, submit).await?;
        observer.answer(1);
        Ok(())
    }

    async fn generate(
        &self,
        address: SocketAddr,
        submit: &Submit,
        observer: &mut Observer,
    ) -> Result<(), Error> {
        let mut stream = self.client.submit(address, submit).await?;
        match relay(&mut stream, observer).await {
            Ok(()) => Ok(()),
            Err(_) => {
                let from = stream.next_index();
                let resumed = self.client.resume(address, &submit.attempt, from).await;
                // The submission was taken, whatever a failed resume proves of itself.
                let mut stream = resumed.map_err(|error| {
                    let text = error.to_string();
                    Error::Unknown(UnknownOutcome::ConnectionLost(text))
                })?;
                relay(&mut stream, observer).await
            }
        }
    }
}

async fn relay(stream: &mut Tokens, observer: &mut Observer) -> Result<(), Error> {
    while let Some(received) = stream.next().await? {
        match received {
            Received::Token { index, text } => observer.token(index, &text),
            Received::End { tokens, .. } => observer.count(tokens),
            Received::OtherAttempt { .. } | Received::Repeated { .. } => {}
        }
    }
    Ok(())
}

//! Requests sent to targets without any node, as baselines do.

use std::net::SocketAddr;

use filbertpaddle_core::name::Name;
use filbertpaddle_target::client::Client;
use filbertpaddle_target::error::Error;
use filbertpaddle_target::protocol::Submit;
use filbertpaddle_target::stream::Received;
use filbertpaddle_target::stream::Tokens;

use crate::balancer::Balancer;
use crate::observation::Ending;
use crate::observation::Observer;
use crate::workload::Ask;

/// Targets tried for one request.
const MAX_TRIES: u32 = 3;

/// One entry VM of a baseline.
#[derive(Debug)]
pub struct Entry {
    /// Client of the targets.
    pub client: Client,
    /// Engines as this VM sees them.
    pub engines: Balancer,
    /// Plain services as this VM sees them.
    pub services: Balancer,
}

/// How one try ended.
enum Tried {
    Ended(Ending),
    Again,
    Nothing,
}

impl Entry {
    /// Runs one request and returns how it ended.
    pub async fn run(&self, ask: &Ask, observer: &mut Observer) -> Ending {
        let mut ending = Ending::NotRun;
        for number in 0..MAX_TRIES {
            let balancer = self.balancer(ask);
            let Some(address) = balancer.choose() else {
                break;
            };
            let tried = self.attempt(ask, number, address, observer).await;
            let failed = !matches!(tried, Tried::Ended(Ending::Complete));
            balancer.release(address, failed);
            match tried {
                Tried::Ended(ended) => return ended,
                Tried::Again => ending = Ending::MayHaveRun,
                Tried::Nothing => {}
            }
        }
        ending
    }

    const fn balancer(&self, ask: &Ask) -> &Balancer {
        if ask.kind.is_call() {
            &self.services
        } else {
            &self.engines
        }
    }

    async fn attempt(
        &self,
        ask: &Ask,
        number: u32,
        address: SocketAddr,
        observer: &mut Observer,
    ) -> Tried {
        let submit = Submit {
            attempt: Name::new(format!("{}-{number}", ask.marker)),
            fence: 0,
            priority: ask.priority(),
            prompt: ask.prompt(),
            max_tokens: ask.kind.max_tokens,
        };
        let result = if ask.kind.is_call() {
            self.call(address, &submit, observer).await
        } else {
            self.generate(address, &submit, observer).await
        };
        match result {
            Ok(()) => Tried::Ended(Ending::Complete),
            Err(error) if error.is_not_started() && observer.tokens() == 0 => Tried::Nothing,
            Err(_) if observer.tokens() > 0 => Tried::Ended(Ending::Incomplete),
            Err(_) if ask.kind.idempotent => Tried::Again,
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
                let mut stream = self.client.resume(address, &submit.attempt, from).await?;
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
            Received::Foreign { .. } | Received::Repeated { .. } => {}
        }
    }
    Ok(())
}

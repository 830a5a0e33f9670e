//! Slots on targets.

use std::net::SocketAddr;
use std::time::Duration;

use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::name::Name;
use filbertpaddle_core::outcome::Reason;
use filbertpaddle_core::scheduler::Ending;
use filbertpaddle_core::service::WHOLE_SHARE;
use filbertpaddle_core::template::Priority;
use filbertpaddle_platform::client::Client;
use filbertpaddle_platform::protocol::Vm;
use filbertpaddle_platform::protocol::VmRole;
use indexmap::IndexMap;
use slog::Logger;
use slog::warn;
use xtra::Address;
use xtra::Context;
use xtra::Handler;
use xtra::Mailbox;

use crate::service::Service;

/// Time between two reads of the VM list.
const VMS_INTERVAL: Duration = Duration::from_secs(1);
/// When a refused caller may come back.
const RETRY_AFTER_MS: Millis = Millis(1_000);

/// Asks for a slot on a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ask {
    /// Model or plain service that is wanted.
    pub model: Name,
    /// Customer that sent the request.
    pub customer: Name,
    /// Customer and template, `customer/template`.
    pub template: Name,
    /// Scheduling priority.
    pub priority: Priority,
    /// Customer's relative share.
    pub weight: u32,
    /// Estimated length of the prompt.
    pub prompt_tokens: u32,
    /// Most tokens the generation may produce.
    pub max_tokens: u32,
    /// Digest of the prompt's fixed part.
    pub prefix: u64,
    /// Digest of the request, the same for a resend.
    pub digest: u64,
    /// How long the ask may wait.
    pub wait_ms: Millis,
}

/// The right to send one attempt to one target.
#[derive(Debug)]
pub struct Grant {
    /// Name of the target.
    pub target: Name,
    /// Address of the target.
    pub address: SocketAddr,
    /// Fencing number that the target is sent.
    pub fence: u64,
}

impl Grant {
    /// Names the target of an attempt that runs already and holds its slot elsewhere.
    pub fn to_resume(target: Name, address: SocketAddr) -> Self {
        Self {
            target,
            address,
            fence: 0,
        }
    }
}

/// Why no slot was given; nothing was sent to any target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// When to come back.
    pub retry_after_ms: Option<Millis>,
}

/// Gives out slots.
#[derive(Clone, Debug)]
pub struct Pools {
    actor: Address<Actor>,
}

impl Pools {
    /// Starts to follow the platform's VM list.
    pub fn start(platform: Client, service: Service, log: Logger) -> Self {
        let state = Actor {
            service: service.clone(),
            targets: Vec::new(),
            held: IndexMap::new(),
        };
        let actor = xtra::spawn_tokio(state, Mailbox::unbounded());
        tokio::spawn(follow(platform, service, actor.clone(), log));
        Self { actor }
    }

    /// Waits for a slot.
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`] if none is given in time.
    pub async fn acquire(&self, ask: Ask) -> Result<Grant, Refusal> {
        let answer = self.actor.send(ask).await;
        answer.unwrap_or(Err(Refusal {
            reason: Reason::Draining,
            retry_after_ms: Some(Millis::ZERO),
        }))
    }

    /// Gives a slot back.
    pub fn release(&self, grant: Grant, ending: Ending, tokens: u32) {
        let release = Release {
            grant,
            ending,
            tokens,
        };
        tokio::spawn(self.actor.send(release).detach());
    }
}

#[derive(Debug)]
struct Release {
    grant: Grant,
    #[expect(dead_code, reason = "the scheduler learns from it")]
    ending: Ending,
    #[expect(dead_code, reason = "the scheduler learns from it")]
    tokens: u32,
}

struct Targets(Vec<Vm>);

struct Actor {
    service: Service,
    targets: Vec<Vm>,
    held: IndexMap<Name, u32>,
}

impl xtra::Actor for Actor {
    type Stop = ();

    async fn stopped(self) {}
}

impl Handler<Ask> for Actor {
    type Return = Result<Grant, Refusal>;

    async fn handle(&mut self, ask: Ask, _: &mut Context<Self>) -> Self::Return {
        let held = |vm: &Vm| self.held.get(&vm.name).copied().unwrap_or(0);
        let chosen = self
            .targets
            .iter()
            .filter(|vm| vm.model == ask.model)
            .map(|vm| (vm, self.service.vm_share(&vm.name)))
            .filter(|(_, share)| !share.is_none())
            // What came back gets less of the new work than the others.
            .min_by_key(|(vm, share)| (held(vm) + 1) * u32::from(WHOLE_SHARE / share.per_mille()))
            .map(|(vm, _)| vm);
        let Some((vm, address)) = chosen.and_then(|vm| Some((vm, vm.address.parse().ok()?))) else {
            return Err(Refusal {
                reason: Reason::NoTarget,
                retry_after_ms: Some(RETRY_AFTER_MS),
            });
        };
        *self.held.entry(vm.name.clone()).or_default() += 1;
        Ok(Grant {
            target: vm.name.clone(),
            address,
            fence: 0,
        })
    }
}

impl Handler<Release> for Actor {
    type Return = ();

    async fn handle(&mut self, release: Release, _: &mut Context<Self>) {
        if let Some(held) = self.held.get_mut(&release.grant.target) {
            *held = held.saturating_sub(1);
        }
    }
}

impl Handler<Targets> for Actor {
    type Return = ();

    async fn handle(&mut self, targets: Targets, _: &mut Context<Self>) {
        self.targets = targets.0;
    }
}

async fn follow(platform: Client, service: Service, actor: Address<Actor>, log: Logger) {
    while actor.is_connected() {
        match platform.vms().await {
            Ok(list) => {
                service.on_list(&list.vms);
                let targets = list
                    .vms
                    .into_iter()
                    .filter(|vm| vm.role == VmRole::Target)
                    .collect();
                actor.send(Targets(targets)).await.ok();
            }
            Err(error) => warn!(log, "VM list not read."; "error" => %error),
        }
        tokio::time::sleep(VMS_INTERVAL).await;
    }
}

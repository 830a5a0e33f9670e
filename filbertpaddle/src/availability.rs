//! What may get new work, shared by all parts of a node.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use filbertpaddle_core::availability::Action;
use filbertpaddle_core::availability::Availability;
use filbertpaddle_core::availability::ListedVm;
use filbertpaddle_core::availability::Share;
use filbertpaddle_core::name::Name;
use filbertpaddle_core::replica::Replica;
use filbertpaddle_platform::protocol::Vm;
use slog::Logger;
use slog::info;

use crate::clock::Clock;

/// What may get new work; clones share one view.
#[derive(Clone, Debug)]
pub struct SharedAvailability {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    registry: Mutex<Availability>,
    clock: Clock,
    log: Logger,
}

impl SharedAvailability {
    /// Starts with nothing known.
    pub fn new(clock: Clock, log: Logger) -> Self {
        Self {
            shared: Arc::new(Shared {
                registry: Mutex::new(Availability::default()),
                clock,
                log,
            }),
        }
    }

    /// Takes the operators' decisions from this node's configuration.
    pub fn on_config(&self, replica: &Replica) {
        let now = self.shared.clock.now();
        let actions = self.registry().on_config(now, replica);
        self.note(&actions);
    }

    /// Takes the platform's list of VMs.
    pub fn on_list(&self, vms: &[Vm]) {
        let listed: Vec<_> = vms.iter().map(listed).collect();
        let now = self.shared.clock.now();
        let actions = self.registry().on_list(now, &listed);
        self.note(&actions);
    }

    /// Takes a VM's own notice that it will be reclaimed.
    pub fn on_reclaim(&self, vm: &Name) {
        let now = self.shared.clock.now();
        let actions = self.registry().on_reclaim(now, vm);
        self.note(&actions);
    }

    /// Returns how much new work a VM may get.
    pub fn vm_share(&self, vm: &Name) -> Share {
        let now = self.shared.clock.now();
        self.registry().vm_share(now, vm)
    }

    /// Returns how much new work a data centre may get.
    pub fn data_centre_share(&self, data_centre: &Name) -> Share {
        let now = self.shared.clock.now();
        self.registry().data_centre_share(now, data_centre)
    }

    fn registry(&self) -> MutexGuard<'_, Availability> {
        let registry = self.shared.registry.lock();
        registry.unwrap_or_else(PoisonError::into_inner)
    }

    fn note(&self, actions: &[Action]) {
        let log = &self.shared.log;
        for action in actions {
            match action {
                Action::VmOutOfService(name) => info!(log, "VM out."; "vm" => %name),
                Action::VmBackInService(name) => info!(log, "VM back."; "vm" => %name),
                Action::DataCentreOutOfService(name) => {
                    info!(log, "Data centre out."; "data_centre" => %name);
                }
                Action::DataCentreBackInService(name) => {
                    info!(log, "Data centre back."; "data_centre" => %name);
                }
            }
        }
    }
}

fn listed(vm: &Vm) -> ListedVm {
    ListedVm {
        vm: vm.name.clone(),
        data_centre: vm.data_centre.clone(),
        leaving: vm.leaving,
    }
}

//! Availability of data centres and VMs for new work, shared by the whole node.

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

/// Shared [`Availability`] that logs what goes out of service and what returns.
///
/// Clones share one state.
#[derive(Clone, Debug)]
pub struct SharedAvailability {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    availability: Mutex<Availability>,
    clock: Clock,
    log: Logger,
}

impl SharedAvailability {
    /// Creates the state, without any known VM or data centre.
    pub fn new(clock: Clock, log: Logger) -> Self {
        Self {
            shared: Arc::new(Shared {
                availability: Mutex::new(Availability::default()),
                clock,
                log,
            }),
        }
    }

    /// Updates the operators' decisions from this node's configuration.
    pub fn on_config(&self, replica: &Replica) {
        let now = self.shared.clock.now();
        let actions = self.availability().on_config(now, replica);
        self.log_actions(&actions);
    }

    /// Updates from the platform's VM list.
    pub fn on_list(&self, vms: &[Vm]) {
        let listed: Vec<_> = vms.iter().map(listed_vm).collect();
        let now = self.shared.clock.now();
        let actions = self.availability().on_list(now, &listed);
        self.log_actions(&actions);
    }

    /// Records a VM's own notice that it will be reclaimed.
    pub fn on_reclaim(&self, vm: &Name) {
        let now = self.shared.clock.now();
        let actions = self.availability().on_reclaim(now, vm);
        self.log_actions(&actions);
    }

    /// Returns the share of its usual new work that a VM may get; an unknown VM gets none.
    pub fn vm_share(&self, vm: &Name) -> Share {
        let now = self.shared.clock.now();
        self.availability().vm_share(now, vm)
    }

    /// Returns the share of its usual new work that a data centre may get.
    pub fn data_centre_share(&self, data_centre: &Name) -> Share {
        let now = self.shared.clock.now();
        self.availability().data_centre_share(now, data_centre)
    }

    fn availability(&self) -> MutexGuard<'_, Availability> {
        let availability = self.shared.availability.lock();
        availability.unwrap_or_else(PoisonError::into_inner)
    }

    fn log_actions(&self, actions: &[Action]) {
        let log = &self.shared.log;
        for action in actions {
            match action {
                Action::VmOutOfService(name) => {
                    info!(log, "VM out of service; it gets no new work."; "vm" => %name);
                }
                Action::VmBackInService(name) => {
                    info!(log, "VM back in service; its share of new work ramps up."; "vm" => %name);
                }
                Action::DataCentreOutOfService(name) => {
                    info!(log, "Data centre out of service; it gets no new work."; "data_centre" => %name);
                }
                Action::DataCentreBackInService(name) => {
                    info!(log, "Data centre back in service; its share of new work ramps up."; "data_centre" => %name);
                }
            }
        }
    }
}

fn listed_vm(vm: &Vm) -> ListedVm {
    ListedVm {
        vm: vm.name.clone(),
        data_centre: vm.data_centre.clone(),
        leaving: vm.leaving,
    }
}

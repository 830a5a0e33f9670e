//! Availability of data centres and VMs for new work.
//!
//! Combines the operators' decisions, the platform's VM list, which lags behind,
//! and reclaim notices. A data centre or VM is out of service if any of these
//! sources reports it out of service; after it returns, its share of new work is ramped
//! up in steps.

use std::mem;

use indexmap::IndexMap;

use crate::clock::Millis;
use crate::config::Change;
use crate::config::ServiceState;
use crate::config::Setting;
use crate::name::Name;
use crate::replica::Replica;
use crate::revision::Revision;

/// Interval between two steps of the ramp-up after a return to service.
pub const RAMP_STEP_MS: Millis = Millis::from_secs(5);
/// Share of new work right after a return to service, in thousandths.
pub const INITIAL_SHARE_PER_MILLE: u16 = 100;
/// Increase of the share with each step of the ramp-up, in thousandths.
pub const RAMP_STEP_PER_MILLE: u16 = 100;
/// Share without any restriction, in thousandths.
pub const FULL_SHARE_PER_MILLE: u16 = 1_000;
/// How long a reclaim notice stays in effect after the VM was last listed by the
/// platform.
pub const RECLAIM_NOTICE_TTL_MS: Millis = Millis::from_secs(600);

/// Share of its usual new work that a data centre or VM may get, in thousandths.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Share(u16);

impl Share {
    /// No new work.
    pub const NONE: Self = Self(0);
    /// No restriction.
    pub const FULL: Self = Self(FULL_SHARE_PER_MILLE);

    /// Returns the share in thousandths.
    pub const fn per_mille(self) -> u16 {
        self.0
    }

    /// Returns whether no new work may be sent.
    pub const fn is_none(self) -> bool {
        self.0 == 0
    }

    /// Scales a limit by the share; the result is at least 1 unless the share or the
    /// limit is zero.
    ///
    /// # Examples
    ///
    /// ```
    /// use filbertpaddle_core::availability::Share;
    ///
    /// assert_eq!(Share::FULL.scale(7), 7);
    /// assert_eq!(Share::NONE.scale(7), 0);
    /// ```
    pub fn scale(self, limit: u32) -> u32 {
        if self.is_none() || limit == 0 {
            return 0;
        }
        let scaled = u64::from(limit) * u64::from(self.0) / u64::from(FULL_SHARE_PER_MILLE);
        u32::try_from(scaled).unwrap_or(limit).max(1)
    }
}

/// One VM in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ListedVm {
    /// Name of the VM.
    pub vm: Name,
    /// Its data centre.
    pub data_centre: Name,
    /// Whether the platform lists the VM as about to be removed.
    pub leaving: bool,
}

/// Change in the availability of a data centre or VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// The VM gets no new work; running work finishes.
    VmOutOfService(Name),
    /// The VM gets new work again and counts as cold.
    VmBackInService(Name),
    /// The data centre gets no new work; running work finishes.
    DataCentreOutOfService(Name),
    /// The data centre gets new work again.
    DataCentreBackInService(Name),
}

/// Service state that determines the current share of new work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
enum RampState {
    /// In service and never known to have been out: full share without a ramp-up.
    #[default]
    NeverOut,
    /// Out of service.
    Out,
    /// Returned to service, or listed for the first time, at this time.
    RampingSince(Millis),
}

impl RampState {
    fn share(self, now: Millis) -> Share {
        match self {
            Self::NeverOut => Share::FULL,
            Self::Out => Share::NONE,
            Self::RampingSince(since) => {
                let steps = now.since(since).0 / RAMP_STEP_MS.0;
                let grown = steps.saturating_mul(u64::from(RAMP_STEP_PER_MILLE));
                let share = grown.saturating_add(u64::from(INITIAL_SHARE_PER_MILLE));
                Share(u16::try_from(share).map_or(FULL_SHARE_PER_MILLE, |share| {
                    share.min(FULL_SHARE_PER_MILLE)
                }))
            }
        }
    }

    /// Sets whether this is out of service; returns whether the state changed.
    fn set(&mut self, now: Millis, is_out: bool) -> bool {
        let was_out = *self == Self::Out;
        if is_out == was_out {
            return false;
        }
        *self = if is_out {
            Self::Out
        } else {
            Self::RampingSince(now)
        };
        true
    }
}

/// Operators' latest decision about a data centre or VM.
#[derive(Clone, Copy, Debug, Default)]
struct Decision {
    revision: Revision,
    is_out: bool,
    /// The data centre or VM was out of service and returned; this node may have
    /// missed the first of the two changes.
    has_unseen_return: bool,
}

impl Decision {
    /// Returns the decision of a change that follows the decision `before`.
    fn after(before: Self, change: &Change, has_config: bool) -> Self {
        let service = match &change.setting {
            Setting::DataCentre { service, .. } | Setting::Vm { service, .. } => *service,
            Setting::Customer { .. } | Setting::Template { .. } => ServiceState::In,
        };
        let is_out = service == ServiceState::Out;
        // Only something that is out of service can be put in service, so a newer
        // "in" implies an "out" that this node may have missed.
        let is_newer = has_config && change.revision > before.revision;
        Self {
            revision: change.revision,
            is_out,
            has_unseen_return: is_newer && !is_out,
        }
    }
}

/// State of one data centre.
#[derive(Clone, Copy, Debug, Default)]
struct DataCentre {
    decision: Decision,
    ramp: RampState,
}

/// State of one VM.
#[derive(Clone, Debug)]
struct Vm {
    data_centre: Name,
    decision: Decision,
    /// Whether the VM is missing from the platform's list or listed as leaving.
    is_platform_out: bool,
    /// Time at which the VM was last listed or gave notice, if it gave a reclaim notice.
    reclaimed_at: Option<Millis>,
    ramp: RampState,
}

impl Vm {
    fn is_out(&self) -> bool {
        self.decision.is_out || self.is_platform_out || self.reclaimed_at.is_some()
    }
}

/// Tracks on one node which data centres and VMs may get new work.
#[derive(Clone, Debug, Default)]
pub struct Availability {
    data_centres: IndexMap<Name, DataCentre>,
    vms: IndexMap<Name, Vm>,
    vm_decisions: IndexMap<Name, Decision>,
    has_list: bool,
    has_config: bool,
}

impl Availability {
    /// Applies the operators' decisions in this node's configuration.
    ///
    /// Must not be called before the configuration is known to be recent.
    pub fn on_config(&mut self, now: Millis, replica: &Replica) -> Vec<Action> {
        let mut actions = Vec::new();
        for change in replica.entries() {
            match &change.setting {
                Setting::DataCentre { name, .. } => {
                    self.apply_data_centre_decision(now, name, change, &mut actions);
                }
                Setting::Vm { name, .. } => self.apply_vm_decision(now, name, change, &mut actions),
                Setting::Customer { .. } | Setting::Template { .. } => {}
            }
        }
        self.has_config = true;
        actions
    }

    /// Applies the platform's list of VMs.
    ///
    /// A VM that is missing from the list or listed as leaving is out of service.
    /// A reclaim notice takes precedence over the list, which lags behind it.
    pub fn on_list(&mut self, now: Millis, list: &[ListedVm]) -> Vec<Action> {
        let mut actions = Vec::new();
        for vm in self.vms.values_mut() {
            vm.is_platform_out = true;
        }
        for listed in list {
            let first_list = !self.has_list;
            let decisions = &self.vm_decisions;
            let new = || Vm {
                data_centre: listed.data_centre.clone(),
                decision: decisions.get(&listed.vm).copied().unwrap_or_default(),
                is_platform_out: false,
                reclaimed_at: None,
                ramp: if first_list {
                    RampState::NeverOut
                } else {
                    RampState::RampingSince(now)
                },
            };
            let vm = self.vms.entry(listed.vm.clone()).or_insert_with(new);
            vm.data_centre = listed.data_centre.clone();
            vm.is_platform_out = listed.leaving;
            if vm.reclaimed_at.is_some() {
                vm.reclaimed_at = Some(now);
            }
        }
        self.has_list = true;
        for (name, vm) in &mut self.vms {
            if vm
                .reclaimed_at
                .is_some_and(|at| now.since(at) > RECLAIM_NOTICE_TTL_MS)
            {
                vm.reclaimed_at = None;
            }
            update_vm(now, name, vm, &mut actions);
        }
        self.remove_departed();
        actions
    }

    /// Applies a VM's notice that it will be reclaimed.
    pub fn on_reclaim(&mut self, now: Millis, name: &Name) -> Vec<Action> {
        let mut actions = Vec::new();
        if let Some(vm) = self.vms.get_mut(name) {
            vm.reclaimed_at = Some(now);
            update_vm(now, name, vm, &mut actions);
        }
        actions
    }

    /// Returns the share of new work that a data centre may get.
    pub fn data_centre_share(&self, now: Millis, data_centre: &Name) -> Share {
        let known = self.data_centres.get(data_centre).copied();
        known.unwrap_or_default().ramp.share(now)
    }

    /// Returns the share of new work that a VM may get; an unknown VM gets none.
    pub fn vm_share(&self, now: Millis, name: &Name) -> Share {
        let Some(vm) = self.vms.get(name) else {
            return Share::NONE;
        };
        let data_centre = self.data_centre_share(now, &vm.data_centre);
        data_centre.min(vm.ramp.share(now))
    }

    fn apply_data_centre_decision(
        &mut self,
        now: Millis,
        name: &Name,
        change: &Change,
        actions: &mut Vec<Action>,
    ) {
        let known = self.data_centres.entry(name.clone()).or_default();
        known.decision = Decision::after(known.decision, change, self.has_config);
        let is_out = known.decision.is_out;
        if !update_ramp(now, &mut known.ramp, is_out, &mut known.decision) {
            return;
        }
        actions.push(if is_out {
            Action::DataCentreOutOfService(name.clone())
        } else {
            Action::DataCentreBackInService(name.clone())
        });
    }

    fn apply_vm_decision(
        &mut self,
        now: Millis,
        name: &Name,
        change: &Change,
        actions: &mut Vec<Action>,
    ) {
        let known = self.vm_decisions.entry(name.clone()).or_default();
        let decision = Decision::after(*known, change, self.has_config);
        *known = decision;
        if let Some(vm) = self.vms.get_mut(name) {
            vm.decision = decision;
            update_vm(now, name, vm, actions);
        }
    }

    /// Removes VMs that the platform lists as leaving or no longer lists, unless a
    /// reclaim notice is in effect or operators have taken them out of service.
    fn remove_departed(&mut self) {
        self.vms
            .retain(|_, vm| !vm.is_platform_out || vm.reclaimed_at.is_some() || vm.decision.is_out);
    }
}

fn update_vm(now: Millis, name: &Name, vm: &mut Vm, actions: &mut Vec<Action>) {
    let is_out = vm.is_out();
    if !update_ramp(now, &mut vm.ramp, is_out, &mut vm.decision) {
        return;
    }
    actions.push(if is_out {
        Action::VmOutOfService(name.clone())
    } else {
        Action::VmBackInService(name.clone())
    });
}

/// Updates the service state; also starts a ramp-up after a return from an outage
/// that this node did not see. Returns whether the availability changed.
fn update_ramp(now: Millis, ramp: &mut RampState, is_out: bool, decision: &mut Decision) -> bool {
    let returned_unseen = mem::take(&mut decision.has_unseen_return) && !is_out;
    if ramp.set(now, is_out) {
        return true;
    }
    if returned_unseen {
        *ramp = RampState::RampingSince(now);
    }
    returned_unseen
}

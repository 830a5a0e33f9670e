//! Which data centres and VMs may get new work.
//!
//! Combines the operators' decisions, the platform's lagging list of VMs and
//! reclaim notices. Whatever says out wins; what comes back gets its share
//! of new work step by step.

use std::mem;

use indexmap::IndexMap;

use crate::clock::Millis;
use crate::config::Change;
use crate::config::ServiceState;
use crate::config::Setting;
use crate::name::Name;
use crate::replica::Replica;
use crate::revision::Revision;

/// Time between two steps of the share of what came back.
pub const RAMP_STEP_MS: Millis = Millis::from_secs(5);
/// First share of what came back, in thousandths.
pub const INITIAL_SHARE_PER_MILLE: u16 = 100;
/// By how much the share grows with each step, in thousandths.
pub const RAMP_STEP_PER_MILLE: u16 = 100;
/// The whole share, in thousandths.
pub const FULL_SHARE_PER_MILLE: u16 = 1_000;
/// How long a reclaim notice outlives the VM's last mention in the platform's list.
pub const RECLAIM_NOTICE_TTL_MS: Millis = Millis::from_secs(600);

/// Part of its usual new work that a data centre or VM may get, in thousandths.
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

    /// Scales a limit; what may get any work keeps at least 1.
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

/// One VM of the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ListedVm {
    /// Name of the VM.
    pub vm: Name,
    /// Its data centre.
    pub data_centre: Name,
    /// Whether the platform says that it is about to leave.
    pub leaving: bool,
}

/// What changed for a data centre or VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// The VM may get no new work; what runs there finishes.
    VmOutOfService(Name),
    /// The VM may get new work again and counts as cold.
    VmBackInService(Name),
    /// The data centre may get no new work; what runs there finishes.
    DataCentreOutOfService(Name),
    /// The data centre may get new work again.
    DataCentreBackInService(Name),
}

/// Whether something is in service, and since when.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
enum Standing {
    /// Not known to have been out: no steps.
    #[default]
    Known,
    /// Out.
    Out,
    /// Came back at this time.
    Back(Millis),
}

impl Standing {
    fn share(self, now: Millis) -> Share {
        match self {
            Self::Known => Share::FULL,
            Self::Out => Share::NONE,
            Self::Back(since) => {
                let steps = now.since(since).0 / RAMP_STEP_MS.0;
                let grown = steps.saturating_mul(u64::from(RAMP_STEP_PER_MILLE));
                let share = grown.saturating_add(u64::from(INITIAL_SHARE_PER_MILLE));
                Share(u16::try_from(share).map_or(FULL_SHARE_PER_MILLE, |share| {
                    share.min(FULL_SHARE_PER_MILLE)
                }))
            }
        }
    }

    /// Moves in or out; returns whether that changed.
    fn set(&mut self, now: Millis, is_out: bool) -> bool {
        let was_out = *self == Self::Out;
        if is_out == was_out {
            return false;
        }
        *self = if is_out { Self::Out } else { Self::Back(now) };
        true
    }
}

/// What operators last decided about a data centre or VM.
#[derive(Clone, Copy, Debug, Default)]
struct Decision {
    revision: Revision,
    is_out: bool,
    /// It was out in between, though this node may not have seen that.
    has_returned: bool,
}

impl Decision {
    /// Returns the decision in a setting, given the one before.
    fn after(before: Self, change: &Change, has_config: bool) -> Self {
        let service = match &change.setting {
            Setting::DataCentre { service, .. } | Setting::Vm { service, .. } => *service,
            Setting::Customer { .. } | Setting::Template { .. } => ServiceState::In,
        };
        let is_out = service == ServiceState::Out;
        // Only what is out can be brought in, so a later "in" tells of an
        // "out" that was passed over.
        let is_news = has_config && change.revision > before.revision;
        Self {
            revision: change.revision,
            is_out,
            has_returned: is_news && !is_out,
        }
    }
}

/// What is known of one data centre.
#[derive(Clone, Copy, Debug, Default)]
struct DataCentre {
    decision: Decision,
    standing: Standing,
}

/// What is known of one VM.
#[derive(Clone, Debug)]
struct Vm {
    data_centre: Name,
    decision: Decision,
    /// Missing from the list or listed as leaving.
    platform_out: bool,
    /// When the VM was last listed, if it announced its own reclaim.
    reclaimed_at: Option<Millis>,
    standing: Standing,
}

impl Vm {
    fn is_out(&self) -> bool {
        self.decision.is_out || self.platform_out || self.reclaimed_at.is_some()
    }
}

/// What may get new work, as one node sees it.
#[derive(Clone, Debug, Default)]
pub struct Availability {
    data_centres: IndexMap<Name, DataCentre>,
    vms: IndexMap<Name, Vm>,
    vm_decisions: IndexMap<Name, Decision>,
    has_list: bool,
    has_config: bool,
}

impl Availability {
    /// Takes the operators' decisions from this node's configuration.
    ///
    /// The first call must wait until the configuration is known to be recent.
    pub fn on_config(&mut self, now: Millis, replica: &Replica) -> Vec<Action> {
        let mut actions = Vec::new();
        for change in replica.entries() {
            match &change.setting {
                Setting::DataCentre { name, .. } => {
                    self.decide_data_centre(now, name, change, &mut actions);
                }
                Setting::Vm { name, .. } => self.decide_vm(now, name, change, &mut actions),
                Setting::Customer { .. } | Setting::Template { .. } => {}
            }
        }
        self.has_config = true;
        actions
    }

    /// Takes the platform's list of VMs.
    ///
    /// A VM that was listed and is missing now is out, as is one listed as
    /// leaving. A reclaim notice outweighs a list that lags behind it.
    pub fn on_list(&mut self, now: Millis, list: &[ListedVm]) -> Vec<Action> {
        let mut actions = Vec::new();
        for vm in self.vms.values_mut() {
            vm.platform_out = true;
        }
        for listed in list {
            let first_list = !self.has_list;
            let decisions = &self.vm_decisions;
            let new = || Vm {
                data_centre: listed.data_centre.clone(),
                decision: decisions.get(&listed.vm).copied().unwrap_or_default(),
                platform_out: false,
                reclaimed_at: None,
                standing: if first_list {
                    Standing::Known
                } else {
                    Standing::Back(now)
                },
            };
            let vm = self.vms.entry(listed.vm.clone()).or_insert_with(new);
            vm.data_centre = listed.data_centre.clone();
            vm.platform_out = listed.leaving;
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
            settle(now, name, vm, &mut actions);
        }
        self.forget();
        actions
    }

    /// Takes a VM's own notice that it will be reclaimed.
    pub fn on_reclaim(&mut self, now: Millis, name: &Name) -> Vec<Action> {
        let mut actions = Vec::new();
        if let Some(vm) = self.vms.get_mut(name) {
            vm.reclaimed_at = Some(now);
            settle(now, name, vm, &mut actions);
        }
        actions
    }

    /// Returns how much new work a data centre may get.
    pub fn data_centre_share(&self, now: Millis, data_centre: &Name) -> Share {
        let known = self.data_centres.get(data_centre).copied();
        known.unwrap_or_default().standing.share(now)
    }

    /// Returns how much new work a VM may get; an unknown VM gets none.
    pub fn vm_share(&self, now: Millis, name: &Name) -> Share {
        let Some(vm) = self.vms.get(name) else {
            return Share::NONE;
        };
        let data_centre = self.data_centre_share(now, &vm.data_centre);
        data_centre.min(vm.standing.share(now))
    }

    fn decide_data_centre(
        &mut self,
        now: Millis,
        name: &Name,
        change: &Change,
        actions: &mut Vec<Action>,
    ) {
        let known = self.data_centres.entry(name.clone()).or_default();
        known.decision = Decision::after(known.decision, change, self.has_config);
        let is_out = known.decision.is_out;
        if !move_standing(now, &mut known.standing, is_out, &mut known.decision) {
            return;
        }
        actions.push(if is_out {
            Action::DataCentreOutOfService(name.clone())
        } else {
            Action::DataCentreBackInService(name.clone())
        });
    }

    fn decide_vm(&mut self, now: Millis, name: &Name, change: &Change, actions: &mut Vec<Action>) {
        let known = self.vm_decisions.entry(name.clone()).or_default();
        let decision = Decision::after(*known, change, self.has_config);
        *known = decision;
        if let Some(vm) = self.vms.get_mut(name) {
            vm.decision = decision;
            settle(now, name, vm, actions);
        }
    }

    /// Drops VMs that are no longer listed and whose reclaim is long past.
    fn forget(&mut self) {
        self.vms
            .retain(|_, vm| !vm.platform_out || vm.reclaimed_at.is_some() || vm.decision.is_out);
    }
}

fn settle(now: Millis, name: &Name, vm: &mut Vm, actions: &mut Vec<Action>) {
    let is_out = vm.is_out();
    if !move_standing(now, &mut vm.standing, is_out, &mut vm.decision) {
        return;
    }
    actions.push(if is_out {
        Action::VmOutOfService(name.clone())
    } else {
        Action::VmBackInService(name.clone())
    });
}

/// Moves in or out, or starts the steps of what was out unseen.
fn move_standing(
    now: Millis,
    standing: &mut Standing,
    is_out: bool,
    decision: &mut Decision,
) -> bool {
    let returned_unseen = mem::take(&mut decision.has_returned) && !is_out;
    if standing.set(now, is_out) {
        return true;
    }
    if returned_unseen {
        *standing = Standing::Back(now);
    }
    returned_unseen
}

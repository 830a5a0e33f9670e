//! Links a pool's scheduler to its owner: maps the scheduler's identifiers to
//! members' slot requests and to the work that holds slots.

use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::name::Name;
use filbertpaddle_core::outcome::Reason;
use filbertpaddle_core::owner;
use filbertpaddle_core::owner::Owner;
use filbertpaddle_core::policy::Settings;
use filbertpaddle_core::roster::NodeId;
use filbertpaddle_core::scheduler::Ending;
use filbertpaddle_core::scheduler::Load;
use filbertpaddle_core::scheduler::Placement;
use filbertpaddle_core::scheduler::Refusal;
use filbertpaddle_core::scheduler::RequestId;
use filbertpaddle_core::scheduler::Scheduler;
use filbertpaddle_core::scheduler::SlotId;
use filbertpaddle_core::scheduler::SlotRequest;
use filbertpaddle_core::scheduler::TargetView;
use filbertpaddle_core::slot::Grant;
use filbertpaddle_core::slot::WorkKey;
use filbertpaddle_core::suspect::CrashRecord;
use filbertpaddle_target::protocol::LoadReport;
use filbertpaddle_wire::grant::End;
use filbertpaddle_wire::grant::WorkSpec;
use indexmap::IndexMap;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A request that is refused a slot.
#[derive(Debug)]
pub(crate) struct Denied {
    pub(crate) request: owner::SlotRequest,
    pub(crate) refusal: Refusal,
}

/// Crash record of one request digest.
#[derive(Debug)]
pub(crate) struct Suspect {
    pub(crate) digest: u64,
    pub(crate) record: CrashRecord,
}

/// Work that holds a slot.
#[derive(Debug)]
struct PlacedWork {
    slot: SlotId,
    target: Name,
}

/// A pool's scheduler, with the requests and work that its identifiers stand for.
#[derive(Debug)]
pub(crate) struct PoolScheduler {
    settings: Settings,
    scheduler: Scheduler,
    requests: IndexMap<RequestId, owner::SlotRequest>,
    placed: IndexMap<WorkKey, PlacedWork>,
    capacity_tokens: IndexMap<Name, u64>,
    next_id: u64,
    /// Sequence number of the last change of the crash records that each member was sent.
    suspects_sent: IndexMap<NodeId, u64>,
}

impl PoolScheduler {
    pub(crate) fn new(settings: Settings) -> Self {
        Self {
            settings,
            scheduler: Scheduler::new(settings),
            requests: IndexMap::new(),
            placed: IndexMap::new(),
            capacity_tokens: IndexMap::new(),
            next_id: 0,
            suspects_sent: IndexMap::new(),
        }
    }

    /// Resets the state for a new ownership; only crash records are kept.
    pub(crate) fn reset(&mut self, now: Millis) {
        let old = std::mem::replace(self, Self::new(self.settings));
        for suspect in old.suspects() {
            self.merge_crash_record(now, suspect.digest, &suspect.record);
        }
    }

    /// Queues a member's request.
    pub(crate) fn push(
        &mut self,
        now: Millis,
        request: owner::SlotRequest,
        want: &WorkSpec,
    ) -> Result<(), Refusal> {
        let id = RequestId(self.next_number());
        self.scheduler.push(now, scheduler_request(now, id, want))?;
        self.requests.insert(id, request);
        Ok(())
    }

    /// Removes a request that its holder has withdrawn.
    pub(crate) fn withdraw(&mut self, holder: &NodeId, number: u64) {
        let same =
            |request: &owner::SlotRequest| request.holder == *holder && request.number == number;
        let found = self.requests.iter().find(|(_, other)| same(other));
        if let Some(id) = found.map(|(id, _)| *id) {
            self.scheduler.cancel(id);
            self.requests.swap_remove(&id);
        }
    }

    /// Returns grants for the requests that the scheduler places and the owner has
    /// room for.
    pub(crate) fn make_grants(&mut self, now: Millis, owner: &mut Owner) -> Vec<Grant> {
        let mut grants = Vec::new();
        while owner.may_grant(now) && self.scheduler.queued() > 0 {
            let views = self.target_views(now, owner);
            let Some(placement) = self.scheduler.next_placement(now, &views) else {
                break;
            };
            let Some(slot_request) = self.requests.swap_remove(&placement.request.id) else {
                continue;
            };
            let slot = SlotId(self.next_number());
            self.scheduler.record_start(now, slot, &placement);
            if let Some(grant) = owner.grant_at(now, &placement.target, &slot_request) {
                let target = placement.target;
                self.placed
                    .insert(grant.key.clone(), PlacedWork { slot, target });
                grants.push(grant);
                continue;
            }
            self.scheduler.record_end(now, slot, 0, Ending::Unsent);
            if owner.is_queued(&slot_request) {
                // The target's free slots are kept for other members; the request is queued again.
                if self.scheduler.push(now, placement.request.clone()).is_ok() {
                    self.requests.insert(placement.request.id, slot_request);
                }
                break;
            }
        }
        grants
    }

    fn target_views(&self, now: Millis, owner: &Owner) -> Vec<TargetView> {
        let capacity = |name: &Name| self.capacity_tokens.get(name).copied().unwrap_or(0);
        owner
            .ledgers()
            .iter()
            .map(|ledger| TargetView {
                name: ledger.target.clone(),
                free_slots: owner.room_at(now, ledger),
                capacity_tokens: capacity(&ledger.target),
                warm: true,
            })
            .collect()
    }

    /// Returns the requests that the scheduler has refused since the last call.
    pub(crate) fn take_denied(&mut self, now: Millis) -> Vec<Denied> {
        let refusals = self.scheduler.take_refusals(now);
        refusals
            .into_iter()
            .filter_map(|refusal| {
                let request = self.requests.swap_remove(&refusal.id)?;
                Some(Denied { request, refusal })
            })
            .collect()
    }

    /// Records work that this node started within its own share.
    pub(crate) fn record_local_start(
        &mut self,
        now: Millis,
        key: &WorkKey,
        target: &Name,
        want: &WorkSpec,
    ) {
        let slot = SlotId(self.next_number());
        let placement = Placement {
            request: scheduler_request(now, RequestId(slot.0), want),
            target: target.clone(),
        };
        self.scheduler.record_start(now, slot, &placement);
        let target = placement.target;
        self.placed.insert(key.clone(), PlacedWork { slot, target });
    }

    /// Records how the work in a slot ended.
    pub(crate) fn record_end(&mut self, now: Millis, key: &WorkKey, end: End) {
        if let Some(placed) = self.placed.swap_remove(key) {
            self.scheduler
                .record_end(now, placed.slot, end.tokens, end.ending);
        }
    }

    /// Records a target's load and ends work on it that the owner no longer counts.
    pub(crate) fn record_load(
        &mut self,
        now: Millis,
        target: &Name,
        load: &LoadReport,
        owner: Option<&Owner>,
    ) {
        let page_tokens = u64::from(load.page_tokens);
        let capacity_tokens = u64::from(load.total_pages) * page_tokens;
        self.capacity_tokens.insert(target.clone(), capacity_tokens);
        let report = Load {
            taken_ms: Millis(now.0.saturating_sub(load.age_ms.0)),
            used_tokens: u64::from(load.used_pages) * page_tokens,
            running: load.running,
            waiting: load.waiting,
            preemptions: load.preemptions,
        };
        self.scheduler.record_load(now, target, &report);
        let ledger = owner.and_then(|owner| {
            let mut ledgers = owner.ledgers().iter();
            ledgers.find(|ledger| ledger.target == *target)
        });
        let Some(ledger) = ledger else {
            return;
        };
        let is_counted = |key: &WorkKey| ledger.slots().iter().any(|slot| slot.key == *key);
        let uncounted: Vec<WorkKey> = self
            .placed
            .iter()
            .filter(|(key, placed)| placed.target == *target && !is_counted(key))
            .map(|(key, _)| key.clone())
            .collect();
        let end = End {
            ending: Ending::Unknown,
            tokens: 0,
        };
        uncounted
            .iter()
            .for_each(|key| self.record_end(now, key, end));
    }

    /// Returns whether a request is blocked because others like it crashed too many targets.
    pub(crate) fn is_blocked(&self, now: Millis, want: &WorkSpec) -> bool {
        let request = scheduler_request(now, RequestId(0), want);
        self.scheduler.is_blocked(now, &request)
    }

    /// Merges another node's crash record of a request digest.
    pub(crate) fn merge_crash_record(&mut self, now: Millis, digest: u64, record: &CrashRecord) {
        self.scheduler.merge_crash_record(now, digest, record);
    }

    /// Returns all crash records.
    pub(crate) fn suspects(&self) -> Vec<Suspect> {
        self.suspects_after(0)
    }

    /// Returns the crash records that changed since the last call for a member; all of them
    /// in the first call.
    pub(crate) fn take_changed_suspects(&mut self, member: &NodeId) -> Vec<Suspect> {
        let sequence = self.scheduler.suspects().sequence();
        let sent = self.suspects_sent.insert(member.clone(), sequence);
        self.suspects_after(sent.unwrap_or_default())
    }

    /// Makes the next call of [`Self::take_changed_suspects`] return all crash records, since
    /// some were not sent to the member.
    pub(crate) fn mark_suspects_unsent(&mut self, member: &NodeId) {
        self.suspects_sent.swap_remove(member);
    }

    fn suspects_after(&self, sequence: u64) -> Vec<Suspect> {
        let changes = self.scheduler.suspects().changed_after(sequence);
        changes
            .map(|(digest, record)| Suspect {
                digest,
                record: record.clone(),
            })
            .collect()
    }

    fn next_number(&mut self) -> u64 {
        self.next_id += 1;
        self.next_id
    }
}

/// Returns the refusal for a request that has crashed too many targets.
pub(crate) fn quarantined_refusal() -> crate::pools::Refusal {
    crate::pools::Refusal {
        reason: Reason::Quarantined,
        retry_after_ms: None,
    }
}

fn scheduler_request(now: Millis, id: RequestId, want: &WorkSpec) -> SlotRequest {
    let customer = want.template.split('/').next().unwrap_or_default();
    SlotRequest {
        id,
        customer: Name::new(customer),
        template: want.template.clone(),
        priority: want.priority,
        weight: want.weight,
        prompt_tokens: want.prompt_tokens,
        max_tokens: want.max_tokens,
        prefix: want.prefix,
        prefix_tokens: want.prefix_tokens,
        digest: want.digest,
        parts: vec![template_digest(want)],
        arrived_ms: now,
        deadline_ms: now + want.wait_ms,
    }
}

/// Returns the digest of what all requests of a template have in common. It changes with the
/// complete blocks of the template's prompt.
fn template_digest(want: &WorkSpec) -> u64 {
    xxh3_64_with_seed(want.template.as_bytes(), want.prefix)
}

//! The owner of a pool: queues slot requests, counts work and grants slots under an epoch.

use std::collections::VecDeque;

use crate::clock::Millis;
use crate::ledger::Ledger;
use crate::limit::Limit;
use crate::name::Name;
use crate::peer::Peer;
use crate::peer::Promise;
use crate::report::Report;
use crate::roster::NodeId;
use crate::roster::Roster;
use crate::slot::Grant;
use crate::slot::HeldWork;
use crate::slot::Source;
use crate::slot::WorkKey;
use crate::timing::Timing;

/// Number of queued requests that are tried before none is granted.
const LOOKAHEAD_REQUESTS: usize = 8;

/// A member's request for a slot.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct SlotRequest {
    /// Node that requests the slot.
    pub holder: NodeId,
    /// Number of the request, unique within the holder's incarnation.
    pub number: u64,
    /// The holder's stamp at the time of the request.
    pub stamp: u64,
    /// The holder's session at the time of the request.
    pub session: u32,
}

/// Asks a member for the work that it holds.
///
/// From then on the member refuses grants of this epoch numbered below `upto`.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct CollectRequest {
    /// The member.
    pub holder: NodeId,
    /// Epoch of the owner that sends the request.
    pub epoch: u64,
    /// Number of the owner's next grant.
    pub upto: u64,
}

/// A member's reply to a [`CollectRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct CollectReply {
    /// The member.
    pub holder: NodeId,
    /// The member's session.
    pub session: u32,
    /// Epoch of the owner that sent the request.
    pub epoch: u64,
    /// Number of the owner's next grant at the time of the request.
    pub upto: u64,
    /// All work that the member has accepted and that has not ended.
    pub works: Vec<HeldWork>,
}

/// The owner's state of one pool of targets.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Owner {
    timing: Timing,
    epoch: u64,
    since_ms: Millis,
    roster: Roster,
    confirmed_ms: Option<Millis>,
    peers: Vec<Peer>,
    ledgers: Vec<Ledger>,
    queue: VecDeque<SlotRequest>,
    next_number: u64,
}

impl Owner {
    /// Returns the state of an owner that takes over a pool.
    ///
    /// `now` must not be earlier than the change of the roster that named this owner.
    pub fn new(timing: Timing, epoch: u64, now: Millis, roster: Roster) -> Self {
        let peers = roster.peers().iter().cloned().map(Peer::new).collect();
        Self {
            timing,
            epoch,
            since_ms: now,
            roster,
            confirmed_ms: None,
            peers,
            ledgers: Vec::new(),
            queue: VecDeque::new(),
            next_number: 0,
        }
    }

    /// Returns the epoch, which fences this ownership from earlier ones.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Returns the ledgers of the pool's targets.
    pub fn ledgers(&self) -> &[Ledger] {
        &self.ledgers
    }

    /// Returns the number of queued requests.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Adds a target to the pool.
    pub fn add_target(&mut self, target: &Name) {
        if self.ledger(target).is_none() {
            self.ledgers.push(Ledger::new(target.clone()));
        }
    }

    /// Sets the portion of a target's limit that may be used, in thousandths.
    pub fn set_portion(&mut self, target: &Name, per_mille: u16) {
        if let Some(ledger) = self.ledger_mut(target) {
            ledger.set_portion(per_mille);
        }
    }

    /// Applies a later version of the roster that still names this owner.
    ///
    /// Requests of members that left are dropped; their work becomes orphaned.
    pub fn on_roster(&mut self, now: Millis, roster: Roster) {
        if roster.version <= self.roster.version {
            return;
        }
        self.roster = roster;
        let ids = self.roster.peers();
        self.peers.retain(|peer| ids.contains(&peer.id));
        for id in ids {
            if self.peers.iter().all(|peer| peer.id != *id) {
                self.peers.push(Peer::new(id.clone()));
            }
        }
        self.queue.retain(|request| ids.contains(&request.holder));
        for ledger in &mut self.ledgers {
            ledger.mark_orphaned(now, |key| !ids.contains(&key.holder));
        }
    }

    /// Records that a read of the roster requested at `requested_ms` named this owner and epoch.
    pub fn on_confirm(&mut self, requested_ms: Millis) {
        self.confirmed_ms = self.confirmed_ms.max(Some(requested_ms));
    }

    /// Records a member's promise, made while the member held no newer roster.
    pub fn on_promise(&mut self, id: &NodeId, promise: Promise) {
        if let Some(peer) = self.peer_mut(id) {
            peer.on_promise(promise);
        }
    }

    /// Handles a lost connection to a member: messages may be lost, so its work
    /// has to be collected again and its queued requests are dropped.
    pub fn on_disconnect(&mut self, id: &NodeId) {
        if let Some(peer) = self.peer_mut(id) {
            peer.collected = None;
        }
        self.queue.retain(|request| request.holder != *id);
    }

    /// Returns the collect requests to members whose work is not completely counted.
    pub fn due_collects(&self) -> Vec<CollectRequest> {
        self.peers
            .iter()
            .filter(|peer| peer.is_collect_due())
            .map(|peer| self.collect_request(peer))
            .collect()
    }

    /// Returns a collect request to every member, to find slots that are still
    /// counted because a release was lost.
    pub fn recount_requests(&self) -> Vec<CollectRequest> {
        self.peers
            .iter()
            .map(|peer| self.collect_request(peer))
            .collect()
    }

    /// Applies the reply of a member whose work had been collected before.
    ///
    /// Counted work that the member does not hold is orphaned: its end is not
    /// known, so it stays counted until a report does not show it.
    pub fn on_recount_reply(&mut self, now: Millis, reply: &CollectReply) {
        let epoch = self.epoch;
        let is_counted = |key: &WorkKey| {
            key.holder == reply.holder
                && key.source == Source::Granted
                && key.epoch == epoch
                && key.number < reply.upto
        };
        let is_held = |key: &WorkKey| reply.works.iter().any(|held| held.key == *key);
        for ledger in &mut self.ledgers {
            ledger.mark_orphaned(now, |key| is_counted(key) && !is_held(key));
        }
    }

    /// Returns whether a member's work has been collected in its session.
    pub fn has_collected(&self, holder: &NodeId, session: u32) -> bool {
        self.peer(holder)
            .is_some_and(|peer| peer.collected == Some(session))
    }

    /// Applies a member's reply: replaces what is counted for it.
    ///
    /// Replies of an earlier session or to another epoch are ignored.
    pub fn on_collect_reply(&mut self, reply: &CollectReply) {
        let epoch = self.epoch;
        if reply.epoch != epoch {
            return;
        }
        let Some(peer) = self.peer_mut(&reply.holder) else {
            return;
        };
        if peer
            .collected
            .is_some_and(|session| session > reply.session)
        {
            return;
        }
        peer.collected = Some(reply.session);
        peer.has_replied = true;
        for held in &reply.works {
            self.add_target(&held.target);
        }
        for ledger in &mut self.ledgers {
            let works = reply.works.iter();
            let held: Vec<WorkKey> = works
                .filter(|held| held.target == ledger.target)
                .map(|held| held.key.clone())
                .collect();
            ledger.replace(epoch, &reply.holder, reply.upto, &held);
        }
    }

    /// Queues a request; returns whether it was queued.
    ///
    /// It is not queued unless the holder's work has been collected in the
    /// session of the request.
    pub fn on_request(&mut self, request: SlotRequest) -> bool {
        self.on_stamp(&request.holder, request.stamp);
        let Some(peer) = self.peer(&request.holder) else {
            return false;
        };
        if peer.collected != Some(request.session) {
            return false;
        }
        self.queue.push_back(request);
        true
    }

    /// Records a member's latest stamp, which renews the time in which it accepts grants.
    pub fn on_stamp(&mut self, holder: &NodeId, stamp: u64) {
        if let Some(peer) = self.peer_mut(holder) {
            peer.stamp = peer.stamp.max(stamp);
        }
    }

    /// Removes a request that its holder has given up.
    pub fn on_withdraw(&mut self, holder: &NodeId, number: u64) {
        self.queue
            .retain(|request| request.holder != *holder || request.number != number);
    }

    /// Releases a slot.
    ///
    /// Unless the work has certainly `ended`, the slot stays counted until a
    /// report does not show it.
    pub fn on_release(&mut self, now: Millis, key: &WorkKey, ended: bool) {
        for ledger in &mut self.ledgers {
            match ended {
                true => ledger.remove(key),
                false => ledger.mark_orphaned(now, |other| other == key),
            }
        }
    }

    /// Applies a target's report to its ledger.
    pub fn on_report(&mut self, now: Millis, target: &Name, report: &Report) {
        let complete_ms = self.complete_ms();
        let timing = self.timing;
        let epoch = self.epoch;
        let peers = &self.peers;
        let is_count_complete = |id: &NodeId| {
            let peer = peers.iter().find(|peer| peer.id == *id);
            peer.is_some_and(|peer| peer.is_count_complete(now, &timing))
        };
        if let Some(ledger) = self
            .ledgers
            .iter_mut()
            .find(|ledger| ledger.target == *target)
        {
            ledger.apply_report(epoch, complete_ms, report, is_count_complete, &timing);
        }
    }

    /// Returns whether this owner may grant slots now.
    ///
    /// Either a recent read of the roster named it, or every member has recently
    /// promised while it held no newer roster; a successor would be one of them.
    pub fn may_grant(&self, now: Millis) -> bool {
        let recent = |requested_ms: Millis| now < requested_ms + self.timing.confirm_ms;
        self.confirmed_ms.is_some_and(recent)
            || self
                .peers
                .iter()
                .all(|peer| peer.promise_covers_grant(now, &self.timing))
    }

    /// Grants slots to queued requests as long as one can be granted.
    pub fn grant_all(&mut self, now: Millis) -> Vec<Grant> {
        let mut grants = Vec::new();
        if !self.may_grant(now) {
            return grants;
        }
        while let Some((position, index)) = self.next_grantable(now) {
            let Some(request) = self.queue.remove(position) else {
                break;
            };
            grants.push(self.grant(now, index, request));
        }
        grants
    }

    /// Returns the members that may be granted slots.
    pub fn members(&self) -> &[NodeId] {
        self.roster.peers()
    }

    /// Returns whether a request is still queued.
    pub fn is_queued(&self, request: &SlotRequest) -> bool {
        self.queue.contains(request)
    }

    /// Grants a slot on one target to a queued request, if the target has room.
    pub fn grant_at(&mut self, now: Millis, target: &Name, request: &SlotRequest) -> Option<Grant> {
        let position = self.queue.iter().position(|other| other == request)?;
        let index = self
            .ledgers
            .iter()
            .position(|ledger| ledger.target == *target)?;
        let room = self.ledger_room(now, &self.ledgers[index], Some(&request.holder));
        if room == 0 || !self.may_grant(now) {
            return None;
        }
        let request = self.queue.remove(position)?;
        Some(self.grant(now, index, request))
    }

    /// Returns the number of free slots on a target for the queued requests.
    ///
    /// Slots reserved for one member count if that member has a queued request.
    pub fn room_at(&self, now: Millis, ledger: &Ledger) -> u32 {
        let room = self.ledger_room(now, ledger, None);
        if room > 0 {
            return room;
        }
        self.queue
            .iter()
            .take(LOOKAHEAD_REQUESTS)
            .map(|request| self.ledger_room(now, ledger, Some(&request.holder)))
            .max()
            .unwrap_or(0)
    }

    /// Returns the number of free slots in the pool that no member has reserved.
    pub fn room(&self, now: Millis) -> u32 {
        self.ledgers
            .iter()
            .map(|ledger| self.ledger_room(now, ledger, None))
            .sum()
    }

    fn grant(&mut self, now: Millis, index: usize, request: SlotRequest) -> Grant {
        let key = WorkKey {
            holder: request.holder,
            epoch: self.epoch,
            source: Source::Granted,
            number: self.next_number,
        };
        self.next_number += 1;
        let stamp = self.peer(&key.holder).map_or(0, |peer| peer.stamp);
        let timing = self.timing;
        let ledger = &mut self.ledgers[index];
        ledger.add(key.clone(), false);
        Grant {
            key,
            target: ledger.target.clone(),
            request: request.number,
            stamp,
            cold: ledger.limit(now, &timing).is_none_or(Limit::is_cold),
        }
    }

    /// Returns the position of the first request that can be granted and the
    /// index of its target.
    fn next_grantable(&self, now: Millis) -> Option<(usize, usize)> {
        let requests = self.queue.iter().take(LOOKAHEAD_REQUESTS).enumerate();
        requests
            .filter_map(|(position, request)| {
                Some((position, self.target_with_most_room(now, &request.holder)?))
            })
            .next()
    }

    fn target_with_most_room(&self, now: Millis, holder: &NodeId) -> Option<usize> {
        let ledgers = self.ledgers.iter().enumerate();
        ledgers
            .map(|(index, ledger)| (self.ledger_room(now, ledger, Some(holder)), index))
            .filter(|(room, _)| *room > 0)
            .max_by_key(|(room, index)| (*room, std::cmp::Reverse(*index)))
            .map(|(_, index)| index)
    }

    /// Returns the number of free slots on a target, the first of them for `holder`.
    fn ledger_room(&self, now: Millis, ledger: &Ledger, holder: Option<&NodeId>) -> u32 {
        let Some(limit) = ledger.limit(now, &self.timing) else {
            return 0;
        };
        let reserved = match limit.is_cold() {
            true => self.reserved(now, ledger, limit.current(), holder),
            false => 0,
        };
        ledger
            .portion(limit.current())
            .saturating_sub(ledger.used())
            .saturating_sub(reserved)
    }

    /// Returns the slots to reserve on a cold target for work that members may
    /// send beyond what is counted, once `holder` has one more slot there.
    fn reserved(&self, now: Millis, ledger: &Ledger, limit: u32, holder: Option<&NodeId>) -> u32 {
        self.peers
            .iter()
            .filter(|peer| !peer.is_count_complete(now, &self.timing))
            .map(|peer| {
                let used = ledger.used_by(&peer.id);
                let granted = used + u32::from(holder == Some(&peer.id));
                // A member that never replied to this owner may be paused just
                // before it sends work under an earlier owner's grant.
                let is_known = peer.has_replied || ledger.is_fenced();
                let share = self.roster.reserve(&ledger.target, limit, &peer.id);
                share
                    .max(used + u32::from(!is_known))
                    .saturating_sub(granted)
            })
            .sum()
    }

    /// Returns the time from which a report shows all work that is not counted here.
    fn complete_ms(&self) -> Millis {
        let all_replied = self.peers.iter().all(|peer| peer.has_replied);
        match all_replied {
            true => self.since_ms + self.timing.settle_ms,
            false => self.since_ms + self.timing.quarantine_ms(),
        }
    }

    fn collect_request(&self, peer: &Peer) -> CollectRequest {
        CollectRequest {
            holder: peer.id.clone(),
            epoch: self.epoch,
            upto: self.next_number,
        }
    }

    fn ledger(&self, target: &Name) -> Option<&Ledger> {
        self.ledgers.iter().find(|ledger| ledger.target == *target)
    }

    fn ledger_mut(&mut self, target: &Name) -> Option<&mut Ledger> {
        self.ledgers
            .iter_mut()
            .find(|ledger| ledger.target == *target)
    }

    fn peer(&self, id: &NodeId) -> Option<&Peer> {
        self.peers.iter().find(|peer| peer.id == *id)
    }

    fn peer_mut(&mut self, id: &NodeId) -> Option<&mut Peer> {
        self.peers.iter_mut().find(|peer| peer.id == *id)
    }
}

//! The owner of a pool: counts, queues and grants slots under an epoch.

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

/// Requests that are tried before none is granted.
const LOOKAHEAD: usize = 8;

/// A member's request for a slot.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct SlotRequest {
    /// Who asks.
    pub holder: NodeId,
    /// Number of the request, unique for the holder's life.
    pub number: u64,
    /// The holder's stamp when it asked.
    pub stamp: u64,
    /// The holder's session when it asked.
    pub session: u32,
}

/// Asks a member what it holds; it refuses grants below these from now on.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct CollectRequest {
    /// The member.
    pub holder: NodeId,
    /// Epoch of the owner that asks.
    pub epoch: u64,
    /// Number of the owner's next grant.
    pub upto: u64,
}

/// A member's answer to [`CollectRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct CollectReply {
    /// The member.
    pub holder: NodeId,
    /// The member's session.
    pub session: u32,
    /// Epoch of the owner that asked.
    pub epoch: u64,
    /// Number of the owner's next grant when it asked.
    pub upto: u64,
    /// All work that the member has accepted and not ended.
    pub works: Vec<HeldWork>,
}

/// One pool of targets as its owner sees it.
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
    /// Takes over a pool.
    ///
    /// `now` must not be earlier than when the record came to name this owner.
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

    /// Returns the fencing number of this ownership.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Returns the targets and the work counted on them.
    pub fn ledgers(&self) -> &[Ledger] {
        &self.ledgers
    }

    /// Returns the number of requests that wait.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Adds a target to the pool.
    pub fn add_target(&mut self, target: &Name) {
        if self.ledger(target).is_none() {
            self.ledgers.push(Ledger::new(target.clone()));
        }
    }

    /// Sets how much of a target's limit may be used, in thousandths.
    pub fn set_portion(&mut self, target: &Name, per_mille: u16) {
        if let Some(ledger) = self.ledger_mut(target) {
            ledger.set_portion(per_mille);
        }
    }

    /// Takes in a later version of the record that still names this owner.
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
        self.queue.retain(|ask| ids.contains(&ask.holder));
        for ledger in &mut self.ledgers {
            ledger.mark_orphaned(now, |key| !ids.contains(&key.holder));
        }
    }

    /// Notes that a reading of the record asked for at `asked_ms` named this owner and epoch.
    pub fn on_confirm(&mut self, asked_ms: Millis) {
        self.confirmed_ms = self.confirmed_ms.max(Some(asked_ms));
    }

    /// Notes a member's promise, which it made while it knew no newer record.
    pub fn on_promise(&mut self, id: &NodeId, promise: Promise) {
        if let Some(peer) = self.peer_mut(id) {
            peer.on_promise(promise);
        }
    }

    /// Forgets what a member told, since messages between it and here may be lost.
    pub fn on_disconnect(&mut self, id: &NodeId) {
        if let Some(peer) = self.peer_mut(id) {
            peer.collected = None;
        }
        self.queue.retain(|ask| ask.holder != *id);
    }

    /// Returns the questions to members whose work is not fully counted.
    pub fn due_collects(&self) -> Vec<CollectRequest> {
        self.peers
            .iter()
            .filter(|peer| peer.is_collect_due())
            .map(|peer| self.collect(peer))
            .collect()
    }

    /// Returns the question to every member what it holds, to find what lost
    /// messages have left counted.
    pub fn recount_requests(&self) -> Vec<CollectRequest> {
        self.peers.iter().map(|peer| self.collect(peer)).collect()
    }

    /// Takes in what a member holds that was asked before.
    ///
    /// Work that it does not hold any more stays counted until a report no
    /// longer shows it, since its end is not known.
    pub fn on_recount_reply(&mut self, now: Millis, holding: &CollectReply) {
        let epoch = self.epoch;
        let is_counted = |key: &WorkKey| {
            key.holder == holding.holder
                && key.source == Source::Granted
                && key.epoch == epoch
                && key.number < holding.upto
        };
        let is_held = |key: &WorkKey| holding.works.iter().any(|held| held.key == *key);
        for ledger in &mut self.ledgers {
            ledger.mark_orphaned(now, |key| is_counted(key) && !is_held(key));
        }
    }

    /// Returns whether a member has told all that it held in its session.
    pub fn has_collected(&self, holder: &NodeId, session: u32) -> bool {
        self.peer(holder)
            .is_some_and(|peer| peer.collected == Some(session))
    }

    /// Takes in what a member holds.
    pub fn on_collect_reply(&mut self, holding: &CollectReply) {
        let epoch = self.epoch;
        if holding.epoch != epoch {
            return;
        }
        let Some(peer) = self.peer_mut(&holding.holder) else {
            return;
        };
        if peer
            .collected
            .is_some_and(|session| session > holding.session)
        {
            return;
        }
        peer.collected = Some(holding.session);
        peer.has_reported = true;
        for held in &holding.works {
            self.add_target(&held.target);
        }
        for ledger in &mut self.ledgers {
            let works = holding.works.iter();
            let held: Vec<WorkKey> = works
                .filter(|held| held.target == ledger.target)
                .map(|held| held.key.clone())
                .collect();
            ledger.replace(epoch, &holding.holder, holding.upto, &held);
        }
    }

    /// Queues a request; returns whether its holder may be granted slots now.
    pub fn on_request(&mut self, ask: SlotRequest) -> bool {
        self.on_stamp(&ask.holder, ask.stamp);
        let Some(peer) = self.peer(&ask.holder) else {
            return false;
        };
        if peer.collected != Some(ask.session) {
            return false;
        }
        self.queue.push_back(ask);
        true
    }

    /// Notes a member's stamp: it still waits for its requests.
    pub fn on_stamp(&mut self, holder: &NodeId, stamp: u64) {
        if let Some(peer) = self.peer_mut(holder) {
            peer.stamp = peer.stamp.max(stamp);
        }
    }

    /// Forgets a request that its holder has given up.
    pub fn on_withdraw(&mut self, holder: &NodeId, number: u64) {
        self.queue
            .retain(|ask| ask.holder != *holder || ask.number != number);
    }

    /// Takes back a slot.
    ///
    /// If the holder does not know that the work has `ended`, the slot stays
    /// counted until a report shows it gone.
    pub fn on_release(&mut self, now: Millis, key: &WorkKey, ended: bool) {
        for ledger in &mut self.ledgers {
            match ended {
                true => ledger.remove(key),
                false => ledger.mark_orphaned(now, |other| other == key),
            }
        }
    }

    /// Takes in a target's report.
    pub fn on_report(&mut self, now: Millis, target: &Name, report: &Report) {
        let clear_ms = self.clear_ms();
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
            ledger.on_report(epoch, clear_ms, report, is_count_complete, &timing);
        }
    }

    /// Returns whether this owner may grant slots now.
    ///
    /// Either the record named it a short while ago, or every member knew no
    /// newer record a short while ago, its successor among them.
    pub fn may_grant(&self, now: Millis) -> bool {
        let recent = |asked_ms: Millis| now < asked_ms + self.timing.confirm_ms;
        self.confirmed_ms.is_some_and(recent)
            || self
                .peers
                .iter()
                .all(|peer| peer.promise_covers_grant(now, &self.timing))
    }

    /// Grants what can be granted now.
    pub fn grant_all(&mut self, now: Millis) -> Vec<Grant> {
        let mut grants = Vec::new();
        if !self.may_grant(now) {
            return grants;
        }
        while let Some((position, index)) = self.next(now) {
            let Some(ask) = self.queue.remove(position) else {
                break;
            };
            grants.push(self.grant(now, index, ask));
        }
        grants
    }

    /// Returns the members that may be granted slots.
    pub fn members(&self) -> &[NodeId] {
        self.roster.peers()
    }

    /// Returns whether a request still waits.
    pub fn is_queued(&self, ask: &SlotRequest) -> bool {
        self.queue.contains(ask)
    }

    /// Grants a slot on one target to a request that waits, if there is room.
    pub fn grant_at(&mut self, now: Millis, target: &Name, ask: &SlotRequest) -> Option<Grant> {
        let position = self.queue.iter().position(|other| other == ask)?;
        let index = self
            .ledgers
            .iter()
            .position(|ledger| ledger.target == *target)?;
        let room = self.ledger_room(now, &self.ledgers[index], Some(&ask.holder));
        if room == 0 || !self.may_grant(now) {
            return None;
        }
        let ask = self.queue.remove(position)?;
        Some(self.grant(now, index, ask))
    }

    /// Returns how many more slots a target has for the requests that wait.
    ///
    /// Room that is kept for one member counts if that member waits.
    pub fn room_at(&self, now: Millis, ledger: &Ledger) -> u32 {
        let room = self.ledger_room(now, ledger, None);
        if room > 0 {
            return room;
        }
        self.queue
            .iter()
            .take(LOOKAHEAD)
            .map(|ask| self.ledger_room(now, ledger, Some(&ask.holder)))
            .max()
            .unwrap_or(0)
    }

    /// Returns how many more slots the pool has now.
    pub fn room(&self, now: Millis) -> u32 {
        self.ledgers
            .iter()
            .map(|ledger| self.ledger_room(now, ledger, None))
            .sum()
    }

    fn grant(&mut self, now: Millis, index: usize, ask: SlotRequest) -> Grant {
        let key = WorkKey {
            holder: ask.holder,
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
            request: ask.number,
            stamp,
            cold: ledger.limit(now, &timing).is_none_or(Limit::is_cold),
        }
    }

    /// Returns the first request that can be granted, and its target's index.
    fn next(&self, now: Millis) -> Option<(usize, usize)> {
        let asks = self.queue.iter().take(LOOKAHEAD).enumerate();
        asks.filter_map(|(position, ask)| Some((position, self.roomiest(now, &ask.holder)?)))
            .next()
    }

    fn roomiest(&self, now: Millis, holder: &NodeId) -> Option<usize> {
        let ledgers = self.ledgers.iter().enumerate();
        ledgers
            .map(|(index, ledger)| (self.ledger_room(now, ledger, Some(holder)), index))
            .filter(|(room, _)| *room > 0)
            .max_by_key(|(room, index)| (*room, std::cmp::Reverse(*index)))
            .map(|(_, index)| index)
    }

    /// Returns how many more slots a target has, the first of them for `holder`.
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

    /// Sums what members may send to a cold target beyond what is counted,
    /// once `holder` has one more slot there.
    fn reserved(&self, now: Millis, ledger: &Ledger, limit: u32, holder: Option<&NodeId>) -> u32 {
        self.peers
            .iter()
            .filter(|peer| !peer.is_count_complete(now, &self.timing))
            .map(|peer| {
                let used = ledger.used_by(&peer.id);
                let granted = used + u32::from(holder == Some(&peer.id));
                // A member that this owner never heard may be paused just
                // before it sends under an earlier owner's grant.
                let is_known = peer.has_reported || ledger.is_fenced();
                let share = self.roster.reserve(&ledger.target, limit, &peer.id);
                share
                    .max(used + u32::from(!is_known))
                    .saturating_sub(granted)
            })
            .sum()
    }

    /// Returns from when on a report shows all work that is not counted here.
    fn clear_ms(&self) -> Millis {
        let all_told = self.peers.iter().all(|peer| peer.has_reported);
        match all_told {
            true => self.since_ms + self.timing.settle_ms,
            false => self.since_ms + self.timing.quarantine_ms(),
        }
    }

    fn collect(&self, peer: &Peer) -> CollectRequest {
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

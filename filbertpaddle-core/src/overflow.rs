//! Overflow routing: sends work to other data centres when the local queue is too long.

use indexmap::IndexMap;

use crate::clock::Millis;
use crate::name::Name;

/// Age at which an offer expires.
const OFFER_TTL_MS: Millis = Millis::from_secs(3);
/// Time over which the credit at a data centre that is new or back in service ramps up
/// from a tenth to the full amount.
const RAMP_UP_MS: Millis = Millis::from_secs(20);
/// Part of a data centre's spare attempts that others may use, in percent.
const SPARE_PERCENT: u64 = 80;
/// Credit is counted in thousandths of an attempt.
const CREDIT_PER_ATTEMPT: u64 = 1_000;
/// Estimated local waits above which overflow starts and below which it ends,
/// in percent of the longest accepted wait.
const THRESHOLDS_PERCENT: (u64, u64) = (50, 20);
/// How long the estimated wait must stay past a threshold to start or end overflow.
const THRESHOLD_HOLD_MS: Millis = Millis::from_secs(2);

/// Spare capacity and unmet demand that a data centre announces.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Offer {
    /// When the offer was sent, on the reader's clock.
    pub sent_ms: Millis,
    /// Whether the data centre takes new work.
    pub in_service: bool,
    /// Attempts that it could start beyond those in its own queue.
    pub spare_attempts: u32,
    /// Attempts in its own queue that it cannot start in time.
    pub unmet_attempts: u32,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Remote {
    offer: Offer,
    returned_ms: Millis,
    credit: u64,
}

/// Decides whether new work goes to another data centre, and to which one.
///
/// All data centres divide an offer in proportion to the same announced unmet
/// attempts, so their parts add up to no more than the offer without further
/// coordination.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Overflow {
    remotes: IndexMap<Name, Remote>,
    active: bool,
    past_threshold_ms: Option<Millis>,
}

impl Default for Overflow {
    fn default() -> Self {
        Self::new()
    }
}

impl Overflow {
    /// Creates a router that keeps all work in the local data centre.
    pub fn new() -> Self {
        Self {
            remotes: IndexMap::new(),
            active: false,
            past_threshold_ms: None,
        }
    }

    /// Records how long new work would wait locally; it accepts waits up to `max_wait`.
    ///
    /// `None` means that the local data centre takes no new work at all, which
    /// starts overflow at once.
    pub fn on_wait_estimate(&mut self, now: Millis, wait_ms: Option<Millis>, max_wait: Millis) {
        let Some(wait_ms) = wait_ms else {
            self.active = true;
            self.past_threshold_ms = None;
            return;
        };
        let percent = wait_ms.0.saturating_mul(100) / max_wait.0.max(1);
        let past = if self.active {
            percent < THRESHOLDS_PERCENT.1
        } else {
            percent > THRESHOLDS_PERCENT.0
        };
        if !past {
            self.past_threshold_ms = None;
            return;
        }
        let since = *self.past_threshold_ms.get_or_insert(now);
        if now.since(since) >= THRESHOLD_HOLD_MS {
            self.active = !self.active;
            self.past_threshold_ms = None;
        }
    }

    /// Returns whether new work is to be sent to other data centres.
    pub fn is_active(&self) -> bool {
        self.active
    }

    /// Records another data centre's offer, of which the local data centre wants
    /// `own_unmet_attempts`.
    ///
    /// An offer that is not newer than the last one is ignored.
    pub fn on_offer(
        &mut self,
        now: Millis,
        data_centre: &Name,
        offer: Offer,
        own_unmet_attempts: u32,
    ) {
        let known = self.remotes.get(data_centre);
        if known.is_some_and(|remote| offer.sent_ms <= remote.offer.sent_ms) {
            return;
        }
        let returned_ms = known
            .filter(|remote| remote.offer.in_service)
            .map_or(now, |remote| remote.returned_ms);
        let credit = self.credit(now, data_centre, &offer, returned_ms, own_unmet_attempts);
        let remote = Remote {
            offer,
            returned_ms,
            credit,
        };
        self.remotes.insert(data_centre.clone(), remote);
    }

    /// Returns the local data centre's part of an offer, in thousandths of an attempt.
    fn credit(
        &self,
        now: Millis,
        data_centre: &Name,
        offer: &Offer,
        returned_ms: Millis,
        own_unmet_attempts: u32,
    ) -> u64 {
        if !offer.in_service {
            return 0;
        }
        let others: u64 = self
            .remotes
            .iter()
            .filter(|(name, remote)| *name != data_centre && is_fresh(now, &remote.offer))
            .map(|(_, remote)| u64::from(remote.offer.unmet_attempts))
            .sum();
        let own = u64::from(own_unmet_attempts.max(1));
        let ramp = now
            .since(returned_ms)
            .0
            .clamp(RAMP_UP_MS.0 / 10, RAMP_UP_MS.0);
        let spare = u64::from(offer.spare_attempts) * CREDIT_PER_ATTEMPT * SPARE_PERCENT / 100;
        spare * ramp / RAMP_UP_MS.0 * own / (own + others)
    }

    /// Chooses the data centre with the most credit left and takes the credit
    /// of one attempt; `None` if no offer has room.
    pub fn choose(&mut self, now: Millis) -> Option<Name> {
        let (name, remote) = self
            .remotes
            .iter_mut()
            .filter(|(_, remote)| {
                is_fresh(now, &remote.offer) && remote.credit >= CREDIT_PER_ATTEMPT
            })
            .max_by_key(|(_, remote)| remote.credit)?;
        remote.credit -= CREDIT_PER_ATTEMPT;
        Some(name.clone())
    }

    /// Records that a data centre refused work: it gets none until its next offer.
    pub fn on_refusal(&mut self, data_centre: &Name) {
        if let Some(remote) = self.remotes.get_mut(data_centre) {
            remote.credit = 0;
        }
    }
}

fn is_fresh(now: Millis, offer: &Offer) -> bool {
    now.since(offer.sent_ms) < OFFER_TTL_MS
}

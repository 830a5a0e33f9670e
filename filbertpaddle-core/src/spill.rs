//! Choice of another data centre when the own one has no room.

use indexmap::IndexMap;

use crate::clock::Millis;
use crate::name::Name;

/// Age at which an offer counts no more.
const OFFER_AGE: Millis = Millis::from_secs(3);
/// Time over which a data centre that came back takes its whole share.
const RAMP: Millis = Millis::from_secs(20);
/// Part of its spare attempts that a data centre takes from others, in percent.
const SPARE_PERCENT: u64 = 80;
/// Parts of an attempt in which credit is counted.
const ATTEMPT: u64 = 1_000;
/// Waits of the own queue that start and end sending work away, as parts of the
/// wait that asks bear, in percent.
const MARKS_PERCENT: (u64, u64) = (50, 20);
/// How long the own queue must stay past a mark.
const HOLD: Millis = Millis::from_secs(2);

/// What one data centre says of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Offer {
    /// When it was said, on the reader's clock.
    pub said_ms: Millis,
    /// Whether it takes new work.
    pub in_service: bool,
    /// Attempts it could start beyond those of its own queue.
    pub spare_attempts: u32,
    /// Attempts in its own queue that it cannot start in time.
    pub wanting_attempts: u32,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Remote {
    offer: Offer,
    back_ms: Millis,
    credit: u64,
}

/// Decides whether work leaves the own data centre, and for which other.
///
/// Every data centre divides what another offers by the same announced wants,
/// so the parts add up to no more than the offer without any agreement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Spill {
    remotes: IndexMap<Name, Remote>,
    away: bool,
    past_mark_ms: Option<Millis>,
}

impl Default for Spill {
    fn default() -> Self {
        Self::new()
    }
}

impl Spill {
    /// Creates a choice that keeps all work at home.
    pub fn new() -> Self {
        Self {
            remotes: IndexMap::new(),
            away: false,
            past_mark_ms: None,
        }
    }

    /// Records how long new work would wait at home, where it bears `patience`.
    ///
    /// `None` means that the own data centre takes no new work at all.
    pub fn waited(&mut self, now: Millis, wait_ms: Option<Millis>, patience: Millis) {
        let Some(wait_ms) = wait_ms else {
            self.away = true;
            self.past_mark_ms = None;
            return;
        };
        let percent = wait_ms.0.saturating_mul(100) / patience.0.max(1);
        let past = if self.away {
            percent < MARKS_PERCENT.1
        } else {
            percent > MARKS_PERCENT.0
        };
        if !past {
            self.past_mark_ms = None;
            return;
        }
        let since = *self.past_mark_ms.get_or_insert(now);
        if now.since(since) >= HOLD {
            self.away = !self.away;
            self.past_mark_ms = None;
        }
    }

    /// Whether new work is to leave the own data centre.
    pub fn is_away(&self) -> bool {
        self.away
    }

    /// Records what another data centre offers, where the own one wants to send
    /// `own_wanting_attempts` away. An older offer than the last is ignored.
    pub fn offered(
        &mut self,
        now: Millis,
        data_centre: &Name,
        offer: Offer,
        own_wanting_attempts: u32,
    ) {
        let known = self.remotes.get(data_centre);
        if known.is_some_and(|remote| offer.said_ms <= remote.offer.said_ms) {
            return;
        }
        let back_ms = known
            .filter(|remote| remote.offer.in_service)
            .map_or(now, |remote| remote.back_ms);
        let credit = self.credit(now, data_centre, &offer, back_ms, own_wanting_attempts);
        let remote = Remote {
            offer,
            back_ms,
            credit,
        };
        self.remotes.insert(data_centre.clone(), remote);
    }

    /// Returns the own part of an offer, in parts of an attempt.
    fn credit(
        &self,
        now: Millis,
        data_centre: &Name,
        offer: &Offer,
        back_ms: Millis,
        own_wanting_attempts: u32,
    ) -> u64 {
        if !offer.in_service {
            return 0;
        }
        let others: u64 = self
            .remotes
            .iter()
            .filter(|(name, remote)| *name != data_centre && is_fresh(now, &remote.offer))
            .map(|(_, remote)| u64::from(remote.offer.wanting_attempts))
            .sum();
        let own = u64::from(own_wanting_attempts.max(1));
        let ramp = now.since(back_ms).0.clamp(RAMP.0 / 10, RAMP.0);
        let spare = u64::from(offer.spare_attempts) * ATTEMPT * SPARE_PERCENT / 100;
        spare * ramp / RAMP.0 * own / (own + others)
    }

    /// Takes the place for one attempt in another data centre, the one with the
    /// most room left for us; `None` if no offer has room.
    pub fn choose(&mut self, now: Millis) -> Option<Name> {
        let (name, remote) = self
            .remotes
            .iter_mut()
            .filter(|(_, remote)| is_fresh(now, &remote.offer) && remote.credit >= ATTEMPT)
            .max_by_key(|(_, remote)| remote.credit)?;
        remote.credit -= ATTEMPT;
        Some(name.clone())
    }

    /// Stops sending to a data centre until it makes a new offer.
    pub fn refused(&mut self, data_centre: &Name) {
        if let Some(remote) = self.remotes.get_mut(data_centre) {
            remote.credit = 0;
        }
    }
}

fn is_fresh(now: Millis, offer: &Offer) -> bool {
    now.since(offer.said_ms) < OFFER_AGE
}

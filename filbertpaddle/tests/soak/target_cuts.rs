//! Checks that callers of nodes that reach no target are served as others are.

use std::time::Duration;
use std::time::Instant;

use crate::history::Change;
use crate::history::ChangeKind;
use crate::history::Events;
use crate::history::Exchange;
use crate::invariants::RECOVERY_GRACE;
use crate::schedule::DATA_CENTRES;

// Bounds that the users' deployments require.
/// Time from the start of a cut to that from which callers must be served. The users allow longer,
/// but cuts of the schedule end by then.
const NOTICE_TIME: Duration = Duration::from_millis(1_500);
/// Time after the end of a cut in which nodes notice it.
const RETURN_TIME: Duration = Duration::from_millis(500);
/// Least share of first attempts that are served, of the share at other nodes.
const SERVED_RATIO: f64 = 2.0 / 3.0;
/// Share of all first attempts that may fail at the nodes that are cut off.
const FAILED_RATIO: f64 = 1.0 / 50.0;
/// Number of first attempts that may fail there beyond that share.
const FAILED_SLACK: f64 = 10.0;

/// First attempts, and how many of them were served.
#[derive(Clone, Copy, Debug, Default)]
struct Served {
    served: u32,
    sent: u32,
}

impl Served {
    fn add(&mut self, exchange: &Exchange) {
        self.sent += 1;
        self.served += u32::from(exchange.answer.code() == 200);
    }

    fn share(self) -> f64 {
        f64::from(self.served) / f64::from(self.sent.max(1))
    }
}

/// Checks all cuts together.
pub(crate) fn check(events: &Events, violations: &mut Vec<String>) {
    let (mut cut_off, mut others) = (Served::default(), Served::default());
    for change in &events.changes {
        let ChangeKind::TargetsCut(data_centre) = change.kind else {
            continue;
        };
        let end = change.to.unwrap_or(change.at);
        let during = events.exchanges.iter().filter(|exchange| {
            exchange.sent >= change.at + NOTICE_TIME
                && exchange.ended <= end
                && exchange.resume.is_none()
                && counts(events, change, exchange)
        });
        for exchange in during {
            match exchange.node % DATA_CENTRES.len() == data_centre {
                true => cut_off.add(exchange),
                false => others.add(exchange),
            }
        }
    }
    let failed = f64::from(cut_off.sent - cut_off.served);
    let allowed = FAILED_SLACK + FAILED_RATIO * f64::from(cut_off.sent + others.sent);
    if failed > allowed && cut_off.share() < SERVED_RATIO * others.share() {
        violations.push(format!(
            "nodes that reached no target served {} of {} first attempts, the others {} of {}",
            cut_off.served, cut_off.sent, others.served, others.sent
        ));
    }
}

/// Returns whether a request was in flight when its node lost the links to all targets, or when
/// another node did through which it may have been sent.
pub(crate) fn is_in_flight(events: &Events, exchange: &Exchange) -> bool {
    let own = ChangeKind::TargetsCut(exchange.node % DATA_CENTRES.len());
    let is_cut = |change: &&Change| matches!(change.kind, ChangeKind::TargetsCut(_));
    let cuts: Vec<_> = events.changes.iter().filter(is_cut).collect();
    let begins = |cut: &Change| cut.at >= exchange.sent && cut.at <= exchange.ended;
    let overlaps = |cut: &Change| {
        let is_over = |end: Instant| end + RETURN_TIME < exchange.sent;
        cut.at <= exchange.ended && !cut.to.is_some_and(is_over)
    };
    let may_be_relayed = cuts.iter().any(|cut| cut.kind == own && overlaps(cut));
    let mut cuts = cuts.into_iter();
    cuts.any(|cut| begins(cut) && (cut.kind == own || may_be_relayed))
}

/// Returns whether nothing but this cut explains how a request ended.
fn counts(events: &Events, cut: &Change, exchange: &Exchange) -> bool {
    let before = exchange.sent.checked_sub(RECOVERY_GRACE);
    let from = before.unwrap_or(exchange.sent);
    let is_other =
        |other: &&Change| matches!(other.kind, ChangeKind::TargetsCut(_)) && other.at != cut.at;
    let mut others = events.changes.iter().filter(is_other);
    let overlaps = |other: &Change| {
        let end = other.to.unwrap_or_else(Instant::now);
        other.at <= exchange.ended && end + NOTICE_TIME >= exchange.sent
    };
    !others.any(overlaps) && events.is_undisrupted(from, exchange.ended, |_| true)
}

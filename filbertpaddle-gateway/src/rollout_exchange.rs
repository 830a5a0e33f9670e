//! Records and counts of roll-outs on the links between nodes.

use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::name::Name;
use filbertpaddle_forward::revision::Revision;
use filbertpaddle_forward::rollout_counts::CountsChange;
use filbertpaddle_forward::rollout_record::RolloutRecord;
use filbertpaddle_forward::rollouts::CountsCursor;
use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;

use crate::peer_link::Error;
use crate::peer_link::PeerLink;
use crate::peer_message::Message;
use crate::rollouts::RecordReading;
use crate::state::State;

/// Interval at which changed counts are sent. Shorter ones cost bytes between data centres, and
/// longer ones delay the judgement.
const COUNTS_INTERVAL_MS: Millis = Millis(200);
/// Maximum number of counters in one message, about 50 KB.
const MAX_SENT_COUNTERS: usize = 500;
/// Time by which a record must have been read later to be sent again.
const REFRESH_MS: Millis = Millis(200);

/// Record of a roll-out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SentRecord {
    /// The record.
    pub record: RolloutRecord,
    /// Time since it was read from the store.
    pub age_ms: Millis,
    /// Number of nodes that have passed it on, the sender included.
    pub relays: u8,
}

/// What has been sent of roll-outs on one link.
#[derive(Debug, Default)]
pub struct SentRollouts {
    /// Order, step and time of reading of the last record of each service.
    records: IndexMap<Name, (Revision, u32, Millis)>,
    counts: CountsCursor,
    counts_sent_ms: Millis,
}

impl PeerLink {
    /// Sends the records that are new, or were read again, since the last call.
    pub(crate) async fn publish_records(&mut self, state: &State) -> Result<(), Error> {
        if !state.has_rollouts() {
            return Ok(());
        }
        let now = state.clock.now();
        let mut known = state.rollouts.known.borrow().records(now);
        known.retain(|(record, age_ms)| self.rollouts.is_due(now, record, *age_ms));
        if known.is_empty() {
            return Ok(());
        }
        let records = known.into_iter();
        let records = records.map(|(record, age_ms)| SentRecord {
            relays: state
                .rollouts
                .reading(&record.order.service)
                .relays
                .saturating_add(1),
            record,
            age_ms,
        });
        self.send(&Message::Rollouts(records.collect())).await
    }

    /// Sends the counts of this node and its followers that have changed since the last call.
    pub(crate) async fn publish_counts(&mut self, state: &State) -> Result<(), Error> {
        if !state.has_rollouts() {
            return Ok(());
        }
        let now = state.clock.now();
        if now.since(self.rollouts.counts_sent_ms) < COUNTS_INTERVAL_MS {
            return Ok(());
        }
        self.rollouts.counts_sent_ms = now;
        let (mut changes, cursor) = {
            let known = state.rollouts.known.borrow();
            known.counts_since(&self.rollouts.counts)
        };
        self.rollouts.counts = cursor;
        {
            // The readers of the other groups send theirs.
            let group = state.rollouts.group.borrow();
            changes.retain(|change| group.contains(&change.source));
        }
        for part in changes.iter().flat_map(split) {
            self.send(&Message::RolloutCounts(vec![part])).await?;
        }
        Ok(())
    }
}

impl SentRollouts {
    /// Records that a record is sent, and returns true, if the other node does not have it as of
    /// about the same time.
    fn is_due(&mut self, now: Millis, record: &RolloutRecord, age_ms: Millis) -> bool {
        let read_ms = Millis(now.0.saturating_sub(age_ms.0));
        let service = &record.order.service;
        let latest = (record.ordered, record.step, read_ms);
        if let Some((ordered, step, sent_read_ms)) = self.records.get(service) {
            let is_same = (*ordered, *step) == (record.ordered, record.step);
            if is_same && read_ms.since(*sent_read_ms) < REFRESH_MS {
                return false;
            }
        }
        self.records.insert(service.clone(), latest);
        true
    }
}

/// Merges records received from another node.
pub(crate) fn merge_records(state: &State, records: &[SentRecord]) {
    if !state.has_rollouts() {
        return;
    }
    let now = state.clock.now();
    for sent in records {
        let reading = RecordReading {
            read_ms: Millis(now.0.saturating_sub(sent.age_ms.0)),
            relays: sent.relays,
        };
        state.merge_rollout_record("peer", &sent.record, reading);
    }
}

/// Splits changed counts into messages of a limited size.
fn split(change: &CountsChange) -> impl Iterator<Item = CountsChange> {
    let parts = change.counts.chunks(MAX_SENT_COUNTERS);
    parts.map(|counts| CountsChange {
        counts: counts.to_vec(),
        ..change.clone()
    })
}

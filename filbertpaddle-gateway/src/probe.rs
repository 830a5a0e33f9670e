//! Lets a request through that is blocked as a crash suspect, to find out whether it is sound.
//!
//! Each such probe is recorded in the store before it is sent, so that all nodes together send no
//! more than [`Admission`] allows one node. Without the store there are none.

use std::cell::Cell;

use filbertpaddle_core::block_record::Probe;
use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::crash_attribution::Admission;
use filbertpaddle_core::suspect::crash_id;
use slog::info;
use slog::warn;
use tokio::sync::Mutex;

use crate::block_record;
use crate::job::Job;
use crate::job::Progress;
use crate::store_sync::Error;

/// Time for which no probe is tried after the store did not answer.
const FAILURE_PAUSE_MS: Millis = Millis::from_secs(1);

/// What a node's requests share to become probes one at a time.
#[derive(Debug, Default)]
pub struct SendTurn {
    turn: Mutex<()>,
    /// Time until which there are no probes, after the store did not answer.
    failed_until_ms: Cell<Millis>,
}

/// Why a request that might be a probe is none.
#[derive(Clone, Copy, Debug, strum::Display)]
#[strum(serialize_all = "snake_case")]
enum Denied {
    /// Another request of this node is about to be one.
    Busy,
    /// The store did not answer a moment ago.
    NoStore,
    /// The store has probes that this node did not know of.
    Counted,
    /// Another node has changed the record since it was read.
    Overtaken,
}

impl Job {
    /// Makes the request a probe if it is blocked and may be one. It counts once, also if it is sent to
    /// another target since the first one was not reached, and is not sent again after it was.
    pub async fn become_probe(&self, progress: &mut Progress) {
        if progress.is_probe || progress.was_probe {
            return;
        }
        let Admission::Probe(_) = self.admission() else {
            return;
        };
        let state = &self.state;
        let denied = match self.try_probe().await {
            Ok(None) => {
                progress.is_probe = true;
                state.metrics.count("probe.sent");
                return;
            }
            Ok(Some(denied)) => denied,
            Err(error) => {
                let until_ms = state.clock.now() + FAILURE_PAUSE_MS;
                state.probe_turn.failed_until_ms.set(until_ms);
                warn!(state.log, "probe not recorded, so not sent";
                    "id" => self.metadata.attempt.as_str(), "error" => %error,
                    "paused_ms" => FAILURE_PAUSE_MS.0);
                return;
            }
        };
        info!(state.log, "request is no probe"; "id" => self.metadata.attempt.as_str(),
            "reason" => %denied);
    }

    /// Records the request as a probe, unless that is denied.
    async fn try_probe(&self) -> Result<Option<Denied>, Error> {
        let state = &self.state;
        let Ok(_turn) = state.probe_turn.turn.try_lock() else {
            return Ok(Some(Denied::Busy));
        };
        if state.clock.now() < state.probe_turn.failed_until_ms.get() {
            return Ok(Some(Denied::NoStore));
        }
        let stored = block_record::read(state).await?;
        let mut record = stored.record.unwrap_or_default();
        let probe = Probe {
            id: crash_id(&self.metadata.attempt, stored.store_ms),
            at_ms: stored.store_ms,
        };
        let planned = {
            let mut suspects = state.suspects.borrow_mut();
            let now = state.clock.now();
            suspects.plan_probe(now, &self.fingerprints, probe, &mut record)
        };
        let Some(fingerprints) = planned else {
            return Ok(Some(Denied::Counted));
        };
        if !block_record::write(state, &record, stored.revision).await? {
            return Ok(Some(Denied::Overtaken));
        }
        let now = state.clock.now();
        let mut suspects = state.suspects.borrow_mut();
        suspects.record_probe(now, &fingerprints, probe.id);
        let counts = fingerprints.iter().map(|one| suspects.crashes(*one));
        info!(state.log, "blocked request is sent as a probe";
            "id" => self.metadata.attempt.as_str(), "fingerprints" => ?fingerprints,
            "crashes" => ?counts.collect::<Vec<_>>(), "probe" => probe.id,
            "prompt_parts" => self.metadata.part_ids());
        Ok(None)
    }
}

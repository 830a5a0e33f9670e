//! Takes the next steps of roll-outs: reads and writes their records in the store.
//!
//! Nothing coordinates the nodes. Any reader of the store may write the next record, under the
//! condition that nobody else has written it since it was read. The readers wait in the order of
//! their rank, so that mostly one of them reads and writes. If the answer to a write is lost, the
//! record is read again.

use std::rc::Rc;
use std::time::Duration;

use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::name::Name;
use filbertpaddle_core::relay::rank;
use filbertpaddle_forward::configuration::Route;
use filbertpaddle_forward::freshness::RESPONSE_TIMEOUT_MS;
use filbertpaddle_forward::rollout_counts::Side;
use filbertpaddle_forward::rollout_judge::Verdict;
use filbertpaddle_forward::rollout_record::RolloutRecord;
use filbertpaddle_forward::rollout_stage::StepInputs;
use filbertpaddle_forward::service_pace::Pace;
use http::StatusCode;
use indexmap::IndexMap;
use indexmap::IndexSet;
use slog::info;
use slog::warn;
use tokio::time::sleep;

use crate::platform_api::StoredRollout;
use crate::platform_api::StoredRollouts;
use crate::rollouts::RecordReading;
use crate::state::State;
use crate::store_sync;
use crate::store_sync::Error;

/// Interval at which a node looks for the next steps.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Age at which the records are read again. Nodes stop using older ones after about twice that.
const READ_INTERVAL_MS: Millis = Millis::from_secs(1);
/// Delay by which a reader of the next rank reads them later.
const RANK_DELAY_MS: Millis = Millis(300);

/// Time in which nodes that this one has no link to read a step from the store.
const UNSEEN_STEP_MS: Millis = Millis::from_secs(2);

/// Result of the attempt to write a record.
#[derive(Debug)]
enum WriteResult {
    /// The write began at this time.
    Written(Millis),
    /// Another node was first; its record, if the row has one.
    Conflict(Option<RolloutRecord>),
}

/// State of the task.
#[derive(Debug, Default)]
struct Steps {
    /// Time of the last attempt to read the records.
    read_ms: Millis,
    /// Whether the last call has failed.
    is_store_lost: bool,
    /// Step of each service, and time since which it has been held without a link to the nodes of
    /// other data centres.
    unseen: IndexMap<Name, (u32, Millis)>,
    /// Verdict on each new version when it was last logged.
    verdicts: IndexMap<Name, Verdict>,
}

/// Takes the next steps for as long as the node runs, while it is a reader.
pub async fn run(state: Rc<State>) {
    let mut steps = Steps::default();
    loop {
        sleep(CHECK_INTERVAL).await;
        if state.has_rollouts() {
            steps.advance(&state).await;
        }
    }
}

impl Steps {
    async fn advance(&mut self, state: &Rc<State>) {
        let running: Vec<Name> = {
            let known = state.rollouts.known.borrow();
            known.running().cloned().collect()
        };
        self.verdicts.retain(|service, _| running.contains(service));
        self.unseen.retain(|service, _| running.contains(service));
        for service in &running {
            self.log_verdict(state, service);
        }
        if running.is_empty() || !state.is_reader() || !state.has_data() {
            return;
        }
        if self.must_read(state, &running) {
            self.read_ms = state.clock.now();
            let result = read(state).await;
            self.record_call(state, result.as_ref().err());
        }
        for service in &running {
            self.step(state, service).await;
        }
    }

    /// Returns whether a record in use was read so long ago that this node reads them again.
    fn must_read(&self, state: &State, running: &[Name]) -> bool {
        let now = state.clock.now();
        let records = state.rollouts.known.borrow().records(now);
        let read_ms = |service: &Name| {
            let mut records = records.iter();
            let found = records.find(|(record, _)| record.order.service == *service);
            found.map_or(Millis::ZERO, |(_, age_ms)| {
                Millis(now.0.saturating_sub(age_ms.0))
            })
        };
        running.iter().any(|service| {
            let delay_ms = Millis(RANK_DELAY_MS.0 * own_rank(state, service) as u64);
            let known_ms = self.read_ms.max(read_ms(service));
            now.since(known_ms) >= READ_INTERVAL_MS + delay_ms
        })
    }

    /// Writes the next record of a service, if one is due.
    async fn step(&mut self, state: &Rc<State>, service: &Name) {
        let now = state.clock.now();
        let mut inputs = inputs(state, service);
        if self.may_run_unseen(state, service, inputs.stream_ms) {
            inputs.old_running += 1;
        }
        let next = {
            let mut known = state.rollouts.known.borrow_mut();
            known.next_step(now, service, &inputs)
        };
        let Some(next) = next else { return };
        log_step(state, &next, &inputs);
        let result = write(state, &next).await;
        let mut known = state.rollouts.known.borrow_mut();
        match &result {
            Ok(WriteResult::Written(requested_ms)) => {
                let written_ms = state.clock.now();
                info!(state.log, "roll-out step written";
                    "service" => service.as_str(), "state" => %next.state,
                    "share_per_mille" => next.share_per_mille, "step" => next.step);
                state.metrics.count("rollout.written");
                state.metrics.count(&format!("rollout.{}", next.state));
                known.on_written(written_ms, &next, written_ms.since(*requested_ms));
                let reading = RecordReading {
                    read_ms: *requested_ms,
                    relays: 0,
                };
                state.rollouts.record_reading(service, reading);
            }
            Ok(WriteResult::Conflict(current)) => {
                info!(state.log, "roll-out step not written, another node was first";
                    "service" => service.as_str(), "step" => next.step,
                    "stored_step" => current.as_ref().map(|current| current.step),
                    "stored_state" => current.as_ref().map(|current| current.state.to_string()));
                state.metrics.count("rollout.conflict");
                let current = current.as_ref();
                let current = current.filter(|current| is_ordered(state, current));
                known.on_conflict(now, service, current);
            }
            Err(_) => {
                known.on_write_failed(service);
                // It is not known whether the record has been written.
                self.read_ms = Millis::ZERO;
            }
        }
        drop(known);
        self.record_call(state, result.as_ref().err());
        state.notify();
    }

    /// Returns whether requests of nodes that this one has no link to may still run at the old
    /// targets. Such nodes read of the step in the store, and what they have sent before ends.
    fn may_run_unseen(&mut self, state: &State, service: &Name, stream_ms: Millis) -> bool {
        if !is_cut_off(state) {
            self.unseen.shift_remove(service);
            return false;
        }
        let now = state.clock.now();
        let records = state.rollouts.known.borrow().records(now);
        let mut records = records.iter().map(|(record, _)| record);
        let record = records.find(|record| record.order.service == *service);
        let step = record.map_or(0, |record| record.step);
        let (known_step, since_ms) = self.unseen.entry(service.clone()).or_insert((step, now));
        if *known_step != step {
            (*known_step, *since_ms) = (step, now);
        }
        now.since(*since_ms) < UNSEEN_STEP_MS + stream_ms
    }

    /// Logs that the store is lost or answers again.
    fn record_call(&mut self, state: &State, error: Option<&Error>) {
        match error {
            Some(error) if !self.is_store_lost => {
                warn!(state.log, "record of roll-outs not read or written, retrying";
                    "error" => %error);
                state.metrics.count("rollout.store_lost");
            }
            None if self.is_store_lost => {
                info!(state.log, "record of roll-outs read again");
            }
            _ => {}
        }
        self.is_store_lost = error.is_some();
    }

    /// Logs the verdict on a new version when it changes in kind.
    fn log_verdict(&mut self, state: &State, service: &Name) {
        let known = state.rollouts.known.borrow();
        let Some(verdict) = known.verdict(service) else {
            return;
        };
        let former = self.verdicts.entry(service.clone()).or_default();
        if std::mem::discriminant(former) == std::mem::discriminant(verdict) {
            return;
        }
        *former = verdict.clone();
        let (name, evidence) = match verdict {
            Verdict::Open => ("open", None),
            Verdict::Doubtful(evidence) => ("doubtful", Some(evidence)),
            Verdict::Bad(evidence) => ("bad", Some(evidence)),
        };
        info!(state.log, "verdict on a new version has changed";
            "service" => service.as_str(), "verdict" => name,
            "measure" => evidence.map(|evidence| evidence.measure.to_string()),
            "route" => evidence.and_then(|evidence| evidence.route.as_deref()),
            "score" => evidence.map(|evidence| evidence.score),
            "new_answers" => evidence.map(|evidence| evidence.new.answers),
            "new_bad" => evidence.map(|evidence| evidence.new.bad),
            "old_answers" => evidence.map(|evidence| evidence.old.answers),
            "old_bad" => evidence.map(|evidence| evidence.old.bad),
            "new_sent" => known.sent(service, Side::New),
            "old_sent" => known.sent(service, Side::Old));
        state.metrics.count(&format!("rollout.verdict.{name}"));
    }
}

fn log_step(state: &State, next: &RolloutRecord, inputs: &StepInputs) {
    let known = state.rollouts.known.borrow();
    let service = &next.order.service;
    info!(state.log, "next step of a roll-out is due";
        "service" => service.as_str(), "to" => next.order.version.as_str(),
        "state" => %next.state, "share_per_mille" => next.share_per_mille, "step" => next.step,
        "elapsed_ms" => inputs.store_ms.since(next.started_ms).0,
        "duration_ms" => next.order.duration_ms.0,
        "new_targets" => inputs.new_targets, "old_targets" => inputs.old_targets,
        "old_running" => inputs.old_running, "stream_ms" => inputs.stream_ms.0,
        "new_sent" => known.sent(service, Side::New),
        "old_sent" => known.sent(service, Side::Old), "rank" => inputs.rank);
}

/// Reads the records and merges those of the current orders.
async fn read(state: &Rc<State>) -> Result<StoredRollouts, Error> {
    let calls = state.platform.store;
    let requested_ms = state.clock.now();
    let call = (calls.read_rollouts)();
    let (_, bytes) = store_sync::call_store(state, &call, RESPONSE_TIMEOUT_MS).await?;
    let stored = (calls.decode_rollouts)(&bytes)?;
    let reading = RecordReading {
        read_ms: requested_ms,
        relays: 0,
    };
    let records = stored.rows.iter().filter_map(|row| row.record.as_ref());
    for record in records.filter(|record| is_ordered(state, record)) {
        state.merge_rollout_record("store", record, reading);
    }
    state.metrics.count("rollout.read");
    Ok(stored)
}

/// Returns whether a record belongs to the current order of its service. The row of an order that
/// was withdrawn or replaced stays in the store.
fn is_ordered(state: &State, record: &RolloutRecord) -> bool {
    let directory = state.directory.borrow();
    let mut orders = directory.orders().entries();
    orders.any(|(service, order, revision)| {
        let is_same = *service == record.order.service && revision == record.ordered;
        is_same && order.is_some()
    })
}

/// Writes a record if the stored one is an earlier one and nobody writes another meanwhile.
async fn write(state: &Rc<State>, next: &RolloutRecord) -> Result<WriteResult, Error> {
    let service = &next.order.service;
    let stored = stored_row(read(state).await?, service);
    let (current, revision) = stored.map_or((None, 0), |row| (row.record, row.revision));
    if current
        .as_ref()
        .is_some_and(|current| !next.is_after(current))
    {
        return Ok(WriteResult::Conflict(current));
    }
    let requested_ms = state.clock.now();
    let call = (state.platform.store.write_rollout)(next, revision);
    match store_sync::call_store(state, &call, RESPONSE_TIMEOUT_MS).await {
        Ok(_) => Ok(WriteResult::Written(requested_ms)),
        Err(Error::Status(StatusCode::PRECONDITION_FAILED)) => {
            let stored = stored_row(read(state).await?, service);
            Ok(WriteResult::Conflict(stored.and_then(|row| row.record)))
        }
        Err(error) => Err(error),
    }
}

fn stored_row(stored: StoredRollouts, service: &Name) -> Option<StoredRollout> {
    let mut rows = stored.rows.into_iter();
    rows.find(|row| row.service == *service)
}

/// Returns what the next step of a service's roll-out depends on.
fn inputs(state: &State, service: &Name) -> StepInputs {
    let now = state.clock.now();
    let mut inputs = StepInputs {
        store_ms: state.nodes.borrow().store_ms(now),
        stream_ms: longest_request_ms(state, service),
        rank: own_rank(state, service),
        ..StepInputs::default()
    };
    let directory = state.directory.borrow();
    let mut orders = directory.orders().iter();
    let Some((order, _)) = orders.find(|(order, _)| order.service == *service) else {
        return inputs;
    };
    let selector = state.selector.borrow();
    for (target, _) in directory.targets() {
        if target.service != *service {
            continue;
        }
        let is_new = target.version == order.version;
        match (is_new, target.is_draining) {
            (true, false) => inputs.new_targets += 1,
            (false, false) => inputs.old_targets += 1,
            (_, true) => {}
        }
        if !is_new {
            inputs.old_running += u64::from(selector.total_load(&target.id).running);
        }
    }
    inputs
}

/// Returns whether a reader of another data centre that has live nodes has not reported its
/// group's load to this node.
fn is_cut_off(state: &State) -> bool {
    let now = state.clock.now();
    let own = &state.settings.data_centre;
    let nodes = state.nodes.borrow();
    let load_table = state.load_table.borrow();
    let data_centres = nodes.live().iter().map(|node| &node.data_centre);
    let others: IndexSet<&Name> = data_centres.filter(|name| *name != own).collect();
    others.into_iter().any(|data_centre| {
        let readers = nodes.readers(now, data_centre).into_iter();
        !load_table.covers(readers.map(|node| &node.name))
    })
}

/// Returns the time that the longest requests of a service are expected to take.
fn longest_request_ms(state: &State, service: &Name) -> Millis {
    let now = state.clock.now();
    let directory = state.directory.borrow();
    let Some(configuration) = directory.configuration() else {
        return Millis::ZERO;
    };
    let tokens = u64::from(state.rollouts.output_tokens(service));
    let event_tokens = configuration.event_tokens(service);
    let paces = state.paces.borrow();
    let duration_ms = |route: &Route| {
        let stated = Pace::of_route(route, event_tokens);
        let pace = paces.get(service);
        let pace = pace.map_or(stated, |pace| pace.planned(now, stated));
        let tokens = if route.kind.is_stream() { tokens } else { 0 };
        pace.total_ms(tokens).min(route.timeout_ms)
    };
    let routes = configuration.routes.iter();
    let of_service = routes.filter(|route| route.services.iter().any(|(name, _)| name == service));
    of_service.map(duration_ms).max().unwrap_or_default()
}

/// Returns this node's rank among all readers for a service.
fn own_rank(state: &State, service: &Name) -> usize {
    let now = state.clock.now();
    let nodes = state.nodes.borrow();
    let data_centres: IndexSet<&Name> = nodes.live().iter().map(|node| &node.data_centre).collect();
    let readers = data_centres
        .into_iter()
        .flat_map(|data_centre| nodes.readers(now, data_centre));
    let ranked = rank(service, readers.map(|node| &node.name));
    let position = ranked.iter().position(|name| **name == state.settings.node);
    position.unwrap_or(ranked.len())
}

//! Admits callers' HTTP requests and serves them until their response has been read.

use std::cell::Cell;
use std::convert::Infallible;
use std::rc::Rc;

use filbertpaddle_core::clock::Millis;
use filbertpaddle_forward::admission;
use filbertpaddle_forward::admission::Claim;
use filbertpaddle_forward::change::Table;
use filbertpaddle_forward::configuration::Configuration;
use filbertpaddle_forward::configuration::Customer;
use filbertpaddle_forward::configuration::Route;
use filbertpaddle_forward::fingerprint::fingerprints;
use filbertpaddle_forward::request_demand::RequestDemand;
use filbertpaddle_forward::request_metadata::RequestMetadata;
use filbertpaddle_forward::software_version::VersionBinding;
use http::HeaderMap;
use http::HeaderValue;
use http::Request;
use http::Version;
use http::header;
use http::request::Parts;
use hyper::body::Incoming;
use slog::info;
use tokio::sync::oneshot;

use crate::buffered;
use crate::caller_input::CallerInput;
use crate::generation;
use crate::held_body::HeldBody;
use crate::job::Job;
use crate::job::LOWEST_PRIORITY;
use crate::job::Progress;
use crate::job_refusal::RESUME_RETRY_MS;
use crate::job_refusal::RETRY_AFTER_MS;
use crate::job_refusal::STOPPING_RETRY_MS;
use crate::pace;
use crate::reply;
use crate::reply::Refusal;
use crate::reply::Reply;
use crate::request_body;
use crate::response_writer::ResponseWriter;
use crate::resumption;
use crate::resumption::Continuation;
use crate::state::State;
use crate::stop_reason::StopReason;

/// Time after which a caller may retry if no configuration is known yet.
const NOT_READY_RETRY_MS: Millis = Millis(500);
/// Shortest time that a caller has spent when it returns after a refusal.
const RETURN_MIN_MS: Millis = Millis(150);

/// Serves one request.
///
/// # Errors
///
/// Never fails: every failure becomes a reply.
pub async fn serve(
    state: Rc<State>,
    request: Request<Incoming>,
    input: Rc<CallerInput>,
) -> Result<Reply, Infallible> {
    let received_ms = state.clock.now();
    input.begin_body();
    let guard = InFlightGuard::new(Rc::clone(&state));
    let admitted = tokio::select! {
        biased;
        admitted = admit(&state, received_ms, request, &input) => admitted,
        () = state.ending() => Err(deny(&state, "", Refusal::Stopping, "not admitted yet")),
    };
    let mut reply = match admitted {
        Ok(job) => run(job, guard).await,
        Err(denied) => denied,
    };
    if state.drain.get().is_some() || state.is_path_lost() {
        let close = HeaderValue::from_static("close");
        reply.headers_mut().insert(header::CONNECTION, close);
    }
    Ok(reply)
}

/// Counts a request as in flight until it has ended or been refused.
struct InFlightGuard(Rc<State>);

impl InFlightGuard {
    fn new(state: Rc<State>) -> Self {
        add(&state.in_flight, 1);
        Self(state)
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        add(&self.0.in_flight, -1);
    }
}

fn add(cell: &Cell<usize>, change: isize) {
    cell.set(cell.get().saturating_add_signed(change));
}

/// Reads a request and decides whether it is admitted.
async fn admit(
    state: &Rc<State>,
    received_ms: Millis,
    request: Request<Incoming>,
    input: &CallerInput,
) -> Result<Job, Reply> {
    let (head, mut body) = request.into_parts();
    let metadata = (state.platform.headers.decode_request)(&head.headers)
        .map_err(|error| deny(state, "", Refusal::BadRequest, &error.to_string()))?;
    let id = metadata.attempt.clone();
    let received = request_body::receive(state, &metadata, &mut body, input).await;
    if let Err((Refusal::NoMemory | Refusal::TooLarge, _)) = received
        && !head.headers.contains_key(header::EXPECT)
    {
        // The connection of a caller that still sends is reset, and the answer is lost.
        input.discard_body(&mut body).await;
    }
    let body = received.map_err(|(refusal, reason)| deny(state, &id, refusal, &reason))?;
    let configuration = state.directory.borrow().configuration().cloned();
    let configuration =
        configuration.ok_or_else(|| deny(state, &id, Refusal::NoConfiguration, ""))?;
    let route = configuration
        .route(host(&head), head.uri.path())
        .ok_or_else(|| deny(state, &id, Refusal::UnknownRoute, head.uri.path()))?;
    let customer = configuration
        .customer(route, metadata.key.as_deref())
        .map_err(|_| deny(state, &id, Refusal::UnknownKey, &route.name))?;
    if state.is_path_lost() {
        return Err(deny(state, &id, Refusal::NoTarget, "no path to any target"));
    }
    if !can_finish(state, &configuration, route, &metadata) {
        return Err(deny(state, &id, Refusal::Stopping, &route.name));
    }
    let continuation = resumption::resolve(state, route, head.uri.path(), &metadata)
        .await
        .map_err(|refusal| deny(state, &id, refusal, &route.name))?;
    let http_version = head.version;
    let received = Received {
        at_ms: received_ms,
        metadata,
        head,
        body,
    };
    let job = received.into_job(state, &configuration, route, customer, continuation);
    if job.is_quarantined() {
        state.metrics.count("denied.quarantined");
        return Err(job.refusal_reply(Refusal::Quarantined));
    }
    state.with_budget(&job.demand.service, |budget| {
        budget.record_request(received_ms)
    });
    let arrived_ms = state.clock.now();
    let mut selector = state.selector.borrow_mut();
    selector.level_arrivals.record(arrived_ms, &job.demand);
    drop(selector);
    log_admitted(&job, http_version, configuration.version);
    Ok(job)
}

/// A fully received request.
struct Received {
    at_ms: Millis,
    metadata: RequestMetadata,
    head: Parts,
    body: HeldBody,
}

impl Received {
    /// Builds the job of a request that the configuration allows.
    fn into_job(
        self,
        state: &Rc<State>,
        configuration: &Configuration,
        route: &Route,
        customer: Option<&Customer>,
        continuation: Option<Continuation>,
    ) -> Job {
        let mut demand = demand(route, &self.metadata, continuation);
        demand.side = state.choose_side(&demand.service);
        let service = configuration.services.get(&demand.service);
        let engine = service.and_then(|service| service.engine.as_ref());
        let event_tokens = configuration.event_tokens(&demand.service);
        let own_priority = customer.and_then(|customer| customer.priority);
        let priority = own_priority.unwrap_or(route.priority);
        let features = state.reloadable.borrow().features;
        demand.level = features
            .priority_admission
            .then_some(priority.min(LOWEST_PRIORITY));
        let customer = customer.map(|customer| customer.name.clone());
        let deadline_ms = self.metadata.deadline_ms.unwrap_or(route.timeout_ms);
        Job {
            state: Rc::clone(state),
            route: route.clone(),
            priority,
            fingerprints: fingerprints(
                self.head.uri.path(),
                customer.as_deref(),
                self.body.bytes(),
                self.metadata.generation.as_ref(),
            ),
            customer,
            metadata: self.metadata,
            method: self.head.method,
            uri: self.head.uri,
            headers: forwarded_headers(state, self.head.headers),
            body: self.body,
            received_ms: self.at_ms,
            deadline_at_ms: self.at_ms + deadline_ms.min(route.timeout_ms),
            demand,
            event_tokens,
            can_migrate: engine.is_some_and(|engine| engine.can_migrate),
        }
    }
}

/// Returns the caller's headers that are forwarded to a target.
fn forwarded_headers(state: &State, mut headers: HeaderMap) -> HeaderMap {
    reply::strip_connection(&mut headers);
    headers.remove(header::CONTENT_LENGTH);
    headers.remove(header::EXPECT);
    (state.platform.headers.remove_reserved)(&mut headers);
    headers
}

fn log_admitted(job: &Job, http_version: Version, version: u64) {
    info!(job.state.log, "request admitted";
        "id" => job.metadata.attempt.as_str(), "http" => ?http_version, "route" => job.route.name.as_str(),
        "kind" => %job.route.kind, "customer" => job.customer.as_deref(),
        "service" => job.demand.service.as_str(), "priority" => job.priority,
        "tokens" => job.demand.total_tokens,
        "prompt_parts" => job.metadata.part_ids(),
        "last_event" => job.metadata.last_event,
        "resumes" => job.metadata.resumed_attempt.as_deref(),
        "deadline_ms" => job.metadata.deadline_ms.map(|span| span.0),
        "configuration" => version,
        "configuration_age_ms" => job.state.data_age_ms(Table::Operator).0,
        "in_flight" => job.state.in_flight.get());
}

/// Returns whether the request can finish before this node stops, if it is stopping.
fn can_finish(
    state: &State,
    configuration: &Configuration,
    route: &Route,
    metadata: &RequestMetadata,
) -> bool {
    if state.is_closing.get() {
        return false;
    }
    let Some(drain) = state.drain.get() else {
        return true;
    };
    let estimate = pace::estimate_duration(state, configuration, route, metadata);
    drain.admits(state.clock.now(), estimate)
}

/// Logs, counts and builds the reply to a request that is not admitted.
fn deny(state: &State, id: &str, refusal: Refusal, reason: &str) -> Reply {
    let retry_ms = match refusal {
        Refusal::NoConfiguration => Some(NOT_READY_RETRY_MS),
        Refusal::Stopping => Some(STOPPING_RETRY_MS),
        Refusal::NoTarget => Some(state.until_rebalanced_ms().max(RETRY_AFTER_MS)),
        Refusal::NoMemory => Some(RETRY_AFTER_MS),
        Refusal::NotResumable => Some(RESUME_RETRY_MS),
        _ => None,
    };
    let version = state
        .directory
        .borrow()
        .configuration()
        .map_or(0, |configuration| configuration.version);
    info!(state.log, "request refused at admission";
        "id" => id, "refusal" => %refusal, "reason" => reason, "configuration" => version,
        "configuration_age_ms" => state.data_age_ms(Table::Operator).0);
    state.metrics.count(&format!("denied.{refusal}"));
    reply::refuse(refusal, retry_ms)
}

/// Runs an admitted request in its own task, so that its load is released and its end
/// logged even if the caller's connection closes.
async fn run(job: Job, guard: InFlightGuard) -> Reply {
    let (head, reply) = oneshot::channel();
    let (caller_present, gone) = oneshot::channel();
    tokio::task::spawn_local(async move {
        let writer = ResponseWriter::new(head, job.state.memory.queue_bytes);
        if job.route.kind.is_stream() {
            run_generation(&job, writer, gone).await;
        } else {
            run_buffered(&job, writer, gone).await;
        }
        drop(guard);
    });
    match reply.await {
        Ok(reply) => reply::hold_until_read(reply, caller_present),
        Err(_) => reply::refuse(Refusal::TargetFailed, None),
    }
}

async fn run_buffered(job: &Job, mut writer: ResponseWriter, gone: oneshot::Receiver<()>) {
    let mut progress = Progress::default();
    let deadline = job.state.clock.instant(job.deadline_at_ms);
    let result = tokio::select! {
        biased;
        _ = gone => None,
        () = tokio::time::sleep_until(deadline) => Some(Err(Refusal::TimedOut)),
        result = buffered::serve(job, &mut progress) => Some(result),
        () = job.state.ending() => Some(Err(Refusal::StoppedUnanswered)),
    };
    if let None | Some(Err(Refusal::TimedOut)) = result {
        job.watch_unanswered(&progress);
    }
    if let Some(Err(Refusal::TimedOut)) = result {
        job.record_side_timeout(&progress, progress.placed_on.as_ref());
    }
    job.release(&mut progress);
    let Some(result) = result else {
        log_end(job, &progress, "caller_gone", 0);
        return;
    };
    let (outcome, reply) = match result {
        Ok(reply) => {
            job.record_sound();
            ("answered".to_owned(), reply)
        }
        Err(interrupted @ (Refusal::TimedOut | Refusal::StoppedUnanswered)) => {
            progress.is_stopped |= interrupted == Refusal::StoppedUnanswered;
            let refusal = job.refusal(&progress);
            (refusal.to_string(), job.refusal_reply(refusal))
        }
        Err(refusal) => (refusal.to_string(), job.refusal_reply(refusal)),
    };
    log_end(job, &progress, &outcome, reply.status().as_u16());
    writer.send_reply(reply).ok();
}

async fn run_generation(job: &Job, mut writer: ResponseWriter, gone: oneshot::Receiver<()>) {
    let mut progress = Progress::default();
    let result = generation::serve(job, &mut progress, &mut writer, gone).await;
    let is_started = writer.is_started();
    match result {
        Ok(()) => {
            log_end(job, &progress, "complete", 200);
            writer.finish();
        }
        Err(StopReason::CallerGone) => log_end(job, &progress, "caller_gone", 0),
        Err(stop) if is_started => {
            log_end(job, &progress, stop.name(), 200);
            writer.abort();
        }
        Err(StopReason::Failed(reply)) => {
            log_end(job, &progress, "failed", reply.status().as_u16());
            writer.send_reply(*reply).ok();
        }
        Err(stop) => {
            progress.is_stopped |= matches!(stop, StopReason::Stopping);
            let refusal = match stop {
                StopReason::Refused(refusal) => refusal,
                _ => job.refusal(&progress),
            };
            log_end(
                job,
                &progress,
                &refusal.to_string(),
                refusal.status().as_u16(),
            );
            writer.send_reply(job.refusal_reply(refusal)).ok();
        }
    }
}

fn log_end(job: &Job, progress: &Progress, outcome: &str, status: u16) {
    let state = &job.state;
    let elapsed_ms = state.clock.now().since(job.received_ms);
    info!(state.log, "request ended";
        "id" => job.metadata.attempt.as_str(), "route" => job.route.name.as_str(),
        "outcome" => outcome, "status" => status, "sends" => progress.sends,
        "connects" => progress.connects,
        "may_have_run" => progress.may_have_run || progress.is_in_flight,
        "events" => progress.pace.events(), "late_gaps" => progress.pace.late_gaps(),
        "longest_gap_ms" => progress.pace.longest_gap_ms().0, "elapsed_ms" => elapsed_ms.0);
    state.metrics.count(&format!("request.{outcome}"));
    state
        .metrics
        .time(&format!("request.{}", job.route.kind), elapsed_ms);
}

fn demand(
    route: &Route,
    metadata: &RequestMetadata,
    continuation: Option<Continuation>,
) -> RequestDemand {
    let (service, version) = match continuation {
        Some((service, version)) => (service, VersionBinding::Bound(version)),
        None => {
            let service = route.pick_service(rand::random());
            (service.cloned().unwrap_or_default(), VersionBinding::Free)
        }
    };
    let generation = metadata.generation.as_ref();
    RequestDemand {
        service,
        prompt_tokens: generation.map_or(0, |generation| generation.prompt_tokens),
        total_tokens: generation.map_or(0, |generation| generation.expected_tokens()),
        claim: claim(route, metadata),
        max_prefill_ms: admission::max_prefill_ms(route.latency_goal_ms),
        version,
        ..RequestDemand::default()
    }
}

/// Returns the claim of a generation on the targets' memory. A caller that returns after a
/// refusal has less time left than the route gives it.
fn claim(route: &Route, metadata: &RequestMetadata) -> Claim {
    let spent_ms = metadata.deadline_ms.map_or(Millis::ZERO, |deadline_ms| {
        route.timeout_ms.since(deadline_ms)
    });
    match spent_ms {
        _ if spent_ms < RETURN_MIN_MS => Claim::New,
        _ if spent_ms < route.latency_goal_ms => Claim::Returning,
        _ => Claim::Late,
    }
}

fn host(head: &Parts) -> &str {
    let host = head
        .headers
        .get(header::HOST)
        .and_then(|value| value.to_str().ok())
        .or_else(|| head.uri.host())
        .unwrap_or_default();
    host.rsplit_once(':').map_or(host, |(name, _)| name)
}

//! An admitted request, and the rules for sending and resending it to targets.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::crash_attribution::Admission;
use filbertpaddle_core::name::Name;
use filbertpaddle_forward::admission::MAX_RESUME_WAIT_MS;
use filbertpaddle_forward::change::Table;
use filbertpaddle_forward::configuration::Route;
use filbertpaddle_forward::event_order::RunStart;
use filbertpaddle_forward::load_table::TargetLoad;
use filbertpaddle_forward::request_demand::RequestDemand;
use filbertpaddle_forward::request_metadata::RequestMetadata;
use filbertpaddle_forward::software_version::VersionBinding;
use filbertpaddle_forward::stream_pace::StreamPace;
use filbertpaddle_forward::target::Target;
use filbertpaddle_forward::target_selector::PlacementError;
use http::HeaderMap;
use http::Method;
use http::Request;
use http::Uri;
use http::header;
use http_body_util::Full;
use slog::info;
use tokio::time::sleep;

use crate::connection_pool::Error as ConnectionError;
use crate::connection_pool::PendingResponse;
use crate::connection_pool::Reuse;
use crate::connection_pool::SendOptions;
use crate::held_body::HeldBody;
use crate::platform_api::CopySource;
use crate::platform_api::ResponseMetadata;
use crate::platform_api::TargetHeaders;
use crate::state::State;
use crate::target_call;
use crate::target_call::Sent;
use crate::target_connection;
use crate::tunnel::Purpose;

/// Maximum number of connection attempts for one request before it is refused.
pub const MAX_CONNECT_ATTEMPTS: u32 = 12;
/// Number of targets that other nodes do not reach for a request before it is refused.
pub(crate) const MAX_RELAY_FAILURES: u32 = 2;
/// Interval at which a request that waits for room looks for it. Nodes publish their load every
/// 50 ms.
const ROOM_POLL_INTERVAL: Duration = Duration::from_millis(25);
/// Lowest priority that targets accept.
pub const LOWEST_PRIORITY: u8 = 9;

/// One admitted request.
#[derive(Clone, Debug)]
pub struct Job {
    /// State of the node.
    pub state: Rc<State>,
    /// Route at the time of admission.
    pub route: Route,
    /// Metadata from the caller's headers.
    pub metadata: RequestMetadata,
    /// Customer that the request belongs to.
    pub customer: Option<Name>,
    /// Priority among the requests of its service; 0 is the highest.
    pub priority: u8,
    /// Method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// The caller's headers, without hop-by-hop headers and those that only the system
    /// may set.
    pub headers: HeaderMap,
    /// Body.
    pub body: HeldBody,
    /// What it has in common with others that may crash targets.
    pub fingerprints: Vec<u64>,
    /// Time when the request arrived.
    pub received_ms: Millis,
    /// Time when the caller's deadline or the route's timeout expires.
    pub deadline_at_ms: Millis,
    /// Demand on a target.
    pub demand: RequestDemand,
    /// Maximum number of output tokens in one event.
    pub event_tokens: u32,
    /// Whether its engines can copy a running generation to another engine.
    pub can_migrate: bool,
}

/// What has happened to a request at targets so far.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Progress {
    /// Number of targets that the request was sent to.
    pub sends: u32,
    /// Number of connection attempts.
    pub connects: u32,
    /// Whether it has reached another target at the address of the chosen one.
    pub was_misdirected: bool,
    /// Whether any target may have run it.
    pub may_have_run: bool,
    /// Time when it was last sent to a target.
    pub sent_ms: Millis,
    /// Whether it is being sent or run at a target now.
    pub is_in_flight: bool,
    /// Target whose load includes it, as a whole response.
    pub placed_on: Option<Target>,
    /// Targets that it must not be sent to again.
    pub excluded_targets: Vec<Name>,
    /// Targets that did not accept a connection of this node for it.
    pub unreached_targets: Vec<Name>,
    /// Number of these that other nodes did not reach for it either.
    pub relay_failures: u32,
    /// Whether its caller has been sent the head of a stream.
    pub has_begun: bool,
    /// Whether it cannot end before this node stops.
    pub is_stopped: bool,
    /// Why no target could be chosen last.
    pub placement_error: Option<PlacementError>,
    /// Software version that wrote the first event of the stream, if this attempt received it.
    pub version: VersionBinding,
    /// Whether the store's record has that version, or could not be written in time.
    pub is_version_recorded: bool,
    /// Number of other nodes that have been sent that version.
    pub version_keepers: usize,
    /// Pace of the events that were delivered.
    pub pace: StreamPace,
    /// Whether its next send is recorded as a probe, as it is blocked as a crash suspect.
    pub is_probe: bool,
    /// Whether its last send was.
    pub was_probe: bool,
}

/// Reason why a target gave no response to return to the caller.
#[derive(Clone, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Failure {
    /// Nothing listens at the target's address; no byte of the request has left.
    Refused,
    /// The target accepted no connection in time; no byte of the request has left.
    Unreachable,
    /// Neither this node nor another that was asked reaches targets; no byte of the request has
    /// left.
    NoPath,
    /// No byte of the request has left.
    NotSent(String),
    /// The target proved that it did not run the request.
    NotRun,
    /// Another target listens at the address.
    OtherTarget,
    /// The request may have run.
    Unknown(String),
    /// The same, and the cause is likely to be the node that relayed the connection.
    RelayLost(String),
}

impl Failure {
    /// Returns whether any byte of the request may have left.
    pub fn has_left(&self) -> bool {
        match self {
            Self::Refused | Self::Unreachable | Self::NoPath | Self::NotSent(_) => false,
            Self::NotRun | Self::OtherTarget | Self::Unknown(_) | Self::RelayLost(_) => true,
        }
    }
}

impl From<ConnectionError> for Failure {
    fn from(error: ConnectionError) -> Self {
        match error {
            ConnectionError::Refused => Self::Refused,
            ConnectionError::Unreachable => Self::Unreachable,
            ConnectionError::NoPath => Self::NoPath,
            ConnectionError::NotSent(reason) => Self::NotSent(reason),
            ConnectionError::Unknown(reason) => Self::Unknown(reason),
            ConnectionError::RelayLost(reason) => Self::RelayLost(reason),
        }
    }
}

/// Point from which a target continues a generation.
#[derive(Clone, Copy, Debug, Default)]
pub struct ResumePoint<'a> {
    /// Last event that the caller has received.
    pub last_event: Option<u64>,
    /// Copy of the generation's KV cache.
    pub copy: Option<CopySource<'a>>,
    /// How the run begins.
    pub start: RunStart,
}

impl Job {
    /// Returns the time left until the deadline.
    pub fn remaining_ms(&self) -> Millis {
        self.deadline_at_ms.since(self.state.clock.now())
    }

    /// Returns the number of output tokens expected after `events` have been delivered.
    pub fn remaining_tokens(&self, events: u64) -> u32 {
        let Some(generation) = &self.metadata.generation else {
            return 0;
        };
        let made = events.saturating_mul(u64::from(self.event_tokens));
        let made = u32::try_from(made).unwrap_or(u32::MAX);
        generation.expected_output_tokens().saturating_sub(made)
    }

    /// Selects a target.
    ///
    /// # Errors
    ///
    /// Returns [`PlacementError`] if the request cannot be placed on any target now.
    pub fn choose_target(&self, progress: &mut Progress) -> Result<Target, PlacementError> {
        let state = &self.state;
        let directory = state.directory.borrow();
        let selector = state.selector.borrow();
        let demand = self.current_demand(progress);
        let chosen = self.choose_on_sides(&selector, &directory, progress, &demand);
        let error = chosen.as_ref().err().copied();
        if let Some(reason) = error
            && progress.placement_error != error
        {
            info!(state.log, "no target can take the request";
                "id" => self.metadata.attempt.as_str(), "reason" => %reason,
                "claim" => %demand.claim, "passed_over" => progress.passed_over(),
                "age_ms" => state.data_age_ms(Table::Targets).0);
        }
        progress.placement_error = error;
        chosen
    }

    /// Chooses a target, and waits a moment for room if all are full.
    pub async fn place(&self, progress: &mut Progress) -> Option<Target> {
        let clock = self.state.clock;
        let max_wait_ms = match progress.pace.events() {
            0 => self.max_room_wait_ms(),
            _ => MAX_RESUME_WAIT_MS,
        };
        let give_up_at_ms = clock.now() + max_wait_ms;
        loop {
            match self.choose_target(progress) {
                Ok(target) => return Some(target),
                Err(PlacementError::AllFull) if clock.now() < give_up_at_ms => {
                    sleep(ROOM_POLL_INTERVAL).await;
                }
                Err(_) => return None,
            }
        }
    }

    /// Sends the request to a target and waits for the head of its response.
    ///
    /// # Errors
    ///
    /// Returns a [`Failure`] that states whether the request may have run.
    pub async fn send(
        &self,
        target: &Target,
        resume: ResumePoint<'_>,
    ) -> Result<(PendingResponse, ResponseMetadata), Failure> {
        let request = self.build_request(target, resume);
        let reuse = match self.route.kind.is_idempotent() && !self.route.kind.is_stream() {
            true if self.state.direct_path.borrow().is_silent() => Reuse::IdleRelayed,
            true => Reuse::Idle,
            false => Reuse::New,
        };
        let options = SendOptions {
            reuse,
            buffers: &self.state.target_buffers,
        };
        let sent = Sent {
            attempt: Some(&self.metadata.attempt),
            at_ms: self.state.clock.now(),
        };
        let answered = self
            .state
            .connections
            .send_with(&target.address, request, options, async || {
                target_connection::open(&self.state, target, Purpose::Request).await
            })
            .await;
        let response = answered?;
        let metadata = target_call::record_response(&self.state, target, sent, &response.head);
        self.verify_response(&metadata)?;
        Ok((response, metadata))
    }

    /// Checks that a response belongs to this attempt and was made by the target itself.
    ///
    /// A refusal without an attempt counts as this one's: requests that must not run again are
    /// sent on new connections, which carry no response to another.
    fn verify_response(&self, response: &ResponseMetadata) -> Result<(), Failure> {
        let attempt = &self.metadata.attempt;
        if response.names_another(attempt) {
            let reason = "response belongs to another attempt".to_owned();
            return Err(Failure::Unknown(reason));
        }
        if response.is_other_target {
            return Err(Failure::OtherTarget);
        }
        if response.is_not_run {
            return Err(Failure::NotRun);
        }
        if !response.names_only(attempt) {
            let reason = "response names no attempt".to_owned();
            return Err(Failure::Unknown(reason));
        }
        if !response.is_sealed {
            let reason = "response has no seal of the target".to_owned();
            return Err(Failure::Unknown(reason));
        }
        Ok(())
    }

    /// Returns whether the request may be sent once more after a failure.
    pub fn may_retry(&self, progress: &Progress, failure: &Failure) -> bool {
        let is_allowed = match failure {
            Failure::NoPath => false,
            Failure::Refused
            | Failure::Unreachable
            | Failure::NotSent(_)
            | Failure::OtherTarget => true,
            Failure::NotRun => progress.sends < self.route.max_attempts,
            Failure::Unknown(_) | Failure::RelayLost(_) => {
                self.route.kind.is_idempotent() && progress.sends < self.route.max_attempts
            }
        };
        is_allowed && progress.connects < MAX_CONNECT_ATTEMPTS && self.remaining_ms() > Millis::ZERO
    }

    /// Returns whether the request may be sent now: it must not crash targets, nor be cut by the
    /// stop of this node, and once it has reached any, each further send takes a retry from this
    /// node's share of the service's budget.
    pub fn may_send(&self, progress: &mut Progress) -> bool {
        progress.was_probe = std::mem::take(&mut progress.is_probe);
        if !progress.was_probe && (self.is_quarantined() || self.admission() != Admission::Allowed)
        {
            return false;
        }
        if !self.allows_send(progress) {
            progress.is_stopped = true;
            return false;
        }
        (progress.sends == 0 && !progress.was_misdirected) || self.take_retry()
    }

    fn take_retry(&self) -> bool {
        let state = &self.state;
        let now = state.clock.now();
        let nodes = state.nodes.borrow().count();
        let limits = state.reloadable.borrow().retries;
        let is_taken = state.with_budget(&self.demand.service, |budget| {
            budget.try_acquire(now, &limits, nodes)
        });
        if !is_taken {
            state.metrics.count("retry.refused");
        }
        is_taken
    }

    /// Charges a migration to the service's retry budget. Targets may count it as a retry,
    /// but unlike a retry it cannot be refused or delayed.
    pub fn charge_migration(&self) {
        let now = self.state.clock.now();
        self.state
            .with_budget(&self.demand.service, |budget| budget.record_migration(now));
    }

    /// Records that the request is being sent: adds it to the target's load and logs it.
    ///
    /// Returns the load that all nodes have placed on the target before.
    pub fn mark_sent(&self, progress: &mut Progress, target: &Target) -> TargetLoad {
        let state = &self.state;
        let now = state.clock.now();
        let mut selector = state.selector.borrow_mut();
        let load = selector.total_load(&target.id);
        info!(state.log, "sending request to target";
            "id" => self.metadata.attempt.as_str(), "target" => target.id.as_str(),
            "data_centre" => target.data_centre.as_str(), "version" => target.version.as_str(),
            "running" => selector.running(&target.id), "all_running" => load.running,
            "all_tokens" => load.tokens, "all_prompt_tokens" => load.prompt_tokens, "attempt" => progress.sends + 1,
            "limit_per_sec" => selector.stated_rates().per_sec(&target.incarnation()),
            "remaining_ms" => self.remaining_ms().0, "age_ms" => state.data_age_ms(Table::Targets).0);
        selector.record_sent(now, target, &self.demand);
        self.record_side_sent(target);
        progress.sent_ms = now;
        progress.connects += 1;
        progress.is_in_flight = true;
        load
    }

    /// Removes a request with a whole response from the load of the target that it was placed
    /// on, if it was. It may have been given up there by its caller or at its deadline.
    pub fn release(&self, progress: &mut Progress) {
        if let Some(target) = progress.placed_on.take() {
            let mut selector = self.state.selector.borrow_mut();
            selector.record_ended(&target.id, &self.demand, false);
        }
    }

    /// Records a failed send. Excludes the target for this request and, unless it only
    /// refused to run it, starts the target's back-off for all requests.
    pub fn mark_failed(&self, progress: &mut Progress, target: &Target, failure: &Failure) {
        let state = &self.state;
        let now = state.clock.now();
        let mut backoff_until_ms = Millis::ZERO;
        progress.is_in_flight = false;
        // A probe that has reached no target is still to be sent.
        progress.is_probe = progress.was_probe && !failure.has_left();
        let is_unreached = matches!(failure, Failure::Refused | Failure::Unreachable);
        if is_unreached && !progress.unreached_targets.contains(&target.id) {
            progress.unreached_targets.push(target.id.clone());
        } else {
            progress.relay_failures += u32::from(is_unreached);
            progress.excluded_targets.push(target.id.clone());
        }
        match failure {
            Failure::Refused => {
                backoff_until_ms = state.selector.borrow_mut().record_refused(now, &target.id);
            }
            Failure::Unreachable => {
                backoff_until_ms = state.selector.borrow_mut().record_unreachable(now, target);
            }
            // No sign of the state of the target.
            Failure::NoPath => {}
            Failure::NotSent(_) => {
                backoff_until_ms = state.record_target_failure(target);
            }
            Failure::NotRun => {
                progress.sends += 1;
                let mut selector = state.selector.borrow_mut();
                backoff_until_ms = selector.record_room_refused(now, target);
            }
            Failure::OtherTarget => {
                progress.was_misdirected = true;
                backoff_until_ms = state.record_target_failure(target);
            }
            Failure::RelayLost(_) => {
                progress.sends += 1;
                progress.may_have_run = true;
            }
            Failure::Unknown(_) => {
                progress.sends += 1;
                progress.may_have_run = true;
                self.record_side_failure(target);
                backoff_until_ms = state.record_target_failure(target);
            }
        }
        state.metrics.count("send.failed");
        info!(state.log, "target did not serve the request";
            "id" => self.metadata.attempt.as_str(), "target" => target.id.as_str(),
            "failure" => %failure, "reason" => failure_reason(failure),
            "passed_over_ms" => backoff_until_ms.since(now).0);
    }

    fn build_request(&self, target: &Target, resume: ResumePoint<'_>) -> Request<Full<Bytes>> {
        let body = self.body.bytes();
        let mut request = Request::new(Full::new(body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = self.headers.clone();
        let headers = request.headers_mut();
        if !body.is_empty() || self.method == Method::POST || self.method == Method::PUT {
            headers.insert(header::CONTENT_LENGTH, body.len().into());
        }
        let is_generation = self.metadata.generation.is_some();
        let values = TargetHeaders {
            target,
            remaining_ms: Some(self.remaining_ms()),
            customer: self.customer.as_deref(),
            priority: is_generation.then_some(self.priority.min(LOWEST_PRIORITY)),
            last_event: resume.last_event,
            copy: resume.copy,
        };
        (self.state.platform.headers.set_for_target)(headers, &values);
        request
    }
}

/// Returns the cause of a failed send, or an empty string.
fn failure_reason(failure: &Failure) -> &str {
    match failure {
        Failure::NotSent(reason) | Failure::Unknown(reason) | Failure::RelayLost(reason) => reason,
        Failure::Refused
        | Failure::Unreachable
        | Failure::NoPath
        | Failure::NotRun
        | Failure::OtherTarget => "",
    }
}

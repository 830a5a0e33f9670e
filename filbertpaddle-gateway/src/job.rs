//! One admitted request, and how it is sent to targets.

use std::rc::Rc;

use bytes::Bytes;
use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::name::Name;
use filbertpaddle_forward::configuration::Route;
use filbertpaddle_forward::directory::Table;
use filbertpaddle_forward::request_metadata::RequestMetadata;
use filbertpaddle_forward::target::Target;
use filbertpaddle_forward::target_selector::PlacementError;
use filbertpaddle_forward::target_selector::RequestDemand;
use http::HeaderMap;
use http::Method;
use http::Request;
use http::Uri;
use http::header;
use http::response::Parts;
use http_body_util::Full;
use slog::info;

use crate::connection_pool::Error as ConnectionError;
use crate::connection_pool::PendingResponse;
use crate::connection_pool::Reuse;
use crate::crash;
use crate::platform_api::CopySource;
use crate::platform_api::ResponseMetadata;
use crate::platform_api::TargetHeaders;
use crate::reply;
use crate::reply::Refusal;
use crate::state::State;

/// Most connections that are tried for one request before it is refused.
pub const MAX_CONNECTS: u32 = 12;
/// Least urgent rank that targets know.
const LEAST_URGENT: u8 = 9;
/// When a caller may come back after targets were full or failing.
const RETRY_AFTER_MS: Millis = Millis(250);

/// One admitted request.
#[derive(Debug)]
pub struct Job {
    /// What the node knows.
    pub state: Rc<State>,
    /// Its route at the time of admission.
    pub route: Route,
    /// What its headers said.
    pub metadata: RequestMetadata,
    /// Customer it belongs to.
    pub customer: Option<Name>,
    /// Rank among the requests of its service; 0 is served first.
    pub priority: u8,
    /// Method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// The caller's headers, without those of the connection and the system's own.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Identity of path, customer and body.
    pub digest: u64,
    /// When it was read.
    pub received_ms: Millis,
    /// When the caller or the route gives up.
    pub deadline_at_ms: Millis,
    /// What it asks of a target.
    pub demand: RequestDemand,
    /// Most output tokens in one event.
    pub event_tokens: u32,
    /// Whether its engines can copy a running generation to another.
    pub can_migrate: bool,
}

/// How far a request has got at targets.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Progress {
    /// Targets it was sent to.
    pub sends: u32,
    /// Connections that were tried.
    pub connects: u32,
    /// Whether it has reached one that stands where its target was.
    pub was_misdirected: bool,
    /// Whether some target may have run it.
    pub may_have_run: bool,
    /// Whether a target has it now.
    pub is_in_flight: bool,
    /// Targets that it is not sent to again.
    pub excluded_targets: Vec<Name>,
}

/// Why a target gave no answer to pass on.
#[derive(Clone, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Failure {
    /// Nothing listens at the target's address; no byte has left.
    Refused,
    /// No byte has left.
    NotSent(String),
    /// The target proved that it did not run the request.
    NotRun,
    /// Another target stands at the address.
    OtherTarget,
    /// It may have run.
    Unknown(String),
}

/// Where a generation goes on from.
#[derive(Clone, Copy, Debug, Default)]
pub struct ResumePoint<'a> {
    /// Last event that the caller has.
    pub last_event: Option<u64>,
    /// Copy of its memory.
    pub copy: Option<CopySource<'a>>,
}

impl Job {
    /// Time left until the caller or the route gives up.
    pub fn remaining_ms(&self) -> Millis {
        self.deadline_at_ms.since(self.state.clock.now())
    }

    /// Output tokens that are expected after `events` have been delivered.
    pub fn remaining_tokens(&self, events: u64) -> u32 {
        let Some(generation) = &self.metadata.generation else {
            return 0;
        };
        let made = events.saturating_mul(u64::from(self.event_tokens));
        let made = u32::try_from(made).unwrap_or(u32::MAX);
        generation.expected_output_tokens().saturating_sub(made)
    }

    /// Chooses a target.
    ///
    /// # Errors
    ///
    /// Returns [`PlacementError`] if no target may be given the request now.
    pub fn choose_target(&self, progress: &Progress) -> Result<Target, PlacementError> {
        let state = &self.state;
        let now = state.clock.now();
        let directory = state.directory.borrow();
        let selector = state.selector.borrow();
        let excluded_targets = &progress.excluded_targets;
        let draw = rand::random::<f64>;
        let chosen = selector.choose(now, &directory, &self.demand, excluded_targets, draw);
        if let Err(reason) = &chosen {
            info!(state.log, "no target";
                "id" => self.metadata.attempt.as_str(), "reason" => %reason,
                "passed_over" => excluded_targets.len(),
                "age_ms" => state.data_age_ms(Table::Targets).0);
        }
        chosen.cloned()
    }

    /// Sends the request to a target and waits for the head of its answer.
    ///
    /// # Errors
    ///
    /// Returns what is known of the failure.
    pub async fn send(
        &self,
        target: &Target,
        resume: ResumePoint<'_>,
    ) -> Result<(PendingResponse, ResponseMetadata), Failure> {
        let request = self.build_request(target, resume);
        let reuse = if self.route.kind.is_idempotent() && !self.route.kind.is_stream() {
            Reuse::Idle
        } else {
            Reuse::New
        };
        let sent = self
            .state
            .connections
            .send(&target.address, request, reuse)
            .await;
        let response = sent.map_err(|error| match error {
            ConnectionError::Refused => Failure::Refused,
            ConnectionError::NotSent(reason) => Failure::NotSent(reason),
            ConnectionError::Unknown(reason) => Failure::Unknown(reason),
        })?;
        let answer = self.verify_response(&response.head)?;
        Ok((response, answer))
    }

    /// Checks that an answer belongs to this request and is the target's own.
    fn verify_response(&self, head: &Parts) -> Result<ResponseMetadata, Failure> {
        let answer = (self.state.platform.headers.decode_response)(head.status, &head.headers);
        if answer.is_other_target {
            return Err(Failure::OtherTarget);
        }
        if answer.is_not_run {
            return Err(Failure::NotRun);
        }
        if answer.attempt.as_ref() != Some(&self.metadata.attempt) {
            return Err(Failure::Unknown("answer to another attempt".to_owned()));
        }
        if !answer.is_sealed {
            return Err(Failure::Unknown("answer without a seal".to_owned()));
        }
        Ok(answer)
    }

    /// Whether one more send is allowed after a failure.
    pub fn may_retry(&self, progress: &Progress, failure: &Failure) -> bool {
        let is_allowed = match failure {
            Failure::Refused | Failure::NotSent(_) | Failure::OtherTarget => true,
            Failure::NotRun => progress.sends < self.route.max_attempts,
            Failure::Unknown(_) => {
                self.route.kind.is_idempotent() && progress.sends < self.route.max_attempts
            }
        };
        is_allowed && progress.connects < MAX_CONNECTS && self.remaining_ms() > Millis::ZERO
    }

    /// Whether it may be sent now; a send after one that has reached any target
    /// takes a retry from the node's share of the service's budget.
    pub fn may_send(&self, progress: &Progress) -> bool {
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

    /// Counts a move against the service's budget. Targets may count it as a
    /// retry, but it cannot be put off.
    pub fn charge_migration(&self) {
        let now = self.state.clock.now();
        self.state
            .with_budget(&self.demand.service, |budget| budget.record_migration(now));
    }

    /// Records a send: the target's load, the log line.
    pub fn mark_sent(&self, progress: &mut Progress, target: &Target) {
        let state = &self.state;
        let now = state.clock.now();
        let mut selector = state.selector.borrow_mut();
        info!(state.log, "request sent";
            "id" => self.metadata.attempt.as_str(), "target" => target.id.as_str(),
            "data_centre" => target.data_centre.as_str(),
            "running" => selector.running(&target.id), "attempt" => progress.sends + 1,
            "remaining_ms" => self.remaining_ms().0, "age_ms" => state.data_age_ms(Table::Targets).0);
        selector.record_sent(now, target, &self.demand);
        progress.connects += 1;
        progress.is_in_flight = true;
    }

    /// Records a failed send and what it means for the target.
    pub fn mark_failed(&self, progress: &mut Progress, target: &Target, failure: &Failure) {
        let state = &self.state;
        let now = state.clock.now();
        let mut excluded_until_ms = Millis::ZERO;
        progress.is_in_flight = false;
        progress.excluded_targets.push(target.id.clone());
        match failure {
            Failure::Refused => {
                excluded_until_ms = state.selector.borrow_mut().record_refused(now, &target.id);
            }
            Failure::NotSent(_) => {
                excluded_until_ms = state.selector.borrow_mut().record_failure(now, &target.id);
            }
            Failure::NotRun => progress.sends += 1,
            Failure::OtherTarget => {
                progress.was_misdirected = true;
                excluded_until_ms = state.selector.borrow_mut().record_failure(now, &target.id);
            }
            Failure::Unknown(_) => {
                progress.sends += 1;
                progress.may_have_run = true;
                excluded_until_ms = state.selector.borrow_mut().record_failure(now, &target.id);
                crash::record_if_crashed(state, target, self.digest);
            }
        }
        state.metrics.count("send.failed");
        info!(state.log, "send failed";
            "id" => self.metadata.attempt.as_str(), "target" => target.id.as_str(),
            "failure" => %failure, "reason" => failure_reason(failure),
            "passed_over_ms" => excluded_until_ms.since(now).0);
    }

    /// The refusal that is true after `progress`.
    pub fn refusal(&self, progress: &Progress) -> Refusal {
        let is_late = self.remaining_ms() == Millis::ZERO;
        match (progress.may_have_run || progress.is_in_flight, is_late) {
            (true, true) => Refusal::TimedOut,
            (true, false) => Refusal::TargetFailed,
            (false, true) => Refusal::TimedOutUnsent,
            (false, false) if progress.sends > 0 => Refusal::TargetsFull,
            (false, false) => Refusal::NoTarget,
        }
    }

    /// Makes the answer of a refusal.
    pub fn refusal_reply(&self, refusal: Refusal) -> reply::Reply {
        let retry_after_ms = match refusal {
            Refusal::NoTarget | Refusal::TargetsFull => Some(RETRY_AFTER_MS),
            _ => None,
        };
        reply::refuse(refusal, retry_after_ms)
    }

    fn build_request(&self, target: &Target, resume: ResumePoint<'_>) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = self.headers.clone();
        let headers = request.headers_mut();
        if !self.body.is_empty() || self.method == Method::POST || self.method == Method::PUT {
            headers.insert(header::CONTENT_LENGTH, self.body.len().into());
        }
        let is_generation = self.metadata.generation.is_some();
        let values = TargetHeaders {
            target,
            remaining_ms: Some(self.remaining_ms()),
            customer: self.customer.as_deref(),
            urgency: is_generation.then_some(self.priority.min(LEAST_URGENT)),
            last_event: resume.last_event,
            copy: resume.copy,
        };
        (self.state.platform.headers.apply)(headers, &values);
        request
    }
}

/// Reads why a send failed, where that is known.
fn failure_reason(failure: &Failure) -> &str {
    match failure {
        Failure::NotSent(reason) | Failure::Unknown(reason) => reason,
        Failure::Refused | Failure::NotRun | Failure::OtherTarget => "",
    }
}

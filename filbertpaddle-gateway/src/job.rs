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

use crate::crash;
use crate::links::Error as LinkError;
use crate::links::Exchange;
use crate::links::Reuse;
use crate::platform_api::CopySource;
use crate::platform_api::ResponseMetadata;
use crate::platform_api::TargetHeaders;
use crate::reply;
use crate::reply::Refusal;
use crate::state::State;

/// Most connections that are tried for one request before it is refused.
pub const MAX_CONNECTS: u32 = 12;
/// Least urgent rank that targets know.
const MAX_URGENCY: u8 = 9;
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
    pub envelope: RequestMetadata,
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
    pub limit_ms: Millis,
    /// What it asks of a target.
    pub ask: RequestDemand,
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
    pub is_out: bool,
    /// Targets that it is not sent to again.
    pub passed_over: Vec<Name>,
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
pub struct From<'a> {
    /// Last event that the caller has.
    pub last_event: Option<u64>,
    /// Copy of its memory.
    pub copy: Option<CopySource<'a>>,
}

impl Job {
    /// Time left until the caller or the route gives up.
    pub fn remaining_ms(&self) -> Millis {
        self.limit_ms.since(self.state.clock.now())
    }

    /// Output tokens that are expected after `events` have been delivered.
    pub fn remaining_tokens(&self, events: u64) -> u32 {
        let Some(generation) = &self.envelope.generation else {
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
    pub fn choose(&self, progress: &Progress) -> Result<Target, PlacementError> {
        let state = &self.state;
        let now = state.clock.now();
        let directory = state.directory.borrow();
        let fleet = state.fleet.borrow();
        let passed_over = &progress.passed_over;
        let draw = rand::random::<f64>;
        let chosen = fleet.choose(now, &directory, &self.ask, passed_over, draw);
        if let Err(reason) = &chosen {
            info!(state.log, "no target";
                "id" => self.envelope.attempt.as_str(), "reason" => %reason,
                "passed_over" => passed_over.len(),
                "age_ms" => state.age_ms(Table::Targets).0);
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
        from: From<'_>,
    ) -> Result<(Exchange, ResponseMetadata), Failure> {
        let request = self.request(target, from);
        let reuse = if self.route.kind.is_idempotent() && !self.route.kind.is_stream() {
            Reuse::Idle
        } else {
            Reuse::New
        };
        let sent = self.state.links.send(&target.address, request, reuse).await;
        let exchange = sent.map_err(|error| match error {
            LinkError::Refused => Failure::Refused,
            LinkError::NotSent(reason) => Failure::NotSent(reason),
            LinkError::Unknown(reason) => Failure::Unknown(reason),
        })?;
        let answer = self.check(&exchange.head)?;
        Ok((exchange, answer))
    }

    /// Checks that an answer belongs to this request and is the target's own.
    fn check(&self, head: &Parts) -> Result<ResponseMetadata, Failure> {
        let answer = (self.state.platform.headers.decode_response)(head.status, &head.headers);
        if answer.is_other_target {
            return Err(Failure::OtherTarget);
        }
        if answer.is_not_run {
            return Err(Failure::NotRun);
        }
        if answer.attempt.as_ref() != Some(&self.envelope.attempt) {
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
        let terms = state.reloadable.borrow().retries;
        let is_taken = state.budget(&self.ask.service, |budget| {
            budget.try_acquire(now, &terms, nodes)
        });
        if !is_taken {
            state.metrics.count("retry.refused");
        }
        is_taken
    }

    /// Counts a move against the service's budget. Targets may count it as a
    /// retry, but it cannot be put off.
    pub fn count_move(&self) {
        let now = self.state.clock.now();
        self.state
            .budget(&self.ask.service, |budget| budget.record_migration(now));
    }

    /// Records a send: the target's load, the log line.
    pub fn sent(&self, progress: &mut Progress, target: &Target) {
        let state = &self.state;
        let now = state.clock.now();
        let mut fleet = state.fleet.borrow_mut();
        info!(state.log, "request sent";
            "id" => self.envelope.attempt.as_str(), "target" => target.id.as_str(),
            "data_centre" => target.data_centre.as_str(),
            "running" => fleet.running(&target.id), "attempt" => progress.sends + 1,
            "remaining_ms" => self.remaining_ms().0, "age_ms" => state.age_ms(Table::Targets).0);
        fleet.record_sent(now, target, &self.ask);
        progress.connects += 1;
        progress.is_out = true;
    }

    /// Records a failed send and what it means for the target.
    pub fn failed(&self, progress: &mut Progress, target: &Target, failure: &Failure) {
        let state = &self.state;
        let now = state.clock.now();
        let mut shunned_until_ms = Millis::ZERO;
        progress.is_out = false;
        progress.passed_over.push(target.id.clone());
        match failure {
            Failure::Refused => {
                shunned_until_ms = state.fleet.borrow_mut().record_refused(now, &target.id);
            }
            Failure::NotSent(_) => {
                shunned_until_ms = state.fleet.borrow_mut().record_failure(now, &target.id);
            }
            Failure::NotRun => progress.sends += 1,
            Failure::OtherTarget => {
                progress.was_misdirected = true;
                shunned_until_ms = state.fleet.borrow_mut().record_failure(now, &target.id);
            }
            Failure::Unknown(_) => {
                progress.sends += 1;
                progress.may_have_run = true;
                shunned_until_ms = state.fleet.borrow_mut().record_failure(now, &target.id);
                crash::suspect(state, target, self.digest);
            }
        }
        state.metrics.count("send.failed");
        info!(state.log, "send failed";
            "id" => self.envelope.attempt.as_str(), "target" => target.id.as_str(),
            "failure" => %failure, "reason" => reason(failure),
            "passed_over_ms" => shunned_until_ms.since(now).0);
    }

    /// The refusal that is true after `progress`.
    pub fn refusal(&self, progress: &Progress) -> Refusal {
        let is_late = self.remaining_ms() == Millis::ZERO;
        match (progress.may_have_run || progress.is_out, is_late) {
            (true, true) => Refusal::TimedOut,
            (true, false) => Refusal::TargetFailed,
            (false, true) => Refusal::TimedOutUnsent,
            (false, false) if progress.sends > 0 => Refusal::TargetsFull,
            (false, false) => Refusal::NoTarget,
        }
    }

    /// Makes the answer of a refusal.
    pub fn refuse(&self, refusal: Refusal) -> reply::Reply {
        let retry_after_ms = match refusal {
            Refusal::NoTarget | Refusal::TargetsFull => Some(RETRY_AFTER_MS),
            _ => None,
        };
        reply::refuse(refusal, retry_after_ms)
    }

    fn request(&self, target: &Target, from: From<'_>) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = self.headers.clone();
        let headers = request.headers_mut();
        if !self.body.is_empty() || self.method == Method::POST || self.method == Method::PUT {
            headers.insert(header::CONTENT_LENGTH, self.body.len().into());
        }
        let is_generation = self.envelope.generation.is_some();
        let sending = TargetHeaders {
            target,
            remaining_ms: Some(self.remaining_ms()),
            customer: self.customer.as_deref(),
            urgency: is_generation.then_some(self.priority.min(MAX_URGENCY)),
            last_event: from.last_event,
            copy: from.copy,
        };
        (self.state.platform.headers.apply)(headers, &sending);
        request
    }
}

/// Reads why a send failed, where that is known.
fn reason(failure: &Failure) -> &str {
    match failure {
        Failure::NotSent(reason) | Failure::Unknown(reason) => reason,
        Failure::Refused | Failure::NotRun | Failure::OtherTarget => "",
    }
}

//! Calls to targets that copy running generations, stop them and free copies.

use std::fmt;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use filbertpaddle_core::name::Name;
use filbertpaddle_forward::target::Target;
use http::StatusCode;
use slog::info;
use tokio::sync::oneshot;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::connection_pool::Error;
use crate::platform_api::Call;
use crate::platform_api::CopyOutcome;
use crate::platform_api::CopyRequest;
use crate::platform_api::StopOutcome;
use crate::state::State;
use crate::target_call;

/// Enough to copy the KV caches of several large generations over one link.
const COPY_TIMEOUT: Duration = Duration::from_secs(4);
const RELEASE_TIMEOUT: Duration = Duration::from_millis(500);
/// Delay before the next order to a target that still made a copy.
const BUSY_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Result of a call.
#[derive(Debug)]
pub(crate) enum Outcome {
    /// Of one that only copies.
    Copy(CopyOutcome),
    /// Of one that also stops the generation.
    Stop(StopOutcome),
}

/// A running call.
pub(crate) struct CopyCall {
    source: Target,
    to: Target,
    outcome: Pin<Box<dyn Future<Output = Outcome>>>,
}

impl fmt::Debug for CopyCall {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("CopyCall").finish_non_exhaustive()
    }
}

/// A generation that is to be copied.
#[derive(Clone, Debug)]
struct CopyOrder {
    state: Rc<State>,
    attempt: Name,
    source: Target,
    to: Target,
}

impl CopyCall {
    /// Starts a call that copies a generation from `source` to `to` while it runs on.
    pub(crate) fn copy(state: &Rc<State>, attempt: &Name, source: &Target, to: &Target) -> Self {
        let order = CopyOrder::new(state, attempt, source, to);
        Self::new(source, to, async move { Outcome::Copy(order.copy().await) })
    }

    /// Starts a call that stops a generation at `source` and copies to `to` what was added since
    /// the last copy.
    pub(crate) fn stop(state: &Rc<State>, attempt: &Name, source: &Target, to: &Target) -> Self {
        let order = CopyOrder::new(state, attempt, source, to);
        Self::new(source, to, async move { Outcome::Stop(order.stop().await) })
    }

    /// Starts a call that does the same, once copies that the source still makes have ended.
    pub(crate) fn stop_after_copies(
        state: &Rc<State>,
        attempt: &Name,
        source: &Target,
        to: &Target,
    ) -> Self {
        let order = CopyOrder::new(state, attempt, source, to);
        let stop = async move { Outcome::Stop(order.stop_after_copies().await) };
        Self::new(source, to, stop)
    }

    fn new<F>(source: &Target, to: &Target, outcome: F) -> Self
    where
        F: Future<Output = Outcome> + 'static,
    {
        Self {
            source: source.clone(),
            to: to.clone(),
            outcome: Box::pin(outcome),
        }
    }

    /// Returns the destination of the copy.
    pub(crate) fn to(&self) -> &Target {
        &self.to
    }

    /// Waits for the result. Cancel-safe; not to be called again after it has returned.
    pub(crate) async fn outcome(&mut self) -> Outcome {
        self.outcome.as_mut().await
    }

    /// Lets the call end by itself, and frees its copy unless the generation has gone on from the
    /// one with the handle `used`.
    pub(crate) fn abandon(mut self, state: &Rc<State>, used: Option<Name>) {
        let state = Rc::clone(state);
        tokio::task::spawn_local(async move {
            let outcome = self.outcome().await;
            self.free(&state, outcome, used).await;
        });
    }

    /// Does the same, without a copy that is used; returns once the call has ended, or after
    /// `wait`, and whether it has.
    pub(crate) async fn abandon_within(mut self, state: &Rc<State>, wait: Duration) -> bool {
        let state = Rc::clone(state);
        let (has_ended, ended) = oneshot::channel();
        tokio::task::spawn_local(async move {
            let outcome = self.outcome().await;
            has_ended.send(()).ok();
            self.free(&state, outcome, None).await;
        });
        timeout(wait, ended).await.is_ok()
    }

    async fn free(self, state: &State, outcome: Outcome, used: Option<Name>) {
        let (handle, at) = match outcome {
            Outcome::Copy(CopyOutcome::Copied(copy)) | Outcome::Stop(StopOutcome::Copied(copy)) => {
                (copy.handle, &self.to)
            }
            Outcome::Stop(StopOutcome::Stopped(Some(handle))) => (handle, &self.source),
            _ => return,
        };
        if used.as_ref() != Some(&handle) {
            release(state, &handle, at).await;
        }
    }
}

impl CopyOrder {
    fn new(state: &Rc<State>, attempt: &Name, source: &Target, to: &Target) -> Self {
        Self {
            state: Rc::clone(state),
            attempt: attempt.clone(),
            source: source.clone(),
            to: to.clone(),
        }
    }

    fn request(&self) -> CopyRequest<'_> {
        CopyRequest {
            attempt: &self.attempt,
            to: &self.to,
        }
    }

    async fn copy(&self) -> CopyOutcome {
        let state = &self.state;
        let calls = state.platform.engine;
        let request = self.request();
        state.metrics.count("target.copies");
        match self.send((calls.copy)(&request)).await {
            Ok((status, bytes)) => (calls.decode_copy)(&request, status, &bytes),
            Err(error) => {
                info!(state.log, "copy request failed, treated as refused";
                    "id" => self.attempt.as_str(), "to" => self.to.id.as_str(),
                    "error" => %error);
                CopyOutcome::Refused
            }
        }
    }

    async fn stop(&self) -> StopOutcome {
        let state = &self.state;
        let calls = state.platform.engine;
        let request = self.request();
        state.metrics.count("target.stops");
        match self.send((calls.stop)(&request)).await {
            Ok((status, bytes)) => (calls.decode_stop)(&request, status, &bytes),
            Err(error) => {
                info!(state.log, "order to stop failed, generation may run on";
                    "id" => self.attempt.as_str(), "from" => self.source.id.as_str(),
                    "error" => %error);
                StopOutcome::Unknown
            }
        }
    }

    /// Orders the source to stop until it is not busy with a copy, for as long as one may take.
    async fn stop_after_copies(&self) -> StopOutcome {
        let ordered = async {
            loop {
                match self.stop().await {
                    StopOutcome::Busy => sleep(BUSY_RETRY_DELAY).await,
                    outcome => return outcome,
                }
            }
        };
        let stopped = timeout(COPY_TIMEOUT, ordered).await;
        stopped.unwrap_or(StopOutcome::Busy)
    }

    async fn send(&self, call: Call) -> Result<(StatusCode, Bytes), Error> {
        let answered = target_call::call(&self.state, &self.source, &call, COPY_TIMEOUT).await;
        answered.map(|(head, bytes)| (head.status, bytes))
    }
}

/// Frees a copy at the target `at`.
pub(crate) async fn release(state: &State, handle: &str, at: &Target) {
    let call = (state.platform.engine.release)(handle);
    if let Err(error) = target_call::call(state, at, &call, RELEASE_TIMEOUT).await {
        info!(state.log, "copy not released at target";
            "target" => at.id.as_str(), "error" => %error);
    }
}

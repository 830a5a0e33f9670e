//! Calls to targets that copy running generations, stop them and free copies.

use std::fmt;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use filbertpaddle_core::name::Name;
use filbertpaddle_forward::target::Target;
use slog::info;

use crate::platform_api::CopyOutcome;
use crate::platform_api::CopyRequest;
use crate::platform_api::StopOutcome;
use crate::state::State;
use crate::target_call;

/// Enough to copy the KV caches of several large generations over one link.
const COPY_TIMEOUT: Duration = Duration::from_secs(4);
const RELEASE_TIMEOUT: Duration = Duration::from_millis(500);

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

impl CopyCall {
    /// Starts a call that copies a generation from `source` to `to` while it runs on.
    pub(crate) fn copy(state: &Rc<State>, attempt: &Name, source: &Target, to: &Target) -> Self {
        let call = copy(
            Rc::clone(state),
            attempt.clone(),
            source.clone(),
            to.clone(),
        );
        Self::new(source, to, async { Outcome::Copy(call.await) })
    }

    /// Starts a call that stops a generation at `source` and copies to `to` what was added since
    /// the last copy.
    pub(crate) fn stop(state: &Rc<State>, attempt: &Name, source: &Target, to: &Target) -> Self {
        let call = stop(
            Rc::clone(state),
            attempt.clone(),
            source.clone(),
            to.clone(),
        );
        Self::new(source, to, async { Outcome::Stop(call.await) })
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
            let (handle, at) = match self.outcome().await {
                Outcome::Copy(CopyOutcome::Copied(copy))
                | Outcome::Stop(StopOutcome::Copied(copy)) => (copy.handle, &self.to),
                Outcome::Stop(StopOutcome::Stopped(Some(handle))) => (handle, &self.source),
                _ => return,
            };
            if used.as_ref() != Some(&handle) {
                release(&state, &handle, at).await;
            }
        });
    }
}

async fn copy(state: Rc<State>, attempt: Name, source: Target, to: Target) -> CopyOutcome {
    let calls = state.platform.engine;
    let request = CopyRequest {
        attempt: &attempt,
        to: &to,
    };
    state.metrics.count("target.copies");
    match target_call::call(&state, &source, &(calls.copy)(&request), COPY_TIMEOUT).await {
        Ok((head, bytes)) => (calls.decode_copy)(&request, head.status, &bytes),
        Err(error) => {
            info!(state.log, "copy request failed, treated as refused";
                "id" => attempt.as_str(), "to" => to.id.as_str(), "error" => %error);
            CopyOutcome::Refused
        }
    }
}

async fn stop(state: Rc<State>, attempt: Name, source: Target, to: Target) -> StopOutcome {
    let calls = state.platform.engine;
    let request = CopyRequest {
        attempt: &attempt,
        to: &to,
    };
    state.metrics.count("target.stops");
    match target_call::call(&state, &source, &(calls.stop)(&request), COPY_TIMEOUT).await {
        Ok((head, bytes)) => (calls.decode_stop)(&request, head.status, &bytes),
        Err(error) => {
            info!(state.log, "order to stop failed, generation may run on";
                "id" => attempt.as_str(), "from" => source.id.as_str(), "error" => %error);
            StopOutcome::Unknown
        }
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

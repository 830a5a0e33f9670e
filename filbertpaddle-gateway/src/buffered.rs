//! Serves requests whose response is buffered and forwarded as a whole.

use std::time::Duration;

use bytes::Bytes;
use filbertpaddle_core::clock::Millis;
use filbertpaddle_forward::load_table::TargetLoad;
use filbertpaddle_forward::speed_baseline::SpeedSample;
use filbertpaddle_forward::target::Target;
use http::StatusCode;
use http::response::Parts;
use tokio::time::timeout;

use crate::clock::duration;
use crate::ended_response;
use crate::job::Failure;
use crate::job::Job;
use crate::job::Progress;
use crate::job::ResumePoint;
use crate::reply::Refusal;
use crate::reply::Reply;
use crate::target_stream::CLOSED_EARLY;
use crate::target_stream::TARGET_ENDED;

/// Multiple of the latency goal that an idempotent request waits at one target while it
/// may still be sent to another.
const ATTEMPT_GOAL_FACTOR: u64 = 3;

/// Serves one request, with retries at other targets where the route allows them.
///
/// If this is cancelled, [`Job::release`] removes the request from its target's load.
///
/// # Errors
///
/// Returns the refusal to send if no target's response can be forwarded.
pub async fn serve(job: &Job, progress: &mut Progress) -> Result<Reply, Refusal> {
    let mut last: Option<(Parts, Bytes)> = None;
    loop {
        let Some(target) = job.place(progress).await else {
            return finish(job, progress, last);
        };
        job.become_probe(progress).await;
        if !job.may_send(progress) {
            return finish(job, progress, last);
        }
        let former_load = job.mark_sent(progress, &target);
        let sent_ms = job.state.clock.now();
        progress.placed_on = Some(target.clone());
        let result = attempt(job, progress, &target).await;
        job.release(progress);
        match result {
            Ok((head, bytes)) => {
                if head.status.is_success() {
                    record_speed(job, &target, former_load, sent_ms);
                }
                let mut selector = job.state.selector.borrow_mut();
                selector.record_success(&target.id);
                drop(selector);
                job.record_side_answer(progress, &target, head.status);
                progress.sends += 1;
                progress.is_in_flight = false;
                let may_resend = job.route.kind.is_idempotent()
                    && progress.sends < job.route.max_attempts
                    && head.status.is_server_error();
                if !may_resend {
                    return job.target_reply(head, bytes);
                }
                progress.excluded_targets.push(target.id.clone());
                progress.may_have_run = true;
                last = Some((head, bytes));
            }
            Err(failure) => {
                job.mark_failed(progress, &target, &failure);
                job.check_crash(&target, &failure).await;
                if !job.may_retry(progress, &failure) {
                    return finish(job, progress, last);
                }
            }
        }
    }
}

/// Records how long a target took for a whole answer, given its load before.
fn record_speed(job: &Job, target: &Target, mut load: TargetLoad, sent_ms: Millis) {
    load.add(&TargetLoad::from(&job.demand));
    let sample = SpeedSample::Whole {
        route: job.route.name.clone(),
        time_ms: job.state.clock.now().since(sent_ms),
    };
    job.state.record_speed(target, &load, &sample);
}

async fn attempt(
    job: &Job,
    progress: &Progress,
    target: &Target,
) -> Result<(Parts, Bytes), Failure> {
    let response = async {
        let (response, _) = job.send(target, ResumePoint::default()).await?;
        let mut body = response.body;
        let bytes = body.read_to_end().await?;
        if may_be_cut(&response.head) && body.is_unframed(&response.head.headers) {
            check_end(job, target, &bytes).await?;
        }
        body.recycle(&response.head.headers);
        Ok((response.head, bytes))
    };
    match timeout(attempt_timeout(job, progress), response).await {
        Ok(result) => result,
        Err(_) => Err(Failure::Unknown(
            "no complete response within the time limit of the attempt".to_owned(),
        )),
    }
}

/// Returns whether a part of a response would be taken for all of it: it is a success, and its
/// status does not state that it has no body.
fn may_be_cut(head: &Parts) -> bool {
    head.status.is_success() && head.status != StatusCode::RESET_CONTENT
}

/// Checks that a body that ended with its connection is whole: a target that crashes or exits
/// closes it in the same way.
async fn check_end(job: &Job, target: &Target, bytes: &Bytes) -> Result<(), Failure> {
    if bytes.is_empty() {
        return Err(Failure::Unknown(CLOSED_EARLY.to_owned()));
    }
    match ended_response::goes_on(&job.state, target).await {
        true => Ok(()),
        false => Err(Failure::Unknown(TARGET_ENDED.to_owned())),
    }
}

fn attempt_timeout(job: &Job, progress: &Progress) -> Duration {
    let may_resend = job.route.kind.is_idempotent() && progress.sends + 1 < job.route.max_attempts;
    let remaining_ms = job.remaining_ms();
    if !may_resend {
        return duration(remaining_ms);
    }
    let goal_ms = Millis(job.route.latency_goal_ms.0 * ATTEMPT_GOAL_FACTOR);
    duration(goal_ms.min(Millis(remaining_ms.0 / 2)))
}

/// Ends a request that no target served successfully: with the last error response of a
/// target if there is one, else with a refusal that states whether it may have run.
fn finish(job: &Job, progress: &Progress, last: Option<(Parts, Bytes)>) -> Result<Reply, Refusal> {
    match last {
        Some((head, bytes)) => job.target_reply(head, bytes),
        None => Err(job.refusal(progress)),
    }
}

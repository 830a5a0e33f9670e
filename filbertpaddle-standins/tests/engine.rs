//! Tests of the target client against the engine and service stand-ins.

#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::net::SocketAddr;
use std::time::Duration;

use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::template::Priority;
use filbertpaddle_standins::batch_scheduler;
use filbertpaddle_standins::engine;
use filbertpaddle_standins::engine::Engine;
use filbertpaddle_standins::engine_fault::Fault;
use filbertpaddle_standins::service;
use filbertpaddle_standins::service::Service;
use filbertpaddle_target::client;
use filbertpaddle_target::client::Client;
use filbertpaddle_target::error::Error;
use filbertpaddle_target::error::NotStarted;
use filbertpaddle_target::error::UnknownOutcome;
use filbertpaddle_target::protocol::EndCause;
use filbertpaddle_target::protocol::LoadedState;
use filbertpaddle_target::protocol::Order;
use filbertpaddle_target::protocol::RefusalCause;
use filbertpaddle_target::protocol::Submit;
use filbertpaddle_target::protocol::Warmth;
use filbertpaddle_target::stream::Received;
use filbertpaddle_target::stream::Tokens;

fn client() -> Client {
    Client::new(client::Settings::default())
}

fn settings() -> engine::Settings {
    engine::Settings {
        speed: 100.0,
        report_lag_ms: Millis(50),
        restart_ms: Millis(50),
        poison: Some("poison".to_owned()),
        ..engine::Settings::default()
    }
}

fn submit(attempt: &str, prompt: &str) -> Submit {
    Submit {
        attempt: attempt.into(),
        fence: 1,
        priority: Priority(1),
        prompt: prompt.to_owned(),
        max_tokens: 100,
    }
}

/// Returns a submission whose output is long with the seed of the settings.
fn long_submit(attempt: &str) -> Submit {
    let prompt = (0..)
        .map(|n| format!("menu {n}"))
        .find(|prompt| filbertpaddle_standins::lengths::draw_output_tokens(1, prompt) > 2_000);
    Submit {
        max_tokens: 2_000,
        ..submit(attempt, &prompt.unwrap())
    }
}

async fn read_texts(stream: &mut Tokens) -> Result<Vec<String>, Error> {
    let mut texts = Vec::new();
    while let Some(received) = stream.next().await? {
        if let Received::Token { text, .. } = received {
            texts.push(text);
        }
    }
    Ok(texts)
}

async fn wait_until<F>(mut condition: F)
where
    F: AsyncFnMut() -> bool,
{
    for _ in 0..2_000 {
        if condition().await {
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("the condition was not met within 2000 polls at intervals of 10 ms");
}

#[tokio::test]
async fn stream_can_be_resumed_from_any_index() {
    let engine = Engine::start(settings()).await.unwrap();
    let client = client();
    let request = submit("a1", "menu for the night crew");
    let mut stream = client.submit(engine.address, &request).await.unwrap();
    let all = read_texts(&mut stream).await.unwrap();
    assert!(!all.is_empty());
    for from in [0, 1, all.len() as u32] {
        let mut stream = client
            .resume(engine.address, &request.attempt, from)
            .await
            .unwrap();
        assert_eq!(read_texts(&mut stream).await.unwrap(), all[from as usize..]);
    }
    engine.close().await;
}

#[tokio::test]
async fn refused_requests_are_reported_as_not_run() {
    let engine = Engine::start(settings()).await.unwrap();
    let client = client();
    let refused = |cause| Error::NotStarted(NotStarted::Refused(cause));
    let mut first = submit("a1", "stock");
    first.fence = 7;
    let mut stream = client.submit(engine.address, &first).await.unwrap();
    read_texts(&mut stream).await.unwrap();
    let stale = client.submit(engine.address, &submit("a2", "stock")).await;
    assert_eq!(stale.unwrap_err(), refused(RefusalCause::StaleFence));
    let order = Order {
        id: "o1".into(),
        fence: 6,
        state: LoadedState::default(),
    };
    let stale = client.order(engine.address, &order).await;
    assert_eq!(stale.unwrap_err(), refused(RefusalCause::StaleFence));
    let mut reused = submit("a1", "another");
    reused.fence = 7;
    let reused = client.submit(engine.address, &reused).await;
    assert_eq!(
        reused.unwrap_err(),
        Error::Unknown(UnknownOutcome::AttemptIdReused)
    );
    let unknown = client.cancel(engine.address, &"a9".into()).await;
    assert_eq!(unknown.unwrap_err(), refused(RefusalCause::UnknownAttempt));
    let address = engine.address;
    engine.close().await;
    wait_until(async || {
        let gone = client.submit(address, &submit("a3", "stock")).await;
        gone.is_err_and(|error| error.is_not_started())
    })
    .await;
}

#[tokio::test]
async fn cancelling_an_attempt_ends_its_stream() {
    let engine = Engine::start(settings()).await.unwrap();
    let client = client();
    let request = long_submit("a1");
    let mut stream = client.submit(engine.address, &request).await.unwrap();
    stream.next().await.unwrap();
    client
        .cancel(engine.address, &request.attempt)
        .await
        .unwrap();
    let mut last = None;
    while let Some(received) = stream.next().await.unwrap() {
        last = Some(received);
    }
    let cause = match last {
        Some(Received::End { cause, .. }) => cause,
        other => panic!("expected the end of the stream, got {other:?}"),
    };
    assert_eq!(cause, EndCause::Cancelled);
    engine.close().await;
}

#[tokio::test]
async fn lines_of_other_attempts_and_repeated_lines_are_recognised() {
    let engine = Engine::start(settings()).await.unwrap();
    engine.inject_fault(Fault::Cross { every: 3 });
    engine.inject_fault(Fault::Duplicate { every: 4 });
    let client = client();
    let request = submit("a1", "menu");
    let mut stream = client.submit(engine.address, &request).await.unwrap();
    let mut tokens = 0;
    let mut other_attempt = 0;
    let mut repeated = 0;
    while let Some(received) = stream.next().await.unwrap() {
        match received {
            Received::Token { index, .. } => {
                assert_eq!(index, tokens);
                tokens += 1;
            }
            Received::OtherAttempt { .. } => other_attempt += 1,
            Received::Repeated { .. } => repeated += 1,
            Received::End { tokens: total, .. } => assert_eq!(total, tokens),
        }
    }
    assert_eq!(other_attempt, tokens / 3);
    assert_eq!(repeated, tokens / 4);
    engine.close().await;
}

#[tokio::test]
async fn poison_prompt_crashes_the_engine_and_breaks_all_streams() {
    let engine = Engine::start(settings()).await.unwrap();
    let client = client();
    let mut other_stream = client
        .submit(engine.address, &long_submit("a1"))
        .await
        .unwrap();
    other_stream.next().await.unwrap();
    let mut poison = client
        .submit(engine.address, &submit("a2", "poison"))
        .await
        .unwrap();
    assert!(read_texts(&mut poison).await.is_err());
    assert!(read_texts(&mut other_stream).await.is_err());
    wait_until(async || {
        let report = client.load(engine.address).await;
        report.is_ok_and(|report| report.incarnation == 2 && report.attempts.is_empty())
    })
    .await;
    assert_eq!(engine.counters().crashes, 1);
    engine.close().await;
}

#[tokio::test]
async fn cold_engine_crashes_above_its_limit() {
    let settings = engine::Settings {
        starts_warm: false,
        scheduler: batch_scheduler::Settings {
            cold_limit: 2,
            warm_up_us: 3_600_000_000,
            ..batch_scheduler::Settings::default()
        },
        ..settings()
    };
    let engine = Engine::start(settings).await.unwrap();
    let client = client();
    let report = client.load(engine.address).await.unwrap();
    assert_eq!(report.warmth, Warmth::Cold);
    let mut streams = Vec::new();
    for attempt in ["a1", "a2"] {
        let stream = client.submit(engine.address, &long_submit(attempt)).await;
        streams.push(stream.unwrap());
    }
    assert_eq!(engine.counters().collapses, 0);
    if let Ok(mut excess) = client.submit(engine.address, &long_submit("a3")).await {
        assert!(read_texts(&mut excess).await.is_err());
    }
    assert_eq!(engine.counters().collapses, 1);
    for stream in &mut streams {
        assert!(read_texts(stream).await.is_err());
    }
    engine.close().await;
}

#[tokio::test]
async fn service_counts_executions_by_attempt_and_body() {
    let listen = SocketAddr::from(([127, 0, 0, 1], 0));
    let settings = service::Settings {
        listen,
        duration_ms: Millis(1),
    };
    let service = Service::start(settings).await.unwrap();
    let client = client();
    for attempt in ["a1", "a2", "a2"] {
        let answer = client
            .call(service.address, &submit(attempt, "slot 12"))
            .await;
        assert_eq!(answer.unwrap().attempt, attempt);
    }
    let counts = service.counts();
    assert_eq!(counts.attempts["a2"], 2);
    assert_eq!(counts.bodies["slot 12"], 3);
    service.close().await;
}

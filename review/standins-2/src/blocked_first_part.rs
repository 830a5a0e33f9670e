//! Sound requests that share the first part of their prompt with requests that crash targets,
//! after a target has crashed by itself.

use std::time::Duration;

use tokio::task::JoinHandle;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::Error;
use crate::Outcome;
use crate::engines::Answered;
use crate::engines::Engines;
use crate::engines::Kind;
use crate::engines::send;
use crate::engines::send_steadily;
use crate::fleet::CONTACT_TIME;
use crate::fleet::Fleet;
use crate::fleet::configuration;
use crate::record::Record;

const ENGINES: usize = 12;
/// Time from the arrival of a request to its first event, and between events.
const EVENT_MS: u64 = 800;
/// Sound requests per second while their callers are busy.
const SOUND_PER_SEC: u32 = 3;
/// Time for which they are busy, before and after.
const BUSY_TIME: Duration = Duration::from_secs(10);
/// Requests per second with the part that crashes targets.
const BAD_PER_SEC: u32 = 1;
/// Time for which these come: to the end of the case.
const BAD_TIME: Duration = Duration::from_secs(30);
/// Time without requests after the last answer.
const QUIET_TIME: Duration = Duration::from_millis(2_500);
/// Time from the first request with the part to a single sound one, and from there to the crash of
/// that one's target.
const UNTIL_SINGLE: Duration = Duration::from_millis(500);
const UNTIL_CRASH: Duration = Duration::from_millis(400);
/// Time in which the requests with the part crash targets until they are found out.
const CRASHING_TIME: Duration = Duration::from_secs(6);
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Number of requests from which the rule judges.
const MIN_REQUESTS: usize = 20;

pub async fn run(is_troubled: bool, record: &Record) -> Result<Outcome, Error> {
    let mut fleet = Fleet::new("blocked-first-part", &configuration(), record).await?;
    let mut engines = Engines::start(&fleet, ENGINES, EVENT_MS, record).await?;
    fleet.start(true).await?;
    sleep(CONTACT_TIME).await;
    let sound = |name: &str| {
        let (name, nodes) = (name.to_owned(), fleet.callers());
        send_steadily(
            name,
            Kind::Sound,
            SOUND_PER_SEC,
            BUSY_TIME,
            nodes,
            record.clone(),
        )
    };
    let before = sound("before").await;
    record.add("the callers of sound requests pause");
    sleep(QUIET_TIME).await;

    let (name, nodes) = ("bad".to_owned(), fleet.callers());
    let bad = send_steadily(
        name,
        Kind::Bad,
        BAD_PER_SEC,
        BAD_TIME,
        nodes,
        record.clone(),
    );
    let bad = tokio::spawn(bad);
    sleep(UNTIL_SINGLE).await;
    let single = send(
        fleet.callers()[1],
        "single".to_owned(),
        Kind::Sound,
        record.clone(),
    );
    let single: JoinHandle<Answered> = tokio::spawn(single);
    sleep(UNTIL_CRASH).await;
    let runs = fleet.run_log.runs_of("single");
    let target = &runs
        .first()
        .ok_or("the single request reached no target")?
        .target;
    if is_troubled {
        engines.crash(target).await?;
    }
    wait(&fleet, &mut engines, CRASHING_TIME).await?;
    single.await?;
    let crashes = engines.crashes();
    let Some(last) = crashes.get(4).or(crashes.last()) else {
        return Err("no request has crashed a target".into());
    };
    record.add_at(
        *last,
        format!(
            "last of the first {} crashes by the part",
            crashes.len().min(5)
        ),
    );
    let judged_from = Instant::from_std(*last) + 2 * CONTACT_TIME;
    wait(
        &fleet,
        &mut engines,
        judged_from.saturating_duration_since(Instant::now()),
    )
    .await?;

    record.add("the callers of sound requests are busy again");
    let serving = engines.serving();
    let after = sound("after").await;
    let is_bad_over = bad.is_finished();
    bad.abort();
    fleet.close();
    let begun = |answers: &[Answered]| answers.iter().filter(|one| one.has_begun).count();
    record.add(format!(
        "{} of {} sound requests begin before, {} of {} after; {} crashes by the part; \
         {serving} targets serve",
        begun(&before),
        before.len(),
        begun(&after),
        after.len(),
        crashes.len()
    ));
    if before.len() < MIN_REQUESTS || after.len() < MIN_REQUESTS || is_bad_over {
        return Err("too few requests to judge".into());
    }
    let share = |answers: &[Answered]| begun(answers) as f64 / answers.len() as f64;
    let is_broken = share(&after) < 0.5 * share(&before);
    Ok(if is_broken {
        Outcome::Broken
    } else {
        Outcome::Held
    })
}

/// Waits, while crashed targets come back.
async fn wait(fleet: &Fleet, engines: &mut Engines, time: Duration) -> Result<(), Error> {
    let end = Instant::now() + time;
    while Instant::now() < end {
        engines.restart_crashed(fleet).await?;
        sleep(POLL_INTERVAL).await;
    }
    Ok(())
}

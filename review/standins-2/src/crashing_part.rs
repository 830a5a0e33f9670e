//! Requests with a part of their prompt that crashes targets, after all nodes were killed.

use std::time::Duration;

use tokio::time::Instant;
use tokio::time::sleep;

use crate::Error;
use crate::Outcome;
use crate::engines::DOWN_TIME;
use crate::engines::Engines;
use crate::engines::Kind;
use crate::engines::send_steadily;
use crate::fleet::CONTACT_TIME;
use crate::fleet::Fleet;
use crate::fleet::configuration;
use crate::record::Record;

const ENGINES: usize = 12;
/// Time from the arrival of a request to its first event, with which a part of its prompt may
/// crash its target. The site's goal for it is 1,800 ms.
const EVENT_MS: u64 = 800;
/// Time until killed processes are started again.
const KILLED_TIME: Duration = Duration::from_millis(1_400);
/// Requests per second, to all nodes together.
const BAD_PER_SEC: u32 = 5;
const SOUND_PER_SEC: u32 = 8;
/// Time before and after the kill in which requests come.
const PHASE_TIME: Duration = Duration::from_secs(14);
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Crash from which the rule counts, and requests that it allows.
const JUDGED_CRASHES: usize = 5;
const MAX_ARRIVALS: usize = 3;

pub async fn run(is_troubled: bool, record: &Record) -> Result<Outcome, Error> {
    let mut fleet = Fleet::new("crashing-part", &configuration(), record).await?;
    let mut engines = Engines::start(&fleet, ENGINES, EVENT_MS, record).await?;
    fleet.start(true).await?;
    sleep(CONTACT_TIME).await;
    for phase in 0..2 {
        let send = |kind: &str, of: Kind, per_sec: u32| {
            let (name, nodes) = (format!("{kind}-{phase}"), fleet.callers());
            let sent = send_steadily(name, of, per_sec, PHASE_TIME, nodes, record.clone());
            tokio::spawn(sent)
        };
        let bad = send("bad", Kind::Bad, BAD_PER_SEC);
        let sound = send("sound", Kind::Sound, SOUND_PER_SEC);
        // All targets are back before the next phase.
        let end = Instant::now() + PHASE_TIME + DOWN_TIME;
        while Instant::now() < end {
            engines.restart_crashed(&fleet).await?;
            sleep(POLL_INTERVAL).await;
        }
        bad.await?;
        let sound = sound.await?;
        let broken_off = sound.iter().filter(|one| !one.is_complete).count();
        record.add(format!(
            "phase {phase}: {broken_off} of {} sound requests get no complete answer",
            sound.len()
        ));
        if phase == 0 {
            if is_troubled {
                fleet.kill();
                sleep(KILLED_TIME).await;
                fleet.start(false).await?;
            }
            sleep(CONTACT_TIME + Duration::from_secs(1)).await;
        }
    }

    let crashes = engines.crashes();
    let runs = fleet.run_log.runs();
    fleet.close();
    let bad: Vec<_> = runs
        .iter()
        .filter(|run| run.attempt.starts_with("bad"))
        .collect();
    for run in &bad {
        record.add_at(run.at, format!("{} reaches {}", run.attempt, run.target));
    }
    let Some(fifth) = crashes.get(JUDGED_CRASHES - 1) else {
        return Err(format!("{} crashes, too few to judge", crashes.len()).into());
    };
    let judged_from = *fifth + CONTACT_TIME;
    let late = bad.iter().filter(|run| run.at > judged_from).count();
    record.add_at(*fifth, "fifth crash by the part");
    record.add(format!(
        "{} crashes; {late} requests with the part reach targets later than 3 s after the fifth",
        crashes.len()
    ));
    Ok(if late > MAX_ARRIVALS {
        Outcome::Broken
    } else {
        Outcome::Held
    })
}

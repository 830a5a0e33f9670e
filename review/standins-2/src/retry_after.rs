//! A target that wants nothing for a while, and is cut off from the store meanwhile.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use filbertpaddle_adapter_standins::caller;
use filbertpaddle_adapter_standins::configuration::READ_PATH;
use filbertpaddle_adapter_standins::store::Store;
use http::Method;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio::time::interval;
use tokio::time::sleep;

use crate::Error;
use crate::Outcome;
use crate::caller::request;
use crate::fleet::DATA_CENTRES;
use crate::fleet::Fleet;
use crate::fleet::configuration;
use crate::record::Record;
use crate::runner::Arrival;
use crate::runner::Runner;

/// Number of targets: one of them is a share of 0.2.
const TARGETS: usize = 5;
/// Requests per second to each node.
const RATE_PER_SEC: u32 = 14;
const DEADLINE_MS: u64 = 1_500;
const WARM_UP_TIME: Duration = Duration::from_secs(4);
/// Time for which the target has no room.
const NEED_TIME: Duration = Duration::from_millis(600);
/// Time for which it wants nothing, as it states in its refusals.
const RETRY_AFTER: &str = "20";
const RETRY_AFTER_TIME: Duration = Duration::from_secs(20);
/// Time from a refusal from which the rule counts.
const SLACK: Duration = Duration::from_millis(500);
/// Requests that may reach the target from one machine nevertheless.
const MAX_ARRIVALS: usize = 2;
/// Time from the last refusal to the cut.
const CALM_TIME: Duration = Duration::from_secs(1);
/// Length of the cut.
const CUT_TIME: Duration = Duration::from_secs(5);
/// Silence after which the store removes an entry: three intervals of 1.2 s.
const EXPIRY_TIME: Duration = Duration::from_millis(3_600);

pub async fn run(is_troubled: bool, record: &Record) -> Result<Outcome, Error> {
    let mut fleet = Fleet::new("retry-after", &configuration(), record).await?;
    let born_ms = u64::try_from(SystemTime::now().duration_since(UNIX_EPOCH)?.as_millis())?;
    let mut runners = Vec::new();
    for index in 0..TARGETS {
        let data_centre = DATA_CENTRES[index % DATA_CENTRES.len()];
        let runner = Runner::start(&format!("i-app-{index}"), data_centre, born_ms).await?;
        fleet.store.put_target(&runner.id, &runner.entry(1));
        runners.push(runner);
    }
    fleet.start(true).await?;

    let mut callers = JoinSet::new();
    for node in &fleet.nodes {
        callers.spawn(send_requests(
            node.name.clone(),
            node.callers,
            record.clone(),
        ));
    }
    sleep(WARM_UP_TIME).await;
    let runner = &runners[0];
    runner.set_retry_after(Some(RETRY_AFTER));
    record.add(format!(
        "{} has no room: 503 with Retry-After: {RETRY_AFTER}",
        runner.id
    ));
    sleep(NEED_TIME).await;
    runner.set_retry_after(None);
    record.add(format!("{} has room again", runner.id));
    sleep(CALM_TIME).await;
    if is_troubled {
        cut_from_store(&fleet.store, runner, record).await;
    } else {
        sleep(CUT_TIME).await;
    }
    sleep(RETRY_AFTER_TIME - CUT_TIME).await;
    callers.abort_all();

    let arrivals = runner.arrivals();
    let names: Vec<_> = fleet.nodes.iter().map(|node| node.name.clone()).collect();
    fleet.close();
    let mut is_broken = false;
    let mut has_refused = false;
    for name in names {
        let from_node = arrivals
            .iter()
            .filter(|arrival| arrival.attempt.starts_with(&name));
        let from_node: Vec<_> = from_node.collect();
        let refusals: Vec<_> = from_node
            .iter()
            .filter(|arrival| arrival.is_refused)
            .collect();
        has_refused |= !refusals.is_empty();
        let unwanted = from_node
            .iter()
            .filter(|arrival| is_unwanted(arrival, &refusals));
        let unwanted: Vec<_> = unwanted.collect();
        for arrival in &refusals {
            record.add_at(
                arrival.at,
                format!("{} refused with Retry-After", arrival.attempt),
            );
        }
        for arrival in &unwanted {
            record.add_at(
                arrival.at,
                format!("{} reaches {}", arrival.attempt, runner.id),
            );
        }
        record.add(format!(
            "{name}: {} refusals with Retry-After, {} requests in the time in which none are wanted",
            refusals.len(), unwanted.len()
        ));
        is_broken |= unwanted.len() > MAX_ARRIVALS;
    }
    if !has_refused {
        return Err("no request was refused".into());
    }
    Ok(if is_broken {
        Outcome::Broken
    } else {
        Outcome::Held
    })
}

/// Returns whether a request arrived between half a second after one of the refusals to its node
/// and the end of the time that this stated.
fn is_unwanted(arrival: &Arrival, refusals: &[&&Arrival]) -> bool {
    refusals.iter().any(|refusal| {
        let since = arrival.at.saturating_duration_since(refusal.at);
        since > SLACK && since < RETRY_AFTER_TIME
    })
}

/// Cuts the target off from the store alone. Its entry expires, and is back as it was when the cut
/// ends.
async fn cut_from_store(store: &Store, runner: &Runner, record: &Record) {
    record.add(format!(
        "{} is partitioned from the store, not from the nodes",
        runner.id
    ));
    sleep(EXPIRY_TIME).await;
    store.remove_target(&runner.id);
    record.add(format!("the store removes the entry of {}", runner.id));
    sleep(CUT_TIME - EXPIRY_TIME).await;
    store.put_target(&runner.id, &runner.entry(2));
    record.add(format!(
        "the cut ends, {} has written its entry again",
        runner.id
    ));
}

/// Sends requests to a node at a steady rate, each on a new connection.
async fn send_requests(name: String, node: SocketAddr, record: Record) {
    let mut timer = interval(Duration::from_secs(1) / RATE_PER_SEC);
    let start = Instant::now();
    let mut sent = JoinSet::new();
    for number in 0.. {
        timer.tick().await;
        let mut request = request(&format!("{name}-{number}"), Method::GET, READ_PATH);
        request.deadline_ms = DEADLINE_MS;
        let answers = record.clone();
        sent.spawn(async move {
            let code = caller::send(node, &request).await.code();
            if code != 200 {
                answers.add(format!("{} answered {code}", request.attempt));
            }
        });
        while sent.try_join_next().is_some() {}
        if number % 140 == 139 {
            let seconds = start.elapsed().as_secs_f64();
            record.add(format!(
                "{name}: {} requests sent in {seconds:.1} s",
                number + 1
            ));
        }
    }
}

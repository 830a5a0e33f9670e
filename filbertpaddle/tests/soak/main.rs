//! Random faults from outside on real processes, and the promises that hold.
//!
//! `SOAK_SEEDS=0..50 cargo test --release -p filbertpaddle --test soak -- --ignored`
//! runs more seeds; `SOAK_NODES` sets the number of nodes of each run. Logs of
//! the nodes lie in the target folder's `tmp/soak-SEED`.

#![expect(clippy::unwrap_used, reason = "a panic fails the test")]

mod cluster;
mod fault;
mod history;
mod promises;
mod schedule;
mod traffic;

use std::collections::HashMap;
use std::ops::Range;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use cluster::Cluster;
use fault::Step;
use filbertpaddle_core::clock::Millis;
use schedule::Size;
use tokio::time::Instant;
use tokio::time::sleep;
use traffic::Traffic;

const USUAL: Size = Size {
    nodes: 4,
    targets: 4,
    callers: 40,
    faults: 14,
    span_ms: Millis(10_000),
};
/// How often the processes are looked at.
const LOOK: Duration = Duration::from_millis(100);
/// From the last fault until all must be served again.
const RECOVERY: Duration = Duration::from_secs(6);
/// How long what must happen may take on a busy machine.
const PATIENCE: Duration = Duration::from_secs(20);
/// Runs at the same time when many seeds are run by hand.
const JOBS: usize = 4;
/// Requests to each node once all is calm.
const PROBES: usize = 5;

/// Seeds that once failed, with the cause.
const FAILED: [u64; 0] = [];

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn promises_hold_under_a_few_schedules() {
    check(0..3, &USUAL).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn promises_hold_under_schedules_that_once_failed() {
    for seed in FAILED {
        check(seed..seed + 1, &USUAL).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
#[ignore = "minutes; run by hand with SOAK_SEEDS"]
async fn promises_hold_under_many_schedules() {
    let seeds = std::env::var("SOAK_SEEDS").unwrap_or("0..50".to_owned());
    let (from, to) = seeds.split_once("..").unwrap();
    let nodes = std::env::var("SOAK_NODES").map_or(USUAL.nodes, |text| text.parse().unwrap());
    let factor = nodes / USUAL.nodes;
    let size = Size {
        nodes,
        targets: USUAL.targets * factor.clamp(1, 4),
        callers: USUAL.callers * factor,
        faults: USUAL.faults * factor,
        ..USUAL
    };
    let jobs = if factor > 1 { 1 } else { JOBS };
    let seeds: Vec<u64> = (from.parse().unwrap()..to.parse().unwrap()).collect();
    for some in seeds.chunks(jobs) {
        check(some[0]..some[some.len() - 1] + 1, &size).await;
    }
}

/// Runs the seeds side by side.
async fn check(seeds: Range<u64>, size: &Size) {
    let runs: Vec<_> = seeds
        .map(|seed| (seed, tokio::spawn(run(seed, *size))))
        .collect();
    let mut broken = Vec::new();
    for (seed, run) in runs {
        let found = run.await.unwrap();
        broken.extend(found.into_iter().map(|what| format!("seed {seed}: {what}")));
    }
    assert!(broken.is_empty(), "{broken:#?}");
}

/// Runs one schedule; returns what was broken.
async fn run(seed: u64, size: Size) -> Vec<String> {
    let mut cluster = Cluster::start(&format!("soak-{seed}"), &size).await;
    until_served(&cluster).await;
    cluster.history.watch_machine();
    let traffic = Traffic {
        addresses: cluster.addresses.clone(),
        history: cluster.history.clone(),
        stop: Arc::new(AtomicBool::new(false)),
    };
    let callers: Vec<_> = (0..size.callers)
        .map(|number| tokio::spawn(traffic::call(traffic.clone(), seed, number)))
        .collect();
    play(&mut cluster, &schedule::draw(seed, &size)).await;
    fault::heal_all(&mut cluster).await;
    look_for(&mut cluster, RECOVERY).await;
    check_served(&cluster).await;
    traffic.stop.store(true, Ordering::Relaxed);
    for caller in callers {
        caller.await.unwrap();
    }
    settle(&mut cluster).await;
    promises::check_run(&cluster.history, &cluster.ledger.runs());
    let broken = {
        let events = cluster.history.events();
        println!("seed {seed}: {}", promises::tell(&events));
        events.broken.clone()
    };
    cluster.close().await;
    broken
}

/// Lets the faults of a schedule come and go.
async fn play(cluster: &mut Cluster, events: &[schedule::Event]) {
    let start = Instant::now();
    let mut begun = HashMap::new();
    for (at_ms, step) in fault::steps(events) {
        let due = start + Duration::from_millis(at_ms.0);
        look_for(cluster, due.saturating_duration_since(Instant::now())).await;
        match step {
            Step::Begin(number) => {
                let fault = events[number].fault;
                begun.insert(number, fault::begin(cluster, fault).await);
            }
            Step::End(number) => {
                if let Some(begun) = begun.remove(&number) {
                    fault::end(cluster, begun).await;
                }
            }
        }
    }
}

/// Looks at the processes for a while.
async fn look_for(cluster: &mut Cluster, span: Duration) {
    let end = Instant::now() + span;
    while Instant::now() < end {
        let left = end.saturating_duration_since(Instant::now());
        sleep(left.min(LOOK)).await;
        cluster.watch().await;
    }
}

async fn until_served(cluster: &Cluster) {
    let end = Instant::now() + PATIENCE;
    for node in 0..cluster.vms.len() {
        while traffic::probe(&cluster.addresses, node, 0).await.code() != 200 {
            assert!(Instant::now() < end, "node {node} never serves");
            sleep(LOOK).await;
        }
    }
}

/// Checks that all nodes serve again.
async fn check_served(cluster: &Cluster) {
    for node in 0..cluster.vms.len() {
        for number in 0..PROBES {
            let code = traffic::probe(&cluster.addresses, node, number)
                .await
                .code();
            if code != 200 {
                cluster
                    .history
                    .broken(format!("node {node} does not serve again: {code}"));
            }
        }
    }
}

/// Waits until all that was told to stop has, and nothing runs for nobody.
async fn settle(cluster: &mut Cluster) {
    let end = Instant::now() + PATIENCE;
    while !(cluster.is_settled() && cluster.is_idle()) {
        if Instant::now() > end {
            cluster
                .history
                .broken("generations run for nobody".to_owned());
            return;
        }
        look_for(cluster, LOOK).await;
    }
}

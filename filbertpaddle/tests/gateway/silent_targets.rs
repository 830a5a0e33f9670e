//! Requests whose target's VM goes silent each time that they run.

use std::time::Duration;

use filbertpaddle_adapter_standins::caller;
use filbertpaddle_adapter_standins::caller::SentRequest;
use filbertpaddle_adapter_standins::target::Behaviour;
use filbertpaddle_standins::gate::Gate;
use filbertpaddle_standins::gate::Passage;
use http::Method;
use tokio::time::sleep;

use crate::cluster::Cluster;
use crate::cluster::WRITE_PATH;
use crate::cluster::request;
use crate::cluster::wait_until;

const TARGETS: usize = 10;
/// Number of runs after which the users' deployments bound the further ones.
const RUNS_UNTIL_BOUND: usize = 3;
/// Number of further runs that they allow.
const MAX_LATER_RUNS: usize = 3;
/// Time until the store removes the entry of a silent target; shorter than in use.
const EXPIRY_TIME: Duration = Duration::from_millis(600);
/// Time in which nodes have to find out that a VM is down.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// A node before targets that run requests and never answer them, each behind a gate.
struct Silent {
    cluster: Cluster,
    gates: Vec<Gate>,
}

impl Silent {
    async fn start(name: &str) -> Self {
        let mut cluster = Cluster::new(name).await;
        let mut gates = Vec::new();
        for number in 0..TARGETS {
            let id = format!("p{number}");
            cluster.add_target(&id, "app", "dc-a").await;
            let target = cluster.target(&id);
            target.set_behaviour(Behaviour::Unresponsive);
            let gate = Gate::start(target.address).await.unwrap();
            target.add_address(gate.address);
            cluster
                .store
                .put_target(&id, &target.announce(gate.address));
            gates.push(gate);
        }
        cluster.add_node("node-0", "dc-a");
        cluster.wait_until_ready().await;
        Self { cluster, gates }
    }

    /// Sends the same request once more; the target that runs it goes silent, and its entry is
    /// removed if `expires`. Returns the status.
    async fn send(&mut self, number: usize, expires: bool) -> u16 {
        let attempt = format!("silent-{number}");
        let sent = SentRequest {
            content: Some("silent".to_owned()),
            deadline_ms: 1_200,
            ..request(&attempt, Method::POST, WRITE_PATH, None)
        };
        let node = self.cluster.nodes[0].addresses.callers;
        let answer = tokio::spawn(async move { caller::send(node, &sent).await });
        let run_log = self.cluster.run_log.clone();
        wait_until("it runs or is answered", async || {
            answer.is_finished() || !run_log.runs_of(&attempt).is_empty()
        })
        .await;
        if let Some(run) = run_log.runs_of(&attempt).first() {
            let index: usize = run.target[1..].parse().unwrap();
            self.gates[index].set(Passage::Silent).await.unwrap();
            sleep(EXPIRY_TIME).await;
            if expires {
                self.cluster.store.remove_target(&run.target);
            }
        }
        answer.await.unwrap().code()
    }

    fn runs(&self) -> usize {
        self.cluster.run_log.runs().len()
    }
}

/// It took down one VM after another.
#[tokio::test]
async fn a_request_with_which_vms_go_silent_does_not_take_down_vm_after_vm() {
    let mut silent = Silent::start("silent-down").await;
    for number in 0..RUNS_UNTIL_BOUND {
        silent.send(number, true).await;
    }
    sleep(CONTACT_TIME).await;
    let runs = silent.runs();
    let mut last = 0;
    for number in RUNS_UNTIL_BOUND..TARGETS - 2 {
        last = silent.send(number, true).await;
    }
    assert!(silent.runs() - runs <= MAX_LATER_RUNS, "{}", silent.runs());
    assert_eq!(last, 503);
    silent.cluster.close();
}

/// Targets that are cut off, and go on with their heartbeats, accuse nothing.
#[tokio::test]
async fn a_request_whose_targets_are_cut_off_is_not_blocked() {
    let mut silent = Silent::start("silent-cut").await;
    for number in 0..RUNS_UNTIL_BOUND {
        silent.send(number, false).await;
    }
    sleep(CONTACT_TIME).await;
    let runs = silent.runs();
    silent.send(RUNS_UNTIL_BOUND, false).await;
    assert_eq!(silent.runs(), runs + 1);
    silent.cluster.close();
}

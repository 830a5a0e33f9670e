//! Targets that fall over if they have to refuse many requests in a second.

use std::time::Duration;

use filbertpaddle_adapter_standins::caller;
use filbertpaddle_adapter_standins::place::Brittle;
use http::Method;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::cluster::Cluster;
use crate::cluster::WRITE_PATH;
use crate::cluster::request;

/// Time in which nodes must take notice, as the users' deployments state it.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Number of falls that the users' deployments allow, with two targets.
const MAX_FALLS: usize = 2;
const CALLERS_PER_NODE: usize = 16;

impl Cluster {
    /// Sends writes to all nodes from many callers for a time; returns how many were served.
    async fn press(&self, prefix: &str, span: Duration) -> usize {
        let mut callers = JoinSet::new();
        for (node, running) in self.nodes.iter().enumerate() {
            for caller in 0..CALLERS_PER_NODE {
                let address = running.addresses.callers;
                let prefix = format!("{prefix}-{node}-{caller}");
                callers.spawn(async move {
                    let end = Instant::now() + span;
                    let mut served = 0;
                    for number in 0.. {
                        if Instant::now() >= end {
                            break;
                        }
                        let attempt = format!("{prefix}-{number}");
                        let sent = request(&attempt, Method::POST, WRITE_PATH, None);
                        let code = caller::send(address, &sent).await.code();
                        served += usize::from(code == 200);
                        sleep(Duration::from_millis(20)).await;
                    }
                    served
                });
            }
        }
        callers.join_all().await.into_iter().sum()
    }
}

/// Load pattern: more callers than the targets have places, at all nodes at once. Each node finds
/// the targets full by asking them.
#[tokio::test]
async fn nodes_do_not_make_brittle_targets_fall_over() {
    let mut cluster = Cluster::new("brittle").await;
    for id in ["p1", "p2"] {
        cluster.add_slow_target(id, "app", 60).await;
    }
    for number in 0..3 {
        cluster.add_node(&format!("node-{number}"), "dc-a");
    }
    cluster.wait_until_ready().await;
    cluster.wait_until_registered().await;
    let brittle = Brittle {
        places: 6,
        refusals_per_sec: 5,
    };
    for target in &cluster.targets {
        target.set_brittle(Some(brittle));
    }
    cluster.press("early", CONTACT_TIME).await;
    let before: usize = cluster.targets.iter().map(|target| target.falls()).sum();
    let served = cluster.press("later", Duration::from_secs(6)).await;
    let after: usize = cluster.targets.iter().map(|target| target.falls()).sum();
    assert!(after - before <= MAX_FALLS, "{} falls", after - before);
    // Two targets with six places of 60 ms each serve 200 a second at most.
    assert!(served >= 600, "{served} served in 6 s");
    println!("{} falls, {served} served", after - before);
    cluster.close();
}

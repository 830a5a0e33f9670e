//! A planned stop of a node lets its running requests finish.

mod common;

use common::caller;
use common::caller::Event;
use common::caller::Stream;
use common::fleet;
use common::fleet::Node;
use common::fleet::NodeSettings;
use common::fleet::Platform;
use common::fleet::StandIn;
use filbertpaddle_core::outcome::Outcome;
use filbertpaddle_core::outcome::Reason;

const STREAMS: usize = 20;

struct Deployment {
    _platform: Platform,
    _engine: StandIn,
    node: Node,
}

async fn start() -> Deployment {
    let mut platform = Platform::start();
    let engine = StandIn::start(&["engine", "--seed", "7", "--speed", "10"]);
    platform
        .seed(&[("summary", fleet::template("teacher"))])
        .await;
    platform
        .list_target("engine-1", "north", "teacher", engine.address)
        .await;
    let node = Node::start(&NodeSettings {
        name: "entry-1".to_owned(),
        data_centre: "north".to_owned(),
        platform: platform.standin.address,
        peers: Vec::new(),
        extra_yaml: String::new(),
    });
    node.ready().await;
    Deployment {
        _platform: platform,
        _engine: engine,
        node,
    }
}

#[tokio::test]
async fn terminated_node_finishes_running_requests_and_refuses_new_ones() {
    let mut deployment = start().await;
    let address = deployment.node.addresses.callers;
    let mut streams = Vec::new();
    while streams.len() < STREAMS {
        let text = format!("summary {}", streams.len());
        let response = caller::send(address, "summary", &text, None).await;
        if response.status() == 200 {
            streams.push(Stream::open(response));
        }
    }
    let idle = reqwest::Client::new();
    let readyz = format!("http://{address}/readyz");
    idle.get(&readyz).send().await.unwrap();

    deployment.node.process.terminate().unwrap();
    common::wait::until("the node reports that it is not ready", async || {
        let response = idle.get(&readyz).send().await.ok()?;
        (response.status() == 503).then_some(())
    })
    .await;
    let refused = caller::send(address, "summary", "late", None).await;
    assert!(refused.headers().contains_key("retry-after"));
    let outcome = caller::outcome(refused).await;
    assert!(
        matches!(
            outcome,
            Outcome::NotRun {
                reason: Reason::Draining,
                ..
            }
        ),
        "{outcome:?}"
    );

    for stream in streams {
        let (tokens, outcome) = stream.rest().await;
        let tokens = u32::try_from(tokens.len()).unwrap();
        assert_eq!(outcome, Some(Outcome::Complete { tokens }));
    }
    let status = tokio::task::spawn_blocking(move || deployment.node.process.wait().unwrap())
        .await
        .unwrap();
    assert!(status.success(), "{status:?}");
}

#[tokio::test]
async fn disconnected_caller_does_not_delay_the_stop() {
    let mut deployment = start().await;
    let address = deployment.node.addresses.callers;
    let mut stream = common::wait::until("a stream is open", async || {
        let response = caller::send(address, "summary", "left", None).await;
        (response.status() == 200).then(|| Stream::open(response))
    })
    .await;
    assert!(matches!(stream.next().await, Some(Event::Start { .. })));
    drop(stream);
    deployment.node.process.terminate().unwrap();
    let status = tokio::task::spawn_blocking(move || deployment.node.process.wait().unwrap())
        .await
        .unwrap();
    assert!(status.success(), "{status:?}");
}

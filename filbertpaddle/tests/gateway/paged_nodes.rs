//! A list of nodes that the store returns in several pages.

use std::net::SocketAddr;

use filbertpaddle_adapter_standins::http::Body;
use filbertpaddle_adapter_standins::http::ConnectionAborted;
use filbertpaddle_adapter_standins::http::Server;
use filbertpaddle_adapter_standins::http::full_body;
use filbertpaddle_adapter_standins::http::query_value;
use filbertpaddle_adapter_standins::http::read_body;
use filbertpaddle_standins::loopback::next_host;
use http::HeaderName;
use http::Method;
use http::Response;
use http::Uri;
use http::request::Parts;
use serde_json::Value;

use crate::cluster::Cluster;
use crate::cluster::READ_PATH;
use crate::cluster::request;
use crate::cluster::wait_until;

const NODES: usize = 5;
const PAGE_ROWS: usize = 2;
const ERA: &str = "store-era";

/// Starts a server that passes calls on to a store and returns the list of nodes in small pages.
async fn start_paging(store: SocketAddr) -> std::io::Result<Server> {
    Server::start(next_host().into(), move |request| async move {
        let (head, body) = request.into_parts();
        let body = read_body(body).await?;
        let answer = call_store(store, &head, body.to_vec()).await;
        answer.map_err(|_| ConnectionAborted)
    })
    .await
}

async fn call_store(
    store: SocketAddr,
    head: &Parts,
    body: Vec<u8>,
) -> reqwest::Result<Response<Body>> {
    let is_nodes = head.uri.path() == "/rows-get"
        && query_value(&head.uri, "table").as_deref() == Some("nodes");
    let path = if is_nodes {
        "/rows-get?table=nodes&part="
    } else {
        head.uri.path_and_query().unwrap().as_str()
    };
    let url = format!("http://{store}{path}");
    let client = reqwest::Client::new();
    let answer = client
        .request(head.method.clone(), url)
        .body(body)
        .send()
        .await?;
    let (status, era) = (answer.status(), answer.headers().get(ERA).cloned());
    let mut bytes = answer.bytes().await?.to_vec();
    if is_nodes {
        bytes = page(&bytes, &head.uri);
    }
    let mut response = Response::new(full_body(bytes));
    *response.status_mut() = status;
    response
        .headers_mut()
        .extend(era.map(|era| (HeaderName::from_static(ERA), era)));
    Ok(response)
}

/// Returns the page of all rows that starts at the key in a call.
fn page(all: &[u8], call: &Uri) -> Vec<u8> {
    let mut answer: Value = serde_json::from_slice(all).unwrap();
    let from = query_value(call, "from")
        .unwrap_or_default()
        .replace("%00", "\0");
    let rows = answer["rows"].as_array_mut().unwrap();
    rows.retain(|row| row["key"].as_str().unwrap() >= from.as_str());
    let has_more = rows.len() > PAGE_ROWS;
    rows.truncate(PAGE_ROWS);
    answer["more_pages"] = has_more.into();
    answer.to_string().into_bytes()
}

/// A target's rate is divided among the nodes, so that a node that misses some takes too much.
#[tokio::test]
async fn nodes_on_further_pages_of_the_list_are_known() {
    let mut cluster = Cluster::with_nodes("paged-nodes", 0).await;
    let paging = start_paging(cluster.store.address).await.unwrap();
    for index in 0..NODES {
        let mut options = cluster.node_options(&format!("node-{index}"), "dc-a");
        options.store = paging.address;
        cluster.start_node(&options);
    }
    cluster.wait_until_ready().await;
    cluster.wait_until_registered().await;
    let expected = format!("\"nodes\":{NODES}");
    wait_until("a node divides the rate by all nodes", async || {
        // The number of nodes is logged with each change.
        for rate in ["100", "200"] {
            cluster
                .targets
                .iter()
                .for_each(|target| target.set_rate_limit(Some(rate)));
            cluster
                .send(&request("r", Method::GET, READ_PATH, None))
                .await;
        }
        let log = cluster.log("node-0");
        let mut lines = log
            .lines()
            .filter(|line| line.contains("rate limit of target changed"));
        lines.any(|line| line.contains(&expected))
    })
    .await;
    paging.close();
    cluster.close();
}

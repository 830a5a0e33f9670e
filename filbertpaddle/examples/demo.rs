//! Runs two nodes with stand-ins in one process and prints the stream of a generation
//! from each node.
//!
//! Run with `cargo run --example demo`.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use data_encoding::HEXLOWER;
use eyre::OptionExt;
use filbertpaddle::config_table;
use filbertpaddle::log;
use filbertpaddle::node::Node;
use filbertpaddle::settings;
use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::config::Change;
use filbertpaddle_core::config::ChangeId;
use filbertpaddle_core::config::Record;
use filbertpaddle_core::config::Setting;
use filbertpaddle_core::revision::Revision;
use filbertpaddle_platform::protocol::Transaction;
use filbertpaddle_platform::protocol::Vm;
use filbertpaddle_platform::protocol::VmList;
use filbertpaddle_platform::protocol::VmRole;
use filbertpaddle_standins::engine;
use filbertpaddle_standins::engine::Engine;
use filbertpaddle_standins::platform::Platform;
use futures_util::StreamExt;
use sha2::Digest;
use sha2::Sha256;

const CUSTOMER_KEY: &str = "key-of-the-school";
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

#[tokio::main]
async fn main() -> eyre::Result<()> {
    let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let platform = Platform::start(any).await?;
    let engine = Engine::start(engine::Settings::default()).await?;
    platform.set_vms(vm_list(engine.address));
    platform.transact(configuration()?);

    let first = start_node("entry-1", platform.address, &[]).await?;
    let peers = [first.addresses().peers];
    let second = start_node("entry-2", platform.address, &peers).await?;
    println!("a platform, an engine and two nodes run in this process");

    for node in [&first, &second] {
        println!(
            "\nrequesting a generation from {}:",
            node.addresses().callers
        );
        request_generation(node.addresses().callers).await?;
    }
    first.close().await;
    second.close().await;
    engine.close().await;
    platform.close().await;
    Ok(())
}

async fn start_node(name: &str, platform: SocketAddr, peers: &[SocketAddr]) -> eyre::Result<Node> {
    let peers: Vec<String> = peers.iter().map(ToString::to_string).collect();
    let text = format!(
        "node: {{name: {name}, data_centre: north}}
listen: {{callers: '127.0.0.1:0', operators: '127.0.0.1:0', peers: '127.0.0.1:0'}}
peers: [{}]
platform: {{address: '{platform}'}}
secrets: {{peer: a-peer-secret-for-the-demo, ticket: a-ticket-secret-for-the-demo}}
log: {{level: warning}}",
        peers.join(", "),
    );
    let settings = settings::parse(&text)?;
    let log = log::open(settings.log);
    Node::start(settings, log).await
}

fn vm_list(engine: SocketAddr) -> VmList {
    let vm = Vm {
        name: "engine-1".into(),
        data_centre: "north".into(),
        role: VmRole::Target,
        address: engine.to_string().into(),
        model: "teacher".into(),
        leaving: false,
    };
    VmList { vms: vec![vm] }
}

fn configuration() -> eyre::Result<Transaction> {
    let digest = HEXLOWER.encode(&Sha256::digest(CUSTOMER_KEY.as_bytes()));
    let customer = Setting::Customer {
        name: "school".into(),
        customer: serde_json::from_value(serde_json::json!({"key_sha256": [digest]}))?,
    };
    let template = serde_json::json!({
        "model": "teacher",
        "prompt": "Draft an end-of-term summary.",
        "parameters": ["pupil"],
        "max_tokens": 60,
    });
    let template = Setting::Template {
        customer: "school".into(),
        name: "summary".into(),
        template: Box::new(serde_json::from_value(template)?),
    };
    let mut transaction = Transaction::default();
    for (revision, setting) in (1..).zip([customer, template]) {
        transaction
            .writes
            .extend(config_table::record_writes(&record(revision, setting))?);
    }
    Ok(transaction)
}

fn record(revision: u64, setting: Setting) -> Record {
    let change = Change {
        revision: Revision(revision),
        id: ChangeId(revision),
        by: "installer".into(),
        at_ms: Millis::ZERO,
        setting,
    };
    Record {
        change,
        before: None,
    }
}

async fn request_generation(node: SocketAddr) -> eyre::Result<()> {
    let body = serde_json::json!({
        "template": "summary",
        "parameters": {"pupil": "reads well, is shy in class"},
    });
    let client = reqwest::Client::new();
    loop {
        let request = client
            .post(format!("http://{node}/v1/requests"))
            .bearer_auth(CUSTOMER_KEY)
            .json(&body);
        let response = request.send().await?;
        if response.status().is_success() {
            return print_stream(response).await;
        }
        // A node refuses requests until it has read the list of targets.
        tokio::time::sleep(RETRY_INTERVAL).await;
    }
}

async fn print_stream(response: reqwest::Response) -> eyre::Result<()> {
    let mut text = String::new();
    let mut stream = response.bytes_stream();
    while let Some(bytes) = stream.next().await {
        text.push_str(std::str::from_utf8(&bytes?)?);
        while let Some((event, rest)) = text.split_once("\n\n") {
            print_event(event)?;
            text = rest.to_owned();
        }
    }
    Ok(())
}

fn print_event(event: &str) -> eyre::Result<()> {
    let data = event
        .lines()
        .find_map(|line| line.strip_prefix("data:"))
        .ok_or_eyre("event without a `data` line")?;
    let value: serde_json::Value = serde_json::from_str(data)?;
    match value.get("text").and_then(serde_json::Value::as_str) {
        Some(token) => print!("{token}"),
        None => println!("\n{data}"),
    }
    Ok(())
}

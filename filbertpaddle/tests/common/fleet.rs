//! Starts nodes and stand-ins in processes of their own.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use data_encoding::HEXLOWER;
use filbertpaddle::config_table;
use filbertpaddle::node::Addresses;
use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::config::Change;
use filbertpaddle_core::config::ChangeId;
use filbertpaddle_core::config::Record;
use filbertpaddle_core::config::Setting;
use filbertpaddle_core::revision::Revision;
use filbertpaddle_core::template::Template;
use filbertpaddle_platform::client::Client;
use filbertpaddle_platform::protocol::Transaction;
use filbertpaddle_platform::protocol::Vm;
use filbertpaddle_platform::protocol::VmList;
use filbertpaddle_platform::protocol::VmRole;
use filbertpaddle_standins::loopback::next_host;
use filbertpaddle_standins::process::Process;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use sha2::Digest;
use sha2::Sha256;

use super::wait;

pub const CUSTOMER: &str = "school-1";
pub const CUSTOMER_KEY: &str = "key-of-school-1";
pub const OPERATOR: &str = "anna";
pub const OPERATOR_TOKEN: &str = "token-of-anna";
const PEER_SECRET: &str = "peer-secret-for-tests";
const TICKET_SECRET: &str = "ticket-secret-for-tests";
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(5);

static NEXT_FILE: AtomicU32 = AtomicU32::new(0);

/// The line that a stand-in prints when it is ready.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct Ready {
    pub address: SocketAddr,
    pub control: SocketAddr,
}

/// A stand-in in a process of its own.
#[derive(Debug)]
pub struct StandIn {
    pub process: Process,
    pub address: SocketAddr,
    pub control: SocketAddr,
}

impl StandIn {
    pub fn start(args: &[&str]) -> Self {
        let process = Process::start(&standin_program(), args).unwrap();
        let ready: Ready = process.ready().unwrap();
        Self {
            process,
            address: ready.address,
            control: ready.control,
        }
    }

    /// Posts a body to the control port.
    pub async fn control<T>(&self, path: &str, body: &T)
    where
        T: serde::Serialize + ?Sized,
    {
        let url = format!("http://{}/control/{path}", self.control);
        let response = reqwest::Client::new()
            .post(url)
            .json(body)
            .send()
            .await
            .unwrap();
        assert!(response.status().is_success(), "{response:?}");
    }

    /// Reads from the control port.
    pub async fn read<T>(&self, path: &str) -> T
    where
        T: DeserializeOwned,
    {
        let url = format!("http://{}/control/{path}", self.control);
        reqwest::get(url).await.unwrap().json().await.unwrap()
    }
}

/// A node in a process of its own.
#[derive(Debug)]
pub struct Node {
    pub name: String,
    pub process: Process,
    pub addresses: Addresses,
}

/// Settings of a node under test.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    pub name: String,
    pub data_centre: String,
    /// Address of the platform, or of a proxy in front of it.
    pub platform: SocketAddr,
    pub peers: Vec<SocketAddr>,
    /// YAML appended to the settings file.
    pub extra_yaml: String,
}

impl Node {
    pub fn start(settings: &NodeSettings) -> Self {
        let path = write_settings(settings);
        let program = Path::new(env!("CARGO_BIN_EXE_filbertpaddle"));
        let process = Process::start(program, ["serve".as_ref(), path.as_os_str()]).unwrap();
        let addresses = process.ready().unwrap();
        Self {
            name: settings.name.clone(),
            process,
            addresses,
        }
    }

    /// Waits until the node reports that it is ready for requests.
    pub async fn ready(&self) {
        let url = format!("http://{}/readyz", self.addresses.callers);
        wait::until("node ready", async || {
            let response = reqwest::get(&url).await.ok()?;
            response.status().is_success().then_some(())
        })
        .await;
    }
}

/// A platform stand-in with its client and VM list.
#[derive(Debug)]
pub struct Platform {
    pub standin: StandIn,
    pub client: Client,
    vms: Vec<Vm>,
}

impl Platform {
    pub fn start() -> Self {
        let standin = StandIn::start(&["platform"]);
        let base = format!("http://{}", standin.address);
        let client = Client::new(base, PLATFORM_TIMEOUT);
        Self {
            standin,
            client,
            vms: Vec::new(),
        }
    }

    /// Adds a target to the VM list.
    pub async fn list_target(
        &mut self,
        name: &str,
        data_centre: &str,
        model: &str,
        address: SocketAddr,
    ) {
        self.vms.push(Vm {
            name: name.into(),
            data_centre: data_centre.into(),
            role: VmRole::Target,
            address: address.to_string().into(),
            model: model.into(),
            leaving: false,
        });
        self.publish_vms().await;
    }

    /// Changes one VM of the list.
    pub async fn change_vm<F>(&mut self, name: &str, change: F)
    where
        F: FnOnce(&mut Vm),
    {
        let vm = self.vms.iter_mut().find(|vm| vm.name == name).unwrap();
        change(vm);
        self.publish_vms().await;
    }

    async fn publish_vms(&self) {
        let list = VmList {
            vms: self.vms.clone(),
        };
        self.standin.control("vms", &list).await;
    }

    /// Writes the customer and templates; called before any node starts.
    pub async fn seed(&self, templates: &[(&str, Template)]) {
        let digest = HEXLOWER.encode(&Sha256::digest(CUSTOMER_KEY.as_bytes()));
        let customer = serde_json::json!({"key_sha256": [digest]});
        let mut settings = vec![Setting::Customer {
            name: CUSTOMER.into(),
            customer: serde_json::from_value(customer).unwrap(),
        }];
        settings.extend(templates.iter().map(|(name, template)| Setting::Template {
            customer: CUSTOMER.into(),
            name: (*name).into(),
            template: Box::new(template.clone()),
        }));
        let writes = (1..)
            .zip(settings)
            .flat_map(|(revision, setting)| {
                config_table::record_writes(&record(revision, setting)).unwrap()
            })
            .collect();
        let transaction = Transaction {
            conditions: Vec::new(),
            writes,
        };
        self.client.transact(&transaction).await.unwrap();
    }
}

/// A template for tests with one parameter, `text`.
pub fn template(model: &str) -> Template {
    let template = serde_json::json!({"model": model, "parameters": ["text"]});
    serde_json::from_value(template).unwrap()
}

/// Returns the path of the stand-in program, which is built next to the node's.
pub fn standin_program() -> PathBuf {
    let path =
        Path::new(env!("CARGO_BIN_EXE_filbertpaddle")).with_file_name("filbertpaddle-standin");
    assert!(path.exists(), "run `cargo build --workspace` first");
    path
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

fn write_settings(settings: &NodeSettings) -> PathBuf {
    let peers: Vec<String> = settings.peers.iter().map(ToString::to_string).collect();
    let token = HEXLOWER.encode(&Sha256::digest(OPERATOR_TOKEN.as_bytes()));
    let ip = next_host();
    let text = format!(
        "node: {{name: {}, data_centre: {}}}
listen: {{callers: '{ip}:0', operators: '{ip}:0', peers: '{ip}:0'}}
peers: [{}]
platform: {{address: '{}', timeout_ms: 1000}}
secrets: {{peer: {PEER_SECRET}, ticket: {TICKET_SECRET}}}
operators: [{{name: {OPERATOR}, token_sha256: {token}}}]
log: {{level: debug}}
{}",
        settings.name,
        settings.data_centre,
        peers.join(", "),
        settings.platform,
        settings.extra_yaml,
    );
    let number = NEXT_FILE.fetch_add(1, Ordering::Relaxed);
    let file = format!("{}-{}-{number}.yaml", settings.name, std::process::id());
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(file);
    fs::write(&path, text).unwrap();
    path
}

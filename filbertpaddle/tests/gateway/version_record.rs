//! The store's record of software versions while its row changes without the nodes' doing.

use std::time::Duration;

use serde_json::Value;
use serde_json::json;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::cluster::Cluster;
use crate::cluster::wait_until;
use crate::version_streams::OLD;

/// Time within which a reader has read the record again; less than streams last.
const REREAD_TIMEOUT: Duration = Duration::from_secs(80);

impl Cluster {
    /// Starts a node and the target `first`, and waits until its version is recorded.
    async fn with_recorded_version(name: &str) -> Self {
        let mut cluster = Self::new(name).await;
        cluster.add_engine("first", OLD).await;
        cluster.add_node("node-0", "dc-a");
        cluster.wait_until_ready().await;
        cluster.wait_until_registered().await;
        wait_until("the version is recorded", async || cluster.is_listed()).await;
        cluster
    }

    fn recorded(&self) -> Value {
        self.store.version_record().unwrap_or_default()
    }

    /// Returns whether the only version is recorded as one that may begin streams.
    fn is_listed(&self) -> bool {
        let recorded = self.recorded();
        let versions = recorded["versions"].as_array();
        versions.is_some_and(|versions| versions.len() == 1 && versions[0]["gone_ms"].is_null())
    }
}

/// No stream can be resumed by a record of an earlier era.
#[tokio::test]
async fn the_record_is_written_anew_after_a_rollback_that_changes_no_target() {
    let cluster = Cluster::with_recorded_version("record-era").await;
    cluster.store.copy_rows();
    cluster.store.roll_back();
    wait_until("the record is of the new era", async || {
        cluster.recorded()["era"] == json!(1)
    })
    .await;
    assert!(cluster.recorded()["complete_from_ms"].is_u64());
    assert!(cluster.is_listed());
    cluster.close();
}

/// What the lost record had is not known, whichever node writes it again.
#[tokio::test]
async fn a_record_that_a_rollback_lost_is_not_taken_for_the_first() {
    let cluster = Cluster::with_recorded_version("record-lost").await;
    assert!(cluster.recorded()["complete_from_ms"].is_null());
    cluster.store.roll_back();
    // The targets of the copy have another version.
    cluster.store.put_target("first", &{
        let first = cluster.target("first");
        let mut entry = first.announce(first.address);
        entry["version"] = json!("v2");
        entry
    });
    wait_until("the version is recorded again", async || {
        cluster.recorded()["versions"] != json!(null)
    })
    .await;
    assert!(
        cluster.recorded()["complete_from_ms"].is_u64(),
        "{}",
        cluster.recorded()
    );
    cluster.close();
}

/// A reader's write, or one of a reader that ends before its list is up to date, is performed
/// after the others have read the record.
#[tokio::test]
async fn a_listed_version_does_not_stay_recorded_as_gone() {
    let cluster = Cluster::with_recorded_version("record-late-write").await;
    let mut record = cluster.recorded();
    record["versions"][0]["gone_ms"] = json!(1);
    cluster.store.put_version_record(&record);
    assert!(!cluster.is_listed());
    let listed_again = timeout(REREAD_TIMEOUT, async {
        while !cluster.is_listed() {
            sleep(Duration::from_millis(100)).await;
        }
    });
    assert!(listed_again.await.is_ok(), "{}", cluster.recorded());
    cluster.close();
}

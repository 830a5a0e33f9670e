//! Background tasks that feed a coordinator: timer, peer messages, VM list and
//! record.

use std::time::Duration;

use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::name::Name;
use filbertpaddle_platform::client::Client;
use tokio::sync::mpsc;
use xtra::Handler;
use xtra::WeakAddress;

use crate::clock;
use crate::clock::Clock;
use crate::coordinator::Coordinator;
use crate::coordinator_messages::IsRecordReader;
use crate::coordinator_messages::RecordRead;
use crate::coordinator_messages::Tick;
use crate::coordinator_messages::VmsListed;
use crate::inbox::Incoming;
use crate::record;

const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Interval between two reads of the VM list.
const VM_LIST_INTERVAL: Duration = Duration::from_secs(1);
/// Interval between two reads of the record.
const RECORD_READ_INTERVAL_MS: Millis = Millis(500);

pub(crate) async fn tick(actor: WeakAddress<Coordinator>) {
    while actor.send(Tick).await.is_ok() {
        tokio::time::sleep(TICK_INTERVAL).await;
    }
}

pub(crate) async fn forward<M>(
    actor: WeakAddress<Coordinator>,
    mut inbox: mpsc::Receiver<Incoming<M>>,
) where
    M: Send + 'static,
    Coordinator: Handler<Incoming<M>, Return = ()>,
{
    while let Some(from) = inbox.recv().await {
        if actor.send(from).await.is_err() {
            return;
        }
    }
}

// The coordinator keeps the last list while the platform is unavailable.
pub(crate) async fn poll_vms(actor: WeakAddress<Coordinator>, platform: Client) {
    while actor.is_connected() {
        if let Ok(list) = platform.vms().await {
            actor.send(VmsListed(list.vms)).await.ok();
        }
        tokio::time::sleep(VM_LIST_INTERVAL).await;
    }
}

pub(crate) async fn poll_record(
    actor: WeakAddress<Coordinator>,
    platform: Client,
    data_centre: Name,
    clock: Clock,
) {
    while let Ok(is_reader) = actor.send(IsRecordReader).await {
        if is_reader {
            let requested_ms = clock.now();
            let record = record::read(&platform, &data_centre).await.ok();
            actor
                .send(RecordRead {
                    requested_ms,
                    record,
                })
                .await
                .ok();
        }
        tokio::time::sleep(clock::duration(RECORD_READ_INTERVAL_MS)).await;
    }
}

//! Node lists from a file that is polled.

use super::MAX_LIST_BYTES;
use crate::messages::DriverEvent;
use crate::node_list::NodeList;
use crate::telemetry::{add, Telemetry};
use async_channel::Sender;
use chalkgap_runtime::{Micros, Shared};
use std::path::PathBuf;
use std::sync::Arc;

/// Polls a file every `poll_interval` microseconds and passes each changed list to the driver, until the instance
/// stops.
pub(crate) async fn watch(
    runtime: Shared,
    telemetry: Arc<Telemetry>,
    path: PathBuf,
    poll_interval: Micros,
    driver: Sender<DriverEvent>,
) {
    let mut last_stamp = None;
    let mut last_error = String::new();
    loop {
        let changed_list = async {
            let stamp = runtime.files().stamp(&path).await.map_err(|error| error.to_string())?;
            if last_stamp == Some(stamp) {
                return Ok(None);
            }
            let bytes = runtime.files().read(&path, MAX_LIST_BYTES).await;
            let bytes = bytes.map_err(|error| error.to_string())?;
            // A write during the read changes the stamp again, so that the next poll reads the file again.
            let list = NodeList::parse(&bytes).map_err(|error| error.to_string());
            last_stamp = Some(stamp);
            list.map(Some)
        };
        match changed_list.await {
            Ok(Some(list)) => {
                last_error.clear();
                let event = DriverEvent::NodeList { list: Box::new(list), cached: false };
                if driver.send(event).await.is_err() {
                    return;
                }
            }
            Ok(None) => {}
            // An error that persists is logged and counted once, not at every poll.
            Err(error) if error == last_error => {}
            Err(error) => {
                add(&telemetry.lists_bad);
                tracing::warn!(path = %path.display(), %error, "node list not read, keeping the last one");
                last_error = error;
            }
        }
        runtime.sleep_until(runtime.now() + poll_interval).await;
    }
}

//! Cache file of the last node list, which the next start of the instance reads.

use super::MAX_LIST_BYTES;
use crate::node_list::NodeList;
use async_channel::Receiver;
use chalkgap_runtime::Shared;
use std::path::{Path, PathBuf};

/// Loads the cached list. Returns `None` if there is none, or if it cannot be read or is invalid.
pub(crate) async fn load(runtime: &Shared, path: &Path) -> Option<NodeList> {
    let bytes = match runtime.files().read(path, MAX_LIST_BYTES).await {
        Ok(bytes) => bytes,
        Err(error) if error.kind() == std::io::ErrorKind::NotFound => return None,
        Err(error) => {
            tracing::warn!(path = %path.display(), %error, "cached node list not read, starting without");
            return None;
        }
    };
    match NodeList::parse(&bytes) {
        Ok(list) => Some(list),
        Err(error) => {
            tracing::warn!(path = %path.display(), %error, "cached node list is invalid, starting without");
            None
        }
    }
}

/// Stores lists until their sender is dropped. Of several that arrive during a write, only the newest is stored.
pub(crate) async fn store_lists(runtime: Shared, path: PathBuf, lists: Receiver<NodeList>) {
    while let Ok(mut list) = lists.recv().await {
        while let Ok(newer) = lists.try_recv() {
            list = newer;
        }
        let Ok(bytes) = serde_json::to_vec(&list) else { continue }; // cannot fail: a list is plain data
        if let Err(error) = runtime.files().replace(&path, bytes).await {
            tracing::warn!(path = %path.display(), %error, "node list not cached");
        }
    }
}

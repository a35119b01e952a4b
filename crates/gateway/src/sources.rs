//! Where node lists come from, and where the last one is kept.

use crate::driver::Input;
use crate::nodes::{Book, NodeList};
use crate::telemetry::{add, Telemetry};
use async_channel::Sender;
use chalkgap_runtime::{Micros, Shared};
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// Bytes of a list: some ten thousand nodes.
const MOST_LIST: u64 = 16 << 20;

/// The list that was kept; none where there is none, or it cannot be read.
pub(crate) async fn cached(runtime: &Shared, book: &Book, path: &Path) -> Option<NodeList> {
    let bytes = match runtime.files().read(path, MOST_LIST).await {
        Ok(bytes) => bytes,
        Err(e) if e.kind() == std::io::ErrorKind::NotFound => return None,
        Err(e) => {
            tracing::warn!(path = %path.display(), error = %e, "kept node list not read, starting without");
            return None;
        }
    };
    match book.parse(&bytes) {
        Ok(list) => Some(list),
        Err(e) => {
            tracing::warn!(path = %path.display(), error = %e, "kept node list is broken, starting without");
            None
        }
    }
}

/// Keeps lists: the newest of those that come while one is written.
pub(crate) async fn keep(runtime: Shared, path: PathBuf, lists: async_channel::Receiver<NodeList>) {
    while let Ok(mut list) = lists.recv().await {
        while let Ok(newer) = lists.try_recv() {
            list = newer;
        }
        let Ok(bytes) = serde_json::to_vec(&list) else { continue }; // plain data: it always has a form
        if let Err(e) = runtime.files().replace(&path, bytes).await {
            tracing::warn!(path = %path.display(), error = %e, "node list not kept");
        }
    }
}

/// Looks at a file again and again and tells each change of it.
pub(crate) async fn watch_file(
    runtime: Shared,
    book: Book,
    telemetry: Arc<Telemetry>,
    path: PathBuf,
    every: Micros,
    driver: Sender<Input>,
) {
    let (mut seen, mut said) = (None, String::new());
    loop {
        let found = async {
            let stamp = runtime.files().stamp(&path).await.map_err(|e| e.to_string())?;
            if seen == Some(stamp) {
                return Ok(None);
            }
            let bytes = runtime.files().read(&path, MOST_LIST).await.map_err(|e| e.to_string())?;
            // Read again next time if it changed under the reader: a torn list does not parse, or is replaced.
            let list = book.parse(&bytes).map_err(|e| e.to_string());
            seen = Some(stamp);
            list.map(Some)
        };
        match found.await {
            Ok(Some(list)) => {
                said.clear();
                if driver.send(Input::Nodes { list: Box::new(list), cached: false }).await.is_err() {
                    return;
                }
            }
            Ok(None) => {}
            Err(e) if e != said => {
                add(&telemetry.lists_bad);
                tracing::warn!(path = %path.display(), error = %e, "node list not read, the last one stays");
                said = e;
            }
            Err(_) => {}
        }
        runtime.sleep_until(runtime.now() + every).await;
    }
}

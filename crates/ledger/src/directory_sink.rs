//! A directory as the consumer of batches, with one file per batch, named by stream and number. Files are created
//! atomically: the first exporter that creates the file of a number has delivered that batch.

use crate::entry::Batch;
use crate::export::ConsumerReply;
use chalkgap_runtime::Shared;
use prost::Message;
use std::path::Path;

/// Maximum number of bytes read of a batch file.
pub const MAX_BATCH_BYTES: u64 = 8 << 20;

/// Returns the file name of a batch.
pub fn batch_file_name(stream: &str, number: u64) -> String {
    format!("{stream}.{number:012}.batch")
}

/// Creates the file of a batch, unless a file of that stream and number exists. Returns the reply of a consumer.
pub async fn deliver(runtime: &Shared, directory: &Path, batch: &Batch) -> ConsumerReply {
    let files = runtime.files();
    let Ok(names) = files.names(directory).await else { return ConsumerReply::None };
    let exists = |number: u64| names.binary_search(&batch_file_name(&batch.stream, number)).is_ok();
    if batch.number > 1 && !exists(batch.number - 1) {
        let last = (1..batch.number).rev().find(|number| exists(*number)).unwrap_or(0);
        return ConsumerReply::Gap { last };
    }
    let path = directory.join(batch_file_name(&batch.stream, batch.number));
    match files.create(&path, batch.encode_to_vec()).await {
        Ok(true) => ConsumerReply::Stored,
        Ok(false) => {
            let stored = files.read(&path, MAX_BATCH_BYTES).await.ok();
            let stored = stored.and_then(|bytes| Batch::decode(&bytes[..]).ok());
            stored.map_or(ConsumerReply::None, |stored| ConsumerReply::of_stored(batch, stored))
        }
        Err(_) => ConsumerReply::None,
    }
}

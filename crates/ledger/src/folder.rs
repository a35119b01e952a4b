//! A folder as a consumer of batches: a file for each, named by stream and number. Whoever makes the file of a number
//! first has handed it over; a file is whole or not there.

use crate::entry::Batch;
use crate::export::Word;
use chalkgap_runtime::Shared;
use prost::Message;
use std::path::Path;

/// Bytes of a batch.
pub const MOST: u64 = 8 << 20;

/// The file of a batch.
pub fn name(stream: &str, number: u64) -> String {
    format!("{stream}.{number:012}.batch")
}

/// Hands a batch over.
pub async fn hand(runtime: &Shared, folder: &Path, batch: &Batch) -> Word {
    let files = runtime.files();
    let Ok(names) = files.names(folder).await else { return Word::None };
    let there = |number: u64| names.binary_search(&name(&batch.stream, number)).is_ok();
    if batch.number > 1 && !there(batch.number - 1) {
        let last = (1..batch.number).rev().find(|n| there(*n)).unwrap_or(0);
        return Word::Ahead(last);
    }
    let path = folder.join(name(&batch.stream, batch.number));
    match files.create(&path, batch.encode_to_vec()).await {
        Ok(true) => Word::Taken,
        Ok(false) => {
            let there = files.read(&path, MOST).await.ok().and_then(|b| Batch::decode(&b[..]).ok());
            match there {
                Some(there) if there == *batch => Word::Taken,
                Some(there) => Word::Other(there),
                None => Word::None,
            }
        }
        Err(_) => Word::None,
    }
}

//! No bytes from a client, a backend or discovery cause a panic.

use crate::backend_replies::decode;
use crate::builders::parser;
use crate::discovery_responses::{chunked, responses};
use crate::sessions::receive_requests;
use chalkgap_platform::session::Session;
use proptest::prelude::*;
use std::sync::Arc;

proptest! {
    #[test]
    fn no_bytes_panic(bytes in proptest::collection::vec(any::<u8>(), 0..300), chunk_size in 1usize..40) {
        let _ = responses(&bytes, chunk_size);
        let _ = responses(&[&chunked(&["{\"a\":"])[..], &bytes].concat(), chunk_size);
        let _ = decode(&[&b"*3\r\n$1\r\nv\r\n$-1\r\n"[..], &bytes].concat());
        let mut session = Session::new(Arc::new(parser()));
        bytes.chunks(chunk_size).for_each(|chunk| drop(receive_requests(&mut session, chunk)));
    }
}

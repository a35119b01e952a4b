//! No bytes from a client, a backend or discovery cause a panic.

use crate::backend_replies::answer;
use crate::builders::parser;
use crate::discovery_responses::{chunked, responses};
use crate::sessions::hear;
use chalkgap_platform::session::Session;
use proptest::prelude::*;
use std::sync::Arc;

proptest! {
    #[test]
    fn no_bytes_panic(bytes in proptest::collection::vec(any::<u8>(), 0..300), cut in 1usize..40) {
        let _ = responses(&bytes, cut);
        let _ = responses(&[&chunked(&["{\"a\":"])[..], &bytes].concat(), cut);
        let _ = answer(&[&b"*3\r\n$1\r\nv\r\n$-1\r\n"[..], &bytes].concat());
        let mut session = Session::new(Arc::new(parser()));
        bytes.chunks(cut).for_each(|piece| drop(hear(&mut session, piece)));
    }
}

//! Peers that leave while nothing is read from them.

use chalkgap_runtime::system::System;
use chalkgap_runtime::Runtime;
use chalkgap_transport::Pipe;
use chalkgap_wire::http2::{Config, Connection};
use futures_lite::{future, AsyncWriteExt};

/// The receiver of requests has no capacity, and the client leaves with bytes unread: nothing is handed over for it when
/// there is capacity again. For a client that stays it is.
#[test]
fn nothing_is_handed_over_for_a_peer_that_has_left() {
    let system = System::new();
    system.clone().run(async move {
        let listener = system.listen(([127, 0, 0, 1], 0).into()).unwrap();
        for stays in [true, false] {
            let mut near = system.connect(listener.address()).await.unwrap();
            let far = listener.accept().await.unwrap();
            near.write_all(b"unread").await.unwrap();
            let (_commands, none) = async_channel::bounded::<()>(1);
            let (_keep, signal) = async_channel::bounded(1);
            let conn = Connection::server(Config::default());
            let mut pipe = Pipe::new(system.clone(), far, conn, none, signal);
            let (to, requests) = async_channel::bounded(1);
            assert_eq!(pipe.hand_over(&to, 1).await, Some(true));
            let handed = pipe.hand_over(&to, 2);
            let other = async {
                if !stays {
                    drop(near);
                    system.sleep_until(system.now() + 90_000).await; // it may be noticed as late as this
                }
                assert_eq!(requests.recv().await, Ok(1)); // there is capacity
            };
            let (handed, ()) = future::zip(handed, other).await;
            assert_eq!(
                (handed, requests.try_recv().ok()),
                if stays { (Some(true), Some(2)) } else { (None, None) }
            );
            drop(requests);
            assert_eq!(pipe.hand_over(&to, 3).await, Some(false));
        }
    });
}

//! Detection of peers that leave while nothing is read from their streams.

use chalkgap_runtime::system::System;
use chalkgap_runtime::Runtime;
use chalkgap_transport::Pipe;
use chalkgap_wire::http2::{Config, Connection};
use futures_lite::{future, AsyncWriteExt};

/// The channel of requests is full, and the client leaves while the server has unread bytes of it. When the channel has
/// capacity again, the client's request must not be sent. The request of a client that stays is sent.
#[test]
fn no_request_is_handed_over_for_a_client_that_has_left() {
    let system = System::new();
    system.clone().run(async move {
        let listener = system.listen(([127, 0, 0, 1], 0).into()).unwrap();
        for client_stays in [true, false] {
            let mut client_stream = system.connect(listener.address()).await.unwrap();
            let server_stream = listener.accept().await.unwrap();
            client_stream.write_all(b"unread").await.unwrap();
            let (_command_sender, commands) = async_channel::bounded::<()>(1);
            let (_signal_sender, signal) = async_channel::bounded(1);
            let conn = Connection::server(Config::default());
            let mut pipe = Pipe::new(system.clone(), server_stream, conn, commands, signal);
            let (request_sender, requests) = async_channel::bounded(1);
            assert_eq!(pipe.hand_over(&request_sender, 1).await, Some(true), "the channel has capacity");
            let hand_over = pipe.hand_over(&request_sender, 2);
            let free_capacity = async {
                if !client_stays {
                    drop(client_stream);
                    system.sleep_until(system.now() + 90_000).await; // detection has to take less than 100 ms
                }
                assert_eq!(requests.recv().await, Ok(1), "the first request was sent");
            };
            let (handed_over, ()) = future::zip(hand_over, free_capacity).await;
            assert_eq!(
                (handed_over, requests.try_recv().ok()),
                if client_stays { (Some(true), Some(2)) } else { (None, None) },
                "client stays: {client_stays}"
            );
            drop(requests);
            assert_eq!(pipe.hand_over(&request_sender, 3).await, Some(false), "the channel is closed");
        }
    });
}

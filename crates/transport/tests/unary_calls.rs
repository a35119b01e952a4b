//! Unary calls to servers that break the protocol.

use bytes::Bytes;
use chalkgap_runtime::system::System;
use chalkgap_runtime::{Shared, Stream};
use chalkgap_transport::unary;
use chalkgap_wire::grpc::Code;
use chalkgap_wire::http2::{Config, Connection, Event, Field};
use futures_lite::{AsyncReadExt, AsyncWriteExt};

/// Answers each call with a message and no trailers, and keeps the connection open.
async fn answer_without_trailers(runtime: &Shared, mut stream: Box<dyn Stream>) {
    let mut connection = Connection::server(Config::default());
    let mut buffer = [0; 4096];
    loop {
        while let Some(event) = connection.event() {
            if let Event::Data { stream: id, end: true, .. } = event {
                connection.headers(id, vec![Field::constant(":status", "200")], false).unwrap();
                connection.data(id, Bytes::from_static(&[0, 0, 0, 0, 0]), true).unwrap();
            }
        }
        let bytes = connection.output().split();
        stream.write_all(&bytes).await.unwrap();
        match stream.read(&mut buffer).await {
            Ok(count) if count > 0 => connection.receive(runtime.now(), &buffer[..count]).unwrap(),
            _ => return,
        }
    }
}

/// A response that ends without trailers has no status. The call must end with it, not at its deadline.
#[test]
fn a_response_without_trailers_ends_its_call() {
    let system = System::new();
    system.clone().run(async move {
        let runtime: Shared = system;
        let listener = runtime.listen(([127, 0, 0, 1], 0).into()).unwrap();
        let address = listener.address();
        let server_runtime = runtime.clone();
        let server = runtime.spawn(Box::pin(async move {
            while let Ok(stream) = listener.accept().await {
                answer_without_trailers(&server_runtime, stream).await;
            }
        }));
        let deadline = runtime.now() + 2_000_000;
        let message = Bytes::from_static(&[0, 0, 0, 0, 0]);
        let error = unary::call(&runtime, address, "/test", message, 100, deadline).await.unwrap_err();
        assert_eq!(error.code, Code::Unknown, "{error:?}");
        assert!(runtime.now() < deadline);
        drop(server);
    });
}

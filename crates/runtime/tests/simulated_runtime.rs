//! The simulated runtime: clock, streams, links and datagrams.

use chalkgap_runtime::simulated_runtime::{address, Cut, LinkFaults, Simulation, DEFAULT_LINK};
use chalkgap_runtime::{Micros, Runtime};
use futures_lite::future;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex};

/// Exchanges five messages between two hosts, an hour apart, and returns the time of each receipt.
fn exchange(seed: u64) -> Vec<(Micros, String)> {
    let simulation = Simulation::new(seed, 1_000_000);
    let (a, _guard_a) = simulation.host(1, 0);
    let (b, _guard_b) = simulation.host(2, 0);
    let listener = a.listen(SocketAddr::new(address(1), 80)).unwrap();
    let log = Arc::new(Mutex::new(Vec::new()));
    let server_log = log.clone();
    let clock = a.clone();
    a.spawn(Box::pin(async move {
        let mut stream = listener.accept().await.unwrap();
        let mut ping = [0; 4];
        while stream.read_exact(&mut ping).await.is_ok() {
            server_log.lock().unwrap().push((clock.now(), String::from_utf8_lossy(&ping).into_owned()));
            stream.write_all(b"pong").await.unwrap();
        }
    }))
    .detach();
    let client_log = log.clone();
    simulation.run(async move {
        let mut stream = b.connect(SocketAddr::new(address(1), 80)).await.unwrap();
        for _ in 0..5 {
            stream.write_all(b"ping").await.unwrap();
            let mut answer = [0; 4];
            stream.read_exact(&mut answer).await.unwrap();
            client_log.lock().unwrap().push((b.now(), "answered".into()));
            b.sleep_until(b.now() + 3_600_000_000).await;
        }
    });
    let log = log.lock().unwrap().clone();
    log
}

#[test]
fn hours_take_no_real_time_and_runs_repeat_for_a_seed() {
    let first = exchange(7);
    assert_eq!(first.len(), 10);
    assert!(first[9].0 > 4 * 3_600_000_000);
    assert_eq!(first, exchange(7));
    assert_ne!(first, exchange(8));
}

#[test]
fn a_killed_host_loses_unsynced_bytes_and_its_streams_are_reset() {
    let simulation = Simulation::new(1, 0);
    let (a, mut guard_a) = simulation.host(1, 0);
    let (b, _guard_b) = simulation.host(2, 500);
    let to = SocketAddr::new(address(1), 80);
    let listener = a.listen(to).unwrap();
    let restart = simulation.clone();
    simulation
        .run(async move {
            let mut client = b.connect(to).await.unwrap();
            let _server = listener.accept().await.unwrap();
            let path = Path::new("/d/log");
            let mut log = a.files().append(path, 0).await.unwrap();
            log.commit(b"synced".to_vec()).await.unwrap();
            log.append(b"unsynced".to_vec()).await.unwrap();
            assert_eq!(a.files().read(path, 100).await.unwrap(), b"syncedunsynced");
            guard_a.kill();
            let mut byte = [0; 1];
            let error = client.read(&mut byte).await.unwrap_err();
            assert_eq!(error.kind(), io::ErrorKind::ConnectionReset);
            assert_eq!(b.connect(to).await.err().unwrap().kind(), io::ErrorKind::ConnectionRefused);
            assert!(log.append(b"late".to_vec()).await.is_err(), "a killed host can write");
            assert!(a.listen(to).is_err(), "a killed host can listen");
            let (a, _guard_a) = restart.host(1, 0);
            assert_eq!(a.files().read(path, 100).await.unwrap(), b"synced");
            assert_eq!(a.files().names(Path::new("/d")).await.unwrap(), ["log"]);
            assert!(a.listen(to).is_ok());
        })
        .expect("the simulation stopped early");
}

/// Silent cuts, resets and half-open links affect only the pair of hosts and the direction that they are set for.
#[test]
fn links_are_cut_by_pair_and_direction() {
    let simulation = Simulation::new(5, 0);
    let (a, _guard_a) = simulation.host(1, 0);
    let (b, mut guard_b) = simulation.host(2, 0);
    let (c, _guard_c) = simulation.host(3, 0);
    let to = SocketAddr::new(address(1), 80);
    let listener = a.listen(to).unwrap();
    let links = simulation.clone();
    simulation
        .run(async move {
            let mut client = b.connect(to).await.unwrap();
            let mut server = listener.accept().await.unwrap();
            let set = |from, to, faults: LinkFaults| links.set_link(from, to, Some(faults));
            set(2, 1, LinkFaults { cut: Some(Cut::Silent), ..DEFAULT_LINK });
            client.write_all(b"up").await.unwrap();
            server.write_all(b"down").await.unwrap();
            let mut buffer = [0; 4];
            client.read_exact(&mut buffer).await.unwrap();
            assert_eq!(&buffer, b"down", "the other direction is not cut");
            let clock = a.clone();
            let start = a.now();
            let restored = links.clone();
            let wait = clock.sleep_until(start + 5_000_000);
            a.spawn(Box::pin(async move {
                wait.await;
                restored.set_link(2, 1, None);
            }))
            .detach();
            let mut buffer = [0; 2];
            server.read_exact(&mut buffer).await.unwrap();
            assert!(a.now() - start >= 5_000_000, "bytes passed a link that was cut");
            // Half-open: the server does not notice that the client was killed.
            set(2, 1, LinkFaults { half_open: true, ..DEFAULT_LINK });
            guard_b.kill();
            let wait = async {
                clock.sleep_until(clock.now() + 60_000_000).await;
                None
            };
            let read = async { Some(server.read(&mut buffer).await) };
            assert!(future::or(read, wait).await.is_none(), "the reset was passed on");
            links.set_link(2, 1, None);
            assert_eq!(server.read(&mut buffer).await.unwrap_err().kind(), io::ErrorKind::ConnectionReset);
            // Reset: existing streams and new connections between the two hosts fail until the link is restored.
            let mut third = c.connect(to).await.unwrap();
            set(3, 1, LinkFaults { cut: Some(Cut::Reset), ..DEFAULT_LINK });
            assert!(third.read(&mut buffer).await.is_err(), "an existing stream is still open");
            assert!(c.connect(to).await.is_err(), "a new connection is accepted");
            links.set_link(3, 1, None);
            assert!(c.connect(to).await.is_ok());
        })
        .expect("the simulation stopped early");
}

#[test]
fn datagrams_are_lost_and_duplicated_by_share() {
    let simulation = Simulation::new(3, 0);
    simulation.set_default_link(LinkFaults { loss: 0.2, double: 0.1, ..DEFAULT_LINK });
    let (a, _guard_a) = simulation.host(1, 0);
    let (b, _guard_b) = simulation.host(2, 0);
    let received = simulation.run(async move {
        let from = a.datagrams(SocketAddr::new(address(1), 9)).unwrap();
        let to = b.datagrams(SocketAddr::new(address(2), 9)).unwrap();
        for n in 0..1000u32 {
            from.send(&n.to_be_bytes(), to.address()).await.unwrap();
        }
        let end = b.now() + 1_000_000;
        let mut count = 0;
        let mut buffer = [0; 8];
        loop {
            let timeout = async {
                b.sleep_until(end).await;
                None
            };
            match future::or(async { to.receive(&mut buffer).await.ok() }, timeout).await {
                Some(_) => count += 1,
                None => return count,
            }
        }
    });
    assert!((820..=940).contains(&received.unwrap()), "received {received:?} of 1000 datagrams");
}

/// As on the operating system, `peer_closed` reports a shutdown by the peer behind unread bytes, but not before these arrive.
#[test]
fn a_close_by_the_peer_is_detected_behind_unread_bytes() {
    let simulation = Simulation::new(2, 0);
    let (a, _guard_a) = simulation.host(1, 0);
    let (b, _guard_b) = simulation.host(2, 0);
    let to = SocketAddr::new(address(1), 80);
    let listener = a.listen(to).unwrap();
    let done = simulation.run(async move {
        let mut client = b.connect(to).await.unwrap();
        let mut server = listener.accept().await.unwrap();
        client.write_all(b"ping").await.unwrap();
        client.close().await.unwrap();
        assert!(!server.peer_closed(), "the bytes have not arrived");
        a.sleep_until(a.now() + 1_000_000).await;
        assert!(server.peer_closed());
        let mut received = [0; 4];
        server.read_exact(&mut received).await.unwrap();
        assert_eq!(&received, b"ping");
    });
    assert!(done.is_some(), "the simulation stopped early");
}

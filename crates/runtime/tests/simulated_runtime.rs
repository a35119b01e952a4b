//! The world without a system: its clock, streams, links and datagrams.

use chalkgap_runtime::simulated_runtime::{address, Cut, LinkFaults, World, USUAL};
use chalkgap_runtime::{Micros, Runtime};
use futures_lite::future;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex};

/// A conversation of two hosts, with its times.
fn talk(seed: u64) -> Vec<(Micros, String)> {
    let world = World::new(seed, 1_000_000);
    let ((a, _on_a), (b, _on_b)) = (world.host(1, 0), world.host(2, 0));
    let door = a.listen(SocketAddr::new(address(1), 80)).unwrap();
    let log = Arc::new(Mutex::new(Vec::new()));
    let (seen, clock) = (log.clone(), a.clone());
    a.spawn(Box::pin(async move {
        let mut stream = door.accept().await.unwrap();
        let mut word = [0; 4];
        while stream.read_exact(&mut word).await.is_ok() {
            seen.lock().unwrap().push((clock.now(), String::from_utf8_lossy(&word).into_owned()));
            stream.write_all(b"well").await.unwrap();
        }
    }))
    .detach();
    let seen = log.clone();
    world.run(async move {
        let mut stream = b.connect(SocketAddr::new(address(1), 80)).await.unwrap();
        for _ in 0..5 {
            stream.write_all(b"word").await.unwrap();
            let mut answer = [0; 4];
            stream.read_exact(&mut answer).await.unwrap();
            seen.lock().unwrap().push((b.now(), "answered".into()));
            b.sleep_until(b.now() + 3_600_000_000).await;
        }
    });
    let log = log.lock().unwrap().clone();
    log
}

#[test]
fn hours_pass_at_once_and_alike_for_a_seed() {
    let first = talk(7);
    assert_eq!(first.len(), 10);
    assert!(first[9].0 > 4 * 3_600_000_000);
    assert_eq!(first, talk(7));
    assert_ne!(first, talk(8));
}

#[test]
fn a_host_that_is_killed_loses_what_was_not_synced_and_its_streams_break() {
    let world = World::new(1, 0);
    let (a, mut power) = world.host(1, 0);
    let (b, _on) = world.host(2, 500);
    let to = SocketAddr::new(address(1), 80);
    let door = a.listen(to).unwrap();
    let again = world.clone();
    world
        .run(async move {
            let mut near = b.connect(to).await.unwrap();
            let _far = door.accept().await.unwrap();
            let path = Path::new("/d/log");
            let mut log = a.files().append(path, 0).await.unwrap();
            log.commit(b"safe".to_vec()).await.unwrap();
            log.append(b"loose".to_vec()).await.unwrap();
            assert_eq!(a.files().read(path, 100).await.unwrap(), b"safeloose");
            power.kill();
            let mut word = [0; 1];
            let broken = near.read(&mut word).await.unwrap_err();
            assert_eq!(broken.kind(), io::ErrorKind::ConnectionReset);
            assert_eq!(b.connect(to).await.err().unwrap().kind(), io::ErrorKind::ConnectionRefused);
            assert!(log.append(b"late".to_vec()).await.is_err() && a.listen(to).is_err());
            let (a, _on) = again.host(1, 0);
            assert_eq!(a.files().read(path, 100).await.unwrap(), b"safe");
            assert_eq!(a.files().names(Path::new("/d")).await.unwrap(), ["log"]);
            assert!(a.listen(to).is_ok());
        })
        .expect("it came to its end");
}

/// Cuts of a link by pair and direction: without a sign, with a reset, and an end that nobody is told of.
#[test]
fn links_are_cut_by_pair_and_direction() {
    let world = World::new(5, 0);
    let (a, _on_a) = world.host(1, 0);
    let (b, mut power) = world.host(2, 0);
    let (c, _on_c) = world.host(3, 0);
    let to = SocketAddr::new(address(1), 80);
    let door = a.listen(to).unwrap();
    let links = world.clone();
    world
        .run(async move {
            let mut near = b.connect(to).await.unwrap();
            let mut far = door.accept().await.unwrap();
            let set = |from, to, w: LinkFaults| links.link(from, to, Some(w));
            set(2, 1, LinkFaults { cut: Some(Cut::Silent), ..USUAL });
            near.write_all(b"up").await.unwrap();
            far.write_all(b"down").await.unwrap();
            let mut word = [0; 4];
            near.read_exact(&mut word).await.unwrap();
            assert_eq!(&word, b"down", "the other way is whole");
            let (clock, begun) = (a.clone(), a.now());
            let (heal, wait) = (links.clone(), clock.sleep_until(begun + 5_000_000));
            a.spawn(Box::pin(async move {
                wait.await;
                heal.link(2, 1, None);
            }))
            .detach();
            let mut word = [0; 2];
            far.read_exact(&mut word).await.unwrap();
            assert!(a.now() - begun >= 5_000_000, "what was under way came after the cut");
            // Killed, and nobody is told.
            set(2, 1, LinkFaults { half_open: true, ..USUAL });
            power.kill();
            let wait = async {
                clock.sleep_until(clock.now() + 60_000_000).await;
                None
            };
            let read = async { Some(far.read(&mut word).await) };
            assert!(future::or(read, wait).await.is_none(), "held for open");
            links.link(2, 1, None);
            assert_eq!(far.read(&mut word).await.unwrap_err().kind(), io::ErrorKind::ConnectionReset);
            // Reset: what is there breaks, and nothing new comes about, between these two alone.
            let mut third = c.connect(to).await.unwrap();
            set(3, 1, LinkFaults { cut: Some(Cut::Reset), ..USUAL });
            assert!(third.read(&mut word).await.is_err() && c.connect(to).await.is_err());
            links.link(3, 1, None);
            assert!(c.connect(to).await.is_ok());
        })
        .expect("it came to its end");
}

#[test]
fn datagrams_are_lost_and_doubled_by_share() {
    let world = World::new(3, 0);
    world.weather(LinkFaults { loss: 0.2, double: 0.1, ..USUAL });
    let ((a, _on_a), (b, _on_b)) = (world.host(1, 0), world.host(2, 0));
    let got = world.run(async move {
        let (from, to) =
            (a.datagrams(SocketAddr::new(address(1), 9)), b.datagrams(SocketAddr::new(address(2), 9)));
        let (from, to) = (from.unwrap(), to.unwrap());
        for n in 0..1000u32 {
            from.send(&n.to_be_bytes(), to.address()).await.unwrap();
        }
        let end = b.now() + 1_000_000;
        let mut count = 0;
        let mut buffer = [0; 8];
        loop {
            let late = async {
                b.sleep_until(end).await;
                None
            };
            match future::or(async { to.receive(&mut buffer).await.ok() }, late).await {
                Some(_) => count += 1,
                None => return count,
            }
        }
    });
    assert!((820..=940).contains(&got.unwrap()), "{got:?}");
}

/// As on the real one: a side that was shut is known of behind unread bytes once these have come, and not before.
#[test]
fn who_left_is_known_of_behind_unread_bytes() {
    let world = World::new(2, 0);
    let ((a, _on_a), (b, _on_b)) = (world.host(1, 0), world.host(2, 0));
    let to = SocketAddr::new(address(1), 80);
    let door = a.listen(to).unwrap();
    let done = world.run(async move {
        let mut near = b.connect(to).await.unwrap();
        let mut far = door.accept().await.unwrap();
        near.write_all(b"word").await.unwrap();
        near.close().await.unwrap();
        assert!(!far.left(), "it is under way");
        a.sleep_until(a.now() + 1_000_000).await;
        assert!(far.left());
        let mut got = [0; 4];
        far.read_exact(&mut got).await.unwrap();
        assert_eq!(&got, b"word");
    });
    assert!(done.is_some(), "it came to its end");
}

//! Streams, files and alarms on the operating system's runtime.

use chalkgap_runtime::system::System;
use chalkgap_runtime::{Alarm, Runtime};
use futures_lite::future;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use std::task::Poll;
use std::{fs, io};

#[test]
fn streams_carry_bytes_and_files_are_replaced_and_created_atomically() {
    let system = System::new();
    system.clone().run(async move {
        let listener = system.listen(([127, 0, 0, 1], 0).into()).unwrap();
        let mut client = system.connect(listener.address()).await.unwrap();
        let mut server = listener.accept().await.unwrap();
        client.write_all(b"ping").await.unwrap();
        let mut received = [0; 4];
        server.read_exact(&mut received).await.unwrap();
        assert_eq!(&received, b"ping");

        let folder = std::env::temp_dir().join(format!("chalkgap-runtime-{}", std::process::id()));
        fs::create_dir_all(&folder).unwrap();
        let path = folder.join("list");
        system.files().replace(&path, b"one".to_vec()).await.unwrap();
        system.files().replace(&path, b"two".to_vec()).await.unwrap();
        assert_eq!(system.files().read(&path, 3).await.unwrap(), b"two");
        assert!(!system.files().create(&path, b"new".to_vec()).await.unwrap(), "the file exists");
        assert_eq!(system.files().read(&path, 3).await.unwrap(), b"two");
        assert!(system.files().create(&folder.join("new"), b"new".to_vec()).await.unwrap());
        assert_eq!(system.files().read(&folder.join("new"), 3).await.unwrap(), b"new");
        fs::remove_file(folder.join("new")).unwrap();
        let error = system.files().read(&path, 2).await.unwrap_err();
        assert_eq!(error.kind(), io::ErrorKind::FileTooLarge);
        assert_eq!(fs::read_dir(&folder).unwrap().count(), 1, "temporary files are left");
        fs::remove_dir_all(folder).unwrap();
    });
}

#[test]
fn an_alarm_can_be_set_earlier_and_later() {
    let system = System::new();
    let mut alarm = Alarm::new(system.clone());
    system.clone().run(future::poll_fn(|cx| {
        assert!(alarm.poll(None, cx).is_pending());
        assert!(alarm.poll(Some(system.now() + 60_000_000), cx).is_pending());
        assert!(alarm.poll(Some(0), cx).is_ready());
        Poll::Ready(())
    }));
    let at = system.now() + 2000;
    system.run(future::poll_fn(|cx| alarm.poll(Some(at), cx)));
    assert!(system.now() >= at);
}

/// `peer_closed` reports a shutdown or a reset by the peer without consuming the bytes received before it. After a shutdown the
/// stream can still be written to.
#[test]
fn a_close_by_the_peer_is_detected_behind_unread_bytes() {
    let system = System::new();
    system.clone().run(async move {
        let listener = system.listen(([127, 0, 0, 1], 0).into()).unwrap();
        for shutdown in [true, false] {
            let mut client = system.connect(listener.address()).await.unwrap();
            let mut server = listener.accept().await.unwrap();
            client.write_all(b"ping").await.unwrap();
            server.write_all(b"unread").await.unwrap();
            system.sleep_until(system.now() + 20_000).await;
            assert!(!server.peer_closed() && !client.peer_closed());
            if shutdown {
                client.close().await.unwrap();
            } else {
                drop(std::mem::replace(&mut client, system.connect(listener.address()).await.unwrap()));
            }
            let end = system.now() + 5_000_000;
            while !server.peer_closed() {
                assert!(system.now() < end, "the close was not detected within 5 s");
                system.sleep_until(system.now() + 1000).await;
            }
            if shutdown {
                let mut received = [0; 4];
                server.read_exact(&mut received).await.unwrap();
                assert_eq!((&received, server.read(&mut [0; 1]).await.unwrap()), (b"ping", 0));
                server.write_all(b"pong").await.unwrap();
                let mut received = [0; 10];
                client.read_exact(&mut received).await.unwrap();
                assert_eq!(&received, b"unreadpong");
            }
        }
    });
}

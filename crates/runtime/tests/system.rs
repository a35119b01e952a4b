//! The real world: streams, files and alarms of the system.

use chalkgap_runtime::system::System;
use chalkgap_runtime::{Alarm, Runtime};
use futures_lite::future;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use std::task::Poll;
use std::{fs, io};

#[test]
fn streams_and_files() {
    let system = System::new();
    system.clone().run(async move {
        let door = system.listen(([127, 0, 0, 1], 0).into()).unwrap();
        let mut near = system.connect(door.address()).await.unwrap();
        let mut far = door.accept().await.unwrap();
        near.write_all(b"word").await.unwrap();
        let mut got = [0; 4];
        far.read_exact(&mut got).await.unwrap();
        assert_eq!(&got, b"word");

        let folder = std::env::temp_dir().join(format!("chalkgap-runtime-{}", std::process::id()));
        fs::create_dir_all(&folder).unwrap();
        let path = folder.join("list");
        system.files().replace(&path, b"one".to_vec()).await.unwrap();
        system.files().replace(&path, b"two".to_vec()).await.unwrap();
        assert_eq!(system.files().read(&path, 3).await.unwrap(), b"two");
        assert!(!system.files().create(&path, b"new".to_vec()).await.unwrap(), "there is one");
        assert_eq!(system.files().read(&path, 3).await.unwrap(), b"two");
        assert!(system.files().create(&folder.join("new"), b"new".to_vec()).await.unwrap());
        assert_eq!(system.files().read(&folder.join("new"), 3).await.unwrap(), b"new");
        fs::remove_file(folder.join("new")).unwrap();
        let error = system.files().read(&path, 2).await.unwrap_err();
        assert_eq!(error.kind(), io::ErrorKind::FileTooLarge);
        assert_eq!(fs::read_dir(&folder).unwrap().count(), 1, "nothing is left beside");
        fs::remove_dir_all(folder).unwrap();
    });
}

#[test]
fn an_alarm_moves_both_ways() {
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

/// A side that was shut, or a stream that was reset, is known of without taking the bytes that came before; the other side can
/// still be written to where only one was shut.
#[test]
fn who_left_is_known_of_behind_unread_bytes() {
    let system = System::new();
    system.clone().run(async move {
        let door = system.listen(([127, 0, 0, 1], 0).into()).unwrap();
        for shut in [true, false] {
            let mut near = system.connect(door.address()).await.unwrap();
            let mut far = door.accept().await.unwrap();
            near.write_all(b"word").await.unwrap();
            far.write_all(b"unread").await.unwrap();
            system.sleep_until(system.now() + 20_000).await;
            assert!(!far.left() && !near.left());
            if shut {
                near.close().await.unwrap();
            } else {
                drop(std::mem::replace(&mut near, system.connect(door.address()).await.unwrap()));
            }
            let end = system.now() + 5_000_000;
            while !far.left() {
                assert!(system.now() < end, "it is not known of");
                system.sleep_until(system.now() + 1000).await;
            }
            if shut {
                let mut got = [0; 4];
                far.read_exact(&mut got).await.unwrap();
                assert_eq!((&got, far.read(&mut [0; 1]).await.unwrap()), (b"word", 0));
                far.write_all(b"well").await.unwrap();
                let mut got = [0; 10];
                near.read_exact(&mut got).await.unwrap();
                assert_eq!(&got, b"unreadwell");
            }
        }
    });
}

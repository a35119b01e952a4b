//! Follows discovery: the whole list first, then its changes, for as long as the instance lives. Every connection begins
//! with the whole list, so what was missed between two of them, a list that was cut off, and versions that went back need
//! no care of their own.

use crate::feed::Feed;
use crate::list::{List, Roster};
use crate::request::Work;
use async_channel::{Receiver, Sender};
use chalkgap::doors::Input;
use chalkgap_runtime::{Micros, Shared, Stream};
use futures_lite::{future, AsyncReadExt, AsyncWriteExt};
use std::net::SocketAddr;

/// How long a connection or a whole list may take: the agent is on this machine.
const PATIENCE: Micros = 1_000_000;
/// A watch that says nothing for so long has ended: an empty line is due every 2 s.
const SILENCE: Micros = 4_500_000;
/// The least and the longest pause before discovery is asked again; it doubles between them.
const AGAIN: (Micros, Micros) = (50_000, 1_000_000);
const READ: usize = 8 << 10;

/// Follows discovery; `moves` tells of its new addresses, `first` is closed when the first list was told.
pub async fn follow(
    runtime: Shared,
    mut roster: Roster,
    mut address: SocketAddr,
    moves: Receiver<SocketAddr>,
    driver: Sender<Input<Work>>,
    first: Sender<()>,
) {
    let (mut pause, mut told) = (AGAIN.0, false);
    loop {
        let moved = async { moves.recv().await.ok() };
        let mut taken = false;
        let life = async {
            let error = live(&runtime, &mut roster, address, &driver, &mut taken, &first).await;
            if !std::mem::replace(&mut told, true) {
                // Once for each time that it is lost: the calls that fail after it say nothing new.
                tracing::warn!(discovery = %address, error, "no news of backends, the last list stays");
            }
            // Between half and the whole of it by lot: ingresses that lost it together do not come back together.
            let lot = runtime.random() % (pause / 2);
            runtime.sleep_until(runtime.now() + pause / 2 + lot).await;
            None
        };
        let to = future::or(moved, life).await;
        if driver.is_closed() {
            return;
        }
        if taken {
            (pause, told) = (AGAIN.0, false);
        } else {
            pause = (pause * 2).min(AGAIN.1);
        }
        if let Some(to) = to {
            tracing::info!(from = %address, %to, "discovery has moved");
            (address, pause) = (to, AGAIN.0);
        }
    }
}

async fn within<T>(
    runtime: &Shared,
    until: Micros,
    act: impl std::future::Future<Output = std::io::Result<T>>,
) -> Result<T, String> {
    let late = async {
        runtime.sleep_until(until).await;
        Err(std::io::ErrorKind::TimedOut.into())
    };
    future::or(act, late).await.map_err(|e| e.to_string())
}

async fn call(
    runtime: &Shared,
    address: SocketAddr,
    query: &str,
    until: Micros,
) -> Result<Box<dyn Stream>, String> {
    let mut stream = within(runtime, until, runtime.connect(address)).await?;
    let text =
        format!("GET /api/targets{query} HTTP/1.1\r\nHost: {address}\r\nAccept: application/json\r\n\r\n");
    within(runtime, until, stream.write_all(text.as_bytes())).await?;
    Ok(stream)
}

/// Reads lists until something goes wrong; says what.
async fn live(
    runtime: &Shared,
    roster: &mut Roster,
    address: SocketAddr,
    driver: &Sender<Input<Work>>,
    taken: &mut bool,
    first: &Sender<()>,
) -> String {
    let tried = async {
        let until = runtime.now() + PATIENCE;
        let mut stream = call(runtime, address, "", until).await?;
        let whole = whole(runtime, &mut stream, until).await?;
        drop(stream);
        tell(runtime, roster, &whole, driver).await?;
        *taken = true;
        first.close();
        let from = roster.seq();
        let mut stream =
            call(runtime, address, &format!("?watch=1&from={from}"), runtime.now() + PATIENCE).await?;
        let mut feed = Feed::default();
        let mut buffer = [0; READ];
        loop {
            while let Some(line) = feed.line() {
                if !line.trim_ascii().is_empty() {
                    tell(runtime, roster, &line, driver).await?;
                }
            }
            if feed.rest(false).is_some() {
                return Err("the watch has ended".to_owned());
            }
            let n = within(runtime, runtime.now() + SILENCE, stream.read(&mut buffer)).await?;
            if n == 0 {
                return Err("the connection is closed".to_owned());
            }
            feed.push(&buffer[..n]).map_err(|e| e.to_string())?;
        }
    };
    let never: Result<std::convert::Infallible, String> = tried.await;
    never.err().unwrap_or_default()
}

async fn whole(runtime: &Shared, stream: &mut Box<dyn Stream>, until: Micros) -> Result<Vec<u8>, String> {
    let (mut feed, mut buffer, mut text) = (Feed::default(), [0; READ], Vec::new());
    loop {
        let n = within(runtime, until, stream.read(&mut buffer)).await?;
        feed.push(&buffer[..n]).map_err(|e| e.to_string())?;
        while let Some(line) = feed.line() {
            text.extend_from_slice(&line);
        }
        if let Some(rest) = feed.rest(n == 0) {
            text.extend_from_slice(&rest);
            return Ok(text);
        }
        if n == 0 {
            return Err("the list was cut off".to_owned());
        }
    }
}

async fn tell(
    runtime: &Shared,
    roster: &mut Roster,
    text: &[u8],
    driver: &Sender<Input<Work>>,
) -> Result<(), String> {
    let list: List = serde_json::from_slice(text).map_err(|e| format!("list of backends: {e}"))?;
    let (seq, hosts, whole) = (list.seq, list.hosts.len(), list.whole);
    match roster.take(runtime.now(), &list) {
        Some((kind, lines)) => {
            tracing::debug!(seq, hosts, whole, "list of backends");
            driver.send(Input::Roster { kind, lines }).await.map_err(|_| "stopped".to_owned())
        }
        None => {
            tracing::info!(
                seq,
                held = roster.seq(),
                whole,
                "a list that is behind the one held is not taken"
            );
            Err("the list is behind the one held".to_owned())
        }
    }
}

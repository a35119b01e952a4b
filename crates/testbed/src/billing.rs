//! A stand-in billing consumer: sequences of numbered batches, each number taken once, with faults on command. What it
//! has outlives its process.

use crate::lock;
use async_channel::Sender;
use bytes::Bytes;
use chalkgap_runtime::Shared;
use chalkgap_transport::unary::{self, Handler, Limits};
use chalkgap_transport::while_alive;
use chalkgap_wire::billing::{HandRequest, HandResponse, HAND};
use chalkgap_wire::grpc::{self, Code, Status};
use prost::Message;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

/// What is wrong with it; shares are of calls.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Faults {
    /// Turned away before anything was looked at.
    pub refuse: f64,
    /// Taken for good, and no word of it.
    pub silent: f64,
}

/// Its batches by stream, in the order of their numbers.
#[derive(Clone, Debug, Default)]
pub struct Vault(Arc<Mutex<BTreeMap<String, Vec<Bytes>>>>);

impl Vault {
    /// All that it has.
    pub fn batches(&self) -> BTreeMap<String, Vec<Bytes>> {
        lock(&self.0).clone()
    }

    /// Takes what comes next, and says what is there.
    pub fn hand(&self, hand: &HandRequest) -> HandResponse {
        let mut all = lock(&self.0);
        let list = all.entry(hand.stream.clone()).or_default();
        if hand.number == list.len() as u64 + 1 {
            list.push(hand.batch.clone());
        }
        let at = (hand.number as usize).checked_sub(1);
        let batch = at.and_then(|n| list.get(n)).cloned().unwrap_or_default();
        HandResponse { last: list.len() as u64, batch }
    }
}

/// A consumer that runs. Dropped, it is gone.
pub struct Consumer {
    address: SocketAddr,
    faults: Arc<Mutex<Faults>>,
    _kill: Sender<()>,
}

impl Consumer {
    /// Starts one.
    ///
    /// # Errors
    /// The address cannot be bound.
    pub fn start(runtime: Shared, at: SocketAddr, vault: Vault, seed: u64) -> io::Result<Consumer> {
        let listener = runtime.listen(at)?;
        let address = listener.address();
        let (kill, killed) = async_channel::bounded(1);
        let faults = Arc::new(Mutex::new(Faults::default()));
        let state = Arc::new(Mutex::new(SmallRng::seed_from_u64(seed)));
        let wrong = faults.clone();
        let handler: Handler = Arc::new(move |path, message| {
            let (wrong, mut rng) = (lock(&wrong).clone(), lock(&state));
            let refuse = rng.random::<f64>() < wrong.refuse;
            let silent = rng.random::<f64>() < wrong.silent;
            let vault = vault.clone();
            Box::pin(async move {
                if path != HAND {
                    return Err(Status::new(Code::Unimplemented, format!("expected {HAND}")));
                }
                if refuse {
                    return Err(Status::new(Code::Unavailable, "told to refuse"));
                }
                let broken = |e: prost::DecodeError| Status::new(Code::InvalidArgument, e.to_string());
                let handed = vault.hand(&HandRequest::decode(message).map_err(broken)?);
                if silent {
                    return Err(Status::new(Code::Unavailable, "told to say nothing of what it took"));
                }
                Ok(grpc::frame(&handed))
            })
        });
        let limits = Limits { connections: 64, calls: 4, message: 8 << 20, idle: 10_000_000 };
        let task = unary::serve(runtime.clone(), listener, limits, handler, killed.clone());
        runtime.spawn(Box::pin(while_alive(killed, task))).detach();
        Ok(Consumer { address, faults, _kill: kill })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes what is wrong with it.
    pub fn faults(&self, faults: Faults) {
        *lock(&self.faults) = faults;
    }
}

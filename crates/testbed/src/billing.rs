//! A fake billing consumer: it accepts streams of numbered batches, each number once, with fault injection. The accepted
//! batches outlive the consumer's process.

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

/// The faults of a consumer. Shares are of calls, from 0 to 1.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Faults {
    /// Share of calls that are rejected without being processed.
    pub refuse: f64,
    /// Share of calls whose batch is stored although the call fails.
    pub silent: f64,
}

/// The batches that a consumer accepted, by stream and in the order of their numbers.
#[derive(Clone, Debug, Default)]
pub struct BatchStore(Arc<Mutex<BTreeMap<String, Vec<Bytes>>>>);

impl BatchStore {
    /// Returns all batches by stream.
    pub fn batches(&self) -> BTreeMap<String, Vec<Bytes>> {
        lock(&self.0).clone()
    }

    /// Stores a batch if its number is the next one of its stream. Returns the last stored number of the stream and the
    /// batch that is stored under the requested number.
    pub fn hand(&self, hand: &HandRequest) -> HandResponse {
        let mut streams = lock(&self.0);
        let batches = streams.entry(hand.stream.clone()).or_default();
        if hand.number == batches.len() as u64 + 1 {
            batches.push(hand.batch.clone());
        }
        let index = (hand.number as usize).checked_sub(1);
        let batch = index.and_then(|index| batches.get(index)).cloned().unwrap_or_default();
        HandResponse { last: batches.len() as u64, batch }
    }
}

/// A running consumer. Stopped when dropped.
pub struct Consumer {
    address: SocketAddr,
    faults: Arc<Mutex<Faults>>,
    _kill: Sender<()>,
}

impl Consumer {
    /// Starts a consumer that listens at `at` and stores batches in `store`.
    ///
    /// # Errors
    /// Returns the system's error if the address cannot be bound.
    pub fn start(runtime: Shared, at: SocketAddr, store: BatchStore, seed: u64) -> io::Result<Consumer> {
        let listener = runtime.listen(at)?;
        let address = listener.address();
        let (kill, killed) = async_channel::bounded(1);
        let faults = Arc::new(Mutex::new(Faults::default()));
        let shared_rng = Arc::new(Mutex::new(SmallRng::seed_from_u64(seed)));
        let shared_faults = faults.clone();
        let handler: Handler = Arc::new(move |path, message| {
            let faults = lock(&shared_faults).clone();
            let mut rng = lock(&shared_rng);
            let refuse = rng.random::<f64>() < faults.refuse;
            let silent = rng.random::<f64>() < faults.silent;
            let store = store.clone();
            Box::pin(async move {
                if path != HAND {
                    return Err(Status::new(Code::Unimplemented, format!("expected {HAND}")));
                }
                if refuse {
                    return Err(Status::new(Code::Unavailable, "injected fault: batch not processed"));
                }
                let invalid =
                    |error: prost::DecodeError| Status::new(Code::InvalidArgument, error.to_string());
                let handed = store.hand(&HandRequest::decode(message).map_err(invalid)?);
                if silent {
                    return Err(Status::new(
                        Code::Unavailable,
                        "injected fault: batch stored without a confirmation",
                    ));
                }
                Ok(grpc::frame(&handed))
            })
        });
        let limits = Limits { connections: 64, calls: 4, message: 8 << 20, idle: 10_000_000 };
        let task = unary::serve(runtime.clone(), listener, limits, handler, killed.clone());
        runtime.spawn(Box::pin(while_alive(killed, task))).detach();
        Ok(Consumer { address, faults, _kill: kill })
    }

    /// Returns the address that it listens at.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replaces its faults.
    pub fn set_faults(&self, faults: Faults) {
        *lock(&self.faults) = faults;
    }
}

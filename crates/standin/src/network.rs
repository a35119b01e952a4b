//! A stand-in for the network between ingresses: datagrams that are late, lost, doubled, or cut off.

use chalkgap_pipe::while_alive;
use chalkgap_runtime::{Datagrams, Micros, Shared};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

/// What the network does to datagrams. Shares are from 0 to 1.
#[derive(Clone, Debug, Default)]
pub struct Weather {
    /// Lost.
    pub loss: f64,
    /// Sent twice.
    pub double: f64,
    /// The least and the longest way.
    pub delay: (Micros, Micros),
}

/// The way to one ingress: what comes here goes on to it, as the weather has it.
pub struct Relay {
    address: SocketAddr,
    weather: Arc<Mutex<Weather>>,
    _kill: async_channel::Sender<()>,
}

impl Relay {
    /// Starts a way to `to`.
    ///
    /// # Errors
    /// No socket can be bound.
    pub fn start(runtime: Shared, to: SocketAddr, weather: Weather, seed: u64) -> io::Result<Relay> {
        let socket: Arc<dyn Datagrams> = Arc::from(runtime.datagrams(([127, 0, 0, 1], 0).into())?);
        let address = socket.address();
        let weather = Arc::new(Mutex::new(weather));
        let (kill, killed) = async_channel::bounded::<()>(1);
        let (world, now) = (runtime.clone(), weather.clone());
        let task = async move {
            let (mut rng, mut buffer) = (SmallRng::seed_from_u64(seed), [0; 2000]);
            loop {
                let Ok((n, _)) = socket.receive(&mut buffer).await else { continue };
                let w = now.lock().unwrap_or_else(PoisonError::into_inner).clone();
                if rng.random::<f64>() < w.loss {
                    continue;
                }
                for _ in 0..1 + u32::from(rng.random::<f64>() < w.double) {
                    let at = world.now() + rng.random_range(w.delay.0..=w.delay.1);
                    let (socket, bytes, world2) = (socket.clone(), buffer[..n].to_vec(), world.clone());
                    let late = async move {
                        world2.sleep_until(at).await;
                        let _ = socket.send(&bytes, to).await; // nobody there: lost
                    };
                    world.spawn(Box::pin(late)).detach();
                }
            }
        };
        runtime.spawn(Box::pin(while_alive(killed, task))).detach();
        Ok(Relay { address, weather, _kill: kill })
    }

    /// Where datagrams for the ingress go.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes the weather.
    pub fn weather(&self, weather: Weather) {
        *self.weather.lock().unwrap_or_else(PoisonError::into_inner) = weather;
    }
}

//! `platform`: runs an ingress on the users' platform. Reads the configuration and handles signals; the ingress itself is in
//! the library.

use crate::{fail, Exit};
use async_signal::{Signal, Signals};
use chalkgap::runtime::system::System;
use chalkgap_platform::{Config, Ingress};
use futures_lite::{future, StreamExt};

pub(crate) fn run() -> Exit {
    let system = System::new();
    system.clone().run(async move {
        // Installed first: until then, a signal would end the process without a drain.
        let mut signals = match Signals::new([Signal::Term, Signal::Int, Signal::Hup]) {
            Ok(signals) => signals,
            Err(e) => return fail(Exit::System, format!("signals: {e}")),
        };
        let config = match Config::from_env() {
            Ok(config) => config,
            Err(e) => return fail(Exit::Settings, e),
        };
        let mut ingress = match Ingress::start(config, system.clone()).await {
            Ok(ingress) => ingress,
            Err(e) => return fail(Exit::System, e),
        };
        loop {
            match signals.next().await {
                Some(Ok(Signal::Hup)) => match Config::from_env() {
                    Ok(config) => ingress.reload(&config),
                    Err(e) => tracing::error!(error = %e, "new configuration rejected, keeping the old one"),
                },
                Some(Ok(_)) | None => break,
                Some(Err(e)) => tracing::error!(error = %e, "a signal was lost"),
            }
        }
        tracing::info!("draining");
        let drained = async {
            ingress.drain().await;
            true
        };
        let second_signal = async {
            while let Some(Ok(Signal::Hup)) = signals.next().await {}
            false
        };
        let completed = future::or(drained, second_signal).await;
        let counts = serde_json::to_string(&ingress.counts()).unwrap_or_default();
        tracing::info!(completed, counts, "stopped");
        Exit::Success
    })
}

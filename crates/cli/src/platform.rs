//! `platform`: runs an ingress on the users' platform. Reads the configuration and handles signals; the ingress itself is in
//! the library.

use crate::signals::ProcessSignals;
use crate::{fail, Exit};
use chalkgap::runtime::system::System;
use chalkgap_platform::{Config, Ingress};
use futures_lite::future;

pub(crate) fn run() -> Exit {
    let system = System::new();
    system.clone().run(async move {
        // Installed first: until then, a signal would end the process without a drain.
        let mut signals = match ProcessSignals::install(system.clone()) {
            Ok(signals) => signals,
            Err(e) => return fail(Exit::System, format!("signals: {e}")),
        };
        let config = match Config::from_env() {
            Ok(config) => config,
            Err(e) => return fail(Exit::Settings, e),
        };
        let mut reload_after_start = false;
        // Cancelled by a shutdown: until it completes no client is accepted, so nothing is owed to any.
        let start = async { Some(Ingress::start(config, system.clone()).await) };
        let cancelled = async {
            signals.shutdown_requested(|| reload_after_start = true).await;
            None
        };
        let mut ingress = match future::or(start, cancelled).await {
            Some(Ok(ingress)) => ingress,
            Some(Err(e)) => return fail(Exit::System, e),
            None => {
                tracing::info!("stopped before the start was complete");
                return Exit::Success;
            }
        };
        if reload_after_start {
            reload(&ingress);
        }
        signals.shutdown_requested(|| reload(&ingress)).await;
        tracing::info!("draining");
        let drained = async {
            ingress.drain().await;
            true
        };
        let ended = async {
            signals.end_requested().await;
            false
        };
        let completed = future::or(drained, ended).await;
        let counts = serde_json::to_string(&ingress.counts()).unwrap_or_default();
        tracing::info!(completed, counts, "stopped");
        Exit::Success
    })
}

fn reload(ingress: &Ingress) {
    match Config::from_env() {
        Ok(config) => ingress.reload(&config),
        Err(e) => tracing::error!(error = %e, "new configuration rejected, keeping the old one"),
    }
}

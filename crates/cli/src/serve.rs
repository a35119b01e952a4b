//! `serve`: reads the settings, starts an ingress and handles signals. The ingress itself is in the library.

use crate::output::print_line;
use crate::signals::ProcessSignals;
use crate::{fail, Exit};
use chalkgap::runtime::{system::System, Runtime};
use chalkgap::settings::{self, Compiled, Settings};
use chalkgap::{Instance, StartError};
use futures_lite::future;
use std::path::{Path, PathBuf};

/// Run an ingress.
#[derive(clap::Args)]
pub(crate) struct Serve {
    /// The settings, a Starlark script that binds `settings`.
    file: PathBuf,
    /// Text that the script reads as `given["KEY"]`.
    #[arg(long = "set", value_name = "KEY=VALUE", value_parser = crate::pair)]
    given: Vec<(String, String)>,
    /// Number of additional threads that run connections.
    #[arg(long, default_value_t = 0)]
    threads: usize,
    /// Maximum duration of a drain in seconds.
    #[arg(long, default_value_t = 30.0)]
    drain: f64,
}

/// Reads and checks a settings file. Errors are printed, and returned as the exit code.
pub(crate) fn read(file: &Path, given: &[(String, String)]) -> Result<Settings, Exit> {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file).map_err(|e| fail(Exit::System, format!("{name}: {e}")))?;
    let settings = settings::read(&name, text, given).map_err(|e| fail(Exit::Settings, e))?;
    Compiled::new(settings.clone()).map_err(|e| fail(Exit::Settings, format!("{name}: {e}")))?;
    Ok(settings)
}

pub(crate) fn run(args: Serve) -> Exit {
    let settings = match read(&args.file, &args.given) {
        Ok(settings) => settings,
        Err(exit) => return exit,
    };
    let system = System::new();
    system.threads(args.threads);
    system.clone().run(async move {
        // Installed before the listeners open: until then, a signal would end the process without a drain.
        let mut signals = match ProcessSignals::install(system.clone()) {
            Ok(signals) => signals,
            Err(e) => return fail(Exit::System, format!("signals: {e}")),
        };
        let mut instance = match Instance::start(settings, system.clone()).await {
            Ok(instance) => instance,
            Err(e @ StartError::Settings(_)) => return fail(Exit::Settings, e),
            Err(e) => return fail(Exit::System, e),
        };
        let peer = instance.peer_address().map(|a| a.to_string());
        let mqtt = instance.mqtt_address().map(|a| a.to_string());
        let line =
            serde_json::json!({"grpc": instance.grpc_address().to_string(), "mqtt": mqtt, "peers": peer});
        print_line!("{line}");

        // If another process has taken this one's number, both together would admit twice the allowed requests, so this one
        // ends.
        let superseded = instance.superseded();
        let requested = signals
            .shutdown_requested(|| tracing::info!("SIGHUP ignored, settings are read at the start only"));
        future::or(requested, superseded).await;
        tracing::info!("draining");
        let until = system.now() + (args.drain.clamp(0.0, 86_400.0) * 1e6) as u64;
        let drained = instance.drain(until);
        let ended = async {
            signals.end_requested().await;
            false
        };
        let completed = future::or(drained, ended).await;
        let counts = serde_json::to_string(&instance.counts()).unwrap_or_default();
        tracing::info!(whole = completed, counts, "stopped");
        instance.stop();
        Exit::Success
    })
}

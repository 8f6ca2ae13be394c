//! Process entry point of an instance with its own settings: logging, runtime and signals.

use {
    crate::{Ready, Settings, telemetry},
    std::process::ExitCode,
    tokio::signal::unix::{SignalKind, signal},
};

/// Exit status if a setting is invalid or an address can't be bound.
const EXIT_BAD_SETTINGS: u8 = 2;

/// Runs an instance until SIGTERM, SIGINT or a stop by an operator; returns the exit status of the process.
pub fn main(settings: Settings) -> ExitCode {
    let _logger = match telemetry::log(&settings.log) {
        Ok(handle) => handle,
        Err(e) => {
            eprintln!("pondtrackd: --log {:?} is not accepted: {e}", settings.log);
            return ExitCode::from(EXIT_BAD_SETTINGS);
        }
    };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let result = match runtime {
        Ok(runtime) => runtime.block_on(run(settings)),
        Err(e) => Err(e.to_string()),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("pondtrackd: {e}");
            ExitCode::from(EXIT_BAD_SETTINGS)
        }
    }
}

async fn run(settings: Settings) -> Result<(), String> {
    let mut term = signal(SignalKind::terminate()).map_err(|e| e.to_string())?;
    let mut int = signal(SignalKind::interrupt()).map_err(|e| e.to_string())?;
    let stop = async move {
        tokio::select! {
            _ = term.recv() => {}
            _ = int.recv() => {}
        }
    };
    let name = settings.name.clone();
    let ready = |addrs: Ready| {
        let metrics = addrs.metrics.map_or("none".to_owned(), |addr| addr.to_string());
        println!(
            "{name} ready callers={} peers={} control={} metrics={metrics}",
            addrs.callers, addrs.peers, addrs.control
        );
    };
    crate::run(settings, ready, stop).await.map_err(|e| e.to_string())
}

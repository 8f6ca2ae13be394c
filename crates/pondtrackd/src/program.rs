//! The program around an instance: settings, logs, signals.

use {
    crate::{Ready, Settings, telemetry},
    std::process::ExitCode,
    tokio::signal::unix::{SignalKind, signal},
};

/// The exit status when the settings or an address are not accepted.
const BAD_SETTINGS: u8 = 2;

/// Runs an instance with these settings until a signal ends it.
pub fn main(settings: Settings) -> ExitCode {
    let _logs = match telemetry::log(&settings.log) {
        Ok(it) => it,
        Err(e) => {
            eprintln!("pondtrackd: --log {:?} is not accepted: {e}", settings.log);
            return ExitCode::from(BAD_SETTINGS);
        }
    };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let done = match runtime {
        Ok(it) => it.block_on(run(settings)),
        Err(e) => Err(e.to_string()),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("pondtrackd: {e}");
            ExitCode::from(BAD_SETTINGS)
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
    let ready = |it: Ready| {
        let metrics = it.metrics.map_or("none".to_owned(), |it| it.to_string());
        println!(
            "{name} ready callers={} peers={} control={} metrics={metrics}",
            it.callers, it.peers, it.control
        );
    };
    crate::run(settings, ready, stop).await.map_err(|e| e.to_string())
}

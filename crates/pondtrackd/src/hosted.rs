//! An instance on the platform: the engine with the adapters of `pondtrack-platform`.

use {
    crate::{reload, telemetry},
    axum::{Router, http::StatusCode, routing},
    bpaf::Bpaf,
    pondtrack_engine::{
        distribution, failover,
        instance::Instance,
        lease,
        ports::{Adapters, Collection},
        quota, relay, report, session, settings, watcher,
    },
    pondtrack_platform::{
        Boot, HttpPromoter, LineProtocol, ObjectStore,
        boot::{BootError, READY_PATH},
    },
    snafu::{ResultExt, Snafu},
    std::{
        io,
        net::{SocketAddr, SocketAddrV4},
        process::ExitCode,
        rc::Rc,
        time::Duration,
    },
    tokio::{
        net::TcpListener,
        signal::unix::{SignalKind, signal},
        sync::watch,
        task::LocalSet,
        time::{sleep, timeout},
    },
};

/// Exit status if a setting is invalid or an address can't be bound.
const EXIT_BAD_SETTINGS: u8 = 2;
/// Part of the grace period reserved for shutdown after draining, so that the process is not killed while it
/// releases its lease.
const SHUTDOWN_RESERVE: Duration = Duration::from_millis(400);
/// Interval between two checks of the number of open sessions while draining.
const DRAIN_POLL: Duration = Duration::from_millis(20);
/// Interval between two readiness checks; the start of a drain triggers a check immediately.
const READY_POLL: Duration = Duration::from_millis(250);
/// Time limit for deregistering from the store and releasing the lease at shutdown.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(300);

/// Settings of an instance on the platform; the rest comes from the platform's settings file.
#[derive(Clone, Debug, PartialEq, Eq, Bpaf)]
#[bpaf(generate(hosted_parser))]
pub struct Hosted {
    /// What is logged, such as info or debug, as flexi_logger reads it
    #[bpaf(long, env("PONDTRACK_LOG"), argument("SPEC"), fallback("info".to_owned()))]
    pub log: String,
}

/// Error that prevents an instance from starting.
#[derive(Debug, Snafu)]
pub enum HostedError {
    /// The settings file can't be read or is invalid.
    #[snafu(display("{source}"), context(false))]
    Settings {
        /// The underlying error.
        source: BootError,
    },
    /// Binding a listener to an address failed.
    #[snafu(display("{what} {addr}: {source}"))]
    Listen {
        /// Purpose of the listener.
        what: &'static str,
        /// The configured address.
        addr: SocketAddrV4,
        /// The underlying error.
        source: io::Error,
    },
    /// Installing a signal handler failed.
    #[snafu(display("signals: {source}"))]
    Signals {
        /// The underlying error.
        source: io::Error,
    },
}

/// Runs an instance until SIGTERM; returns the exit status of the process.
pub fn main(hosted: Hosted) -> ExitCode {
    let _logger = match telemetry::log_to_stdout(&hosted.log) {
        Ok(handle) => handle,
        Err(e) => {
            eprintln!("pondtrackd: --log {:?} is not accepted: {e}", hosted.log);
            return ExitCode::from(EXIT_BAD_SETTINGS);
        }
    };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let result = match runtime {
        Ok(runtime) => runtime.block_on(LocalSet::new().run_until(run())).map_err(|e| e.to_string()),
        Err(e) => Err(e.to_string()),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            log::error!(step = "start"; "{e}");
            eprintln!("pondtrackd: {e}");
            ExitCode::from(EXIT_BAD_SETTINGS)
        }
    }
}

async fn run() -> Result<(), HostedError> {
    let boot = Boot::load()?;
    let mut term = signal(SignalKind::terminate()).context(SignalsSnafu)?;
    let hangup = signal(SignalKind::hangup()).context(SignalsSnafu)?;
    let adapters = Adapters {
        protocol: Box::new(LineProtocol),
        store: Box::new(ObjectStore::new(boot.store.addr)),
        promoter: Box::new(HttpPromoter::new(boot.promoter.addr)),
    };
    let own_settings = settings::Settings {
        name: boot.name.clone(),
        zone: boot.zone.clone(),
        peer_addr: boot.peer_addr(),
        first_start: boot.first_start,
        capacity: boot.limits.map(|limits| limits.capacity()),
    };
    let inst = Instance::new(own_settings, reload::bounds(&boot), adapters);
    let callers = listen("callers", boot.listen.callers).await?;
    let ready = listen("ready", boot.listen.ready).await?;
    let links = listen("other instances", inst.settings.peer_addr).await?;
    tokio::task::spawn_local(relay::accept(inst.clone(), links));
    tokio::task::spawn_local(serve_probe(inst.clone(), ready));
    tokio::task::spawn_local(watcher::run(inst.clone(), Collection::Config));
    tokio::task::spawn_local(watcher::run(inst.clone(), Collection::Servers));
    tokio::task::spawn_local(watcher::register(inst.clone()));
    tokio::task::spawn_local(watcher::sweep(inst.clone()));
    tokio::task::spawn_local(distribution::run(inst.clone()));
    tokio::task::spawn_local(distribution::join(inst.clone(), boot.seeds.clone()));
    tokio::task::spawn_local(quota::run(inst.clone()));
    tokio::task::spawn_local(report::run(inst.clone()));
    tokio::task::spawn_local(failover::run(inst.clone()));
    let lease = tokio::task::spawn_local(lease::run(inst.clone()));
    let acceptor = tokio::task::spawn_local(session::accept(inst.clone(), callers));
    log::info!(instance = boot.name.as_str(), zone = boot.zone.as_str(), callers:% = boot.listen.callers; "up");
    tokio::task::spawn_local(reload::watch(inst.clone(), boot.clone(), hangup));
    // The signal stream ends only with the process, so `None` can be ignored.
    let _ = term.recv().await;
    inst.start_drain();
    drain(&inst).await;
    acceptor.abort();
    let release = async { tokio::join!(watcher::deregister(&inst), lease) };
    if timeout(RELEASE_TIMEOUT, release).await.is_err() {
        log::warn!(step = "end"; "timed out deregistering from the store and releasing the lease");
    }
    report::log_report(&inst);
    log::info!(instance = boot.name.as_str(), sessions = inst.sessions.get(); "down");
    Ok(())
}

/// Binds a TCP listener; `what` names its purpose in the error.
async fn listen(what: &'static str, addr: SocketAddrV4) -> Result<TcpListener, HostedError> {
    TcpListener::bind(SocketAddr::V4(addr)).await.context(ListenSnafu { what, addr })
}

/// Waits until all sessions and failovers have ended, for at most the grace period less [`SHUTDOWN_RESERVE`].
async fn drain(inst: &Instance) {
    let drained = async {
        // New sessions still arrive until the platform has seen that this instance is not ready.
        sleep(settings::UNREADY_DELAY).await;
        while inst.sessions.get() > 0 || inst.failovers.get() > 0 {
            sleep(DRAIN_POLL).await;
        }
    };
    let limit = inst.bounds.get().grace.saturating_sub(SHUTDOWN_RESERVE);
    if timeout(limit, drained).await.is_err() {
        log::warn!(sessions = inst.sessions.get(), failovers = inst.failovers.get(); "grace period exceeded with sessions still open, or a failover in progress");
    }
}

/// Serves the readiness probe and `/metrics`.
async fn serve_probe(inst: Rc<Instance>, listener: TcpListener) {
    telemetry::install();
    let (ready_sender, ready) = watch::channel(false);
    let app = Router::new()
        .route(
            READY_PATH,
            routing::get(async move || match *ready.borrow() {
                true => StatusCode::OK,
                false => StatusCode::SERVICE_UNAVAILABLE,
            }),
        )
        .route("/metrics", routing::get(async || telemetry::render()));
    let update = async {
        loop {
            ready_sender.send_replace(inst.is_ready());
            let draining = inst.drain_started.notified();
            tokio::select! {
                () = draining => {}
                () = sleep(READY_POLL) => {}
            }
        }
    };
    tokio::select! {
        result = axum::serve(listener, app) => log::error!(step = "probe"; "server ended: {result:?}"),
        () = update => {}
    }
}

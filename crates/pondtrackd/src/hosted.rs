//! An instance on the platform: the engine with the edge of `pondtrack-platform`.

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

/// The exit status when the settings or an address are not accepted.
const BAD_SETTINGS: u8 = 2;
/// Kept of the grace for the end itself, so that the process is not killed while it gives up its lease.
const END_RESERVE: Duration = Duration::from_millis(400);
/// Between two looks whether all sessions have ended.
const END_PAUSE: Duration = Duration::from_millis(20);
/// Between two looks whether this instance is ready; leaving is noticed at once.
const READY_PAUSE: Duration = Duration::from_millis(250);
/// Time for what is given up in the store at the end.
const FAREWELL: Duration = Duration::from_millis(300);

/// Settings of an instance on the platform; the rest comes from the platform's settings file.
#[derive(Clone, Debug, PartialEq, Eq, Bpaf)]
#[bpaf(generate(hosted_parser))]
pub struct Hosted {
    /// What is logged, such as info or debug, as flexi_logger reads it
    #[bpaf(long, env("PONDTRACK_LOG"), argument("SPEC"), fallback("info".to_owned()))]
    pub log: String,
}

/// Why an instance doesn't start, or ends.
#[derive(Debug, Snafu)]
pub enum HostedError {
    /// The settings file can't be used.
    #[snafu(display("{source}"), context(false))]
    Settings {
        /// The cause.
        source: BootError,
    },
    /// An address can't be listened on.
    #[snafu(display("{what} {addr}: {source}"))]
    Listen {
        /// What the address is for.
        what: &'static str,
        /// The address.
        addr: SocketAddrV4,
        /// The cause.
        source: io::Error,
    },
    /// Signals can't be waited for.
    #[snafu(display("signals: {source}"))]
    Signals {
        /// The cause.
        source: io::Error,
    },
}

/// Runs an instance until a signal ends it.
pub fn main(hosted: Hosted) -> ExitCode {
    let _logs = match telemetry::log_to_stdout(&hosted.log) {
        Ok(it) => it,
        Err(e) => {
            eprintln!("pondtrackd: --log {:?} is not accepted: {e}", hosted.log);
            return ExitCode::from(BAD_SETTINGS);
        }
    };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let done = match runtime {
        Ok(it) => it.block_on(LocalSet::new().run_until(run())).map_err(|e| e.to_string()),
        Err(e) => Err(e.to_string()),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            log::error!(step = "start"; "{e}");
            eprintln!("pondtrackd: {e}");
            ExitCode::from(BAD_SETTINGS)
        }
    }
}

async fn run() -> Result<(), HostedError> {
    let boot = Boot::load()?;
    let mut term = signal(SignalKind::terminate()).context(SignalsSnafu)?;
    let hangup = signal(SignalKind::hangup()).context(SignalsSnafu)?;
    let edge = Adapters {
        protocol: Box::new(LineProtocol),
        store: Box::new(ObjectStore::new(boot.store.addr)),
        promoter: Box::new(HttpPromoter::new(boot.promoter.addr)),
    };
    let own = settings::Settings {
        name: boot.name.clone(),
        zone: boot.zone.clone(),
        peer_addr: boot.peer_addr(),
        first_start: boot.first_start,
        capacity: boot.limits.map(|it| it.capacity()),
    };
    let inst = Instance::new(own, reload::bounds(&boot), edge);
    let callers = listen("callers", boot.listen.callers).await?;
    let ready = listen("ready", boot.listen.ready).await?;
    let links = listen("other instances", inst.settings.peer_addr).await?;
    tokio::task::spawn_local(relay::accept(inst.clone(), links));
    tokio::task::spawn_local(probe(inst.clone(), ready));
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
    let accepting = tokio::task::spawn_local(session::accept(inst.clone(), callers));
    log::info!(instance = boot.name.as_str(), zone = boot.zone.as_str(), callers:% = boot.listen.callers; "up");
    tokio::task::spawn_local(reload::follow(inst.clone(), boot.clone(), hangup));
    // It ends only with the process.
    let _ = term.recv().await;
    inst.start_drain();
    drain(&inst).await;
    accepting.abort();
    let farewell = async { tokio::join!(watcher::deregister(&inst), lease) };
    if timeout(FAREWELL, farewell).await.is_err() {
        log::warn!(step = "end"; "what this instance held in the store was not given up in time");
    }
    report::log_report(&inst);
    log::info!(instance = boot.name.as_str(), sessions = inst.sessions.get(); "down");
    Ok(())
}

async fn listen(what: &'static str, addr: SocketAddrV4) -> Result<TcpListener, HostedError> {
    TcpListener::bind(SocketAddr::V4(addr)).await.context(ListenSnafu { what, addr })
}

/// Waits until all sessions have ended, for as long as the grace allows.
async fn drain(inst: &Instance) {
    let quiet = async {
        // New ones still come until the platform has noticed.
        sleep(settings::UNREADY_DELAY).await;
        while inst.sessions.get() > 0 {
            sleep(END_PAUSE).await;
        }
    };
    let limit = inst.bounds.get().grace.saturating_sub(END_RESERVE);
    if timeout(limit, quiet).await.is_err() {
        log::warn!(sessions = inst.sessions.get(); "ends with work left");
    }
}

/// Answers whether new sessions are wanted, and serves the metrics.
async fn probe(inst: Rc<Instance>, listener: TcpListener) {
    telemetry::install();
    let (changed, ready) = watch::channel(false);
    let app = Router::new()
        .route(
            READY_PATH,
            routing::get(async move || match *ready.borrow() {
                true => StatusCode::OK,
                false => StatusCode::SERVICE_UNAVAILABLE,
            }),
        )
        .route("/metrics", routing::get(async || telemetry::render()));
    let follow = async {
        loop {
            changed.send_replace(inst.is_ready());
            let leave = inst.drain_started.notified();
            tokio::select! {
                () = leave => {}
                () = sleep(READY_PAUSE) => {}
            }
        }
    };
    tokio::select! {
        it = axum::serve(listener, app) => log::error!(step = "probe"; "ended: {it:?}"),
        () = follow => {}
    }
}

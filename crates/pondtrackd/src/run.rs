//! Start-up, main tasks and graceful shutdown of an instance.

use {
    crate::{
        control, entry, gossip, node::Node, peers, planner, platform_sync, settings::Settings, telemetry,
    },
    pondtrack_core::timer::Timers,
    snafu::{ResultExt, Snafu},
    std::{io, net::SocketAddr, rc::Rc, time::Duration},
    tokio::{
        net::{TcpListener, UdpSocket},
        task::LocalSet,
        time::{sleep, timeout},
    },
};

/// Error that prevents an instance from starting.
#[derive(Debug, Snafu)]
pub enum RunError {
    /// A setting has an invalid value.
    #[snafu(display("{source}"), context(false))]
    Setting {
        /// The invalid setting.
        source: crate::settings::SettingError,
    },
    /// Binding a listener to an address failed.
    #[snafu(display("--{setting} {addr}: {source}"))]
    Listen {
        /// Name of the setting, without the leading dashes.
        setting: &'static str,
        /// The configured address.
        addr: SocketAddr,
        /// The underlying error.
        source: io::Error,
    },
    /// Creating the platform client failed.
    #[snafu(display("{source}"), context(false))]
    Platform {
        /// The underlying error.
        source: pondtrack_edge::PlatformError,
    },
}

/// Listen addresses of a running instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ready {
    /// Address that callers connect to.
    pub callers: SocketAddr,
    /// Address that other instances connect to, over TCP and UDP.
    pub peers: SocketAddr,
    /// Address that operators connect to.
    pub control: SocketAddr,
    /// Address that serves `/metrics`; `None` if metrics are disabled.
    pub metrics: Option<SocketAddr>,
}

/// Periodic tasks driven by the timer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Task {
    Membership,
    Grants,
    Homes,
    CallCounts,
}

impl Task {
    const ALL: [Task; 4] = [Task::Membership, Task::Grants, Task::Homes, Task::CallCounts];

    /// Interval between two runs, in milliseconds.
    fn period(self, settings: &Settings) -> u64 {
        match self {
            Task::Membership => (settings.probe_ms / 10).clamp(10, 100),
            Task::Grants => 500,
            Task::Homes => 500,
            Task::CallCounts => 1_000,
        }
    }
}

/// Runs an instance until `stop` completes or an operator stops it.
///
/// `ready` is called with the listen addresses once the instance accepts connections. Fails if a setting is
/// invalid, an address can't be bound or the platform client can't be created.
pub async fn run(
    mut settings: Settings,
    ready: impl FnOnce(Ready),
    stop: impl Future<Output = ()>,
) -> Result<(), RunError> {
    settings.check()?;
    let listen =
        |setting, addr| async move { TcpListener::bind(addr).await.context(ListenSnafu { setting, addr }) };
    let callers = listen("listen", settings.listen).await?;
    let links = listen("peer-listen", settings.peer_listen).await?;
    let addr =
        links.local_addr().context(ListenSnafu { setting: "peer-listen", addr: settings.peer_listen })?;
    settings.peer_listen = addr;
    let udp = UdpSocket::bind(addr).await.context(ListenSnafu { setting: "peer-listen", addr })?;
    let node = Node::new(settings, udp)?;
    LocalSet::new().run_until(serve(node, callers, links, ready, stop)).await
}

async fn serve(
    node: Rc<Node>,
    callers: TcpListener,
    links: TcpListener,
    ready: impl FnOnce(Ready),
    stop: impl Future<Output = ()>,
) -> Result<(), RunError> {
    let settings = &node.settings;
    let control = control::serve(node.clone(), settings.control_listen)
        .await
        .context(ListenSnafu { setting: "control-listen", addr: settings.control_listen })?;
    let metrics = match settings.metrics_listen {
        Some(addr) => {
            telemetry::install();
            Some(telemetry::serve(addr).await.context(ListenSnafu { setting: "metrics-listen", addr })?)
        }
        None => None,
    };
    let local_addr = |listener: &TcpListener, addr| listener.local_addr().unwrap_or(addr);
    let addrs = Ready {
        callers: local_addr(&callers, settings.listen),
        peers: local_addr(&links, settings.peer_listen),
        control,
        metrics,
    };
    let acceptor = tokio::task::spawn_local(entry::serve(node.clone(), callers));
    tokio::task::spawn_local(peers::serve(node.clone(), links));
    tokio::task::spawn_local(gossip::serve(node.clone()));
    tokio::task::spawn_local(platform_sync::run(node.clone()));
    tokio::task::spawn_local(planner::run(node.clone()));
    tokio::task::spawn_local(run_timers(node.clone()));
    log::info!(instance = node.name.as_str(), zone = node.zone.as_str(), listen = addrs.callers.to_string().as_str(); "up");
    ready(addrs);
    tokio::select! {
        () = stop => leave(&node, "a signal"),
        () = node.stopped.notified() => {}
    }
    acceptor.abort();
    drain(&node).await;
    Ok(())
}

/// Runs every periodic task when its timer expires.
async fn run_timers(node: Rc<Node>) {
    let mut timers = Timers::default();
    let mut calls = Vec::new();
    for task in Task::ALL {
        timers.set(task, node.now());
    }
    loop {
        let now = node.now();
        for task in timers.take_due(now) {
            match task {
                Task::Membership => gossip::tick(&node),
                Task::Grants => platform_sync::replenish_all(&node),
                Task::Homes => node.homes.borrow_mut().retain(|home| !home.is_drained()),
                Task::CallCounts => platform_sync::record_call_counts(&node, &mut calls),
            }
            timers.set(task, now + task.period(&node.settings));
        }
        let next = timers.next_deadline().unwrap_or(now + 1_000);
        sleep(Duration::from_millis(next.saturating_sub(node.now()).max(1))).await;
    }
}

/// Starts a graceful shutdown: refuses new sessions, moves groups to other homes and finishes requests in flight.
///
/// `why` is recorded with the decision. Repeated calls have no effect.
pub fn leave(node: &Rc<Node>, why: &str) {
    if node.leaving.replace(true) {
        return;
    }
    node.record_decision(&node.name, "this instance leaves", why);
    let output = node.members.borrow_mut().leave();
    gossip::apply(node, output);
    gossip::reconcile(node);
    node.drain_started.notify_waiters();
    node.stopped.notify_one();
}

/// Waits until all sessions and all streams of other instances have ended, for at most `stop_ms`.
async fn drain(node: &Rc<Node>) {
    let drained = async {
        // Other instances route requests here until the leave message has reached them.
        sleep(Duration::from_millis(node.settings.probe_ms.min(1_000))).await;
        loop {
            node.homes.borrow_mut().retain(|home| !home.is_drained());
            if node.sessions.is_empty() && node.homes.borrow().is_empty() {
                return;
            }
            sleep(Duration::from_millis(20)).await;
        }
    };
    let limit = Duration::from_millis(node.settings.stop_ms);
    if timeout(limit, drained).await.is_err() {
        log::warn!(instance = node.name.as_str(), sessions = node.sessions.len(); "stop deadline exceeded with sessions or streams still open");
    }
    log::info!(instance = node.name.as_str(); "down");
}

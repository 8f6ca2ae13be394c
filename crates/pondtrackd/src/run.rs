//! Starting, running and ending an instance.

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

/// Why an instance doesn't start.
#[derive(Debug, Snafu)]
pub enum RunError {
    /// A setting is not accepted.
    #[snafu(display("{source}"), context(false))]
    Setting {
        /// The setting.
        source: crate::settings::SettingError,
    },
    /// An address can't be listened on.
    #[snafu(display("--{setting} {addr}: {source}"))]
    Listen {
        /// The setting.
        setting: &'static str,
        /// The address.
        addr: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// The platform's client can't be set up.
    #[snafu(display("{source}"), context(false))]
    Platform {
        /// The cause.
        source: pondtrack_edge::PlatformError,
    },
}

/// The addresses of an instance that is up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ready {
    /// For callers.
    pub callers: SocketAddr,
    /// For other instances.
    pub peers: SocketAddr,
    /// For operators.
    pub control: SocketAddr,
    /// For `/metrics`.
    pub metrics: Option<SocketAddr>,
}

/// Parts that the timer wakes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Part {
    Members,
    Grants,
    Homes,
    Calls,
}

impl Part {
    const ALL: [Part; 4] = [Part::Members, Part::Grants, Part::Homes, Part::Calls];

    /// Between two wakes, in milliseconds.
    fn period(self, settings: &Settings) -> u64 {
        match self {
            Part::Members => (settings.probe_ms / 10).clamp(10, 100),
            Part::Grants => 500,
            Part::Homes => 500,
            Part::Calls => 1_000,
        }
    }
}

/// Runs an instance until it is told to stop; `ready` gets its addresses.
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
    let own = &node.settings;
    let control = control::serve(node.clone(), own.control_listen)
        .await
        .context(ListenSnafu { setting: "control-listen", addr: own.control_listen })?;
    let metrics = match own.metrics_listen {
        Some(addr) => {
            telemetry::install();
            Some(telemetry::serve(addr).await.context(ListenSnafu { setting: "metrics-listen", addr })?)
        }
        None => None,
    };
    let local = |it: &TcpListener, addr| it.local_addr().unwrap_or(addr);
    let addrs = Ready {
        callers: local(&callers, own.listen),
        peers: local(&links, own.peer_listen),
        control,
        metrics,
    };
    let accepting = tokio::task::spawn_local(entry::serve(node.clone(), callers));
    tokio::task::spawn_local(peers::serve(node.clone(), links));
    tokio::task::spawn_local(gossip::serve(node.clone()));
    tokio::task::spawn_local(platform_sync::run(node.clone()));
    tokio::task::spawn_local(planner::run(node.clone()));
    tokio::task::spawn_local(timers(node.clone()));
    log::info!(instance = node.name.as_str(), zone = node.zone.as_str(), listen = addrs.callers.to_string().as_str(); "up");
    ready(addrs);
    tokio::select! {
        () = stop => leave(&node, "a signal"),
        () = node.stopped.notified() => {}
    }
    accepting.abort();
    end(&node).await;
    Ok(())
}

async fn timers(node: Rc<Node>) {
    let mut timers = Timers::default();
    let mut calls = Vec::new();
    for it in Part::ALL {
        timers.set(it, node.now());
    }
    loop {
        let now = node.now();
        for it in timers.take_due(now) {
            match it {
                Part::Members => gossip::tick(&node),
                Part::Grants => platform_sync::replenish_all(&node),
                Part::Homes => node.homes.borrow_mut().retain(|it| !it.is_drained()),
                Part::Calls => platform_sync::record_call_counts(&node, &mut calls),
            }
            timers.set(it, now + it.period(&node.settings));
        }
        let next = timers.next_deadline().unwrap_or(now + 1_000);
        sleep(Duration::from_millis(next.saturating_sub(node.now()).max(1))).await;
    }
}

/// Begins to leave: no new sessions, groups move to other homes, what is in flight is finished.
pub fn leave(node: &Rc<Node>, why: &str) {
    if node.leaving.replace(true) {
        return;
    }
    node.record_decision(&node.name, "this instance leaves", why);
    let out = node.members.borrow_mut().leave();
    gossip::apply(node, out);
    gossip::reconcile(node);
    node.drain_started.notify_waiters();
    node.stopped.notify_one();
}

/// Waits until sessions and the streams of other instances have ended, for the time allowed.
async fn end(node: &Rc<Node>) {
    let quiet = async {
        // Others need a moment to hear of it, and send their requests here until then.
        sleep(Duration::from_millis(node.settings.probe_ms.min(1_000))).await;
        loop {
            node.homes.borrow_mut().retain(|it| !it.is_drained());
            if node.sessions.is_empty() && node.homes.borrow().is_empty() {
                return;
            }
            sleep(Duration::from_millis(20)).await;
        }
    };
    let limit = Duration::from_millis(node.settings.stop_ms);
    if timeout(limit, quiet).await.is_err() {
        log::warn!(instance = node.name.as_str(), sessions = node.sessions.len(); "ends with work left");
    }
    log::info!(instance = node.name.as_str(); "down");
}

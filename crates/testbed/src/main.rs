//! The program `testbed`: stand-ins, the demonstration, scenarios and measurements.

use {
    bpaf::Bpaf,
    std::{
        net::{IpAddr, Ipv4Addr, SocketAddr},
        path::PathBuf,
        process::ExitCode,
        time::Duration,
    },
    testbed::{
        db, demo,
        model::{self, Bounds},
        platform,
    },
};

#[derive(Clone, Debug, Bpaf)]
#[allow(clippy::large_enum_variant, reason = "there is one of it")]
#[bpaf(options, version)]
/// Stand-ins, load and measurements of pondtrack. Not shipped.
enum Command {
    /// A platform: the object API over HTTP
    #[bpaf(command)]
    Platform {
        /// Where it listens
        #[bpaf(long, argument("ADDR"))]
        listen: SocketAddr,
    },
    /// A database server
    #[bpaf(command)]
    Db {
        /// Where it listens
        #[bpaf(long, argument("ADDR"))]
        listen: SocketAddr,
        /// The address its own connections come from
        #[bpaf(long, argument("IP"), fallback(IpAddr::V4(Ipv4Addr::UNSPECIFIED)))]
        bind: IpAddr,
        /// Its folder
        #[bpaf(long, argument("DIR"))]
        data: PathBuf,
        /// Connections accepted
        #[bpaf(long, argument("N"), fallback(25))]
        limit: usize,
        /// Time to open a connection, in milliseconds
        #[bpaf(long, argument("MS"), fallback(10))]
        opening_ms: u64,
        /// Begins as the primary of term 1
        #[bpaf(long)]
        primary: bool,
        /// Whom it follows at first
        #[bpaf(long, argument("ADDR"))]
        follow: Option<SocketAddr>,
    },
    /// An instance: the same as pondtrackd
    #[bpaf(command)]
    Instance(#[bpaf(external(pondtrackd::settings::settings_parser))] pondtrackd::Settings),
    /// The exhaustive walk over gate, switch, fencing, promotion and rejoining
    #[bpaf(command)]
    Model {
        /// Changes of primary that the first home may begin
        #[bpaf(long, argument("N"), fallback(1))]
        switches: u8,
        /// The same of the second home
        #[bpaf(long, argument("N"), fallback(1))]
        switches2: u8,
        /// Writes of the first home's writer
        #[bpaf(long, argument("N"), fallback(1))]
        writes: u8,
        /// The same of the second home's
        #[bpaf(long, argument("N"), fallback(0))]
        writes2: u8,
        /// Homes also act on positions that are out of date
        #[bpaf(long)]
        stale: bool,
        /// Most states
        #[bpaf(long, argument("N"), fallback(8_000_000))]
        states: usize,
    },
    /// A first look, in one process: a primary is killed and work goes on
    #[bpaf(command)]
    Demo {
        /// Stay up afterwards
        #[bpaf(long)]
        stay: bool,
    },
}

fn main() -> ExitCode {
    match command().run() {
        Command::Platform { listen } => serve(platform::serve(listen, say_ready)),
        Command::Db { listen, bind, data, limit, opening_ms, primary, follow } => {
            let opening = Duration::from_millis(opening_ms);
            let config = db::DbConfig { listen, bind, data, limit, opening, primary, follow };
            serve(db::serve(config, say_ready))
        }
        Command::Instance(settings) => pondtrackd::program::main(settings),
        Command::Model { switches, switches2, writes, writes2, stale, states } => {
            let bounds = Bounds {
                switches: [switches, switches2],
                writes: [writes, writes2],
                stale,
                states,
                ..Bounds::small()
            };
            let it = model::walk(bounds);
            println!("states={} whole={} violation={:?}", it.states, it.whole, it.violation);
            exit(Ok(it.violation.is_none()))
        }
        Command::Demo { stay } => work(demo::run(stay)),
    }
}

fn say_ready(addr: SocketAddr) {
    println!("ready addr={addr}");
}

/// Runs a stand-in on one thread.
fn serve(it: impl Future<Output = std::io::Result<()>>) -> ExitCode {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let done = runtime.and_then(|rt| rt.block_on(it));
    exit(done.map(|()| true))
}

/// Runs a piece of work on several threads.
fn work(it: impl Future<Output = std::io::Result<bool>>) -> ExitCode {
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(3).enable_all().build();
    exit(runtime.and_then(|rt| rt.block_on(it)))
}

fn exit(done: std::io::Result<bool>) -> ExitCode {
    match done {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(e) => {
            eprintln!("testbed: {e}");
            ExitCode::FAILURE
        }
    }
}

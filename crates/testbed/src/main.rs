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
        ceiling,
        cluster::Deployment,
        db, demo, fleet,
        history::Violations,
        lab, measure,
        model::{self, Bounds},
        overload, platform,
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
    /// A deployment under load and failures; prints its figures as JSON
    #[bpaf(command)]
    Measure {
        /// waterworks or porting
        #[bpaf(long, argument("NAME"))]
        deployment: String,
        /// Seed of the load
        #[bpaf(long, argument("N"), fallback(1))]
        seed: u64,
        /// How often it is run, with the next seeds
        #[bpaf(long, argument("N"), fallback(1))]
        runs: u64,
        /// What is done and when, such as "kill:0@3000 restore@6000 end@8000", in ms after the warm-up
        #[bpaf(long, argument("ACTS"), fallback(measure::SCHEDULE.to_owned()))]
        schedule: String,
        /// Also runs the plain alternative: no waiting for a majority, no reads on replicas
        #[bpaf(long)]
        baseline: bool,
        /// Draws the gap and the share over time into this file, as SVG
        #[bpaf(long, argument("FILE"))]
        plot: Option<PathBuf>,
        /// Writes the recorded history into this file, a JSON object a line
        #[bpaf(long, argument("FILE"))]
        history: Option<PathBuf>,
    },
    /// Policies for a busy server against a model of it, without a network; prints a table
    #[bpaf(command)]
    Lab {
        /// Scales the callers; at 1 the server is asked for 1.4 times of what it can do
        #[bpaf(long, argument("X"), fallback(1.0))]
        load: f64,
        /// How many seeds, from 1
        #[bpaf(long, argument("N"), fallback(5))]
        seeds: u64,
    },
    /// Many instances: what control costs each, and how soon things spread; a JSON line a size
    #[bpaf(command)]
    Fleet {
        /// Sizes, such as 8,16,32,64
        #[bpaf(long, argument("N,N"), fallback("8,16,32,64".to_owned()))]
        instances: String,
        /// Groups; a quarter of the instances when left out
        #[bpaf(long, argument("N"))]
        databases: Option<usize>,
        /// Instances killed and restarted every ten seconds
        #[bpaf(long, argument("N"), fallback(0))]
        churn: usize,
        /// A zone's instances are killed at once in the end
        #[bpaf(long)]
        kill_zone: bool,
        /// How peers for news are chosen: uniform or groups
        #[bpaf(long, argument("CHOICE"), fallback("uniform".to_owned()))]
        spread: String,
        /// How long control is measured, in seconds
        #[bpaf(long, argument("S"), fallback(20))]
        window: u64,
        /// How long an unchanged primary may keep a question, in milliseconds
        #[bpaf(long, argument("MS"), fallback(150))]
        watch: u64,
    },
    /// One instance's ceiling against a plain relay of bytes; prints JSON
    #[bpaf(command)]
    Ceiling,
    /// 1, 2, 10 and 50 times the callers that a group's connections can serve; a JSON line each
    #[bpaf(command)]
    Overload,
    /// A plain relay of bytes, for comparison
    #[bpaf(command)]
    Pipe {
        /// Where it listens
        #[bpaf(long, argument("ADDR"))]
        listen: SocketAddr,
        /// The server
        #[bpaf(long, argument("ADDR"))]
        target: SocketAddr,
    },
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
        Command::Measure { deployment, seed, runs, schedule, baseline, plot, history } => {
            work(measured(deployment, seed, runs, schedule, baseline, plot, history))
        }
        Command::Fleet { instances, databases, churn, kill_zone, spread, window, watch } => {
            let window = Duration::from_secs(window);
            let options = fleet::Options { instances: 0, databases, churn, kill_zone, spread, window, watch };
            work(fleets(instances, options))
        }
        Command::Ceiling => work(async {
            let it = ceiling::run().await?;
            println!("{}", serde_json::to_string(&it).map_err(std::io::Error::other)?);
            Ok(true)
        }),
        Command::Lab { load, seeds } => {
            print!("{}", lab::table(load, seeds));
            ExitCode::SUCCESS
        }
        Command::Overload => work(async {
            for it in overload::run().await? {
                println!("{}", serde_json::to_string(&it).map_err(std::io::Error::other)?);
            }
            Ok(true)
        }),
        Command::Pipe { listen, target } => serve(ceiling::pipe(listen, target, say_ready)),
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

async fn fleets(sizes: String, options: fleet::Options) -> std::io::Result<bool> {
    for it in sizes.split(',') {
        let instances = it.trim().parse().map_err(std::io::Error::other)?;
        let it = fleet::run(&fleet::Options { instances, ..options.clone() }).await?;
        println!("{}", serde_json::to_string(&it).map_err(std::io::Error::other)?);
    }
    Ok(true)
}

async fn measured(
    deployment: String,
    seed: u64,
    runs: u64,
    schedule: String,
    baseline: bool,
    plot: Option<PathBuf>,
    history: Option<PathBuf>,
) -> std::io::Result<bool> {
    let deployment = match deployment.as_str() {
        "waterworks" => Deployment::waterworks(),
        "porting" => Deployment::porting(),
        other => {
            let text = format!("--deployment {other:?} is not accepted; it takes waterworks or porting");
            return Err(std::io::Error::other(text));
        }
    };
    let schedule = measure::schedule(&schedule).map_err(std::io::Error::other)?;
    let mut clean = true;
    for seed in seed..seed + runs {
        let deployment = deployment.clone();
        let options = measure::Options {
            deployment,
            seed,
            schedule: schedule.clone(),
            plot: plot.clone(),
            history: history.clone(),
        };
        if baseline {
            let mut plain = options.clone();
            plain.deployment.flags = ["--gate", "off", "--replica-reads", "off"].map(str::to_owned).to_vec();
            let it = measure::run(&plain).await?;
            println!("baseline {}", serde_json::to_string(&it).map_err(std::io::Error::other)?);
        }
        let it = measure::run(&options).await?;
        clean &= it.violations == Violations::default();
        println!("{}", serde_json::to_string(&it).map_err(std::io::Error::other)?);
    }
    Ok(clean)
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

//! Command-line flags and environment variables, validated before any listener opens.

use {
    crate::hosted::{Hosted, hosted_parser},
    bpaf::{Bpaf, OptionParser, Parser},
    pondtrack_core::{failure_detector::DetectorConfig, gossip::PeerSelection},
    pondtrack_proto::{Name, group::is_valid_name},
    snafu::Snafu,
    std::net::{IpAddr, Ipv4Addr, SocketAddr},
};

/// Error for a setting with an invalid value.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("--{setting} {value:?} is not accepted; it takes {accepted}"))]
pub struct SettingError {
    /// Name of the flag, without the leading dashes.
    pub setting: &'static str,
    /// The rejected value.
    pub value: String,
    /// Description of the valid values.
    pub accepted: &'static str,
}

/// The settings of an instance.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(settings_parser))]
pub struct Settings {
    /// Name of this instance, unique in the fleet
    #[bpaf(long, env("PONDTRACK_NAME"), argument("NAME"))]
    pub name: String,
    /// Availability zone of this instance
    #[bpaf(long, env("PONDTRACK_ZONE"), argument("ZONE"))]
    pub zone: String,
    /// Address callers connect to
    #[bpaf(long, env("PONDTRACK_LISTEN"), argument("ADDR"))]
    pub listen: SocketAddr,
    /// Address other instances connect to, over TCP and UDP
    #[bpaf(long, env("PONDTRACK_PEER_LISTEN"), argument("ADDR"))]
    pub peer_listen: SocketAddr,
    /// The same as others see it, when it differs
    #[bpaf(long, env("PONDTRACK_PEER_ADDRESS"), argument("ADDR"))]
    pub peer_address: Option<SocketAddr>,
    /// Address operators connect to
    #[bpaf(long, env("PONDTRACK_CONTROL_LISTEN"), argument("ADDR"))]
    pub control_listen: SocketAddr,
    /// Address that serves /metrics; none when left out
    #[bpaf(long, env("PONDTRACK_METRICS_LISTEN"), argument("ADDR"))]
    pub metrics_listen: Option<SocketAddr>,
    /// Address that this instance's own connections come from
    #[bpaf(long, env("PONDTRACK_BIND"), argument("IP"), fallback(IpAddr::V4(Ipv4Addr::UNSPECIFIED)))]
    pub bind: IpAddr,
    /// The platform's object API, such as http://127.0.0.1:7000
    #[bpaf(long, env("PONDTRACK_PLATFORM"), argument("URL"))]
    pub platform: String,
    /// Addresses of other instances to join through, besides those on the platform's list
    #[bpaf(long, env("PONDTRACK_SEED"), argument("ADDR"))]
    pub seed: Vec<SocketAddr>,
    /// Callers and operators may connect without encryption; this version has no other way
    #[bpaf(long, env("PONDTRACK_PLAINTEXT"))]
    pub plaintext: bool,
    /// Longest message taken from a caller, in bytes
    #[bpaf(long, env("PONDTRACK_MAX_MESSAGE_BYTES"), argument("BYTES"), fallback(1 << 20))]
    pub max_message_bytes: usize,
    /// Longest answer passed to a caller, in bytes
    #[bpaf(long, env("PONDTRACK_MAX_ANSWER_BYTES"), argument("BYTES"), fallback(16 << 20))]
    pub max_answer_bytes: usize,
    /// Most sessions on this instance
    #[bpaf(long, env("PONDTRACK_MAX_SESSIONS"), argument("N"), fallback(10_000))]
    pub max_sessions: usize,
    /// Most sessions of one caller on this instance
    #[bpaf(long, env("PONDTRACK_MAX_CALLER_SESSIONS"), argument("N"), fallback(5_000))]
    pub max_caller_sessions: usize,
    /// Most connections that have not finished their startup
    #[bpaf(long, env("PONDTRACK_MAX_STARTING"), argument("N"), fallback(500))]
    pub max_starting: usize,
    /// Time for a caller's startup, in milliseconds
    #[bpaf(long, env("PONDTRACK_STARTUP_MS"), argument("MS"), fallback(5_000))]
    pub startup_ms: u64,
    /// Time after which a request gets its final answer, in milliseconds
    #[bpaf(long, env("PONDTRACK_REQUEST_MS"), argument("MS"), fallback(5_000))]
    pub request_ms: u32,
    /// Time for requests in flight when this instance stops, in milliseconds
    #[bpaf(long, env("PONDTRACK_STOP_MS"), argument("MS"), fallback(30_000))]
    pub stop_ms: u64,
    /// Silence after which a primary is given up, in milliseconds
    #[bpaf(long, env("PONDTRACK_SILENCE_MS"), argument("MS"), fallback(450))]
    pub silence_ms: u64,
    /// How long an unchanged primary may keep the first home's question, in milliseconds; other homes and
    /// replicas are asked more rarely in proportion
    #[bpaf(long, env("PONDTRACK_WATCH_MS"), argument("MS"), fallback(150))]
    pub watch_ms: u32,
    /// Between two probes of other instances, in milliseconds
    #[bpaf(long, env("PONDTRACK_PROBE_MS"), argument("MS"), fallback(1_000))]
    pub probe_ms: u64,
    /// Whether acknowledgements wait for a majority; turning it off can lose writes, for comparisons only
    #[bpaf(long, env("PONDTRACK_GATE"), argument("on|off"), fallback(Switch::On))]
    pub gate: Switch,
    /// Whether replicas answer reads; turning it off is for comparisons
    #[bpaf(long, env("PONDTRACK_REPLICA_READS"), argument("on|off"), fallback(Switch::On))]
    pub replica_reads: Switch,
    /// How peers for news are chosen: uniform or groups
    #[bpaf(long, env("PONDTRACK_SPREAD"), argument("CHOICE"), fallback(PeerSelection::Uniform))]
    pub spread: PeerSelection,
    /// What is logged, such as info or debug, as flexi_logger reads it
    #[bpaf(long, env("PONDTRACK_LOG"), argument("SPEC"), fallback("info, jsonrpsee=warn, jsonrpsee_server=warn, hyper_util=warn, reqwest=warn".to_owned()))]
    pub log: String,
}

/// Value of an on/off flag.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum Switch {
    /// Enabled.
    On,
    /// Disabled.
    Off,
}

impl Switch {
    /// Returns true if the switch is on.
    pub fn is_on(self) -> bool {
        self == Switch::On
    }
}

/// Mode in which the program runs an instance.
#[derive(Clone, Debug)]
pub enum Mode {
    /// On the users' platform, which writes a settings file.
    Hosted(Hosted),
    /// Configured by flags, in front of servers that speak the PostgreSQL protocol.
    Own(Box<Settings>),
}

impl Mode {
    /// Parses the command line and the environment; on an error, prints it and exits the process.
    pub fn from_command_line() -> Mode {
        let hosted = hosted_parser().map(Mode::Hosted).to_options();
        let hosted =
            hosted.descr("Runs on the users' platform, with the settings file it writes").command("hosted");
        let own = settings_parser().map(|settings| Mode::Own(Box::new(settings)));
        bpaf::construct!([hosted, own]).to_options().descr(ABOUT).version(env!("CARGO_PKG_VERSION")).run()
    }
}

/// Description at the top of the help text.
const ABOUT: &str = "An instance of pondtrack, a database proxy with session consistency.\n\n\
                     Every flag can be given as an environment variable instead: PONDTRACK_ and the flag in \
                     capitals, with underscores.";

/// Returns the parser of the flags, with the help text.
pub fn options() -> OptionParser<Settings> {
    settings_parser().to_options().descr(ABOUT).version(env!("CARGO_PKG_VERSION"))
}

impl Settings {
    /// Parses settings from arguments, for tests.
    pub fn from_args(args: &[&str]) -> Result<Settings, String> {
        let describe = |e: bpaf::ParseFailure| format!("{e:?}");
        options().run_inner(args).map_err(describe)
    }

    /// Validates ranges and combinations that the types don't enforce; fails with the first invalid setting.
    pub fn check(&self) -> Result<(), SettingError> {
        let fail = |setting, value: &dyn ToString, accepted| {
            Err(SettingError { setting, value: value.to_string(), accepted })
        };
        let name = "1 to 63 of a-z, 0-9, '-' and '_'";
        if !is_valid_name(&self.name) {
            return fail("name", &self.name, name);
        }
        if !is_valid_name(&self.zone) {
            return fail("zone", &self.zone, name);
        }
        if !self.plaintext {
            let accepted = "to be given: this version has no TLS, so plain text has to be asked for";
            return fail("plaintext", &"", accepted);
        }
        if !self.platform.starts_with("http://") {
            return fail("platform", &self.platform, "a URL that begins with http://");
        }
        if self.peer_addr().ip().is_unspecified() {
            return fail("peer-address", &self.peer_addr(), "an address that others can reach");
        }
        if !(1 << 10..=64 << 20).contains(&self.max_message_bytes) {
            return fail("max-message-bytes", &self.max_message_bytes, "1024 to 67108864");
        }
        if !(1 << 10..=60 << 20).contains(&self.max_answer_bytes) {
            return fail("max-answer-bytes", &self.max_answer_bytes, "1024 to 62914560");
        }
        if !(50..=600_000).contains(&self.request_ms) {
            return fail("request-ms", &self.request_ms, "50 to 600000");
        }
        if !(100..=60_000).contains(&self.silence_ms) {
            return fail("silence-ms", &self.silence_ms, "100 to 60000");
        }
        if !(20..=20_000).contains(&self.watch_ms) || u64::from(self.watch_ms) * 2 > self.silence_ms {
            return fail("watch-ms", &self.watch_ms, "20 to 20000, at most half of --silence-ms");
        }
        if !(50..=60_000).contains(&self.probe_ms) {
            return fail("probe-ms", &self.probe_ms, "50 to 60000");
        }
        if self.max_sessions == 0 {
            return fail("max-sessions", &self.max_sessions, "at least 1");
        }
        Ok(())
    }

    /// Returns the address that other instances connect to.
    pub fn peer_addr(&self) -> SocketAddr {
        self.peer_address.unwrap_or(self.peer_listen)
    }

    /// Returns the instance's name as a shared string.
    pub fn shared_name(&self) -> Name {
        Name::from(self.name.as_str())
    }

    /// Returns the failure detector's configuration, with the timeout from the settings.
    pub fn detect(&self) -> DetectorConfig {
        DetectorConfig { silence_timeout: self.silence_ms, ..DetectorConfig::default() }
    }
}

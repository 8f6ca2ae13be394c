//! Definition of the command line.
//!
//! The doc comments of options and commands are the texts that `--help` prints.

use {
    bpaf::{Bpaf, OptionParser, Parser},
    std::{net::SocketAddr, path::PathBuf},
};

/// The whole command line.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(options_raw))]
pub struct Options {
    /// Address of any instance's operator interface
    #[bpaf(long, short('a'), env("PONDTRACK_AT"), argument("ADDR"), fallback(([127, 0, 0, 1], 7070).into()))]
    pub at: SocketAddr,
    /// Print JSON for scripts
    #[bpaf(long)]
    pub json: bool,
    /// Who asks; recorded on the plan
    #[bpaf(long, env("PONDTRACK_OPERATOR"), argument("NAME"), fallback_with(default_operator))]
    pub operator: String,
    /// Colour in tables: auto, always or never
    #[bpaf(long, argument("WHEN"), fallback(Colour::Auto))]
    pub colour: Colour,
    /// What to do
    #[bpaf(external)]
    pub command: Command,
}

/// The use of colour in tables.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::EnumString, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Colour {
    /// Colour if standard output is a terminal.
    Auto,
    /// Colour in all output.
    Always,
    /// No colour.
    Never,
}

/// What to do.
#[derive(Clone, Debug, PartialEq, Eq, Bpaf)]
pub enum Command {
    /// Show the fleet, its groups, terms, lag and connections
    #[bpaf(command)]
    Status,
    /// Make a plan from an intent; nothing changes until it is confirmed
    #[bpaf(command)]
    Plan(#[bpaf(external(intent))] Intent),
    /// Confirm a plan, and watch it to its end
    #[bpaf(command)]
    Confirm {
        /// Return at once instead of watching
        #[bpaf(long)]
        no_watch: bool,
        /// The plan's name
        #[bpaf(positional("PLAN"))]
        plan: String,
    },
    /// End a plan before its end; a step under way is finished
    #[bpaf(command)]
    Abort {
        /// The plan's name
        #[bpaf(positional("PLAN"))]
        plan: String,
    },
    /// Watch a plan to its end
    #[bpaf(command)]
    Watch {
        /// The plan's name
        #[bpaf(positional("PLAN"))]
        plan: String,
    },
    /// List the plans, or show one
    #[bpaf(command)]
    Plans {
        /// The plan's name
        #[bpaf(positional("PLAN"))]
        plan: Option<String>,
    },
    /// Tell why: recorded decisions about a group, an instance or a plan, with their evidence
    #[bpaf(command)]
    Explain {
        /// The group, instance or plan; all when left out
        #[bpaf(positional("SUBJECT"))]
        subject: Option<String>,
    },
    /// Check a group's configuration without asking anyone
    #[bpaf(command)]
    Check {
        /// A file with the group as JSON
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
}

/// What an operator wants.
#[derive(Clone, Debug, PartialEq, Eq, Bpaf)]
pub enum Intent {
    /// Send no new work to a server; a primary is switched away first
    #[bpaf(command)]
    Drain {
        /// The group
        #[bpaf(positional("GROUP"))]
        group: String,
        /// The server
        #[bpaf(positional("SERVER"))]
        server: String,
    },
    /// Use a drained server again
    #[bpaf(command)]
    Return {
        /// The group
        #[bpaf(positional("GROUP"))]
        group: String,
        /// The server
        #[bpaf(positional("SERVER"))]
        server: String,
    },
    /// Make another server the primary
    #[bpaf(command)]
    Switch {
        /// The group
        #[bpaf(positional("GROUP"))]
        group: String,
        /// The next primary
        #[bpaf(positional("SERVER"))]
        server: String,
    },
    /// Let an instance finish its work and end
    #[bpaf(command)]
    Stop {
        /// The instance
        #[bpaf(positional("INSTANCE"))]
        instance: String,
    },
    /// Create or change a group, its limits or its read policy
    #[bpaf(command)]
    Configure {
        /// A file with the group as JSON
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
}

/// Returns the parser of the command line.
pub fn options() -> OptionParser<Options> {
    let about = "State an intent, read the plan, confirm it.\n\n\
                 For example: pondtrack plan drain parts parts-0, then: pondtrack confirm drain-1a2b3c4d";
    options_raw().to_options().descr(about).version(env!("CARGO_PKG_VERSION"))
}

fn default_operator() -> Result<String, std::env::VarError> {
    std::env::var("USER").or_else(|_| Ok("unnamed".to_owned()))
}

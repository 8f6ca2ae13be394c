//! The operator's command line: state an intent, read the plan, confirm it.
//!
//! | module | holds |
//! | --- | --- |
//! | [`command`] | what can be typed |
//! | [`run`](mod@run) | asking an instance |
//! | [`show`] | tables for people |
//! | [`error`] | errors, rendered apart, with a hint on what to type instead |

pub mod command;
pub mod error;
pub mod run;
pub mod show;

pub use crate::{
    command::Command,
    error::{CliError, Kind},
};

use std::process::ExitCode;

/// Reads the command line, runs it, and prints what came of it.
pub fn main() -> ExitCode {
    let options = command::options().run();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let done = match runtime {
        Ok(it) => it.block_on(run::run(&options)),
        Err(e) => Err(CliError::new(Kind::Usage, e.to_string())),
    };
    match done {
        Ok(text) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Err(e) => {
            eprint!("{}", e.render());
            ExitCode::from(e.kind.status())
        }
    }
}

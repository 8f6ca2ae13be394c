//! The operator's command line. A change is requested as an intent, shown as a plan, and made after confirmation.
//!
//! | module | contents |
//! | --- | --- |
//! | [`command`] | definition of the command line |
//! | [`run`](mod@run) | execution of commands through an instance |
//! | [`show`] | formatting of results as tables and text |
//! | [`error`] | errors with an exit status and a hint |

pub mod command;
pub mod error;
pub mod run;
pub mod show;

pub use crate::{
    command::Command,
    error::{CliError, Kind},
};

use std::process::ExitCode;

/// Parses the command line, runs the command and prints the result. Returns the exit code.
pub fn main() -> ExitCode {
    let options = command::options().run();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let result = match runtime {
        Ok(runtime) => runtime.block_on(run::run(&options)),
        Err(e) => Err(CliError::new(Kind::Usage, e.to_string())),
    };
    match result {
        Ok(text) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Err(e) => {
            eprint!("{}", e.render());
            ExitCode::from(e.kind.exit_status())
        }
    }
}

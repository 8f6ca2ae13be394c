//! The program `pondtrackd`: one instance.

use std::process::ExitCode;

fn main() -> ExitCode {
    pondtrackd::program::main(pondtrackd::Settings::from_command_line())
}

//! The program `pondtrackd`: one instance.

use {
    pondtrackd::{hosted, program, settings::Mode},
    std::process::ExitCode,
};

fn main() -> ExitCode {
    match Mode::from_command_line() {
        Mode::Hosted(it) => hosted::main(it),
        Mode::Own(it) => program::main(*it),
    }
}

//! The `pondtrackd` binary, which runs one instance.

use {
    pondtrackd::{hosted, program, settings::Mode},
    std::process::ExitCode,
};

fn main() -> ExitCode {
    match Mode::from_command_line() {
        Mode::Hosted(hosted) => hosted::main(hosted),
        Mode::Own(settings) => program::main(*settings),
    }
}

//! The program `pondtrack`.

use std::process::ExitCode;

fn main() -> ExitCode {
    pondtrack::main()
}

//! Runs every scenario with separate processes.

use {
    goldenscript::{Command, Context, Runner},
    rstest::rstest,
    std::{error::Error, path::PathBuf, time::Instant},
    testbed::{launch, scenario::Scenario},
};

/// A scenario that prints each command and its outcome, for when it fails.
struct Shown {
    inner: Scenario,
    began: Instant,
}

impl Runner for Shown {
    type Command = Command;

    fn run(&mut self, command: &Command, context: &Context) -> Result<String, Box<dyn Error>> {
        let out = self.inner.run(command, context);

        println!("{:?} {} {:?} -> {out:?}", self.began.elapsed(), command.name, command.args);
        out
    }
}

#[rstest]
fn scenario(#[files("tests/scenarios/*.scn")] path: PathBuf) {
    launch::set_program(env!("CARGO_BIN_EXE_testbed"));
    let inner = Scenario::new().expect("a runtime");
    goldenscript::run(&mut Shown { inner, began: Instant::now() }, path).expect("a scenario");
}

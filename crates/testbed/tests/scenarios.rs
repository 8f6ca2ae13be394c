//! Runs every scenario with separate processes.

use {
    rstest::rstest,
    std::path::PathBuf,
    testbed::{launch, scenario::Scenario},
};

#[rstest]
fn scenario(#[files("tests/scenarios/*.scn")] path: PathBuf) {
    launch::set_program(env!("CARGO_BIN_EXE_testbed"));
    let mut runner = Scenario::new().expect("a runtime");
    goldenscript::run(&mut runner, path).expect("a scenario");
}

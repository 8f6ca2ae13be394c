//! Runs the scenario named by the environment, for debugging.
use testbed::{launch, scenario::Scenario};

#[test]
fn adhoc() {
    let Some(path) = std::env::var_os("SCENARIO") else { return };
    launch::set_program(env!("CARGO_BIN_EXE_testbed"));
    let mut runner = Scenario::new().expect("a runtime");
    goldenscript::run(&mut runner, path).expect("a scenario");
}

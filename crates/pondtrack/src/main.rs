//! The program `pondtrack`: the operator's command line.
fn main() {}

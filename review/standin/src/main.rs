//! Stand-ins and cases of the review. Usage: `review-standin CASE ROOT DIR RECORD`.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. With `TROUBLE=0` in the environment
//! the disruption is left out.

mod client;
mod gate;
mod group;
mod http;
mod instance;
mod json;
mod judge;
mod partition;
mod record;
mod resume;
mod site;
mod store;
mod token;

use std::{
    path::PathBuf,
    process::exit,
    thread,
    time::{Duration, Instant},
};

/// The outcome of a case.
pub enum Outcome {
    /// The rule held.
    Held,
    /// The rule was broken.
    Broken,
    /// The case couldn't run: the situation that it needs didn't come about.
    NotRun(String),
}

/// The whole run ends after this long.
const LIMIT: Duration = Duration::from_secs(112);

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, root, dir, file] = &args[..] else {
        eprintln!("usage: review-standin CASE ROOT DIR RECORD");
        exit(2);
    };
    let (root, dir) = (PathBuf::from(root), PathBuf::from(dir));
    record::open(&PathBuf::from(file));
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    record!("case {case}, {} the disruption", if trouble { "with" } else { "without" });
    let run = match case.as_str() {
        "partition" => partition::run,
        "resume" => resume::run,
        "token" => token::run,
        _ => exit(2),
    };
    let case = thread::spawn(move || run(&root, &dir, trouble));
    let start = Instant::now();
    while !case.is_finished() && start.elapsed() < LIMIT {
        thread::sleep(Duration::from_millis(20));
    }
    let outcome = match case.is_finished() {
        true => case.join().unwrap_or_else(|_| Outcome::NotRun("the stand-in failed".to_owned())),
        false => Outcome::NotRun("it took too long".to_owned()),
    };
    let (status, text) = match outcome {
        Outcome::Held => (0, "the rule held".to_owned()),
        Outcome::Broken => (1, "the rule was broken".to_owned()),
        Outcome::NotRun(why) => (2, format!("couldn't run: {why}")),
    };
    record!("{text}");
    println!("{text}");
    instance::kill_all();
    exit(status);
}

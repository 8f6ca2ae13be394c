//! Stand-ins for the review's scripts, and the scripts' course: `review-standin-2 CASE FOLDER`.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. With `TROUBLE=0` in the
//! environment the disruption is left out.

mod fence;
mod http;
mod machine;
mod proxy;
mod record;
mod server;
mod store;
mod term;
mod world;

use std::{path::Path, process::ExitCode};

/// What a case found.
pub enum Verdict {
    Broken,
    Held,
    NotRun(String),
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let verdict = match args.iter().map(String::as_str).collect::<Vec<_>>()[..] {
        [_, "term", folder] => term::run(Path::new(folder), trouble),
        [_, "fence", folder] => fence::run(Path::new(folder), trouble),
        _ => Verdict::NotRun("usage: review-standin-2 fence|term FOLDER".to_owned()),
    };
    match verdict {
        Verdict::Held => {
            println!("the rule held");
            ExitCode::SUCCESS
        }
        Verdict::Broken => {
            println!("the rule was broken");
            ExitCode::from(1)
        }
        Verdict::NotRun(why) => {
            println!("the case couldn't run: {why}");
            ExitCode::from(2)
        }
    }
}

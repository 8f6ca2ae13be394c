//! `docs/REFERENCE.md` lists every counter, SQLSTATE and exit status.

use {
    pondtrackd::telemetry::{Count, metric},
    std::{fs, path::Path},
    strum::IntoEnumIterator,
};

fn read(path: &str) -> String {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    fs::read_to_string(root.join(path)).expect("the file is there")
}

#[test]
fn every_counter_is_listed() {
    let page = read("docs/REFERENCE.md");
    for it in Count::iter() {
        let name = format!("`{}`", metric(&it.to_string()));
        assert!(page.contains(&name), "{name} is missing");
    }
}

#[test]
fn every_code_of_our_own_is_listed() {
    let page = read("docs/REFERENCE.md");
    for file in ["entry/session.rs", "entry/startup.rs", "entry/parameter.rs", "home/keyed.rs"] {
        let text = read(&format!("crates/pondtrackd/src/{file}"));
        for part in text.split('"').skip(1).step_by(2) {
            let like = part.len() == 5 && part.chars().all(|c| c.is_ascii_uppercase() || c.is_ascii_digit());
            let code = like && part.chars().any(|c| c.is_ascii_digit());
            let own = code && !["23505", "42P01", "25001", "28000"].contains(&part);
            assert!(!own || page.contains(&format!("`{part}`")), "{part} of {file} is missing");
        }
    }
}

#[test]
fn every_metric_in_the_code_is_listed() {
    let page = read("docs/REFERENCE.md");
    let text = read("crates/pondtrackd/src/telemetry.rs");
    for part in text.split('"').filter(|it| it.starts_with("pondtrack_") && !it.contains('{')) {
        assert!(page.contains(part), "{part} is missing");
    }
}

#[test]
fn the_operations_page_names_every_counter_of_the_engine() {
    let page = include_str!("../../../docs/OPERATIONS.md");
    for it in pondtrack_engine::count::Count::iter() {
        assert!(page.contains(&format!("_{it}_total")), "{it} is missing in docs/OPERATIONS.md");
    }
}

//! Checks that `docs/REFERENCE.md` lists every counter, metric and SQLSTATE, and `docs/OPERATIONS.md` every engine
//! counter. The pages go stale when code adds one of these without documenting it.

use {
    pondtrackd::telemetry::{Count, metric},
    std::{fs, path::Path},
    strum::IntoEnumIterator,
};

fn read(path: &str) -> String {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    fs::read_to_string(root.join(path)).expect("file exists")
}

#[test]
fn every_counter_is_documented() {
    let page = read("docs/REFERENCE.md");
    for count in Count::iter() {
        let name = format!("`{}`", metric(&count.to_string()));
        assert!(page.contains(&name), "{name} is missing");
    }
}

#[test]
fn every_custom_sqlstate_is_documented() {
    let page = read("docs/REFERENCE.md");
    for file in ["entry/session.rs", "entry/startup.rs", "entry/parameter.rs", "home/request_ledger.rs"] {
        let text = read(&format!("crates/pondtrackd/src/{file}"));
        for part in text.split('"').skip(1).step_by(2) {
            let sqlstate_like =
                part.len() == 5 && part.chars().all(|c| c.is_ascii_uppercase() || c.is_ascii_digit());
            let sqlstate = sqlstate_like && part.chars().any(|c| c.is_ascii_digit());
            let custom = sqlstate && !["23505", "42P01", "25001", "28000"].contains(&part);
            assert!(!custom || page.contains(&format!("`{part}`")), "{part} of {file} is missing");
        }
    }
}

#[test]
fn every_metric_is_documented() {
    let page = read("docs/REFERENCE.md");
    let text = read("crates/pondtrackd/src/telemetry.rs");
    for part in text.split('"').filter(|s| s.starts_with("pondtrack_") && !s.contains('{')) {
        assert!(page.contains(part), "{part} is missing");
    }
}

#[test]
fn every_engine_counter_is_documented() {
    let page = include_str!("../../../docs/OPERATIONS.md");
    for count in pondtrack_engine::count::Count::iter() {
        assert!(page.contains(&format!("_{count}_total")), "{count} is missing in docs/OPERATIONS.md");
    }
}

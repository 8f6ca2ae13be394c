//! Groups: the example is accepted, and what is wrong is named.

use {
    pondtrack_proto::{GroupSpec, ReadPolicy, SpecError},
    std::{fs, path::Path},
};

fn example() -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/parts.json");
    fs::read_to_string(path).expect("the example is there")
}

#[test]
fn the_example_is_accepted() {
    let it = GroupSpec::parse(example().as_bytes()).expect("it is accepted");
    assert_eq!((it.majority(), it.policy), (2, ReadPolicy::MaxAge { ms: 2_000 }));
    assert_eq!(it.server("parts-1"), Some(1));
}

#[test]
fn what_is_wrong_is_named() {
    let cases = [
        ("\"limit\": 25", "\"limit\": 1", "limit"),
        ("\"name\": \"parts\"", "\"name\": \"Parts!\"", "name"),
        ("parts-1", "parts-0", "servers.name"),
        ("2000", "0", "policy.max_age.ms"),
    ];
    for (from, to, field) in cases {
        let text = example().replace(from, to);
        let error = GroupSpec::parse(text.as_bytes()).expect_err("it is refused");
        assert!(matches!(&error, SpecError::Value { field: f, .. } if f == field), "{error}");
    }
    let error = GroupSpec::parse(example().replace("\"limit\"", "\"limits\"").as_bytes());
    assert!(matches!(error, Err(SpecError::Syntax { .. })));
}

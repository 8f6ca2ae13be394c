//! Validation of group configurations: the example file is valid, and an error names the invalid field.

use {
    pondtrack_proto::{GroupSpec, ReadPolicy, SpecError},
    std::{fs, path::Path},
};

fn example() -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/parts.json");
    fs::read_to_string(path).expect("the example file exists")
}

#[test]
fn example_is_valid() {
    let spec = GroupSpec::parse(example().as_bytes()).expect("the example is valid");
    assert_eq!((spec.majority(), spec.policy), (2, ReadPolicy::MaxAge { ms: 2_000 }));
    assert_eq!(spec.server_index("parts-1"), Some(1));
}

#[test]
fn error_names_the_invalid_field() {
    let cases = [
        ("\"limit\": 25", "\"limit\": 1", "limit"),
        ("\"name\": \"parts\"", "\"name\": \"Parts!\"", "name"),
        ("parts-1", "parts-0", "servers.name"),
        ("2000", "0", "policy.max_age.ms"),
    ];
    for (from, to, field) in cases {
        let text = example().replace(from, to);
        let error = GroupSpec::parse(text.as_bytes()).expect_err("the configuration is invalid");
        assert!(matches!(&error, SpecError::Value { field: f, .. } if f == field), "{error}");
    }
    let error = GroupSpec::parse(example().replace("\"limit\"", "\"limits\"").as_bytes());
    assert!(matches!(error, Err(SpecError::Syntax { .. })));
}

//! Settings are validated before any listener opens, and each error names the setting, the rejected value and the
//! valid values.

use {pondtrackd::Settings, rstest::rstest};

const VALID_ARGS: [&str; 15] = [
    "--name",
    "p0",
    "--zone",
    "a",
    "--listen",
    "127.0.0.1:0",
    "--peer-listen",
    "127.0.0.1:0",
    "--control-listen",
    "127.0.0.1:0",
    "--platform",
    "http://127.0.0.1:1",
    "--plaintext",
    "--request-ms",
    "1000",
];

/// Parses the valid arguments with one of them replaced or with `change` appended.
fn parse(change: &[&str]) -> Result<Settings, String> {
    let mut args: Vec<&str> = VALID_ARGS.to_vec();
    if let [flag, value] = change
        && let Some(i) = args.iter().position(|arg| arg == flag)
    {
        args[i + 1] = value;
    } else {
        args.extend(change);
    }
    Settings::from_args(&args)
}

#[test]
fn valid_settings_are_accepted() {
    let settings = parse(&[]).expect("arguments parse");
    assert_eq!(settings.check(), Ok(()));
}

#[rstest]
#[case(&["--name", "P 0"], "--name \"P 0\"")]
#[case(&["--zone", ""], "--zone \"\"")]
#[case(&["--platform", "ftp://x"], "--platform \"ftp://x\"")]
#[case(&["--request-ms", "1"], "--request-ms \"1\"")]
#[case(&["--silence-ms", "5"], "--silence-ms \"5\"")]
#[case(&["--probe-ms", "1"], "--probe-ms \"1\"")]
#[case(&["--watch-ms", "400"], "--watch-ms \"400\"")]
#[case(&["--max-message-bytes", "10"], "--max-message-bytes \"10\"")]
#[case(&["--max-answer-bytes", "10"], "--max-answer-bytes \"10\"")]
#[case(&["--max-sessions", "0"], "--max-sessions \"0\"")]
#[case(&["--peer-listen", "0.0.0.0:0"], "--peer-address \"0.0.0.0:0\"")]
fn error_names_setting_and_invalid_value(#[case] change: &[&str], #[case] prefix: &str) {
    let error = parse(change).expect("arguments parse").check().expect_err("check fails").to_string();
    assert!(error.starts_with(prefix) && error.contains("it takes"), "{error}");
}

#[rstest]
#[case(&["--listen", "nowhere"])]
#[case(&["--gate", "maybe"])]
#[case(&["--no-such-flag", "1"])]
fn unparsable_arguments_are_rejected(#[case] change: &[&str]) {
    assert!(parse(change).is_err());
}

#[test]
fn plaintext_requires_explicit_flag() {
    let args: Vec<&str> = VALID_ARGS.iter().copied().filter(|arg| *arg != "--plaintext").collect();
    let settings = Settings::from_args(&args).expect("arguments parse");
    assert!(settings.check().expect_err("check fails").to_string().contains("plaintext"));
}

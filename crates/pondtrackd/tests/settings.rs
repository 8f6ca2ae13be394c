//! Settings are checked before anything listens; every error names the setting, the value and what it takes.

use {pondtrackd::Settings, rstest::rstest};

const GOOD: [&str; 15] = [
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

fn read(change: &[&str]) -> Result<Settings, String> {
    let mut args: Vec<&str> = GOOD.to_vec();
    if let [flag, value] = change
        && let Some(at) = args.iter().position(|it| it == flag)
    {
        args[at + 1] = value;
    } else {
        args.extend(change);
    }
    Settings::from_args(&args)
}

#[test]
fn good_settings_are_accepted() {
    let it = read(&[]).expect("they can be read");
    assert_eq!(it.check(), Ok(()));
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
fn a_bad_value_is_named(#[case] change: &[&str], #[case] named: &str) {
    let error = read(change).expect("it can be read").check().expect_err("it is refused").to_string();
    assert!(error.starts_with(named) && error.contains("it takes"), "{error}");
}

#[rstest]
#[case(&["--listen", "nowhere"])]
#[case(&["--gate", "maybe"])]
#[case(&["--no-such-flag", "1"])]
fn what_cannot_be_read_is_refused(#[case] change: &[&str]) {
    assert!(read(change).is_err());
}

#[test]
fn plain_text_has_to_be_asked_for() {
    let args: Vec<&str> = GOOD.iter().copied().filter(|it| *it != "--plaintext").collect();
    let it = Settings::from_args(&args).expect("it can be read");
    assert!(it.check().expect_err("it is refused").to_string().contains("plaintext"));
}

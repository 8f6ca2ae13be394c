//! Parsers of untrusted input: startup packets, the options parameter, session tokens, statements and the
//! values of configuration parameters. Malformed input has to give an error and must not panic.

use {
    pondtrack_core::{classify::classify, token::SessionToken},
    pondtrackd::entry::{
        parameter,
        startup::{parse_options, parse_startup_params},
    },
    proptest::prelude::*,
};

proptest! {
    #[test]
    fn invalid_startup_packet_is_protocol_violation(body in prop::collection::vec(any::<u8>(), 0..120)) {
        if let Err(e) = parse_startup_params(&body) {
            prop_assert_eq!(e.code, "08P01");
        }
    }

    #[test]
    fn startup_params_are_parsed(pairs in prop::collection::btree_map("[a-z]{1,8}", "[^\\x00]{0,12}", 0..5)) {
        let mut body: Vec<u8> = Vec::new();
        for (key, value) in &pairs {
            for text in [key, value] {
                body.extend_from_slice(text.as_bytes());
                body.push(0);
            }
        }
        body.push(0);
        let params = parse_startup_params(&body).expect("the packet is well-formed");
        prop_assert_eq!(params.len(), pairs.len());
    }

    #[test]
    fn arbitrary_text_does_not_panic(text in "\\PC{0,60}") {
        let _ = parse_options(&text);
        let _ = SessionToken::parse(&text);
        let _ = classify(&text);
        for name in ["max_age", "timeout", "request_key", "token", "other"] {
            let _ = parameter::parse(&format!("pondtrack.{name}"), Some(&text));
        }
    }
}

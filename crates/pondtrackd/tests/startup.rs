//! Startup packets, settings and tokens of any content: no panic, a clear error.

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
    fn any_packet(body in prop::collection::vec(any::<u8>(), 0..120)) {
        if let Err(e) = parse_startup_params(&body) {
            prop_assert_eq!(e.code, "08P01");
        }
    }

    #[test]
    fn pairs_come_back(pairs in prop::collection::btree_map("[a-z]{1,8}", "[^\\x00]{0,12}", 0..5)) {
        let mut body: Vec<u8> = Vec::new();
        for (key, value) in &pairs {
            for it in [key, value] {
                body.extend_from_slice(it.as_bytes());
                body.push(0);
            }
        }
        body.push(0);
        let read = parse_startup_params(&body).expect("it is whole");
        prop_assert_eq!(read.len(), pairs.len());
    }

    #[test]
    fn any_text(text in "\\PC{0,60}") {
        let _ = parse_options(&text);
        let _ = SessionToken::parse(&text);
        let _ = classify(&text);
        for name in ["max_age", "timeout", "request_key", "token", "other"] {
            let _ = parameter::parse(&format!("pondtrack.{name}"), Some(&text));
        }
    }
}

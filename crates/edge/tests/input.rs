//! Fuzz tests of the decoders: invalid input from callers, servers, instances and the platform causes no panic,
//! and callers get an error with a SQLSTATE.

use {
    bytes::BytesMut,
    pgwire::messages::{
        extendedquery::{Bind, Parse, Sync},
        simplequery::Query,
    },
    pondtrack_edge::{
        answer,
        batch::{Batch, Progress, Statement, Statements},
        contract::{Order, Position},
        frame::{self, Frames},
        link,
    },
    pondtrack_proto::{Datagram, GroupSpec, LogPosition, Lsn, Term},
    proptest::prelude::*,
};

/// Generates a message with a correct length and an arbitrary body.
fn message() -> impl Strategy<Value = BytesMut> {
    let tags = prop::sample::select(b"QPBDCESHXpdcf?".to_vec());
    (tags, prop::collection::vec(any::<u8>(), 0..60)).prop_map(|(tag, body)| {
        let mut out = BytesMut::new();
        out.extend_from_slice(&[tag]);
        out.extend_from_slice(&(body.len() as i32 + 4).to_be_bytes());
        out.extend_from_slice(&body);
        out
    })
}

proptest! {
    #[test]
    fn caller_messages_never_panic(list in prop::collection::vec(message(), 1..6)) {
        let known = Statements::default();
        let mut batch = Batch::default();
        for frame in list {
            match batch.push(frame, &known) {
                Ok(Progress::More) => {}
                Ok(Progress::Complete) => batch = Batch::default(),
                Err(e) => prop_assert!(!e.message.is_empty() && e.code.len() == 5),
            }
        }
    }

    #[test]
    fn server_answers_never_panic(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = Position::from_answer(&bytes);
        for (_, range) in Frames::new(&bytes) {
            let _ = frame::columns(&bytes[range.clone()]);
            let _ = frame::field(&bytes[range], b'C');
        }
    }

    #[test]
    fn peer_messages_never_panic(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = link::decode(&bytes, &"p0".into());
        let _ = postcard::from_bytes::<Datagram>(&bytes);
    }

    #[test]
    fn platform_objects_and_orders_never_panic(text in "\\PC{0,80}") {
        prop_assert!(GroupSpec::parse(text.as_bytes()).is_err());
        let _ = Order::parse(&text);
    }

    #[test]
    fn orders_round_trip(a in any::<u64>(), b in any::<u64>(), ms in any::<u32>()) {
        let list = [
            Order::Position,
            Order::Watch { term: Term(a), received: Lsn(b), applied: Lsn(a), ms },
            Order::Wait { mark: LogPosition::new(a, b), ms },
            Order::Fence(Term(a)),
            Order::Promote(Term(a)),
            Order::Follow(Term(a), ([127, 0, 0, 1], ms as u16).into()),
            Order::Entry(Lsn(b)),
        ];
        for order in list {
            prop_assert_eq!(Order::parse(&order.query()), Some(order));
        }
    }
}

fn frame_of<M: pgwire::messages::Message>(message: &M) -> BytesMut {
    let mut out = BytesMut::new();
    answer::put(message, &mut out);
    out
}

#[test]
fn batch_reprepares_known_statement_and_strips_its_parse_complete() {
    let mut known = Statements::default();
    known.insert(Statement { name: "s1".into(), text: "SELECT $1".into(), types: vec![25] });
    let mut batch = Batch::default();
    let bind = Bind::new(None, Some("s1".to_owned()), vec![], vec![], vec![]);
    assert_eq!(batch.push(frame_of(&bind), &known).ok(), Some(Progress::More));
    assert_eq!(batch.push(frame_of(&Sync::new()), &known).ok(), Some(Progress::Complete));
    let tags: Vec<u8> = Frames::new(&batch.frames).map(|frame| frame.0).collect();
    assert_eq!(tags, b"PBS");
    assert_eq!(batch.texts, ["SELECT $1"]);
    let answer = [b'1', 0, 0, 0, 4, b'2', 0, 0, 0, 4, b'Z', 0, 0, 0, 5, b'I'];
    assert_eq!(batch.strip_added(answer.to_vec()), answer[5..]);
}

#[test]
fn only_statements_accepted_by_the_server_are_stored() {
    let mut known = Statements::default();
    let mut batch = Batch::default();
    for name in ["good", "bad"] {
        let parse = Parse::new(Some(name.to_owned()), "SELECT 1".to_owned(), vec![]);
        batch.push(frame_of(&parse), &known).expect("the message is well-formed");
    }
    batch.apply_to(&[b'1', 0, 0, 0, 4, b'E', 0, 0, 0, 5, 0], &mut known);
    assert!(known.get("good").is_some() && known.get("bad").is_none());
    let error =
        Batch::default().push(frame_of(&Parse::new(Some("good".to_owned()), String::new(), vec![])), &known);
    assert_eq!(error.err().map(|e| e.code), Some("42P05"));
}

#[test]
fn copy_unknown_and_truncated_messages_are_rejected() {
    let known = Statements::default();
    let code = |bytes: &[u8]| Batch::default().push(BytesMut::from(bytes), &known).err().map(|e| e.code);
    assert_eq!(code(&[b'd', 0, 0, 0, 4]), Some("0A000"));
    assert_eq!(code(&[b'?', 0, 0, 0, 4]), Some("08P01"));
    assert_eq!(code(&[b'Q', 0, 0, 0, 5, b'x']), Some("08P01"));
    let mut batch = Batch::default();
    assert_eq!(
        batch.push(frame_of(&Query::new("SELECT 1".to_owned())), &known).ok(),
        Some(Progress::Complete)
    );
}

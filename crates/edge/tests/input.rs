//! What comes from outside never panics, and is answered with a clear error.

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

/// A message with a right length and any body.
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
    fn messages_of_callers(list in prop::collection::vec(message(), 1..6)) {
        let known = Statements::default();
        let mut batch = Batch::default();
        for it in list {
            match batch.push(it, &known) {
                Ok(Progress::More) => {}
                Ok(Progress::Complete) => batch = Batch::default(),
                Err(e) => prop_assert!(!e.message.is_empty() && e.code.len() == 5),
            }
        }
    }

    #[test]
    fn answers_of_servers(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = Position::from_answer(&bytes);
        for (_, range) in Frames::new(&bytes) {
            let _ = frame::columns(&bytes[range.clone()]);
            let _ = frame::field(&bytes[range], b'C');
        }
    }

    #[test]
    fn messages_of_peers(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = link::decode(&bytes, &"p0".into());
        let _ = postcard::from_bytes::<Datagram>(&bytes);
    }

    #[test]
    fn objects_of_the_platform(text in "\\PC{0,80}") {
        prop_assert!(GroupSpec::parse(text.as_bytes()).is_err());
        let _ = Order::parse(&text);
    }

    #[test]
    fn orders_come_back_as_they_were(a in any::<u64>(), b in any::<u64>(), ms in any::<u32>()) {
        let list = [
            Order::Position,
            Order::Watch { term: Term(a), received: Lsn(b), applied: Lsn(a), ms },
            Order::Wait { mark: LogPosition::new(a, b), ms },
            Order::Fence(Term(a)),
            Order::Promote(Term(a)),
            Order::Follow(Term(a), ([127, 0, 0, 1], ms as u16).into()),
            Order::Entry(Lsn(b)),
        ];
        for it in list {
            prop_assert_eq!(Order::parse(&it.query()), Some(it));
        }
    }
}

fn frame_of<M: pgwire::messages::Message>(it: &M) -> BytesMut {
    let mut out = BytesMut::new();
    answer::put(it, &mut out);
    out
}

#[test]
fn a_statement_prepared_earlier_goes_along_and_its_answer_is_taken_out() {
    let mut known = Statements::default();
    known.insert(Statement { name: "s1".into(), text: "SELECT $1".into(), types: vec![25] });
    let mut batch = Batch::default();
    let bind = Bind::new(None, Some("s1".to_owned()), vec![], vec![], vec![]);
    assert_eq!(batch.push(frame_of(&bind), &known).ok(), Some(Progress::More));
    assert_eq!(batch.push(frame_of(&Sync::new()), &known).ok(), Some(Progress::Complete));
    let tags: Vec<u8> = Frames::new(&batch.frames).map(|it| it.0).collect();
    assert_eq!(tags, b"PBS");
    assert_eq!(batch.texts, ["SELECT $1"]);
    let answer = [b'1', 0, 0, 0, 4, b'2', 0, 0, 0, 4, b'Z', 0, 0, 0, 5, b'I'];
    assert_eq!(batch.strip_added(answer.to_vec()), answer[5..]);
}

#[test]
fn only_statements_that_the_server_accepted_are_kept() {
    let mut known = Statements::default();
    let mut batch = Batch::default();
    for name in ["good", "bad"] {
        let parse = Parse::new(Some(name.to_owned()), "SELECT 1".to_owned(), vec![]);
        batch.push(frame_of(&parse), &known).expect("it is whole");
    }
    batch.apply_to(&[b'1', 0, 0, 0, 4, b'E', 0, 0, 0, 5, 0], &mut known);
    assert!(known.get("good").is_some() && known.get("bad").is_none());
    let error =
        Batch::default().push(frame_of(&Parse::new(Some("good".to_owned()), String::new(), vec![])), &known);
    assert_eq!(error.err().map(|it| it.code), Some("42P05"));
}

#[test]
fn copy_and_unknown_messages_are_refused() {
    let known = Statements::default();
    let code = |bytes: &[u8]| Batch::default().push(BytesMut::from(bytes), &known).err().map(|it| it.code);
    assert_eq!(code(&[b'd', 0, 0, 0, 4]), Some("0A000"));
    assert_eq!(code(&[b'?', 0, 0, 0, 4]), Some("08P01"));
    assert_eq!(code(&[b'Q', 0, 0, 0, 5, b'x']), Some("08P01"));
    let mut batch = Batch::default();
    assert_eq!(
        batch.push(frame_of(&Query::new("SELECT 1".to_owned())), &known).ok(),
        Some(Progress::Complete)
    );
}

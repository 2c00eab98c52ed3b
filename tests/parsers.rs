//! Parsers without sockets: complete streams, streams split at every position, and corrupted input.

mod common;

use bytes::BytesMut;
use common::{record, request};
use myrtlegauge_wire::protocol::changelog_answer::{AnswerPart, AnswerReader};
use myrtlegauge_wire::protocol::resp::{Frame, Reply};
use myrtlegauge_wire::protocol::{StreamError, changelog, fastcgi, resp};
use std::fmt::Debug;
use std::time::Duration;

/// Checks that a stream yields the same messages when it arrives at once, in two parts split at any position, and
/// byte by byte. Returns the messages.
fn messages_at_every_split<M: Debug, P>(
    stream: &[u8],
    new_parser: impl Fn() -> P,
    next_message: impl Fn(&mut P, &mut BytesMut) -> Result<Option<M>, StreamError>,
) -> String {
    let parse = |parts: &[&[u8]]| {
        let (mut parser, mut inbound, mut messages) = (new_parser(), BytesMut::new(), String::new());
        for part in parts {
            inbound.extend_from_slice(part);
            while let Some(message) = next_message(&mut parser, &mut inbound).unwrap() {
                messages += &format!("{message:?}\n");
            }
        }
        assert!(inbound.is_empty(), "{} bytes left", inbound.len());
        messages
    };
    let expected = parse(&[stream]);
    for position in 0..stream.len() {
        let (first, second) = stream.split_at(position);
        assert_eq!(parse(&[first, second]), expected, "split at {position}");
    }
    assert_eq!(parse(&stream.chunks(1).collect::<Vec<_>>()), expected, "byte by byte");
    expected
}

#[test]
fn fastcgi_records_can_be_split_anywhere() {
    let params =
        [("SCRIPT_NAME", "/rpc/video"), ("HTTP_REQUEST_ID", "9b1f03aa5c7e2d41"), ("HTTP_X_TAG", "17")];
    let (first, second) = (request(1, &params, b"a body"), request(2, &params[..2], b""));
    // The interleaved records of both, and an abort of a third request that has only begun.
    let aborted = [record(1, 3, &[0, 1, 1, 0, 0, 0, 0, 0]), record(2, 3, b"")].concat();
    let (first_split, second_split) = (first.len() - 28, second.len() - 11);
    let stream = [
        &first[..first_split],
        &second[..second_split],
        &aborted,
        &first[first_split..],
        &second[second_split..],
    ]
    .concat();
    let messages = messages_at_every_split(&stream, fastcgi::RequestReader::default, |reader, inbound| {
        reader.next_message::<()>(inbound, &[], Duration::ZERO)
    });
    insta::assert_snapshot!(messages);
}

/// Takes the next reply out of `inbound`.
fn next_reply(inbound: &mut BytesMut) -> Result<Option<Reply>, StreamError> {
    match resp::read_frame(inbound)? {
        Frame::Complete(frame) => {
            let bytes = inbound.split_to(frame.length()).freeze();
            frame.into_reply(&bytes).map(Some)
        }
        Frame::Incomplete { length } => {
            assert!(length.is_none_or(|length| length > inbound.len()), "an incomplete reply lacks bytes");
            Ok(None)
        }
    }
}

#[test]
fn resp_replies_can_be_split_anywhere() {
    let stream = b"*4\r\n$16\r\n9b1f03aa5c7e2d41\r\n$3\r\n200\r\n$22\r\nwhy=TCP_HIT,rev=ab,x=1\r\n$8\r\na\r\n$2\r\n\0\r\n\
        *4\r\n$16\r\n0000000000000002\r\n$3\r\n404\r\n$1\r\n-\r\n$0\r\n\r\n";
    insta::assert_snapshot!(messages_at_every_split(stream, || (), |(), inbound| next_reply(inbound)));
}

#[test]
fn a_poll_request_of_the_change_log_has_the_documented_format() {
    let poll = changelog::poll_request("127.0.0.1:4222", 7, 500);
    assert_eq!(poll, "GET /changes?since=7&timeout=500 HTTP/1.1\r\nHost: 127.0.0.1:4222\r\n\r\n");
}

#[test]
fn change_log_answers_can_be_split_anywhere() {
    let stream = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n\
        5\r\n{\"seq\r\n4\r\n\":1}\r\n0\r\n\r\n";
    insta::assert_snapshot!(messages_at_every_split(stream, AnswerReader::default, |reader, inbound| reader
        .next_whole(inbound, false)));
}

#[test]
fn an_answer_without_a_length_ends_with_its_connection() {
    let mut reader = AnswerReader::default();
    let mut inbound = BytesMut::from(&b"HTTP/1.1 200 OK\r\n\r\n{}"[..]);
    assert_eq!(reader.next_whole(&mut inbound, false), Ok(None));
    assert_eq!(reader.next_whole(&mut inbound, true), Ok(Some("{}".into())));
}

/// Guards against case 3 of the review: an answer was taken only as a whole, so that one over the limit was never taken.
#[test]
fn the_changes_of_an_answer_are_taken_in_each_form_and_split_anywhere() {
    let body = r#" { "note":["{"], "seq" : 43, "results" : [ {"seq":42,"text":"]}\"[{"} , {"seq":43,"list":[{},[]]} ] } "#;
    let (first, second) = body.split_at(61);
    let with_length = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    let chunks = format!("{:x}\r\n{first}\r\n{:x}\r\n{second}\r\n0\r\n\r\n", first.len(), second.len());
    let chunked = format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{chunks}");
    let stream = format!("{with_length}{chunked}{with_length}");
    insta::assert_snapshot!(messages_at_every_split(
        stream.as_bytes(),
        AnswerReader::default,
        |reader, inbound| reader.next_part(inbound, false)
    ));
    let mut reader = AnswerReader::default();
    let mut inbound = BytesMut::from(&format!("HTTP/1.1 200 OK\r\n\r\n{body}")[..]);
    for _ in 0..2 {
        let part = reader.next_part(&mut inbound, false).unwrap();
        assert!(matches!(part, Some(AnswerPart::Change(_))), "{part:?}");
    }
    assert_eq!(reader.next_part(&mut inbound, false), Ok(None), "the connection's close ends the answer");
    assert_eq!(reader.next_part(&mut inbound, true), Ok(Some(AnswerPart::End)));
}

#[test]
fn an_answer_is_bounded_by_its_largest_change_and_not_by_its_size() {
    const LIMIT: usize = 2 * 1024 * 1024;
    let change = |length: usize| format!("{{\"seq\":1,\"text\":\"{}\"}}", "x".repeat(length - 19));
    let answer = |change: &str, count: usize| {
        let body = format!("{{\"seq\":1,\"results\":[{}]}}", vec![change; count].join(","));
        format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
    };
    let mut reader = AnswerReader::default();
    let mut inbound = BytesMut::from(answer(&change(LIMIT), 3).as_bytes());
    for _ in 0..3 {
        let Ok(Some(AnswerPart::Change(text))) = reader.next_part(&mut inbound, false) else {
            panic!("a change of the largest size is taken");
        };
        assert_eq!(text.len(), LIMIT);
    }
    assert_eq!(reader.next_part(&mut inbound, false), Ok(Some(AnswerPart::End)));
    // The last byte has not come: a change that is still growing can't be held without limit.
    let too_long = answer(&change(LIMIT + 2), 1);
    let mut inbound = BytesMut::from(&too_long.as_bytes()[..too_long.len() - 3]);
    let StreamError(error) = reader.next_part(&mut inbound, false).unwrap_err();
    assert!(error.contains("publish the host list in several changes"), "{error}");
}

#[test]
fn an_answer_that_is_no_list_of_changes_is_an_error_and_not_an_empty_one() {
    let mut errors = String::new();
    for body in [
        "",
        "{}",
        "<html></html>",
        "{\"seq\":4,\"results\":[",
        "{\"seq\":4,\"results\":[1]}",
        "{\"seq\":4,\"results\":{}}",
        "{\"seq\":4,\"results\":[]}{",
    ] {
        let mut inbound = BytesMut::from(&format!("HTTP/1.1 200 OK\r\n\r\n{body}")[..]);
        let mut reader = AnswerReader::default();
        errors += &format!("{body:?}: {:?}\n", reader.next_part(&mut inbound, true));
    }
    insta::assert_snapshot!(errors);
}

#[test]
fn invalid_input_is_a_stream_error() {
    let mut errors = String::new();
    for text in [
        "*3\r\n",
        "*4\r\n+OK\r\n",
        "*4\r\n$300000\r\n",
        "*4\r\n$1\r\nab\r\n",
        "*4\r\n$1\r\na\r\n$3\r\n404\r\n$1\r\n-\r\n$0\r\n\r\n",
        "*4\r\n$16\r\n0000000000000001\r\n$99\r\n",
        "*4444444444444444",
        "*-1\r\n",
        "*4\r\n$+1\r\n",
    ] {
        errors += &format!("{text:?}: {:?}\n", next_reply(&mut text.into()));
    }
    for text in
        ["HTTP/1.1 500 Oh\r\n\r\n", "nonsense\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n"]
    {
        errors += &format!("{text:?}: {:?}\n", AnswerReader::default().next_whole(&mut text.into(), false));
    }
    let begin = record(1, 1, &[0, 1, 1, 0, 0, 0, 0, 0]);
    for (case, bytes) in [
        ("repeated begin record", [&begin[..], &begin].concat()),
        ("short begin record", record(1, 1, &[0])),
        ("truncated query of values", record(9, 0, b"\x09")),
    ] {
        let mut inbound = BytesMut::from(&bytes[..]);
        errors += &format!(
            "{case}: {:?}\n",
            fastcgi::RequestReader::default()
                .next_message::<()>(&mut inbound, &[], Duration::ZERO)
                .unwrap_err()
        );
    }
    insta::assert_snapshot!(errors);
}

#[test]
fn corrupted_input_never_panics() {
    let mut random = fastrand::Rng::with_seed(11);
    let params = [("SCRIPT_NAME", "/rpc/video"), ("HTTP_REQUEST_ID", "9b1f03aa5c7e2d41")];
    let valid = [
        request(1, &params, b"a body"),
        b"*4\r\n$16\r\n0000000000000001\r\n$3\r\n200\r\n$1\r\n-\r\n$1\r\nx\r\n".to_vec(),
    ];
    let http = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n{\"seq\r\n0\r\n\r\n".to_vec();
    for iteration in 0..30_000 {
        let mut bytes: Vec<u8> = match iteration % 4 {
            3 => {
                let length = random.usize(..200);
                (0..length).map(|_| random.u8(..)).collect()
            }
            2 => http.clone(),
            kind => valid[kind].clone(),
        };
        for _ in 0..random.usize(..4) {
            if let Some(byte) = random.choice(&mut bytes) {
                *byte = random.u8(..);
            }
        }
        let mut reader = fastcgi::RequestReader::default();
        let input = || BytesMut::from(&bytes[..]);
        let (mut fastcgi_input, mut resp_input, mut http_input) = (input(), input(), input());
        while let Ok(Some(_)) = reader.next_message(&mut fastcgi_input, &[(1, ())], Duration::ZERO) {}
        while let Ok(Some(_)) = next_reply(&mut resp_input) {}
        let mut whole_reader = AnswerReader::default();
        while let Ok(Some(_)) = whole_reader.next_whole(&mut http_input, iteration % 2 == 0) {}
        let (mut answer_reader, mut answer_input) = (AnswerReader::default(), input());
        while let Ok(Some(_)) = answer_reader.next_part(&mut answer_input, iteration % 2 == 0) {}
    }
}

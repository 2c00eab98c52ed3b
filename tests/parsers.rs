//! Parsers without sockets: whole streams, every split of them, and noise.

mod common;

use bytes::BytesMut;
use common::{record, request};
use myrtlegauge_wire::protocol::{StreamError, changelog, fastcgi, resp};
use std::fmt::Debug;
use std::time::Duration;

/// What comes of a stream that arrives in two parts, split anywhere, is what comes of it whole.
fn same_at_every_split<M: Debug, P>(
    stream: &[u8],
    parser: impl Fn() -> P,
    next: impl Fn(&mut P, &mut BytesMut) -> Result<Option<M>, StreamError>,
) -> String {
    let read = |parts: &[&[u8]]| {
        let (mut state, mut inbound, mut read) = (parser(), BytesMut::new(), String::new());
        for part in parts {
            inbound.extend_from_slice(part);
            while let Some(message) = next(&mut state, &mut inbound).unwrap() {
                read += &format!("{message:?}\n");
            }
        }
        assert!(inbound.is_empty(), "{} bytes left", inbound.len());
        read
    };
    let whole = read(&[stream]);
    for at in 0..stream.len() {
        let (first, second) = stream.split_at(at);
        assert_eq!(read(&[first, second]), whole, "split at {at}");
    }
    assert_eq!(read(&stream.chunks(1).collect::<Vec<_>>()), whole, "byte by byte");
    whole
}

#[test]
fn fastcgi_records_split_anywhere() {
    let params =
        [("SCRIPT_NAME", "/rpc/video"), ("HTTP_REQUEST_ID", "9b1f03aa5c7e2d41"), ("HTTP_X_TAG", "17")];
    let (one, two) = (request(1, &params, b"a body"), request(2, &params[..2], b""));
    // The records of both in turns, and an abort of a third that was only begun.
    let third = [record(1, 3, &[0, 1, 1, 0, 0, 0, 0, 0]), record(2, 3, b"")].concat();
    let (half_one, half_two) = (one.len() - 28, two.len() - 11);
    let stream = [&one[..half_one], &two[..half_two], &third, &one[half_one..], &two[half_two..]].concat();
    let read = same_at_every_split(&stream, fastcgi::RequestReader::default, |reader, inbound| {
        reader.next_message::<()>(inbound, &[], Duration::ZERO)
    });
    insta::assert_snapshot!(read);
}

#[test]
fn resp_answers_split_anywhere() {
    let stream = b"*4\r\n$16\r\n9b1f03aa5c7e2d41\r\n$3\r\n200\r\n$22\r\nwhy=TCP_HIT,rev=ab,x=1\r\n$8\r\na\r\n$2\r\n\0\r\n\
        *4\r\n$16\r\n0000000000000002\r\n$3\r\n404\r\n$1\r\n-\r\n$0\r\n\r\n";
    insta::assert_snapshot!(same_at_every_split(stream, || (), |(), inbound| resp::next_reply(inbound)));
}

#[test]
fn the_poll_of_the_platforms_change_log_is_written_as_its_page_says() {
    let poll = changelog::poll_request("127.0.0.1:4222", 7, 500);
    assert_eq!(poll, "GET /changes?since=7&timeout=500 HTTP/1.1\r\nHost: 127.0.0.1:4222\r\n\r\n");
}

#[test]
fn change_log_answers_split_anywhere() {
    let stream = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n\
        5\r\n{\"seq\r\n4\r\n\":1}\r\n0\r\n\r\n";
    insta::assert_snapshot!(same_at_every_split(
        stream,
        || (),
        |(), inbound| changelog::next_answer(inbound)
    ));
}

#[test]
fn what_cannot_be_read_is_a_fault() {
    let mut faults = String::new();
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
        faults += &format!("{text:?}: {:?}\n", resp::next_reply(&mut text.into()));
    }
    for text in [
        "HTTP/1.1 500 Oh\r\n\r\n",
        "HTTP/1.1 200 OK\r\n\r\n",
        "nonsense\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
    ] {
        faults += &format!("{text:?}: {:?}\n", changelog::next_answer(&mut text.into()));
    }
    let begin = record(1, 1, &[0, 1, 1, 0, 0, 0, 0, 0]);
    for (what, bytes) in [
        ("begun twice", [&begin[..], &begin].concat()),
        ("a short begin", record(1, 1, &[0])),
        ("values", record(9, 0, b"\x09")),
    ] {
        let mut inbound = BytesMut::from(&bytes[..]);
        faults += &format!(
            "{what}: {:?}\n",
            fastcgi::RequestReader::default()
                .next_message::<()>(&mut inbound, &[], Duration::ZERO)
                .unwrap_err()
        );
    }
    insta::assert_snapshot!(faults);
}

#[test]
fn noise_is_never_more_than_a_fault() {
    let mut chance = fastrand::Rng::with_seed(11);
    let params = [("SCRIPT_NAME", "/rpc/video"), ("HTTP_REQUEST_ID", "9b1f03aa5c7e2d41")];
    let good = [
        request(1, &params, b"a body"),
        b"*4\r\n$16\r\n0000000000000001\r\n$3\r\n200\r\n$1\r\n-\r\n$1\r\nx\r\n".to_vec(),
    ];
    let http = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n{\"seq\r\n0\r\n\r\n".to_vec();
    for round in 0..30_000 {
        let mut bytes: Vec<u8> = match round % 4 {
            3 => {
                let long = chance.usize(..200);
                (0..long).map(|_| chance.u8(..)).collect()
            }
            2 => http.clone(),
            kind => good[kind].clone(),
        };
        for _ in 0..chance.usize(..4) {
            if let Some(byte) = chance.choice(&mut bytes) {
                *byte = chance.u8(..);
            }
        }
        let mut reader = fastcgi::RequestReader::default();
        let fed = || BytesMut::from(&bytes[..]);
        let (mut a, mut b, mut c) = (fed(), fed(), fed());
        while let Ok(Some(_)) = reader.next_message(&mut a, &[(1, ())], Duration::ZERO) {}
        while let Ok(Some(_)) = resp::next_reply(&mut b) {}
        while let Ok(Some(_)) = changelog::next_answer(&mut c) {}
    }
}

//! Requests as bytes: whole, split, bad, and noise.

use bytes::BytesMut;
use myrtlegauge_replica::RequestError;
use myrtlegauge_replica::http::{self, MAX_HEAD_BYTES, Request};
use myrtlegauge_replication::{
    Attachment, Incarnation, LogId, MemberName, PollError, PollRequest, Poller, ReplicaName, Sequence,
};
use proptest::prelude::*;
use std::time::Duration;

fn read(text: &str) -> Result<Option<Request>, RequestError> {
    http::next_request(&mut BytesMut::from(text))
}

fn read_query(query: &str) -> Result<PollRequest, RequestError> {
    match read(&format!("GET /changes?{query} HTTP/1.1\r\nHost: a\r\n\r\n"))? {
        Some(Request::Poll(request)) => Ok(request),
        other => panic!("{query}: {other:?}"),
    }
}

fn dispatcher() -> PollRequest {
    PollRequest {
        log: Some(LogId("a-17".to_owned())),
        since: Sequence(4),
        whole: Sequence(3),
        timeout: Duration::from_millis(500),
        poller: Poller::Dispatcher {
            name: MemberName("edge 1".to_owned()),
            incarnation: Incarnation(99),
            attachment: Attachment(2),
            leaving: false,
        },
    }
}

#[test]
fn the_platforms_own_poll_is_a_readers() {
    let request = read_query("since=7&timeout=500").expect("a poll");
    let reader = PollRequest {
        log: None,
        since: Sequence(7),
        whole: Sequence(0),
        timeout: Duration::from_millis(500),
        poller: Poller::Reader,
    };
    assert_eq!(request, reader);
}

#[test]
fn polls_of_dispatchers_and_replicas_are_read_as_they_are_written() {
    let replica = Poller::Replica { name: ReplicaName("b".to_owned()), own_log: LogId("b-18".to_owned()) };
    for request in [dispatcher(), PollRequest { poller: replica, ..dispatcher() }] {
        assert_eq!(read_query(&request.to_query()), Ok(request));
    }
}

#[test]
fn a_bad_query_is_refused_with_what_to_do() {
    let bad = [
        "since=-1",
        "since=seven",
        "since=18446744073709551616",
        "timeout=soon",
        "since=1&role=emperor",
        "since=1&role=dispatcher",
        "since=1&role=dispatcher&name=a&incarnation=1",
        "since=1&role=dispatcher&name=a&incarnation=x&attachment=1",
        "since=1&role=dispatcher&name=%zz&incarnation=1&attachment=1",
        "since=1&role=replica&name=a",
        "whole=minus",
    ];
    for query in bad {
        let error = read_query(query).expect_err(query);
        assert!(matches!(error, RequestError::Poll(_)), "{query}: {error:?}");
        assert!(error.status().starts_with("400 "), "{query}");
        assert!(error.to_string().contains(':'), "what is wrong, and what to do: {error}");
    }
    assert_eq!(
        read_query("since=1&role=dispatcher&name=a&incarnation=1"),
        Err(RequestError::Poll(PollError::Missing("attachment")))
    );
}

#[test]
fn other_requests_are_refused_by_kind() {
    let refused = |text: &str| read(text).map(|_| ()).expect_err(text);
    assert_eq!(read("GET /status HTTP/1.1\r\n\r\n"), Ok(Some(Request::Status)));
    assert_eq!(refused("GET / HTTP/1.1\r\n\r\n"), RequestError::Path("/".to_owned()));
    assert_eq!(refused("POST /changes HTTP/1.1\r\n\r\n"), RequestError::Method("POST".to_owned()));
    assert_eq!(refused("GET /status HTTP/1.1\r\nContent-Length: 5\r\n\r\n"), RequestError::Body);
    assert_eq!(refused("GET /status HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"), RequestError::Body);
    assert_eq!(refused("\u{1}\u{2} nonsense\r\n\r\n"), RequestError::NotHttp);
    let many: String = (0..40).map(|number| format!("a{number}: b\r\n")).collect();
    assert_eq!(
        refused(&format!("GET /status HTTP/1.1\r\n{many}\r\n")),
        RequestError::HeadTooLong { max_bytes: MAX_HEAD_BYTES }
    );
}

#[test]
fn a_head_without_end_is_refused_at_the_bound() {
    let begun = "GET /changes?since=1&log=".to_owned();
    let within = format!("{begun}{}", "x".repeat(MAX_HEAD_BYTES - begun.len()));
    assert_eq!(read(&within), Ok(None), "it may still become whole");
    assert_eq!(read(&format!("{within}x")), Err(RequestError::HeadTooLong { max_bytes: MAX_HEAD_BYTES }));
}

#[test]
fn requests_split_anywhere_are_read_one_after_the_other() {
    let query = dispatcher().to_query();
    let stream = format!("GET /changes?{query} HTTP/1.1\r\nHost: a\r\n\r\nGET /status HTTP/1.1\r\n\r\n");
    for at in 0..=stream.len() {
        let (mut inbound, mut requests) = (BytesMut::new(), Vec::new());
        for part in [&stream[..at], &stream[at..]] {
            inbound.extend_from_slice(part.as_bytes());
            while let Some(request) = http::next_request(&mut inbound).expect("it is well-formed") {
                requests.push(request);
            }
        }
        assert_eq!(requests, [Request::Poll(dispatcher()), Request::Status], "split at {at}");
    }
}

#[test]
fn an_error_answer_says_its_status_and_closes() {
    let answer = http::error_answer(&RequestError::Poll(PollError::Missing("name")));
    let text = String::from_utf8(answer.to_vec()).expect("a text");
    assert!(text.starts_with("HTTP/1.1 400 Bad Request\r\n"), "{text}");
    assert!(text.contains("\r\nConnection: close\r\n") && text.contains("a poll without `name=`"), "{text}");
}

proptest! {
    #[test]
    fn no_bytes_bring_the_parser_down(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let _ = http::next_request(&mut BytesMut::from(bytes.as_slice()));
    }

    #[test]
    fn no_query_brings_the_parser_down(query in "[a-z0-9=&%+.-]{0,80}") {
        let _ = read(&format!("GET /changes?{query} HTTP/1.1\r\n\r\n"));
    }
}

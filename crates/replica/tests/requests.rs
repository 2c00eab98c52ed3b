//! Parsing of requests: complete, split, invalid, and random bytes.

use bytes::BytesMut;
use myrtlegauge_replica::RequestError;
use myrtlegauge_replica::http::{self, MAX_HEAD_BYTES, Request};
use myrtlegauge_replication::{
    Attachment, Incarnation, LogId, MemberName, PollError, PollRequest, Poller, ReplicaName, Sequence,
};
use proptest::prelude::*;
use std::time::Duration;

fn parse(text: &str) -> Result<Option<Request>, RequestError> {
    http::next_request(&mut BytesMut::from(text))
}

fn parse_query(query: &str) -> Result<PollRequest, RequestError> {
    match parse(&format!("GET /changes?{query} HTTP/1.1\r\nHost: a\r\n\r\n"))? {
        Some(Request::Poll(request)) => Ok(request),
        other => panic!("{query}: {other:?}"),
    }
}

fn dispatcher() -> PollRequest {
    PollRequest {
        log: Some(LogId("a-17".to_owned())),
        since: Sequence(4),
        acknowledged: Sequence(3),
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
fn a_poll_without_a_role_is_that_of_a_reader() {
    let request = parse_query("since=7&timeout=500").expect("a poll");
    let reader = PollRequest {
        log: None,
        since: Sequence(7),
        acknowledged: Sequence(0),
        timeout: Duration::from_millis(500),
        poller: Poller::Reader,
    };
    assert_eq!(request, reader);
}

#[test]
fn queries_of_dispatchers_and_replicas_survive_a_round_trip() {
    let replica = Poller::Replica { name: ReplicaName("b".to_owned()), own_log: LogId("b-18".to_owned()) };
    for request in [dispatcher(), PollRequest { poller: replica, ..dispatcher() }] {
        assert_eq!(parse_query(&request.to_query()), Ok(request));
    }
}

#[test]
fn an_invalid_query_is_rejected_with_its_cause_and_remedy() {
    let invalid_queries = [
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
    for query in invalid_queries {
        let error = parse_query(query).expect_err(query);
        assert!(matches!(error, RequestError::Poll(_)), "{query}: {error:?}");
        assert!(error.status().starts_with("400 "), "{query}");
        assert!(error.to_string().contains(':'), "the error names the cause and the remedy: {error}");
    }
    assert_eq!(
        parse_query("since=1&role=dispatcher&name=a&incarnation=1"),
        Err(RequestError::Poll(PollError::MissingField("attachment")))
    );
}

#[test]
fn unsupported_requests_are_rejected_with_specific_errors() {
    let rejected = |text: &str| parse(text).map(|_| ()).expect_err(text);
    assert_eq!(parse("GET /status HTTP/1.1\r\n\r\n"), Ok(Some(Request::Status)));
    assert_eq!(rejected("GET / HTTP/1.1\r\n\r\n"), RequestError::Path("/".to_owned()));
    assert_eq!(rejected("POST /changes HTTP/1.1\r\n\r\n"), RequestError::Method("POST".to_owned()));
    assert_eq!(rejected("GET /status HTTP/1.1\r\nContent-Length: 5\r\n\r\n"), RequestError::Body);
    assert_eq!(rejected("GET /status HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"), RequestError::Body);
    assert_eq!(rejected("\u{1}\u{2} nonsense\r\n\r\n"), RequestError::NotHttp);
    let many_headers: String = (0..40).map(|number| format!("a{number}: b\r\n")).collect();
    assert_eq!(
        rejected(&format!("GET /status HTTP/1.1\r\n{many_headers}\r\n")),
        RequestError::HeadTooLong { max_bytes: MAX_HEAD_BYTES }
    );
}

#[test]
fn an_endless_head_is_rejected_above_the_maximum_size() {
    let start = "GET /changes?since=1&log=".to_owned();
    let longest = format!("{start}{}", "x".repeat(MAX_HEAD_BYTES - start.len()));
    assert_eq!(parse(&longest), Ok(None), "the head may still be completed");
    assert_eq!(parse(&format!("{longest}x")), Err(RequestError::HeadTooLong { max_bytes: MAX_HEAD_BYTES }));
}

#[test]
fn requests_split_at_any_byte_are_parsed_in_order() {
    let query = dispatcher().to_query();
    let stream = format!("GET /changes?{query} HTTP/1.1\r\nHost: a\r\n\r\nGET /status HTTP/1.1\r\n\r\n");
    for at in 0..=stream.len() {
        let (mut inbound, mut requests) = (BytesMut::new(), Vec::new());
        for chunk in [&stream[..at], &stream[at..]] {
            inbound.extend_from_slice(chunk.as_bytes());
            while let Some(request) = http::next_request(&mut inbound).expect("the request is well-formed") {
                requests.push(request);
            }
        }
        assert_eq!(requests, [Request::Poll(dispatcher()), Request::Status], "split at {at}");
    }
}

#[test]
fn an_error_response_has_its_status_and_closes_the_connection() {
    let response = http::error_response(&RequestError::Poll(PollError::MissingField("name")));
    let text = String::from_utf8(response.to_vec()).expect("a text");
    assert!(text.starts_with("HTTP/1.1 400 Bad Request\r\n"), "{text}");
    assert!(
        text.contains("\r\nConnection: close\r\n") && text.contains("the field `name=` is missing"),
        "{text}"
    );
}

proptest! {
    #[test]
    fn random_bytes_do_not_panic_the_parser(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let _ = http::next_request(&mut BytesMut::from(bytes.as_slice()));
    }

    #[test]
    fn random_queries_do_not_panic_the_parser(query in "[a-z0-9=&%+.-]{0,80}") {
        let _ = parse(&format!("GET /changes?{query} HTTP/1.1\r\n\r\n"));
    }
}

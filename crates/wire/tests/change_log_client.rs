//! The client of the change log against fake change logs on loopback, whose answers are late.

mod common;

use calloop::EventLoop;
use common::{ReadyFlag, listener, read_request, write_answer};
use myrtlegauge_wire::change_log_client::{ChangeLogClient, SequenceCheck};
use myrtlegauge_wire::transport::{EventLoopHandle, ResourceUsage};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The longest wait that a poll requests.
const WAIT: Duration = Duration::from_millis(500);
/// Time for what is not the change log's: connections and a busy machine.
const SLACK: Duration = Duration::from_millis(700);
/// Polls that may be outstanding at once: the newest one and the overdue ones.
const MAX_OUTSTANDING: usize = 4;

/// A client with its event loop.
struct TestClient {
    event_loop: EventLoop<'static, ReadyFlag>,
    event_loop_handle: EventLoopHandle<ReadyFlag>,
    resource_usage: Rc<ResourceUsage>,
    client: ChangeLogClient<ReadyFlag>,
    started_at: Instant,
    most_descriptors: usize,
}

impl TestClient {
    fn new(address: SocketAddr) -> Self {
        let event_loop = EventLoop::try_new().expect("an event loop");
        let event_loop_handle = event_loop.handle();
        Self {
            event_loop,
            event_loop_handle,
            resource_usage: Rc::default(),
            client: ChangeLogClient::new(address, ()),
            started_at: Instant::now(),
            most_descriptors: 0,
        }
    }

    /// Polls for this long, or until an answer was taken. Returns whether one was.
    fn poll_for(&mut self, duration: Duration) -> bool {
        let (mut ready_flag, mut read_buffer) = (ReadyFlag::default(), vec![0; 4096]);
        let until = self.started_at.elapsed() + duration;
        loop {
            let now = self.started_at.elapsed();
            if now >= until {
                return false;
            }
            let Self { client, event_loop_handle, resource_usage, .. } = self;
            while client.on_ready(&mut read_buffer, now) {}
            match client.next_answer(now) {
                Ok(Some(_)) => return true,
                Ok(None) => _ = client.poll_if_due(event_loop_handle, resource_usage, now),
                Err(_) => client.disconnect(now),
            }
            self.most_descriptors = self.most_descriptors.max(resource_usage.descriptors.current());
            let wait = self.client.deadline.saturating_sub(now).min(Duration::from_millis(5));
            self.event_loop.dispatch(wait, &mut ready_flag).expect("the event loop runs");
        }
    }
}

/// Starts a change log without events. Each answer leaves at the end of the requested wait, and later by this.
fn start_change_log(lateness: impl Fn() -> Duration + Clone + Send + 'static) -> SocketAddr {
    let (listener, address) = listener();
    std::thread::spawn(move || {
        for mut stream in listener.incoming().map_while(Result::ok) {
            let lateness = lateness.clone();
            std::thread::spawn(move || {
                while let Some(head) = read_request(&mut stream) {
                    let wait = head.split_once("timeout=").and_then(|(_, rest)| rest.split(' ').next());
                    let wait_ms = wait.and_then(|wait| wait.parse().ok()).expect("a requested wait");
                    std::thread::sleep(Duration::from_millis(wait_ms) + lateness());
                    if write_answer(&mut stream, "{\"seq\":0,\"results\":[]}").is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

/// Guards against case 2 of the review: each answer left 1 s late and was thrown away just before it came, so that nothing was
/// heard for as long as that lasted.
#[test]
fn late_answers_are_heard_however_late_they_steadily_are() {
    for lateness_ms in [0, 300, 1000, 2500, 4000] {
        let lateness = Duration::from_millis(lateness_ms);
        let mut client = TestClient::new(start_change_log(move || lateness));
        for answer in 0..3 {
            let is_heard = client.poll_for(WAIT + lateness + SLACK);
            assert!(is_heard, "answer {answer} of a change log that is late by {lateness:?}");
        }
        assert!(client.most_descriptors <= 2 * MAX_OUTSTANDING, "{} descriptors", client.most_descriptors);
    }
}

/// Guards against a slow change log that is taken for a dead connection: once its lateness is known, one connection serves.
#[test]
fn a_steadily_late_change_log_is_not_polled_on_ever_new_connections() {
    let lateness = Duration::from_millis(600);
    let mut client = TestClient::new(start_change_log(move || lateness));
    (0..2).for_each(|_| assert!(client.poll_for(WAIT + lateness + SLACK)));
    client.most_descriptors = 0;
    (0..3).for_each(|_| assert!(client.poll_for(WAIT + lateness + SLACK)));
    assert_eq!(client.most_descriptors, 1);
}

/// Guards against a connection that failed without a reset: it is not waited for beside one that answers.
#[test]
fn a_silent_connection_is_replaced_within_a_second_and_given_up_once_another_answers() {
    let silent = std::sync::Arc::new(std::sync::atomic::AtomicBool::new(true));
    let is_silent = std::sync::Arc::clone(&silent);
    let first_is_silent = move || match is_silent.swap(false, std::sync::atomic::Ordering::SeqCst) {
        true => Duration::from_secs(3600),
        false => Duration::ZERO,
    };
    let mut client = TestClient::new(start_change_log(first_is_silent));
    assert!(client.poll_for(Duration::from_millis(750) + WAIT + SLACK));
    assert!(client.poll_for(WAIT + SLACK));
    assert_eq!(client.resource_usage.descriptors.current(), 1);
}

/// Guards against missing events that are passed over because an overdue answer comes while no other connection is up.
#[test]
fn a_gap_is_asked_for_once_more_though_no_connection_is_up() {
    let mut client = TestClient::new(start_change_log(|| Duration::ZERO));
    assert!(client.poll_for(WAIT + SLACK));
    let now = client.started_at.elapsed();
    client.client.disconnect(now);
    assert_eq!(client.client.accept(5, now), SequenceCheck::GapRetried(0));
    assert_eq!(client.client.accept(5, now), SequenceCheck::GapAccepted(0));
}

/// Guards against an overdue poll whose connection is lost without anybody being told, while no other connection comes up: what
/// its answer would have held counts as known some time after the loss.
#[test]
fn the_loss_of_an_overdue_poll_is_told() {
    let (listener, address) = listener();
    let mut client = TestClient::new(address);
    let silent = std::thread::spawn(move || {
        let mut stream = listener.incoming().next().expect("a connection").expect("a connection");
        read_request(&mut stream).expect("a poll");
        stream
    });
    assert!(!client.poll_for(SLACK));
    let stream = silent.join().expect("the poll was read");
    assert!(!client.poll_for(WAIT + SLACK));
    assert_eq!(client.client.take_lost().into_iter().next(), None);
    let sent_at = client.client.polled_at();
    drop(stream);
    assert!(!client.poll_for(SLACK));
    let lost = client.client.take_lost().into_iter().next().expect("a lost poll");
    assert_eq!(lost.sent_at, sent_at);
    assert!(lost.lost_at > sent_at + WAIT + SLACK, "{lost:?}");
}

/// Guards against a change log far away, each poll of which counts as unanswered for a while although it is sound: the wait is
/// shortened by the delay of its answers.
#[test]
fn answers_of_a_distant_change_log_come_within_the_wanted_time() {
    const ANSWER_WITHIN: Duration = Duration::from_millis(650);
    const MARGIN: Duration = Duration::from_millis(60);
    for delay_ms in [0, 200, 500] {
        let delay = Duration::from_millis(delay_ms);
        let mut client = TestClient::new(start_change_log(move || delay));
        client.client = client.client.with_answer_within(ANSWER_WITHIN);
        assert!(client.poll_for(delay + SLACK));
        let started_at = client.started_at.elapsed();
        for _ in 0..4 {
            assert!(client.poll_for(ANSWER_WITHIN + SLACK));
            let answered_after = client.started_at.elapsed() - client.client.polled_at();
            assert!(answered_after <= ANSWER_WITHIN + MARGIN, "{answered_after:?} with a delay of {delay:?}");
        }
        let four_answers_took = client.started_at.elapsed() - started_at;
        assert!(four_answers_took >= 4 * (WAIT - MARGIN), "{four_answers_took:?} with a delay of {delay:?}");
    }
}

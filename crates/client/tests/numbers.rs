//! Numbers of requests on a connection, by the core alone.

use myrtlegauge_client::decide::*;
use myrtlegauge_client::*;
use std::time::Duration;

/// Connections whose free numbers the test sets.
#[derive(Default)]
struct Numbers {
    first_free: Option<u16>,
    opened: Vec<ConnectionId>,
    sent: Vec<(ConnectionId, u16)>,
    closed: Vec<ConnectionId>,
}

impl ActionSink for Numbers {
    fn connect(&mut self, connection: ConnectionId, _: usize) {
        self.opened.push(connection);
    }

    fn send(&mut self, connection: ConnectionId, number: u16, _: CallId, _: AttemptId, _: Duration) {
        self.sent.push((connection, number));
    }

    fn abort(&mut self, _: ConnectionId, _: u16) -> Reached {
        Reached::Whole
    }

    fn free_number(&self, _: ConnectionId, from: u16) -> Option<u16> {
        self.first_free.map(|first_free| first_free.max(from))
    }

    fn close(&mut self, connection: ConnectionId) {
        self.closed.push(connection);
    }

    fn finish(&mut self, _: CallId, _: CallOutcome) {}

    fn record_resend(&mut self, _: &Resend) {}
}

/// Guards against a number that is used again while its aborted request has no end, and against a connection that is full of
/// such numbers: it gets no further request, and closes once it has none.
#[test]
fn a_number_in_use_is_passed_over_and_a_connection_without_free_numbers_is_replaced() {
    const BUDGET: Duration = Duration::from_secs(2);
    let service = Service { name: "video".into(), effect: Effect::Idempotent };
    let dispatcher = Dispatcher { address: ([127, 0, 0, 1], 9).into(), group: 0, sharers: 1 };
    let mut core = Core::new(vec![service], vec![dispatcher], 1);
    let mut sink = Numbers { first_free: Some(7), ..Numbers::default() };
    let now = Duration::from_millis(1);
    core.round(now, &mut sink, |round| _ = round.on_call(0, BUDGET));
    let first = sink.opened[0];
    core.round(now, &mut sink, |round| round.on_connected(first));
    assert_eq!(sink.sent, [(first, 7)]);
    sink.first_free = None;
    core.round(now, &mut sink, |round| _ = round.on_call(0, BUDGET));
    assert_eq!((sink.sent.len(), sink.closed.len()), (1, 0), "a request is open on the connection");
    core.round(now, &mut sink, |round| round.on_answer(first, 7, DispatcherAnswer::Returned));
    assert_eq!(sink.closed, [first]);
    sink.first_free = Some(1);
    let second = *sink.opened.last().unwrap();
    core.round(now, &mut sink, |round| round.on_connected(second));
    assert_eq!(sink.sent.len(), 2);
}

//! Exchanges that other members began: how many are open, how long, and how much they hold together.

use super::{Member, Transfer};
use crate::health::EXCHANGE_TIMEOUT;
use crate::message::MAX_EXCHANGE_BYTES;
use calloop::generic::Generic;
use calloop::timer::{TimeoutAction, Timer};
use calloop::{Interest, Mode, PostAction, RegistrationToken};
use std::collections::BTreeMap;
use std::net::{TcpListener, TcpStream};

/// The maximum number of open exchanges that others began. Further ones wait in the listener's queue.
const MAX_EXCHANGES: usize = 64;
/// The maximum number of bytes that these exchanges hold together: both messages of two of the largest.
const MAX_BYTES: usize = 4 * MAX_EXCHANGE_BYTES;

/// An exchange that another member began.
struct InboundExchange {
    token: RegistrationToken,
    /// Bytes of its messages that were received, or wait to be written.
    held_bytes: usize,
}

/// The open exchanges that other members began.
#[derive(Default)]
pub struct InboundExchanges {
    open: BTreeMap<u64, InboundExchange>,
    last_id: u64,
    /// The listener's registration while it is disabled, since no further exchange may be open.
    disabled_listener: Option<RegistrationToken>,
}

impl InboundExchanges {
    fn is_full(&self) -> bool {
        self.open.len() >= MAX_EXCHANGES
    }

    /// The exchange that holds most, if they hold too much together.
    fn largest_over_limit(&self) -> Option<u64> {
        let held_bytes: usize = self.open.values().map(|exchange| exchange.held_bytes).sum();
        let largest = self.open.iter().max_by_key(|(_, exchange)| exchange.held_bytes);
        largest.filter(|_| held_bytes > MAX_BYTES).map(|(&id, _)| id)
    }
}

impl<D: 'static> Member<D> {
    /// Accepts exchanges that others begin. The listener is not looked at while no further one may be open.
    pub(super) fn accept(&self, listener: &TcpListener) -> PostAction {
        while !self.0.borrow().inbound_exchanges.is_full() {
            let Ok((stream, _)) = listener.accept() else { return PostAction::Continue };
            if stream.set_nonblocking(true).is_ok() {
                self.open_inbound(stream);
            }
        }
        let mut inner = self.0.borrow_mut();
        inner.inbound_exchanges.disabled_listener = inner.listener;
        PostAction::Disable
    }

    /// Reads another member's message to its end, then answers with this member's records. The exchange is closed once the
    /// other has given it up.
    fn open_inbound(&self, stream: TcpStream) {
        let event_loop = self.0.borrow().event_loop.clone();
        let id = self.0.borrow().inbound_exchanges.last_id + 1;
        self.0.borrow_mut().inbound_exchanges.last_id = id;
        let (this, mut transfer, mut is_received) = (self.clone(), Transfer::new(Vec::new()), false);
        let source = Generic::new(stream, Interest::BOTH, Mode::Edge);
        let inserted = event_loop.insert_source(source, move |_, stream, _| {
            let is_finished = this.advance_inbound(stream, &mut transfer, &mut is_received);
            let held_bytes = transfer.received.len() + transfer.outgoing.len() - transfer.written;
            let is_closed = is_finished || !this.record_inbound_bytes(id, held_bytes);
            if !is_closed {
                return Ok(PostAction::Continue);
            }
            this.forget_inbound(id);
            Ok(PostAction::Remove)
        });
        let Ok(token) = inserted else { return };
        let exchange = InboundExchange { token, held_bytes: 0 };
        self.0.borrow_mut().inbound_exchanges.open.insert(id, exchange);
        let this = self.clone();
        let timer = Timer::from_duration(EXCHANGE_TIMEOUT);
        let timer = event_loop.insert_source(timer, move |_, (), _| {
            this.close_inbound(id);
            TimeoutAction::Drop
        });
        if timer.is_err() {
            log::warn!("an exchange has no time limit: the event loop takes no more timers");
        }
    }

    /// Moves an exchange on. Returns whether it has ended.
    fn advance_inbound(&self, stream: &TcpStream, transfer: &mut Transfer, is_received: &mut bool) -> bool {
        if !*is_received {
            let Some(is_complete) = transfer.read(stream) else { return false };
            *is_received = true;
            let message = std::mem::take(&mut transfer.received);
            let Some(answer) = self.answer_exchange(&message).filter(|_| is_complete) else { return true };
            transfer.outgoing = answer;
        }
        transfer.write(stream) != Some(false)
    }

    /// Records what an exchange holds, and closes the one that holds most where all together hold too much. Returns whether
    /// this one stays open.
    fn record_inbound_bytes(&self, id: u64, held_bytes: usize) -> bool {
        let largest = {
            let exchanges = &mut self.0.borrow_mut().inbound_exchanges;
            let Some(exchange) = exchanges.open.get_mut(&id) else { return false };
            exchange.held_bytes = held_bytes;
            exchanges.largest_over_limit()
        };
        let Some(largest) = largest else { return true };
        log::warn!("the exchanges that others began hold over {MAX_BYTES} bytes, closing the largest");
        if largest != id {
            self.close_inbound(largest);
        }
        largest != id
    }

    /// Closes an exchange that has not ended in time.
    fn close_inbound(&self, id: u64) {
        let event_loop = self.0.borrow().event_loop.clone();
        if let Some(exchange) = self.forget_inbound(id) {
            event_loop.remove(exchange.token);
        }
    }

    /// Forgets an exchange that has ended, and looks at the listener again.
    fn forget_inbound(&self, id: u64) -> Option<InboundExchange> {
        let mut inner = self.0.borrow_mut();
        let exchange = inner.inbound_exchanges.open.remove(&id)?;
        if let Some(listener) = inner.inbound_exchanges.disabled_listener.take()
            && let Err(e) = inner.event_loop.enable(&listener)
        {
            log::error!("exchanges of other members are no longer accepted: {e}");
        }
        Some(exchange)
    }

    /// The answer to an exchange that another member began; none if the message is rejected.
    fn answer_exchange(&self, message: &[u8]) -> Option<Vec<u8>> {
        let mut inner = self.0.borrow_mut();
        let now = inner.started_at.elapsed();
        let answer = inner.core.on_exchange(message, now);
        answer.inspect_err(|error| log::debug!("closing an exchange that is not from a member: {error}")).ok()
    }
}

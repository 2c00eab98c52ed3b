//! The sockets of a member, on a calloop loop: a datagram socket, a listener for exchanges, connections of exchanges, and
//! one timer. It starts no thread and makes no decisions.

mod inbound;

use self::inbound::InboundExchanges;
use crate::core::{Action, LocalMember, Membership};
use crate::errors::MembershipError;
use crate::health::{EXCHANGE_TIMEOUT, ExchangeFailure};
use crate::message::{MAX_DATAGRAM_BYTES, MAX_EXCHANGE_BYTES};
use crate::view::{Change, View};
use calloop::generic::Generic;
use calloop::timer::{TimeoutAction, Timer};
use calloop::{Interest, LoopHandle, Mode, PostAction, RegistrationToken};
use socket2::{Domain, Protocol, Socket, Type};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{IpAddr, Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The maximum number of datagrams read per loop iteration: a flood must not keep the dispatcher from its GETs.
const MAX_DATAGRAMS_PER_READ: usize = 64;

/// The operator's settings of this member.
#[derive(Clone, Debug)]
pub struct Startup {
    /// The name of this member.
    pub name: String,
    /// The name of the fleet.
    pub fleet: String,
    /// The address of the datagram socket and of the listener.
    pub listen: SocketAddr,
    /// Where others reach it, if that is another address.
    pub advertised: Option<SocketAddr>,
    /// The addresses of members to connect to while they are not known.
    pub seed_peers: Vec<SocketAddr>,
    /// The configured number of members.
    pub expected_members: usize,
}

/// A change, with the view after it and the number of members that share sources.
pub struct ViewUpdate<'a> {
    /// The view after the change.
    pub view: View,
    /// The number of members that share sources.
    pub source_sharers: usize,
    /// The change.
    pub change: &'a Change,
}

type Handler<D> = dyn Fn(&mut D, ViewUpdate<'_>);

/// An exchange that this member began.
#[derive(Clone, Copy)]
struct OutboundExchange {
    token: RegistrationToken,
    began: Instant,
    is_connected: bool,
}

struct Inner<D: 'static> {
    core: Membership,
    datagrams: UdpSocket,
    listen: SocketAddr,
    started_at: Instant,
    event_loop: LoopHandle<'static, D>,
    on_change: Rc<Handler<D>>,
    outbound_exchanges: BTreeMap<SocketAddr, OutboundExchange>,
    inbound_exchanges: InboundExchanges,
    /// The registration of the exchanges' listener.
    listener: Option<RegistrationToken>,
}

/// A member on an event loop.
pub struct Member<D: 'static>(Rc<RefCell<Inner<D>>>);

impl<D> Clone for Member<D> {
    fn clone(&self) -> Self {
        Self(Rc::clone(&self.0))
    }
}

impl<D: 'static> Member<D> {
    /// Opens the sockets and begins to connect to the seed peers; `on_change` is called for every change.
    ///
    /// # Errors
    /// The address cannot be listened on, the name has an invalid length, or the event loop takes no more sources.
    pub fn start(
        event_loop: &LoopHandle<'static, D>,
        startup: &Startup,
        on_change: impl Fn(&mut D, ViewUpdate<'_>) + 'static,
    ) -> Result<Self, MembershipError> {
        let listen = startup.listen;
        let socket_error = |socket: &'static str| {
            move |error: io::Error| MembershipError::Socket { socket, address: listen, error }
        };
        let datagrams = UdpSocket::bind(listen).map_err(socket_error("datagram socket"))?;
        datagrams.set_nonblocking(true).map_err(socket_error("datagram socket"))?;
        let listener = open_listener(listen).map_err(socket_error("exchange listener"))?;
        let unix_ms = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
        let local = LocalMember {
            name: startup.name.clone(),
            address: startup.advertised.unwrap_or(listen),
            fleet: startup.fleet.clone(),
            generation: unix_ms,
        };
        let core = Membership::new(
            local,
            startup.seed_peers.clone(),
            startup.expected_members,
            fastrand::u64(..),
            Duration::ZERO,
        )?;
        let reader = datagrams.try_clone().map_err(socket_error("datagram socket"))?;
        let member = Self(Rc::new(RefCell::new(Inner {
            core,
            datagrams,
            listen,
            started_at: Instant::now(),
            event_loop: event_loop.clone(),
            on_change: Rc::new(on_change),
            outbound_exchanges: BTreeMap::new(),
            inbound_exchanges: InboundExchanges::default(),
            listener: None,
        })));
        let loop_error = |event_source: &'static str| {
            move |error: calloop::Error| MembershipError::EventLoop { event_source, error: error.to_string() }
        };
        let this = member.clone();
        let source = Generic::new(reader, Interest::READ, Mode::Level);
        let inserted = event_loop.insert_source(source, move |_, _, loop_data| {
            this.read_datagrams(loop_data);
            Ok(PostAction::Continue)
        });
        inserted.map_err(|e| loop_error("datagram socket")(e.error))?;
        let this = member.clone();
        let source = Generic::new(listener, Interest::READ, Mode::Level);
        let inserted = event_loop.insert_source(source, move |_, listener, _| Ok(this.accept(listener)));
        let token = inserted.map_err(|e| loop_error("exchange listener")(e.error))?;
        member.0.borrow_mut().listener = Some(token);
        let this = member.clone();
        let timer = event_loop.insert_source(Timer::immediate(), move |_, (), loop_data| {
            this.with_core(loop_data, |core, now, actions| core.on_timer(now, actions));
            let inner = this.0.borrow();
            let delay = inner.core.next_timeout().saturating_sub(inner.started_at.elapsed());
            TimeoutAction::ToDuration(delay.max(Duration::from_millis(1)))
        });
        timer.map_err(|e| loop_error("timer")(e.error))?;
        Ok(member)
    }

    /// This member's current view.
    pub fn view(&self) -> View {
        self.0.borrow().core.view()
    }

    /// Announces to all live members that this one leaves.
    pub fn leave(&self, loop_data: &mut D) {
        self.with_core(loop_data, |core, _, actions| core.leave(actions));
    }

    /// One line for the report of counters.
    pub fn summary(&self) -> String {
        let inner = self.0.borrow();
        let View { epoch, alive, suspect, dead, known, reach } = inner.core.view();
        let (bytes_sent, rejected) = (inner.core.bytes_sent, inner.core.rejected_messages);
        format!(
            "members: epoch {epoch}, {alive} here, {suspect} doubted, {dead} gone of {known} known, {reach:?}; \
             {bytes_sent} bytes said, {rejected} messages refused"
        )
    }

    /// Calls the core and carries out the actions that it returns.
    fn with_core(&self, loop_data: &mut D, call: impl FnOnce(&mut Membership, Duration, &mut Vec<Action>)) {
        let mut actions = Vec::new();
        {
            let mut inner = self.0.borrow_mut();
            let now = inner.started_at.elapsed();
            call(&mut inner.core, now, &mut actions);
        }
        for action in actions {
            match action {
                // A datagram that the system does not accept is lost, as it could be on the network.
                Action::Send { to, bytes } => drop(self.0.borrow().datagrams.send_to(&bytes, to)),
                Action::Exchange { address } => self.begin_exchange(address),
                Action::Changed(change) => {
                    let (view, source_sharers, on_change) = {
                        let inner = self.0.borrow();
                        (inner.core.view(), inner.core.source_sharers(), Rc::clone(&inner.on_change))
                    };
                    on_change(loop_data, ViewUpdate { view, source_sharers, change: &change });
                }
            }
        }
    }

    fn read_datagrams(&self, loop_data: &mut D) {
        let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
        for _ in 0..MAX_DATAGRAMS_PER_READ {
            let received = self.0.borrow().datagrams.recv_from(&mut buffer);
            match received {
                Ok((length, from)) => self.with_core(loop_data, |core, now, actions| {
                    if let Err(error) = core.on_datagram(&buffer[..length], now, actions) {
                        log::debug!(from:%; "ignoring a datagram that is not from a member: {error}");
                    }
                }),
                // An earlier datagram to a port without a listener is reported this way; the next read may succeed.
                Err(e) if matches!(e.kind(), ErrorKind::ConnectionRefused | ErrorKind::ConnectionReset) => {}
                Err(_) => return,
            }
        }
    }

    /// Begins an exchange: finds out whether a member listens at the address, and receives all that it knows.
    fn begin_exchange(&self, at: SocketAddr) {
        let (event_loop, listen) = (self.0.borrow().event_loop.clone(), self.0.borrow().listen);
        let stream = match open_connection(listen.ip(), at) {
            Ok(stream) => stream,
            Err(e) => {
                let failure = if e.kind() == ErrorKind::ConnectionRefused {
                    ExchangeFailure::Refused
                } else {
                    ExchangeFailure::Unreachable
                };
                let this = self.clone();
                let _ = event_loop.insert_source(Timer::immediate(), move |_, (), loop_data| {
                    this.with_core(loop_data, |core, now, _| {
                        drop(core.on_exchange_result(at, Err(failure), now));
                    });
                    TimeoutAction::Drop
                });
                return;
            }
        };
        let (this, message) = (self.clone(), self.0.borrow().core.exchange_message());
        let mut transfer = Transfer::new(message);
        let (mut is_connected, mut is_write_closed) = (false, false);
        let source = Generic::new(stream, Interest::BOTH, Mode::Edge);
        let inserted = event_loop.insert_source(source, move |_, stream, loop_data| {
            let stream: &TcpStream = stream;
            let stream_error = match stream.take_error() {
                Ok(None) => None,
                Ok(Some(e)) | Err(e) => Some(e),
            };
            if stream_error.is_none() && !is_connected {
                if stream.peer_addr().is_err() {
                    return Ok(PostAction::Continue);
                }
                is_connected = true;
                if let Some(exchange) = this.0.borrow_mut().outbound_exchanges.get_mut(&at) {
                    exchange.is_connected = true;
                }
            }
            let result = match stream_error {
                Some(e) => Some(Err(failure_of(&e))),
                None => {
                    if !is_write_closed && transfer.write(stream) == Some(true) {
                        is_write_closed = true;
                        let _ = stream.shutdown(Shutdown::Write);
                    }
                    match transfer.read(stream) {
                        None => None,
                        Some(true) if !transfer.received.is_empty() => {
                            Some(Ok(std::mem::take(&mut transfer.received)))
                        }
                        // Closed or reset without an answer: no member listens there.
                        Some(_) => Some(Err(ExchangeFailure::Refused)),
                    }
                }
            };
            let Some(result) = result else { return Ok(PostAction::Continue) };
            this.0.borrow_mut().outbound_exchanges.remove(&at);
            this.with_core(loop_data, |core, now, actions| {
                let result = result.as_deref().map_err(|failure| *failure);
                if let Err(error) = core.on_exchange_result(at, result, now) {
                    log::debug!(at:%; "ignoring the answer to an exchange: {error}");
                }
                core.on_timer(now, actions);
            });
            Ok(PostAction::Remove)
        });
        let Ok(token) = inserted else { return };
        let began = Instant::now();
        let exchange = OutboundExchange { token, began, is_connected: false };
        self.0.borrow_mut().outbound_exchanges.insert(at, exchange);
        let this = self.clone();
        let _ = event_loop.insert_source(Timer::from_duration(EXCHANGE_TIMEOUT), move |_, (), loop_data| {
            let exchange = this.0.borrow().outbound_exchanges.get(&at).copied();
            if let Some(exchange) = exchange.filter(|exchange| exchange.began == began) {
                this.0.borrow_mut().outbound_exchanges.remove(&at);
                this.0.borrow().event_loop.remove(exchange.token);
                let failure = if exchange.is_connected {
                    ExchangeFailure::Unanswered
                } else {
                    ExchangeFailure::Unreachable
                };
                this.with_core(loop_data, |core, now, _| {
                    drop(core.on_exchange_result(at, Err(failure), now))
                });
            }
            TimeoutAction::Drop
        });
    }
}

fn failure_of(error: &io::Error) -> ExchangeFailure {
    match error.kind() {
        ErrorKind::ConnectionRefused | ErrorKind::ConnectionReset => ExchangeFailure::Refused,
        _ => ExchangeFailure::Unreachable,
    }
}

fn open_listener(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM.nonblocking(), Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(128)?;
    Ok(socket.into())
}

/// Connects from this member's own address, so that the network can tell which member connects.
fn open_connection(from: IpAddr, to: SocketAddr) -> io::Result<TcpStream> {
    let socket = Socket::new(Domain::for_address(to), Type::STREAM.nonblocking(), Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.bind(&SocketAddr::new(from, 0).into())?;
    match socket.connect(&to.into()) {
        Err(e) if e.kind() != ErrorKind::WouldBlock && e.raw_os_error() != Some(115) => Err(e),
        _ => Ok(socket.into()),
    }
}

/// The bytes of an exchange on one connection, in both directions.
struct Transfer {
    outgoing: Vec<u8>,
    written: usize,
    received: Vec<u8>,
}

impl Transfer {
    fn new(outgoing: Vec<u8>) -> Self {
        Self { outgoing, written: 0, received: Vec::new() }
    }

    /// Whether all bytes are written. None: the peer has closed or reset the connection.
    fn write(&mut self, mut stream: &TcpStream) -> Option<bool> {
        while self.written < self.outgoing.len() {
            match stream.write(&self.outgoing[self.written..]) {
                Ok(count) => self.written += count,
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Some(false),
                Err(_) => return None,
            }
        }
        Some(true)
    }

    /// Whether the peer's message is complete: false where it was cut off or is too long. None: more is to come.
    fn read(&mut self, mut stream: &TcpStream) -> Option<bool> {
        let mut buffer = [0; 16 * 1024];
        loop {
            match stream.read(&mut buffer) {
                Ok(0) => return Some(true),
                Ok(_) if self.received.len() > MAX_EXCHANGE_BYTES => return Some(false),
                Ok(count) => self.received.extend_from_slice(&buffer[..count]),
                Err(e) if e.kind() == ErrorKind::WouldBlock => return None,
                Err(_) => return Some(false),
            }
        }
    }
}

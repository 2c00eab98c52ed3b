//! Sockets for the core, on a calloop loop: a datagram socket, a listener for looks, connections of looks, one timer. No
//! thread, and nothing is decided here.

use crate::core::{Act, Membership, Myself};
use crate::errors::MembershipError;
use crate::health::{LOOKS, Look};
use crate::message::{DATAGRAM_MOST, EXCHANGE_MOST};
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

/// Datagrams read before the loop's other work goes on: a flood must not keep the dispatcher from its GETs.
const READ_AT_ONCE: usize = 64;
/// Looks at this member at once; more wait in the listener's queue.
const LOOKED_AT_MOST: usize = 64;

/// What an operator tells of this member.
#[derive(Clone, Debug)]
pub struct Startup {
    pub name: String,
    pub fleet: String,
    pub listen: SocketAddr,
    /// Where others reach it, if that is another address.
    pub reached_at: Option<SocketAddr>,
    pub peers: Vec<SocketAddr>,
    /// Members that operators told.
    pub told: usize,
}

/// What the loop's owner is told: the view as it is now, for how many sources are shared out, and what changed.
pub struct Told<'a> {
    pub view: View,
    pub sharers: usize,
    pub change: &'a Change,
}

type Heard<D> = dyn Fn(&mut D, Told<'_>);

struct Inner<D: 'static> {
    core: Membership,
    datagrams: UdpSocket,
    listen: SocketAddr,
    began: Instant,
    hub: LoopHandle<'static, D>,
    heard: Rc<Heard<D>>,
    looks: BTreeMap<SocketAddr, (RegistrationToken, Instant, bool)>,
    looked_at: usize,
}

/// A member on a loop.
pub struct Member<D: 'static>(Rc<RefCell<Inner<D>>>);

impl<D> Clone for Member<D> {
    fn clone(&self) -> Self {
        Self(Rc::clone(&self.0))
    }
}

impl<D: 'static> Member<D> {
    /// Takes the sockets and begins to look for its peers; `heard` is told of every change.
    ///
    /// # Errors
    /// An address that can't be listened on, a name that can't be told, a loop that takes no more sources.
    pub fn start(
        hub: &LoopHandle<'static, D>,
        startup: &Startup,
        heard: impl Fn(&mut D, Told<'_>) + 'static,
    ) -> Result<Self, MembershipError> {
        let listen = startup.listen;
        let socket =
            |what: &'static str| move |why: io::Error| MembershipError::Socket { what, at: listen, why };
        let datagrams = UdpSocket::bind(listen).map_err(socket("datagrams at"))?;
        datagrams.set_nonblocking(true).map_err(socket("datagrams at"))?;
        let listener = listening(listen).map_err(socket("looks at"))?;
        let unix_ms = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
        let myself = Myself {
            name: startup.name.clone(),
            at: startup.reached_at.unwrap_or(listen),
            fleet: startup.fleet.clone(),
            generation: unix_ms,
        };
        let core =
            Membership::new(myself, startup.peers.clone(), startup.told, fastrand::u64(..), Duration::ZERO)?;
        let reader = datagrams.try_clone().map_err(socket("datagrams at"))?;
        let member = Self(Rc::new(RefCell::new(Inner {
            core,
            datagrams,
            listen,
            began: Instant::now(),
            hub: hub.clone(),
            heard: Rc::new(heard),
            looks: BTreeMap::new(),
            looked_at: 0,
        })));
        let taken = |what: &'static str| {
            move |why: calloop::Error| MembershipError::Loop { what, why: why.to_string() }
        };
        let of = member.clone();
        let source = Generic::new(reader, Interest::READ, Mode::Level);
        let into = hub.insert_source(source, move |_, _, owner| {
            of.read(owner);
            Ok(PostAction::Continue)
        });
        into.map_err(|e| taken("datagrams")(e.error))?;
        let of = member.clone();
        let source = Generic::new(listener, Interest::READ, Mode::Level);
        let into = hub.insert_source(source, move |_, listener, _| {
            of.accept(listener);
            Ok(PostAction::Continue)
        });
        into.map_err(|e| taken("looks")(e.error))?;
        let of = member.clone();
        let timer = hub.insert_source(Timer::immediate(), move |_, (), owner| {
            of.with(owner, |core, now, out| core.turn(now, out));
            let inner = of.0.borrow();
            let due = inner.core.due().saturating_sub(inner.began.elapsed());
            TimeoutAction::ToDuration(due.max(Duration::from_millis(1)))
        });
        timer.map_err(|e| taken("a timer")(e.error))?;
        Ok(member)
    }

    pub fn view(&self) -> View {
        self.0.borrow().core.view()
    }

    /// Tells all who are here that this one leaves.
    pub fn leave(&self, owner: &mut D) {
        self.with(owner, |core, _, out| core.leave(out));
    }

    /// One line for the counters.
    pub fn line(&self) -> String {
        let inner = self.0.borrow();
        let View { epoch, here, doubted, gone, known, reach } = inner.core.view();
        let (said, refused) = (inner.core.said, inner.core.refused);
        format!(
            "members: epoch {epoch}, {here} here, {doubted} doubted, {gone} gone of {known} known, {reach:?}; \
             {said} bytes said, {refused} messages refused"
        )
    }

    /// Hands the core what came, and does what it says.
    fn with(&self, owner: &mut D, what: impl FnOnce(&mut Membership, Duration, &mut Vec<Act>)) {
        let mut out = Vec::new();
        {
            let mut inner = self.0.borrow_mut();
            let now = inner.began.elapsed();
            what(&mut inner.core, now, &mut out);
        }
        for act in out {
            match act {
                // What the system does not take now is lost, as on the way.
                Act::Send { to, bytes } => drop(self.0.borrow().datagrams.send_to(&bytes, to)),
                Act::Look { at } => self.look(at),
                Act::Changed(change) => {
                    let (view, sharers, heard) = {
                        let inner = self.0.borrow();
                        (inner.core.view(), inner.core.sharers(), Rc::clone(&inner.heard))
                    };
                    heard(owner, Told { view, sharers, change: &change });
                }
            }
        }
    }

    fn read(&self, owner: &mut D) {
        let mut bytes = [0; DATAGRAM_MOST + 1];
        for _ in 0..READ_AT_ONCE {
            let came = self.0.borrow().datagrams.recv_from(&mut bytes);
            match came {
                Ok((length, from)) => self.with(owner, |core, now, out| {
                    if let Err(why) = core.heard(&bytes[..length], now, out) {
                        log::debug!(from:%; "a message of no member: {why}");
                    }
                }),
                // One sent to a port where nobody listens comes back so; the next may be a message.
                Err(e) if matches!(e.kind(), ErrorKind::ConnectionRefused | ErrorKind::ConnectionReset) => {}
                Err(_) => return,
            }
        }
    }

    /// Another looks at this member: what it says is read to its end, then all that is known here goes back.
    fn accept(&self, listener: &TcpListener) {
        while self.0.borrow().looked_at < LOOKED_AT_MOST {
            let Ok((stream, _)) = listener.accept() else { return };
            let hub = self.0.borrow().hub.clone();
            if stream.set_nonblocking(true).is_err() {
                continue;
            }
            self.0.borrow_mut().looked_at += 1;
            let (of, mut talk, mut asked, began) =
                (self.clone(), Talk::new(Vec::new()), false, Instant::now());
            let source = Generic::new(stream, Interest::BOTH, Mode::Edge);
            let into = hub.insert_source(source, move |_, stream, _| {
                let mut ended = began.elapsed() > LOOKS * 4;
                if !asked && let Some(whole) = talk.read(stream) {
                    asked = true;
                    match of.take(&talk.answer) {
                        Some(all) if whole => talk.say = all,
                        _ => ended = true,
                    }
                }
                ended |= asked && talk.write(stream) != Some(false);
                if !ended {
                    return Ok(PostAction::Continue);
                }
                of.0.borrow_mut().looked_at -= 1;
                Ok(PostAction::Remove)
            });
            if into.is_err() {
                self.0.borrow_mut().looked_at -= 1;
            }
        }
    }

    /// What one who looks here says is taken; all that is known here, unless it is no member.
    fn take(&self, said: &[u8]) -> Option<Vec<u8>> {
        let mut inner = self.0.borrow_mut();
        let now = inner.began.elapsed();
        inner.core.asked(said, now).inspect_err(|why| log::debug!("a look of no member: {why}")).ok()
    }

    /// Looks at a member: whether anything listens there, and what it knows.
    fn look(&self, at: SocketAddr) {
        let (hub, listen) = (self.0.borrow().hub.clone(), self.0.borrow().listen);
        let stream = match connecting(listen.ip(), at) {
            Ok(stream) => stream,
            Err(e) => {
                let saw = if e.kind() == ErrorKind::ConnectionRefused { Look::Refused } else { Look::Silent };
                let of = self.clone();
                let _ = hub.insert_source(Timer::immediate(), move |_, (), owner| {
                    of.with(owner, |core, now, _| drop(core.looked(at, Err(saw), now)));
                    TimeoutAction::Drop
                });
                return;
            }
        };
        let (of, asks) = (self.clone(), self.0.borrow().core.exchange());
        let mut talk = Talk::new(asks);
        let (mut up, mut closed) = (false, false);
        let source = Generic::new(stream, Interest::BOTH, Mode::Edge);
        let into = hub.insert_source(source, move |_, stream, owner| {
            let stream: &TcpStream = stream;
            let broken = match stream.take_error() {
                Ok(None) => None,
                Ok(Some(e)) | Err(e) => Some(e),
            };
            if broken.is_none() && !up {
                if stream.peer_addr().is_err() {
                    return Ok(PostAction::Continue);
                }
                up = true;
                if let Some(look) = of.0.borrow_mut().looks.get_mut(&at) {
                    look.2 = true;
                }
            }
            let came = match broken {
                Some(e) => Some(Err(refused(&e))),
                None => {
                    if !closed && talk.write(stream) == Some(true) {
                        closed = true;
                        let _ = stream.shutdown(Shutdown::Write);
                    }
                    match talk.read(stream) {
                        None => None,
                        Some(true) if !talk.answer.is_empty() => Some(Ok(std::mem::take(&mut talk.answer))),
                        // Closed, or reset, without a word: nobody is there who would speak.
                        Some(_) => Some(Err(Look::Refused)),
                    }
                }
            };
            let Some(came) = came else { return Ok(PostAction::Continue) };
            of.0.borrow_mut().looks.remove(&at);
            of.with(owner, |core, now, out| {
                let saw = came.as_deref().map_err(|saw| *saw);
                if let Err(why) = core.looked(at, saw, now) {
                    log::debug!(at:%; "a look brought nothing: {why}");
                }
                core.turn(now, out);
            });
            Ok(PostAction::Remove)
        });
        let Ok(token) = into else { return };
        let began = Instant::now();
        self.0.borrow_mut().looks.insert(at, (token, began, false));
        let of = self.clone();
        let _ = hub.insert_source(Timer::from_duration(LOOKS), move |_, (), owner| {
            let look = of.0.borrow().looks.get(&at).copied().filter(|look| look.1 == began);
            if let Some((token, _, up)) = look {
                of.0.borrow_mut().looks.remove(&at);
                of.0.borrow().hub.remove(token);
                let saw = if up { Look::Mute } else { Look::Silent };
                of.with(owner, |core, now, _| drop(core.looked(at, Err(saw), now)));
            }
            TimeoutAction::Drop
        });
    }
}

fn refused(e: &io::Error) -> Look {
    match e.kind() {
        ErrorKind::ConnectionRefused | ErrorKind::ConnectionReset => Look::Refused,
        _ => Look::Silent,
    }
}

fn listening(at: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(at), Type::STREAM.nonblocking(), Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.bind(&at.into())?;
    socket.listen(128)?;
    Ok(socket.into())
}

/// From this member's own address, by which a network tells who asks.
fn connecting(from: IpAddr, to: SocketAddr) -> io::Result<TcpStream> {
    let socket = Socket::new(Domain::for_address(to), Type::STREAM.nonblocking(), Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.bind(&SocketAddr::new(from, 0).into())?;
    match socket.connect(&to.into()) {
        Err(e) if e.kind() != ErrorKind::WouldBlock && e.raw_os_error() != Some(115) => Err(e),
        _ => Ok(socket.into()),
    }
}

/// One side's bytes out, the other's in.
struct Talk {
    say: Vec<u8>,
    said: usize,
    answer: Vec<u8>,
}

impl Talk {
    fn new(say: Vec<u8>) -> Self {
        Self { say, said: 0, answer: Vec::new() }
    }

    /// Whether all is written; none: the other side is gone.
    fn write(&mut self, mut stream: &TcpStream) -> Option<bool> {
        while self.said < self.say.len() {
            match stream.write(&self.say[self.said..]) {
                Ok(n) => self.said += n,
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Some(false),
                Err(_) => return None,
            }
        }
        Some(true)
    }

    /// Whether the other side has said all; false where it broke off or said too much.
    fn read(&mut self, mut stream: &TcpStream) -> Option<bool> {
        let mut bytes = [0; 16 * 1024];
        loop {
            match stream.read(&mut bytes) {
                Ok(0) => return Some(true),
                Ok(_) if self.answer.len() > EXCHANGE_MOST => return Some(false),
                Ok(n) => self.answer.extend_from_slice(&bytes[..n]),
                Err(e) if e.kind() == ErrorKind::WouldBlock => return None,
                Err(_) => return Some(false),
            }
        }
    }
}

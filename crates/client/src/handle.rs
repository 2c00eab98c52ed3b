//! A blocking handle, for programs that have no loop: a client on a thread of its own.

use crate::client::{Client, Ticket};
use crate::terms::*;
use std::collections::BTreeMap;
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, TryRecvError, channel};
use std::thread::JoinHandle;
use std::time::Duration;

/// While calls come from other threads, how long the client's loop sleeps at most: the most that a call waits to be sent.
const LOOK: Duration = Duration::from_millis(1);
/// And while there is nothing to do.
const IDLE: Duration = Duration::from_millis(50);

enum Say {
    Ask(Get, Sender<Outcome>, Sender<Ticket>),
    Abandon(Ticket),
    Stop,
}

/// Calls that block until their outcome.
pub struct Handle {
    says: Sender<Say>,
    thread: Option<JoinHandle<()>>,
}

/// A call in hand; dropping it calls it off.
pub struct Pending {
    says: Sender<Say>,
    ticket: Ticket,
    outcome: Receiver<Outcome>,
    told: bool,
}

impl Handle {
    /// # Errors
    /// No thread or no event loop can be had.
    pub fn start(services: Vec<Service>, places: Vec<Place>, seed: u64) -> Result<Self, String> {
        let (says, said) = channel();
        let (ready, is_ready) = channel();
        let thread = std::thread::Builder::new().name("client".into()).spawn(move || {
            // The client stays on this thread: its connections can't leave it.
            match Client::new(services, places, seed) {
                Ok(client) => {
                    let _ = ready.send(Ok(()));
                    run(client, &said);
                }
                Err(fault) => drop(ready.send(Err(fault))),
            }
        });
        let thread = thread.map_err(|e| format!("no thread: {e}"))?;
        is_ready.recv().map_err(|_| "the client's thread ended".to_owned())??;
        Ok(Self { says, thread: Some(thread) })
    }

    /// Asks, and waits for the outcome: no longer than the budget and a little.
    pub fn get(&self, get: Get) -> Outcome {
        self.ask(get).wait()
    }

    /// Asks, to wait later.
    pub fn ask(&self, get: Get) -> Pending {
        let ((tell, outcome), (name, named)) = (channel(), channel());
        let _ = self.says.send(Say::Ask(get, tell, name));
        let ticket = named.recv().unwrap_or_default();
        Pending { says: self.says.clone(), ticket, outcome, told: false }
    }
}

impl Drop for Handle {
    fn drop(&mut self) {
        let _ = self.says.send(Say::Stop);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

impl Pending {
    pub fn wait(mut self) -> Outcome {
        self.told = true;
        // A client that is gone can't say whether it ran.
        self.outcome.recv().unwrap_or(Outcome::MayHaveRun)
    }
}

impl Drop for Pending {
    fn drop(&mut self) {
        if !self.told {
            let _ = self.says.send(Say::Abandon(self.ticket));
        }
    }
}

fn run(mut client: Client, said: &Receiver<Say>) {
    let mut waits = BTreeMap::<Ticket, Sender<Outcome>>::new();
    loop {
        // With nothing in hand it sleeps on what is said; else on its sockets, and looks what is said often.
        let first = if client.in_hand() == 0 {
            match said.recv_timeout(IDLE) {
                Ok(say) => Some(say),
                Err(RecvTimeoutError::Timeout) => None,
                Err(RecvTimeoutError::Disconnected) => return,
            }
        } else {
            match said.try_recv() {
                Ok(say) => Some(say),
                Err(TryRecvError::Empty) => None,
                Err(TryRecvError::Disconnected) => return,
            }
        };
        for say in first.into_iter().chain(std::iter::from_fn(|| said.try_recv().ok())) {
            match say {
                Say::Ask(get, tell, name) => {
                    let ticket = client.ask(get);
                    waits.insert(ticket, tell);
                    let _ = name.send(ticket);
                }
                Say::Abandon(ticket) => {
                    waits.remove(&ticket);
                    client.abandon(ticket);
                }
                Say::Stop => return,
            }
        }
        let most = if client.in_hand() == 0 { Duration::ZERO } else { LOOK };
        if let Err(fault) = client.turn(most) {
            return log::error!("the client ended: {fault}");
        }
        while let Some((ticket, outcome)) = client.next_outcome() {
            if let Some(tell) = waits.remove(&ticket) {
                let _ = tell.send(outcome);
            }
        }
    }
}

//! A blocking handle for programs without an event loop. It runs a client on a thread of its own.

use crate::client::{Client, Ticket};
use crate::terms::*;
use std::collections::BTreeMap;
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, TryRecvError, channel};
use std::thread::JoinHandle;
use std::time::Duration;

/// Longest wait of the client's event loop while calls are in flight. A command from another thread waits this long at most.
const COMMAND_POLL_INTERVAL: Duration = Duration::from_millis(1);
/// Longest wait for a command while no calls are in flight.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(50);

enum Command {
    Ask { get: Get, outcome_sender: Sender<Outcome>, ticket_sender: Sender<Ticket> },
    Abandon(Ticket),
    Stop,
}

/// Makes calls that block until their outcome.
pub struct Handle {
    commands: Sender<Command>,
    thread: Option<JoinHandle<()>>,
}

/// A call in flight. Dropping it abandons the call.
pub struct PendingCall {
    commands: Sender<Command>,
    ticket: Ticket,
    outcome: Receiver<Outcome>,
    is_waited_for: bool,
}

impl Handle {
    /// Starts a client on a new thread.
    ///
    /// # Errors
    /// The thread or its event loop can't be created.
    pub fn start(services: Vec<Service>, dispatchers: Vec<Dispatcher>, seed: u64) -> Result<Self, String> {
        let (commands, command_receiver) = channel();
        let (ready, is_ready) = channel();
        let thread = std::thread::Builder::new().name("client".into()).spawn(move || {
            // The client is created on this thread because its connections can't move to another one.
            match Client::new(services, dispatchers, seed) {
                Ok(client) => {
                    let _ = ready.send(Ok(()));
                    run(client, &command_receiver);
                }
                Err(error) => drop(ready.send(Err(error))),
            }
        });
        let thread = thread.map_err(|e| format!("cannot start the client thread: {e}"))?;
        is_ready.recv().map_err(|_| "the client thread ended before it was ready".to_owned())??;
        Ok(Self { commands, thread: Some(thread) })
    }

    /// Makes a call and waits for its outcome, for little longer than its budget at most.
    pub fn get(&self, get: Get) -> Outcome {
        self.ask(get).wait()
    }

    /// Starts a call without waiting for its outcome.
    pub fn ask(&self, get: Get) -> PendingCall {
        let ((outcome_sender, outcome), (ticket_sender, ticket_receiver)) = (channel(), channel());
        let _ = self.commands.send(Command::Ask { get, outcome_sender, ticket_sender });
        let ticket = ticket_receiver.recv().unwrap_or_default();
        PendingCall { commands: self.commands.clone(), ticket, outcome, is_waited_for: false }
    }
}

impl Drop for Handle {
    fn drop(&mut self) {
        let _ = self.commands.send(Command::Stop);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

impl PendingCall {
    /// Waits for the outcome.
    pub fn wait(mut self) -> Outcome {
        self.is_waited_for = true;
        // After the end of the client thread it is unknown whether the GET ran.
        self.outcome.recv().unwrap_or(Outcome::MayHaveRun)
    }
}

impl Drop for PendingCall {
    fn drop(&mut self) {
        if !self.is_waited_for {
            let _ = self.commands.send(Command::Abandon(self.ticket));
        }
    }
}

fn run(mut client: Client, commands: &Receiver<Command>) {
    let mut outcome_senders = BTreeMap::<Ticket, Sender<Outcome>>::new();
    loop {
        // Without calls in flight the thread waits for commands. Otherwise it waits for the sockets and polls for commands.
        let first = if client.in_flight() == 0 {
            match commands.recv_timeout(IDLE_POLL_INTERVAL) {
                Ok(command) => Some(command),
                Err(RecvTimeoutError::Timeout) => None,
                Err(RecvTimeoutError::Disconnected) => return,
            }
        } else {
            match commands.try_recv() {
                Ok(command) => Some(command),
                Err(TryRecvError::Empty) => None,
                Err(TryRecvError::Disconnected) => return,
            }
        };
        for command in first.into_iter().chain(std::iter::from_fn(|| commands.try_recv().ok())) {
            match command {
                Command::Ask { get, outcome_sender, ticket_sender } => {
                    let ticket = client.ask(get);
                    outcome_senders.insert(ticket, outcome_sender);
                    let _ = ticket_sender.send(ticket);
                }
                Command::Abandon(ticket) => {
                    outcome_senders.remove(&ticket);
                    client.abandon(ticket);
                }
                Command::Stop => return,
            }
        }
        let max_wait = if client.in_flight() == 0 { Duration::ZERO } else { COMMAND_POLL_INTERVAL };
        if let Err(error) = client.turn(max_wait) {
            return log::error!(
                "client thread ended: {error}; calls in flight and later ones end as \"may have run\""
            );
        }
        while let Some((ticket, outcome)) = client.next_outcome() {
            if let Some(outcome_sender) = outcome_senders.remove(&ticket) {
                let _ = outcome_sender.send(outcome);
            }
        }
    }
}

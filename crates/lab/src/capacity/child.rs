//! A child process that is spoken to in lines. It ends when its standard input closes, and is killed when this is dropped.

use super::errors::CapacityError;
use crate::stand::process::PARENT;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::io::{BufRead, BufReader, Write};
use std::process::{ChildStdin, ChildStdout, Command, Stdio};

pub struct Child {
    program: &'static str,
    process: std::process::Child,
    requests: Option<ChildStdin>,
    replies: BufReader<ChildStdout>,
}

impl Child {
    /// Starts a hidden subcommand of this program.
    ///
    /// # Errors
    /// A process that the system does not start.
    pub fn start(program: &'static str) -> Result<Self, CapacityError> {
        let fault = |why: std::io::Error| CapacityError::Start { program, why: why.to_string() };
        let mut command = Command::new(std::env::current_exe().map_err(fault)?);
        command
            .arg(program)
            .env(PARENT, std::process::id().to_string())
            .stdin(Stdio::piped())
            .stdout(Stdio::piped());
        let mut process = command.spawn().map_err(fault)?;
        let requests = process.stdin.take();
        let replies = process.stdout.take().ok_or_else(|| fault(std::io::ErrorKind::BrokenPipe.into()))?;
        Ok(Self { program, process, requests, replies: BufReader::new(replies) })
    }

    pub fn id(&self) -> u32 {
        self.process.id()
    }

    fn broke(&self, why: impl ToString) -> CapacityError {
        CapacityError::Child { program: self.program, why: why.to_string() }
    }

    /// Sends a request without waiting for its reply.
    ///
    /// # Errors
    /// A child that reads no more.
    pub fn send(&mut self, request: &impl Serialize) -> Result<(), CapacityError> {
        let mut line = serde_json::to_vec(request).map_err(|e| self.broke(e))?;
        line.push(b'\n');
        let requests = self.requests.as_mut().ok_or(std::io::ErrorKind::BrokenPipe.into());
        let written = requests.and_then(|requests: &mut ChildStdin| {
            requests.write_all(&line)?;
            requests.flush()
        });
        written.map_err(|e: std::io::Error| self.broke(e))
    }

    /// Waits for the reply to the oldest request that has none.
    ///
    /// # Errors
    /// A child that ended, a reply of another kind.
    pub fn receive<T: DeserializeOwned>(&mut self) -> Result<T, CapacityError> {
        let mut line = String::new();
        let read = self.replies.read_line(&mut line).map_err(|e| self.broke(e))?;
        if read == 0 {
            return Err(self.broke("it closed its output"));
        }
        serde_json::from_str(&line).map_err(|e| self.broke(e))
    }

    /// Sends a request and waits for its reply.
    ///
    /// # Errors
    /// As `send` and `receive`.
    pub fn ask<T: DeserializeOwned>(&mut self, request: &impl Serialize) -> Result<T, CapacityError> {
        self.send(request)?;
        self.receive()
    }

    /// Whether it ended though nobody asked it to.
    pub fn has_died(&mut self) -> bool {
        matches!(self.process.try_wait(), Ok(Some(_)))
    }
}

impl Drop for Child {
    fn drop(&mut self) {
        self.requests = None;
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

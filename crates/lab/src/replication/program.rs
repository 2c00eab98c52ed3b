//! A replica or a dispatcher as a process of its own, which ends with the value that stands for it.

use super::defences::{self, Without};
use super::errors::{ProofError, io};
use super::replica_program::Published;
use crate::stand::process::{self, FILES, PARENT};
use myrtlegauge_replication::Record;
use rustix::process::Signal;
use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::Ordering;

/// How a process is started.
#[derive(Clone, Copy, Debug)]
pub struct Start {
    /// The hidden subcommand.
    pub subcommand: &'static str,
    /// The defence that is off in it.
    pub without: Option<Without>,
    /// Whether its log goes to this process's standard error.
    pub verbose: bool,
}

/// A process, or the place of one that is not running.
pub struct Program {
    /// Its name in its operator file.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
    start: Start,
    file: PathBuf,
    child: Option<Child>,
}

impl Program {
    /// Writes the operator file; nothing runs yet.
    pub fn new(name: String, address: SocketAddr, text: &str, start: Start) -> Result<Self, ProofError> {
        let number = FILES.fetch_add(1, Ordering::Relaxed);
        let file = std::env::temp_dir().join(format!("myrtlegauge-lab-{}-{number}.sexp", std::process::id()));
        std::fs::write(&file, text).map_err(io("an operator file can't be written"))?;
        Ok(Self { name, address, start, file, child: None })
    }

    /// Starts it, or starts it again.
    pub fn begin(&mut self) -> Result<(), ProofError> {
        self.kill();
        let program = std::env::current_exe().map_err(io("the path of this program"))?;
        let mut command = Command::new(program);
        command.arg(self.start.subcommand).arg(&self.file);
        command.env(PARENT, std::process::id().to_string()).env_remove("RUST_LOG");
        if let Some(without) = self.start.without {
            command.env(defences::VARIABLE, without.word());
        }
        let errors = if self.start.verbose { Stdio::inherit() } else { Stdio::null() };
        command.stdin(Stdio::piped()).stdout(Stdio::piped()).stderr(errors);
        self.child = Some(command.spawn().map_err(io("a process does not start"))?);
        Ok(())
    }

    /// Sends it a signal.
    pub fn signal(&self, signal: Signal) {
        process::signal_child(self.child.as_ref(), signal);
    }

    /// Ends it at once, without a word.
    pub fn kill(&mut self) {
        process::kill_child(&mut self.child);
    }

    /// Has a replica publish a record; what became of it.
    pub fn publish(&mut self, record: &Record) -> Result<Published, ProofError> {
        let gone = || io("the publishing replica")(std::io::ErrorKind::NotConnected.into());
        let child = self.child.as_mut().ok_or_else(gone)?;
        let (Some(input), Some(output)) = (&mut child.stdin, &mut child.stdout) else { return Err(gone()) };
        let record = serde_json::to_string(record)?;
        writeln!(input, "{record}").map_err(io("the publishing replica"))?;
        let mut line = String::new();
        BufReader::new(output).read_line(&mut line).map_err(io("the publishing replica"))?;
        Ok(serde_json::from_str(&line)?)
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        self.kill();
        let _ = std::fs::remove_file(&self.file);
    }
}

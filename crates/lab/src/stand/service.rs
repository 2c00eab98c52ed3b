//! A program that an operator file tells (the control service, a replica) as a process of its own, started and killed by the
//! proof run.

use super::process::{FILES, PARENT, Used, own_address, used};
use std::io::Write;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// The hidden subcommand of the control service.
const CONTROL: &str = "serve";

pub struct Service {
    /// The hidden subcommand that runs it.
    program: &'static str,
    address: SocketAddr,
    file: PathBuf,
    child: Option<Child>,
    verbose: bool,
}

impl Service {
    /// The control service; `text` makes its operator file of the address that it listens at.
    pub fn new(verbose: bool, text: impl Fn(&str) -> String) -> Result<Self, String> {
        let address = own_address();
        Self::of_program(CONTROL, address, &text(&address.to_string()), verbose)
    }

    /// The program of a hidden subcommand that takes an operator file, whose text this is.
    pub fn of_program(
        program: &'static str,
        address: SocketAddr,
        text: &str,
        verbose: bool,
    ) -> Result<Self, String> {
        let number = FILES.fetch_add(1, Ordering::Relaxed);
        let file = std::env::temp_dir().join(format!("myrtlegauge-lab-{}-{number}.sexp", std::process::id()));
        let written = std::fs::File::create(&file).and_then(|mut out| out.write_all(text.as_bytes()));
        written.map_err(|e| format!("{}: {e}", file.display()))?;
        Ok(Self { program, address, file, child: None, verbose })
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    pub fn start(&mut self) -> Result<(), String> {
        let own = std::env::current_exe().map_err(|e| e.to_string())?;
        let errors = if self.verbose { Stdio::inherit() } else { Stdio::null() };
        let mut command = Command::new(own);
        command.arg(self.program).arg(&self.file).env(PARENT, std::process::id().to_string());
        let child = command.stderr(errors).spawn();
        self.child = Some(child.map_err(|e| format!("the program of {} does not start: {e}", self.program))?);
        Ok(())
    }

    pub async fn wait_until_it_answers(&self) -> Result<(), String> {
        let until = Instant::now() + Duration::from_secs(10);
        while tokio::net::TcpStream::connect(self.address).await.is_err() {
            if Instant::now() > until {
                return Err(format!("the program of {} does not listen", self.program));
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        Ok(())
    }

    /// It ended by itself.
    pub fn has_crashed(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(Some(_))))
    }

    /// Ends it at once, without a word.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// The number of its process; none while it does not run.
    pub fn id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    pub fn used(&self) -> Used {
        used(self.child.as_ref().map_or(0, Child::id))
    }
}

impl Drop for Service {
    fn drop(&mut self) {
        self.kill();
        let _ = std::fs::remove_file(&self.file);
    }
}

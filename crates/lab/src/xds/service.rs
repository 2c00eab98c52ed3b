//! The control service as a process of its own, started and killed by the proof run.

use crate::stand::process::{Used, operator_file, used};
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

pub struct Service {
    address: SocketAddr,
    file: PathBuf,
    child: Option<Child>,
    verbose: bool,
}

impl Service {
    pub fn new(log: SocketAddr, verbose: bool, drain_grace_ms: u64) -> Result<Self, String> {
        let free = TcpListener::bind("127.0.0.1:0").and_then(|listener| listener.local_addr());
        let address = free.map_err(|e| e.to_string())?;
        let file = std::env::temp_dir().join(format!("myrtlegauge-lab-{}.sexp", std::process::id()));
        let text = operator_file(&address.to_string(), &log.to_string(), verbose, drain_grace_ms);
        let written = std::fs::File::create(&file).and_then(|mut out| out.write_all(text.as_bytes()));
        written.map_err(|e| format!("{}: {e}", file.display()))?;
        Ok(Self { address, file, child: None, verbose })
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    pub fn start(&mut self) -> Result<(), String> {
        let program = std::env::current_exe().map_err(|e| e.to_string())?;
        let errors = if self.verbose { Stdio::inherit() } else { Stdio::null() };
        let child = Command::new(program).arg("serve").arg(&self.file).stderr(errors).spawn();
        self.child = Some(child.map_err(|e| format!("the control service does not start: {e}"))?);
        Ok(())
    }

    pub async fn wait_until_it_answers(&self) -> Result<(), String> {
        let until = Instant::now() + Duration::from_secs(10);
        while tokio::net::TcpStream::connect(self.address).await.is_err() {
            if Instant::now() > until {
                return Err("the control service does not listen".into());
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        Ok(())
    }

    /// Ends it at once, without a word.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
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

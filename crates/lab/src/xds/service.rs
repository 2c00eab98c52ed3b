//! The control service as a process of its own, started and killed by the proof run.

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

/// What the system says of the process.
pub struct Used {
    pub cpu_s: f64,
    pub memory_kb: u64,
}

/// What the control service of a proof run is told.
pub fn operator_file(listen: &str, log: &str, verbose: bool, drain_grace_ms: u64) -> String {
    format!(
        r#"
(log (level {}))
(control (name "lab") (listen "{listen}") (change-log "{log}") (drain-grace {drain_grace_ms}ms) (purge-grace 1s) (clock-error 5ms)
  (reports-every 250ms) (most-proxies 2000))
(footprint (zone "hub") (zone "edge") (here "edge") (transfer-pace 10MB/s)
  (cache-start (share 22%) (warm-within 3s)) (parent-start (share 8%) (warm-within 3s)) (purged-within 6s))
(delivery-service "assembly-video" (objective 500ms) (timeout 5s))
(delivery-service "product-photo" (objective 400ms) (timeout 5s) (fresh 5s) (grace 30s))
(delivery-service "delivery-confirm" (objective 600ms) (timeout 5s) (effect non-idempotent) (passed-on yes))
(delivery-service "order-note" (objective 600ms) (timeout 5s) (effect tokened) (token-group zone) (token-window 1500ms)
  (passed-on yes))
"#,
        if verbose { "info" } else { "error" }
    )
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

/// What the system says of a process; nothing of one that is not there.
pub fn used(id: u32) -> Used {
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
    let ticks = stat.rsplit(')').next().unwrap_or_default().split_whitespace().skip(11).take(2);
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let memory = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    Used {
        cpu_s: ticks.filter_map(|n| n.parse::<f64>().ok()).sum::<f64>() / 100.0,
        memory_kb: memory.and_then(|m| m.split_whitespace().next()?.parse().ok()).unwrap_or(0),
    }
}

impl Drop for Service {
    fn drop(&mut self) {
        self.kill();
        let _ = std::fs::remove_file(&self.file);
    }
}

//! The dispatcher on the same stand-ins, for comparison: the same hosts and change log, GETs over FastCGI instead of by
//! followers.

use super::hosts::Host;
use super::ledger::Ledger;
use super::service::{self, Used};
use serde_json::json;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// How long a client waits.
const DEADLINE: Duration = Duration::from_millis(1500);
/// FastCGI's types of records.
const BEGIN: u8 = 1;
const END: u8 = 3;
const PARAMS: u8 = 4;
const STDIN: u8 = 5;
const STDOUT: u8 = 6;

/// The dispatcher as a process of its own.
pub struct Dispatcher {
    pub address: SocketAddr,
    file: PathBuf,
    child: Child,
    verbose: bool,
}

fn spawn(file: &std::path::Path, verbose: bool) -> Result<Child, String> {
    let errors = if verbose { Stdio::inherit() } else { Stdio::null() };
    // An earlier version of the program can stand in its place, for a comparison.
    let mut program = match std::env::var_os("LAB_DISPATCHER") {
        Some(earlier) => Command::new(earlier),
        None => {
            let mut own = Command::new(std::env::current_exe().map_err(|e| e.to_string())?);
            own.arg("dispatch");
            own
        }
    };
    let child = program.env("ROUTER_CONFIG", file).stderr(errors).spawn();
    child.map_err(|e| format!("the dispatcher does not start: {e}"))
}

impl Dispatcher {
    pub fn used(&self) -> Used {
        service::used(self.child.id())
    }

    /// Ends it, asked to or at once, and starts it again after a pause.
    pub async fn restart(&mut self, asked: bool, pause: Duration) -> Result<(), String> {
        if asked {
            let id = self.child.id().to_string();
            let _ = Command::new("kill").args(["-TERM", &id]).status();
            let until = std::time::Instant::now() + Duration::from_secs(3);
            while matches!(self.child.try_wait(), Ok(None)) && std::time::Instant::now() < until {
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        }
        let _ = self.child.kill();
        let _ = self.child.wait();
        tokio::time::sleep(pause).await;
        self.child = spawn(&self.file, self.verbose)?;
        Ok(())
    }

    pub fn start(text: &str, log: SocketAddr, verbose: bool) -> Result<Self, String> {
        let told = myrtlegauge_operator::read(text).map_err(|faults| format!("{faults:?}"))?;
        let free = TcpListener::bind("127.0.0.1:0").and_then(|listener| listener.local_addr());
        let address = free.map_err(|e| e.to_string())?;
        let mut settings = serde_json::Value::Object(told.facts);
        for (name, value) in
            [("streams_per_conn", 100.0), ("connect_timeout_ms", 400.0), ("conn_idle_ms", 15_000.0)]
        {
            settings["limits"][name] = json!(value);
        }
        let config = json!({"name": "lab", "listen": address.to_string(), "changelog": log.to_string(), "seed": "7",
            "limits": {"memory_mb": 192, "sockets": 1024}, "known": {"seq": 0, "results": []}, "settings": settings});
        let file = std::env::temp_dir().join(format!(
            "myrtlegauge-lab-{}-{}.json",
            std::process::id(),
            address.port()
        ));
        std::fs::write(&file, config.to_string()).map_err(|e| format!("{}: {e}", file.display()))?;
        let child = spawn(&file, verbose)?;
        Ok(Self { address, file, child, verbose })
    }
}

impl Drop for Dispatcher {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.file);
    }
}

/// A client of the dispatcher, with connections that it keeps.
pub struct Client {
    to: SocketAddr,
    ledger: Arc<Ledger>,
    pool: Mutex<Vec<TcpStream>>,
}

fn record(out: &mut Vec<u8>, kind: u8, content: &[u8]) {
    out.extend_from_slice(&[1, kind, 0, 1]);
    out.extend_from_slice(&(content.len() as u16).to_be_bytes());
    out.extend_from_slice(&[0, 0]);
    out.extend_from_slice(content);
}

impl Client {
    pub fn new(to: SocketAddr, ledger: Arc<Ledger>) -> Self {
        Self { to, ledger, pool: Mutex::default() }
    }

    pub async fn get(self: Arc<Self>, service: &'static str, object: u64) {
        self.ledger.took();
        let how = tokio::time::timeout(DEADLINE, self.asked(service, object)).await;
        let how = how.unwrap_or(Ok("errored, out of time")).unwrap_or("errored, may have run");
        self.ledger.answered(how);
    }

    async fn asked(&self, service: &'static str, object: u64) -> std::io::Result<&'static str> {
        let kept = self.pool.lock().expect("no holder panics").pop();
        let mut stream = match kept {
            Some(kept) => kept,
            None => {
                let stream = TcpStream::connect(self.to).await?;
                stream.set_nodelay(true)?;
                stream
            }
        };
        let (id, key) = (format!("{:016x}", fastrand::u64(..)), format!("{object:016x}"));
        let (path, group) = (format!("/rpc/{service}"), (object % 64).to_string());
        let mut params = Vec::new();
        for (name, value) in [
            ("SCRIPT_NAME", &*path),
            ("HTTP_REQUEST_ID", &id),
            ("HTTP_BUDGET_MS", "1500"),
            ("HTTP_RESOURCE_KEY", &key),
            ("HTTP_X_CHUNK", "0"),
            ("HTTP_X_TAG", &group),
        ] {
            params.extend_from_slice(&[name.len() as u8, value.len() as u8]);
            params.extend_from_slice(name.as_bytes());
            params.extend_from_slice(value.as_bytes());
        }
        let mut out = Vec::new();
        record(&mut out, BEGIN, &[0, 1, 1, 0, 0, 0, 0, 0]);
        record(&mut out, PARAMS, &params);
        record(&mut out, PARAMS, &[]);
        record(&mut out, STDIN, &[]);
        stream.write_all(&out).await?;
        let mut answer = Vec::new();
        loop {
            let mut head = [0; 8];
            stream.read_exact(&mut head).await?;
            let (long, padding) = (u16::from_be_bytes([head[4], head[5]]), head[6]);
            let mut content = vec![0; usize::from(long) + usize::from(padding)];
            stream.read_exact(&mut content).await?;
            match head[1] {
                STDOUT => answer.extend_from_slice(&content[..usize::from(long)]),
                END => break,
                _ => {}
            }
        }
        let mut pool = self.pool.lock().expect("no holder panics");
        if pool.len() < 4 {
            pool.push(stream);
        }
        let head = String::from_utf8_lossy(&answer[..answer.len().min(64)]).into_owned();
        Ok(if head.starts_with("Status: 200") {
            "returned"
        } else if head.starts_with("Status: 429") || head.starts_with("Status: 503") {
            "shed"
        } else {
            "errored, may have run"
        })
    }
}

/// Waits until the dispatcher has the list: a GET is returned.
pub async fn ready(to: SocketAddr, hosts: &[Arc<Host>]) -> Result<(), String> {
    let probe = Client::new(to, Arc::new(Ledger::new()));
    for _ in 0..400 {
        if matches!(probe.asked("product-photo", hosts.len() as u64).await, Ok("returned")) {
            return Ok(());
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    Err("the dispatcher returns nothing".into())
}

//! The dispatcher as a process of its own: started, asked to end, killed, frozen and woken.

use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use std::ffi::OsString;
use std::fs::File;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

/// Runs of this process so far: files of several runs stand apart.
pub static FILES: AtomicU32 = AtomicU32::new(0);

/// Names the process that started this one, which then ends with it.
pub const PARENT: &str = "LAB_PARENT";

/// Has this process killed when the one that started it is gone, where that one is named in the environment. A run that is
/// killed itself leaves no processes behind by it.
pub fn end_with_parent() {
    let Some(parent) = std::env::var(PARENT).ok().and_then(|id| id.parse::<i32>().ok()) else { return };
    let asked = rustix::process::set_parent_process_death_signal(Some(Signal::KILL));
    let here = rustix::process::getppid().is_some_and(|id| id.as_raw_nonzero().get() == parent);
    if asked.is_err() || !here {
        std::process::exit(1);
    }
}

pub struct Dispatcher {
    pub address: SocketAddr,
    file: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    verbose: bool,
    /// Times that it was started.
    lives: u32,
    seed: u64,
    config: Config,
    /// What each of its lives has in its environment beside what this process has.
    environment: Vec<(&'static str, OsString)>,
}

/// How a dispatcher is told what it is: by the platform's file, or by an operator's.
enum Config {
    Platform(Value),
    Operator(String),
}

/// What a dispatcher is told, settings apart.
pub struct Told {
    pub name: String,
    pub changelog: SocketAddr,
    pub known: Value,
    pub seed: u64,
}

fn spawn(
    file: &Path,
    log: &Path,
    verbose: bool,
    operator: bool,
    environment: &[(&'static str, OsString)],
) -> Result<Child, String> {
    let appended = || File::options().create(true).append(true).open(log);
    let errors = if verbose {
        Stdio::inherit()
    } else {
        appended().map_err(|e| format!("{}: {e}", log.display()))?.into()
    };
    // An earlier version of the program can stand in its place, for a comparison.
    let mut program = match std::env::var_os("LAB_DISPATCHER").filter(|_| !operator) {
        Some(earlier) => Command::new(earlier),
        None => {
            let mut own = Command::new(std::env::current_exe().map_err(|e| e.to_string())?);
            own.arg("dispatch").args(operator.then_some(file));
            own
        }
    };
    program.env(PARENT, std::process::id().to_string());
    program.envs(environment.iter().map(|(name, value)| (name, value)));
    let child = program.env("ROUTER_CONFIG", file).env("RUST_LOG", "info").stderr(errors).spawn();
    child.map_err(|e| format!("the dispatcher does not start: {e}"))
}

/// What the programs of a proof run are told.
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

/// The settings of an operator file, with connections as the platform has them.
pub fn settings(text: &str) -> Result<Value, String> {
    let told = myrtlegauge_operator::read(text).map_err(|faults| format!("{faults:?}"))?;
    let mut settings = Value::Object(told.decision_settings);
    for (name, value) in
        [("streams_per_conn", 100.0), ("connect_timeout_ms", 400.0), ("conn_idle_ms", 15_000.0)]
    {
        settings["limits"][name] = json!(value);
    }
    Ok(settings)
}

/// An address of this run's own on loopback, with a port that nothing else has: connections go out from another address
/// and other runs listen at others, so that it stays free while a program is down.
pub fn own_address() -> SocketAddr {
    static PORTS: AtomicU32 = AtomicU32::new(10_000);
    let id = std::process::id();
    let address =
        Ipv4Addr::new(127, 1 + (id >> 14 & 0x3f) as u8, (id >> 7 & 0x7f) as u8, 1 + (id & 0x7f) as u8);
    (address, PORTS.fetch_add(1, Ordering::Relaxed) as u16).into()
}

/// The same for one of several members, each on a host of its own.
pub fn own_address_of(member: usize) -> SocketAddr {
    let mut address = own_address();
    if let std::net::IpAddr::V4(ip) = address.ip() {
        let [_, _, c, d] = ip.octets();
        address.set_ip(Ipv4Addr::new(127, 100 + member as u8, c, d).into());
    }
    address
}

impl Dispatcher {
    pub fn start(text: &str, log: SocketAddr, verbose: bool) -> Result<Self, String> {
        let known = json!({"seq": 0, "results": []});
        let told = Told { name: "lab".to_owned(), changelog: log, known, seed: 7 };
        Self::start_as(&settings(text)?, told, verbose)
    }

    pub fn start_as(settings: &Value, told: Told, verbose: bool) -> Result<Self, String> {
        Self::start_in(settings, told, verbose, Vec::new())
    }

    /// One that is told by the platform's file, with more in its environment.
    pub fn start_in(
        settings: &Value,
        told: Told,
        verbose: bool,
        environment: Vec<(&'static str, OsString)>,
    ) -> Result<Self, String> {
        let address = own_address();
        let config = json!({"name": told.name, "listen": address.to_string(), "seed": format!("{:x}", told.seed),
            "changelog": told.changelog.to_string(), "limits": {"memory_mb": 192, "sockets": 1024},
            "known": told.known, "settings": settings});
        Self::start_by(address, Config::Platform(config), told.seed, verbose, environment)
    }

    /// One that an operator file tells, made of the address that it listens at.
    pub fn start_following(text: impl Fn(SocketAddr) -> String, verbose: bool) -> Result<Self, String> {
        let address = own_address();
        Self::start_by(address, Config::Operator(text(address)), 0, verbose, Vec::new())
    }

    fn start_by(
        address: SocketAddr,
        config: Config,
        seed: u64,
        verbose: bool,
        environment: Vec<(&'static str, OsString)>,
    ) -> Result<Self, String> {
        let number = FILES.fetch_add(1, Ordering::Relaxed);
        let stem = format!("myrtlegauge-lab-{}-{number}", std::process::id());
        let file = std::env::temp_dir().join(format!("{stem}.json"));
        let log = std::env::temp_dir().join(format!("{stem}.log"));
        let mut started =
            Self { address, file, log, child: None, verbose, lives: 0, seed, config, environment };
        started.begin(None)?;
        Ok(started)
    }

    /// Starts a new life, which is told the events known by now where that is asked for, and a seed of its own.
    pub fn begin(&mut self, known: Option<Value>) -> Result<(), String> {
        self.kill();
        self.lives += 1;
        if let Config::Platform(config) = &mut self.config {
            if let Some(known) = known {
                config["known"] = known;
            }
            config["seed"] = json!(format!("{:x}", self.seed.wrapping_add(u64::from(self.lives) << 32)));
        }
        self.write()?;
        let operator = matches!(self.config, Config::Operator(_));
        self.child = Some(spawn(&self.file, &self.log, self.verbose, operator, &self.environment)?);
        Ok(())
    }

    fn write(&self) -> Result<(), String> {
        let text = match &self.config {
            Config::Platform(config) => config.to_string(),
            Config::Operator(text) => text.clone(),
        };
        std::fs::write(&self.file, text).map_err(|e| format!("{}: {e}", self.file.display()))
    }

    /// Tells the running life of another change log, as the platform does: the file anew, then SIGHUP.
    pub fn follow(&mut self, changelog: SocketAddr) -> Result<(), String> {
        if let Config::Platform(config) = &mut self.config {
            config["changelog"] = json!(changelog.to_string());
        }
        self.write()?;
        self.signal(Signal::HUP);
        Ok(())
    }

    pub fn signal(&self, signal: Signal) {
        signal_child(self.child.as_ref(), signal);
    }

    /// Ends it at once, without a word.
    pub fn kill(&mut self) {
        kill_child(&mut self.child);
    }

    /// It ended by itself.
    pub fn has_crashed(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(Some(_))))
    }

    /// The number of its process; none while it does not run.
    pub fn id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    pub fn used(&self) -> Used {
        used(self.child.as_ref().map_or(0, Child::id))
    }

    /// Ends it, asked to or at once, and starts it again after a pause.
    pub async fn restart(&mut self, asked: bool, pause: Duration) -> Result<(), String> {
        if asked {
            self.signal(Signal::TERM);
            let until = std::time::Instant::now() + Duration::from_secs(3);
            while !self.has_crashed() && std::time::Instant::now() < until {
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        }
        self.kill();
        tokio::time::sleep(pause).await;
        self.begin(None)
    }

    /// What all its lives logged.
    pub fn logged(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }
}

/// Sends a signal to a child process; nothing where there is none.
pub fn signal_child(child: Option<&Child>, signal: Signal) {
    signal_id(child.map(Child::id), signal);
}

/// Sends a signal to the process of this number; nothing where there is none.
pub fn signal_id(id: Option<u32>, signal: Signal) {
    if let Some(id) = id.and_then(|id| Pid::from_raw(id as i32)) {
        let _ = kill_process(id, signal);
    }
}

/// Kills a child process and waits for its end; nothing where there is none.
pub fn kill_child(child: &mut Option<Child>) {
    if let Some(mut child) = child.take() {
        let _ = child.kill();
        let _ = child.wait();
    }
}

/// What the system says of the process.
pub struct Used {
    pub cpu_s: f64,
    pub memory_kb: u64,
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

impl Drop for Dispatcher {
    fn drop(&mut self) {
        self.kill();
        let _ = std::fs::remove_file(&self.file);
        let _ = std::fs::remove_file(&self.log);
    }
}

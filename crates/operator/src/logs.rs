//! Logging to standard error: one line per record, as text or as a JSON object, with the key-values of the record.

use env_logger::fmt::Formatter;
use log::kv::{Error, Key, Value, VisitSource};
use log::{LevelFilter, Record};
use serde_json::{Map, Value as Json};
use std::io::{self, Write};
use std::time::{SystemTime, UNIX_EPOCH};

/// The format of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogFormat {
    #[default]
    Text,
    Json,
}

impl LogFormat {
    /// The format with this name in an operator file.
    pub fn from_name(name: &str) -> Option<Self> {
        match name {
            "text" => Some(Self::Text),
            "json" => Some(Self::Json),
            _ => None,
        }
    }
}

/// Sets up logging. `RUST_LOG` takes precedence over `level`.
pub fn start(format: LogFormat, level: LevelFilter) {
    let filters = std::env::var("RUST_LOG").unwrap_or_else(|_| level.to_string());
    let mut builder = env_logger::Builder::new();
    builder.parse_filters(&filters);
    match format {
        LogFormat::Text => builder.format(write_text),
        LogFormat::Json => builder.format(write_json),
    };
    // A second call in one process, as in tests, has no effect.
    let _ = builder.try_init();
}

struct Pairs(Map<String, Json>);

impl<'kvs> VisitSource<'kvs> for Pairs {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let json = value.to_u64().map(Json::from).or_else(|| value.to_i64().map(Json::from));
        let json =
            json.or_else(|| value.to_f64().map(Json::from)).or_else(|| value.to_bool().map(Json::from));
        self.0.insert(key.to_string(), json.unwrap_or_else(|| value.to_string().into()));
        Ok(())
    }
}

fn pairs(record: &Record<'_>) -> Map<String, Json> {
    let mut pairs = Pairs(Map::new());
    let _ = record.key_values().visit(&mut pairs);
    pairs.0
}

fn write_text(out: &mut Formatter, record: &Record<'_>) -> io::Result<()> {
    write!(out, "{} {}", record.level(), record.args())?;
    for (key, value) in pairs(record) {
        write!(out, " {key}={value}")?;
    }
    writeln!(out)
}

fn write_json(out: &mut Formatter, record: &Record<'_>) -> io::Result<()> {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let mut line = pairs(record);
    line.insert("unix_ms".into(), (since_epoch.as_millis() as u64).into());
    line.insert("level".into(), record.level().as_str().into());
    line.insert("target".into(), record.target().into());
    line.insert("message".into(), record.args().to_string().into());
    writeln!(out, "{}", Json::Object(line))
}

/// Sets up logging for the dispatcher that the platform starts: in the default format of `env_logger`, configured by
/// `RUST_LOG` alone.
pub fn start_plain() {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
}

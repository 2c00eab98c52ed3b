//! What is logged: one line a record to standard error, as text or as a JSON object, with the record's key-values.

use env_logger::fmt::Formatter;
use log::kv::{Error, Key, Value, VisitSource};
use log::{LevelFilter, Record};
use serde_json::{Map, Value as Json};
use std::io::{self, Write};
use std::time::{SystemTime, UNIX_EPOCH};

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Form {
    #[default]
    Text,
    Json,
}

impl Form {
    pub fn named(name: &str) -> Option<Self> {
        match name {
            "text" => Some(Self::Text),
            "json" => Some(Self::Json),
            _ => None,
        }
    }
}

/// Sets up logging. `RUST_LOG` goes before `level`.
pub fn start(form: Form, level: LevelFilter) {
    let filters = std::env::var("RUST_LOG").unwrap_or_else(|_| level.to_string());
    let mut builder = env_logger::Builder::new();
    builder.parse_filters(&filters);
    match form {
        Form::Text => builder.format(text),
        Form::Json => builder.format(json),
    };
    // A second start in one process, as in tests, keeps the first.
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

fn text(out: &mut Formatter, record: &Record<'_>) -> io::Result<()> {
    write!(out, "{} {}", record.level(), record.args())?;
    for (key, value) in pairs(record) {
        write!(out, " {key}={value}")?;
    }
    writeln!(out)
}

fn json(out: &mut Formatter, record: &Record<'_>) -> io::Result<()> {
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let mut line = pairs(record);
    line.insert("unix_ms".into(), (unix.as_millis() as u64).into());
    line.insert("level".into(), record.level().as_str().into());
    line.insert("target".into(), record.target().into());
    line.insert("message".into(), record.args().to_string().into());
    writeln!(out, "{}", Json::Object(line))
}

/// Logging as the platform's dispatcher has it.
pub fn start_plain() {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
}

//! A replica as the shipped program runs it, which also publishes the records that come on standard input, one as JSON on
//! a line, and says on standard output what became of each.

use super::defences;
use super::errors::ReplicaProgramError;
use calloop::EventLoop;
use calloop::channel::{Event, Sender, channel};
use myrtlegauge_operator::OperatorFile;
use myrtlegauge_replica::{ReplicaError, Service};
use myrtlegauge_replication::{PublishError, Record, Version};
use serde::{Deserialize, Serialize};
use std::io::BufRead;

/// What became of a record.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Published {
    /// It is in the log, or was already.
    Taken,
    /// Refused as older than the one in force.
    Older {
        /// The version in force.
        known: Version,
    },
    /// Refused for something else.
    Refused(String),
}

impl From<Result<(), PublishError>> for Published {
    fn from(result: Result<(), PublishError>) -> Self {
        match result {
            Ok(()) => Self::Taken,
            Err(PublishError::Older { known, .. }) => Self::Older { known },
            Err(error) => Self::Refused(error.to_string()),
        }
    }
}

/// Runs it until it is killed.
pub fn run(file: &OperatorFile) -> Result<(), ReplicaProgramError> {
    let terms = file.replica.as_ref().ok_or(ReplicaError::NoReplica)?;
    let mut turns = EventLoop::<Service>::try_new()?;
    let mut service = Service::start_with(turns.handle(), terms, defences::replica())?;
    let (records, publications) = channel();
    let published = turns.handle().insert_source(publications, |event, (), service: &mut Service| {
        if let Event::Msg(record) = event {
            publish(service, record);
        }
    });
    published.map_err(|e| e.error)?;
    std::thread::spawn(move || read_records(&records));
    loop {
        turns.dispatch(service.poll_timeout(), &mut service)?;
        service.process_events();
    }
}

fn publish(service: &mut Service, record: Record) {
    let published = Published::from(service.publish(record));
    println!("{}", serde_json::to_string(&published).expect("it is made of texts and numbers"));
}

fn read_records(records: &Sender<Record>) {
    for line in std::io::stdin().lock().lines().map_while(Result::ok) {
        let is_heard = match serde_json::from_str(&line) {
            Ok(record) => records.send(record).is_ok(),
            Err(e) => {
                eprintln!("a record can't be read: {e}");
                true
            }
        };
        if !is_heard {
            return;
        }
    }
}

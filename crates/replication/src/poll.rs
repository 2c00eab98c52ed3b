//! Polls and answers: the long poll of the change log, with additional fields.
//!
//! `GET /changes?since=N&timeout=MS&log=ID&whole=W&role=dispatcher&name=NAME&incarnation=MS&attachment=K` is
//! answered by `{"log":"ID","seq":LAST,"attached":true,"results":[events...]}`.

use crate::errors::{AnswerError, PollError};
use crate::record::{Attachment, Event, Incarnation, LogId, MemberName, ReplicaName, Sequence};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// The maximum length of a name.
pub(crate) const MAX_NAME_BYTES: usize = 255;
/// The maximum length of an invalid value in an error text.
const MAX_ERROR_VALUE_CHARS: usize = 64;

/// The sender of a poll.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Poller {
    /// A reader that is no member. It is answered, and no record waits for its acknowledgement.
    Reader,
    /// A check of whether the replica answers. It is answered immediately, without records.
    Probe,
    /// A dispatcher, under one of its attachments.
    Dispatcher {
        /// The name of the dispatcher.
        name: MemberName,
        /// The process of the dispatcher.
        incarnation: Incarnation,
        /// The attachment of that process.
        attachment: Attachment,
        /// The dispatcher shuts down after this poll, so that no record waits for it any more.
        leaving: bool,
    },
    /// A peer.
    Replica {
        /// The name of the peer.
        name: ReplicaName,
        /// The log of the peer. Reports sent to the peer refer to it.
        own_log: LogId,
    },
}

/// The content of a poll, as given by its query.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PollRequest {
    /// The log that `since` and `acknowledged` refer to, or `None` at the first poll.
    pub log: Option<LogId>,
    /// Records above this sequence number are requested. All answers up to it were accepted.
    pub since: Sequence,
    /// The `seq` of the last answer without `more`. All that the log contained then is applied. The query field is
    /// `whole`.
    pub acknowledged: Sequence,
    /// How long the replica may hold the poll while it has no new records.
    pub timeout: Duration,
    /// The sender of the poll.
    pub poller: Poller,
}

/// The progress of a replica after its start. One that is not established returns the records that it has, and counts
/// in no majority.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReplicaStanding {
    /// The start-up hold is running.
    Starting,
    /// The start-up hold is over, and too few peers have been read since.
    Waiting,
    /// The replica has all records that a majority had when it started.
    #[default]
    Established,
}

impl ReplicaStanding {
    /// Whether the replica counts in majorities.
    pub fn is_established(&self) -> bool {
        *self == Self::Established
    }
}

/// What a replica reports to a peer about the peer's own log, as of the answer that contains the report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaReport {
    /// The log of the peer that this report refers to.
    pub log: LogId,
    /// The peer's log is read and merged up to this sequence number.
    pub read: Sequence,
    /// The peer's log is applied up to this sequence number at every dispatcher attached to the reporting replica.
    pub applied: Sequence,
    /// The first few dispatchers that hold `applied` back.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub lagging: Vec<MemberName>,
}

/// An answer to a poll. The JSON form is `{"log":"ID","seq":LAST,"results":[...]}`, plus the fields that differ from
/// their defaults.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PollAnswer {
    /// The log that `seq` refers to.
    pub log: LogId,
    /// The poller's next `since`.
    pub seq: Sequence,
    /// The log has more records above `seq`, so `seq` does not become `acknowledged`.
    #[serde(default, skip_serializing_if = "is_false")]
    pub more: bool,
    /// The poller's attachment is complete. The poller is not in doubt until the doubt timeout after it sent this poll.
    #[serde(default, skip_serializing_if = "is_false")]
    pub attached: bool,
    /// The progress of the replica after its start. Attachments complete only at an established replica.
    #[serde(default, skip_serializing_if = "ReplicaStanding::is_established")]
    pub standing: ReplicaStanding,
    /// The poller's attachment is superseded, and the poller has to attach again.
    #[serde(default, skip_serializing_if = "is_false")]
    pub superseded: bool,
    /// In answers to a peer: how far its log is read and applied here.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub report: Option<ReplicaReport>,
    /// The records above `since`, in order.
    pub results: Vec<Event>,
}

impl PollRequest {
    /// Parses the query of `GET /changes?...`, the part after the question mark. Unknown fields are ignored.
    ///
    /// ```
    /// use myrtlegauge_replication::{PollRequest, Poller};
    /// let query = "since=7&whole=5&timeout=500&log=north-1&role=dispatcher&name=d%201&incarnation=9&attachment=2";
    /// let request = PollRequest::from_query(query)?;
    /// assert_eq!(request.since.0, 7);
    /// assert_eq!(PollRequest::from_query(&request.to_query())?, request);
    /// // A reader without the fields of replication.
    /// assert_eq!(PollRequest::from_query("since=7&timeout=500")?.poller, Poller::Reader);
    /// # Ok::<(), myrtlegauge_replication::PollError>(())
    /// ```
    pub fn from_query(query: &str) -> Result<Self, PollError> {
        let fields = Fields::parse(query)?;
        let poller = match fields.text("role") {
            None => Poller::Reader,
            Some("probe") => Poller::Probe,
            Some("dispatcher") => Poller::Dispatcher {
                name: MemberName(fields.required("name")?),
                incarnation: Incarnation(fields.required_number("incarnation")?),
                attachment: Attachment(fields.required_number("attachment")?),
                leaving: fields.text("leaving").is_some(),
            },
            Some("replica") => Poller::Replica {
                name: ReplicaName(fields.required("name")?),
                own_log: LogId(fields.required("own_log")?),
            },
            Some(other) => return Err(invalid("role", other, "dispatcher, replica, probe, or none")),
        };
        Ok(Self {
            log: fields.text("log").map(LogId::from),
            since: Sequence(fields.number("since")?.unwrap_or(0)),
            acknowledged: Sequence(fields.number("whole")?.unwrap_or(0)),
            timeout: Duration::from_millis(fields.number("timeout")?.unwrap_or(0)),
            poller,
        })
    }

    /// The query that [`PollRequest::from_query`] parses.
    pub fn to_query(&self) -> String {
        let mut query = format!("since={}&timeout={}", self.since, self.timeout.as_millis());
        let mut add_field = |field: &str, value: &str| {
            query.push('&');
            query.push_str(field);
            query.push('=');
            encode(value, &mut query);
        };
        if let Some(log) = &self.log {
            add_field("log", &log.0);
            add_field("whole", &self.acknowledged.to_string());
        }
        match &self.poller {
            Poller::Reader => {}
            Poller::Probe => add_field("role", "probe"),
            Poller::Dispatcher { name, incarnation, attachment, leaving } => {
                add_field("role", "dispatcher");
                add_field("name", &name.0);
                add_field("incarnation", &incarnation.to_string());
                add_field("attachment", &attachment.to_string());
                if *leaving {
                    add_field("leaving", "1");
                }
            }
            Poller::Replica { name, own_log } => {
                add_field("role", "replica");
                add_field("name", &name.0);
                add_field("own_log", &own_log.0);
            }
        }
        query
    }
}

impl PollAnswer {
    /// Parses the JSON of an answer.
    ///
    /// ```
    /// use myrtlegauge_replication::PollAnswer;
    /// let body = r#"{"log":"north-1","seq":42,"results":[{"seq":42,"invalidate":{"bucket":17,"time":5}}]}"#;
    /// let answer = PollAnswer::from_json(body)?;
    /// assert_eq!(answer.to_json(), body);
    /// # Ok::<(), myrtlegauge_replication::AnswerError>(())
    /// ```
    pub fn from_json(body: &str) -> Result<Self, AnswerError> {
        serde_json::from_str(body).map_err(|error| AnswerError::Unreadable(error.to_string()))
    }

    /// The answer as JSON.
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).expect("an answer has only string keys, and is written to memory")
    }

    /// Checks that events are in ascending order, above `since` and up to `seq`. The error is the first event that is
    /// not.
    pub(crate) fn check_order(&self, since: Sequence) -> Result<(), Sequence> {
        let mut previous = since;
        for event in &self.results {
            if event.seq <= previous || event.seq > self.seq {
                return Err(event.seq);
            }
            previous = event.seq;
        }
        Ok(())
    }
}

/// The fields of a query. If a field is given twice, the last one counts.
struct Fields(BTreeMap<String, String>);

impl Fields {
    fn parse(query: &str) -> Result<Self, PollError> {
        let mut fields = BTreeMap::new();
        for part in query.split('&').filter(|part| !part.is_empty()) {
            let (field, value) = part.split_once('=').unwrap_or((part, ""));
            let decoded =
                decode(value).ok_or_else(|| invalid("value", value, "percent-encoded UTF-8 text"))?;
            fields.insert(field.to_owned(), decoded);
        }
        Ok(Self(fields))
    }

    fn text(&self, field: &str) -> Option<&str> {
        self.0.get(field).map(String::as_str)
    }

    fn required(&self, field: &'static str) -> Result<String, PollError> {
        let text = self.text(field).filter(|text| !text.is_empty());
        let text = text.ok_or(PollError::MissingField(field))?;
        if text.len() > MAX_NAME_BYTES {
            return Err(invalid(field, text, "a name of 255 bytes at most"));
        }
        Ok(text.to_owned())
    }

    fn number(&self, field: &'static str) -> Result<Option<u64>, PollError> {
        let Some(text) = self.text(field) else {
            return Ok(None);
        };
        let number = text.parse().map_err(|_| invalid(field, text, "a whole number"))?;
        Ok(Some(number))
    }

    fn required_number(&self, field: &'static str) -> Result<u64, PollError> {
        self.number(field)?.ok_or(PollError::MissingField(field))
    }
}

fn invalid(field: &'static str, value: &str, expected: &'static str) -> PollError {
    let value = value.chars().take(MAX_ERROR_VALUE_CHARS).collect();
    PollError::InvalidField { field, value, expected }
}

/// Percent-encodes all characters except the unreserved ones of RFC 3986.
fn encode(value: &str, out: &mut String) {
    for byte in value.bytes() {
        match byte {
            b'A'..=b'Z' | b'a'..=b'z' | b'0'..=b'9' | b'-' | b'.' | b'_' | b'~' => out.push(byte.into()),
            _ => out.push_str(&format!("%{byte:02X}")),
        }
    }
}

fn decode(value: &str) -> Option<String> {
    let mut bytes = Vec::with_capacity(value.len());
    let mut remaining = value.bytes();
    while let Some(byte) = remaining.next() {
        bytes.push(match byte {
            b'%' => hex_value(remaining.next()?)? * 16 + hex_value(remaining.next()?)?,
            _ => byte,
        });
    }
    String::from_utf8(bytes).ok()
}

fn hex_value(digit: u8) -> Option<u8> {
    let digit = char::from(digit).to_digit(16)?;
    u8::try_from(digit).ok()
}

fn is_false(flag: &bool) -> bool {
    !flag
}

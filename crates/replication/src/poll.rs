//! Polls and answers: the change log's own long poll with more fields.
//!
//! `GET /changes?since=N&timeout=MS&log=ID&acknowledged=W&role=dispatcher&name=NAME&incarnation=MS&attachment=K` is answered by
//! `{"log":"ID","seq":LAST,"attached":true,"results":[events...]}`.

use crate::errors::{AnswerError, PollError};
use crate::record::{Attachment, Event, Incarnation, LogId, MemberName, ReplicaName, Sequence};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// Bytes of a name.
pub(crate) const MAX_NAME_BYTES: usize = 255;
/// Characters of a value that an error repeats.
const MAX_ERROR_VALUE_CHARS: usize = 64;

/// Who polls.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Poller {
    /// A reader that is no member: it is answered, and nothing waits for it.
    Reader,
    /// It asks whether the replica is there: it is answered at once, without records.
    Probe,
    /// A dispatcher under one of its attachments.
    Dispatcher {
        /// Its name.
        name: MemberName,
        /// Which process.
        incarnation: Incarnation,
        /// Which of its choices of a replica.
        attachment: Attachment,
        /// It ends after this poll: nothing is to wait for it.
        leaving: bool,
    },
    /// A peer.
    Replica {
        /// Its name.
        name: ReplicaName,
        /// Its own log, of which reports to it speak.
        own_log: LogId,
    },
}

/// A poll as its query says it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PollRequest {
    /// The log in which `since` and `acknowledged` count; none at the first poll.
    pub log: Option<LogId>,
    /// What is above it is asked for; all answers up to it were taken.
    pub since: Sequence,
    /// The `seq` of the last answer without `more`: all that the log held then is applied.
    pub acknowledged: Sequence,
    /// How long the replica may keep the poll without news.
    pub timeout: Duration,
    /// Who polls.
    pub poller: Poller,
}

/// How far a replica is after its start. One that is not established tells what it has, and counts in no majority.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReplicaStanding {
    /// Within its start-up hold.
    Starting,
    /// The hold is over, and it has not read enough peers since.
    Waiting,
    /// It knows all that a majority knew at its start.
    #[default]
    Established,
}

impl ReplicaStanding {
    /// Whether it counts in majorities.
    pub fn is_established(&self) -> bool {
        *self == Self::Established
    }
}

/// What a replica tells a peer of the peer's own log, as of the answer that carries it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaReport {
    /// The peer's log of which this speaks.
    pub log: LogId,
    /// The peer's log is read, and joined, up to here.
    pub read: Sequence,
    /// The peer's log up to here is applied at each dispatcher attached at the reporting replica.
    pub applied: Sequence,
    /// Dispatchers that hold `applied` back; the first few.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub lagging: Vec<MemberName>,
}

/// An answer to a poll; in JSON `{"log":"ID","seq":LAST,"results":[...]}` and what else there is to say.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PollAnswer {
    /// The log in which `seq` counts.
    pub log: LogId,
    /// The poller's next `since`.
    pub seq: Sequence,
    /// There is more above `seq`: it doesn't become `acknowledged`.
    #[serde(default, skip_serializing_if = "is_false")]
    pub more: bool,
    /// The poller's attach is complete: it is in doubt no more, for the doubt span from when it sent this poll.
    #[serde(default, skip_serializing_if = "is_false")]
    pub attached: bool,
    /// How far the replica is after its start; only at an established one can an attach complete.
    #[serde(default, skip_serializing_if = "ReplicaStanding::is_established")]
    pub standing: ReplicaStanding,
    /// The poller's attachment is over: it has to attach anew.
    #[serde(default, skip_serializing_if = "is_false")]
    pub superseded: bool,
    /// To a peer: how far its log has come here.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub report: Option<ReplicaReport>,
    /// Records above `since`, in order.
    pub results: Vec<Event>,
}

impl PollRequest {
    /// Reads the query of `GET /changes?...`, the part after the question mark. Fields that aren't known are passed over.
    ///
    /// ```
    /// use myrtlegauge_replication::{PollRequest, Poller};
    /// let query = "since=7&whole=5&timeout=500&log=north-1&role=dispatcher&name=d%201&incarnation=9&attachment=2";
    /// let request = PollRequest::from_query(query)?;
    /// assert_eq!(request.since.0, 7);
    /// assert_eq!(PollRequest::from_query(&request.to_query())?, request);
    /// // A reader that knows nothing of replication.
    /// assert_eq!(PollRequest::from_query("since=7&timeout=500")?.poller, Poller::Reader);
    /// # Ok::<(), myrtlegauge_replication::PollError>(())
    /// ```
    pub fn from_query(query: &str) -> Result<Self, PollError> {
        let fields = Fields::read(query)?;
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

    /// The query that [`PollRequest::from_query`] reads.
    pub fn to_query(&self) -> String {
        let mut query = format!("since={}&timeout={}", self.since, self.timeout.as_millis());
        let mut add = |field: &str, value: &str| {
            query.push('&');
            query.push_str(field);
            query.push('=');
            encode(value, &mut query);
        };
        if let Some(log) = &self.log {
            add("log", &log.0);
            add("whole", &self.acknowledged.to_string());
        }
        match &self.poller {
            Poller::Reader => {}
            Poller::Probe => add("role", "probe"),
            Poller::Dispatcher { name, incarnation, attachment, leaving } => {
                add("role", "dispatcher");
                add("name", &name.0);
                add("incarnation", &incarnation.to_string());
                add("attachment", &attachment.to_string());
                if *leaving {
                    add("leaving", "1");
                }
            }
            Poller::Replica { name, own_log } => {
                add("role", "replica");
                add("name", &name.0);
                add("own_log", &own_log.0);
            }
        }
        query
    }
}

impl PollAnswer {
    /// Reads an answer's JSON.
    ///
    /// ```
    /// use myrtlegauge_replication::PollAnswer;
    /// let body = r#"{"log":"north-1","seq":42,"results":[{"seq":42,"invalidate":{"bucket":17,"time":5}}]}"#;
    /// let answer = PollAnswer::from_json(body)?;
    /// assert_eq!(answer.to_json(), body);
    /// # Ok::<(), myrtlegauge_replication::AnswerError>(())
    /// ```
    pub fn from_json(body: &str) -> Result<Self, AnswerError> {
        serde_json::from_str(body).map_err(|why| AnswerError::Unreadable(why.to_string()))
    }

    /// The answer as JSON.
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).expect("an answer has text keys alone, and is written to memory")
    }

    /// Checks that events stand in order, above `since` and up to `seq`; the first that doesn't.
    pub(crate) fn check_order(&self, since: Sequence) -> Result<(), Sequence> {
        let mut before = since;
        for event in &self.results {
            if event.seq <= before || event.seq > self.seq {
                return Err(event.seq);
            }
            before = event.seq;
        }
        Ok(())
    }
}

/// The fields of a query. Of one that is given twice the last counts.
struct Fields(BTreeMap<String, String>);

impl Fields {
    fn read(query: &str) -> Result<Self, PollError> {
        let mut fields = BTreeMap::new();
        for part in query.split('&').filter(|part| !part.is_empty()) {
            let (field, value) = part.split_once('=').unwrap_or((part, ""));
            let decoded =
                decode(value).ok_or_else(|| invalid("value", value, "text in UTF-8, percent-encoded"))?;
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

/// Percent-encodes all but what RFC 3986 leaves unreserved.
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
    let mut rest = value.bytes();
    while let Some(byte) = rest.next() {
        bytes.push(match byte {
            b'%' => hex(rest.next()?)? * 16 + hex(rest.next()?)?,
            _ => byte,
        });
    }
    String::from_utf8(bytes).ok()
}

fn hex(digit: u8) -> Option<u8> {
    let digit = char::from(digit).to_digit(16)?;
    u8::try_from(digit).ok()
}

fn is_false(flag: &bool) -> bool {
    !flag
}

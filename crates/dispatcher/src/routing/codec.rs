//! What messages of clients and hosts say, as the module takes it: names become small indices here, words its types.

use bytes::Bytes;
use myrtlegauge::interface::{End, Get, LoadReport, Note, Settings, duration_from_ms};
use myrtlegauge::settings::flag;
use myrtlegauge_wire::protocol::fastcgi::Request;
use myrtlegauge_wire::protocol::resp::Reply;

pub struct Codec {
    pub services: Vec<Bytes>,
    /// Whether a service's GETs are answered by copies; those that are passed on are not.
    copies: Vec<bool>,
}

impl Codec {
    pub fn new(told: &Settings) -> Result<Self, String> {
        let listed =
            told.get("classes").and_then(|v| v.as_array()).ok_or("setting classes is missing or no list")?;
        let service = |v: &serde_json::Value| {
            let name = v.get("name").and_then(|name| name.as_str());
            name.map(|name| Bytes::copy_from_slice(name.as_bytes())).ok_or("a delivery service has no name")
        };
        let services = listed.iter().map(service).collect::<Result<Vec<_>, _>>()?;
        Ok(Self {
            copies: (0..services.len()).map(|ds| !flag(told, &format!("domain.pass_on.{ds}"))).collect(),
            services,
        })
    }

    /// A GET by its request's fields, each in the form that the page gives it; none where one that is needed is
    /// missing or unusable. What comes this far goes on to hosts as it came.
    pub fn get(&self, request: &Request) -> Option<Get> {
        let service = request.path.strip_prefix(b"/rpc/")?;
        let usable = !request.is_malformed && request.id.len() == KEY_LONG && hex(&request.id).is_some();
        let budget = number(&request.budget).filter(|&ms| ms <= BUDGET_MOST)?;
        // What does not name an object, a write for one, goes without.
        let or_none = |read: fn(&[u8]) -> Option<u64>, bytes: &[u8]| match bytes {
            b"" => Some(0),
            _ => read(bytes),
        };
        let listable = |field: &[u8]| field.len() <= TAG_LONG && is_token(field);
        let held = listable(&request.held_version) && listable(&request.token);
        Some(Get {
            ds: self.services.iter().position(|name| name == service).filter(|_| usable && held)?,
            object: or_none(|key| hex(key).filter(|_| key.len() == KEY_LONG), &request.key)?,
            part: u32::try_from(or_none(digits, &request.chunk)?).ok()?,
            group: or_none(digits, &request.group).filter(|&group| group <= GROUP_MOST)?,
            size_kb: 0.0,
            viewer_timeout: duration_from_ms(budget),
            is_retry: Self::is_retry(request),
            in_shed_fraction: false,
        })
    }

    /// Whether a request is marked as a try after the first. It changes no byte: a mark that can't be read is none.
    fn is_retry(request: &Request) -> bool {
        let first = request.first_id.len() == KEY_LONG && hex(&request.first_id).is_some();
        first && digits(&request.attempt).is_some_and(|number| number > 0)
    }

    /// How an answer ends a forward; none for a word that is not known, or without the fields of a copy where the
    /// answer must be one.
    pub fn end(&self, ds: usize, answer: &Reply) -> Option<End> {
        let copy = || {
            let tag = answer.field("rev").is_some_and(|tag| !tag.is_empty() && is_token(tag));
            tag && answer.field("since").and_then(number).is_some()
        };
        Some(match &answer.status[..] {
            b"200" if !self.copies[ds] || copy() => End::Returned,
            b"304" if self.copies[ds] && copy() => End::Returned,
            b"404" => End::Miss,
            b"503" => End::Full,
            b"500" => End::Errored,
            b"504" => End::NeverSent,
            _ => return None,
        })
    }
}

/// Digits of an object's or a request's id.
const KEY_LONG: usize = 16;
/// Digits of any other number, and bytes of a copy's tag or a request's token.
const NUMBER_LONG: usize = 10;
const TAG_LONG: usize = 64;
/// Groups of objects are numbered up to here.
const GROUP_MOST: u64 = 255;
/// ms; no client waits longer than an hour.
pub const BUDGET_MOST: f64 = 3.6e6;

pub fn hex(bytes: &[u8]) -> Option<u64> {
    let fits = (1..=KEY_LONG).contains(&bytes.len()) && bytes.iter().all(u8::is_ascii_hexdigit);
    u64::from_str_radix(std::str::from_utf8(bytes).ok().filter(|_| fits)?, 16).ok()
}

fn digits(bytes: &[u8]) -> Option<u64> {
    let fits = (1..=NUMBER_LONG).contains(&bytes.len()) && bytes.iter().all(u8::is_ascii_digit);
    std::str::from_utf8(bytes).ok().filter(|_| fits)?.parse().ok()
}

/// What can stand in a list of fields.
fn is_token(bytes: &[u8]) -> bool {
    bytes.iter().all(|b| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.'))
}

/// The tag alone, without the marks that HTTP puts around it.
pub fn bare(tag: &Bytes) -> Bytes {
    let tag = tag.strip_prefix(b"W/").map_or(tag.clone(), |rest| tag.slice_ref(rest));
    let inner = tag.strip_prefix(b"\"").and_then(|rest| rest.strip_suffix(b"\""));
    inner.map_or(tag.clone(), |inner| tag.slice_ref(inner))
}

pub fn number(bytes: &[u8]) -> Option<f64> {
    std::str::from_utf8(bytes).ok()?.trim().parse().ok().filter(|n: &f64| n.is_finite() && *n >= 0.0)
}

pub fn note(answer: &Reply) -> Note {
    match answer.field("why").unwrap_or_default() {
        b"TCP_HIT" => Note::Hit,
        b"TCP_MISS" => Note::Filled,
        b"TCP_MISS_ROOT" => Note::FilledFromOrigin,
        b"TCP_JOIN" => Note::Joined,
        b"TCP_STALE" => Note::Stale,
        b"PEER_DENY" => Note::SourceRefused,
        b"PEER_DEAD" => Note::SourceBroke,
        b"PEER_MISS" => Note::SourceLacks,
        b"FILL_FULL" => Note::NoFillPlace,
        b"ROOT_FAIL" => Note::OriginFailed,
        _ => Note::Untold,
    }
}

/// The load report of an answer, by the settings' names or the page's.
pub fn load(answer: &Reply) -> LoadReport {
    let mut load = LoadReport::default();
    for pair in answer.field("rep").unwrap_or_default().split(|&b| b == b';') {
        let Some(colon) = pair.iter().position(|&b| b == b':') else { continue };
        let value = number(&pair[colon + 1..]);
        match &pair[..colon] {
            b"util" | b"cpu_share" => load.utilization = value,
            b"inflight" | b"busy_reqs" => load.in_flight = value,
            b"x0" => load.hit_ratio = value,
            b"x1" => load.link_utilization = value,
            _ => {}
        }
    }
    load
}

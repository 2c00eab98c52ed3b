//! Translates the messages of clients and hosts into the decision module's types: names become indices, words become
//! enum values.

use bytes::Bytes;
use myrtlegauge::interface::{End, Get, LoadReport, Note, Settings, duration_from_ms};
use myrtlegauge::settings::flag;
use myrtlegauge_wire::protocol::fastcgi::Request;
use myrtlegauge_wire::protocol::resp::Reply;

/// Translates messages by the settings' delivery services.
pub struct Codec {
    pub services: Vec<Bytes>,
    /// By service, whether its GETs are answered with cached copies. GETs that are passed through are not.
    returns_copies: Vec<bool>,
}

impl Codec {
    /// Reads the delivery services from the settings.
    pub fn new(settings: &Settings) -> Result<Self, String> {
        let classes = settings
            .get("classes")
            .and_then(|value| value.as_array())
            .ok_or("setting `classes` is missing or not a list")?;
        let service = |value: &serde_json::Value| {
            let name = value.get("name").and_then(|name| name.as_str());
            name.map(|name| Bytes::copy_from_slice(name.as_bytes()))
                .ok_or("setting `classes`: a delivery service has no name")
        };
        let services = classes.iter().map(service).collect::<Result<Vec<_>, _>>()?;
        Ok(Self {
            returns_copies: (0..services.len())
                .map(|ds| !flag(settings, &format!("domain.pass_on.{ds}")))
                .collect(),
            services,
        })
    }

    /// Builds a GET from the request's fields, each in the form that the protocol page defines. Returns `None` if a
    /// required field is missing or invalid. Fields that pass these checks are forwarded to hosts unchanged.
    pub fn get(&self, request: &Request) -> Option<Get> {
        let service = request.path.strip_prefix(b"/rpc/")?;
        let is_usable =
            !request.is_malformed && request.id.len() == ID_DIGITS && parse_hex(&request.id).is_some();
        let budget = parse_number(&request.budget).filter(|&ms| ms <= MAX_BUDGET_MS)?;
        // Requests that name no object, such as writes, leave these fields empty.
        let parse_or_zero = |parse: fn(&[u8]) -> Option<u64>, bytes: &[u8]| match bytes {
            b"" => Some(0),
            _ => parse(bytes),
        };
        let is_field_value = |field: &[u8]| field.len() <= MAX_TAG_BYTES && is_token(field);
        let are_values_valid = is_field_value(&request.held_version) && is_field_value(&request.token);
        Some(Get {
            ds: self
                .services
                .iter()
                .position(|name| name == service)
                .filter(|_| is_usable && are_values_valid)?,
            object: parse_or_zero(|key| parse_hex(key).filter(|_| key.len() == ID_DIGITS), &request.key)?,
            part: u32::try_from(parse_or_zero(parse_digits, &request.chunk)?).ok()?,
            group: parse_or_zero(parse_digits, &request.group).filter(|&group| group <= MAX_GROUP)?,
            size_kb: 0.0,
            viewer_timeout: duration_from_ms(budget),
            is_retry: Self::is_retry(request),
            in_shed_fraction: false,
        })
    }

    /// Whether a request is marked as a retry. The mark changes no forwarded byte; an unreadable mark counts as none.
    fn is_retry(request: &Request) -> bool {
        let has_first_id = request.first_id.len() == ID_DIGITS && parse_hex(&request.first_id).is_some();
        has_first_id && parse_digits(&request.attempt).is_some_and(|attempt| attempt > 0)
    }

    /// The end that a reply means for its forward. Returns `None` for an unknown status, or where the reply must be a
    /// copy and lacks a copy's fields.
    pub fn reply_end(&self, ds: usize, reply: &Reply) -> Option<End> {
        let has_copy_fields = || {
            let has_tag = reply.field("rev").is_some_and(|tag| !tag.is_empty() && is_token(tag));
            has_tag && reply.field("since").and_then(parse_number).is_some()
        };
        Some(match &reply.status[..] {
            b"200" if !self.returns_copies[ds] || has_copy_fields() => End::Returned,
            b"304" if self.returns_copies[ds] && has_copy_fields() => End::Returned,
            b"404" => End::Miss,
            b"503" => End::Full,
            b"500" => End::Errored,
            b"504" => End::NeverSent,
            _ => return None,
        })
    }
}

/// Whether a reply states that the client's copy is current, and carries no bytes.
pub fn is_unmodified(reply: &Reply) -> bool {
    &reply.status[..] == b"304"
}

/// Hexadecimal digits of an object's or a request's id.
const ID_DIGITS: usize = 16;
/// Decimal digits of any other number.
const MAX_NUMBER_DIGITS: usize = 10;
/// Bytes of a copy's tag or of a request's token.
const MAX_TAG_BYTES: usize = 64;
/// The highest number of an object group.
const MAX_GROUP: u64 = 255;
/// No client waits longer than an hour.
pub const MAX_BUDGET_MS: f64 = 3.6e6;

/// Parses 1 to 16 hexadecimal digits.
pub fn parse_hex(bytes: &[u8]) -> Option<u64> {
    let fits = (1..=ID_DIGITS).contains(&bytes.len()) && bytes.iter().all(u8::is_ascii_hexdigit);
    u64::from_str_radix(std::str::from_utf8(bytes).ok().filter(|_| fits)?, 16).ok()
}

fn parse_digits(bytes: &[u8]) -> Option<u64> {
    let fits = (1..=MAX_NUMBER_DIGITS).contains(&bytes.len()) && bytes.iter().all(u8::is_ascii_digit);
    std::str::from_utf8(bytes).ok().filter(|_| fits)?.parse().ok()
}

/// Whether the bytes can be the value of a field in a host's field list.
fn is_token(bytes: &[u8]) -> bool {
    bytes.iter().all(|byte| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.'))
}

/// Strips the weak prefix and the quotes of an HTTP entity tag.
pub fn strip_etag_quotes(tag: &Bytes) -> Bytes {
    let tag = tag.strip_prefix(b"W/").map_or(tag.clone(), |rest| tag.slice_ref(rest));
    let inner = tag.strip_prefix(b"\"").and_then(|rest| rest.strip_suffix(b"\""));
    inner.map_or(tag.clone(), |inner| tag.slice_ref(inner))
}

/// Parses a finite number that is not negative.
pub fn parse_number(bytes: &[u8]) -> Option<f64> {
    std::str::from_utf8(bytes)
        .ok()?
        .trim()
        .parse()
        .ok()
        .filter(|number: &f64| number.is_finite() && *number >= 0.0)
}

/// The note that a reply carries.
pub fn reply_note(reply: &Reply) -> Note {
    match reply.field("why").unwrap_or_default() {
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

/// Parses the load report of a reply, under either the settings' or the protocol page's names.
pub fn reply_load(reply: &Reply) -> LoadReport {
    let mut load = LoadReport::default();
    for pair in reply.field("rep").unwrap_or_default().split(|&byte| byte == b';') {
        let Some(colon) = pair.iter().position(|&byte| byte == b':') else { continue };
        let value = parse_number(&pair[colon + 1..]);
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

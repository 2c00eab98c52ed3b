//! What an operator file may say, and what it says.

use crate::form::{Checked, Field, Form, Kind, Often};
use crate::logs;
use crate::tree::Fault;
use log::LevelFilter;
use serde_json::{Map, Value as Json, json};
use std::net::SocketAddr;
use std::time::Duration;

const fn field(name: &'static str, kind: Kind, often: Often, about: &'static str) -> Field {
    Field { name, kind, often, about }
}

/// All that a file may hold.
pub static FILE: Form = Form {
    titled: false,
    fields: &[
        field("log", Kind::Form(&LOG), Often::Maybe("text, info"), "what is logged to standard error"),
        field("control", Kind::Form(&CONTROL), Often::Once, "the control service: decisions over xDS"),
        field("footprint", Kind::Form(&FOOTPRINT), Often::Once, "places and machines around this service"),
        field(
            "delivery-service",
            Kind::Form(&SERVICE),
            Often::AtLeastOnce,
            "one kind of GET and its promise",
        ),
        field(
            "host",
            Kind::Form(&HOST),
            Often::Any,
            "a cache, parent or origin, where no change log tells of them",
        ),
    ],
};

static LOG: Form = Form {
    titled: false,
    fields: &[
        field(
            "form",
            Kind::OneOf(&["text", "json"]),
            Often::Maybe("text"),
            "a line of text or a JSON object a record",
        ),
        field(
            "level",
            Kind::OneOf(&["error", "warn", "info", "debug", "trace"]),
            Often::Maybe("info"),
            "the least that is logged; RUST_LOG goes before it",
        ),
    ],
};

static CONTROL: Form = Form {
    titled: false,
    fields: &[
        field("name", Kind::Text, Often::Once, "its name, told to proxies and in logs"),
        field(
            "listen",
            Kind::Address,
            Often::Once,
            "where proxies connect (gRPC, not encrypted: loopback only)",
        ),
        field(
            "change-log",
            Kind::Address,
            Often::Maybe("the hosts of this file"),
            "the change log of hosts and purges",
        ),
        field(
            "drain-grace",
            Kind::Span,
            Often::Maybe("250ms"),
            "after a drain is told, nothing new is sent there",
        ),
        field(
            "purge-grace",
            Kind::Span,
            Often::Maybe("1s"),
            "after a purge is told, no older copy is answered",
        ),
        field("clock-error", Kind::Span, Often::Maybe("10ms"), "most that clocks here and at a proxy differ"),
        field(
            "reports-every",
            Kind::Span,
            Often::Maybe("500ms"),
            "how often proxies report load and outcomes",
        ),
        field("most-proxies", Kind::Count, Often::Maybe("1000"), "streams held at once; more are refused"),
    ],
};

static FOOTPRINT: Form = Form {
    titled: false,
    fields: &[
        field("zone", Kind::Form(&ZONE), Often::AtLeastOnce, "a location, in the order of their numbers"),
        field("here", Kind::Text, Often::Once, "the zone whose caches are chosen"),
        field("cache-kind", Kind::Text, Often::Maybe("\"standard\""), "how the list of hosts names a cache"),
        field("parent-kind", Kind::Text, Often::Maybe("\"parent\""), "the same for a parent"),
        field("origin-kind", Kind::Text, Often::Maybe("\"origin\""), "the same for the origin"),
        field("parents", Kind::Flag, Often::Maybe("yes"), "whether there is a tier of parents"),
        field("instances", Kind::Number, Often::Maybe("1"), "services and dispatchers that share the origin"),
        field("transfer-pace", Kind::Pace, Often::Once, "one transfer at full pace"),
        field("link-pace", Kind::Pace, Often::Maybe("not told"), "the link into this zone"),
        field(
            "origin-rate",
            Kind::Rate,
            Often::Maybe("not told"),
            "fills that the origin bears, of all instances",
        ),
        field("cache-start", Kind::Form(&START), Often::Once, "how a cache starts"),
        field("parent-start", Kind::Form(&START), Often::Maybe("as a cache"), "how a parent starts"),
        field(
            "purged-within",
            Kind::Span,
            Often::Maybe("6s"),
            "after that no copy from before a purge is anywhere",
        ),
        field("tick", Kind::Span, Often::Maybe("2ms"), "what times are rounded to"),
        field("forwards", Kind::Count, Often::Maybe("3"), "most forwards of one GET"),
    ],
};

static ZONE: Form = Form {
    titled: true,
    fields: &[field("hub", Kind::Count, Often::Maybe("0"), "the number of the hub that it hangs from")],
};

static START: Form = Form {
    titled: false,
    fields: &[
        field("share", Kind::Share, Often::Once, "part of its work that it bears when it starts"),
        field("warm-within", Kind::Span, Often::Once, "until it bears all of it"),
        field("falls-at", Kind::Number, Often::Maybe("2"), "times what it bears that push it over"),
        field("falls-in", Kind::Span, Often::Maybe("1s"), "how long it bears that"),
    ],
};

static SERVICE: Form = Form {
    titled: true,
    fields: &[
        field("objective", Kind::Span, Often::Once, "latency objective"),
        field(
            "stretch",
            Kind::Number,
            Often::Maybe("1"),
            "what a second of sending time adds to the objective, s",
        ),
        field("timeout", Kind::Span, Often::Once, "the longest that a viewer waits"),
        field("fresh", Kind::Span, Often::Maybe("until purged"), "how long a copy is fresh"),
        field(
            "grace",
            Kind::Span,
            Often::Maybe("none"),
            "how much longer it may be answered while the origin is busy",
        ),
        field(
            "effect",
            Kind::OneOf(&["idempotent", "non-idempotent", "tokened"]),
            Often::Maybe("idempotent"),
            "what a second run does: nothing, harm, or nothing within a group and window",
        ),
        field(
            "passed-on",
            Kind::Flag,
            Often::Maybe("no"),
            "whether it goes to the origin and no copy answers it",
        ),
        field(
            "token-group",
            Kind::OneOf(&["all", "zone", "cell"]),
            Often::Maybe("cell"),
            "where repeats are dropped",
        ),
        field("token-window", Kind::Span, Often::Maybe("none"), "how long repeats are dropped"),
    ],
};

static HOST: Form = Form {
    titled: true,
    fields: &[
        field("address", Kind::Address, Often::Once, "where it listens"),
        field("zone", Kind::Text, Often::Once, "where it stands"),
        field("kind", Kind::OneOf(&["cache", "parent", "origin"]), Often::Once, "what it is"),
        field("weight", Kind::Number, Often::Maybe("1"), "its size beside the others"),
        field("cell", Kind::Count, Often::Maybe("0"), "the cell that it belongs to"),
        field(
            "standing",
            Kind::OneOf(&["on", "draining"]),
            Often::Maybe("on"),
            "draining: nothing new goes there",
        ),
        field("started-unix-ms", Kind::Count, Often::Maybe("long ago"), "when it last started"),
    ],
};

/// The control service as its operator tells of it.
#[derive(Clone, Debug, PartialEq)]
pub struct Control {
    pub name: String,
    pub listen: SocketAddr,
    pub change_log: Option<SocketAddr>,
    pub drain_grace: Duration,
    pub purge_grace: Duration,
    pub clock_error: Duration,
    pub reports_every: Duration,
    pub most_proxies: usize,
}

/// A host named in the file.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedHost {
    pub name: String,
    pub address: SocketAddr,
    pub zone: String,
    pub kind: String,
    pub weight: f64,
    pub cell: u64,
    pub draining: bool,
    pub started_unix_ms: f64,
}

#[derive(Clone, Debug, PartialEq)]
pub struct OperatorFile {
    pub log_form: logs::Form,
    pub log_level: LevelFilter,
    pub control: Control,
    /// Names of the delivery services, in order.
    pub services: Vec<String>,
    pub hosts: Vec<ListedHost>,
    /// What the decision module reads at its start.
    pub facts: Map<String, Json>,
}

const NOWHERE: SocketAddr = SocketAddr::V4(std::net::SocketAddrV4::new(std::net::Ipv4Addr::LOCALHOST, 0));

fn ms(span: Duration) -> f64 {
    span.as_secs_f64() * 1e3
}

impl OperatorFile {
    /// Takes what was checked; where something needed is missing that is a fault already, and any value does here.
    pub fn of(file: &Checked, faults: &mut Vec<Fault>) -> Self {
        let none = Checked::default();
        let form = |name: &str| file.forms(name).next().unwrap_or(&none);
        let (log, control, footprint) = (form("log"), form("control"), form("footprint"));
        let services: Vec<_> = file.forms("delivery-service").collect();
        let kinds = ["cache", "parent", "origin"].map(|kind| {
            let else_named = if kind == "cache" { "standard" } else { kind };
            footprint.text(&format!("{kind}-kind")).unwrap_or(else_named).to_owned()
        });
        let hosts = hosts(file, footprint, &kinds, faults);
        twice(&services, faults);
        Self {
            log_form: log.text("form").and_then(logs::Form::named).unwrap_or_default(),
            log_level: log.text("level").and_then(|level| level.parse().ok()).unwrap_or(LevelFilter::Info),
            control: read_control(control, faults),
            services: services.iter().map(|service| service.title.clone()).collect(),
            facts: facts(footprint, &kinds, &services, faults),
            hosts,
        }
    }
}

fn twice(titled: &[&Checked], faults: &mut Vec<Fault>) {
    for (i, form) in titled.iter().enumerate() {
        if let Some(first) = titled[..i].iter().find(|first| first.title == form.title) {
            let what = format!("{:?} is named already, on line {}", form.title, first.at.line);
            faults.push(Fault { at: form.at, what });
        }
    }
}

fn read_control(control: &Checked, faults: &mut Vec<Fault>) -> Control {
    let span = |name: &str, without: u64| control.span(name).unwrap_or(Duration::from_millis(without));
    let read = Control {
        name: control.text("name").unwrap_or_default().to_owned(),
        listen: control.address("listen").unwrap_or(NOWHERE),
        change_log: control.address("change-log"),
        drain_grace: span("drain-grace", 250),
        purge_grace: span("purge-grace", 1000),
        clock_error: span("clock-error", 10),
        reports_every: span("reports-every", 500),
        most_proxies: control.count("most-proxies").unwrap_or(1000) as usize,
    };
    let mut refuse =
        |name: &str, what: &str| faults.push(Fault { at: control.place(name), what: what.into() });
    if !read.listen.ip().is_loopback() {
        refuse(
            "listen",
            "listen is not a loopback address: nothing is encrypted yet, so nothing else is listened on",
        );
    }
    if read.drain_grace.min(read.purge_grace) <= read.clock_error * 4 {
        refuse(
            "clock-error",
            "clock-error takes a quarter of a grace or more: no lease fits in what is left",
        );
    }
    if read.reports_every < Duration::from_millis(10) {
        refuse("reports-every", "reports-every is under 10ms");
    }
    if read.most_proxies == 0 {
        refuse("most-proxies", "most-proxies is zero");
    }
    read
}

fn hosts(
    file: &Checked,
    footprint: &Checked,
    kinds: &[String; 3],
    faults: &mut Vec<Fault>,
) -> Vec<ListedHost> {
    let listed: Vec<_> = file.forms("host").collect();
    twice(&listed, faults);
    let zones: Vec<_> = footprint.forms("zone").map(|zone| zone.title.as_str()).collect();
    let mut read = Vec::with_capacity(listed.len());
    for host in listed {
        let zone = host.text("zone").unwrap_or_default();
        if !zone.is_empty() && !zones.contains(&zone) {
            let what = format!("zone {zone:?} is not a zone of the footprint");
            faults.push(Fault { at: host.place("zone"), what });
        }
        let kind = match host.text("kind") {
            Some("parent") => &kinds[1],
            Some("origin") => &kinds[2],
            _ => &kinds[0],
        };
        read.push(ListedHost {
            name: host.title.clone(),
            address: host.address("address").unwrap_or(NOWHERE),
            zone: zone.to_owned(),
            kind: kind.clone(),
            weight: host.number("weight").unwrap_or(1.0),
            cell: host.count("cell").unwrap_or(0),
            draining: host.text("standing") == Some("draining"),
            started_unix_ms: host.count("started-unix-ms").unwrap_or(0) as f64,
        });
    }
    read
}

/// The settings of the decision module, under the names by which it reads them.
fn facts(
    footprint: &Checked,
    kinds: &[String; 3],
    services: &[&Checked],
    faults: &mut Vec<Fault>,
) -> Map<String, Json> {
    let zones: Vec<_> = footprint.forms("zone").collect();
    twice(&zones, faults);
    let here = footprint.text("here").unwrap_or_default();
    let my_zone = zones.iter().position(|zone| zone.title == here);
    if my_zone.is_none() && footprint.text("here").is_some() {
        faults.push(Fault {
            at: footprint.place("here"),
            what: format!("here {here:?} is not a zone of the footprint"),
        });
    }
    let my_zone = my_zone.unwrap_or(0);
    let none = Checked::default();
    let cache = footprint.forms("cache-start").next().unwrap_or(&none);
    let parent = footprint.forms("parent-start").next().unwrap_or(cache);
    let long = |start: &Checked| ms(start.span("warm-within").unwrap_or_default());
    let falls_at = |start: &Checked| start.number("falls-at").unwrap_or(2.0);
    let per =
        |value: &dyn Fn(&Checked) -> Json| services.iter().map(|service| value(service)).collect::<Vec<_>>();
    let classes = per(&|service| {
        let span = |name: &str| ms(service.span(name).unwrap_or_default());
        let effect = match service.text("effect") {
            Some("non-idempotent") => "at_most_once",
            Some("tokened") => "deduplicated",
            _ => "idempotent",
        };
        json!({"name": service.title, "aim_ms": span("objective"), "deadline_ms": span("timeout"), "effect": effect,
            "aim_stretch": service.number("stretch").unwrap_or(1.0), "key_ttl_ms": span("token-window"),
            "group": service.text("token-group").unwrap_or("cell")})
    });
    let spans = |name: &str| per(&|service| ms(service.span(name).unwrap_or_default()).into());
    let mut by_zone = vec![json!(0); zones.len()];
    if let Some(count) = by_zone.get_mut(my_zone) {
        *count = json!(1);
    }
    let mut feeds = vec![json!(0.0); zones.len()];
    if let (Some(feed), Some(pace)) = (feeds.get_mut(my_zone), footprint.number("link-pace")) {
        *feed = json!(pace);
    }
    let parents = footprint.flag("parents").unwrap_or(true);
    let mut domain = json!({
        "count_by_zone": by_zone, "feed_kb_per_s": feeds, "shares_fills": true, "pass_through_ok": false,
        "hub_of": zones.iter().map(|zone| zone.count("hub").unwrap_or(0)).collect::<Vec<_>>(),
        "shield_kind": if parents { 1 } else { -1 }, "master_kind": 2, "note_level": "all",
        "flow_kb_per_s": footprint.number("transfer-pace").unwrap_or(0.0),
        "lifetime_by_class_ms": spans("fresh"), "grace_for_ms": spans("grace"),
        "pass_on": per(&|service| service.flag("passed-on").unwrap_or(false).into()),
        "parent_floor": parent.number("share").unwrap_or(1.0), "parent_cold_ms": long(parent),
        "parent_breaks_at": falls_at(parent),
        "gone_everywhere_ms": ms(footprint.span("purged-within").unwrap_or(Duration::from_secs(6))),
    });
    if let Some(rate) = footprint.number("origin-rate") {
        domain["origin_rate_per_s"] = json!(rate);
    }
    let facts = json!({
        "balancers": footprint.number("instances").unwrap_or(1.0), "my_zone": my_zone, "discovery": "pushed",
        "weights": "rough", "resolution_ms": ms(footprint.span("tick").unwrap_or(Duration::from_millis(2))),
        "zones": zones.iter().map(|zone| zone.title.as_str()).collect::<Vec<_>>(), "kinds": kinds,
        "classes": classes, "domain": domain,
        "limits": {"cancel": true, "retry_after": true, "max_retry_after_ms": 2000.0,
            "max_attempts": footprint.count("forwards").unwrap_or(3)},
        "obligations": {"start_capacity": cache.number("share").unwrap_or(1.0), "warm_within_ms": long(cache),
            "fall_multiple": falls_at(cache), "fall_ms": ms(cache.span("falls-in").unwrap_or(Duration::from_secs(1)))},
    });
    match facts {
        Json::Object(facts) => facts,
        _ => Map::new(),
    }
}

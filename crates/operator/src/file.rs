//! The forms of the operator file, and the settings that are read from it.

use crate::form::{CheckedForm, Field, Form, Kind, Occurrence, missing_field};
use crate::logs;
use crate::tree::{FileError, Position};
use log::LevelFilter;
use serde_json::{Map, Value as Json, json};
use std::net::SocketAddr;
use std::time::Duration;

const fn field(name: &'static str, kind: Kind, occurrence: Occurrence, about: &'static str) -> Field {
    Field { name, kind, occurrence, about }
}

/// Default of a form that is needed unless the file has only a replica.
const NEEDED_UNLESS_ONLY_REPLICA: &str = "none if the file has only a replica, needed otherwise";
const FOOTPRINT_ABOUT: &str = "the locations and machines around this service";
const SERVICE_ABOUT: &str = "a kind of GET and its objectives";
const CHANGE_LOG_ABOUT: &str = "the change log of hosts and purges";

/// The forms of a file.
pub static FILE: Form = Form {
    has_title: false,
    fields: &[
        field("log", Kind::Form(&LOG), Occurrence::Optional("text, info"), "the logging to standard error"),
        field(
            "control",
            Kind::Form(&CONTROL),
            Occurrence::Optional("no control service"),
            "the control service, which sends decisions over xDS",
        ),
        field(
            "dispatcher",
            Kind::Form(&DISPATCHER),
            Occurrence::Optional("no dispatcher"),
            "a dispatcher that follows control services",
        ),
        field(
            "replica",
            Kind::Form(&REPLICA),
            Occurrence::Optional("no replica"),
            "a replica of the change log, which dispatchers poll instead of the platform's",
        ),
        field(
            "footprint",
            Kind::Form(&FOOTPRINT),
            Occurrence::Optional(NEEDED_UNLESS_ONLY_REPLICA),
            FOOTPRINT_ABOUT,
        ),
        field("delivery-service", Kind::Form(&SERVICE), Occurrence::Any, SERVICE_ABOUT),
        field(
            "host",
            Kind::Form(&HOST),
            Occurrence::Any,
            "a cache, parent or origin, if there is no change log to list them",
        ),
    ],
};

static LOG: Form = Form {
    has_title: false,
    fields: &[
        field(
            "form",
            Kind::OneOf(&["text", "json"]),
            Occurrence::Optional("text"),
            "each record is a line of text or a JSON object",
        ),
        field(
            "level",
            Kind::OneOf(&["error", "warn", "info", "debug", "trace"]),
            Occurrence::Optional("info"),
            "the lowest level that is logged; RUST_LOG takes precedence",
        ),
    ],
};

static CONTROL: Form = Form {
    has_title: false,
    fields: &[
        field("name", Kind::Text, Occurrence::Once, "its name, sent to proxies and used in logs"),
        field(
            "listen",
            Kind::Address,
            Occurrence::Once,
            "where proxies connect (gRPC, not encrypted: loopback only)",
        ),
        field(
            "change-log",
            Kind::Address,
            Occurrence::Optional("the hosts of this file"),
            "the change log of hosts and purges",
        ),
        field(
            "drain-grace",
            Kind::Duration,
            Occurrence::Optional("250ms"),
            "time after a drain is announced until no new GETs go to the host",
        ),
        field(
            "purge-grace",
            Kind::Duration,
            Occurrence::Optional("1s"),
            "time after a purge is announced until no older copy is answered",
        ),
        field(
            "clock-error",
            Kind::Duration,
            Occurrence::Optional("10ms"),
            "maximum difference between the clocks here and at a proxy",
        ),
        field(
            "reports-every",
            Kind::Duration,
            Occurrence::Optional("500ms"),
            "how often proxies report load and outcomes",
        ),
        field(
            "most-proxies",
            Kind::Count,
            Occurrence::Optional("1000"),
            "maximum number of open streams; more are refused",
        ),
        field(
            "zones",
            Kind::Form(&ZONES),
            Occurrence::Optional("no verdicts on zones"),
            "the fleet leaves zones and returns to them together",
        ),
    ],
};

static ZONES: Form = Form {
    has_title: false,
    fields: &[
        field(
            "quorum",
            Kind::Fraction,
            Occurrence::Optional("60%"),
            "fraction of the dispatchers that use a zone that must find it dead",
        ),
        field("least-voters", Kind::Count, Occurrence::Optional("3"), "with fewer votes, no zone is left"),
        field(
            "hold",
            Kind::Duration,
            Occurrence::Optional("3s"),
            "how long a zone that was left is not used before a return is tried",
        ),
        field(
            "tries",
            Kind::Count,
            Occurrence::Optional("3"),
            "reverted steps after which a return is given up",
        ),
    ],
};

static DISPATCHER: Form = Form {
    has_title: false,
    fields: &[
        field("name", Kind::Text, Occurrence::Once, "its name, sent to control services and used in logs"),
        field("listen", Kind::Address, Occurrence::Once, "where fronts connect (FastCGI)"),
        field(
            "change-log",
            Kind::Address,
            Occurrence::Optional("replicas; one of the two is needed"),
            CHANGE_LOG_ABOUT,
        ),
        field(
            "replicas",
            Kind::Form(&REPLICAS),
            Occurrence::Optional("the change log is polled"),
            "the replicas that are polled instead of the change log",
        ),
        field(
            "follow",
            Kind::Address,
            Occurrence::Any,
            "a control service whose verdicts on zones it follows",
        ),
        field(
            "reports-every",
            Kind::Duration,
            Occurrence::Optional("250ms"),
            "how often it reports its observations to them",
        ),
        field(
            "peers",
            Kind::Form(&PEERS),
            Occurrence::Optional("no messages among dispatchers"),
            "the other dispatchers of its fleet",
        ),
        field("memory", Kind::Count, Occurrence::Optional("192"), "maximum memory in megabytes"),
        field("sockets", Kind::Count, Occurrence::Optional("1024"), "maximum number of descriptors"),
        field(
            "streams",
            Kind::Count,
            Occurrence::Optional("100"),
            "concurrent GETs on one connection to a host",
        ),
        field(
            "connect-timeout",
            Kind::Duration,
            Occurrence::Optional("400ms"),
            "time limit for opening a connection to a host",
        ),
        field("idle", Kind::Duration, Occurrence::Optional("15s"), "after which hosts close a connection"),
    ],
};

static PEERS: Form = Form {
    has_title: false,
    fields: &[
        field(
            "listen",
            Kind::Address,
            Occurrence::Once,
            "where other members reach this one, by UDP and TCP",
        ),
        field(
            "reached-at",
            Kind::Address,
            Occurrence::Optional("where it listens"),
            "the address that is sent to other members",
        ),
        field(
            "fleet",
            Kind::Text,
            Occurrence::Once,
            "the name of the fleet; messages of other fleets are refused",
        ),
        field("peer", Kind::Address, Occurrence::AtLeastOnce, "a member to contact first; a few are enough"),
    ],
};

static REPLICAS: Form = Form {
    has_title: false,
    fields: &[
        field("primary", Kind::Address, Occurrence::Once, "the replica that is polled while it answers"),
        field(
            "fallback",
            Kind::Address,
            Occurrence::Once,
            "another replica, polled while the primary does not answer",
        ),
        field(
            "doubt-after",
            Kind::Duration,
            Occurrence::Optional("3s"),
            "time without an answer after which cached copies are not accepted, as purges may have been missed",
        ),
    ],
};

static REPLICA: Form = Form {
    has_title: false,
    fields: &[
        field("name", Kind::Text, Occurrence::Once, "its name among the replicas and in logs"),
        field(
            "listen",
            Kind::Address,
            Occurrence::Once,
            "where dispatchers and other replicas poll (HTTP, not encrypted)",
        ),
        field(
            "peer",
            Kind::Form(&REPLICA_PEER),
            Occurrence::Any,
            "another replica; every replica lists all others",
        ),
        field(
            "source",
            Kind::Address,
            Occurrence::Optional("events come only from peers"),
            "a change log whose events this replica publishes to all others",
        ),
        field(
            "batch",
            Kind::Duration,
            Occurrence::Optional("100ms"),
            "minimum time between two answers with events to one poller; events in between are sent together",
        ),
        field(
            "member-lease",
            Kind::Duration,
            Occurrence::Optional("10s"),
            "how long a purge waits for a dispatcher that has stopped polling before it counts as in force",
        ),
        field(
            "doubt-after",
            Kind::Duration,
            Occurrence::Optional("3s"),
            "the doubt-after of all dispatchers; one without answers for longer serves no cached copy",
        ),
        field(
            "purges-kept",
            Kind::Duration,
            Occurrence::Optional("40s"),
            "how long a purge is kept for late pollers; older ones are no longer sent",
        ),
        field(
            "most-connections",
            Kind::Count,
            Occurrence::Optional("1000"),
            "maximum number of connected pollers; more wait until one disconnects",
        ),
    ],
};

static REPLICA_PEER: Form = Form {
    has_title: false,
    fields: &[
        field("name", Kind::Text, Occurrence::Once, "its name, as in its own file"),
        field("address", Kind::Address, Occurrence::Once, "where it listens"),
    ],
};

static FOOTPRINT: Form = Form {
    has_title: false,
    fields: &[
        field(
            "zone",
            Kind::Form(&ZONE),
            Occurrence::AtLeastOnce,
            "a location; the order determines its number",
        ),
        field("here", Kind::Text, Occurrence::Once, "the zone whose caches are chosen"),
        field("also", Kind::Text, Occurrence::Any, "a further zone whose caches are chosen"),
        field(
            "cache-kind",
            Kind::Text,
            Occurrence::Optional("\"standard\""),
            "the kind of a cache in the list of hosts",
        ),
        field(
            "parent-kind",
            Kind::Text,
            Occurrence::Optional("\"parent\""),
            "the kind of a parent in the list of hosts",
        ),
        field(
            "origin-kind",
            Kind::Text,
            Occurrence::Optional("\"origin\""),
            "the kind of the origin in the list of hosts",
        ),
        field("parents", Kind::Flag, Occurrence::Optional("yes"), "whether there is a tier of parents"),
        field(
            "instances",
            Kind::Number,
            Occurrence::Optional("1"),
            "services and dispatchers that share the origin",
        ),
        field(
            "transfer-pace",
            Kind::TransferRate,
            Occurrence::Once,
            "the rate of one transfer at full speed",
        ),
        field(
            "link-pace",
            Kind::TransferRate,
            Occurrence::Optional("unknown"),
            "the transfer rate of the link into this zone",
        ),
        field(
            "origin-rate",
            Kind::Rate,
            Occurrence::Optional("unknown"),
            "fills that the origin can serve to all instances together",
        ),
        field("cache-start", Kind::Form(&START), Occurrence::Once, "the capacity of a cache after its start"),
        field(
            "parent-start",
            Kind::Form(&START),
            Occurrence::Optional("as a cache"),
            "the capacity of a parent after its start",
        ),
        field(
            "purged-within",
            Kind::Duration,
            Occurrence::Optional("6s"),
            "time after a purge until no older copy exists anywhere",
        ),
        field("tick", Kind::Duration, Occurrence::Optional("2ms"), "the resolution of times"),
        field("forwards", Kind::Count, Occurrence::Optional("3"), "maximum number of forwards of one GET"),
        field(
            "dispatchers",
            Kind::Number,
            Occurrence::Optional("1"),
            "dispatchers of this location, which share its hosts",
        ),
        field(
            "fills-joined",
            Kind::Flag,
            Occurrence::Optional("yes"),
            "whether caches join fills of the same object",
        ),
        field(
            "fills-called-off",
            Kind::Flag,
            Occurrence::Optional("yes"),
            "whether a fill ends when no GET waits for it",
        ),
        field(
            "straight",
            Kind::Flag,
            Occurrence::Optional("no"),
            "whether GETs that are passed on bypass the caches on their way to the origin",
        ),
    ],
};

static ZONE: Form = Form {
    has_title: true,
    fields: &[
        field("hub", Kind::Count, Occurrence::Optional("0"), "the number of its hub"),
        field(
            "bears",
            Kind::Rate,
            Occurrence::Optional("unknown"),
            "GETs that its caches can serve when warm",
        ),
    ],
};

static START: Form = Form {
    has_title: false,
    fields: &[
        field("share", Kind::Fraction, Occurrence::Once, "fraction of its capacity right after its start"),
        field("warm-within", Kind::Duration, Occurrence::Once, "time until it has its full capacity"),
        field(
            "falls-at",
            Kind::Number,
            Occurrence::Optional("2"),
            "multiple of its capacity that overloads it until it fails",
        ),
        field("falls-in", Kind::Duration, Occurrence::Optional("1s"), "how long it withstands that load"),
    ],
};

static SERVICE: Form = Form {
    has_title: true,
    fields: &[
        field("objective", Kind::Duration, Occurrence::Once, "latency objective"),
        field(
            "stretch",
            Kind::Number,
            Occurrence::Optional("1"),
            "seconds that each second of transfer time adds to the objective",
        ),
        field("timeout", Kind::Duration, Occurrence::Once, "viewer timeout"),
        field("fresh", Kind::Duration, Occurrence::Optional("until purged"), "how long a copy is fresh"),
        field(
            "grace",
            Kind::Duration,
            Occurrence::Optional("none"),
            "how much longer a copy may be answered while the origin is busy",
        ),
        field(
            "effect",
            Kind::OneOf(&["idempotent", "non-idempotent", "tokened"]),
            Occurrence::Optional("idempotent"),
            "the effect of a second run: none, harmful, or none within a group and window",
        ),
        field(
            "passed-on",
            Kind::Flag,
            Occurrence::Optional("no"),
            "whether it is forwarded to the origin and never answered from a copy",
        ),
        field(
            "token-group",
            Kind::OneOf(&["all", "zone", "cell"]),
            Occurrence::Optional("cell"),
            "where repeats are dropped",
        ),
        field("token-window", Kind::Duration, Occurrence::Optional("none"), "how long repeats are dropped"),
    ],
};

static HOST: Form = Form {
    has_title: true,
    fields: &[
        field("address", Kind::Address, Occurrence::Once, "where it listens"),
        field("zone", Kind::Text, Occurrence::Once, "its zone"),
        field("kind", Kind::OneOf(&["cache", "parent", "origin"]), Occurrence::Once, "the kind of host"),
        field("weight", Kind::Number, Occurrence::Optional("1"), "its size relative to the others"),
        field("cell", Kind::Count, Occurrence::Optional("0"), "the cell that it belongs to"),
        field(
            "standing",
            Kind::OneOf(&["on", "draining"]),
            Occurrence::Optional("on"),
            "draining: no new GETs go to it",
        ),
        field("started-unix-ms", Kind::Count, Occurrence::Optional("long ago"), "when it last started"),
    ],
};

/// Settings of the control service.
#[derive(Clone, Debug, PartialEq)]
pub struct ControlSettings {
    pub name: String,
    pub listen: SocketAddr,
    pub change_log: Option<SocketAddr>,
    pub drain_grace: Duration,
    pub purge_grace: Duration,
    pub clock_error: Duration,
    pub report_interval: Duration,
    pub max_proxies: usize,
    pub zones: Option<ZoneSettings>,
}

/// Settings of leaving zones and returning to them as a fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ZoneSettings {
    pub quorum: f64,
    pub min_voters: u32,
    pub hold: Duration,
    pub max_step_backs: u32,
}

/// A zone whose caches are chosen here.
#[derive(Clone, Debug, PartialEq)]
pub struct ServedZone {
    pub name: String,
    /// Index among the zones of the footprint.
    pub index: usize,
    /// GETs per second that its caches can serve; zero if unknown.
    pub capacity_per_s: f64,
}

/// Settings of a dispatcher that follows control services.
#[derive(Clone, Debug, PartialEq)]
pub struct DispatcherSettings {
    pub name: String,
    pub listen: SocketAddr,
    /// The change log, or the primary replica.
    pub change_log: SocketAddr,
    pub replicas: Option<ReplicaClientSettings>,
    pub control_services: Vec<SocketAddr>,
    pub report_interval: Duration,
    pub memory_mb: usize,
    pub max_descriptors: usize,
    pub peers: Option<MembershipSettings>,
}

/// The replicas that a dispatcher polls instead of the change log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplicaClientSettings {
    pub primary: SocketAddr,
    pub fallback: SocketAddr,
    /// Time without an answer after which cached copies are not accepted.
    pub purges_unknown_after: Duration,
}

/// Settings of a replica of the change log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaSettings {
    pub name: String,
    pub listen: SocketAddr,
    /// The other replicas.
    pub peers: Vec<ReplicaPeer>,
    /// The change log whose events it publishes.
    pub source: Option<SocketAddr>,
    pub batch_interval: Duration,
    pub member_lease: Duration,
    /// Time without an answer after which dispatchers accept no cached copies.
    pub purges_unknown_after: Duration,
    pub purge_retention: Duration,
    pub max_connections: usize,
}

/// Another replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaPeer {
    pub name: String,
    pub address: SocketAddr,
}

/// Settings of a dispatcher as a member of its fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct MembershipSettings {
    pub listen: SocketAddr,
    pub advertised_address: Option<SocketAddr>,
    pub fleet: String,
    pub peers: Vec<SocketAddr>,
    /// Configured number of dispatchers and services that share the origin.
    pub origin_sharers: usize,
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
    pub is_draining: bool,
    pub started_unix_ms: f64,
}

/// The settings of an operator file.
#[derive(Clone, Debug, PartialEq)]
pub struct OperatorFile {
    pub log_format: logs::LogFormat,
    pub log_level: LevelFilter,
    pub control: Option<ControlSettings>,
    pub dispatcher: Option<DispatcherSettings>,
    pub replica: Option<ReplicaSettings>,
    /// Zones whose caches are chosen here, in the order of their numbers.
    pub zones: Vec<ServedZone>,
    /// Names of the delivery services, in order.
    pub services: Vec<String>,
    pub hosts: Vec<ListedHost>,
    /// Settings of the decision module.
    pub decision_settings: Map<String, Json>,
}

/// Stands in for an address that is missing, which is reported as an error.
const NO_ADDRESS: SocketAddr = SocketAddr::V4(std::net::SocketAddrV4::new(std::net::Ipv4Addr::LOCALHOST, 0));

fn milliseconds(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1e3
}

impl OperatorFile {
    /// Reads the settings of a checked file. A missing field that is needed is an error already, so any value stands in for it
    /// here.
    pub fn from_form(file: &CheckedForm, errors: &mut Vec<FileError>) -> Self {
        let none = CheckedForm::default();
        let form = |name: &str| file.forms(name).next().unwrap_or(&none);
        let (log, footprint) = (form("log"), form("footprint"));
        let (control, dispatcher) = (file.forms("control").next(), file.forms("dispatcher").next());
        let replica = file.forms("replica").next();
        let services: Vec<_> = file.forms("delivery-service").collect();
        let is_replica_alone = replica.is_some() && control.is_none() && dispatcher.is_none();
        if !is_replica_alone {
            let needed = [("footprint", FOOTPRINT_ABOUT), ("delivery-service", SERVICE_ABOUT)];
            for (name, about) in needed.into_iter().filter(|(name, _)| file.forms(name).next().is_none()) {
                errors.push(FileError { at: file.at, message: missing_field("the file", name, about) });
            }
        }
        if control.is_none() && dispatcher.is_none() && replica.is_none() {
            let message = "the file has no service: add control (the control service), dispatcher (one that follows it) \
                or replica (a replica of the change log)";
            errors.push(FileError { at: file.at, message: message.into() });
        }
        let kinds = ["cache", "parent", "origin"].map(|kind| {
            let default_kind = if kind == "cache" { "standard" } else { kind };
            footprint.text(&format!("{kind}-kind")).unwrap_or(default_kind).to_owned()
        });
        let hosts = read_hosts(file, footprint, &kinds, errors);
        check_unique_names(&services, errors);
        let zones = served_zones(footprint, errors);
        Self {
            log_format: log.text("form").and_then(logs::LogFormat::from_name).unwrap_or_default(),
            log_level: log.text("level").and_then(|level| level.parse().ok()).unwrap_or(LevelFilter::Info),
            control: control.map(|control| read_control(control, errors)),
            dispatcher: dispatcher.map(|form| read_dispatcher(form, footprint, errors)),
            replica: replica.map(|form| read_replica(form, errors)),
            services: services.iter().map(|service| service.title.clone()).collect(),
            decision_settings: decision_settings(
                footprint,
                dispatcher.unwrap_or(&none),
                &kinds,
                (&services, &zones),
                errors,
            ),
            zones,
            hosts,
        }
    }
}

/// Reports each name that an earlier form has already.
fn check_unique_names(forms: &[&CheckedForm], errors: &mut Vec<FileError>) {
    for (index, form) in forms.iter().enumerate() {
        if let Some(first) = forms[..index].iter().find(|first| first.title == form.title) {
            let message = format!(
                "duplicate name {:?}: it is already on line {}, choose another",
                form.title, first.at.line
            );
            errors.push(FileError { at: form.at, message });
        }
    }
}

fn read_control(control: &CheckedForm, errors: &mut Vec<FileError>) -> ControlSettings {
    let duration =
        |name: &str, default_ms: u64| control.duration(name).unwrap_or(Duration::from_millis(default_ms));
    let settings = ControlSettings {
        name: control.text("name").unwrap_or_default().to_owned(),
        listen: control.address("listen").unwrap_or(NO_ADDRESS),
        change_log: control.address("change-log"),
        drain_grace: duration("drain-grace", 250),
        purge_grace: duration("purge-grace", 1000),
        clock_error: duration("clock-error", 10),
        report_interval: duration("reports-every", 500),
        max_proxies: control.count("most-proxies").unwrap_or(1000) as usize,
        zones: control.forms("zones").next().map(|zones| ZoneSettings {
            quorum: zones.number("quorum").unwrap_or(0.6),
            min_voters: zones.count("least-voters").unwrap_or(3) as u32,
            hold: zones.duration("hold").unwrap_or(Duration::from_secs(3)),
            max_step_backs: zones.count("tries").unwrap_or(3) as u32,
        }),
    };
    let mut refuse = |name: &str, message: &str| {
        errors.push(FileError { at: control.position(name), message: message.into() })
    };
    if !settings.listen.ip().is_loopback() {
        refuse(
            "listen",
            "listen is not a loopback address: connections are not encrypted, use a loopback address",
        );
    }
    if settings.drain_grace.min(settings.purge_grace) <= settings.clock_error * 4 {
        refuse(
            "clock-error",
            "clock-error is a quarter of a grace or more, which leaves no time for a lease: lower it or raise the grace",
        );
    }
    if settings.report_interval < Duration::from_millis(10) {
        refuse("reports-every", "reports-every is below 10ms: raise it");
    }
    if settings.max_proxies == 0 {
        refuse("most-proxies", "most-proxies is zero: raise it");
    }
    if settings.zones.is_some_and(|zones| zones.quorum <= 0.5) {
        refuse("zones", "quorum is half or less, so two halves could disagree on a zone: raise it");
    }
    settings
}

fn read_dispatcher(
    form: &CheckedForm,
    footprint: &CheckedForm,
    errors: &mut Vec<FileError>,
) -> DispatcherSettings {
    let count = |name: &str, default: u64| form.count(name).unwrap_or(default) as usize;
    let replicas = read_replicas(form, errors);
    let settings = DispatcherSettings {
        name: form.text("name").unwrap_or_default().to_owned(),
        listen: form.address("listen").unwrap_or(NO_ADDRESS),
        change_log: form
            .address("change-log")
            .or(replicas.map(|replicas| replicas.primary))
            .unwrap_or(NO_ADDRESS),
        replicas,
        control_services: form.addresses("follow").collect(),
        report_interval: form.duration("reports-every").unwrap_or(Duration::from_millis(250)),
        memory_mb: count("memory", 192),
        max_descriptors: count("sockets", 1024),
        peers: form.forms("peers").next().map(|peers| MembershipSettings {
            listen: peers.address("listen").unwrap_or(NO_ADDRESS),
            advertised_address: peers.address("reached-at"),
            fleet: peers.text("fleet").unwrap_or_default().to_owned(),
            peers: peers.addresses("peer").collect(),
            origin_sharers: footprint.number("instances").unwrap_or(1.0).max(1.0) as usize,
        }),
    };
    let mut refuse = |name: &str, message: &str| {
        errors.push(FileError { at: form.position(name), message: message.into() })
    };
    if settings.report_interval < Duration::from_millis(10) {
        refuse("reports-every", "reports-every is below 10ms: raise it");
    }
    if settings.memory_mb < 32 {
        refuse("memory", "memory is below 32 megabytes: raise it");
    }
    if settings
        .peers
        .as_ref()
        .is_some_and(|peers| peers.listen.port() == 0 && peers.advertised_address.is_none())
    {
        refuse(
            "peers",
            "listen names no port: others could not be told where to reach this one; name a port",
        );
    }
    if settings.max_descriptors < 64 {
        refuse("sockets", "sockets is below 64: raise it");
    }
    settings
}

/// Reads the replicas that a dispatcher polls. It polls either the replicas or the change log, not both.
fn read_replicas(dispatcher: &CheckedForm, errors: &mut Vec<FileError>) -> Option<ReplicaClientSettings> {
    let has_change_log = dispatcher.values.iter().any(|(name, ..)| *name == "change-log");
    let Some(form) = dispatcher.forms("replicas").next() else {
        if !has_change_log {
            let message = missing_field("dispatcher", "change-log", CHANGE_LOG_ABOUT);
            errors.push(FileError { at: dispatcher.at, message });
        }
        return None;
    };
    let settings = ReplicaClientSettings {
        primary: form.address("primary").unwrap_or(NO_ADDRESS),
        fallback: form.address("fallback").unwrap_or(NO_ADDRESS),
        purges_unknown_after: form.duration("doubt-after").unwrap_or(Duration::from_secs(3)),
    };
    let mut refuse = |at: Position, message: &str| errors.push(FileError { at, message: message.into() });
    if has_change_log {
        refuse(
            form.at,
            "replicas and change-log are both set: a dispatcher polls only one of them, remove the other",
        );
    }
    let addresses = form.address("primary").zip(form.address("fallback"));
    if addresses.is_some_and(|(primary, fallback)| primary == fallback) {
        refuse(form.position("fallback"), "fallback is the same replica as primary: name another one");
    }
    if settings.purges_unknown_after < MIN_DOUBT_AFTER {
        refuse(form.position("doubt-after"), DOUBT_AFTER_RULE);
    }
    Some(settings)
}

fn read_replica(form: &CheckedForm, errors: &mut Vec<FileError>) -> ReplicaSettings {
    let duration = |name: &str, default: Duration| form.duration(name).unwrap_or(default);
    let peers: Vec<_> = form.forms("peer").collect();
    let settings = ReplicaSettings {
        name: form.text("name").unwrap_or_default().to_owned(),
        listen: form.address("listen").unwrap_or(NO_ADDRESS),
        peers: peers.iter().map(|peer| read_replica_peer(peer)).collect(),
        source: form.address("source"),
        batch_interval: duration("batch", Duration::from_millis(100)),
        member_lease: duration("member-lease", Duration::from_secs(10)),
        purges_unknown_after: duration("doubt-after", Duration::from_secs(3)),
        purge_retention: duration("purges-kept", Duration::from_secs(40)),
        max_connections: form.count("most-connections").unwrap_or(1000) as usize,
    };
    let mut refuse = |at: Position, message: String| errors.push(FileError { at, message });
    if !is_query_name(&settings.name) {
        refuse(form.position("name"), format!("name {QUERY_NAME_RULE}"));
    }
    for (peer_form, peer) in peers.iter().zip(&settings.peers) {
        let is_itself = peer.name == settings.name || form.address("listen") == Some(peer.address);
        if is_itself {
            refuse(peer_form.at, "peer is this replica itself: name the others alone".into());
        }
        if !is_query_name(&peer.name) {
            refuse(peer_form.position("name"), format!("name {QUERY_NAME_RULE}"));
        }
    }
    for (index, peer_form) in peers.iter().enumerate() {
        let is_same = |other: &&&CheckedForm| {
            other.text("name") == peer_form.text("name")
                || other.address("address") == peer_form.address("address")
        };
        if let Some(first) = peers[..index].iter().find(is_same) {
            refuse(
                peer_form.at,
                format!("duplicate peer: it is already on line {}, remove one", first.at.line),
            );
        }
    }
    if form.address("source").is_some_and(|source| source == settings.listen) {
        refuse(
            form.position("source"),
            "source is this replica itself: name the platform's change log".into(),
        );
    }
    if settings.batch_interval > MAX_BATCH {
        refuse(
            form.position("batch"),
            "batch is above 1s: pollers treat a replica without answers for that long as removed, lower it"
                .into(),
        );
    }
    if settings.purges_unknown_after < MIN_DOUBT_AFTER {
        refuse(form.position("doubt-after"), DOUBT_AFTER_RULE.into());
    }
    if settings.member_lease <= settings.purges_unknown_after {
        let message = "member-lease is not above doubt-after: a dispatcher that is no longer waited for could still serve copies, raise it";
        refuse(form.position("member-lease"), message.into());
    }
    if settings.purge_retention <= settings.member_lease {
        let message = "purges-kept is not above member-lease: a dispatcher that is still a member could miss a purge, raise it";
        refuse(form.position("purges-kept"), message.into());
    }
    if settings.max_connections == 0 {
        refuse(
            form.position("most-connections"),
            "most-connections is zero: no dispatcher could poll, raise it".into(),
        );
    }
    settings
}

fn read_replica_peer(form: &CheckedForm) -> ReplicaPeer {
    ReplicaPeer {
        name: form.text("name").unwrap_or_default().to_owned(),
        address: form.address("address").unwrap_or(NO_ADDRESS),
    }
}

/// Shortest allowed time without an answer: within it a dispatcher may not have switched to its fallback yet.
const MIN_DOUBT_AFTER: Duration = Duration::from_secs(1);
/// Longest delay of an answer, which is shorter than the time after which pollers give up.
const MAX_BATCH: Duration = Duration::from_secs(1);
const DOUBT_AFTER_RULE: &str = "doubt-after is below 1s: switching to the fallback takes that long and copies would not be accepted meanwhile, raise it";

/// The rule for names that are part of the query of a poll.
const QUERY_NAME_RULE: &str =
    "is not 1 to 64 letters, digits, '-', '_' and '.': it is sent in polls without escaping, choose another";
const MAX_QUERY_NAME_BYTES: usize = 64;

fn is_query_name(name: &str) -> bool {
    let is_plain = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    (1..=MAX_QUERY_NAME_BYTES).contains(&name.len()) && name.bytes().all(is_plain)
}

/// The zones whose caches are chosen: `here`, and those in `also`.
fn served_zones(footprint: &CheckedForm, errors: &mut Vec<FileError>) -> Vec<ServedZone> {
    let here = footprint.text("here").into_iter();
    let also: Vec<_> = footprint.texts("also").collect();
    let zones: Vec<_> = footprint.forms("zone").collect();
    for name in &also {
        if !zones.iter().any(|zone| zone.title == **name) {
            let message =
                format!("also {name:?} is not a zone of the footprint: add the zone or correct the name");
            errors.push(FileError { at: footprint.position("also"), message });
        }
    }
    let names: Vec<_> = here.chain(also).collect();
    let served = zones.iter().enumerate().filter(|(_, zone)| names.contains(&zone.title.as_str()));
    let served_zones = served.map(|(index, zone)| ServedZone {
        name: zone.title.clone(),
        index,
        capacity_per_s: zone.number("bears").unwrap_or(0.0),
    });
    served_zones.collect()
}

fn read_hosts(
    file: &CheckedForm,
    footprint: &CheckedForm,
    kinds: &[String; 3],
    errors: &mut Vec<FileError>,
) -> Vec<ListedHost> {
    let listed: Vec<_> = file.forms("host").collect();
    check_unique_names(&listed, errors);
    let zones: Vec<_> = footprint.forms("zone").map(|zone| zone.title.as_str()).collect();
    let mut hosts = Vec::with_capacity(listed.len());
    for host in listed {
        let zone = host.text("zone").unwrap_or_default();
        if !zone.is_empty() && !zones.contains(&zone) {
            let message =
                format!("zone {zone:?} is not a zone of the footprint: add the zone or correct the name");
            errors.push(FileError { at: host.position("zone"), message });
        }
        let kind = match host.text("kind") {
            Some("parent") => &kinds[1],
            Some("origin") => &kinds[2],
            _ => &kinds[0],
        };
        hosts.push(ListedHost {
            name: host.title.clone(),
            address: host.address("address").unwrap_or(NO_ADDRESS),
            zone: zone.to_owned(),
            kind: kind.clone(),
            weight: host.number("weight").unwrap_or(1.0),
            cell: host.count("cell").unwrap_or(0),
            is_draining: host.text("standing") == Some("draining"),
            started_unix_ms: host.count("started-unix-ms").unwrap_or(0) as f64,
        });
    }
    hosts
}

/// The settings of the decision module, under the names that it reads.
fn decision_settings(
    footprint: &CheckedForm,
    dispatcher: &CheckedForm,
    kinds: &[String; 3],
    (services, served): (&[&CheckedForm], &[ServedZone]),
    errors: &mut Vec<FileError>,
) -> Map<String, Json> {
    let zones: Vec<_> = footprint.forms("zone").collect();
    check_unique_names(&zones, errors);
    let here = footprint.text("here").unwrap_or_default();
    let my_zone = zones.iter().position(|zone| zone.title == here);
    if my_zone.is_none() && footprint.text("here").is_some() {
        errors.push(FileError {
            at: footprint.position("here"),
            message: format!(
                "here {here:?} is not a zone of the footprint: add the zone or correct the name"
            ),
        });
    }
    let my_zone = my_zone.unwrap_or(0);
    let none = CheckedForm::default();
    let cache = footprint.forms("cache-start").next().unwrap_or(&none);
    let parent = footprint.forms("parent-start").next().unwrap_or(cache);
    let warm_within_ms =
        |start: &CheckedForm| milliseconds(start.duration("warm-within").unwrap_or_default());
    let falls_at = |start: &CheckedForm| start.number("falls-at").unwrap_or(2.0);
    let for_each_service = |value: &dyn Fn(&CheckedForm) -> Json| {
        services.iter().map(|service| value(service)).collect::<Vec<_>>()
    };
    let classes = for_each_service(&|service| {
        let duration_ms = |name: &str| milliseconds(service.duration(name).unwrap_or_default());
        let effect = match service.text("effect") {
            Some("non-idempotent") => "at_most_once",
            Some("tokened") => "deduplicated",
            _ => "idempotent",
        };
        json!({"name": service.title, "aim_ms": duration_ms("objective"), "deadline_ms": duration_ms("timeout"), "effect": effect,
            "aim_stretch": service.number("stretch").unwrap_or(1.0), "key_ttl_ms": duration_ms("token-window"),
            "group": service.text("token-group").unwrap_or("cell")})
    });
    let durations_ms = |name: &str| {
        for_each_service(&|service| milliseconds(service.duration(name).unwrap_or_default()).into())
    };
    let dispatchers = footprint.number("dispatchers").unwrap_or(1.0);
    let mut dispatchers_by_zone = vec![json!(0); zones.len()];
    if let Some(count) = dispatchers_by_zone.get_mut(my_zone) {
        *count = json!(dispatchers);
    }
    let mut link_kb_per_s = vec![json!(0.0); zones.len()];
    if let (Some(link), Some(rate)) = (link_kb_per_s.get_mut(my_zone), footprint.number("link-pace")) {
        *link = json!(rate);
    }
    let has_parents = footprint.flag("parents").unwrap_or(true);
    let mut domain = json!({
        "count_by_zone": dispatchers_by_zone, "feed_kb_per_s": link_kb_per_s, "shares_fills": footprint.flag("fills-joined").unwrap_or(true),
        "pass_through_ok": footprint.flag("straight").unwrap_or(false),
        "hub_of": zones.iter().map(|zone| zone.count("hub").unwrap_or(0)).collect::<Vec<_>>(),
        "shield_kind": if has_parents { 1 } else { -1 }, "master_kind": 2, "note_level": "all",
        "flow_kb_per_s": footprint.number("transfer-pace").unwrap_or(0.0),
        "lifetime_by_class_ms": durations_ms("fresh"), "grace_for_ms": durations_ms("grace"),
        "pass_on": for_each_service(&|service| service.flag("passed-on").unwrap_or(false).into()),
        "parent_floor": parent.number("share").unwrap_or(1.0), "parent_cold_ms": warm_within_ms(parent),
        "parent_breaks_at": falls_at(parent),
        "gone_everywhere_ms": milliseconds(footprint.duration("purged-within").unwrap_or(Duration::from_secs(6))),
    });
    if let Some(rate) = footprint.number("origin-rate") {
        domain["origin_rate_per_s"] = json!(rate);
    }
    let settings = json!({
        "balancers": footprint.number("instances").unwrap_or(1.0).max(dispatchers), "my_zone": my_zone,
        "serves": served.iter().map(|zone| zone.index).collect::<Vec<_>>(), "discovery": "pushed",
        "weights": "rough", "resolution_ms": milliseconds(footprint.duration("tick").unwrap_or(Duration::from_millis(2))),
        "zones": zones.iter().map(|zone| zone.title.as_str()).collect::<Vec<_>>(), "kinds": kinds,
        "classes": classes, "domain": domain,
        "limits": {"cancel": footprint.flag("fills-called-off").unwrap_or(true),
            "streams_per_conn": dispatcher.count("streams").unwrap_or(100),
            "connect_timeout_ms": milliseconds(dispatcher.duration("connect-timeout").unwrap_or(Duration::from_millis(400))),
            "conn_idle_ms": milliseconds(dispatcher.duration("idle").unwrap_or(Duration::from_secs(15))), "retry_after": true, "max_retry_after_ms": 2000.0,
            "max_attempts": footprint.count("forwards").unwrap_or(3)},
        "obligations": {"start_capacity": cache.number("share").unwrap_or(1.0), "warm_within_ms": warm_within_ms(cache),
            "fall_multiple": falls_at(cache), "fall_ms": milliseconds(cache.duration("falls-in").unwrap_or(Duration::from_secs(1)))},
    });
    match settings {
        Json::Object(settings) => settings,
        _ => Map::new(),
    }
}

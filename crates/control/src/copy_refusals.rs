//! Copies that proxies must refuse because purges may be in force that the control service has not received: as they are
//! published, and when. Does no I/O and reads no clock.
//!
//! A refusal names the time from which it is in force, and is published some time before. So it takes effect on a proxy that
//! is cut off meanwhile, and a proxy that did not receive it has no lease any more once it is in force. If the change log is
//! heard before that time, it is withdrawn. If the change log is heard before it would have been published, nothing is sent.

use crate::lease::{Lease, MAX_SEND_DELAY};
use crate::messages;
use crate::resource_cache::{Resource, Version};
use crate::struct_fields::{fields, list_field, list_value, number_field, number_value, struct_of};
use envoy_types::pb::google::protobuf::{Struct, Value};
use myrtlegauge::purge_news::{AgeRefusal, CopyRefusal, PurgeNews, RefusalForecast};
use std::time::Duration;

/// The resource name of the refusals.
pub const COPY_REFUSALS: &str = "copy-refusals";
/// The client feature by which a proxy tells in its node that it obeys the refusals.
pub const COPY_REFUSALS_FEATURE: &str = "myrtlegauge.copy-refusals";

/// Time from when a refusal is due to be published until it is, on a busy machine: some iterations of the event loop.
const PUBLISH_MARGIN: Duration = Duration::from_millis(100);
/// Refusals that come into force within this time after the next one are published with it, so that a change log that
/// breaks off again and again does not cause a message each time.
const MERGE_TIME: Duration = Duration::from_millis(1000);

/// Copies from before a time that are refused from a time until a time, in Unix milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    pub copies_before_unix_ms: u64,
    pub start: RefusalStart,
    /// From this time on, no such copy exists anywhere.
    pub until_unix_ms: u64,
}

/// Copies older than an age that are refused from a time on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AgeLimit {
    pub max_age_ms: u64,
    pub start: RefusalStart,
}

/// When a refusal comes into force: at a time, and this long after it was received at the latest. The latter binds where
/// a clock was stepped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RefusalStart {
    pub unix_ms: u64,
    pub delay_ms: u64,
}

/// The refusals as they are published to proxies. The `Debug` text is hashed into versions, as for
/// [`crate::messages::HostLine`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CopyRefusals {
    pub refusals: Vec<Refusal>,
    pub age_limit: Option<AgeLimit>,
}

impl CopyRefusals {
    /// Whether no copies are refused.
    pub fn is_empty(&self) -> bool {
        self.refusals.is_empty() && self.age_limit.is_none()
    }

    /// When the first refusal comes into force; `None` if no copies are refused.
    pub fn starts_at_unix_ms(&self) -> Option<u64> {
        let starts = self.refusals.iter().map(|refusal| refusal.start);
        starts.chain(self.age_limit.map(|limit| limit.start)).map(|start| start.unix_ms).min()
    }

    /// The resource to publish.
    pub fn to_resource(&self) -> Resource {
        Resource {
            version: Version::new(0, 0, format!("{self:?}").as_bytes()),
            body: self.encode_notice().into(),
            is_leased: false,
        }
    }

    /// Encodes the refusals as a notice resource.
    pub fn encode_notice(&self) -> Vec<u8> {
        let refusals = self.refusals.iter().map(|refusal| {
            fields([
                ("copies_before_unix_ms", number_value(refusal.copies_before_unix_ms as f64)),
                ("from_unix_ms", number_value(refusal.start.unix_ms as f64)),
                ("from_in_ms", number_value(refusal.start.delay_ms as f64)),
                ("until_unix_ms", number_value(refusal.until_unix_ms as f64)),
            ])
        });
        let age_limits = self.age_limit.iter().map(|limit| {
            fields([
                ("max_age_ms", number_value(limit.max_age_ms as f64)),
                ("from_unix_ms", number_value(limit.start.unix_ms as f64)),
                ("from_in_ms", number_value(limit.start.delay_ms as f64)),
            ])
        });
        let lists = fields([
            ("refusals", list_value(refusals.collect())),
            ("age_limits", list_value(age_limits.collect())),
        ]);
        messages::notice(COPY_REFUSALS, lists)
    }

    /// Decodes the fields of a notice. The error names a missing or invalid item.
    pub fn from_fields(fields: &Struct) -> Result<Self, &'static str> {
        let list = |name: &str| list_field(fields, name).ok_or("copy refusals lack a list");
        let refusals = list("refusals")?.iter().map(Refusal::from_value).collect::<Result<_, _>>()?;
        let age_limit = list("age_limits")?.first().map(AgeLimit::from_value).transpose()?;
        Ok(Self { refusals, age_limit })
    }

    /// The refusals as a proxy applies them that receives them at a time. No copy is younger than that time, whatever the
    /// clock of the control service says.
    pub fn received_at(mut self, now_ms: u64) -> Self {
        for refusal in &mut self.refusals {
            let lifetime_ms = refusal.until_unix_ms.saturating_sub(refusal.copies_before_unix_ms);
            refusal.copies_before_unix_ms = refusal.copies_before_unix_ms.min(now_ms);
            refusal.until_unix_ms = refusal.copies_before_unix_ms.saturating_add(lifetime_ms);
            refusal.start.limit(now_ms);
        }
        if let Some(limit) = &mut self.age_limit {
            limit.start.limit(now_ms);
        }
        self
    }

    /// The time before which copies are refused now, in Unix milliseconds.
    pub fn copies_before_unix_ms(&self, now_ms: u64) -> Option<u64> {
        let in_force = self.refusals.iter().filter(|refusal| refusal.is_in_force(now_ms));
        let by_time = in_force.map(|refusal| refusal.copies_before_unix_ms).max();
        let limit = self.age_limit.filter(|limit| now_ms >= limit.start.unix_ms);
        by_time.max(limit.map(|limit| now_ms.saturating_sub(limit.max_age_ms)))
    }
}

impl Refusal {
    fn is_in_force(&self, now_ms: u64) -> bool {
        (self.start.unix_ms..self.until_unix_ms).contains(&now_ms)
    }

    fn from_value(value: &Value) -> Result<Self, &'static str> {
        let number = |name: &str| ms_field(value, name).ok_or("copy refusal lacks a time");
        Ok(Self {
            copies_before_unix_ms: number("copies_before_unix_ms")?,
            start: RefusalStart::from_value(value)?,
            until_unix_ms: number("until_unix_ms")?,
        })
    }
}

impl AgeLimit {
    fn from_value(value: &Value) -> Result<Self, &'static str> {
        let max_age_ms = ms_field(value, "max_age_ms").ok_or("age limit of copies lacks its age")?;
        Ok(Self { max_age_ms, start: RefusalStart::from_value(value)? })
    }
}

impl RefusalStart {
    /// Brings it forward to the delay after the time at which it was received.
    fn limit(&mut self, received_ms: u64) {
        self.unix_ms = self.unix_ms.min(received_ms.saturating_add(self.delay_ms));
    }

    fn from_value(value: &Value) -> Result<Self, &'static str> {
        let number = |name: &str| ms_field(value, name).ok_or("refusal of copies lacks its start");
        Ok(Self { unix_ms: number("from_unix_ms")?, delay_ms: number("from_in_ms")? })
    }
}

fn ms_field(value: &Value, name: &str) -> Option<u64> {
    number_field(struct_of(value)?, name).map(|ms| ms as u64)
}

/// Converts times of the control service to Unix time, by the difference of its clocks at this moment.
#[derive(Clone, Copy, Debug)]
pub struct ClockReading {
    pub now: Duration,
    pub unix_ms: u64,
}

impl ClockReading {
    fn to_unix_ms(self, time: Duration) -> u64 {
        let (ahead, behind) = (time.saturating_sub(self.now), self.now.saturating_sub(time));
        let ahead_ms = u64::try_from(ahead.as_millis()).unwrap_or(u64::MAX);
        self.unix_ms.saturating_add(ahead_ms).saturating_sub(behind.as_millis() as u64)
    }
}

/// Decides when refusals are published.
#[derive(Clone, Debug)]
pub struct RefusalPlanner {
    /// How long before it is in force a refusal is published.
    lead: Duration,
    clock_error: Duration,
    max_copy_lifetime: Duration,
    published: RefusalForecast,
}

impl RefusalPlanner {
    /// Creates a planner that has published nothing.
    pub fn new(lease: Lease, clock_error: Duration, max_copy_lifetime: Duration) -> Self {
        Self {
            lead: lead(lease, clock_error),
            clock_error,
            max_copy_lifetime,
            published: RefusalForecast::default(),
        }
    }

    /// The refusals to publish in place of those published before, if others are needed now.
    pub fn update(&mut self, purge_news: &PurgeNews, now: Duration) -> Option<RefusalForecast> {
        let due = purge_news.forecast(now, now + self.lead);
        let next = if due == RefusalForecast::default() {
            due
        } else {
            purge_news.forecast(now, now + self.lead + MERGE_TIME)
        };
        let is_needed = !covers(&self.published, &due) || exceeds(&self.published, &next);
        if !is_needed {
            return None;
        }
        self.published = next;
        Some(next)
    }

    /// The refusals in the clock of the proxies, which may differ by the clock error. They are in force early enough that
    /// a GET that was decided before reaches its host in time.
    pub fn to_published(&self, forecast: &RefusalForecast, clock: ClockReading) -> CopyRefusals {
        let start = |from: Duration| {
            let from = from.saturating_sub(self.clock_error + MAX_SEND_DELAY);
            let delay = from.saturating_sub(clock.now);
            RefusalStart { unix_ms: clock.to_unix_ms(from), delay_ms: delay.as_millis() as u64 }
        };
        // Rounded up to whole milliseconds.
        let margin = self.clock_error + Duration::from_millis(1);
        let refusal = |refusal: CopyRefusal| {
            let copies_before = refusal.copies_before + margin;
            let until = copies_before.saturating_add(self.max_copy_lifetime);
            Refusal {
                copies_before_unix_ms: clock.to_unix_ms(copies_before),
                start: start(refusal.in_force_from),
                until_unix_ms: clock.to_unix_ms(until),
            }
        };
        let age_limit = |limit: AgeRefusal| AgeLimit {
            max_age_ms: limit.max_age.as_millis() as u64,
            start: start(limit.in_force_from),
        };
        CopyRefusals {
            refusals: forecast.current.into_iter().chain(forecast.upcoming).map(refusal).collect(),
            age_limit: forecast.by_age.map(age_limit),
        }
    }
}

/// How long before it is in force a refusal is published: a proxy that did not receive it has lost its lease by then.
fn lead(lease: Lease, clock_error: Duration) -> Duration {
    lease.ttl + clock_error + MAX_SEND_DELAY + PUBLISH_MARGIN
}

/// The time after a poll within which its answer must come so that no refusal is published for it.
pub fn answer_within(purge_grace: Duration, lease: Lease, clock_error: Duration) -> Duration {
    purge_grace.saturating_sub(lead(lease, clock_error))
}

/// Whether published refusals include those that are due.
fn covers(published: &RefusalForecast, due: &RefusalForecast) -> bool {
    let published_refusals = [published.current, published.upcoming];
    let is_covered = |due: CopyRefusal| {
        published_refusals.iter().flatten().any(|published| {
            published.copies_before >= due.copies_before && published.in_force_from <= due.in_force_from
        })
    };
    due.current.is_none_or(is_covered)
        && due.upcoming.is_none_or(is_covered)
        && (due.by_age.is_none() || published.by_age.is_some())
}

/// Whether published refusals refuse more than is needed by now.
fn exceeds(published: &RefusalForecast, needed: &RefusalForecast) -> bool {
    newest(published) > newest(needed) || published.by_age.is_some() && needed.by_age.is_none()
}

fn newest(forecast: &RefusalForecast) -> Option<Duration> {
    [forecast.current, forecast.upcoming].into_iter().flatten().map(|refusal| refusal.copies_before).max()
}

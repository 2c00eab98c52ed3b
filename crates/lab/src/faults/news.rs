//! Schedules of trouble with the change log, drawn from a seed: late answers in any form, outages and releases of fleets
//! of any accepted size, and purges, drains and starts meanwhile.

use super::schedule::{Event, Fault};
use crate::stand::changelog::{AnswerForm, ChangeLog, Delivery, Tells};
use serde_json::json;
use std::ops::Range;
use std::time::Duration;

/// Trouble begins after a time without any; purges, drains, starts and a release come after it has begun.
const QUIET: Duration = Duration::from_millis(1500);
const NEWS_AFTER_MS: Range<u64> = 0..5000;
const LATENESS_MS: Range<u64> = 0..5000;
const TROUBLE_MS: Range<u64> = 2000..14_000;
/// The longest outage of the small form, and of the long one.
const OUTAGE_MS: Range<u64> = 500..10_000;
const LONG_OUTAGE_MS: Range<u64> = 500..60_000;
const HOSTS: Range<usize> = 200..3200;
const CHANGES_PER_EVENT: Range<usize> = 1..21;
const RELEASE_MS: Range<u64> = 1000..7000;
const PURGES: Range<usize> = 20..80;
const PURGED: Range<u64> = 0..200;
const PURGE_GAP: Duration = Duration::from_millis(100);
/// The cache that starts cold, and the one that drains.
const COLD_CACHE: usize = 0;
const DRAINED_CACHE: usize = 1;
const FORMS: [AnswerForm; 4] =
    [AnswerForm::Whole, AnswerForm::Dripped, AnswerForm::Chunked, AnswerForm::UntilClose];

/// The schedule of a seed.
pub fn draw(seed: u64, is_small: bool) -> Vec<Event> {
    let mut random = fastrand::Rng::with_seed(seed.wrapping_mul(0x9e37_79b9) ^ 0x6e65_7773);
    let mut ms = |range: Range<u64>| Duration::from_millis(random.u64(range));
    let (trouble_at, long) = (QUIET + ms(0..2000), ms(TROUBLE_MS));
    let outage = ms(if is_small { OUTAGE_MS } else { LONG_OUTAGE_MS });
    let [release_at, purges_at, drain_at, crash_at] = [(); 4].map(|()| trouble_at + ms(NEWS_AFTER_MS));
    let (away, within) = (ms(100..1200), ms(RELEASE_MS));
    let delivery = delivery(&mut random);
    let release = Fault::Release {
        hosts: random.usize(HOSTS),
        changes_per_event: random.usize(CHANGES_PER_EVENT),
        within,
    };
    let objects = (0..random.usize(PURGES)).map(|_| random.u64(PURGED)).collect();
    let trouble = match random.u32(0..3) {
        0 => vec![Fault::DeliverNews { delivery, long }],
        1 => vec![Fault::LogDown { long: outage }],
        _ => vec![Fault::DeliverNews { delivery, long }, Fault::LogDown { long: outage.min(long) }],
    };
    let mut events: Vec<Event> = trouble.into_iter().map(|fault| Event { at: trouble_at, fault }).collect();
    events.extend([
        Event { at: release_at, fault: release },
        Event { at: purges_at, fault: Fault::Purge { objects, gap: PURGE_GAP } },
        Event { at: drain_at, fault: Fault::Drain { cache: DRAINED_CACHE } },
        Event { at: crash_at, fault: Fault::CrashCache { cache: COLD_CACHE, away } },
    ]);
    events.sort_by_key(|event| event.at);
    events
}

/// Steady lateness, or one that changes from answer to answer.
fn delivery(random: &mut fastrand::Rng) -> Delivery {
    let (one, other) = (random.u64(LATENESS_MS), random.u64(LATENESS_MS));
    let is_steady = random.bool();
    let lateness_ms = if is_steady { one..one + 1 } else { one.min(other)..one.max(other) + 1 };
    Delivery { lateness_ms, form: FORMS[random.usize(0..FORMS.len())], seed: random.u64(..) }
}

/// Lists hosts of another zone, and replaces six in ten of them, with some changes in each event. Nothing goes to them.
pub async fn release(change_log: &ChangeLog, hosts: usize, changes_per_event: usize, within: Duration) {
    let line = |host: usize, status: &str| {
        let address = format!("127.1.{}.{}:9000", host / 250, host % 250 + 1);
        json!({"name": format!("s-{host:08x}"), "address": address, "zone": "hub", "type": "standard", "group": 0,
            "status": status, "weight": 4, "since_ms": 0})
        .to_string()
    };
    let whole: Vec<String> = (0..hosts).map(|host| line(host, "active")).collect();
    change_log.list(&whole, false, Tells::List);
    let replaced = hosts * 6 / 10;
    let changes: Vec<String> = (0..replaced)
        .flat_map(|host| [line(host, "leaving"), line(hosts + host, "active"), line(host, "left")])
        .collect();
    let events = changes.chunks(changes_per_event);
    let gap = within / events.len().max(1) as u32;
    let began = tokio::time::Instant::now();
    for (number, lines) in events.enumerate() {
        tokio::time::sleep_until(began + gap * number as u32).await;
        change_log.list(lines, false, Tells::List);
    }
}

#[cfg(test)]
mod tests {
    use super::draw;

    /// The same seed draws the same schedule, another one another.
    #[test]
    fn a_seed_draws_its_schedule() {
        for seed in 1..50 {
            assert_eq!(draw(seed, true), draw(seed, true));
            assert_ne!(draw(seed, true), draw(seed + 1, true));
        }
    }
}

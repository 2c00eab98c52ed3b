//! A follower makes the same choices as the decision module, before, during and after changes of the hosts.

mod common;

use common::{Proxy, TestControlPlane, host_entry, ms};
use myrtlegauge::decide::Router;
use myrtlegauge::interface::*;
use myrtlegauge_control::ads_server::ProtocolVariant;
use myrtlegauge_control::load_reports::Summary;
use myrtlegauge_control::messages::{HostLine, PurgeLine, TermsLine, Tier};
use myrtlegauge_wire::protocol::changelog::{Endpoint, Purge};
use std::time::Duration;

const KEYS: u64 = 3000;

/// The decision module itself with the same host list. Its GETs are abandoned as soon as they are decided.
struct ReferenceRouter {
    router: Router,
    now: Duration,
}

#[derive(Default)]
struct FirstForward(Option<Forward>);

impl DecisionSink for FirstForward {
    fn forward(&mut self, _: GetIndex, forward: &Forward) {
        self.0.get_or_insert(*forward);
    }
    fn withdraw(&mut self, _: GetIndex, _: u32) {}
    fn shed(&mut self, _: GetIndex, _: Option<Duration>) {}
    fn error(&mut self, _: GetIndex) {}
    fn release(&mut self, _: GetIndex) {}
    fn schedule_wakeup(&mut self, _: Duration) {}
    fn subscribe_host_list(&mut self) {}
    fn log(&mut self, _: std::fmt::Arguments<'_>) {}
}

impl ReferenceRouter {
    fn new(control: &TestControlPlane) -> Self {
        let text = common::EXAMPLE.replace("(falls-at 2))", "(falls-at 2) (falls-in 1h))");
        let settings = myrtlegauge_operator::read(&text).unwrap().decision_settings;
        let mut reference = Self { router: Router::new(&settings, 1).unwrap(), now: control.now };
        reference.update(control);
        reference
    }

    fn update(&mut self, control: &TestControlPlane) {
        self.now = control.now;
        let entries: Vec<_> = control.fleet.entries().copied().collect();
        self.router.round(self.now, &mut FirstForward::default(), |round| {
            round.on_host_list(ListUpdate::Full, &entries)
        });
    }

    fn choice(&mut self, object: u64) -> Option<Forward> {
        let mut sink = FirstForward::default();
        let get = Get { ds: 1, object, group: object % 256, viewer_timeout: ms(5000), ..Get::default() };
        let withdrawn = Outcome {
            attempt: 0,
            end: End::Withdrawn,
            elapsed: ms(0),
            is_answered: true,
            note: Note::Untold,
            is_unmodified: false,
            source_wait: ms(0),
            load: LoadReport::default(),
        };
        self.router.round(self.now, &mut sink, |round| {
            let index = round.next_get_index();
            round.on_get(get);
            round.on_abandoned(index);
            round.on_outcome(index, &withdrawn);
        });
        sink.0
    }
}

/// Checks that the reference and the proxies choose alike for every key. Returns the number of keys of each cache.
fn assert_same_choices(
    control: &mut TestControlPlane,
    reference: &mut ReferenceRouter,
    proxies: &mut [Proxy],
) -> String {
    for proxy in &mut *proxies {
        proxy.handle_all(control);
    }
    reference.update(control);
    let mut counts = std::collections::BTreeMap::<String, u32>::new();
    for object in 0..KEYS {
        let forward = reference.choice(object).expect("the module forwards it");
        let name = |host| control.fleet.host_name(host).to_owned();
        let expected = (name(forward.host), Some(name(forward.source)), forward.only_if_cached);
        for proxy in &mut *proxies {
            let (cache, source, only_if_cached, accepted_age) =
                proxy.choice(object, control.unix_ms()).expect("the follower forwards it");
            assert_eq!(
                (&cache, &source, only_if_cached),
                (&expected.0, &expected.1, expected.2),
                "object {object}"
            );
            let difference = accepted_age.abs_diff(forward.accepted_age);
            assert!(
                difference <= ms(2),
                "object {object}: {accepted_age:?}, the module {:?}",
                forward.accepted_age
            );
        }
        *counts.entry(expected.0).or_default() += 1;
    }
    counts.iter().map(|(cache, count)| format!("{cache} {count}  ")).collect()
}

#[test]
fn a_follower_chooses_the_same_hosts_as_the_decision_module_during_changes() {
    let mut control = TestControlPlane::new(5, 3);
    let mut reference = ReferenceRouter::new(&control);
    let mut proxies = [
        Proxy::connect(&mut control, ProtocolVariant::Delta),
        Proxy::connect(&mut control, ProtocolVariant::Whole),
    ];
    let mut key_counts = String::new();
    let mut step = |label: &str, control: &mut TestControlPlane, reference: &mut ReferenceRouter| {
        key_counts += &format!("{label}: {}\n", assert_same_choices(control, reference, &mut proxies));
    };
    step("all warm", &mut control, &mut reference);
    control.list_host("cache-1", "leaving", 0);
    step("cache-1 drains", &mut control, &mut reference);
    control.list_host("cache-1", "left", 0);
    step("cache-1 is gone", &mut control, &mut reference);
    control.advance_time(ms(9000));
    let started = control.unix_ms();
    control.list_host("cache-1", "active", started);
    step("cache-1 is back, cold", &mut control, &mut reference);
    control.advance_time(ms(6000));
    step("and warmer", &mut control, &mut reference);
    control.advance_time(ms(12_000));
    step("and warm", &mut control, &mut reference);
    control.list_host("parent-1001", "leaving", 0);
    step("a parent drains", &mut control, &mut reference);
    // At least three of four intervals in which the GETs of most proxies at one cache failed.
    for _ in 0..4 {
        let summary = Summary { outcomes: vec![(2, false)], fills: Vec::new() };
        control.fleet.on_load_summary(&summary, control.now);
        reference
            .router
            .round(control.now, &mut FirstForward::default(), |round| round.on_host_report(2, false));
    }
    control.publish();
    step("cache-2 fails", &mut control, &mut reference);
    insta::assert_snapshot!(key_counts);
}

#[test]
fn a_purge_limits_the_accepted_age_and_never_yields_zero() {
    let mut control = TestControlPlane::new(3, 2);
    let mut proxy = Proxy::connect(&mut control, ProtocolVariant::Delta);
    proxy.handle_all(&mut control);
    let accepted_age = |proxy: &mut Proxy, object, control: &TestControlPlane| {
        proxy.choice(object, control.unix_ms()).unwrap().3
    };
    assert_eq!(accepted_age(&mut proxy, 0x17, &control), ms(5000));
    let unix_ms = control.unix_ms() as f64;
    control.purge(Some("0000000000000017"), None, unix_ms);
    proxy.handle_all(&mut control);
    // Zero would mean the fresh time.
    assert_eq!(accepted_age(&mut proxy, 0x17, &control), Duration::from_micros(10));
    assert_eq!(accepted_age(&mut proxy, 0x18, &control), ms(5000));
    control.advance_time(ms(1000));
    proxy.handle_all(&mut control);
    assert_eq!(accepted_age(&mut proxy, 0x17, &control), ms(998));
    control.purge(None, Some(0x18), control.unix_ms() as f64);
    proxy.handle_all(&mut control);
    assert_eq!(accepted_age(&mut proxy, 0x18, &control), Duration::from_micros(10));
    // A purge without a key or a valid time changes nothing.
    control.purge(None, None, 1.0);
    control.purge(Some("17"), None, f64::NAN);
    assert_eq!(control.fleet.faults, 2);
    control.advance_time(ms(7000));
    proxy.handle_all(&mut control);
    assert_eq!(accepted_age(&mut proxy, 0x17, &control), ms(5000), "the purge has ended");
}

#[test]
fn slow_fills_raise_the_accepted_age_until_the_window_is_over() {
    let mut control = TestControlPlane::new(3, 2);
    let mut proxy = Proxy::connect(&mut control, ProtocolVariant::Delta);
    let mut ages = String::new();
    let mut record = |control: &mut TestControlPlane, label: &str| {
        control.publish();
        proxy.handle_all(control);
        let (_, source, only_if_cached, accepted_age) = proxy.choice(5, control.unix_ms()).unwrap();
        ages += &format!(
            "{label}: {accepted_age:?}, from {}{}\n",
            source.unwrap(),
            if only_if_cached { ", only if cached" } else { "" }
        );
    };
    record(&mut control, "idle");
    let origin = control.fleet.entries().map(|entry| entry.host).last().unwrap();
    for late_or_failed in [0, 4] {
        let fills =
            Summary { outcomes: Vec::new(), fills: vec![(origin, 1, 2 + late_or_failed, late_or_failed, 3)] };
        control.fleet.on_load_summary(&fills, control.now);
        record(&mut control, &format!("{} fills, {late_or_failed} of them slow", 2 + late_or_failed));
    }
    control.advance_time(ms(6000));
    record(&mut control, "after the window");
    insta::assert_snapshot!(ages);
}

#[test]
fn an_instance_behind_in_the_change_log_does_not_revert_a_follower() {
    let (mut ahead, mut behind) = (TestControlPlane::new(3, 2), TestControlPlane::new(3, 2));
    behind.now = ahead.now;
    let mut proxy = Proxy::connect(&mut ahead, ProtocolVariant::Delta);
    proxy.handle_all(&mut ahead);
    ahead.list_host("cache-0", "leaving", 0);
    let unix_ms = ahead.unix_ms() as f64;
    ahead.purge(Some("0000000000000007"), None, unix_ms);
    proxy.handle_all(&mut ahead);
    assert!(proxy.follower.host("cache-0").unwrap().draining);
    // The proxy connects to an instance that has received neither the drain nor the purge.
    proxy.open(&mut behind);
    let message_count = proxy.handle_all(&mut behind);
    assert!(message_count > 0);
    let assert_unchanged = |proxy: &mut Proxy, now_ms| {
        assert!(proxy.follower.host("cache-0").unwrap().draining);
        assert!(proxy.choice(7, now_ms).unwrap().3 < ms(5000));
    };
    assert_unchanged(&mut proxy, behind.unix_ms());
    // Another update of the same host does not revert the drain either.
    behind.fleet.on_host_list(
        &[Endpoint { weight: Some(5.0), ..host_entry("cache-0", "active", 0) }],
        false,
        behind.now,
    );
    behind.publish();
    proxy.handle_all(&mut behind);
    assert_unchanged(&mut proxy, behind.unix_ms());
    // After the time within which it must have received everything, its version is right: the drain was cancelled.
    for _ in 0..90 {
        behind.advance_time(ms(100));
        proxy.handle_all(&mut behind);
    }
    assert!(!proxy.follower.host("cache-0").unwrap().draining);
}

#[test]
fn a_drain_is_applied_even_if_the_list_omits_or_contradicts_the_start_time() {
    let mut control = TestControlPlane::new(3, 2);
    let mut proxy = Proxy::connect(&mut control, ProtocolVariant::Delta);
    let started = control.unix_ms();
    control.list_host("cache-0", "active", started);
    proxy.handle_all(&mut control);
    // The line of the drain contradicts the start time that was listed before.
    control.list_host("cache-0", "leaving", 0);
    proxy.handle_all(&mut control);
    assert!(proxy.follower.host("cache-0").unwrap().draining);
    // The instance that published the drain cancels it. This is a later fact, and applies at once.
    control.advance_time(ms(20));
    control.list_host("cache-0", "active", started);
    proxy.handle_all(&mut control);
    assert!(!proxy.follower.host("cache-0").unwrap().draining);
    // Another instance only knows an earlier incarnation. Its drain is applied all the same, since a missed drain would
    // break a rule.
    let mut other = TestControlPlane::new(3, 2);
    other.now = control.now;
    other.list_host("cache-0", "leaving", 0);
    proxy.open(&mut other);
    proxy.handle_all(&mut other);
    assert!(proxy.follower.host("cache-0").unwrap().draining);
}

#[test]
fn a_host_restarted_at_the_same_address_within_one_update_is_a_new_incarnation() {
    let mut control = TestControlPlane::new(3, 2);
    let mut proxies = [
        Proxy::connect(&mut control, ProtocolVariant::Delta),
        Proxy::connect(&mut control, ProtocolVariant::Whole),
    ];
    for proxy in &mut proxies {
        proxy.handle_all(&mut control);
    }
    let started = control.unix_ms();
    let restarted = Endpoint { name: "cache-77".into(), ..host_entry("cache-0", "active", started) };
    let entries = [host_entry("cache-0", "leaving", 0), host_entry("cache-0", "left", 0), restarted];
    control.fleet.on_host_list(&entries, false, control.now);
    control.publish();
    for proxy in &mut proxies {
        proxy.handle_all(&mut control);
        assert!(proxy.follower.host("cache-0").is_none());
        let key_fraction = proxy.follower.host("cache-77").unwrap().part;
        assert!(key_fraction > 0.0 && key_fraction < 0.25, "{key_fraction}");
    }
}

/// Guards against a release that stops the service: each change took a round, and each round updates the rings.
#[test]
fn the_changes_of_an_answer_are_applied_in_one_round() {
    const CACHES: usize = 40;
    let mut control = TestControlPlane::new(CACHES, 2);
    let rounds_before = control.fleet.rounds;
    for index in 0..CACHES {
        let status = if index % 2 == 0 { "leaving" } else { "active" };
        let lines = [host_entry(&format!("cache-{index}"), status, 0)];
        control.fleet.on_host_list(&lines, false, control.now);
        control.fleet.on_purge(&Purge { object: None, bucket: Some(index as u64), unix_ms: 1000.0 });
    }
    control.publish();
    assert_eq!(control.fleet.rounds, rounds_before + 1);
    let mut one_by_one = TestControlPlane::new(CACHES, 2);
    for index in 0..CACHES {
        let status = if index % 2 == 0 { "leaving" } else { "active" };
        one_by_one.list_host(&format!("cache-{index}"), status, 0);
    }
    let published = |control: &mut TestControlPlane| {
        let mut proxy = Proxy::connect(control, ProtocolVariant::Delta);
        proxy.handle_all(control);
        let host = |index: usize| proxy.follower.host(&format!("cache-{index}"));
        (0..CACHES).map(|index| host(index).map(|host| (host.part, host.draining))).collect::<Vec<_>>()
    };
    assert_eq!(published(&mut control), published(&mut one_by_one));
    control.publish();
    assert_eq!(control.fleet.rounds, rounds_before + 1, "nothing has changed");
}

/// Instances compare hashes of these texts as resource versions. A renamed or moved field would change the versions.
#[test]
fn the_texts_that_are_hashed_into_versions_are_stable() {
    let host = HostLine {
        name: "cache-1".into(),
        address: "127.0.0.1:19001".parse().unwrap(),
        tier: Tier::Caches,
        life: 5,
        draining: true,
        mark: 7,
        points: 64,
        part: 0.5,
        near: true,
        fills: 3,
    };
    assert_eq!(
        host.version_text(),
        "HostLine { name: \"cache-1\", address: 127.0.0.1:19001, tier: Caches, life: 5, draining: true, mark: 7, \
         points: 64, part: 0.5, near: true, fills: 3 }"
    );
    let tiers = [Tier::Caches, Tier::Parents, Tier::Origin];
    assert_eq!(format!("{tiers:?}"), "[Caches, Parents, Origin]");
    let terms = TermsLine { accepted_age: ms(5000), forwards: 2, timeout: ms(1500), ..TermsLine::default() };
    assert_eq!(
        format!("{terms:?}"),
        "TermsLine { accepted_age: 5s, renew: false, again: false, passed_on: false, spared: false, forwards: 2, \
         timeout: 1.5s }"
    );
    let purge = PurgeLine { at_unix_ms: 1, until_unix_ms: 2 };
    assert_eq!(format!("{purge:?}"), "PurgeLine { at_unix_ms: 1, until_unix_ms: 2 }");
}

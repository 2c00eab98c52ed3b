//! A follower decides as the module does, before, during and after changes.

mod common;

use common::{Proxy, World, line, ms};
use myrtlegauge::decide::Router;
use myrtlegauge::interface::*;
use myrtlegauge_control::exchange::Form;
use myrtlegauge_control::reports::Summary;
use myrtlegauge_wire::protocol::changelog::Endpoint;
use std::time::Duration;

const KEYS: u64 = 3000;

/// The module itself, told the same, whose GETs are called off as soon as they are decided.
struct Twin {
    router: Router,
    now: Duration,
}

#[derive(Default)]
struct First(Option<Forward>);

impl DecisionSink for First {
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

impl Twin {
    fn of(world: &World) -> Self {
        let text = common::EXAMPLE.replace("(falls-at 2))", "(falls-at 2) (falls-in 1h))");
        let facts = myrtlegauge_operator::read(&text).unwrap().decision_settings;
        let mut twin = Self { router: Router::new(&facts, 1).unwrap(), now: world.now };
        twin.follow(world);
        twin
    }

    fn follow(&mut self, world: &World) {
        self.now = world.now;
        let entries: Vec<_> = world.fleet.entries().copied().collect();
        self.router
            .round(self.now, &mut First::default(), |round| round.on_host_list(ListUpdate::Full, &entries));
    }

    fn choice(&mut self, object: u64) -> Option<Forward> {
        let mut first = First::default();
        let get = Get { ds: 1, object, group: object % 256, viewer_timeout: ms(5000), ..Get::default() };
        let withdrawn = Outcome {
            attempt: 0,
            end: End::Withdrawn,
            elapsed: ms(0),
            is_answered: true,
            note: Note::Untold,
            source_wait: ms(0),
            load: LoadReport::default(),
        };
        self.router.round(self.now, &mut first, |round| {
            let place = round.next_get_index();
            round.on_get(get);
            round.on_abandoned(place);
            round.on_outcome(place, &withdrawn);
        });
        first.0
    }
}

/// Both choose alike for all keys; how many keys each cache has.
fn agree(world: &mut World, twin: &mut Twin, proxies: &mut [Proxy]) -> String {
    for proxy in &mut *proxies {
        proxy.drain(world);
    }
    twin.follow(world);
    let mut counts = std::collections::BTreeMap::<String, u32>::new();
    for object in 0..KEYS {
        let by_module = twin.choice(object).expect("the module sends it");
        let name = |host| world.fleet.host_name(host).to_owned();
        let expected = (name(by_module.host), Some(name(by_module.source)), by_module.only_if_cached);
        for proxy in &mut *proxies {
            let (cache, source, held, oldest) = proxy.choice(object, world.unix_ms()).expect("it goes");
            assert_eq!((&cache, &source, held), (&expected.0, &expected.1, expected.2), "object {object}");
            let apart = oldest.abs_diff(by_module.accepted_age);
            assert!(apart <= ms(2), "object {object}: {oldest:?}, the module {:?}", by_module.accepted_age);
        }
        *counts.entry(expected.0).or_default() += 1;
    }
    counts.iter().map(|(cache, count)| format!("{cache} {count}  ")).collect()
}

#[test]
fn a_follower_chooses_as_the_module_does_before_during_and_after_changes() {
    let mut world = World::new(5, 3);
    let mut twin = Twin::of(&world);
    let mut proxies = [Proxy::join(&mut world, Form::Delta), Proxy::join(&mut world, Form::Whole)];
    let mut told = String::new();
    let mut step = |what: &str, world: &mut World, twin: &mut Twin| {
        told += &format!("{what}: {}\n", agree(world, twin, &mut proxies));
    };
    step("all warm", &mut world, &mut twin);
    world.told("cache-1", "leaving", 0);
    step("cache-1 drains", &mut world, &mut twin);
    world.told("cache-1", "left", 0);
    step("cache-1 is gone", &mut world, &mut twin);
    world.pass(ms(9000));
    let started = world.unix_ms();
    world.told("cache-1", "active", started);
    step("cache-1 is back, cold", &mut world, &mut twin);
    world.pass(ms(6000));
    step("and warmer", &mut world, &mut twin);
    world.pass(ms(12_000));
    step("and warm", &mut world, &mut twin);
    world.told("parent-1001", "leaving", 0);
    step("a parent drains", &mut world, &mut twin);
    // Three of four intervals in which most proxies' GETs at a cache failed.
    for _ in 0..4 {
        let failed = Summary { outcomes: vec![(2, false)], fills: Vec::new() };
        world.fleet.reported(&failed, world.now);
        twin.router.round(world.now, &mut First::default(), |round| round.on_host_report(2, false));
    }
    world.publish();
    step("cache-2 fails", &mut world, &mut twin);
    insta::assert_snapshot!(told);
}

#[test]
fn a_purge_bounds_the_age_of_what_a_follower_accepts_and_never_lets_any_age_do() {
    let mut world = World::new(3, 2);
    let mut proxy = Proxy::join(&mut world, Form::Delta);
    proxy.drain(&mut world);
    let oldest = |proxy: &mut Proxy, object, world: &World| proxy.choice(object, world.unix_ms()).unwrap().3;
    assert_eq!(oldest(&mut proxy, 0x17, &world), ms(5000));
    let at = world.unix_ms() as f64;
    world.purge(Some("0000000000000017"), None, at);
    proxy.drain(&mut world);
    // Trap: zero would mean the fresh time.
    assert_eq!(oldest(&mut proxy, 0x17, &world), Duration::from_micros(10));
    assert_eq!(oldest(&mut proxy, 0x18, &world), ms(5000));
    world.pass(ms(1000));
    proxy.drain(&mut world);
    assert_eq!(oldest(&mut proxy, 0x17, &world), ms(998));
    world.purge(None, Some(0x18), world.unix_ms() as f64);
    proxy.drain(&mut world);
    assert_eq!(oldest(&mut proxy, 0x18, &world), Duration::from_micros(10));
    // A purge that names nothing, or no time, changes nothing.
    world.purge(None, None, 1.0);
    world.purge(Some("17"), None, f64::NAN);
    assert_eq!(world.fleet.faults, 2);
    world.pass(ms(7000));
    proxy.drain(&mut world);
    assert_eq!(oldest(&mut proxy, 0x17, &world), ms(5000), "it is over by its own time");
}

#[test]
fn slow_fills_set_the_flag_and_the_accepted_age_grows_at_each_miss_and_goes_back() {
    let mut world = World::new(3, 2);
    let mut proxy = Proxy::join(&mut world, Form::Delta);
    let mut ages = String::new();
    let mut see = |world: &mut World, what: &str| {
        world.publish();
        proxy.drain(world);
        let (_, source, held, oldest) = proxy.choice(5, world.unix_ms()).unwrap();
        ages += &format!(
            "{what}: {oldest:?}, from {}{}\n",
            source.unwrap(),
            if held { ", held only" } else { "" }
        );
    };
    see(&mut world, "idle");
    let origin = world.fleet.entries().map(|e| e.host).last().unwrap();
    for bad in [0, 4] {
        let fills = Summary { outcomes: Vec::new(), fills: vec![(origin, 1, 2 + bad, bad, 3)] };
        world.fleet.reported(&fills, world.now);
        see(&mut world, &format!("{} fills, {bad} of them slow", 2 + bad));
    }
    world.pass(ms(6000));
    see(&mut world, "after the window");
    insta::assert_snapshot!(ages);
}

#[test]
fn an_instance_behind_in_the_change_log_takes_no_follower_back() {
    let (mut ahead, mut behind) = (World::new(3, 2), World::new(3, 2));
    behind.now = ahead.now;
    let mut proxy = Proxy::join(&mut ahead, Form::Delta);
    proxy.drain(&mut ahead);
    ahead.told("cache-0", "leaving", 0);
    let at = ahead.unix_ms() as f64;
    ahead.purge(Some("0000000000000007"), None, at);
    proxy.drain(&mut ahead);
    assert!(proxy.follower.knows("cache-0").unwrap().draining);
    // It changes over to the instance that has heard neither.
    proxy.open(&mut behind);
    let sent = proxy.drain(&mut behind);
    assert!(sent > 0);
    let still = |proxy: &mut Proxy, now_ms| {
        assert!(proxy.follower.knows("cache-0").unwrap().draining);
        assert!(proxy.choice(7, now_ms).unwrap().3 < ms(5000));
    };
    still(&mut proxy, behind.unix_ms());
    // Other news of the same host does not do it either.
    behind.fleet.listed(&[Endpoint { weight: Some(5.0), ..line("cache-0", "active", 0) }], false, behind.now);
    behind.publish();
    proxy.drain(&mut behind);
    still(&mut proxy, behind.unix_ms());
    // Once it must have heard all, and still says otherwise, it is right: the drain was taken back.
    for _ in 0..90 {
        behind.pass(ms(100));
        proxy.drain(&mut behind);
    }
    assert!(!proxy.follower.knows("cache-0").unwrap().draining);
}

#[test]
fn a_drain_is_taken_though_the_list_leaves_out_or_contradicts_when_the_host_started() {
    let mut world = World::new(3, 2);
    let mut proxy = Proxy::join(&mut world, Form::Delta);
    let started = world.unix_ms();
    world.told("cache-0", "active", started);
    proxy.drain(&mut world);
    // As if it had never been told that it started late.
    world.told("cache-0", "leaving", 0);
    proxy.drain(&mut world);
    assert!(proxy.follower.knows("cache-0").unwrap().draining);
    // The drain is taken back by the instance that told it: that is later news, and holds at once.
    world.pass(ms(20));
    world.told("cache-0", "active", started);
    proxy.drain(&mut world);
    assert!(!proxy.follower.knows("cache-0").unwrap().draining);
    // Another instance knows an earlier life alone: its drain is taken all the same, for a lax error breaks a rule.
    let mut other = World::new(3, 2);
    other.now = world.now;
    other.told("cache-0", "leaving", 0);
    proxy.open(&mut other);
    proxy.drain(&mut other);
    assert!(proxy.follower.knows("cache-0").unwrap().draining);
}

#[test]
fn a_host_back_cold_at_the_same_address_within_one_push_is_another_life() {
    let mut world = World::new(3, 2);
    let mut proxies = [Proxy::join(&mut world, Form::Delta), Proxy::join(&mut world, Form::Whole)];
    for proxy in &mut proxies {
        proxy.drain(&mut world);
    }
    let started = world.unix_ms();
    let cold = Endpoint { name: "cache-77".into(), ..line("cache-0", "active", started) };
    let all = [line("cache-0", "leaving", 0), line("cache-0", "left", 0), cold];
    world.fleet.listed(&all, false, world.now);
    world.publish();
    for proxy in &mut proxies {
        proxy.drain(&mut world);
        assert!(proxy.follower.knows("cache-0").is_none());
        let part = proxy.follower.knows("cache-77").unwrap().part;
        assert!(part > 0.0 && part < 0.25, "{part}");
    }
}

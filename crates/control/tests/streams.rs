//! The state of streams: hard cases one by one, and generated schedules of all of them.

mod common;

use common::{Proxy, World, lease, line, ms};
use myrtlegauge_control::ads_server::{
    AdsServer, Priority, ProtocolVariant, Request, StreamEndReason, StreamId,
};
use myrtlegauge_control::lease::Lease;
use myrtlegauge_control::resource_cache::ResourceType;
use proptest::prelude::*;
use std::time::Duration;

fn join(world: &mut World, form: ProtocolVariant) -> Proxy {
    let mut proxy = Proxy::join(world, form);
    proxy.drain(world);
    proxy
}

/// All that a follower of this form should know, it knows; nothing else.
fn knows_all(world: &World, proxy: &Proxy) {
    for (name, resource) in world.server.cache().all(ResourceType::Host) {
        let known = proxy.follower.host(name.split_once('/').unwrap().1);
        let known = known.unwrap_or_else(|| panic!("{name} is not known"));
        assert_eq!(known.draining, resource.version.revision > 0, "{name}");
    }
    assert_eq!(proxy.follower.host_count(), world.server.cache().all(ResourceType::Host).count());
}

#[test]
fn a_new_stream_gets_all_in_order_and_the_lease_last_of_what_it_vouches_for() {
    let mut world = World::new(3, 2);
    world.told("cache-2", "leaving", 0);
    let mut got = String::new();
    for form in [ProtocolVariant::Delta, ProtocolVariant::Whole] {
        let proxy = join(&mut world, form);
        got += &format!("{form:?}\n");
        for (lane, kind, count) in &proxy.got {
            got += &format!("  {lane:?} {kind:?} {count}\n");
        }
        knows_all(&world, &proxy);
        assert!(proxy.follower.lease_left_ms(world.unix_ms()) > 200);
    }
    insta::assert_snapshot!(got);
}

/// Heartbeats of a long lease are due seldom; being looked at many times before must not put one off.
#[test]
fn a_long_lease_is_renewed_however_often_it_is_looked_at() {
    let mut world = World::leasing(2, 1, Lease::from_grace_periods(ms(10_000), ms(10_000), ms(5)));
    let proxy = join(&mut world, ProtocolVariant::Delta);
    let mut beats = 0;
    for _ in 0..200 {
        world.pass(ms(50));
        let message = world.server.next_message(proxy.stream, Priority::Heartbeat, world.now, 0);
        beats += u32::from(message.is_some());
    }
    assert!((4..=6).contains(&beats), "{beats} in five fifths of a lease");
}

#[test]
fn a_reconnect_at_any_point_gets_what_differs_and_no_more() {
    for form in [ProtocolVariant::Delta, ProtocolVariant::Whole] {
        for point in 0..8 {
            let mut world = World::new(4, 2);
            let mut proxy = Proxy::join(&mut world, form);
            // It takes some messages, acknowledges all but the last of them, and is gone.
            for n in 0..point {
                let Some(message) = world.next(proxy.stream) else { break };
                let answer = proxy.take(&message, world.unix_ms());
                if n + 1 < point {
                    world.server.on_request(proxy.stream, &answer, world.now).unwrap();
                }
            }
            world.told("cache-1", "leaving", 0);
            proxy.reopen(&mut world);
            proxy.drain(&mut world);
            knows_all(&world, &proxy);
            // Once more, with nothing new: no host and no purge goes out again.
            proxy.reopen(&mut world);
            proxy.got.clear();
            proxy.drain(&mut world);
            let again: usize =
                proxy.got.iter().filter(|(_, kind, _)| *kind == ResourceType::Host).map(|(.., n)| n).sum();
            assert_eq!(again, 0, "{form:?} at {point}: {:?}", proxy.got);
        }
    }
}

#[test]
fn drains_and_purges_overtake_what_is_ordinary_and_unacknowledged() {
    let mut world = World::new(200, 4);
    let proxy = Proxy::join(&mut world, ProtocolVariant::Delta);
    // The proxy has acknowledged nothing yet, and much is still to come.
    let unix = world.unix_ms();
    world.server.next_message(proxy.stream, Priority::Ordinary, world.now, unix).expect("something ordinary");
    world.told("cache-77", "leaving", 0);
    world.purge(Some("00000000000000aa"), None, unix as f64);
    let kinds: Vec<_> =
        std::iter::from_fn(|| world.server.next_message(proxy.stream, Priority::Urgent, world.now, unix))
            .map(|message| (message.resource_type, message.resources.len()))
            .collect();
    assert_eq!(kinds, [(ResourceType::Notice, 1), (ResourceType::Host, 1)]);
}

#[test]
fn a_proxy_that_acknowledges_nothing_is_sent_a_bounded_number_and_loses_its_lease_then_its_stream() {
    let mut world = World::new(3, 2);
    let mut proxy = join(&mut world, ProtocolVariant::Delta);
    let mut sent = 0;
    for n in 0..100u64 {
        world.purge(None, Some(n % 200), world.unix_ms() as f64);
        while let Some(message) = world.next(proxy.stream) {
            sent += usize::from(message.priority == Priority::Urgent);
        }
        world.pass(ms(3));
    }
    assert_eq!(sent, 16);
    world.pass(lease().ttl);
    let unix = world.unix_ms();
    assert!(world.server.next_message(proxy.stream, Priority::Heartbeat, world.now, unix).is_none());
    assert_eq!(proxy.follower.lease_left_ms(world.unix_ms()), 0);
    world.now += Duration::from_secs(31);
    assert_eq!(world.server.advance(world.now), [proxy.stream]);
    // Back again it gets what it has missed, in one message.
    world.now -= Duration::from_secs(31);
    proxy.got.clear();
    proxy.reopen(&mut world);
    proxy.drain(&mut world);
    let notices: Vec<_> = proxy.got.iter().filter(|(_, kind, _)| *kind == ResourceType::Notice).collect();
    assert_eq!(notices, [&(Priority::Urgent, ResourceType::Notice, 100)]);
}

#[test]
fn of_a_refused_message_only_what_is_meant_stays_refused_and_a_refused_drain_ends_the_lease() {
    let mut world = World::new(6, 2);
    let mut proxy = Proxy::join(&mut world, ProtocolVariant::Delta);
    proxy.refuses = Some("caches/cache-3".into());
    proxy.drain(&mut world);
    let refused = |world: &World, stream: StreamId| -> Vec<String> {
        let status = world.server.stream_statuses(world.now).find(|status| status.id == stream).unwrap();
        status.nacked.iter().map(|(kind, name, nack)| format!("{kind:?} {name}: {}", nack.error)).collect()
    };
    assert_eq!(refused(&world, proxy.stream), ["Host caches/cache-3: not to be had"]);
    assert!(proxy.follower.host("cache-3").is_none() && proxy.follower.host("cache-4").is_some());
    // It refused a host that is on: the rest holds.
    assert!(proxy.follower.lease_left_ms(world.unix_ms()) > 0);
    // It is not sent again and again.
    proxy.got.clear();
    world.pass(ms(10));
    assert_eq!(proxy.drain(&mut world), 0);
    // It refuses a drain: it is renewed no lease, until it has taken it.
    proxy.refuses = Some("caches/cache-4".into());
    world.told("cache-4", "leaving", 0);
    proxy.drain(&mut world);
    for _ in 0..10 {
        world.pass(ms(40));
        proxy.drain(&mut world);
    }
    assert_eq!(proxy.follower.lease_left_ms(world.unix_ms()), 0);
    assert_eq!(proxy.choice(1, world.unix_ms()), Err("NoLease".into()));
    proxy.refuses = None;
    proxy.reopen(&mut world);
    proxy.drain(&mut world);
    knows_all(&world, &proxy);
    assert!(proxy.choice(1, world.unix_ms()).is_ok());
}

#[test]
fn an_old_nonce_says_nothing_of_what_is_out_now() {
    let mut world = World::new(3, 2);
    let mut proxy = join(&mut world, ProtocolVariant::Delta);
    world.told("cache-0", "leaving", 0);
    let first = world.next(proxy.stream).unwrap();
    let answer = proxy.take(&first, world.unix_ms());
    world.server.on_request(proxy.stream, &answer, world.now).unwrap();
    world.told("cache-1", "leaving", 0);
    let second = world.next(proxy.stream).unwrap();
    // The first again, as a refusal: it was answered long ago.
    let stale = Request { error_detail: Some("late".into()), ..answer };
    world.server.on_request(proxy.stream, &stale, world.now).unwrap();
    let status = world.server.stream_statuses(world.now).next().unwrap();
    assert_eq!((status.nacked.len(), status.counters.stale_nonces), (0, 1));
    let answer = proxy.take(&second, world.unix_ms());
    world.server.on_request(proxy.stream, &answer, world.now).unwrap();
    knows_all(&world, &proxy);
}

#[test]
fn a_subscription_that_changes_in_a_push_is_answered_for_what_it_is_now() {
    let mut world = World::new(3, 2);
    let stream = world.server.open_stream(ProtocolVariant::Delta, "test", world.now).unwrap();
    world.server.advance(world.now);
    let ask = |world: &mut World, names: &[&str], dropped: &[&str]| {
        let own = |names: &[&str]| names.iter().map(|name| (*name).to_owned()).collect();
        let type_url = ResourceType::Host.type_url().into();
        let request = Request {
            type_url,
            resource_names: own(names),
            unsubscribed_names: own(dropped),
            ..Request::default()
        };
        world.server.on_request(stream, &request, world.now).unwrap();
    };
    ask(&mut world, &["caches/cache-0", "caches/cache-1", "caches/no-such"], &[]);
    ask(&mut world, &["caches/cache-2"], &["caches/cache-0"]);
    let message = world.next(stream).unwrap();
    let names: Vec<_> = message.resources.iter().map(|sent| &*sent.name).collect();
    assert_eq!(names, ["caches/cache-1", "caches/cache-2"]);
    // What is asked for and not there is told, so that nobody waits for it.
    assert_eq!(message.removed.iter().map(|name| &**name).collect::<Vec<_>>(), ["caches/no-such"]);
    // What is dropped is not told any more, even if it drains.
    world.told("cache-0", "leaving", 0);
    assert_eq!(world.next(stream), None);
    // It comes into being while it is waited for.
    world.fleet.on_host_list(&[line("cache-9", "active", 0)], false, world.now);
    world.publish();
    assert_eq!(world.next(stream), None, "nobody asked for cache-9");
}

#[test]
fn bounds_hold_and_are_told() {
    let mut server = AdsServer::new(lease(), 2);
    server.set_ready();
    let first = server.open_stream(ProtocolVariant::Delta, "a", ms(0)).unwrap();
    server.open_stream(ProtocolVariant::Whole, "b", ms(0)).unwrap();
    assert_eq!(server.open_stream(ProtocolVariant::Whole, "c", ms(0)), Err(StreamEndReason::StreamLimit));
    let ask = |names: Vec<String>, url: &str| Request {
        type_url: url.into(),
        resource_names: names,
        ..Request::default()
    };
    let many = (0..10_000).map(|n| format!("caches/{n}")).collect();
    assert_eq!(
        server.on_request(first, &ask(many, ResourceType::Host.type_url()), ms(0)),
        Err(StreamEndReason::SubscriptionLimit)
    );
    assert_eq!(
        server.on_request(first, &ask(vec!["x".repeat(300)], ResourceType::Host.type_url()), ms(0)),
        Err(StreamEndReason::SubscriptionLimit)
    );
    // A type that is not known is counted, and the stream goes on.
    assert_eq!(server.on_request(first, &ask(vec![], "type.googleapis.com/none"), ms(0)), Ok(()));
    assert_eq!(server.stream_statuses(ms(0)).next().unwrap().counters.unknown_types, 1);
    server.close_stream(first);
    server.open_stream(ProtocolVariant::Whole, "c", ms(0)).unwrap();
}

#[test]
fn nothing_is_said_before_the_fleet_is_known() {
    let mut server = AdsServer::new(lease(), 2);
    let stream = server.open_stream(ProtocolVariant::Delta, "a", ms(0)).unwrap();
    let request = Request {
        type_url: ResourceType::Host.type_url().into(),
        resource_names: vec!["*".into()],
        ..Request::default()
    };
    server.on_request(stream, &request, ms(0)).unwrap();
    server.advance(ms(100));
    assert_eq!(server.next_message(stream, Priority::Ordinary, ms(100), 1), None);
    server.set_ready();
    server.advance(ms(200));
    // Then even that there is nothing is an answer.
    assert!(server.next_message(stream, Priority::Ordinary, ms(200), 1).unwrap().resources.is_empty());
}

#[test]
fn a_crowd_is_admitted_at_a_pace_and_drains_reach_it_before_its_turn() {
    let mut world = World::new(3, 2);
    let mut proxies: Vec<_> = (0..60).map(|_| Proxy::join(&mut world, ProtocolVariant::Delta)).collect();
    world.told("cache-0", "leaving", 0);
    let ordinary = |world: &mut World, proxies: &[Proxy]| {
        let unix = world.unix_ms();
        let has =
            |p: &&Proxy| world.server.next_message(p.stream, Priority::Ordinary, world.now, unix).is_some();
        proxies.iter().filter(has).count()
    };
    let unix = world.unix_ms();
    for proxy in &proxies {
        assert!(world.server.next_message(proxy.stream, Priority::Urgent, world.now, unix).is_some());
    }
    let first = ordinary(&mut world, &proxies);
    assert!(first < 60, "{first} at once");
    for _ in 0..10 {
        world.pass(ms(10));
    }
    for proxy in &mut proxies {
        proxy.reopen(&mut world);
    }
    for _ in 0..10 {
        world.pass(ms(10));
    }
    assert_eq!(ordinary(&mut world, &proxies), 60);
}

/// What a schedule is made of.
#[derive(Clone, Debug)]
enum Step {
    Drain(u8),
    Gone(u8),
    Back(u8),
    Purge(u8),
    Pass(u8),
    /// A proxy takes a message and answers it, or keeps the answer back.
    Take(u8, bool),
    /// It says what it kept back.
    Answer(u8),
    Refuse(u8),
    Reconnect(u8),
}

/// Five caches and two parents.
fn host(n: u8) -> String {
    if n < 5 { format!("cache-{n}") } else { format!("parent-{}", 995 + u32::from(n)) }
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        (0u8..7).prop_map(Step::Drain),
        (0u8..7).prop_map(Step::Gone),
        (0u8..7).prop_map(Step::Back),
        (0u8..20).prop_map(Step::Purge),
        (1u8..60).prop_map(Step::Pass),
        (0u8..3, any::<bool>()).prop_map(|(proxy, answers)| Step::Take(proxy, answers)),
        (0u8..3, any::<bool>()).prop_map(|(proxy, answers)| Step::Take(proxy, answers)),
        (0u8..3).prop_map(Step::Answer),
        (0u8..3).prop_map(Step::Refuse),
        (0u8..3).prop_map(Step::Reconnect),
    ];
    proptest::collection::vec(step, 1..80)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 100, ..ProptestConfig::default() })]

    /// Whatever happened: a proxy with a lease knows every drain that was told a grace ago, and once all is quiet every
    /// proxy knows all there is.
    #[test]
    fn any_schedule_keeps_the_lease_honest_and_ends_in_agreement(steps in steps()) {
        let mut world = World::new(5, 2);
        let mut proxies = [
            Proxy::join(&mut world, ProtocolVariant::Delta),
            Proxy::join(&mut world, ProtocolVariant::Whole),
            Proxy::join(&mut world, ProtocolVariant::Delta),
        ];
        let mut kept: [Vec<Request>; 3] = Default::default();
        let mut drained = std::collections::BTreeMap::<String, Duration>::new();
        for step in steps {
            match step {
                Step::Drain(n) => {
                    let name = host(n);
                    if world.fleet.entries().count() > 0 {
                        world.told(&name, "leaving", 0);
                        drained.entry(name).or_insert(world.now);
                    }
                }
                Step::Gone(n) => {
                    let name = host(n);
                    world.told(&name, "left", 0);
                    drained.entry(name).or_insert(world.now);
                }
                Step::Back(n) => {
                    let name = host(n);
                    let since = world.unix_ms();
                    world.told(&name, "active", since);
                    drained.remove(&name);
                }
                Step::Purge(n) => {
                    let at = world.unix_ms() as f64;
                    world.purge(None, Some(n.into()), at);
                }
                Step::Pass(by) => world.pass(ms(by.into())),
                Step::Take(n, answers) => {
                    let proxy = &mut proxies[usize::from(n)];
                    if let Some(message) = world.next(proxy.stream) {
                        let answer = proxy.take(&message, world.unix_ms());
                        kept[usize::from(n)].push(answer);
                    }
                    if answers {
                        for answer in kept[usize::from(n)].drain(..) {
                            world.server.on_request(proxy.stream, &answer, world.now).unwrap();
                        }
                    }
                }
                Step::Answer(n) => {
                    for answer in kept[usize::from(n)].drain(..) {
                        world.server.on_request(proxies[usize::from(n)].stream, &answer, world.now).unwrap();
                    }
                }
                Step::Refuse(n) => {
                    let proxy = &mut proxies[usize::from(n)];
                    proxy.refuses = if proxy.refuses.is_some() { None } else { Some("caches/cache-1".into()) };
                }
                Step::Reconnect(n) => {
                    kept[usize::from(n)].clear();
                    proxies[usize::from(n)].reopen(&mut world);
                }
            }
            let unix = world.unix_ms();
            for proxy in &proxies {
                for (name, at) in &drained {
                    let known = proxy.follower.host(name).is_some_and(|line| !line.draining && line.part > 0.0);
                    let leased = proxy.follower.lease_left_ms(unix) > 0;
                    prop_assert!(!known || !leased || world.now < *at + ms(250), "{name} is used {:?} after", world.now - *at);
                }
            }
        }
        for (proxy, kept) in proxies.iter_mut().zip(&mut kept) {
            kept.clear();
            proxy.refuses = None;
            proxy.reopen(&mut world);
        }
        // What an instance does not know of at once it takes back only when it must have heard all.
        for _ in 0..100 {
            world.pass(ms(100));
            for proxy in &mut proxies {
                proxy.drain(&mut world);
            }
        }
        for proxy in &proxies {
            knows_all(&world, proxy);
        }
    }
}

#[test]
fn a_lease_comes_only_with_or_after_all_that_it_vouches_for() {
    for form in [ProtocolVariant::Whole, ProtocolVariant::Delta] {
        let mut world = World::new(5, 3);
        let mut proxy = join(&mut world, form);
        world.server.close_stream(proxy.stream);
        world.pass(ms(300));
        assert_eq!(proxy.follower.lease_left_ms(world.unix_ms()), 0);
        world.told("cache-1", "leaving", 0);
        world.purge(Some("0000000000000007"), None, world.unix_ms() as f64);
        proxy.open(&mut world);
        // Something urgent of one assignment comes while another is still owed, with a drain in it.
        world.told("parent-1001", "leaving", 0);
        for _ in 0..40 {
            if let Some(message) = world.next(proxy.stream) {
                let answer = proxy.take(&message, world.unix_ms());
                world.server.on_request(proxy.stream, &answer, world.now).unwrap();
            }
            if proxy.follower.lease_left_ms(world.unix_ms()) > 0 {
                for host in ["cache-1", "parent-1001"] {
                    assert!(proxy.follower.host(host).unwrap().draining, "{form:?}: {host}");
                }
                assert!(proxy.choice(7, world.unix_ms()).unwrap().3 < ms(400), "{form:?}: the purge");
            }
            world.pass(ms(1));
        }
        assert!(proxy.follower.lease_left_ms(world.unix_ms()) > 0, "{form:?}");
    }
}

//! The state of ADS streams: single difficult cases, and generated schedules that combine them.

mod common;

use common::{Proxy, TestControlPlane, host_entry, lease, ms};
use myrtlegauge_control::ads_server::{
    AdsServer, Priority, ProtocolVariant, Request, StreamEndReason, StreamId,
};
use myrtlegauge_control::lease::Lease;
use myrtlegauge_control::resource_cache::ResourceType;
use proptest::prelude::*;
use std::time::Duration;

fn connect(control: &mut TestControlPlane, variant: ProtocolVariant) -> Proxy {
    let mut proxy = Proxy::connect(control, variant);
    proxy.handle_all(control);
    proxy
}

/// Checks that the follower of a proxy knows every published host and no other.
fn assert_knows_every_host(control: &TestControlPlane, proxy: &Proxy) {
    for (name, resource) in control.server.cache().all(ResourceType::Host) {
        let known = proxy.follower.host(name.split_once('/').unwrap().1);
        let known = known.unwrap_or_else(|| panic!("{name} is not known"));
        assert_eq!(known.draining, resource.version.revision > 0, "{name}");
    }
    assert_eq!(proxy.follower.host_count(), control.server.cache().all(ResourceType::Host).count());
}

#[test]
fn a_new_stream_gets_every_resource_in_order_and_the_lease_after_what_it_covers() {
    let mut control = TestControlPlane::new(3, 2);
    control.list_host("cache-2", "leaving", 0);
    let mut messages = String::new();
    for variant in [ProtocolVariant::Delta, ProtocolVariant::Whole] {
        let proxy = connect(&mut control, variant);
        messages += &format!("{variant:?}\n");
        for (priority, resource_type, count) in &proxy.received {
            messages += &format!("  {priority:?} {resource_type:?} {count}\n");
        }
        assert_knows_every_host(&control, &proxy);
        assert!(proxy.follower.lease_left_ms(control.unix_ms()) > 200);
    }
    insta::assert_snapshot!(messages);
}

/// Heartbeats of a long lease are rarely due. Frequent checks before one is due must not postpone it.
#[test]
fn a_long_lease_is_renewed_however_often_it_is_checked() {
    let mut control =
        TestControlPlane::with_lease(2, 1, Lease::from_grace_periods(ms(10_000), ms(10_000), ms(5)));
    let proxy = connect(&mut control, ProtocolVariant::Delta);
    let mut heartbeats = 0;
    for _ in 0..200 {
        control.advance_time(ms(50));
        let message = control.server.next_message(proxy.stream, Priority::Heartbeat, control.now, 0);
        heartbeats += u32::from(message.is_some());
    }
    assert!((4..=6).contains(&heartbeats), "{heartbeats} in five fifths of a lease");
}

#[test]
fn a_reconnect_at_any_point_gets_only_the_differences() {
    for variant in [ProtocolVariant::Delta, ProtocolVariant::Whole] {
        for point in 0..8 {
            let mut control = TestControlPlane::new(4, 2);
            let mut proxy = Proxy::connect(&mut control, variant);
            // The proxy receives some messages, acknowledges all but the last, and disconnects.
            for index in 0..point {
                let Some(message) = control.next(proxy.stream) else { break };
                let answer = proxy.handle(&message, control.unix_ms());
                if index + 1 < point {
                    control.server.on_request(proxy.stream, &answer, control.now).unwrap();
                }
            }
            control.list_host("cache-1", "leaving", 0);
            proxy.reopen(&mut control);
            proxy.handle_all(&mut control);
            assert_knows_every_host(&control, &proxy);
            // A reconnect without changes: no host is sent again.
            proxy.reopen(&mut control);
            proxy.received.clear();
            proxy.handle_all(&mut control);
            let host_count: usize = proxy
                .received
                .iter()
                .filter(|(_, resource_type, _)| *resource_type == ResourceType::Host)
                .map(|(.., count)| count)
                .sum();
            assert_eq!(host_count, 0, "{variant:?} at {point}: {:?}", proxy.received);
        }
    }
}

#[test]
fn drains_and_purges_overtake_unacknowledged_ordinary_messages() {
    let mut control = TestControlPlane::new(200, 4);
    let proxy = Proxy::connect(&mut control, ProtocolVariant::Delta);
    // The proxy has acknowledged nothing yet, and many resources are still pending.
    let unix_ms = control.unix_ms();
    control
        .server
        .next_message(proxy.stream, Priority::Ordinary, control.now, unix_ms)
        .expect("an ordinary message");
    control.list_host("cache-77", "leaving", 0);
    control.purge(Some("00000000000000aa"), None, unix_ms as f64);
    let urgent: Vec<_> = std::iter::from_fn(|| {
        control.server.next_message(proxy.stream, Priority::Urgent, control.now, unix_ms)
    })
    .map(|message| (message.resource_type, message.resources.len()))
    .collect();
    assert_eq!(urgent, [(ResourceType::Notice, 1), (ResourceType::Host, 1)]);
}

#[test]
fn a_proxy_that_never_acknowledges_gets_limited_messages_and_loses_its_lease_then_its_stream() {
    let mut control = TestControlPlane::new(3, 2);
    let mut proxy = connect(&mut control, ProtocolVariant::Delta);
    let mut urgent_count = 0;
    for group in 0..100u64 {
        control.purge(None, Some(group % 200), control.unix_ms() as f64);
        while let Some(message) = control.next(proxy.stream) {
            urgent_count += usize::from(message.priority == Priority::Urgent);
        }
        control.advance_time(ms(3));
    }
    assert_eq!(urgent_count, 16);
    control.advance_time(lease().ttl);
    let unix_ms = control.unix_ms();
    assert!(control.server.next_message(proxy.stream, Priority::Heartbeat, control.now, unix_ms).is_none());
    assert_eq!(proxy.follower.lease_left_ms(control.unix_ms()), 0);
    control.now += Duration::from_secs(31);
    assert_eq!(control.server.advance(control.now), [proxy.stream]);
    // After a reconnect it gets everything that it missed in one message.
    control.now -= Duration::from_secs(31);
    proxy.received.clear();
    proxy.reopen(&mut control);
    proxy.handle_all(&mut control);
    let notices: Vec<_> = proxy
        .received
        .iter()
        .filter(|(_, resource_type, _)| *resource_type == ResourceType::Notice)
        .collect();
    assert_eq!(notices, [&(Priority::Urgent, ResourceType::Notice, 100)]);
}

#[test]
fn only_the_faulty_resource_of_a_message_stays_rejected_and_a_rejected_drain_ends_the_lease() {
    let mut control = TestControlPlane::new(6, 2);
    let mut proxy = Proxy::connect(&mut control, ProtocolVariant::Delta);
    proxy.rejected_name = Some("caches/cache-3".into());
    proxy.handle_all(&mut control);
    let nacked = |control: &TestControlPlane, stream: StreamId| -> Vec<String> {
        let status = control.server.stream_statuses(control.now).find(|status| status.id == stream).unwrap();
        status
            .nacked
            .iter()
            .map(|(resource_type, name, nack)| format!("{resource_type:?} {name}: {}", nack.error))
            .collect()
    };
    assert_eq!(nacked(&control, proxy.stream), ["Host caches/cache-3: rejected by the test"]);
    assert!(proxy.follower.host("cache-3").is_none() && proxy.follower.host("cache-4").is_some());
    // It rejected an active host: the lease still holds.
    assert!(proxy.follower.lease_left_ms(control.unix_ms()) > 0);
    // The rejected version is not sent again.
    proxy.received.clear();
    control.advance_time(ms(10));
    assert_eq!(proxy.handle_all(&mut control), 0);
    // It rejects a drain: its lease is not renewed until it has accepted the drain.
    proxy.rejected_name = Some("caches/cache-4".into());
    control.list_host("cache-4", "leaving", 0);
    proxy.handle_all(&mut control);
    for _ in 0..10 {
        control.advance_time(ms(40));
        proxy.handle_all(&mut control);
    }
    assert_eq!(proxy.follower.lease_left_ms(control.unix_ms()), 0);
    assert_eq!(proxy.choice(1, control.unix_ms()), Err("NoLease".into()));
    proxy.rejected_name = None;
    proxy.reopen(&mut control);
    proxy.handle_all(&mut control);
    assert_knows_every_host(&control, &proxy);
    assert!(proxy.choice(1, control.unix_ms()).is_ok());
}

#[test]
fn a_stale_nonce_does_not_affect_unacknowledged_messages() {
    let mut control = TestControlPlane::new(3, 2);
    let mut proxy = connect(&mut control, ProtocolVariant::Delta);
    control.list_host("cache-0", "leaving", 0);
    let first = control.next(proxy.stream).unwrap();
    let answer = proxy.handle(&first, control.unix_ms());
    control.server.on_request(proxy.stream, &answer, control.now).unwrap();
    control.list_host("cache-1", "leaving", 0);
    let second = control.next(proxy.stream).unwrap();
    // A NACK with the nonce of the first message, which was acknowledged before.
    let stale = Request { error_detail: Some("late".into()), ..answer };
    control.server.on_request(proxy.stream, &stale, control.now).unwrap();
    let status = control.server.stream_statuses(control.now).next().unwrap();
    assert_eq!((status.nacked.len(), status.counters.stale_nonces), (0, 1));
    let answer = proxy.handle(&second, control.unix_ms());
    control.server.on_request(proxy.stream, &answer, control.now).unwrap();
    assert_knows_every_host(&control, &proxy);
}

#[test]
fn a_subscription_that_changed_before_the_response_is_answered_as_it_is_now() {
    let mut control = TestControlPlane::new(3, 2);
    let stream = control.server.open_stream(ProtocolVariant::Delta, "test", control.now).unwrap();
    control.server.advance(control.now);
    let subscribe = |control: &mut TestControlPlane, names: &[&str], unsubscribed: &[&str]| {
        let owned = |names: &[&str]| names.iter().map(|name| (*name).to_owned()).collect();
        let type_url = ResourceType::Host.type_url().into();
        let request = Request {
            type_url,
            resource_names: owned(names),
            unsubscribed_names: owned(unsubscribed),
            ..Request::default()
        };
        control.server.on_request(stream, &request, control.now).unwrap();
    };
    subscribe(&mut control, &["caches/cache-0", "caches/cache-1", "caches/no-such"], &[]);
    subscribe(&mut control, &["caches/cache-2"], &["caches/cache-0"]);
    let message = control.next(stream).unwrap();
    let names: Vec<_> = message.resources.iter().map(|resource| &*resource.name).collect();
    assert_eq!(names, ["caches/cache-1", "caches/cache-2"]);
    // A requested resource that does not exist is sent as removed, so that the proxy does not wait for it.
    assert_eq!(message.removed.iter().map(|name| &**name).collect::<Vec<_>>(), ["caches/no-such"]);
    // An unsubscribed resource is not sent any more, even if it drains.
    control.list_host("cache-0", "leaving", 0);
    assert_eq!(control.next(stream), None);
    // A new host without a subscription is not sent.
    control.fleet.on_host_list(&[host_entry("cache-9", "active", 0)], false, control.now);
    control.publish();
    assert_eq!(control.next(stream), None, "no subscription to cache-9");
}

#[test]
fn limits_are_enforced_and_reported() {
    let mut server = AdsServer::new(lease(), 2);
    server.set_ready();
    let first = server.open_stream(ProtocolVariant::Delta, "a", ms(0)).unwrap();
    server.open_stream(ProtocolVariant::Whole, "b", ms(0)).unwrap();
    assert_eq!(server.open_stream(ProtocolVariant::Whole, "c", ms(0)), Err(StreamEndReason::StreamLimit));
    let request = |names: Vec<String>, url: &str| Request {
        type_url: url.into(),
        resource_names: names,
        ..Request::default()
    };
    let too_many_names = (0..10_000).map(|index| format!("caches/{index}")).collect();
    assert_eq!(
        server.on_request(first, &request(too_many_names, ResourceType::Host.type_url()), ms(0)),
        Err(StreamEndReason::SubscriptionLimit)
    );
    assert_eq!(
        server.on_request(first, &request(vec!["x".repeat(300)], ResourceType::Host.type_url()), ms(0)),
        Err(StreamEndReason::SubscriptionLimit)
    );
    // A request for an unknown type is counted, and the stream stays open.
    assert_eq!(server.on_request(first, &request(vec![], "type.googleapis.com/none"), ms(0)), Ok(()));
    assert_eq!(server.stream_statuses(ms(0)).next().unwrap().counters.unknown_types, 1);
    server.close_stream(first);
    server.open_stream(ProtocolVariant::Whole, "c", ms(0)).unwrap();
}

#[test]
fn nothing_is_sent_before_the_host_list_is_known() {
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
    // From now on, an empty state is sent as a response, too.
    assert!(server.next_message(stream, Priority::Ordinary, ms(200), 1).unwrap().resources.is_empty());
}

#[test]
fn many_new_streams_are_admitted_at_a_limited_rate_and_get_drains_before_admission() {
    let mut control = TestControlPlane::new(3, 2);
    let mut proxies: Vec<_> = (0..60).map(|_| Proxy::connect(&mut control, ProtocolVariant::Delta)).collect();
    control.list_host("cache-0", "leaving", 0);
    let ordinary_count = |control: &mut TestControlPlane, proxies: &[Proxy]| {
        let unix_ms = control.unix_ms();
        let has_ordinary = |proxy: &&Proxy| {
            control.server.next_message(proxy.stream, Priority::Ordinary, control.now, unix_ms).is_some()
        };
        proxies.iter().filter(has_ordinary).count()
    };
    let unix_ms = control.unix_ms();
    for proxy in &proxies {
        assert!(control.server.next_message(proxy.stream, Priority::Urgent, control.now, unix_ms).is_some());
    }
    let first_count = ordinary_count(&mut control, &proxies);
    assert!(first_count < 60, "{first_count} at once");
    for _ in 0..10 {
        control.advance_time(ms(10));
    }
    for proxy in &mut proxies {
        proxy.reopen(&mut control);
    }
    for _ in 0..10 {
        control.advance_time(ms(10));
    }
    assert_eq!(ordinary_count(&mut control, &proxies), 60);
}

/// A step of a schedule.
#[derive(Clone, Debug)]
enum Step {
    DrainHost(u8),
    RemoveHost(u8),
    RestartHost(u8),
    Purge(u8),
    AdvanceTime(u8),
    /// A proxy receives a message, and acknowledges it or holds the response back.
    Receive(u8, bool),
    /// A proxy sends the responses that it held back.
    Acknowledge(u8),
    ToggleRejection(u8),
    Reconnect(u8),
}

/// The name of a host: five caches and two parents.
fn host_name(number: u8) -> String {
    if number < 5 { format!("cache-{number}") } else { format!("parent-{}", 995 + u32::from(number)) }
}

fn schedule() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        (0u8..7).prop_map(Step::DrainHost),
        (0u8..7).prop_map(Step::RemoveHost),
        (0u8..7).prop_map(Step::RestartHost),
        (0u8..20).prop_map(Step::Purge),
        (1u8..60).prop_map(Step::AdvanceTime),
        (0u8..3, any::<bool>()).prop_map(|(proxy, acknowledges)| Step::Receive(proxy, acknowledges)),
        (0u8..3, any::<bool>()).prop_map(|(proxy, acknowledges)| Step::Receive(proxy, acknowledges)),
        (0u8..3).prop_map(Step::Acknowledge),
        (0u8..3).prop_map(Step::ToggleRejection),
        (0u8..3).prop_map(Step::Reconnect),
    ];
    proptest::collection::vec(step, 1..80)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 100, ..ProptestConfig::default() })]

    /// In any schedule, a proxy with a lease knows every drain that was published a grace ago, and in the end every proxy
    /// knows every host.
    #[test]
    fn in_any_schedule_the_lease_covers_every_drain_and_all_proxies_converge(steps in schedule()) {
        let mut control = TestControlPlane::new(5, 2);
        let mut proxies = [
            Proxy::connect(&mut control, ProtocolVariant::Delta),
            Proxy::connect(&mut control, ProtocolVariant::Whole),
            Proxy::connect(&mut control, ProtocolVariant::Delta),
        ];
        let mut held_back: [Vec<Request>; 3] = Default::default();
        let mut drained = std::collections::BTreeMap::<String, Duration>::new();
        for step in steps {
            match step {
                Step::DrainHost(number) => {
                    let name = host_name(number);
                    if control.fleet.entries().count() > 0 {
                        control.list_host(&name, "leaving", 0);
                        drained.entry(name).or_insert(control.now);
                    }
                }
                Step::RemoveHost(number) => {
                    let name = host_name(number);
                    control.list_host(&name, "left", 0);
                    drained.entry(name).or_insert(control.now);
                }
                Step::RestartHost(number) => {
                    let name = host_name(number);
                    let started_unix_ms = control.unix_ms();
                    control.list_host(&name, "active", started_unix_ms);
                    drained.remove(&name);
                }
                Step::Purge(number) => {
                    let purged_unix_ms = control.unix_ms() as f64;
                    control.purge(None, Some(number.into()), purged_unix_ms);
                }
                Step::AdvanceTime(by) => control.advance_time(ms(by.into())),
                Step::Receive(number, acknowledges) => {
                    let proxy = &mut proxies[usize::from(number)];
                    if let Some(message) = control.next(proxy.stream) {
                        let answer = proxy.handle(&message, control.unix_ms());
                        held_back[usize::from(number)].push(answer);
                    }
                    if acknowledges {
                        for answer in held_back[usize::from(number)].drain(..) {
                            control.server.on_request(proxy.stream, &answer, control.now).unwrap();
                        }
                    }
                }
                Step::Acknowledge(number) => {
                    for answer in held_back[usize::from(number)].drain(..) {
                        control.server.on_request(proxies[usize::from(number)].stream, &answer, control.now).unwrap();
                    }
                }
                Step::ToggleRejection(number) => {
                    let proxy = &mut proxies[usize::from(number)];
                    proxy.rejected_name = if proxy.rejected_name.is_some() { None } else { Some("caches/cache-1".into()) };
                }
                Step::Reconnect(number) => {
                    held_back[usize::from(number)].clear();
                    proxies[usize::from(number)].reopen(&mut control);
                }
            }
            let unix_ms = control.unix_ms();
            for proxy in &proxies {
                for (name, drained_at) in &drained {
                    let is_used = proxy.follower.host(name).is_some_and(|line| !line.draining && line.part > 0.0);
                    let has_lease = proxy.follower.lease_left_ms(unix_ms) > 0;
                    prop_assert!(!is_used || !has_lease || control.now < *drained_at + ms(250), "{name} is used {:?} after", control.now - *drained_at);
                }
            }
        }
        for (proxy, held_back) in proxies.iter_mut().zip(&mut held_back) {
            held_back.clear();
            proxy.rejected_name = None;
            proxy.reopen(&mut control);
        }
        // A fact that an instance does not know is reverted only after the time within which it must have received it.
        for _ in 0..100 {
            control.advance_time(ms(100));
            for proxy in &mut proxies {
                proxy.handle_all(&mut control);
            }
        }
        for proxy in &proxies {
            assert_knows_every_host(&control, proxy);
        }
    }
}

#[test]
fn a_lease_arrives_only_with_or_after_everything_that_it_covers() {
    for variant in [ProtocolVariant::Whole, ProtocolVariant::Delta] {
        let mut control = TestControlPlane::new(5, 3);
        let mut proxy = connect(&mut control, variant);
        control.server.close_stream(proxy.stream);
        control.advance_time(ms(300));
        assert_eq!(proxy.follower.lease_left_ms(control.unix_ms()), 0);
        control.list_host("cache-1", "leaving", 0);
        control.purge(Some("0000000000000007"), None, control.unix_ms() as f64);
        proxy.open(&mut control);
        // One assignment has an urgent change while another one, which contains a drain, is still pending.
        control.list_host("parent-1001", "leaving", 0);
        for _ in 0..40 {
            if let Some(message) = control.next(proxy.stream) {
                let answer = proxy.handle(&message, control.unix_ms());
                control.server.on_request(proxy.stream, &answer, control.now).unwrap();
            }
            if proxy.follower.lease_left_ms(control.unix_ms()) > 0 {
                for host in ["cache-1", "parent-1001"] {
                    assert!(proxy.follower.host(host).unwrap().draining, "{variant:?}: {host}");
                }
                assert!(proxy.choice(7, control.unix_ms()).unwrap().3 < ms(400), "{variant:?}: the purge");
            }
            control.advance_time(ms(1));
        }
        assert!(proxy.follower.lease_left_ms(control.unix_ms()) > 0, "{variant:?}");
    }
}

//! The walk along a ring, and what a request costs in hosts looked at and points visited, by the number of hosts.

mod common;

use common::{RouterRig, settings};
use myrtlegauge::decide::MAX_WALKED_HOSTS;
use myrtlegauge::interface::*;
use myrtlegauge::snapshot::{RoutingTable, Tier, ring_key};
use myrtlegauge::{Ring, RingMember, WalkCost};
use myrtlegauge_recovery::bits::mix;
use proptest::prelude::*;
use serde_json::json;
use std::collections::BTreeSet;

/// Caches of a fleet, and as many parents.
const FLEETS: [usize; 5] = [8, 32, 100, 290, 2000];
/// Hubs of the parents; the first is the router's own.
const HUBS: usize = 4;
const EDGE: usize = HUBS;
const REQUESTS: u64 = 300;
/// Walks of one request: two over the caches (the one that failed it last is left out, then let in); one over the parents
/// of each hub, near and far, and one more over the near ones for a fill that waits.
const CACHE_WALKS: u64 = 2;
const PARENT_WALKS: u64 = 3;
/// Ring points for each host that a walk may meet: 32 hosts of 32 take 130 points on the mean.
const POINTS_A_HOST: u64 = 16;
/// Outcomes by which a host is judged.
const FAILURES: usize = 4;

fn member() -> impl Strategy<Value = RingMember> {
    // Points are uneven, and a host may have none.
    (any::<u64>(), 0..40u64, any::<bool>()).prop_map(|(mark, points, near)| RingMember {
        host: 0,
        id_hash: mark,
        points,
        is_near: near,
    })
}

fn fleet(most: usize) -> impl Strategy<Value = Vec<RingMember>> {
    prop::collection::vec(member(), 0..most).prop_map(|mut members| {
        members.iter_mut().enumerate().for_each(|(host, member)| member.host = host);
        members
    })
}

/// The members of one half in the order in which they follow `key`, by all their points.
fn naive_walk(members: &[RingMember], key: u64, near: bool) -> Vec<HostIndex> {
    let half = members.iter().filter(|member| member.is_near == near);
    let mut points: Vec<_> =
        half.flat_map(|m| (0..m.points).map(|i| (mix(m.id_hash ^ mix(i)), m.host))).collect();
    points.sort_unstable();
    let start = points.partition_point(|&(at, _)| at < key);
    points = [&points[start..], &points[..start]].concat();
    let mut met = BTreeSet::new();
    points.into_iter().map(|(_, host)| host).filter(|&host| met.insert(host)).collect()
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    #[test]
    fn a_walk_meets_distinct_members_in_the_order_of_their_points(members in fleet(300), key in any::<u64>()) {
        let ring = Ring::build(members.iter().copied());
        for near in [true, false] {
            let walked: Vec<_> = ring.walk::<MAX_WALKED_HOSTS>(key, near).collect();
            let mut naive = naive_walk(&members, key, near);
            naive.truncate(MAX_WALKED_HOSTS);
            prop_assert_eq!(walked, naive);
        }
    }
}

#[test]
fn a_walk_ends_at_its_bound_or_with_the_last_member() {
    for hosts in FLEETS {
        let members = (0..hosts).map(|host| RingMember {
            host,
            id_hash: hash_host_id(&format!("{host}")),
            points: 96,
            is_near: true,
        });
        let ring = Ring::build(members);
        for request in 0..REQUESTS {
            let before = ring.walk_cost();
            let walked: Vec<_> = ring.walk::<MAX_WALKED_HOSTS>(mix(request), true).collect();
            let distinct: BTreeSet<_> = walked.iter().collect();
            assert_eq!(distinct.len(), walked.len(), "a host twice, of {hosts}");
            assert_eq!(walked.len(), hosts.min(MAX_WALKED_HOSTS), "of {hosts}");
            let points = ring.walk_cost().points - before.points;
            assert!(points <= POINTS_A_HOST * MAX_WALKED_HOSTS as u64, "{points} points, of {hosts} hosts");
            assert_eq!(ring.walk::<MAX_WALKED_HOSTS>(mix(request), false).count(), 0);
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Failed {
    None,
    Half,
    All,
}

impl Failed {
    fn holds(self, host: HostIndex) -> bool {
        match self {
            Self::None => false,
            Self::Half => mix(host as u64).is_multiple_of(2),
            Self::All => true,
        }
    }
}

/// A location with so many caches, as many parents over four hubs, and an origin.
fn location(hosts: usize, failed: Failed) -> RouterRig {
    let mut facts = settings();
    facts["zones"] = (0..=HUBS).map(|zone| format!("zone {zone}")).collect();
    facts["my_zone"] = json!(EDGE);
    facts["domain"]["hub_of"] = (0..HUBS).chain([0]).collect();
    facts["domain"]["count_by_zone"] = json!([0, 0, 0, 0, 2]);
    let mut day = RouterRig::new(facts);
    let entry = |host: HostIndex| {
        let (kind, zone) = match host {
            host if host < hosts => (0, EDGE),
            host if host < 2 * hosts => (1, host % HUBS),
            _ => (2, 0),
        };
        let mark = hash_host_id(&format!("host {host}"));
        HostEntry {
            host,
            id_hash: mark,
            status: HostStatus::Active,
            zone,
            kind,
            weight: 30.0,
            ..HostEntry::default()
        }
    };
    day.apply_host_list(ListUpdate::Full, &(0..=2 * hosts).map(entry).collect::<Vec<_>>());
    day.round(|round| {
        for host in (0..=2 * hosts).filter(|&host| failed.holds(host)) {
            (0..FAILURES).for_each(|_| round.on_host_report(host, false));
        }
    });
    day
}

/// Takes a GET and ends its forward well; where that went, if anywhere.
fn request(day: &mut RouterRig, object: u64) -> Option<Forward> {
    day.trace.last_forward = None;
    let place = day.start_get(0, object);
    let forward = day.trace.last_forward?;
    day.end_forward(place, 0, End::Returned, Note::Hit, 100);
    Some(forward)
}

fn since(now: WalkCost, before: WalkCost) -> WalkCost {
    WalkCost { hosts: now.hosts - before.hosts, points: now.points - before.points }
}

#[test]
fn a_request_looks_at_a_bounded_number_of_hosts_whatever_fails() {
    for hosts in FLEETS {
        for failed in [Failed::None, Failed::Half, Failed::All] {
            let mut day = location(hosts, failed);
            for object in 0..REQUESTS {
                let before = day.router.walk_costs();
                let forward = request(&mut day, object);
                let [caches, parents] = day.router.walk_costs();
                let case = format!("{hosts} caches, {failed:?} failed, object {object}");
                let within = |cost: WalkCost, walks: u64| {
                    let most = if failed == Failed::None { 1 } else { MAX_WALKED_HOSTS.min(hosts) as u64 };
                    assert!(cost.hosts <= walks * most, "{cost:?} in {case}");
                    assert!(cost.points <= walks * most * POINTS_A_HOST, "{cost:?} in {case}");
                };
                within(since(caches, before[0]), CACHE_WALKS);
                within(since(parents, before[1]), PARENT_WALKS);
                // Where all have failed the origin is asked straight.
                assert_eq!(forward.unwrap().host == 2 * hosts, failed == Failed::All, "{case}");
            }
        }
    }
}

#[test]
fn a_key_has_a_cache_of_its_own_and_a_near_parent_while_half_of_the_hosts_fail() {
    for hosts in FLEETS {
        let mut day = location(hosts, Failed::Half);
        let near = |host: HostIndex| host.is_multiple_of(HUBS);
        let any_near = (hosts..2 * hosts).any(|host| near(host) && !Failed::Half.holds(host));
        for object in 0..REQUESTS {
            let Forward { host, source, .. } = request(&mut day, object).unwrap();
            assert!(host < hosts && !Failed::Half.holds(host));
            assert!((hosts..2 * hosts).contains(&source) && !Failed::Half.holds(source));
            assert_eq!(near(source), any_near, "{source} of {hosts}");
        }
    }
}

#[test]
fn a_follower_chooses_as_the_module_at_any_size() {
    for hosts in FLEETS {
        for failed in [Failed::None, Failed::Half, Failed::All] {
            let mut day = location(hosts, failed);
            let reading = day.router.routing_snapshot(day.now);
            let (caches, parents) = (Tier::build(reading.caches), Tier::build(reading.parents));
            let map = RoutingTable { caches, parents, ..RoutingTable::default() };
            for object in 0..REQUESTS {
                let key = ring_key(object, 0);
                let chosen = map.cache(key, None).map(|share| share.host);
                let source = map.source(key, None, |_| true);
                let Forward { host, source: from, .. } = request(&mut day, object).unwrap();
                // A module with no cache asks the origin straight; a follower has nowhere to go.
                let cache = Some(host).filter(|_| failed != Failed::All);
                let parent = Some((from, false)).filter(|_| failed != Failed::All);
                assert_eq!((chosen, source), (cache, parent), "object {object} of {hosts}, {failed:?}");
            }
        }
    }
}

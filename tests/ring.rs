//! Walks along a ring, and the cost of a request in hosts examined and points visited, for fleets of different sizes.

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

/// Numbers of caches in a fleet, which has as many parents.
const FLEET_SIZES: [usize; 5] = [8, 32, 100, 290, 2000];
/// Number of hubs that hold the parents; the first one is the router's own.
const HUBS: usize = 4;
/// Zone of the caches, after the zones of the hubs.
const EDGE_ZONE: usize = HUBS;
const REQUESTS: u64 = 300;
/// Largest number of walks over the caches for one request: without the cache that failed the request last, then with it.
const CACHE_WALKS: u64 = 2;
/// Largest number of walks over the parents for one request: one each over the near and the far parents, and one more over
/// the near ones for a fill that waits.
const PARENT_WALKS: u64 = 3;
/// Ring points that a walk may visit for each host that it finds. Finding all of 32 hosts takes 130 points on average.
const MAX_POINTS_PER_HOST: u64 = 16;
/// Number of recent outcomes that decide whether a host has failed.
const RECENT_OUTCOMES: usize = 4;

fn member() -> impl Strategy<Value = RingMember> {
    // The numbers of points differ, and a host may have none.
    (any::<u64>(), 0..40u64, any::<bool>()).prop_map(|(id_hash, points, is_near)| RingMember {
        host: 0,
        id_hash,
        points,
        is_near,
    })
}

fn fleet(max_size: usize) -> impl Strategy<Value = Vec<RingMember>> {
    prop::collection::vec(member(), 0..max_size).prop_map(|mut members| {
        members.iter_mut().enumerate().for_each(|(host, member)| member.host = host);
        members
    })
}

/// Reference implementation of a walk: the near or far members in the order in which their points follow `key`.
fn reference_walk(members: &[RingMember], key: u64, is_near: bool) -> Vec<HostIndex> {
    let selected = members.iter().filter(|member| member.is_near == is_near);
    let mut points: Vec<_> = selected
        .flat_map(|member| (0..member.points).map(|index| (mix(member.id_hash ^ mix(index)), member.host)))
        .collect();
    points.sort_unstable();
    let start = points.partition_point(|&(position, _)| position < key);
    points = [&points[start..], &points[..start]].concat();
    let mut found = BTreeSet::new();
    points.into_iter().map(|(_, host)| host).filter(|&host| found.insert(host)).collect()
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    #[test]
    fn a_walk_finds_distinct_members_in_the_order_of_their_points(members in fleet(300), key in any::<u64>()) {
        let ring = Ring::build(members.iter().copied());
        for is_near in [true, false] {
            let walked: Vec<_> = ring.walk::<MAX_WALKED_HOSTS>(key, is_near).collect();
            let mut expected = reference_walk(&members, key, is_near);
            expected.truncate(MAX_WALKED_HOSTS);
            prop_assert_eq!(walked, expected);
        }
    }
}

/// Members of which some change, join and leave between two updates: each host's member in one update, if it is in it.
fn membership(hosts: usize) -> impl Strategy<Value = Vec<RingMember>> {
    let drawn = prop::collection::vec(prop::option::weighted(0.8, (0..3u64, 0..12u64, any::<bool>())), hosts);
    drawn.prop_map(|members| {
        let member = |(host, drawn): (usize, Option<(u64, u64, bool)>)| {
            let (incarnation, points, is_near) = drawn?;
            Some(RingMember { host, id_hash: mix(host as u64 ^ mix(incarnation)), points, is_near })
        };
        members.into_iter().enumerate().filter_map(member).collect()
    })
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// Guards against a ring that drifts from the host list, since only the points of changed members are sorted.
    #[test]
    fn a_ring_after_any_updates_is_point_for_point_the_one_built_anew(
        updates in prop::collection::vec(membership(40), 1..12),
        key in any::<u64>(),
    ) {
        let mut ring = Ring::default();
        for members in updates {
            ring.update(members.iter().copied());
            let built = Ring::build(members.iter().copied());
            for is_near in [true, false] {
                prop_assert_eq!(ring.points(is_near), built.points(is_near));
                let walked: Vec<_> = ring.walk::<MAX_WALKED_HOSTS>(key, is_near).collect();
                prop_assert_eq!(walked, built.walk::<MAX_WALKED_HOSTS>(key, is_near).collect::<Vec<_>>());
            }
            prop_assert!(ring.members_with_points().eq(built.members_with_points()));
        }
    }
}

#[test]
fn a_walk_ends_at_its_limit_or_after_the_last_member() {
    for hosts in FLEET_SIZES {
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
            assert_eq!(distinct.len(), walked.len(), "a walk over {hosts} hosts found a host twice");
            assert_eq!(walked.len(), hosts.min(MAX_WALKED_HOSTS), "hosts found in a walk over {hosts}");
            let points = ring.walk_cost().points - before.points;
            assert!(
                points <= MAX_POINTS_PER_HOST * MAX_WALKED_HOSTS as u64,
                "a walk over {hosts} hosts visited {points} points"
            );
            assert_eq!(ring.walk::<MAX_WALKED_HOSTS>(mix(request), false).count(), 0);
        }
    }
}

/// Which hosts of a fleet have failed.
#[derive(Clone, Copy, Debug, PartialEq)]
enum FailedHosts {
    None,
    Half,
    All,
}

impl FailedHosts {
    fn contains(self, host: HostIndex) -> bool {
        match self {
            Self::None => false,
            Self::Half => mix(host as u64).is_multiple_of(2),
            Self::All => true,
        }
    }
}

/// Returns a location with `hosts` caches, as many parents in four hubs, and an origin.
fn location(hosts: usize, failed: FailedHosts) -> RouterRig {
    let mut configuration = settings();
    configuration["zones"] = (0..=HUBS).map(|zone| format!("zone {zone}")).collect();
    configuration["my_zone"] = json!(EDGE_ZONE);
    configuration["domain"]["hub_of"] = (0..HUBS).chain([0]).collect();
    configuration["domain"]["count_by_zone"] = json!([0, 0, 0, 0, 2]);
    let mut fixture = RouterRig::new(configuration);
    let entry = |host: HostIndex| {
        let (kind, zone) = match host {
            host if host < hosts => (0, EDGE_ZONE),
            host if host < 2 * hosts => (1, host % HUBS),
            _ => (2, 0),
        };
        let id_hash = hash_host_id(&format!("host {host}"));
        HostEntry {
            host,
            id_hash,
            status: HostStatus::Active,
            zone,
            kind,
            weight: 30.0,
            ..HostEntry::default()
        }
    };
    fixture.apply_host_list(ListUpdate::Full, &(0..=2 * hosts).map(entry).collect::<Vec<_>>());
    fixture.round(|round| {
        for host in (0..=2 * hosts).filter(|&host| failed.contains(host)) {
            (0..RECENT_OUTCOMES).for_each(|_| round.on_host_report(host, false));
        }
    });
    fixture
}

/// Takes a GET, returns it successfully if it is forwarded, and yields that forward.
fn request(fixture: &mut RouterRig, object: u64) -> Option<Forward> {
    fixture.trace.last_forward = None;
    let get_index = fixture.start_get(0, object);
    let forward = fixture.trace.last_forward?;
    fixture.end_forward(get_index, 0, End::Returned, Note::Hit, 100);
    Some(forward)
}

fn cost_since(now: WalkCost, before: WalkCost) -> WalkCost {
    WalkCost { hosts: now.hosts - before.hosts, points: now.points - before.points }
}

#[test]
fn a_request_examines_a_bounded_number_of_hosts_whichever_hosts_fail() {
    for hosts in FLEET_SIZES {
        for failed in [FailedHosts::None, FailedHosts::Half, FailedHosts::All] {
            let mut fixture = location(hosts, failed);
            for object in 0..REQUESTS {
                let before = fixture.router.walk_costs();
                let forward = request(&mut fixture, object);
                let [caches, parents] = fixture.router.walk_costs();
                let case = format!("{hosts} caches, {failed:?} failed, object {object}");
                let check_cost = |cost: WalkCost, walks: u64| {
                    let max_hosts =
                        if failed == FailedHosts::None { 1 } else { MAX_WALKED_HOSTS.min(hosts) as u64 };
                    assert!(cost.hosts <= walks * max_hosts, "too many hosts: {cost:?} with {case}");
                    assert!(
                        cost.points <= walks * max_hosts * MAX_POINTS_PER_HOST,
                        "too many points: {cost:?} with {case}"
                    );
                };
                check_cost(cost_since(caches, before[0]), CACHE_WALKS);
                check_cost(cost_since(parents, before[1]), PARENT_WALKS);
                // If all hosts have failed, the GET is sent directly to the origin.
                assert_eq!(forward.unwrap().host == 2 * hosts, failed == FailedHosts::All, "{case}");
            }
        }
    }
}

#[test]
fn a_key_gets_a_cache_and_a_near_parent_that_have_not_failed_while_half_of_the_hosts_fail() {
    for hosts in FLEET_SIZES {
        let mut fixture = location(hosts, FailedHosts::Half);
        let is_near = |host: HostIndex| host.is_multiple_of(HUBS);
        let has_near_parent =
            (hosts..2 * hosts).any(|host| is_near(host) && !FailedHosts::Half.contains(host));
        for object in 0..REQUESTS {
            let Forward { host, source, .. } = request(&mut fixture, object).unwrap();
            assert!(host < hosts && !FailedHosts::Half.contains(host));
            assert!((hosts..2 * hosts).contains(&source) && !FailedHosts::Half.contains(source));
            assert_eq!(is_near(source), has_near_parent, "fill from parent {source} with {hosts} caches");
        }
    }
}

#[test]
fn a_routing_table_chooses_the_same_hosts_as_the_router_at_any_fleet_size() {
    for hosts in FLEET_SIZES {
        for failed in [FailedHosts::None, FailedHosts::Half, FailedHosts::All] {
            let mut fixture = location(hosts, failed);
            let snapshot = fixture.router.routing_snapshot(fixture.now);
            let (caches, parents) = (Tier::build(snapshot.caches), Tier::build(snapshot.parents));
            let table = RoutingTable { caches, parents, ..RoutingTable::default() };
            for object in 0..REQUESTS {
                let key = ring_key(object, 0);
                let table_cache = table.cache(key, None).map(|share| share.host);
                let table_source = table.source(key, None, |_| true);
                let Forward { host, source, .. } = request(&mut fixture, object).unwrap();
                // Without a usable cache the router forwards directly to the origin, and the table has no choice.
                let cache = Some(host).filter(|_| failed != FailedHosts::All);
                let parent = Some((source, false)).filter(|_| failed != FailedHosts::All);
                assert_eq!(
                    (table_cache, table_source),
                    (cache, parent),
                    "object {object}, {hosts} caches, {failed:?} failed"
                );
            }
        }
    }
}

//! The verdicts on generated schedules: zones that die, ail and come back at any time, members that lie or are cut off, a
//! service that begins anew. Whatever comes, the promises hold; each is seen to be needed by a schedule of its own.

use myrtlegauge_zones::{Fleet, Order, Saw, Stage, Terms, Verdict, Why};
use proptest::prelude::*;
use std::time::Duration;

const EVERY: Duration = Duration::from_millis(250);
const MEMBERS: usize = 9;
const HOSTS: u32 = 5;

fn terms() -> Terms {
    Terms {
        quorum: 0.6,
        least_voters: 3,
        reports_every: EVERY,
        hold: Duration::from_secs(3),
        tries: 3,
        cold_share: 0.22,
        warm_within: Duration::from_secs(3),
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Health {
    Well,
    Ill,
    Dead,
}

#[derive(Clone, Copy, Debug)]
enum Event {
    Is(usize, Health),
    /// So many of the nine are cut off from a zone, or from none.
    CutOff(usize, usize),
    Order(usize, Order),
    /// The service loses all that it knew; its followers keep what they hold.
    Anew,
}

struct World {
    fleet: Fleet,
    health: Vec<Health>,
    cut_off: Vec<usize>,
    /// As followers hold them.
    held: Vec<Verdict>,
    left: Vec<Vec<Duration>>,
    liars: usize,
    now: Duration,
    rate: f64,
    bears: f64,
}

impl World {
    fn new(zones: usize, liars: usize, bears: f64) -> Self {
        let now = Duration::from_secs(100);
        Self {
            fleet: Fleet::new(terms(), &named(zones, bears), now),
            health: vec![Health::Well; zones],
            cut_off: vec![0; zones],
            held: vec![Verdict::default(); zones],
            left: vec![Vec::new(); zones],
            liars,
            now,
            rate: 1440.0,
            bears,
        }
    }

    /// One interval: all report what they see of the zones that they use, then the service looks ten times.
    fn interval(&mut self) -> Result<(), String> {
        let parts: Vec<f64> = self.held.iter().map(|held| held.part).collect();
        let sum: f64 = parts.iter().sum();
        for member in 0..MEMBERS {
            let name = format!("m{member}");
            for (zone, &part) in parts.iter().enumerate() {
                let lies = member < self.liars;
                let cut = MEMBERS - member <= self.cut_off[zone];
                let of = match self.health[zone] {
                    _ if lies => Health::Dead,
                    Health::Well if cut => Health::Dead,
                    health => health,
                };
                let (failed, late) = match of {
                    Health::Well => (0, 0),
                    Health::Ill => (1, 2),
                    Health::Dead => (HOSTS, 0),
                };
                let sheds = self.held.iter().map(|held| held.sheds).fold(0.0, f64::max);
                let gets = ((1.0 - sheds) * self.rate * EVERY.as_secs_f64() * part / sum.max(0.1)) as u64
                    / MEMBERS as u64;
                // Where nothing is sent nothing is seen; a liar sees what it likes.
                let asked = if part > 0.0 || lies { HOSTS } else { 0 };
                let saw = Saw { asked, failed: failed.min(asked), late: late.min(asked) };
                self.fleet.saw(&name, zone, &saw, gets, self.now);
                self.fleet.holds(&name, zone, self.held[zone], self.now);
            }
            let taken = (self.rate * EVERY.as_secs_f64() / MEMBERS as f64) as u64;
            self.fleet.reported(&name, taken, (10, 0), self.now);
        }
        for _ in 0..10 {
            self.now += EVERY / 10;
            if self.fleet.tick(self.now) && self.fleet.is_ready() {
                self.take()?;
            }
        }
        self.take()
    }

    /// Followers take what goes before what they hold; the promises are looked at.
    fn take(&mut self) -> Result<(), String> {
        if !self.fleet.is_ready() {
            return Ok(());
        }
        for (at, zone) in self.fleet.zones.iter().enumerate() {
            let (new, held) = (zone.verdict, &mut self.held[at]);
            if new.epoch < held.epoch {
                return Err(format!("epoch of {} went from {} to {}", zone.name, held.epoch, new.epoch));
            }
            if !new.goes_before(held) {
                continue;
            }
            if new.stage == Stage::Returning && held.stage == Stage::Returning && new.part > held.part {
                let step = (1.0 - 0.22) / 8.0 + 1e-9;
                let first = held.part < 0.22 && new.part <= 0.22 + 1e-9;
                if !first && new.part > held.part + step {
                    return Err(format!("{} went from {} to {} at once", zone.name, held.part, new.part));
                }
            }
            if new.stage == Stage::Left && held.stage != Stage::Left {
                self.left[at].push(self.now);
            }
            *held = new;
        }
        if self.held.iter().all(|held| held.part < 0.1 || held.stage == Stage::Left) {
            return Err(format!("no zone is left to go to: {:?}", self.held));
        }
        Ok(())
    }

    fn happens(&mut self, event: Event) {
        let zones = self.held.len();
        match event {
            Event::Is(zone, health) => self.health[zone % zones] = health,
            Event::CutOff(zone, count) => self.cut_off[zone % zones] = count,
            Event::Order(zone, order) => self.fleet.order(zone % zones, order, self.now),
            Event::Anew => self.fleet = Fleet::new(terms(), &named(zones, self.bears), self.now),
        }
    }

    fn run(&mut self, intervals: usize) -> Result<(), String> {
        (0..intervals).try_for_each(|_| self.interval())
    }
}

fn named(zones: usize, bears: f64) -> Vec<(String, f64)> {
    (0..zones).map(|zone| (format!("edge-{zone}"), bears)).collect()
}

fn event() -> impl Strategy<Value = Event> {
    let zone = 0..3usize;
    let health = prop_oneof![Just(Health::Well), Just(Health::Ill), Just(Health::Dead)];
    let order = prop_oneof![Just(Order::None), Just(Order::Leave), Just(Order::Hold)];
    prop_oneof![
        4 => (zone.clone(), health).prop_map(|(zone, health)| Event::Is(zone, health)),
        2 => (zone.clone(), 0..MEMBERS).prop_map(|(zone, count)| Event::CutOff(zone, count)),
        1 => (zone, order).prop_map(|(zone, order)| Event::Order(zone, order)),
        1 => Just(Event::Anew),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]

    /// Epochs never go back, a return goes on by single steps, some zone always takes keys, and none is left more often
    /// than its hold allows.
    #[test]
    fn whatever_happens_the_promises_hold(
        events in prop::collection::vec((1..40usize, event()), 1..25),
        zones in 2..4usize,
        liars in 0..4usize,
    ) {
        let mut world = World::new(zones, liars, 0.0);
        prop_assert_eq!(world.run(8), Ok(()));
        for (intervals, what) in events {
            world.happens(what);
            prop_assert_eq!(world.run(intervals), Ok(()));
        }
        // An operator may leave as often as he likes: his orders are in the schedule, so the bound is a wide one.
        for left in &world.left {
            let worst = left.iter().map(|at| left.iter().filter(|l| **l >= *at && **l < *at + Duration::from_secs(10)).count());
            prop_assert!(worst.max().unwrap_or(0) <= 8, "{:?}", left);
        }
    }

    /// With a third of the members lying, or cut off, and the rest well, nothing is left for all.
    #[test]
    fn a_third_can_not_have_a_zone_left(zone in 0..3usize, lying in any::<bool>(), long in 4..100usize) {
        let mut world = World::new(3, if lying { 3 } else { 0 }, 0.0);
        world.run(8).expect("it holds");
        if !lying {
            world.happens(Event::CutOff(zone, 3));
        }
        prop_assert_eq!(world.run(long), Ok(()));
        prop_assert!(world.held.iter().all(|held| held.part == 1.0), "{:?}", world.held);
    }
}

/// A dead zone is left within three reports, rests, is tried with a part of its keys, and comes back in steps that take
/// no longer than half as much again as hosts take to warm up.
#[test]
fn a_dead_zone_is_left_and_comes_back_in_steps() {
    let mut world = World::new(3, 0, 0.0);
    world.run(8).unwrap();
    let died = world.now;
    world.happens(Event::Is(1, Health::Dead));
    while world.held[1].part > 0.0 {
        world.run(1).unwrap();
    }
    assert!(world.now - died <= Duration::from_millis(750), "{:?}", world.now - died);
    world.happens(Event::Is(1, Health::Well));
    while world.held[1].stage != Stage::Returning {
        world.run(1).unwrap();
    }
    let (back, mut parts) = (world.now, vec![world.held[1].part]);
    while world.held[1].stage != Stage::Serving {
        world.run(1).unwrap();
        if parts.last() != Some(&world.held[1].part) {
            parts.push(world.held[1].part);
        }
    }
    assert!(parts.windows(2).all(|pair| pair[0] < pair[1]) && parts.len() >= 9, "{parts:?}");
    assert!(world.now - back <= terms().warm_within.mul_f64(1.6), "{:?}", world.now - back);
}

/// A zone that flaps is held twice as long each time, so that it is left at most four times in a minute.
#[test]
fn a_flapping_zone_is_held_longer_each_time() {
    let mut world = World::new(2, 0, 0.0);
    world.run(8).unwrap();
    for n in 0..240 {
        world.happens(Event::Is(0, if n / 4 % 2 == 0 { Health::Dead } else { Health::Well }));
        world.run(1).unwrap();
    }
    assert!((2..=4).contains(&world.left[0].len()), "{:?}", world.left[0]);
}

/// A service that begins anew in the middle of a return goes on from the step that its followers hold.
#[test]
fn a_return_outlives_its_service() {
    let mut world = World::new(2, 0, 0.0);
    world.run(8).unwrap();
    world.happens(Event::Is(0, Health::Dead));
    world.run(6).unwrap();
    world.happens(Event::Is(0, Health::Well));
    while world.held[0].part < 0.4 {
        world.run(1).unwrap();
    }
    let (part, epoch) = (world.held[0].part, world.held[0].epoch);
    world.happens(Event::Anew);
    world.run(5).unwrap();
    assert!(world.held[0].epoch >= epoch && world.held[0].part >= part - 0.2, "{:?}", world.held[0]);
    world.run(30).unwrap();
    assert_eq!(world.held[0].stage, Stage::Serving);
}

/// The last zone that is well is not left, and an operator is told why; nor is any where all are dead: that is no zone's
/// own fault.
#[test]
fn the_last_zone_is_never_left() {
    let mut world = World::new(2, 0, 0.0);
    world.run(8).unwrap();
    world.happens(Event::Is(0, Health::Dead));
    world.happens(Event::Is(1, Health::Dead));
    world.run(20).unwrap();
    assert!(world.held.iter().all(|held| held.part == 1.0), "{:?}", world.held);
    assert!(world.fleet.zones.iter().any(|zone| zone.why == Why::Last));
}

/// Where what remains bears 80% of the traffic, the rest is shed and the verdict says so; where an operator leaves a zone
/// that lives, it keeps what the others don't bear.
#[test]
fn what_remains_gets_no_more_than_it_bears() {
    let mut world = World::new(2, 0, 1152.0);
    world.run(20).unwrap();
    world.happens(Event::Is(0, Health::Dead));
    world.run(12).unwrap();
    let sheds = world.held.iter().map(|held| held.sheds).fold(0.0, f64::max);
    assert!((0.1..0.3).contains(&sheds), "{:?}", world.held);
    let mut world = World::new(2, 0, 1152.0);
    world.run(20).unwrap();
    world.happens(Event::Order(0, Order::Leave));
    world.run(4).unwrap();
    assert!((0.2..0.6).contains(&world.held[0].part), "{:?}", world.held);
}

//! Zone verdicts on generated schedules: zones fail, are ill and recover at any time, members report falsely or are cut
//! off, the control service restarts. The invariants hold on every schedule. A schedule of its own shows that each one is
//! needed.

use myrtlegauge_zones::{EvacuationController, HostEvidence, Order, Stage, Verdict, Why, ZonePolicy};
use proptest::prelude::*;
use std::time::Duration;

const REPORT_INTERVAL: Duration = Duration::from_millis(250);
const MEMBERS: usize = 9;
const HOSTS_PER_ZONE: u32 = 5;

fn policy() -> ZonePolicy {
    ZonePolicy {
        quorum: 0.6,
        min_voters: 3,
        report_interval: REPORT_INTERVAL,
        hold_down: Duration::from_secs(3),
        max_step_backs: 3,
        cold_fraction: 0.22,
        warm_up_time: Duration::from_secs(3),
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
    /// A zone has this health from now on.
    SetHealth(usize, Health),
    /// A zone is cut off from this number of the nine members, which may be zero.
    CutOff(usize, usize),
    Order(usize, Order),
    /// The service loses all its state; its followers keep the verdicts that they hold.
    ServiceRestart,
}

/// A control service with its followers, in virtual time.
struct FleetSimulation {
    controller: EvacuationController,
    health: Vec<Health>,
    /// How many members are cut off from each zone.
    cut_off: Vec<usize>,
    /// The verdicts that followers hold.
    held: Vec<Verdict>,
    /// When each zone was evacuated.
    evacuations: Vec<Vec<Duration>>,
    /// Members that report every zone dead.
    false_reporters: usize,
    now: Duration,
    /// GETs a second of all clients.
    get_rate: f64,
    /// GETs a second that each zone has the capacity for; zero: not configured.
    capacity: f64,
}

impl FleetSimulation {
    fn new(zones: usize, false_reporters: usize, capacity: f64) -> Self {
        let now = Duration::from_secs(100);
        Self {
            controller: EvacuationController::new(policy(), &named_zones(zones, capacity), now),
            health: vec![Health::Well; zones],
            cut_off: vec![0; zones],
            held: vec![Verdict::default(); zones],
            evacuations: vec![Vec::new(); zones],
            false_reporters,
            now,
            get_rate: 1440.0,
            capacity,
        }
    }

    /// One interval: all members report on the zones that they use, then the service evaluates the reports ten times.
    fn run_interval(&mut self) -> Result<(), String> {
        let fractions: Vec<f64> = self.held.iter().map(|held| held.part).collect();
        let sum: f64 = fractions.iter().sum();
        for member in 0..MEMBERS {
            let name = format!("m{member}");
            for (zone, &fraction) in fractions.iter().enumerate() {
                let reports_falsely = member < self.false_reporters;
                let is_cut_off = MEMBERS - member <= self.cut_off[zone];
                let observed = match self.health[zone] {
                    _ if reports_falsely => Health::Dead,
                    Health::Well if is_cut_off => Health::Dead,
                    health => health,
                };
                let (failed, late) = match observed {
                    Health::Well => (0, 0),
                    Health::Ill => (1, 2),
                    Health::Dead => (HOSTS_PER_ZONE, 0),
                };
                let shed_fraction = self.held.iter().map(|held| held.sheds).fold(0.0, f64::max);
                let gets = ((1.0 - shed_fraction) * self.get_rate * REPORT_INTERVAL.as_secs_f64() * fraction
                    / sum.max(0.1)) as u64
                    / MEMBERS as u64;
                // A zone that takes no keys gives no evidence, except to a member that reports falsely.
                let contacted = if fraction > 0.0 || reports_falsely { HOSTS_PER_ZONE } else { 0 };
                let evidence =
                    HostEvidence { contacted, failed: failed.min(contacted), late: late.min(contacted) };
                self.controller.record_evidence(&name, zone, &evidence, gets, self.now);
                self.controller.record_held_verdict(&name, zone, self.held[zone], self.now);
            }
            let taken = (self.get_rate * REPORT_INTERVAL.as_secs_f64() / MEMBERS as f64) as u64;
            self.controller.record_report(&name, taken, (10, 0), self.now);
        }
        for _ in 0..10 {
            self.now += REPORT_INTERVAL / 10;
            if self.controller.tick(self.now) && self.controller.is_ready() {
                self.apply_verdicts()?;
            }
        }
        self.apply_verdicts()
    }

    /// Followers apply the verdicts that supersede those they hold; the invariants are checked.
    fn apply_verdicts(&mut self) -> Result<(), String> {
        if !self.controller.is_ready() {
            return Ok(());
        }
        for (index, zone) in self.controller.zones.iter().enumerate() {
            let (new, held) = (zone.verdict, &mut self.held[index]);
            if new.epoch < held.epoch {
                return Err(format!("epoch of {} decreased from {} to {}", zone.name, held.epoch, new.epoch));
            }
            if !new.supersedes(held) {
                continue;
            }
            if new.stage == Stage::Returning && held.stage == Stage::Returning && new.part > held.part {
                let max_step = (1.0 - 0.22) / 8.0 + 1e-9;
                let ends_trial = held.part < 0.22 && new.part <= 0.22 + 1e-9;
                if !ends_trial && new.part > held.part + max_step {
                    return Err(format!(
                        "the key fraction of {} grew from {} to {} in one step",
                        zone.name, held.part, new.part
                    ));
                }
            }
            if new.stage == Stage::Left && held.stage != Stage::Left {
                self.evacuations[index].push(self.now);
            }
            *held = new;
        }
        if self.held.iter().all(|held| held.part < 0.1 || held.stage == Stage::Left) {
            return Err(format!("no zone takes keys: {:?}", self.held));
        }
        Ok(())
    }

    fn apply_event(&mut self, event: Event) {
        let zones = self.held.len();
        match event {
            Event::SetHealth(zone, health) => self.health[zone % zones] = health,
            Event::CutOff(zone, count) => self.cut_off[zone % zones] = count,
            Event::Order(zone, order) => self.controller.set_order(zone % zones, order, self.now),
            Event::ServiceRestart => {
                self.controller =
                    EvacuationController::new(policy(), &named_zones(zones, self.capacity), self.now);
            }
        }
    }

    fn run(&mut self, intervals: usize) -> Result<(), String> {
        (0..intervals).try_for_each(|_| self.run_interval())
    }
}

fn named_zones(zones: usize, capacity: f64) -> Vec<(String, f64)> {
    (0..zones).map(|zone| (format!("edge-{zone}"), capacity)).collect()
}

fn event() -> impl Strategy<Value = Event> {
    let zone = 0..3usize;
    let health = prop_oneof![Just(Health::Well), Just(Health::Ill), Just(Health::Dead)];
    let order = prop_oneof![Just(Order::None), Just(Order::Leave), Just(Order::Hold)];
    prop_oneof![
        4 => (zone.clone(), health).prop_map(|(zone, health)| Event::SetHealth(zone, health)),
        2 => (zone.clone(), 0..MEMBERS).prop_map(|(zone, count)| Event::CutOff(zone, count)),
        1 => (zone, order).prop_map(|(zone, order)| Event::Order(zone, order)),
        1 => Just(Event::ServiceRestart),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]

    /// Epochs never decrease, a return advances by single steps, some zone always takes keys, and none is evacuated more
    /// often than its hold-down allows.
    #[test]
    fn the_invariants_hold_on_any_schedule(
        events in prop::collection::vec((1..40usize, event()), 1..25),
        zones in 2..4usize,
        false_reporters in 0..4usize,
    ) {
        let mut simulation = FleetSimulation::new(zones, false_reporters, 0.0);
        prop_assert_eq!(simulation.run(8), Ok(()));
        for (intervals, event) in events {
            simulation.apply_event(event);
            prop_assert_eq!(simulation.run(intervals), Ok(()));
        }
        // Operators may order evacuations at any rate. Such orders are in the schedule, so the bound is wide.
        for evacuations in &simulation.evacuations {
            let counts = evacuations.iter().map(|start| evacuations.iter().filter(|at| **at >= *start && **at < *start + Duration::from_secs(10)).count());
            prop_assert!(counts.max().unwrap_or(0) <= 8, "{:?}", evacuations);
        }
    }

    /// With a third of the members reporting falsely or cut off, and all zones well, no zone is evacuated.
    #[test]
    fn a_third_of_the_members_cannot_cause_an_evacuation(
        zone in 0..3usize,
        is_reporting_falsely in any::<bool>(),
        intervals in 4..100usize,
    ) {
        let mut simulation = FleetSimulation::new(3, if is_reporting_falsely { 3 } else { 0 }, 0.0);
        simulation.run(8).expect("the invariants hold while all zones are well");
        if !is_reporting_falsely {
            simulation.apply_event(Event::CutOff(zone, 3));
        }
        prop_assert_eq!(simulation.run(intervals), Ok(()));
        prop_assert!(simulation.held.iter().all(|held| held.part == 1.0), "{:?}", simulation.held);
    }
}

/// A dead zone is evacuated within three reports, held down, and tried with a fraction of its keys. It returns in steps that
/// take no longer than one and a half times the time that hosts take to warm up.
#[test]
fn a_dead_zone_is_evacuated_and_returns_in_steps() {
    let mut simulation = FleetSimulation::new(3, 0, 0.0);
    simulation.run(8).unwrap();
    let died_at = simulation.now;
    simulation.apply_event(Event::SetHealth(1, Health::Dead));
    while simulation.held[1].part > 0.0 {
        simulation.run(1).unwrap();
    }
    assert!(simulation.now - died_at <= Duration::from_millis(750), "{:?}", simulation.now - died_at);
    simulation.apply_event(Event::SetHealth(1, Health::Well));
    while simulation.held[1].stage != Stage::Returning {
        simulation.run(1).unwrap();
    }
    let (return_began, mut fractions) = (simulation.now, vec![simulation.held[1].part]);
    while simulation.held[1].stage != Stage::Serving {
        simulation.run(1).unwrap();
        if fractions.last() != Some(&simulation.held[1].part) {
            fractions.push(simulation.held[1].part);
        }
    }
    assert!(fractions.windows(2).all(|pair| pair[0] < pair[1]) && fractions.len() >= 9, "{fractions:?}");
    let took = simulation.now - return_began;
    assert!(took <= policy().warm_up_time.mul_f64(1.6), "{took:?}");
}

/// The hold-down of a flapping zone doubles each time, so that it is evacuated at most four times in a minute.
#[test]
fn the_hold_down_of_a_flapping_zone_grows() {
    let mut simulation = FleetSimulation::new(2, 0, 0.0);
    simulation.run(8).unwrap();
    for interval in 0..240 {
        let health = if interval / 4 % 2 == 0 { Health::Dead } else { Health::Well };
        simulation.apply_event(Event::SetHealth(0, health));
        simulation.run(1).unwrap();
    }
    assert!((2..=4).contains(&simulation.evacuations[0].len()), "{:?}", simulation.evacuations[0]);
}

/// A service that restarts during a return continues from the step that its followers hold.
#[test]
fn a_return_continues_after_a_restart_of_its_service() {
    let mut simulation = FleetSimulation::new(2, 0, 0.0);
    simulation.run(8).unwrap();
    simulation.apply_event(Event::SetHealth(0, Health::Dead));
    simulation.run(6).unwrap();
    simulation.apply_event(Event::SetHealth(0, Health::Well));
    while simulation.held[0].part < 0.4 {
        simulation.run(1).unwrap();
    }
    let (fraction, epoch) = (simulation.held[0].part, simulation.held[0].epoch);
    simulation.apply_event(Event::ServiceRestart);
    simulation.run(5).unwrap();
    assert!(
        simulation.held[0].epoch >= epoch && simulation.held[0].part >= fraction - 0.2,
        "{:?}",
        simulation.held[0]
    );
    simulation.run(30).unwrap();
    assert_eq!(simulation.held[0].stage, Stage::Serving);
}

/// The last well zone is not evacuated, and operators are shown the reason. Where all zones are dead none is evacuated: the
/// cause is then not in a single zone.
#[test]
fn the_last_zone_is_never_evacuated() {
    let mut simulation = FleetSimulation::new(2, 0, 0.0);
    simulation.run(8).unwrap();
    simulation.apply_event(Event::SetHealth(0, Health::Dead));
    simulation.apply_event(Event::SetHealth(1, Health::Dead));
    simulation.run(20).unwrap();
    assert!(simulation.held.iter().all(|held| held.part == 1.0), "{:?}", simulation.held);
    assert!(simulation.controller.zones.iter().any(|zone| zone.why == Why::Last));
}

/// Where the remaining zones have the capacity for 80% of the traffic, the rest is shed and the verdict states the
/// fraction. A live zone that is evacuated by an operator's order keeps what the others lack the capacity for.
#[test]
fn the_remaining_zones_are_sent_no_more_than_their_capacity() {
    let mut simulation = FleetSimulation::new(2, 0, 1152.0);
    simulation.run(20).unwrap();
    simulation.apply_event(Event::SetHealth(0, Health::Dead));
    simulation.run(12).unwrap();
    let shed_fraction = simulation.held.iter().map(|held| held.sheds).fold(0.0, f64::max);
    assert!((0.1..0.3).contains(&shed_fraction), "{:?}", simulation.held);
    let mut simulation = FleetSimulation::new(2, 0, 1152.0);
    simulation.run(20).unwrap();
    simulation.apply_event(Event::Order(0, Order::Leave));
    simulation.run(4).unwrap();
    assert!((0.2..0.6).contains(&simulation.held[0].part), "{:?}", simulation.held);
}

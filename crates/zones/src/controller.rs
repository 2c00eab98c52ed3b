//! Verdicts on zones for a whole fleet. Reports of many dispatchers come in. For each zone a verdict comes out: the fraction
//! of its keys that it takes and from when on, under an epoch that never decreases.
//!
//! A zone is evacuated once a quorum of the dispatchers that use it find it dead, or for longer find it ill, while another
//! zone is well. The last well zone is never evacuated. Where the remaining zones lack the capacity for the traffic, the
//! excess is shed, and the verdict says so. The zone returns in steps. Each step is a fraction of the keys, the same keys at
//! every dispatcher. So a step is a budget of GETs and of fills that is shared out by traffic, and that needs no message
//! when dispatchers come and go.

use crate::shedding::ShedController;
use crate::votes::{HostEvidence, Tally, Vote, Votes};
use std::collections::BTreeMap;
use std::time::Duration;

/// How long a quorum must find a zone ill before it is evacuated. A brief disturbance does not justify an evacuation. A
/// zone that delays half of its GETs past their objectives costs more than the evacuation within seconds.
const ILL_BEFORE_EVACUATION: Duration = Duration::from_millis(2000);
/// The smallest key fraction of the trial, which is the first step of a return.
const MIN_TRIAL_FRACTION: f64 = 1.0 / 64.0;
/// GETs a second that the trial should carry. Enough dispatchers then observe within a second whether the zone is alive,
/// and few GETs are lost where it is not.
const TRIAL_GETS_PER_S: f64 = 20.0;
/// Steps from the fraction that a cold zone has the capacity for to all keys.
const RETURN_STEPS: u32 = 8;
/// A return is set back by a step when more than this fraction of the voters find the returning zone ill or dead.
const STEP_BACK_FRACTION: f64 = 1.0 / 3.0;
/// A return is set back by a step when more than this fraction of fills fail or are late at their sources: the step then
/// overloads the sources.
const MAX_BAD_SOURCE_FRACTION: f64 = 0.2;
/// A zone that is evacuated again within this time after it served fully has its hold-down doubled.
const FLAP_WINDOW: Duration = Duration::from_secs(60);
/// The longest hold-down before a zone is tried again.
const MAX_HOLD_DOWN: Duration = Duration::from_secs(60);
/// Report intervals for which a vote counts: a dispatcher that sends a zone few GETs has no vote on it in each interval.
const VOTE_LIFETIME_REPORTS: u32 = 4;
/// Report intervals in which a service that has started learns what its dispatchers hold, before it issues any verdict.
const LEARNING_REPORTS: u32 = 3;
/// Verdicts other than an evacuation take effect after this time, so that all dispatchers have received them and change
/// together.
const LEAD: Duration = Duration::from_millis(150);
/// Weight of an interval in the moving averages of GET rates.
const AVERAGE_WEIGHT: f64 = 0.3;

/// The operator's settings for evacuations and returns.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ZonePolicy {
    /// Fraction of the voters that must agree.
    pub quorum: f64,
    /// With fewer voters no zone is evacuated: their evidence is too little.
    pub min_voters: u32,
    /// How often each dispatcher reports.
    pub report_interval: Duration,
    /// How long an evacuated zone takes no keys before it is tried.
    pub hold_down: Duration,
    /// After more steps back than this a return is given up.
    pub max_step_backs: u32,
    /// The fraction of its work that a cold host has the capacity for.
    pub cold_fraction: f64,
    /// How long a cold host takes until it has the capacity for all of its work.
    pub warm_up_time: Duration,
}

/// How a zone is used.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// Takes all of its keys.
    #[default]
    Serving,
    /// Some dispatchers find it dead, but no quorum: these act by their own rule.
    Doubted,
    /// Evacuated.
    Left,
    /// Takes a fraction of its keys that grows in steps.
    Returning,
}

/// The reason for a zone's stage.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Why {
    /// No failure is the reason.
    #[default]
    Well,
    /// Dispatchers find it dead.
    Dead,
    /// A quorum has found it ill for long enough.
    Ill,
    /// An operator ordered its evacuation.
    Operator,
    /// It would be evacuated, but no other zone is well.
    Last,
    /// Too many steps of its return failed.
    GaveUp,
    /// Adopted from what dispatchers held when this service started, or from another service's verdict.
    Heard,
}

/// An operator's order for a zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Order {
    /// The evidence decides.
    #[default]
    None,
    /// The zone is evacuated.
    Leave,
    /// The zone stays as it is, whatever the evidence.
    Hold,
}

/// What applies to a zone at every dispatcher.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Verdict {
    /// Later verdicts have higher epochs, over all zones and services.
    pub epoch: u64,
    /// How the zone is used.
    pub stage: Stage,
    /// The fraction of its keys that the zone takes.
    pub part: f64,
    /// The fraction of all GETs to shed at once, since the remaining zones lack the capacity for them.
    pub sheds: f64,
    /// When the verdict takes effect, since the start; sent as a time of day.
    pub from: Duration,
}

impl Default for Verdict {
    fn default() -> Self {
        Self { epoch: 0, stage: Stage::Serving, part: 1.0, sheds: 0.0, from: Duration::ZERO }
    }
}

impl Verdict {
    /// Whether this verdict replaces the other: the later one does, or the stricter of two of one epoch. Two services that
    /// did not know of each other can issue the same epoch.
    pub fn supersedes(&self, other: &Self) -> bool {
        let rank = |verdict: &Self| (verdict.epoch, -verdict.part, verdict.sheds);
        rank(self) > rank(other)
    }
}

/// A zone with its verdict and the evidence on it.
pub struct Zone {
    /// The configured name.
    pub name: String,
    /// GETs a second that the zone has the capacity for when warm; zero: not configured.
    pub capacity: f64,
    /// The current verdict.
    pub verdict: Verdict,
    /// The reason for the verdict's stage.
    pub why: Why,
    /// The operator's order that applies.
    pub order: Order,
    /// When the zone entered its stage and step.
    pub since: Duration,
    /// The step of its return. Zero: the trial.
    pub step: u32,
    /// Steps back in this return.
    pub step_backs: u32,
    hold_down: Duration,
    served_since: Duration,
    ill_since: Option<Duration>,
    votes: Votes,
    /// Votes since this step of a return began.
    step_votes: Votes,
    /// Moving average of the GETs a second that are sent to the zone.
    pub get_rate: f64,
    /// GETs sent to the zone in this interval.
    interval_gets: f64,
    /// The verdicts on the zone that members report that they hold.
    held: BTreeMap<String, (Verdict, Duration)>,
}

/// The verdicts on all zones, with the evidence of the members: the dispatchers that report.
pub struct EvacuationController {
    policy: ZonePolicy,
    /// The zones, in configured order.
    pub zones: Vec<Zone>,
    epoch: u64,
    started_at: Duration,
    /// When each member reported last.
    members: BTreeMap<String, Duration>,
    interval_started_at: Duration,
    /// Moving average of the GETs a second that all members take.
    total_get_rate: f64,
    /// GETs that all members took in this interval.
    interval_taken: f64,
    /// Fills at parents and origin in this interval: all, and those late or failed.
    fills: (f64, f64),
    /// The fraction of fills that were late or failed in the last complete interval.
    pub bad_source_fraction: f64,
    has_learned: bool,
    shedding: ShedController,
}

impl EvacuationController {
    /// All zones, as names with capacities, serve. No verdict is issued before the members' held verdicts are learned.
    pub fn new(policy: ZonePolicy, zones: &[(String, f64)], now: Duration) -> Self {
        let zone = |(name, capacity): &(String, f64)| Zone {
            name: name.clone(),
            capacity: *capacity,
            verdict: Verdict::default(),
            why: Why::Well,
            order: Order::None,
            since: now,
            step: 0,
            step_backs: 0,
            hold_down: policy.hold_down,
            served_since: now,
            ill_since: None,
            votes: Votes::default(),
            step_votes: Votes::default(),
            get_rate: 0.0,
            interval_gets: 0.0,
            held: BTreeMap::new(),
        };
        Self {
            policy,
            zones: zones.iter().map(zone).collect(),
            epoch: 0,
            started_at: now,
            members: BTreeMap::new(),
            interval_started_at: now,
            total_get_rate: 0.0,
            interval_taken: 0.0,
            fills: (0.0, 0.0),
            bad_source_fraction: 0.0,
            has_learned: false,
            shedding: ShedController::default(),
        }
    }

    /// Records one dispatcher's evidence on a zone in an interval, and how many GETs it sent there.
    pub fn record_evidence(
        &mut self,
        member: &str,
        zone: usize,
        evidence: &HostEvidence,
        gets: u64,
        now: Duration,
    ) {
        let Some(zone) = self.zones.get_mut(zone) else { return };
        zone.interval_gets += gets as f64;
        if let Some(vote) = evidence.vote() {
            zone.votes.cast(member, vote, now);
        }
        if let Some(vote) = evidence.trial_vote().filter(|_| zone.verdict.stage == Stage::Returning) {
            zone.step_votes.cast(member, vote, now);
        }
    }

    /// Records that a dispatcher reported: the GETs that it took, those that it shed included, and its fills at sources, all
    /// and those late or failed.
    pub fn record_report(
        &mut self,
        member: &str,
        taken: u64,
        (total_fills, late_or_failed): (u64, u64),
        now: Duration,
    ) {
        self.interval_taken += taken as f64;
        self.members.insert(member.to_owned(), now);
        self.fills = (self.fills.0 + total_fills as f64, self.fills.1 + late_or_failed as f64);
    }

    /// Records the verdict that a dispatcher holds on a zone, as another service or an earlier process of this one issued it.
    pub fn record_held_verdict(&mut self, member: &str, zone: usize, verdict: Verdict, now: Duration) {
        if let Some(zone) = self.zones.get_mut(zone) {
            zone.held.insert(member.to_owned(), (verdict, now));
        }
    }

    /// Sets an operator's order. A return begins at once, without the rest of the hold-down.
    pub fn set_order(&mut self, zone: usize, order: Order, now: Duration) {
        let Some(zone) = self.zones.get_mut(zone) else { return };
        zone.order = order;
        if order == Order::None && zone.verdict.stage == Stage::Left {
            zone.since = now.saturating_sub(zone.hold_down);
        }
    }

    /// Whether verdicts may be issued: a service that has just started first learns what its dispatchers hold.
    pub fn is_ready(&self) -> bool {
        self.has_learned
    }

    /// The number of dispatchers that reported within the last few intervals.
    pub fn member_count(&self) -> usize {
        self.members.len()
    }

    /// Counts the current votes on a zone.
    pub fn tally(&self, zone: usize, now: Duration) -> Tally {
        self.zones[zone].votes.tally(now.saturating_sub(self.vote_lifetime()))
    }

    /// The voters on a zone and their current votes.
    pub fn votes(&self, zone: usize, now: Duration) -> impl Iterator<Item = (&str, Vote)> {
        self.zones[zone].votes.list(now.saturating_sub(self.vote_lifetime()))
    }

    fn vote_lifetime(&self) -> Duration {
        self.policy.report_interval * VOTE_LIFETIME_REPORTS
    }

    /// Evaluates all that was recorded. Returns whether any verdict changed.
    pub fn tick(&mut self, now: Duration) -> bool {
        self.close_interval(now);
        let learning_time = self.policy.report_interval * LEARNING_REPORTS;
        self.has_learned |= now >= self.started_at + learning_time;
        let before: Vec<_> = self.zones.iter().map(|zone| zone.verdict).collect();
        (0..self.zones.len()).for_each(|zone| self.adopt_held_verdict(zone, now));
        if self.has_learned {
            (0..self.zones.len()).for_each(|zone| self.evaluate(zone, now));
            self.update_shedding(now);
        }
        self.zones.iter().zip(&before).any(|(zone, before)| zone.verdict != *before)
    }

    /// Closes an interval of counts where it is over, and drops members that no longer report.
    fn close_interval(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.interval_started_at);
        if elapsed < self.policy.report_interval {
            return;
        }
        self.interval_started_at = now;
        self.shedding.record(self.zones.iter().map(|zone| zone.interval_gets).sum(), elapsed, now);
        for zone in &mut self.zones {
            let rate = std::mem::take(&mut zone.interval_gets) / elapsed.as_secs_f64();
            zone.get_rate += AVERAGE_WEIGHT * (rate - zone.get_rate);
        }
        let rate = std::mem::take(&mut self.interval_taken) / elapsed.as_secs_f64();
        self.total_get_rate += AVERAGE_WEIGHT * (rate - self.total_get_rate);
        let (total_fills, late_or_failed) = std::mem::take(&mut self.fills);
        self.bad_source_fraction = if total_fills > 0.0 {
            late_or_failed / total_fills
        } else {
            self.bad_source_fraction * (1.0 - AVERAGE_WEIGHT)
        };
        let oldest = now.saturating_sub(self.policy.report_interval * 4);
        self.members.retain(|_, at| *at >= oldest);
        for zone in &mut self.zones {
            zone.votes.drop_before(oldest);
            zone.held.retain(|_, (_, at)| *at >= oldest);
        }
    }

    /// Adopts a verdict that more than a third of the members hold and that supersedes this service's own: one member, or a
    /// third of them, cannot make one up.
    fn adopt_held_verdict(&mut self, zone: usize, now: Duration) {
        let own = &self.zones[zone];
        let mut holders: Vec<(Verdict, u32)> = Vec::new();
        for (verdict, _) in own.held.values() {
            let is_same = |other: &Verdict| {
                (other.epoch, other.stage, other.part) == (verdict.epoch, verdict.stage, verdict.part)
            };
            match holders.iter_mut().find(|(other, _)| is_same(other)) {
                Some((_, count)) => *count += 1,
                None => holders.push((*verdict, 1)),
            }
        }
        let is_enough = |count: u32| f64::from(count) > self.members.len() as f64 / 3.0;
        let superseding = holders
            .into_iter()
            .filter(|(verdict, count)| is_enough(*count) && verdict.supersedes(&own.verdict));
        let latest =
            superseding.map(|(verdict, _)| verdict).reduce(|a, b| if b.supersedes(&a) { b } else { a });
        let Some(verdict) = latest else { return };
        self.epoch = self.epoch.max(verdict.epoch);
        let step = (1..=RETURN_STEPS)
            .find(|&step| self.step_fraction(step) >= verdict.part - 1e-6)
            .unwrap_or(RETURN_STEPS);
        let step = if verdict.part < self.step_fraction(1) - 1e-6 { 0 } else { step };
        let zone = &mut self.zones[zone];
        (zone.verdict, zone.why, zone.step, zone.since) = (verdict, Why::Heard, step, now);
        zone.step_backs = 0;
    }

    /// The key fraction at a step of a return. It grows as fast as the capacity of hosts that were cold when the return
    /// began.
    fn step_fraction(&self, step: u32) -> f64 {
        let cold = self.policy.cold_fraction.clamp(MIN_TRIAL_FRACTION, 1.0);
        if step == 0 {
            let equal_share = self.total_get_rate / self.zones.len() as f64;
            (TRIAL_GETS_PER_S / equal_share.max(1.0)).clamp(MIN_TRIAL_FRACTION, cold)
        } else {
            cold + (1.0 - cold) * f64::from(step - 1) / f64::from(RETURN_STEPS)
        }
    }

    /// Whether a zone takes keys beyond a trial.
    fn takes_keys(&self, zone: usize) -> bool {
        let zone = &self.zones[zone];
        zone.verdict.part > 0.0 && (zone.verdict.stage != Stage::Returning || zone.step > 0)
    }

    /// Whether another zone takes keys and is well for most of its voters: then there is a zone to move to, and the cause
    /// is not one that all zones share.
    fn has_well_alternative(&self, zone: usize, now: Duration) -> bool {
        (0..self.zones.len()).filter(|&other| other != zone && self.takes_keys(other)).any(|other| {
            let tally = self.tally(other, now);
            tally.fraction(tally.well) >= 0.5 && tally.voters() > 0
        })
    }

    /// Moves a zone to the stage that its order and votes call for.
    fn evaluate(&mut self, index: usize, now: Duration) {
        let tally = self.tally(index, now);
        let has_enough_voters = tally.voters() >= self.policy.min_voters
            && f64::from(tally.voters()) > self.members.len() as f64 / 3.0;
        let is_dead = has_enough_voters && tally.fraction(tally.dead) >= self.policy.quorum;
        let is_ill = has_enough_voters && tally.fraction(tally.dead + tally.ill) >= self.policy.quorum;
        let zone = &mut self.zones[index];
        zone.ill_since = if is_ill { zone.ill_since.or(Some(now)) } else { None };
        let is_ill_for_long = zone.ill_since.is_some_and(|at| now >= at + ILL_BEFORE_EVACUATION);
        match (zone.order, zone.verdict.stage) {
            (Order::Hold, _) => {}
            (Order::Leave, Stage::Left) => {}
            (Order::Leave, _) => self.evacuate(index, Why::Operator, now),
            (_, Stage::Serving | Stage::Doubted) if is_dead => self.evacuate(index, Why::Dead, now),
            (_, Stage::Serving | Stage::Doubted) if is_ill_for_long => self.evacuate(index, Why::Ill, now),
            (_, Stage::Serving) if tally.dead > 0 => {
                (zone.verdict.stage, zone.why) = (Stage::Doubted, Why::Dead);
            }
            (_, Stage::Doubted) if tally.dead == 0 && tally.voters() > 0 => {
                (zone.verdict.stage, zone.why) = (Stage::Serving, Why::Well);
            }
            (_, Stage::Serving | Stage::Doubted) => {}
            (_, Stage::Left) if now >= zone.since + zone.hold_down => {
                (zone.step, zone.step_backs, zone.why) = (0, 0, Why::Well);
                self.issue_verdict(index, Stage::Returning, now);
            }
            (_, Stage::Left) => {}
            (_, Stage::Returning) => self.continue_return(index, is_dead, now),
        }
    }

    /// Advances a return by a step, sets it back by a step, or gives it up.
    fn continue_return(&mut self, index: usize, is_dead: bool, now: Duration) {
        let zone = &self.zones[index];
        // Only evidence from after the step took effect counts for it.
        let tally = zone.step_votes.tally(zone.verdict.from + self.policy.report_interval);
        let must_step_back = tally.voters() > 0
            && tally.fraction(tally.dead + tally.ill) > STEP_BACK_FRACTION
            || zone.step > 0 && self.bad_source_fraction > MAX_BAD_SOURCE_FRACTION;
        let is_dead = is_dead && zone.step > 0 || tally.fraction(tally.dead) >= self.policy.quorum;
        if is_dead && tally.voters() >= self.policy.min_voters {
            return self.evacuate(index, Why::Dead, now);
        }
        let has_enough_voters = tally.voters() >= self.policy.min_voters;
        let step_time = if zone.step == 0 {
            self.policy.report_interval * 2
        } else {
            (self.policy.warm_up_time / RETURN_STEPS).max(self.policy.report_interval)
        };
        let zone = &mut self.zones[index];
        if now < zone.since + step_time {
            return;
        }
        if must_step_back {
            (zone.step_backs, zone.step) = (zone.step_backs + 1, zone.step.saturating_sub(1));
            if zone.step_backs > self.policy.max_step_backs {
                return self.evacuate(index, Why::GaveUp, now);
            }
            self.issue_verdict(index, Stage::Returning, now);
        } else if zone.step > RETURN_STEPS {
            (zone.why, zone.served_since) = (Why::Well, now);
            self.issue_verdict(index, Stage::Serving, now);
        } else if has_enough_voters || zone.step > 0 {
            zone.step += 1;
            self.issue_verdict(index, Stage::Returning, now);
        }
    }

    /// Evacuates a zone, unless no other zone is well.
    fn evacuate(&mut self, index: usize, why: Why, now: Duration) {
        if !self.has_well_alternative(index, now) {
            let zone = &mut self.zones[index];
            if zone.why != Why::Last {
                (zone.verdict.stage, zone.why) = (zone.verdict.stage.max(Stage::Doubted), Why::Last);
            }
            return;
        }
        let (initial_hold_down, zone) = (self.policy.hold_down, &mut self.zones[index]);
        let is_flapping = zone.verdict.stage == Stage::Returning || now < zone.served_since + FLAP_WINDOW;
        let has_earlier_verdict = zone.verdict.epoch > 0;
        zone.hold_down = if is_flapping && has_earlier_verdict && why != Why::Operator {
            (zone.hold_down * 2).min(MAX_HOLD_DOWN)
        } else {
            initial_hold_down
        };
        zone.why = why;
        self.issue_verdict(index, Stage::Left, now);
    }

    /// Issues a verdict for a zone's stage and step, under a new epoch.
    fn issue_verdict(&mut self, index: usize, stage: Stage, now: Duration) {
        self.epoch += 1;
        let part = match stage {
            Stage::Serving | Stage::Doubted => 1.0,
            Stage::Left => self.retained_fraction(index),
            Stage::Returning => self.step_fraction(self.zones[index].step),
        };
        let from = if stage == Stage::Left { now } else { now + LEAD };
        let epoch = self.epoch;
        let zone = &mut self.zones[index];
        (zone.since, zone.ill_since, zone.step_votes) = (now, None, Votes::default());
        zone.verdict = Verdict { epoch, stage, part, sheds: zone.verdict.sheds, from };
        if stage == Stage::Serving {
            zone.verdict.sheds = 0.0;
        }
    }

    /// The capacity of all other zones at their key fractions, where it is configured for each of them.
    fn capacity_of_others(&self, index: usize) -> Option<f64> {
        let others = || self.zones.iter().enumerate().filter(|(other, _)| *other != index);
        let is_configured = others().all(|(_, zone)| zone.capacity > 0.0);
        is_configured.then(|| others().map(|(_, zone)| zone.capacity * zone.verdict.part).sum())
    }

    /// The fraction of its keys that an evacuated zone keeps: none of a dead one. An ill zone, or one that is evacuated by
    /// an operator's order, keeps what the others lack the capacity for.
    fn retained_fraction(&self, index: usize) -> f64 {
        let zone = &self.zones[index];
        let is_usable = matches!(zone.why, Why::Ill | Why::Operator);
        let Some(other_capacity) = self.capacity_of_others(index).filter(|_| is_usable) else {
            return 0.0;
        };
        let excess = (self.total_get_rate - other_capacity).max(0.0);
        (excess / zone.get_rate.max(1.0)).min(1.0)
    }

    /// While zones are evacuated: updates the fraction to shed for lack of capacity, and announces it where it changed.
    fn update_shedding(&mut self, now: Duration) {
        let is_evacuated = |zone: &Zone| matches!(zone.verdict.stage, Stage::Left | Stage::Returning);
        if !self.zones.iter().any(is_evacuated) || self.zones.iter().any(|zone| zone.capacity <= 0.0) {
            return;
        }
        let announced = self.zones.iter().map(|zone| zone.verdict.sheds).fold(0.0, f64::max);
        self.shedding.set_fraction(announced, now);
        // The GETs sent are those not shed; retries of shed GETs are not among them.
        let sent_rate = self.zones.iter().map(|zone| zone.get_rate).sum();
        let capacity = self.zones.iter().map(|zone| zone.capacity * zone.verdict.part).sum();
        let adjusted = self.shedding.adjust(capacity, sent_rate, self.policy.report_interval, now);
        let Some(sheds) = adjusted else { return };
        let Some(evacuated) = self.zones.iter().position(is_evacuated) else { return };
        self.epoch += 1;
        let epoch = self.epoch;
        for zone in &mut self.zones {
            zone.verdict.sheds = 0.0;
        }
        let zone = &mut self.zones[evacuated];
        (zone.verdict.epoch, zone.verdict.sheds, zone.verdict.from) =
            (epoch, sheds, zone.verdict.from.min(now));
    }
}

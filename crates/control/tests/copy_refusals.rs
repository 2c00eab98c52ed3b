//! Which copies proxies accept while their control service does not hear the change log, from drawn polls to a proxy's
//! choice: judged by the times of the platform's pages.

mod common;
#[path = "../../../tests/common/drawn_polls.rs"]
mod drawn_polls;

use common::{Proxy, TestControlPlane, lease, ms};
use drawn_polls::{Fate, GONE_AFTER, GRACE, KNOWN_AT_LATEST, Poll, SOCKET_SLACK, WAIT, known_by_poll, polls};
use myrtlegauge::purge_news::{EventTime, PurgeNews};
use myrtlegauge_control::ads_server::{Message, Priority, ProtocolVariant};
use myrtlegauge_control::copy_refusals::{
    AgeLimit, COPY_REFUSALS, COPY_REFUSALS_FEATURE, ClockReading, CopyRefusals, Refusal, RefusalPlanner,
    RefusalStart,
};
use myrtlegauge_wire::poll_records::pause_between;
use proptest::prelude::*;
use std::collections::VecDeque;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// The clocks of a control service and of a proxy differ by this at most, as the lease of the tests assumes.
const CLOCK_ERROR_MS: i64 = 10;
/// From a proxy's choice until the first byte of the GET reaches its host.
const MAX_SEND_DELAY: Duration = Duration::from_millis(30);
/// Interval between two iterations of an event loop, and between two looks at a proxy.
const STEP: Duration = Duration::from_millis(10);
/// The longest delay of a message to a proxy, far beyond a lease.
const MAX_DELAY_MS: u64 = 400;
/// How long a scenario takes.
const DURATION: Duration = Duration::from_secs(16);
/// A lease and all that it leaves room for: after this, a proxy uses nothing of an earlier stream.
const LEASE_OVER: Duration = Duration::from_millis(250);
/// The object that is purged.
const OBJECT: u64 = 0x11;
const OBJECT_NAME: &str = "0000000000000011";
/// Copies are older than the purge by this, so that rounding can't matter.
const COPY_LEAD: Duration = Duration::from_millis(3);

/// What becomes of the answer to a poll that comes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Answer {
    Applied,
    /// It can't be read, or leaves a gap that is asked for again.
    Rejected,
    /// The event of the purge is missing from it and never comes.
    WithoutPurge,
}

/// One instance of the control service, as drawn.
#[derive(Clone, Debug)]
struct Instance {
    polls: Vec<(Poll, Answer)>,
    /// The process does not run from a time on, for a while.
    pauses: Vec<(Duration, Duration)>,
}

impl Instance {
    fn is_paused(&self, now: Duration) -> bool {
        self.pauses.iter().any(|&(at, length)| now >= at && now < at + length)
    }

    /// A poll can be sent and an answer be applied only by a process that runs.
    fn next_running(&self, mut at: Duration) -> Duration {
        while self.is_paused(at) {
            at += STEP;
        }
        at
    }
}

fn answers() -> impl Strategy<Value = Answer> {
    prop_oneof![
        8 => Just(Answer::Applied),
        1 => Just(Answer::Rejected),
        1 => Just(Answer::WithoutPurge),
    ]
}

fn instances() -> impl Strategy<Value = Instance> {
    let pauses = prop::collection::vec((500..14_000u64, 50..2000u64), 0..2);
    (polls(), prop::collection::vec(answers(), 12), pauses).prop_map(|(polls, answers, pauses)| Instance {
        polls: polls.into_iter().zip(answers).collect(),
        pauses: pauses.into_iter().map(|(at, length)| (ms(at), ms(length))).collect(),
    })
}

/// What happens to the way between a proxy and the instances.
#[derive(Clone, Debug)]
struct Way {
    clock_error_ms: i64,
    delay_ms: u64,
    /// When the stream ends with all that is under way, and the instance to which the next one goes, after a while.
    moves: Vec<(Duration, usize, Duration)>,
}

fn ways() -> impl Strategy<Value = Way> {
    let moves = prop::collection::vec((300..14_000u64, 0..2usize, 0..800u64), 0..4);
    let delay_ms = prop_oneof![Just(0), 0..MAX_DELAY_MS];
    (-CLOCK_ERROR_MS..=CLOCK_ERROR_MS, delay_ms, moves).prop_map(|(clock_error_ms, delay_ms, moves)| {
        let mut moves: Vec<_> =
            moves.into_iter().map(|(at, instance, gap)| (ms(at), instance, ms(gap))).collect();
        moves.sort();
        Way { clock_error_ms, delay_ms, moves }
    })
}

/// An instance that runs: its control plane, and what it knows of purges.
struct Running<'a> {
    drawn: &'a Instance,
    control: TestControlPlane,
    purge_news: PurgeNews,
    planner: RefusalPlanner,
    last_active: Duration,
    /// When the control plane's time was zero in the scenario's time.
    epoch: Duration,
}

impl<'a> Running<'a> {
    fn start(drawn: &'a Instance, start_unix_ms: u64) -> Self {
        let TestControlPlane { fleet, server, now } = TestControlPlane::new(1, 1);
        let fleet = fleet.with_clock_error(ms(CLOCK_ERROR_MS as u64));
        let mut control = TestControlPlane { fleet, server, now };
        // All instances have the same Unix time, though their clocks were started one after the other.
        let epoch = control.now.saturating_sub(ms(control.unix_ms() - start_unix_ms));
        let settings = myrtlegauge_operator::read(common::EXAMPLE).unwrap().decision_settings;
        control.server.put_copy_refusals(&CopyRefusals::default());
        Self {
            drawn,
            purge_news: PurgeNews::with_grace(GRACE, &settings, epoch),
            planner: RefusalPlanner::new(lease(), ms(CLOCK_ERROR_MS as u64), GONE_AFTER),
            last_active: epoch,
            control,
            epoch,
        }
    }

    /// Runs one iteration of the event loop at a time of the scenario.
    fn step(&mut self, at: Duration, purged_at: Duration) {
        if self.drawn.is_paused(at) {
            return;
        }
        let now = self.epoch + at;
        let previous = std::mem::replace(&mut self.last_active, now);
        self.control.now = now;
        if pause_between(previous, now).is_some() {
            self.purge_news.on_resumed(now);
        }
        for index in 0..self.drawn.polls.len() {
            let (poll, answer) = self.drawn.polls[index];
            self.apply_poll(poll, answer, previous, now, purged_at);
        }
        self.purge_news.in_force_until(now);
        if let Some(forecast) = self.planner.update(&self.purge_news, now) {
            let clock = ClockReading { now, unix_ms: self.control.unix_ms() };
            self.control.server.put_copy_refusals(&self.planner.to_published(&forecast, clock));
        }
        self.control.advance_time(Duration::ZERO);
    }

    /// Applies what became of a poll since the previous iteration.
    fn apply_poll(
        &mut self,
        poll: Poll,
        answer: Answer,
        previous: Duration,
        now: Duration,
        purged_at: Duration,
    ) {
        let is_due = |at: Duration| at > previous && at <= now;
        let sent_at = self.epoch + self.drawn.next_running(poll.sent_at);
        if is_due(sent_at) {
            self.purge_news.on_poll_sent(sent_at, sent_at + WAIT);
        }
        match poll.fate {
            Fate::Answered { after_ms } => {
                let received_at =
                    self.epoch + self.drawn.next_running(sent_at - self.epoch + ms(after_ms.max(1)));
                if is_due(received_at) {
                    self.on_answer(answer, sent_at, received_at, purged_at);
                }
            }
            Fate::Lost { after_ms, noticed_late_ms } => {
                let earliest = sent_at + ms(after_ms);
                let noticed_at = earliest + ms(noticed_late_ms.max(1));
                let noticed_at = self.epoch + self.drawn.next_running(noticed_at - self.epoch);
                if is_due(noticed_at) {
                    let earliest = earliest.min(noticed_at);
                    self.purge_news.on_poll_lost(sent_at, EventTime { earliest, latest: noticed_at });
                }
            }
            Fate::Unanswered => {}
        }
    }

    fn on_answer(&mut self, answer: Answer, sent_at: Duration, received_at: Duration, purged_at: Duration) {
        if answer == Answer::Rejected {
            return self.purge_news.on_answer_rejected(sent_at, received_at);
        }
        let is_purge_told = self.epoch + purged_at <= received_at;
        if is_purge_told && answer == Answer::Applied {
            let unix_ms = self.control.fleet.clock().unix_ms(self.epoch + purged_at) as f64;
            self.control.purge(Some(OBJECT_NAME), None, unix_ms);
        }
        if is_purge_told && answer == Answer::WithoutPurge {
            self.purge_news.on_events_missed(sent_at, received_at);
        }
        self.purge_news.on_poll_answered(sent_at);
    }

    /// From when the purge is in force for the proxies of this instance, by the pages.
    fn in_force_from(&self, purged_at: Duration, now: Duration) -> Duration {
        let known_by = |(poll, answer): &(Poll, Answer)| {
            let poll = Poll { sent_at: self.drawn.next_running(poll.sent_at), ..*poll };
            if poll.sent_at > now {
                return None;
            }
            let by_answer = match poll.fate {
                // An answer that has come has told all that the change log had, also one that was not applied.
                Fate::Answered { after_ms } => {
                    let received_at = self.drawn.next_running(poll.sent_at + ms(after_ms.max(1)));
                    let is_told = received_at >= purged_at && received_at <= now;
                    (is_told && *answer != Answer::Applied).then_some(received_at)
                }
                _ => None,
            };
            known_by_poll(&poll, purged_at, now).into_iter().chain(by_answer).min()
        };
        let known_at = self.drawn.polls.iter().filter_map(known_by).min().unwrap_or(Duration::MAX);
        known_at.min(purged_at + KNOWN_AT_LATEST) + GRACE
    }
}

/// A proxy with the messages that are under way to it.
struct Follower {
    way: Way,
    proxy: Proxy,
    instance: usize,
    under_way: VecDeque<(Duration, Message)>,
    /// Since when the stream is open; `None` while there is none.
    connected_at: Option<Duration>,
    /// The instance of the stream before, and when it ended.
    previous: Option<(usize, Duration)>,
    reopen_at: Duration,
}

impl Follower {
    fn connect(way: Way, variant: ProtocolVariant, running: &mut [Running<'_>]) -> Self {
        Self {
            way,
            proxy: Proxy::connect(&mut running[0].control, variant),
            instance: 0,
            under_way: VecDeque::new(),
            connected_at: Some(Duration::ZERO),
            previous: None,
            reopen_at: Duration::ZERO,
        }
    }

    /// Its clock, in Unix milliseconds.
    fn unix_ms(&self, running: &Running<'_>, now: Duration) -> u64 {
        let unix_ms = running.control.fleet.clock().unix_ms(running.epoch + now);
        unix_ms.saturating_add_signed(self.way.clock_error_ms)
    }

    fn step(&mut self, now: Duration, running: &mut [Running<'_>]) {
        let is_moving =
            |&(at, _, _): &(Duration, usize, Duration)| at > now.saturating_sub(STEP) && at <= now;
        if let Some(&(_, next, gap)) = self.way.moves.iter().find(|drawn| is_moving(drawn)) {
            if self.connected_at.take().is_some() {
                running[self.instance].control.server.close_stream(self.proxy.stream);
                self.previous = Some((self.instance, now));
            }
            self.under_way.clear();
            (self.instance, self.reopen_at) = (next, now + gap);
        }
        let instance = &mut running[self.instance];
        if self.connected_at.is_none() && now >= self.reopen_at && !instance.drawn.is_paused(now) {
            self.proxy.open(&mut instance.control);
            self.connected_at = Some(now);
        }
        if self.connected_at.is_none() {
            return;
        }
        if !instance.drawn.is_paused(now) {
            while let Some(message) = instance.control.next(self.proxy.stream) {
                self.under_way.push_back((now + ms(self.way.delay_ms), message));
            }
        }
        while let Some((_, message)) = self.under_way.pop_front_if(|&mut (arrives_at, _)| arrives_at <= now) {
            let now_ms = self.unix_ms(&running[self.instance], now);
            let answer = self.proxy.handle(&message, now_ms);
            let control = &mut running[self.instance].control;
            control.server.on_request(self.proxy.stream, &answer, control.now).unwrap();
        }
    }

    /// From when the purge is in force for it. Just after a move, an instance before may have been its source.
    fn in_force_from(&self, running: &[Running<'_>], purged_at: Duration, now: Duration) -> Duration {
        let current = running[self.instance].in_force_from(purged_at, now);
        let previous = self.previous.filter(|&(_, ended_at)| now < ended_at + LEASE_OVER);
        let previous = previous.map(|(index, _)| running[index].in_force_from(purged_at, now));
        previous.map_or(current, |previous| previous.max(current))
    }

    /// The age of the oldest copy that it accepts; `None` if it sheds.
    fn accepted_age(&mut self, running: &Running<'_>, now: Duration) -> Option<Duration> {
        let now_ms = self.unix_ms(running, now);
        self.proxy.choice(OBJECT, now_ms).ok().map(|(_, _, _, accepted_age)| accepted_age)
    }
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

/// Plays a scenario. Returns what it broke, if anything.
fn play(drawn: &[Instance], way: Way, variant: ProtocolVariant, purged_at: Duration) -> Option<String> {
    let start_unix_ms = unix_ms();
    let mut running: Vec<_> = drawn.iter().map(|drawn| Running::start(drawn, start_unix_ms)).collect();
    let mut follower = Follower::connect(way, variant, &mut running);
    let mut now = Duration::ZERO;
    while now < DURATION {
        now += STEP;
        running.iter_mut().for_each(|instance| instance.step(now, purged_at));
        follower.step(now, &mut running);
        let arrives_at = now + MAX_SEND_DELAY;
        let in_force_from = follower.in_force_from(&running, purged_at, now) + SOCKET_SLACK;
        let may_be_held = arrives_at < purged_at + GONE_AFTER;
        if arrives_at <= in_force_from || !may_be_held {
            continue;
        }
        let copy_age = (now + COPY_LEAD).saturating_sub(purged_at);
        let accepted_age = follower.accepted_age(&running[follower.instance], now);
        // An age of zero stands for any.
        if let Some(accepted) = accepted_age.filter(|age| age.is_zero() || *age >= copy_age) {
            return Some(format!(
                "at {now:?} a copy of {copy_age:?} is accepted ({accepted:?}), purged at {purged_at:?}, in force from {in_force_from:?}"
            ));
        }
    }
    None
}

/// The number of drawn scenarios; `COPY_REFUSALS_CASES` chooses it.
fn cases() -> u32 {
    const CASES: u32 = 200;
    std::env::var("COPY_REFUSALS_CASES").ok().and_then(|cases| cases.parse().ok()).unwrap_or(CASES)
}

proptest! {
    #![proptest_config(ProptestConfig { max_shrink_iters: 300, ..ProptestConfig::with_cases(cases()) })]

    /// Guards against review case 9: a proxy accepted copies from before a purge that its control service had not received.
    #[test]
    fn no_proxy_accepts_a_copy_that_a_purge_in_force_forbids(
        drawn in prop::collection::vec(instances(), 2),
        way in ways(),
        is_delta in any::<bool>(),
        purged_ms in 100..14_000u64,
    ) {
        let variant = if is_delta { ProtocolVariant::Delta } else { ProtocolVariant::Whole };
        let broken = play(&drawn, way, variant, ms(purged_ms));
        prop_assert!(broken.is_none(), "{}", broken.unwrap_or_default());
    }

    /// Guards against refusals and messages that a change log costs which is heard in time.
    #[test]
    fn while_polls_are_answered_in_time_nothing_is_published_and_every_copy_accepted(
        late_ms in prop::collection::vec(0..140u64, 40),
    ) {
        let mut sent_at = ms(1);
        let polls = late_ms.into_iter().map(|late_ms| {
            let after_ms = WAIT.as_millis() as u64 + late_ms;
            let poll = Poll { sent_at, fate: Fate::Answered { after_ms } };
            sent_at += ms(after_ms);
            (poll, Answer::Applied)
        });
        let instance = Instance { polls: polls.collect(), pauses: Vec::new() };
        let mut running = [Running::start(&instance, unix_ms())];
        let way = Way { clock_error_ms: 0, delay_ms: 0, moves: Vec::new() };
        let mut follower = Follower::connect(way, ProtocolVariant::Delta, &mut running);
        let mut now = Duration::ZERO;
        while now < DURATION {
            now += STEP;
            running[0].step(now, DURATION * 2);
            follower.step(now, &mut running);
            prop_assert!(follower.proxy.follower.copy_refusals().is_empty());
        }
        let is_urgent = |(priority, _, _): &&(Priority, _, _)| *priority == Priority::Urgent;
        prop_assert_eq!(follower.proxy.received.iter().filter(is_urgent).count(), 0);
    }
}

/// The refusal of copies from before now, in force at once.
fn refusal_now(control: &TestControlPlane) -> CopyRefusals {
    let settings = myrtlegauge_operator::read(common::EXAMPLE).unwrap().decision_settings;
    let mut purge_news = PurgeNews::with_grace(GRACE, &settings, control.now);
    purge_news.on_resumed(control.now);
    let mut planner = RefusalPlanner::new(lease(), ms(CLOCK_ERROR_MS as u64), GONE_AFTER);
    let forecast = planner.update(&purge_news, control.now).expect("a refusal");
    planner.to_published(&forecast, ClockReading { now: control.now, unix_ms: control.unix_ms() })
}

/// Whether a proxy has a lease after this long in which it handles all that it is sent.
fn has_lease_after(control: &mut TestControlPlane, proxy: &mut Proxy, time: Duration) -> bool {
    let until = control.now + time;
    while control.now < until {
        control.advance_time(STEP);
        proxy.handle_all(control);
    }
    proxy.follower.lease_left_ms(control.unix_ms()) > 0
}

/// Guards against a proxy of an earlier version, to which a refusal is an unknown notice: it must not go on without obeying it.
#[test]
fn a_proxy_that_does_not_obey_refusals_has_no_lease_while_there_are_any() {
    let mut control = TestControlPlane::new(1, 1);
    let mut old = Proxy::connect_with_features(&mut control, ProtocolVariant::Delta, &[]);
    let mut new =
        Proxy::connect_with_features(&mut control, ProtocolVariant::Delta, &[COPY_REFUSALS_FEATURE]);
    assert!(has_lease_after(&mut control, &mut old, LEASE_OVER));
    let refusals = refusal_now(&control);
    control.server.put_copy_refusals(&refusals);
    assert!(!has_lease_after(&mut control, &mut old, LEASE_OVER));
    assert!(has_lease_after(&mut control, &mut new, LEASE_OVER));
    assert!(new.choice(OBJECT, control.unix_ms()).unwrap().3 <= 2 * LEASE_OVER + ms(20));
    control.server.put_copy_refusals(&CopyRefusals::default());
    assert!(has_lease_after(&mut control, &mut old, LEASE_OVER));
}

/// Guards against a refusal that a proxy rejects at its first request: its lease would cover what it does not obey.
#[test]
fn a_proxy_that_rejects_refusals_has_no_lease() {
    let mut control = TestControlPlane::new(1, 1);
    let refusals = refusal_now(&control);
    control.server.put_copy_refusals(&refusals);
    let mut proxy = Proxy::connect(&mut control, ProtocolVariant::Delta);
    proxy.rejected_name = Some(COPY_REFUSALS.to_owned());
    assert!(!has_lease_after(&mut control, &mut proxy, 4 * LEASE_OVER));
}

/// Guards against dispatchers that follow verdicts on zones and lose their leases for copies that are none of theirs.
#[test]
fn a_follower_of_zones_keeps_its_lease_while_copies_are_refused() {
    let mut control = TestControlPlane::new(1, 1);
    let mut proxy = Proxy::connect_to_zones(&mut control, "edge");
    let refusals = refusal_now(&control);
    control.server.put_copy_refusals(&refusals);
    assert!(has_lease_after(&mut control, &mut proxy, 2 * LEASE_OVER));
}

/// Guards against a clock of the control service that was stepped: a refusal would be in force an hour late.
#[test]
fn a_refusal_is_in_force_in_time_though_the_clock_of_the_control_service_is_an_hour_ahead() {
    const HOUR_MS: u64 = 3_600_000;
    let control = TestControlPlane::new(1, 1);
    let settings = myrtlegauge_operator::read(common::EXAMPLE).unwrap().decision_settings;
    let mut purge_news = PurgeNews::with_grace(GRACE, &settings, control.now);
    purge_news.on_events_missed(control.now, control.now);
    let mut planner = RefusalPlanner::new(lease(), ms(CLOCK_ERROR_MS as u64), GONE_AFTER);
    let now = control.now + GRACE + SOCKET_SLACK - ms(300);
    let forecast = planner.update(&purge_news, now).expect("a refusal to come");
    let (received_ms, unix_ms) = (control.unix_ms(), control.unix_ms() + HOUR_MS);
    let received = planner.to_published(&forecast, ClockReading { now, unix_ms }).received_at(received_ms);
    assert_eq!(received.copies_before_unix_ms(received_ms + 200), None);
    assert_eq!(received.copies_before_unix_ms(received_ms + 300), Some(received_ms));
}

/// Guards against a message and a fill for each poll where the change log takes a poll and breaks off, again and again.
#[test]
fn a_change_log_that_breaks_off_again_and_again_costs_a_message_a_second_at_most() {
    let settings = myrtlegauge_operator::read(common::EXAMPLE).unwrap().decision_settings;
    let mut now = Duration::from_secs(3600);
    let mut purge_news = PurgeNews::with_grace(GRACE, &settings, now);
    let mut planner = RefusalPlanner::new(lease(), ms(CLOCK_ERROR_MS as u64), GONE_AFTER);
    let mut published = 0;
    for _ in 0..1200 {
        purge_news.on_poll_sent(now, now + WAIT);
        now += ms(50);
        purge_news.on_poll_lost(now - ms(50), EventTime { earliest: now - ms(1), latest: now });
        purge_news.in_force_until(now);
        published += u32::from(planner.update(&purge_news, now).is_some());
    }
    assert!(published <= 62, "{published} messages to each proxy in a minute");
}

/// Guards against a published text that changes: instances compare the versions that are made from it.
#[test]
fn the_text_that_is_hashed_into_versions_is_stable_and_the_notice_small() {
    const MAX_NOTICE_BYTES: usize = 640;
    let start = RefusalStart { unix_ms: 1_764_576_003_000, delay_ms: 350 };
    let refusal =
        Refusal { copies_before_unix_ms: 1_764_576_000_010, start, until_unix_ms: 1_764_576_006_010 };
    let age_limit = Some(AgeLimit { max_age_ms: 8000, start });
    let refusals = CopyRefusals { refusals: vec![refusal, refusal], age_limit };
    let start_text = "RefusalStart { unix_ms: 1764576003000, delay_ms: 350 }";
    let refusal_text = format!(
        "Refusal {{ copies_before_unix_ms: 1764576000010, start: {start_text}, until_unix_ms: 1764576006010 }}"
    );
    let age_limit_text = format!("Some(AgeLimit {{ max_age_ms: 8000, start: {start_text} }})");
    assert_eq!(
        format!("{refusals:?}"),
        format!("CopyRefusals {{ refusals: [{refusal_text}, {refusal_text}], age_limit: {age_limit_text} }}")
    );
    let length = refusals.encode_notice().len();
    println!("{length} bytes, {} empty", CopyRefusals::default().encode_notice().len());
    assert!(length <= MAX_NOTICE_BYTES, "{length} bytes");
}

//! All that the library decides: budgets, what is sent again and where, pauses, the pace of reconnects. No I/O and no
//! clock. `Core::round(now, &mut out, |round| …)` is called once for all that came in, one plain call for each message on
//! `Round`; what is to be done goes into `out`.

use crate::terms::*;
use slab::Slab;
use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

const ZERO: Duration = Duration::ZERO;
/// tries of one GET; a third that fails says that the trouble is not one dispatcher's.
const TRIES_MOST: u32 = 3;
/// part of a first try that is earned for a retry, and the most that is kept: retries add a tenth at most to what
/// dispatchers get, and a client that was idle can't send a burst of them.
const EARNED: f64 = 0.1;
const EARNED_MOST: f64 = 10.0;
/// what a client begins with: a few retries before it has earned any.
const EARNED_FIRST: f64 = 3.0;
/// requests open on one connection, by the protocol.
const OPEN_MOST: usize = 32;
/// connections to one dispatcher: a second, so that one that dies takes down half.
const LINKS_MOST: usize = 2;
/// calls in hand: what is over them is shed at once.
const CALLS_MOST: usize = 4096;
/// outcomes by which a dispatcher is judged, half of them successes.
const FEW: u32 = 4;
/// ms; a failed dispatcher rests this long before one trial, doubled at each failed one up to eight times it.
const REST: Duration = Duration::from_millis(500);
/// ms; a pause is kept at least this long, or a back-off of nothing makes a loop.
const PAUSE_LEAST: Duration = Duration::from_millis(20);
/// s; and at most: a year is a mistake, and a tablet must come back the same shift.
const PAUSE_MOST: Duration = Duration::from_secs(60);
/// ms; where a refusal tells no pause, or one that is no time.
const PAUSE_UNTOLD: Duration = Duration::from_millis(500);
/// reconnects a second that a dispatcher bears beside its work: over the window that this gives, a crowd that lost it
/// in one instant comes back.
const RETURNS: f64 = 4000.0;
/// ms; the window of a client that shares with nobody, and the most that a window grows to.
const WINDOW_LEAST: Duration = Duration::from_millis(50);
const WINDOW_MOST: Duration = Duration::from_secs(10);
/// ms; a connection that does not come up in time is given up.
const CONNECT: Duration = Duration::from_millis(500);
/// times the usual time of an answer, and ms, that a silent dispatcher is waited for before the GET goes elsewhere.
const PATIENT: f64 = 6.0;
const PATIENCE: Duration = Duration::from_millis(250);
/// ms; a returned dispatcher gets one GET at a time, then twice as many each step.
const STEP: Duration = Duration::from_millis(100);
/// weight of a new answer's time in the usual one.
const BLEND: f64 = 0.1;

pub type CallId = usize;
pub type LinkId = usize;

/// What a try bears: the GET's own identity, and which try this is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Mark {
    /// This try's id.
    pub id: u64,
    /// The first try's id.
    pub first: u64,
    pub number: u32,
}

/// Takes what is to be done, in order.
pub trait Carry {
    /// Opens a connection to a dispatcher.
    fn connect(&mut self, link: LinkId, place: usize);
    fn send(&mut self, link: LinkId, number: u16, call: CallId, mark: Mark, left: Duration);
    fn abort(&mut self, link: LinkId, number: u16);
    /// The link's number may be used again.
    fn close(&mut self, link: LinkId);
    /// The one outcome of a call, whose number may be used again. Of an answer that returns it the caller has the bytes.
    fn done(&mut self, call: CallId, end: Ended);
    fn resent(&mut self, resend: &Resend);
}

/// How a call ended; `Returned` stands for the answer that the driver holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    Returned,
    Shed { why: Shed, retry_after: Duration },
    Errored,
    MayHaveRun,
    OutOfTime,
}

/// How a dispatcher answered.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Answered {
    Returned,
    /// With the pause that it asks for, ms, where it tells a number.
    Shed(Option<f64>),
    Errored,
}

/// What may follow a try: the one table that says so. A dispatcher takes a request once it has all of it, so that one
/// of which a part never left is proven not run; a refusal says so itself.
pub fn again(effect: Effect, end: End, reached: Reached) -> Again {
    match (effect, end, reached) {
        (_, _, Reached::NotWhole) | (_, End::Shed, _) | (Effect::Idempotent, ..) => Again::Anywhere,
        (Effect::Tokened { .. }, ..) => Again::SameGroup,
        (Effect::NonIdempotent, ..) => Again::Never,
    }
}

/// The pause that a refusal asks for, as it is kept.
pub fn pause(told_ms: Option<f64>) -> Duration {
    let told = told_ms.filter(|ms| ms.is_finite() && *ms >= 0.0);
    let told = told.map(|ms| Duration::try_from_secs_f64(ms / 1e3).unwrap_or(PAUSE_MOST));
    told.unwrap_or(PAUSE_UNTOLD).clamp(PAUSE_LEAST, PAUSE_MOST)
}

struct Call {
    service: usize,
    budget: Duration,
    taken: Duration,
    first: u64,
    tries: u32,
    /// Where its try is out.
    out: Option<(LinkId, u16)>,
    /// The group of the first dispatcher that may have run it, and when.
    may_have_run: Option<(u64, Duration)>,
    /// How the last try ended, if it is to be followed by another.
    last: Option<(End, Reached, usize)>,
    /// It was shed by a dispatcher, last with this pause.
    shed: Option<Duration>,
}

struct Open {
    number: u16,
    call: CallId,
    sent: Duration,
    /// When its silence is too long.
    overdue: Duration,
}

struct Link {
    place: usize,
    up: bool,
    since: Duration,
    heard: Duration,
    next: u16,
    open: Vec<Open>,
}

struct Known {
    place: Place,
    failures: u32,
    trials: u32,
    rests_until: Duration,
    /// It asked to be left alone.
    pause_until: Duration,
    told_pause: Duration,
    /// A connection was lost: not before this is another opened, and how often in a row.
    returns_at: Duration,
    losses: u32,
    /// It came back, and gets more step by step from then.
    back_since: Option<Duration>,
    earned: f64,
    /// Usual time of an answer, s.
    usual: f64,
}

impl Known {
    fn failed(&self) -> bool {
        (self.failures & ((1 << FEW) - 1)).count_ones() > FEW / 2
    }

    /// Guards calls from a dispatcher that fails them. It hurts where all fail alike, when one is tried all the same.
    fn judge(&mut self, success: bool, now: Duration) {
        let failed = self.failed();
        self.failures = self.failures << 1 | u32::from(!success);
        if success {
            self.trials = 0;
            if failed && !self.failed() {
                self.back_since = Some(now);
            }
        } else if self.failed() && (!failed || now >= self.rests_until) {
            self.rests_until = now + REST * (1 << self.trials);
            self.trials = (self.trials + 1).min(3);
        }
    }

    /// When it may be tried again after a loss or failures; its own pauses stand apart.
    fn opens(&self) -> Duration {
        self.returns_at.max(if self.failed() { self.rests_until } else { ZERO })
    }

    /// GETs that may be out there at once. Guards one that has just come back from all that waited for it.
    fn room(&self, now: Duration) -> usize {
        if self.failed() {
            return 1;
        }
        let steps = self.back_since.map(|since| now.saturating_sub(since).div_duration_f64(STEP) as u32);
        steps.map_or(usize::MAX, |steps| 1 << steps.min(16))
    }
}

pub struct Core {
    services: Vec<Service>,
    places: Vec<Known>,
    calls: Slab<Call>,
    links: Slab<Link>,
    /// Calls that wait for a connection, or room on one.
    waiting: VecDeque<CallId>,
    due: BTreeSet<(Duration, CallId)>,
    chance: fastrand::Rng,
    now: Duration,
}

impl Core {
    pub fn new(services: Vec<Service>, places: Vec<Place>, seed: u64) -> Self {
        let known = |place| Known {
            place,
            failures: 0,
            trials: 0,
            rests_until: ZERO,
            pause_until: ZERO,
            told_pause: ZERO,
            returns_at: ZERO,
            losses: 0,
            back_since: None,
            earned: EARNED_FIRST,
            usual: 0.0,
        };
        Self {
            services,
            places: places.into_iter().map(known).collect(),
            calls: Slab::new(),
            links: Slab::new(),
            waiting: VecDeque::new(),
            due: BTreeSet::new(),
            chance: fastrand::Rng::with_seed(seed),
            now: ZERO,
        }
    }

    /// One round with all that came in at `now`; a clock that goes back is taken to stand still.
    pub fn round<C: Carry, T>(
        &mut self,
        now: Duration,
        out: &mut C,
        said: impl FnOnce(&mut Round<'_, C>) -> T,
    ) -> T {
        self.now = self.now.max(now);
        let mut round = Round { core: self, out };
        let told = said(&mut round);
        round.settle();
        told
    }

    /// When the next round is due, whatever comes.
    pub fn due(&self) -> Option<Duration> {
        let calls = self.due.first().map(|(at, _)| *at);
        let silent = self.links.iter().flat_map(|(_, link)| link.open.iter().map(|open| open.overdue)).min();
        let coming =
            self.links.iter().filter(|(_, link)| !link.up).map(|(_, link)| link.since + CONNECT).min();
        let held = (!self.waiting.is_empty()).then(|| self.opens_at()).flatten();
        [calls, silent, coming, held].into_iter().flatten().min()
    }

    /// When a waiting call may find a dispatcher again.
    fn opens_at(&self) -> Option<Duration> {
        let step = |known: &Known| known.back_since.map(|_| self.now + STEP / 2);
        let at = |known: &Known| {
            let opens = known.opens().max(known.pause_until);
            Some(opens).filter(|&opens| opens > self.now).or(step(known))
        };
        self.places.iter().filter_map(at).min()
    }

    pub fn in_hand(&self) -> usize {
        self.calls.len()
    }

    /// The service of a call in hand.
    pub fn service_of(&self, call: CallId) -> Option<usize> {
        self.calls.get(call).map(|call| call.service)
    }

    fn out_at(&self, place: usize) -> usize {
        self.links.iter().filter(|(_, link)| link.place == place).map(|(_, link)| link.open.len()).sum()
    }

    /// The least time in which an answer can be hoped for there.
    fn least(&self, place: usize) -> Duration {
        Duration::from_secs_f64(self.places[place].usual / 2.0)
    }
}

pub struct Round<'a, C: Carry> {
    core: &'a mut Core,
    out: &'a mut C,
}

impl<C: Carry> Round<'_, C> {
    pub fn carry(&mut self) -> &mut C {
        self.out
    }

    /// Takes a call; its number, under which its outcome is told, perhaps at once.
    pub fn take(&mut self, service: usize, budget: Duration) -> CallId {
        let core = &mut *self.core;
        let full = core.calls.len() >= CALLS_MOST;
        let call = core.calls.insert(Call {
            service,
            budget,
            taken: core.now,
            first: core.chance.u64(..),
            tries: 0,
            out: None,
            may_have_run: None,
            last: None,
            shed: None,
        });
        core.due.insert((core.now + budget, call));
        if full {
            self.done(call, Ended::Shed { why: Shed::Full, retry_after: PAUSE_UNTOLD });
        } else if service >= core.services.len() {
            self.done(call, Ended::Errored);
        } else {
            self.decide(call);
        }
        call
    }

    /// The caller does not wait any longer.
    pub fn dropped(&mut self, call: CallId) {
        if self.core.calls.contains(call) {
            self.forget(call);
        }
    }

    pub fn up(&mut self, link: LinkId) {
        let now = self.core.now;
        if let Some(link) = self.core.links.get_mut(link) {
            (link.up, link.heard) = (true, now);
            let known = &mut self.core.places[link.place];
            if std::mem::take(&mut known.losses) > 0 {
                known.back_since = Some(now);
            }
        }
    }

    /// Bytes came, whatever they are.
    pub fn heard(&mut self, link: LinkId) {
        let now = self.core.now;
        if let Some(link) = self.core.links.get_mut(link) {
            link.heard = now;
        }
    }

    /// A connection is over; `reached` tells how far each request on it got.
    pub fn lost(&mut self, link: LinkId, end: End, reached: impl Fn(u16) -> Reached) {
        let core = &mut *self.core;
        let Some(ended) = core.links.try_remove(link) else { return };
        self.out.close(link);
        let known = &mut core.places[ended.place];
        known.losses = (known.losses + 1).min(16);
        // Guards a dispatcher that was lost by all in one instant from all of them at once. It hurts a client alone by
        // the least window.
        let shared = Duration::from_secs_f64(f64::from(known.place.sharers) / RETURNS);
        let window =
            (WINDOW_LEAST + shared + known.told_pause).saturating_mul(1 << (known.losses - 1).min(8));
        known.returns_at = core.now + window.min(WINDOW_MOST).mul_f64(core.chance.f64());
        // What went down with one connection is one failure of the dispatcher.
        known.judge(false, core.now);
        for open in ended.open {
            self.failed(open.call, ended.place, open.sent, end, reached(open.number));
        }
    }

    /// A whole answer.
    pub fn answered(&mut self, link: LinkId, number: u16, answer: Answered) {
        let core = &mut *self.core;
        let now = core.now;
        let Some(on) = core.links.get_mut(link) else { return };
        on.heard = now;
        let Some(at) = on.open.iter().position(|open| open.number == number) else { return };
        let (open, place) = (on.open.swap_remove(at), on.place);
        let known = &mut core.places[place];
        let took = now.saturating_sub(open.sent).as_secs_f64();
        match answer {
            Answered::Returned => {
                known.usual =
                    if known.usual > 0.0 { known.usual + BLEND * (took - known.usual) } else { took };
                known.judge(true, now);
                known.told_pause = ZERO;
                self.done(open.call, Ended::Returned);
            }
            Answered::Shed(told) => {
                // The dispatcher lives and asks to be left alone, by this GET and all others.
                known.judge(true, now);
                let pause = pause(told);
                (known.told_pause, known.pause_until) = (pause, known.pause_until.max(now + pause));
                core.calls[open.call].shed = Some(pause);
                self.failed(open.call, place, open.sent, End::Shed, Reached::Whole);
            }
            Answered::Errored => {
                known.judge(false, now);
                self.failed(open.call, place, open.sent, End::Errored, Reached::Whole);
            }
        }
    }

    /// A try ended without returning its call.
    fn failed(&mut self, call: CallId, place: usize, sent: Duration, end: End, reached: Reached) {
        let core = &mut *self.core;
        let Some(c) = core.calls.get_mut(call) else { return };
        c.out = None;
        c.last = Some((end, reached, place));
        let ran = reached == Reached::Whole && end != End::Shed;
        if ran && c.may_have_run.is_none() {
            c.may_have_run = Some((core.places[place].place.group, sent));
        }
        if again(core.services[c.service].effect, end, reached) == Again::Never {
            return self.done(call, Ended::MayHaveRun);
        }
        self.decide(call);
    }

    /// Whether a call may go to a dispatcher, as far as its effect goes.
    fn may_go(&self, call: CallId, place: usize) -> bool {
        let (core, c) = (&*self.core, &self.core.calls[call]);
        match (core.services[c.service].effect, c.may_have_run) {
            (_, None) | (Effect::Idempotent, _) => true,
            (Effect::Tokened { window }, Some((group, since))) => {
                core.places[place].place.group == group && core.now < since + window
            }
            (Effect::NonIdempotent, Some(_)) => false,
        }
    }

    /// Sends a call out, lets it wait, or gives it up at once.
    fn decide(&mut self, call: CallId) {
        let core = &*self.core;
        let (c, now) = (&core.calls[call], core.now);
        let left = (c.taken + c.budget).saturating_sub(now);
        if left.is_zero() || c.tries >= TRIES_MOST {
            return self.give_up(call, Shed::NoDispatcher);
        }
        let resend = c.tries > 0 && c.last.is_some_and(|(_, reached, _)| reached == Reached::Whole);
        let last = c.last.map(|(.., place)| place);
        let (mut best, mut spent, mut paused, mut soonest) =
            (None, false, None::<Duration>, None::<Duration>);
        for place in 0..core.places.len() {
            let known = &core.places[place];
            if !self.may_go(call, place) {
                continue;
            }
            if now < known.pause_until {
                paused = Some(paused.map_or(known.pause_until, |at| at.min(known.pause_until)));
                continue;
            }
            let opens = known.opens();
            if opens > now {
                soonest = Some(soonest.map_or(opens, |at| at.min(opens)));
                continue;
            }
            if left <= core.least(place) {
                continue;
            }
            if resend && known.earned < 1.0 {
                spent = true;
                continue;
            }
            // The one with the least out; not the one that failed it, if there is another.
            let out = core.out_at(place);
            if out >= known.room(now) {
                soonest = Some(soonest.map_or(now + STEP, |at| at.min(now + STEP)));
                continue;
            }
            let rank = (last == Some(place), out);
            if best.is_none_or(|(known, _)| rank < known) {
                best = Some((rank, place));
            }
        }
        match best {
            Some((_, place)) => self.send(call, place, resend),
            None if spent => self.give_up(call, Shed::RetriesSpent),
            // It waits for a dispatcher that comes back while there is time for an answer.
            None if soonest.is_some_and(|at| at + PAUSE_LEAST < now + left) => self.wait(call),
            None if paused.is_some() => self.give_up(call, Shed::BackingOff),
            None => self.give_up(call, Shed::NoDispatcher),
        }
    }

    fn wait(&mut self, call: CallId) {
        if !self.core.waiting.contains(&call) {
            self.core.waiting.push_back(call);
        }
    }

    /// Puts a call on the emptiest connection, or opens one for it and lets it wait.
    fn send(&mut self, call: CallId, place: usize, resend: bool) {
        let core = &mut *self.core;
        let at = |link: &Link| link.place == place;
        let open = core.links.iter().filter(|(_, l)| at(l) && l.up && l.open.len() < OPEN_MOST);
        let emptiest = open.min_by_key(|(id, link)| (link.open.len(), *id)).map(|(id, _)| id);
        let count = core.links.iter().filter(|(_, link)| at(link)).count();
        let coming = core.links.iter().any(|(_, link)| at(link) && !link.up);
        let busy = emptiest.is_none_or(|id| !core.links[id].open.is_empty());
        if busy && count < LINKS_MOST && !coming {
            let link = Link { place, up: false, since: core.now, heard: core.now, next: 1, open: Vec::new() };
            let link = core.links.insert(link);
            self.out.connect(link, place);
        }
        let Some(link) = emptiest else { return self.wait(call) };
        let core = &mut *self.core;
        let now = core.now;
        let known = &mut core.places[place];
        let c = &mut core.calls[call];
        if c.tries == 0 {
            known.earned = (known.earned + EARNED).min(EARNED_MOST);
        } else if resend {
            known.earned -= 1.0;
        }
        let id = if c.tries == 0 { c.first } else { core.chance.u64(..) };
        let mark = Mark { id, first: c.first, number: c.tries };
        if let Some((end, reached, from)) = c.last {
            self.out.resent(&Resend { first: c.first, number: c.tries, end, reached, from, to: place });
        }
        let left = (c.taken + c.budget).saturating_sub(now);
        let patience = Duration::from_secs_f64(known.usual * PATIENT).max(PATIENCE);
        let on = &mut core.links[link];
        let number = on.next;
        on.next = if on.next == u16::MAX { 1 } else { on.next + 1 };
        on.open.push(Open { number, call, sent: now, overdue: now + patience });
        c.out = Some((link, number));
        c.tries += 1;
        self.out.send(link, number, call, mark, left);
    }

    /// The one outcome of a call that was not returned.
    fn give_up(&mut self, call: CallId, why: Shed) {
        let (core, c) = (&*self.core, &self.core.calls[call]);
        let effect = core.services[c.service].effect;
        if c.may_have_run.is_some() && effect != Effect::Idempotent {
            return self.done(call, Ended::MayHaveRun);
        }
        if c.taken + c.budget <= core.now {
            return self.done(call, Ended::OutOfTime);
        }
        let errored = matches!(c.last, Some((End::Errored, ..)));
        if errored && why != Shed::RetriesSpent {
            return self.done(call, Ended::Errored);
        }
        let now = core.now;
        let opens = |known: &Known| known.pause_until.max(known.returns_at).saturating_sub(now);
        let soonest = core.places.iter().map(opens).min().unwrap_or_default();
        let why = if c.shed.is_some() && why == Shed::BackingOff { Shed::ByDispatcher } else { why };
        let retry_after = c.shed.unwrap_or_default().max(soonest).max(PAUSE_LEAST);
        self.done(call, Ended::Shed { why, retry_after });
    }

    fn done(&mut self, call: CallId, end: Ended) {
        self.forget(call);
        self.out.done(call, end);
    }

    /// Calls off what is out for a call and lets it go.
    fn forget(&mut self, call: CallId) {
        let core = &mut *self.core;
        let c = core.calls.remove(call);
        core.due.remove(&(c.taken + c.budget, call));
        core.waiting.retain(|&waiting| waiting != call);
        if let Some((link, number)) = c.out {
            let on = core.links.get_mut(link);
            let at = on.as_ref().and_then(|on| on.open.iter().position(|open| open.number == number));
            if let (Some(on), Some(at)) = (on, at) {
                on.open.swap_remove(at);
                self.out.abort(link, number);
            }
        }
    }

    /// Closes a round: what ran out of time, what has been silent for too long, and what waits.
    fn settle(&mut self) {
        let now = self.core.now;
        while let Some(&(at, call)) = self.core.due.first()
            && at <= now
        {
            self.give_up(call, Shed::NoDispatcher);
        }
        let late: Vec<_> =
            self.core.links.iter().filter(|(_, l)| !l.up && now >= l.since + CONNECT).collect();
        let late: Vec<_> = late.into_iter().map(|(id, _)| id).collect();
        for link in late {
            self.lost(link, End::Lost, |_| Reached::NotWhole);
        }
        // A connection on which nothing was heard since a GET there became overdue is taken for dead.
        let silent =
            |link: &Link| link.open.iter().any(|open| now >= open.overdue && link.heard <= open.sent);
        let dead: Vec<_> =
            self.core.links.iter().filter(|(_, l)| l.up && silent(l)).map(|(id, _)| id).collect();
        for link in dead {
            self.lost(link, End::Silent, |_| Reached::Whole);
        }
        for (_, link) in &mut self.core.links {
            for open in link.open.iter_mut().filter(|open| now >= open.overdue) {
                // It lives: others were answered meanwhile.
                open.overdue = now + PATIENCE;
            }
        }
        for known in &mut self.core.places {
            if known.back_since.is_some_and(|since| now >= since + STEP * 8) {
                known.back_since = None;
            }
        }
        for _ in 0..self.core.waiting.len() {
            let Some(call) = self.core.waiting.pop_front() else { break };
            self.decide(call);
        }
    }
}

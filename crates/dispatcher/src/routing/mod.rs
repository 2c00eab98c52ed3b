//! Brings what was read to the decision module, one round for each turn of the loop, and its decisions back.

mod answers;
mod clients;
mod counters;
mod desk;
mod door;
mod forwards;
mod hands;
mod hosts;
mod keyed;
mod news;
mod sockets;
mod zones;

use bytes::Bytes;
pub use desk::{Desk, Room};
use door::Door;
pub use keyed::Key;
use myrtlegauge::decide::{Round, Router};
use myrtlegauge::interface::{ListKind, Purged, Values};
use myrtlegauge_membership::driver::{self, Member};
use myrtlegauge_wire::clock::Clock;
use myrtlegauge_wire::feed::Feed;
use myrtlegauge_wire::places::Places;
use myrtlegauge_wire::protocol::changelog;
use myrtlegauge_wire::transport::{Accounts, Hub, Listener, Owner};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
pub use zones::{SeenHost, ZoneNews, ZonePort, ZoneReport};

/// What can stir in the loop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Who {
    Listener,
    Client(Key),
    Link(Key),
    Feed,
}

/// What is known at the start.
pub struct Posting<'a> {
    pub listen: SocketAddr,
    pub changelog: SocketAddr,
    pub known: changelog::Changes<'a>,
    pub facts: &'a Values,
    pub seed: u64,
    pub room: Room,
    /// The services to follow on zones; none in `run`.
    pub zones: Option<ZonePort>,
    /// This dispatcher as a member of its fleet; none in `run`.
    pub member: Option<driver::Posting>,
}

pub struct Dispatcher {
    router: Router,
    desk: Desk,
    member: Option<Member<Dispatcher>>,
}

impl Owner for Dispatcher {
    type Key = Who;

    fn stirred(&mut self, who: Who) {
        self.desk.stirred.push(who);
    }
}

impl Dispatcher {
    pub fn start(hub: Hub<Self>, mut posting: Posting<'_>) -> Result<Self, String> {
        let router = Router::new(posting.facts, posting.seed)?;
        let accounts = Rc::new(Accounts::default());
        let listener = Listener::open(&hub, posting.listen, Who::Listener, &accounts)
            .map_err(|e| format!("can't listen on {}: {e}", posting.listen))?;
        let feed = Feed::new(posting.changelog, Who::Feed);
        let names =
            (Door::new(posting.facts)?, Places::new(posting.facts)?, desk::Manners::read(posting.facts));
        let port = posting.zones.take();
        let (news, member_hub) = (hub.clone(), hub.clone());
        let mut desk = Desk::new(hub, listener, accounts, feed, names, posting.room, Clock::start());
        if let Some(ZonePort { news: heard, report, every }) = port {
            let into = news.insert_source(heard, |event, (), dispatcher: &mut Self| {
                if let calloop::channel::Event::Msg(news) = event {
                    dispatcher.desk.zone_heard.push(news);
                }
            });
            into.map_err(|e| format!("news of zones can't be heard: {e}"))?;
            let names = desk.places.zones().to_vec();
            desk.zones = Some(zones::Zones::new(names, every, report, desk.now));
            desk.zones_due = desk.now;
        }
        let member = posting.member.as_ref().map(|told| Member::start(&member_hub, told, Self::member_told));
        let member = member.transpose().map_err(|e| e.to_string())?;
        let mut started = Self { router, desk, member };
        let now = started.desk.now;
        started.router.round(now, &mut started.desk, |round| {
            let last = posting.known.last;
            tell_changes(round, posting.known, ListKind::Kept);
            // A start is told all there was; what it leaves out is of no use any more.
            round.desk().told_up_to(last);
        });
        Ok(started)
    }

    /// What changed among the members: logged, and what it comes to for the sources is told to the module.
    fn member_told(&mut self, told: driver::Told<'_>) {
        let (view, sharers) = (told.view, told.sharers);
        let (epoch, here, doubted, gone, known) =
            (view.epoch, view.here, view.doubted, view.gone, view.known);
        let (reach, change) = (view.reach, told.change);
        log::info!(epoch, here, doubted, gone, known, reach:?, sharers, change:?; "members");
        self.desk.sharers = Some(sharers);
    }

    pub fn address(&self) -> std::io::Result<SocketAddr> {
        self.desk.listener.address()
    }

    /// How long the loop may sleep.
    pub fn patience(&self) -> Duration {
        self.desk.next_due().saturating_sub(self.desk.clock.now())
    }

    /// All that one turn of the loop brought, as one round; and another at once where one ended forwards here.
    pub fn turn(&mut self) {
        let Self { router, desk, .. } = self;
        desk.read();
        desk.hear_zones();
        desk.write();
        while desk.has_news() {
            let began = Instant::now();
            let now = desk.now;
            router.round(now, desk, |round| {
                while let Some(body) = round.desk().next_changes() {
                    tell_polled(round, &body);
                }
                let doubted = round.desk().doubted;
                round.doubted(doubted);
                if let Some(sharers) = round.desk().sharers.take() {
                    round.shared(sharers as f64);
                }
                let moved = round.desk().zones_moved();
                if !moved.is_empty() {
                    round.listed(ListKind::Changes, &moved);
                }
                while let Some((place, outcome)) = round.desk().next_answered() {
                    round.outcome(place, &outcome);
                }
                while let Some((place, outcome)) = round.desk().next_ended() {
                    round.outcome(place, &outcome);
                }
                while let Some(place) = round.desk().next_abandoned() {
                    round.abandoned(place);
                }
                let mut place = round.next_place();
                while let Some(get) = round.desk().next_get(place) {
                    round.take(get);
                    place = round.next_place();
                }
                if round.desk().wakes() {
                    round.woken();
                }
            });
            desk.write();
            let counters = &mut desk.counters;
            counters.rounds += 1;
            counters.round_longest_us = counters.round_longest_us.max(began.elapsed().as_micros() as u64);
            desk.now = desk.clock.now();
        }
        desk.tell_origin();
        desk.look_at_return();
        if desk.tidy() {
            // What the module believes to be out at a host is what stands on its connections.
            for host in 0..desk.hosts.len() {
                let holds = router.out_at(host) == desk.out_at(host) as f64;
                desk.counters.must(holds, "forwards out at a host are those on its connections");
            }
        }
        desk.count_holds();
    }

    /// Takes what still comes for the time that a restart allows, then ends once nothing is in hand.
    pub fn stop(&mut self) {
        self.desk.stop();
        if let Some(member) = self.member.clone() {
            member.leave(self);
        }
    }

    /// Follows the change log at another address, where a later configuration could be used.
    pub fn follow(&mut self, changelog: Option<SocketAddr>) {
        self.desk.counters.reread += u64::from(changelog.is_some());
        self.desk.counters.reread_failed += u64::from(changelog.is_none());
        if let Some(changelog) = changelog {
            self.desk.feed.follow(changelog, self.desk.now);
        }
    }

    pub fn is_done(&self) -> bool {
        self.desk.is_done()
    }

    /// GETs taken so far.
    pub fn taken(&self) -> u64 {
        self.desk.counters.taken
    }

    /// Bytes in all buffers.
    pub fn buffered(&self) -> usize {
        self.desk.accounts.buffered.level()
    }

    /// Places of hosts, those that can be taken by a new one included.
    pub fn hosts(&self) -> usize {
        self.desk.hosts.len()
    }

    pub fn report(&self) {
        self.desk.report();
        if let Some(member) = &self.member {
            log::info!("{}", member.line());
        }
    }
}

fn tell_polled(round: &mut Round<'_, Desk>, body: &Bytes) {
    let before = round.desk().last_change();
    match serde_json::from_slice(body) {
        Ok(changes) => {
            tell_changes(round, changes, ListKind::Whole);
            round.desk().polled(before);
        }
        Err(e) => round.desk().unread(format_args!("an answer of the change log can't be read: {e}")),
    }
}

/// Each numbered event once, in order; `whole` is what a whole list counts as.
fn tell_changes(round: &mut Round<'_, Desk>, changes: changelog::Changes<'_>, whole: ListKind) {
    for change in &changes.results {
        match round.desk().is_next(change.number) {
            Some(true) => {}
            Some(false) => continue,
            None => return,
        }
        if let Some(fleet) = &change.fleet {
            let entries = round.desk().listed(&fleet.endpoints, fleet.snapshot);
            round.listed(if fleet.snapshot { whole } else { ListKind::Changes }, &entries);
        }
        if let Some(purge) = &change.invalidate {
            let object = purge.object.as_deref().and_then(|id| door::hex(id.as_bytes()));
            let named = object.map(Purged::Object).or(purge.bucket.map(Purged::Group));
            if let Some((named, age)) = round.desk().purged(named, purge.unix_ms) {
                round.purged(named, age);
            }
        }
    }
}

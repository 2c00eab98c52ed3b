//! GETs in hand, each in the place that the module gave it.

use super::Key;
use myrtlegauge::interface::{End, Forward, Get, GetIndex, HostIndex, Note};
use myrtlegauge_wire::protocol::fastcgi::Request;
use std::collections::HashSet;
use std::time::Duration;

#[derive(Default)]
pub struct Pending {
    /// The client's connection and the request there; none once answered or abandoned.
    pub owed: Option<(Key, u16)>,
    pub id: u64,
    /// As it came; what goes on unchanged is taken from here.
    pub request: Request,
    pub get: Get,
    pub until: Duration,
    pub hops: u32,
    pub out: Option<Out>,
    /// An earlier forward of it is not proven not to have run.
    pub may_have_run: bool,
    /// Connections on which an earlier forward of it was answered: what else comes there under its id is of that one.
    pub answered_on: Vec<Key>,
    /// Where the last forward that ended went, how it ended, and the note its answer carried: for the log.
    pub last: Option<(HostIndex, End, Note)>,
}

impl Pending {
    /// How long it has been in hand: it was taken a viewer timeout before its `until`.
    pub fn in_hand(&self, now: Duration) -> Duration {
        now.saturating_sub(self.until.saturating_sub(self.get.viewer_timeout))
    }
}

/// A forward that is out.
#[derive(Clone, Copy)]
pub struct Out {
    pub hop: u32,
    /// Tells it from all others.
    pub serial: u64,
    pub at: Duration,
    pub until: Duration,
    pub link: Option<Key>,
    /// Its message on the connection, by its number there; none while it waits for one to come up.
    pub message: Option<u64>,
    /// The tag of the client's copy went with it.
    pub names_copy: bool,
    pub to: Forward,
}

#[derive(Default)]
pub struct InFlight {
    places: Vec<Pending>,
    ids: HashSet<u64>,
    pub owed: usize,
}

impl InFlight {
    pub fn open(&mut self, place: GetIndex, pending: Pending) {
        if self.places.len() <= place {
            self.places.resize_with(place + 1, Pending::default);
        }
        self.owed += 1;
        self.ids.insert(pending.id);
        self.places[place] = pending;
    }

    pub fn peek(&self, place: GetIndex) -> &Pending {
        &self.places[place]
    }

    pub fn at(&mut self, place: GetIndex) -> &mut Pending {
        &mut self.places[place]
    }

    /// The GETs that are owed an answer.
    pub fn places(&self) -> Vec<GetIndex> {
        (0..self.places.len()).filter(|&place| self.places[place].owed.is_some()).collect()
    }

    /// Takes away what is owed, so that it can be paid once only.
    pub fn settle(&mut self, place: GetIndex) -> Option<(Key, u16)> {
        let owed = self.places[place].owed.take()?;
        self.owed -= 1;
        Some(owed)
    }

    /// A GET under this id is in hand, or what was sent on for it is still out.
    pub fn holds(&self, id: u64) -> bool {
        self.ids.contains(&id)
    }

    pub fn clear(&mut self, place: GetIndex) {
        self.ids.remove(&self.places[place].id);
        self.places[place] = Pending::default();
    }
}

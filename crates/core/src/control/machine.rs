//! The control machine: turns frames, platform pages and time into views.

mod exchange;
mod records;

use std::sync::Arc;
use std::time::Duration;

use ladder_schema::publication::Record;
use ladder_schema::wire::{Frame, Liveness};

use super::belief::Belief;
use super::hash::{self, Random};
use super::membership::{Member, Membership, Standing};
use super::project::{Projection, Source, Standings};
use super::quarantine::{Cause, Change, Entry, Quarantine};
use super::reader::{self, Place, Reader};
use super::settings::{Listing, Settings};
use super::store::{Key, Refusal, Store};
use super::withdrawal::Withdrawals;
use super::{Action, Event};
use crate::collections::Set;
use crate::fingerprint::Fingerprint;
use crate::time::{Instant, micros};
use crate::view::View;

/// Random peers that news is sent to at once.
const FANOUT: usize = 4;
/// Random peers that hear rumours at each probe, besides the neighbours.
const GOSSIP: usize = 2;
/// Peers told directly of the own leaving.
const FAREWELLS: usize = 32;
/// Peers asked at once by an instance that knows nothing.
const START_PEERS: usize = 2;
/// First pause between two asks of seeds that have not answered.
const START_PAUSE: Duration = Duration::from_millis(100);
/// How long an instance that starts waits for the platform before it tells peers that it holds nothing;
/// the platform answers in milliseconds.
const FIRST_READ: Duration = Duration::from_millis(200);
/// How long a start waits for a peer's answer once the platform has answered or failed.
const START_WAIT: Duration = Duration::from_secs(1);

/// Age up to which a change of the store may still be on its way to others.
const UNDER_WAY: Duration = Duration::from_millis(500);
/// Buckets that may differ because of changes under way.
const FEW_BUCKETS: usize = 8;
/// Digests in a row that are left unanswered because of changes under way.
const DEFERRALS: u32 = 3;

/// What one instance knows of the fleet and the publication.
///
/// # Start
///
/// An instance that starts with nothing reads the platform once and asks seeds and listed peers. It
/// is ready when it knows a catalogue entry and an index or the routes, the platform has answered or
/// failed, and either that answer was a whole listing, a peer has answered, none is known, or a
/// second has passed; and its shares of connections do
/// not grow any more. If no source answers, it never
/// becomes ready and callers are refused with `REASON_NOT_READY`; it goes on asking.
#[derive(Debug)]
pub struct Machine {
    settings: Settings,
    store: Store,
    membership: Membership,
    reader: Reader,
    projection: Projection,
    withdrawals: Withdrawals,
    quarantine: Quarantine,
    random: Random,
    started: Instant,
    next_probe: Instant,
    next_digest: Instant,
    /// Number of the last probe sent.
    probe: u64,
    /// Numbers of probes sent with a digest before the first answer.
    asked: Set<u64>,
    /// The platform has listed all that it publishes: no peer can know better.
    listed: bool,
    /// Until the next digest while no peer has answered one.
    start_pause: Duration,
    /// A peer has answered a digest.
    peer_answered: bool,
    /// The store has changed since the last view.
    store_changed: bool,
    /// When the store last changed.
    store_changed_at: Instant,
    /// Digests left unanswered in a row.
    deferred: u32,
    /// How soon this instance is to ask the platform among those of its zone.
    place: Place,
    /// When the view must be built anew because time has passed.
    next_view: Option<Instant>,
}

impl Machine {
    /// A machine that knows nothing but its settings.
    pub fn new(settings: Settings, now: Instant) -> Self {
        // Instances that start together may have the same seed, and their waits must still differ.
        let name = hash::of(&[settings.name.as_bytes()]);
        let mut random = Random::new(settings.seed ^ name);
        let offset =
            |span, random: &mut Random| now + Duration::from_micros(random.below(micros(span)));
        Self {
            store: Store::default(),
            membership: Membership::new(&settings, now),
            reader: Reader::new(now, settings.timing.digest, &mut random),
            projection: Projection::default(),
            withdrawals: Withdrawals::default(),
            quarantine: Quarantine::default(),
            started: now,
            next_probe: offset(settings.timing.probe, &mut random),
            next_digest: now,
            probe: 0,
            asked: Set::default(),
            listed: false,
            start_pause: START_PAUSE,
            peer_answered: false,
            store_changed: true,
            store_changed_at: now,
            deferred: 0,
            place: Place::LAST,
            next_view: None,
            random,
            settings,
        }
    }

    /// Takes in an event and appends what follows from it.
    pub fn handle(&mut self, now: Instant, event: Event, out: &mut Vec<Action>) {
        let before = out.len();
        self.take(now, event, out);
        self.advance(now, out);
        let age = self.reader.age_ms(now);
        for action in &mut out[before..] {
            if let Action::Send { frame, .. } = action {
                frame.platform_age_ms = age;
            }
        }
    }

    fn take(&mut self, now: Instant, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Frame(frame) => self.frame(now, *frame, out),
            Event::Page(page) => self.page(now, &page, out),
            Event::WatchFailed => {
                let timing = self.read_timing();
                let failure = self.reader.failed(now, timing, &mut self.random);
                let revision = self.store.revision();
                out.push(Action::Log(Belief::PlatformLost { revision, failure }));
            }
            Event::WatchExpired => self.reader.expired(now),
            Event::LinkDown(name) => self.membership.link_down(now, &name),
            Event::ServerLeaving { server, incarnation } => {
                self.server_leaving(now, &server, incarnation, out);
            }
            Event::Crashed { incarnation, at, requests } => {
                self.update_quarantine(now, "", out, |held| {
                    held.crashed(now, incarnation, at, &requests)
                });
            }
            Event::Refuted(incarnation) => {
                self.update_quarantine(now, "", out, |held| held.refuted(now, &incarnation));
            }
            Event::Cleared(request) => {
                let by = Cause::Answer;
                self.update_quarantine(now, "", out, |held| held.cleared(now, request, by));
            }
            Event::Released(request) => {
                let by = Cause::Operator;
                self.update_quarantine(now, "", out, |held| held.cleared(now, request, by));
            }
            Event::Asked(request) => self.quarantine.asked(now, request),
            Event::Seeds(seeds) => self.settings.seeds = seeds,
            Event::Paused(_) => self.paused(now, out),
            Event::Drain => self.drain(now, out),
            Event::Tick => {}
        }
    }

    /// When the machine wants an [`Event::Tick`], unless another event comes first.
    pub fn next_wake(&self) -> Instant {
        let mut wake = self.next_probe.min(self.next_digest);
        let read = self.reader.next_wake(self.place, self.read_timing());
        let later = [self.next_view, self.withdrawals.next(), self.quarantine.next_expiry()];
        for other in later.into_iter().chain([read]).flatten() {
            wake = wake.min(other);
        }
        wake
    }

    /// This instance as a member.
    pub const fn own(&self) -> &Member {
        self.membership.own()
    }

    /// All other members with liveness, incarnation and what they rest on.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.membership.members()
    }

    /// Whether an instance may be given work, in the view of this one.
    pub fn standing(&self, now: Instant, name: &str) -> Standing {
        self.membership.standing(now, name)
    }

    /// Records in force with their revision, tombstones included.
    pub fn records(&self) -> impl Iterator<Item = (&Key, &Arc<Record>)> {
        self.store.records()
    }

    /// Refused records with the reason.
    pub fn refused(&self) -> impl Iterator<Item = &Refusal> {
        self.store.refused()
    }

    /// What is held of requests under which servers ended.
    pub fn quarantined(&self) -> impl Iterator<Item = (&Fingerprint, &Entry)> {
        self.quarantine.entries()
    }

    /// The last view, with owner and candidates of each service.
    pub const fn view(&self) -> &Arc<View> {
        self.projection.view()
    }

    /// Whether this instance is one of those that watch the platform.
    pub const fn is_reader(&self) -> bool {
        self.place.is_reader()
    }

    fn reading_place(&self) -> Place {
        let own = self.membership.own();
        let zone = &own.zone;
        let alive = |member: &&Member| member.liveness == Liveness::Alive && member.zone == *zone;
        let others = self.membership.members().filter(alive);
        match own.liveness {
            Liveness::Alive => reader::place(&own.name, others.map(|member| &*member.name)),
            _ => Place::LAST,
        }
    }

    const fn read_timing(&self) -> reader::Timing {
        reader::Timing {
            digest: self.settings.timing.digest,
            contact: self.settings.timing.contact,
        }
    }

    /// Between two digests.
    ///
    /// Until some peer has answered, seeds are asked more often, each time half as often as before.
    /// After a loss of all power the first ask finds no seed that is back, and with the usual pause an
    /// instance asked all servers by itself for a second: it knew of nobody to share them with.
    fn digest_pause(&mut self) -> Duration {
        let usual = self.settings.timing.digest;
        if self.peer_answered {
            return usual;
        }
        let pause = self.start_pause.min(usual);
        self.start_pause = pause * 2;
        pause
    }

    fn advance(&mut self, now: Instant, out: &mut Vec<Action>) {
        if now >= self.next_probe {
            self.next_probe = now + self.settings.timing.probe;
            self.membership.tick(now);
            self.probe_neighbours(out);
            self.gossip(out);
        }
        if now >= self.next_digest {
            self.next_digest = now + self.digest_pause();
            self.exchange(now, out);
        }
        self.quarantine.expire(now);
        let withdrawn = self.withdrawals.due(now);
        if !withdrawn.is_empty() {
            self.adopt(now, &withdrawn, out);
        }
        if self.membership.has_changed() {
            self.place = self.reading_place();
        }
        let timing = self.read_timing();
        if let Some(read) = self.reader.poll(now, self.place, timing, &mut self.random) {
            out.push(Action::Watch(read));
        }
        self.project(now, out);
    }

    fn project(&mut self, now: Instant, out: &mut Vec<Action>) {
        let ready = self.projection.view().ready || self.may_serve(now);
        let became_ready = ready != self.projection.view().ready;
        let due = self.next_view.is_some_and(|at| now >= at);
        let members_changed = self.membership.take_changed();
        let store_changed = std::mem::take(&mut self.store_changed);
        let quarantine_changed = *self.quarantine.view() != self.projection.view().quarantine;
        if !(store_changed || members_changed || became_ready || due || quarantine_changed) {
            return;
        }
        let changes = self.store.take_changes();
        let standings = self.standings(now, members_changed || due);
        if members_changed {
            self.note_members(&standings, out);
        }
        let source = Source {
            standings,
            quarantine: self.quarantine.view(),
            store: &self.store,
            membership: &self.membership,
            settings: &self.settings,
            now,
        };
        if let Some(view) = self.projection.refresh(&source, changes, ready) {
            out.push(Action::View(view));
        }
        let growth = self.projection.next_growth(&self.settings);
        let settled = self.membership.next_settled(now);
        let order = self.projection.next_order(&self.settings);
        self.next_view = [growth, order, settled].into_iter().flatten().min();
    }

    /// Logs the instances whose standing differs from the last view.
    fn note_members(&self, present: &Standings, out: &mut Vec<Action>) {
        let before = self.projection.standings();
        let names = before.keys().chain(present.keys().filter(|name| !before.contains_key(*name)));
        let of = |map: &Standings, name| map.get(name).copied().unwrap_or(Standing::Gone);
        let mut turned: Vec<_> = names
            .map(|name| (name, of(before, name), of(present, name)))
            .filter(|(_, before, now)| before != now)
            .collect();
        turned.sort_unstable();
        out.extend(turned.into_iter().map(|(name, before, now)| {
            Action::Log(Belief::Member { name: Arc::clone(name), before, now })
        }));
    }

    /// Whether work may be given to each instance. It changes with the members and with time, and
    /// whenever time changes it the view is due.
    fn standings(&self, now: Instant, may_differ: bool) -> Arc<Standings> {
        match may_differ {
            true => Arc::new(self.membership.standings(now)),
            false => Arc::clone(self.projection.standings()),
        }
    }

    /// The view of this moment, built whole from the records and from what the past decides. It
    /// equals [`Machine::view`], which is kept up to date in parts, but for generation and keys.
    pub fn rebuilt(&self, now: Instant) -> View {
        let store = self.store.rebuilt();
        let source = Source {
            standings: self.standings(now, true),
            quarantine: self.quarantine.view(),
            store: &store,
            membership: &self.membership,
            settings: &self.settings,
            now,
        };
        self.projection.whole(&source, self.view().ready)
    }

    fn may_serve(&self, now: Instant) -> bool {
        let indexed =
            self.store.entries().next().is_some() && self.store.indexes().next().is_some();
        let known = indexed || self.store.routing().is_some();
        let alone = self.settings.seeds.is_empty() && self.membership.members().next().is_none();
        let waited = now.since(self.started);
        let heard = self.listed || self.peer_answered || alone || waited >= START_WAIT;
        known && self.reader.tried() && heard && self.has_shares(waited)
    }

    /// Shares that still grow are waited for, but not for ever if the list changes all the time.
    fn has_shares(&self, waited: Duration) -> bool {
        if self.settings.listing == Listing::Observed {
            return true;
        }
        let bound = START_WAIT + self.settings.timing.grace * 2;
        let growing = || self.projection.next_growth(&self.settings).is_some();
        waited >= bound || (!self.store_changed && !growing())
    }

    /// Takes in what is said of requests under which servers ended; logs what changes, and tells
    /// some peers all that is held if it is news.
    ///
    /// Random peers of all zones: such a request comes again anywhere within milliseconds.
    fn update_quarantine(
        &mut self,
        now: Instant,
        from: &str,
        out: &mut Vec<Action>,
        take: impl FnOnce(&mut Quarantine) -> Vec<Change>,
    ) {
        let before = self.quarantine.digest();
        let changes = take(&mut self.quarantine);
        if self.quarantine.digest() == before {
            return;
        }
        out.extend(changes.into_iter().map(|change| {
            Action::Log(Belief::Quarantine {
                request: change.request,
                standing: change.standing,
                cause: change.cause,
                incarnations: change.incarnations,
                from: from.into(),
            })
        }));
        let mut frame = self.blank();
        self.quarantine.write(now, &mut frame);
        for to in self.peers(FANOUT) {
            to.send(frame.clone(), out);
        }
    }

    fn paused(&mut self, now: Instant, out: &mut Vec<Action>) {
        self.membership.resumed(now);
        self.reader.resumed(now);
        for to in self.peers(FANOUT) {
            self.ask(now, &to, out);
        }
    }

    fn drain(&mut self, now: Instant, out: &mut Vec<Action>) {
        self.membership.leave(now);
        let rumours = vec![self.membership.own().as_rumour()];
        for to in self.peers(FAREWELLS) {
            let frame = self.blank();
            to.send(Frame { rumours: rumours.clone(), ..frame }, out);
        }
    }
}

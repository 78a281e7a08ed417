//! The control machine, which derives views from frames of peers, pages of the platform and time.

mod exchange;
mod records;

use std::sync::Arc;
use std::time::Duration;

use ladder_schema::publication::Record;
use ladder_schema::wire::{Frame, Liveness};

use super::deferral::Deferrals;
use super::exchanges::Exchanges;
use super::hash::{self, Random};
use super::membership::{Member, Membership, Standing};
use super::project::{Projection, Standings, ViewInputs};
use super::quarantine::{Cause, Change, Entry, Quarantine, Undecided, UndecidedCrashes};
use super::reader::{self, Reader, ReaderRank};
use super::refused_routes::RefusedRoutes;
use super::settings::{Listing, Settings};
use super::startup::{Knowledge, Startup};
use super::state_change::StateChange;
use super::store::{Key, Position, Refusal, Store};
use super::{Action, Event};
use crate::collections::Set;
use crate::fingerprint::Fingerprint;
use crate::time::{Instant, micros};
use crate::view::View;

/// Number of random peers that a change is sent to at once.
const BROADCAST_FANOUT: usize = 4;
/// Maximum number of members sent to a peer that has just started and requests them. About 8 KB.
const MAX_INTRODUCED_MEMBERS: usize = 128;
/// Number of random peers that receive gossip updates at each probe, besides the probed members.
const GOSSIP_FANOUT: usize = 2;
/// Number of peers that this instance notifies directly when it leaves.
const LEAVE_NOTICE_FANOUT: usize = 32;
/// Number of peers, and of seeds, that receive a digest at once while no peer has answered one.
const START_FANOUT: usize = 2;
/// Mean number of digests between two contacts of a seed that is no reachable member.
const DIGESTS_PER_SEED_CONTACT: u64 = 8;
/// First interval between digests to seeds that have not answered; the interval then doubles.
const START_DIGEST_INTERVAL: Duration = Duration::from_millis(100);
/// Longest wait of a starting instance for the platform before it sends peers the digest of its
/// empty store. The platform answers in milliseconds.
const FIRST_READ_WAIT: Duration = Duration::from_millis(200);
/// How long after its start an instance waits for a peer's answer before it may become ready, once
/// the platform has answered or failed.
const STARTUP_WAIT: Duration = Duration::from_secs(1);

/// How long a starting instance asks for a peer that is ready before it becomes ready without one:
/// after a loss of all instances there is none.
const READY_PEER_WAIT: Duration = Duration::from_millis(200);

/// Longest time that a change takes to spread to all instances. A difference between two instances
/// that lasts longer is a loss.
const PROPAGATION_TIME: Duration = Duration::from_millis(500);
/// Maximum number of differing buckets for which changes that are still spreading are taken as the
/// cause.
const DEFERRABLE_BUCKETS: usize = 8;

/// Control plane of one instance: its state of the fleet and of the published records.
///
/// # Start
///
/// An instance that starts without records reads the platform once and sends digests to seeds and
/// listed peers. It becomes ready when all of these conditions are met:
///
/// - it has a catalogue entry and an index, or the routes;
/// - its first read of the platform has been answered or has failed;
/// - the platform has sent a full listing, a peer has answered, no peer is known, or a second has
///   passed since the start; with gradual startup a full listing does not suffice;
/// - a peer that is ready has answered, no peer is known, or a fifth of a second has passed;
/// - its connection shares have stopped growing.
///
/// If no source answers, the instance never becomes ready, refuses callers with `REASON_NOT_READY`,
/// and keeps asking the platform and the seeds.
#[derive(Debug)]
pub struct Machine {
    settings: Settings,
    store: Store,
    membership: Membership,
    reader: Reader,
    projection: Projection,
    deferrals: Deferrals,
    quarantine: Quarantine,
    refused_routes: RefusedRoutes,
    exchanges: Exchanges,
    startup: Startup,
    random: Random,
    started_at: Instant,
    next_probe_at: Instant,
    next_digest_at: Instant,
    /// Number of the last probe sent.
    last_probe_number: u64,
    /// Numbers of the probes that were sent with a digest while no peer had answered one.
    unanswered_probes: Set<u64>,
    /// Whether the platform has sent a full listing, so that peers cannot have newer records.
    fully_listed: bool,
    /// Interval until the next digest while no peer has answered one.
    start_digest_interval: Duration,
    /// Whether a peer has answered a digest.
    peer_answered: bool,
    /// Until when this instance asks for a peer that is ready; `None` once one has answered or the
    /// time is over.
    ///
    /// Only a peer that was ready before knows which requests the fleet refuses, and an instance
    /// without that knowledge would pass them to servers again.
    seeks_ready_peer_until: Option<Instant>,
    /// Whether the store has changed since the last view.
    store_changed: bool,
    /// When the store last changed.
    store_changed_at: Instant,
    /// Since when every peer whose records were compared with the own ones had others; `None` if
    /// the last one had the same.
    differs_since: Option<Instant>,
    /// Rank of this instance in its zone's order of platform readers.
    reader_rank: ReaderRank,
    /// Latest known era of the platform's store; 0 if none is known.
    era: u64,
    /// Era and highest revision of the last full listing; `None` before the first one.
    last_listing: Option<Position>,
    /// When the view must be rebuilt even if no record or member changes.
    next_view_at: Option<Instant>,
}

impl Machine {
    /// Creates a machine with empty state; its first digest and platform read are due at once.
    pub fn new(settings: Settings, now: Instant) -> Self {
        // Instances that start together may have the same seed; the hash of the name makes their
        // random delays differ.
        let name_hash = hash::of(&[settings.name.as_bytes()]);
        let mut random = Random::new(settings.seed ^ name_hash);
        let random_start =
            |span, random: &mut Random| now + Duration::from_micros(random.below(micros(span)));
        Self {
            store: Store::default(),
            membership: Membership::new(&settings, now),
            reader: Reader::new(now, reader_timing(&settings), &mut random),
            projection: Projection::default(),
            deferrals: Deferrals::default(),
            quarantine: Quarantine::default(),
            refused_routes: RefusedRoutes::default(),
            exchanges: Exchanges::default(),
            startup: match settings.starts_gradually() {
                true => Startup::gradual(now, settings.timing.probe, settings.timing.grace),
                false => Startup::immediate(now),
            },
            started_at: now,
            next_probe_at: random_start(settings.timing.probe, &mut random),
            next_digest_at: now,
            last_probe_number: 0,
            unanswered_probes: Set::default(),
            fully_listed: false,
            start_digest_interval: START_DIGEST_INTERVAL,
            peer_answered: false,
            seeks_ready_peer_until: Some(now + READY_PEER_WAIT),
            store_changed: true,
            store_changed_at: now,
            differs_since: None,
            reader_rank: ReaderRank::LAST,
            next_view_at: None,
            era: 0,
            last_listing: None,
            random,
            settings,
        }
    }

    /// Processes an event and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Instant, event: Event, out: &mut Vec<Action>) {
        let first_new = out.len();
        self.dispatch(now, event, out);
        self.run_due_work(now, out);
        let platform_age_ms = self.reader.age_ms(now);
        let records_hash = self.store.contents_hash();
        for action in &mut out[first_new..] {
            if let Action::Send { frame, .. } = action {
                frame.platform_age_ms = platform_age_ms;
                frame.records_hash = if frame.digest.is_none() { records_hash } else { 0 };
            }
        }
    }

    fn dispatch(&mut self, now: Instant, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Frame(frame) => self.handle_frame(now, *frame, out),
            Event::Page(page) => self.handle_page(now, &page, out),
            Event::WatchFailed => self.read_failed(now, out),
            Event::WatchCut => self.watch_cut(now, out),
            Event::WatchExpired => self.read_anew(now),
            Event::LinkDown(name) => self.membership.link_down(now, &name),
            Event::ServerLeaving { server, incarnation } => {
                self.server_leaving(now, &server, incarnation, out);
            }
            Event::Crashed { incarnation, at, requests, trials } => {
                self.update_quarantine(now, "", out, |quarantine| {
                    quarantine.record_crash(now, incarnation, at, &requests, &trials)
                });
            }
            Event::Refuted(incarnation) => {
                self.update_quarantine(now, "", out, |quarantine| {
                    quarantine.record_refutation(now, &incarnation)
                });
            }
            Event::Cleared(request) => self.clear_request(now, request, Cause::Answer, out),
            Event::ClearedByErrors(request) => {
                self.clear_request(now, request, Cause::Errors, out);
            }
            Event::Released(request) => self.clear_request(now, request, Cause::Operator, out),
            Event::Asked(request) => self.quarantine.renew(now, request),
            Event::Seeds(seeds) => self.settings.seeds = seeds,
            Event::Paused(_) => self.handle_pause(now, out),
            Event::Drain => self.drain(now, out),
            Event::Tick => {}
        }
    }

    /// When the machine needs an [`Event::Tick`], unless another event arrives before.
    pub fn next_wake(&self) -> Instant {
        let mut wake = self.next_probe_at.min(self.next_digest_at);
        let reader_wake = self.reader.next_wake(self.current_reader_rank(), self.reader_timing());
        let other_wakes = [
            self.next_view_at,
            self.next_deferral(),
            self.quarantine.next_expiry(),
            self.startup.next_change(self.knowledge()),
            self.seeks_ready_peer_until,
            self.refused_routes.next_report(),
        ];
        for candidate in other_wakes.into_iter().chain([reader_wake]).flatten() {
            wake = wake.min(candidate);
        }
        wake
    }

    /// This instance as a member of the fleet.
    pub const fn own(&self) -> &Member {
        self.membership.own()
    }

    /// All other members, with their liveness, incarnation and the reason for that liveness.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.membership.members()
    }

    /// Whether the named instance may be given work, as seen by this instance.
    pub fn standing(&self, now: Instant, name: &str) -> Standing {
        self.membership.standing(now, name)
    }

    /// Records in force with their keys, tombstones included.
    pub fn records(&self) -> impl Iterator<Item = (&Key, &Arc<Record>)> {
        self.store.records()
    }

    /// Records that failed validation, with the reason.
    pub fn refused(&self) -> impl Iterator<Item = &Refusal> {
        self.store.refused()
    }

    /// The version of the routes that is refused, and since when versions have been.
    pub fn refused_routes(&self, now: Instant) -> Option<(&Refusal, Duration)> {
        self.store.refused_routes().zip(self.refused_routes.age(now))
    }

    /// Quarantine entries: the requests under which server processes crashed.
    pub fn quarantined(&self) -> impl Iterator<Item = (&Fingerprint, &Entry)> {
        self.quarantine.entries()
    }

    /// Requests that may have crashed enough servers to be quarantined, and are not.
    pub fn undecided(&self) -> Vec<Undecided> {
        self.quarantine.undecided()
    }

    /// The crashes of servers that are attributed to no request.
    pub fn undecided_crashes(&self, now: Instant) -> UndecidedCrashes {
        self.quarantine.undecided_crashes(now)
    }

    /// The last published view, with owner and candidates of each service.
    pub const fn view(&self) -> &Arc<View> {
        self.projection.view()
    }

    /// Whether this instance is one of the platform readers of its zone.
    pub const fn is_reader(&self) -> bool {
        self.reader_rank.is_reader()
    }

    /// Latest known era of the platform's store; 0 if none is known.
    pub const fn era(&self) -> u64 {
        self.era
    }

    /// When the next record that is held back takes effect.
    fn next_deferral(&self) -> Option<Instant> {
        self.deferrals.next(!self.reader.is_failing())
    }

    /// The next read of the platform requests all records, after a random delay that keeps the
    /// readers of the fleet from listing at the same moment.
    fn read_anew(&mut self, now: Instant) {
        let members = self.membership.members().map(|member| &*member.zone);
        let zones: Set<&str> = members.chain([&*self.membership.own().zone]).collect();
        let spread = reader::listing_spread(self.store.len(), zones.len());
        self.reader.expired(now, spread, &mut self.random);
    }

    fn own_reader_rank(&self) -> ReaderRank {
        let own = self.membership.own();
        let zone = &own.zone;
        let is_alive_in_zone =
            |member: &&Member| member.liveness == Liveness::Alive && member.zone == *zone;
        let others = self.membership.members().filter(is_alive_in_zone);
        match own.liveness {
            Liveness::Alive => reader::reader_rank(&own.name, others.map(|member| &*member.name)),
            _ => ReaderRank::LAST,
        }
    }

    /// Time since the platform's latest answer that this instance's records include; `None` if
    /// unknown.
    pub fn platform_age(&self, now: Instant) -> Option<Duration> {
        self.reader.platform_age(now)
    }

    /// Rank of this instance for its next read: an instance that waits for a newer record of the
    /// platform reads like the first reader of its zone.
    fn current_reader_rank(&self) -> ReaderRank {
        if self.deferrals.await_platform() { ReaderRank::FIRST } else { self.reader_rank }
    }

    const fn reader_timing(&self) -> reader::Timing {
        reader_timing(&self.settings)
    }

    /// Interval between two digests.
    ///
    /// Until some peer has answered, seeds are asked more often, and the interval doubles each time
    /// up to the regular one. After a power loss of the whole fleet, the first digest reaches no
    /// running seed. With the regular interval, an instance then knew no other instance for a
    /// second and opened connections to all servers alone.
    fn next_digest_interval(&mut self) -> Duration {
        let regular = self.settings.timing.digest;
        if self.peer_answered {
            return regular;
        }
        let interval = self.start_digest_interval.min(regular);
        self.start_digest_interval = interval * 2;
        interval
    }

    fn run_due_work(&mut self, now: Instant, out: &mut Vec<Action>) {
        self.seeks_ready_peer_until = self.seeks_ready_peer_until.filter(|until| now < *until);
        if now >= self.next_probe_at {
            self.next_probe_at = now + self.settings.timing.probe;
            self.membership.tick(now);
            self.probe_members(out);
            self.gossip(out);
        }
        if now >= self.next_digest_at {
            self.next_digest_at = now + self.next_digest_interval();
            self.compare_digests(now, out);
        }
        self.quarantine.expire(now);
        if self.refused_routes.take_report(now) {
            self.report_refused_routes(now, out);
        }
        if self.next_deferral().is_some_and(|due_at| now >= due_at) {
            let due_records = self.deferrals.due(now, !self.reader.is_failing());
            self.apply_and_broadcast(now, &due_records, out);
        }
        if self.membership.has_changed() {
            self.reader_rank = self.own_reader_rank();
        }
        let timing = self.reader_timing();
        let rank = self.current_reader_rank();
        if let Some(read) = self.reader.poll(now, rank, timing, &mut self.random) {
            out.push(Action::Watch(read));
        }
        self.refresh_view(now, out);
    }

    fn report_refused_routes(&self, now: Instant, out: &mut Vec<Action>) {
        if let Some(refusal) = self.store.refused_routes().cloned() {
            let repeated_after = self.refused_routes.age(now);
            out.push(Action::Refused { refusal, repeated_after });
        }
    }

    fn refresh_view(&mut self, now: Instant, out: &mut Vec<Action>) {
        let ready = self.projection.view().ready || self.can_become_ready(now);
        let became_ready = ready != self.projection.view().ready;
        let view_due = self.next_view_at.is_some_and(|at| now >= at);
        let members_changed = self.membership.take_changed();
        if members_changed {
            let others = self.membership.reachable().map(|member| &*member.name);
            self.quarantine.set_members(&self.membership.own().name, others);
        }
        let store_changed = std::mem::take(&mut self.store_changed);
        let quarantine_changed = *self.quarantine.view() != self.projection.view().quarantine;
        let count_trusted = self.update_startup(now, out);
        let unchanged = !(store_changed || members_changed || quarantine_changed);
        if unchanged && !(became_ready || view_due || count_trusted) {
            return;
        }
        let changes = self.store.take_changes();
        let standings = self.standings(now, members_changed || view_due);
        if members_changed {
            self.log_member_changes(&standings, out);
        }
        let inputs = ViewInputs {
            standings,
            quarantine: self.quarantine.view(),
            store: &self.store,
            membership: &self.membership,
            settings: &self.settings,
            startup: self.startup,
            now,
        };
        if let Some(view) = self.projection.refresh(&inputs, changes, ready) {
            out.push(Action::View(view));
        }
        let next_growth = self.projection.next_growth(&self.settings);
        let next_settled = self.membership.next_settled(now);
        let next_order_change = self.projection.next_order_change(&self.settings);
        self.next_view_at =
            [next_growth, next_order_change, next_settled].into_iter().flatten().min();
    }

    const fn knowledge(&self) -> Knowledge {
        Knowledge {
            peer_answered: self.peer_answered,
            last_new_member_at: self.membership.last_new_member_at(),
        }
    }

    /// Returns whether the count of instances is trusted from now on.
    fn update_startup(&mut self, now: Instant, out: &mut Vec<Action>) -> bool {
        let Some(age) = self.startup.update(now, self.knowledge()) else {
            return false;
        };
        let members = self.membership.size();
        out.push(Action::Log(StateChange::CountTrusted { age, members }));
        true
    }

    /// Logs the instances whose standing differs from the last view.
    fn log_member_changes(&self, current: &Standings, out: &mut Vec<Action>) {
        let before = self.projection.standings();
        let names = before.keys().chain(current.keys().filter(|name| !before.contains_key(*name)));
        let standing_in = |map: &Standings, name| map.get(name).copied().unwrap_or(Standing::Gone);
        let mut changed: Vec<_> = names
            .map(|name| (name, standing_in(before, name), standing_in(current, name)))
            .filter(|(_, before, now)| before != now)
            .collect();
        changed.sort_unstable();
        out.extend(changed.into_iter().map(|(name, before, now)| {
            Action::Log(StateChange::Member { name: Arc::clone(name), before, now })
        }));
    }

    /// Standing of each instance: whether work may be given to it. A standing changes with the
    /// members and with time; the view is due whenever time changes a standing.
    fn standings(&self, now: Instant, may_differ: bool) -> Arc<Standings> {
        match may_differ {
            true => Arc::new(self.membership.standings(now)),
            false => Arc::clone(self.projection.standings()),
        }
    }

    /// The current view, rebuilt in full from the records and from the state that depends on
    /// earlier events. Except for generation and keys, it equals [`Machine::view`], which is
    /// updated incrementally.
    pub fn rebuilt_view(&self, now: Instant) -> View {
        let store = self.store.rebuilt_store();
        let inputs = ViewInputs {
            standings: self.standings(now, true),
            quarantine: self.quarantine.view(),
            store: &store,
            membership: &self.membership,
            settings: &self.settings,
            startup: self.startup,
            now,
        };
        self.projection.build_whole(&inputs, self.view().ready)
    }

    fn can_become_ready(&self, now: Instant) -> bool {
        let has_index =
            self.store.entries().next().is_some() && self.store.indexes().next().is_some();
        let has_catalogue = has_index || self.store.routing().is_some();
        let knows_no_peer =
            self.settings.seeds.is_empty() && self.membership.members().next().is_none();
        let elapsed = now.since(self.started_at);
        // Without a peer's answer, the instance would begin sweeps as if it were alone.
        let listing_suffices = self.fully_listed && !self.settings.starts_gradually();
        let source_answered =
            listing_suffices || self.peer_answered || knows_no_peer || elapsed >= STARTUP_WAIT;
        let is_informed = knows_no_peer || self.seeks_ready_peer_until.is_none();
        has_catalogue
            && self.reader.tried()
            && source_answered
            && is_informed
            && self.are_shares_settled(elapsed)
    }

    /// Whether the connection shares have stopped growing. The wait for them is bounded, as the
    /// list of instances may keep changing.
    fn are_shares_settled(&self, elapsed: Duration) -> bool {
        if self.settings.listing == Listing::Observed {
            return true;
        }
        let deadline = STARTUP_WAIT + self.settings.timing.grace * 2;
        let shares_grow = || self.projection.next_growth(&self.settings).is_some();
        elapsed >= deadline || (!self.store_changed && !shares_grow())
    }

    fn clear_request(
        &mut self,
        now: Instant,
        request: Fingerprint,
        cause: Cause,
        out: &mut Vec<Action>,
    ) {
        self.update_quarantine(now, "", out, |quarantine| quarantine.clear(now, request, cause));
    }

    /// Applies reports about requests under which server processes crashed. Logs each change and
    /// sends what is new in the quarantine to some peers.
    ///
    /// The peers are random ones of all zones, because such a request may be retried anywhere
    /// within milliseconds.
    fn update_quarantine(
        &mut self,
        now: Instant,
        from: &str,
        out: &mut Vec<Action>,
        update: impl FnOnce(&mut Quarantine) -> Vec<Change>,
    ) {
        let before = self.quarantine.contents();
        let changes = update(&mut self.quarantine);
        let new_crashes = self.quarantine.take_new_crashes().into_iter();
        out.extend(new_crashes.map(|(incarnation, suspects)| {
            Action::Log(StateChange::ServerCrash { incarnation, suspects, from: from.into() })
        }));
        let undecided = self.quarantine.take_undecided().into_iter();
        out.extend(
            undecided.map(|undecided| {
                Action::Log(StateChange::Undecided { undecided, from: from.into() })
            }),
        );
        let news = self.quarantine.contents().since(&before);
        if news.is_empty() {
            return;
        }
        out.extend(changes.into_iter().map(|change| {
            Action::Log(StateChange::Quarantine {
                request: change.request,
                standing: change.standing,
                cause: change.cause,
                incarnations: change.incarnations,
                from: from.into(),
            })
        }));
        let mut frame = self.own_frame();
        self.quarantine.write_part_to_frame(now, &news, &mut frame);
        for peer in self.random_peers(BROADCAST_FANOUT) {
            peer.send(frame.clone(), out);
        }
    }

    fn handle_pause(&mut self, now: Instant, out: &mut Vec<Action>) {
        self.membership.restart_silence_periods(now);
        let timing = self.reader_timing();
        self.reader.resumed(now, timing, &mut self.random);
        for peer in self.random_peers(BROADCAST_FANOUT) {
            self.send_digest(now, &peer, out);
        }
    }

    fn drain(&mut self, now: Instant, out: &mut Vec<Action>) {
        self.membership.leave(now);
        let updates = vec![self.membership.own().to_gossip_update()];
        for peer in self.random_peers(LEAVE_NOTICE_FANOUT) {
            let frame = self.own_frame();
            peer.send(Frame { rumours: updates.clone(), ..frame }, out);
        }
    }
}

const fn reader_timing(settings: &Settings) -> reader::Timing {
    reader::Timing { contact: settings.timing.contact }
}

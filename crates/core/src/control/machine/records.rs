//! Applies published records that the platform and peers send, logs them and broadcasts those that
//! changed the store.

use std::sync::Arc;

use ladder_schema::outcome::Reason;
use ladder_schema::publication::{Kind, Page, Record, record::Body};
use ladder_schema::wire::Departure;

use super::Machine;
use crate::collections::Set;
use crate::control::Action;
use crate::control::broadcast::PendingChanges;
use crate::control::deferral::{self, HOLD_BACK_TIME};
use crate::control::state_change::{PlatformChange, StateChange};
use crate::control::store::{Key, Outcome, Position};
use crate::count::{self, Count};
use crate::time::Instant;

/// Where applied records came from, for the log.
#[derive(Clone, Copy, Debug)]
pub(super) struct Origin<'a> {
    /// Name of the peer that sent the records; empty for the platform.
    pub from: &'a str,
    /// Version of the routes that were in force before the records were applied; 0 if none were.
    pub routes_before: u64,
}

impl Machine {
    pub(super) fn handle_page(&mut self, now: Instant, page: &Page, out: &mut Vec<Action>) {
        if (1..self.era).contains(&page.era) {
            self.ignore_outdated(now, page.era, out);
            return;
        }
        self.learn_era(now, page.era, "", out);
        if self.reader.is_failing() {
            self.deferrals.platform_returned(now);
            let silence = self.reader.silence(now);
            out.push(platform_log(PlatformChange::Regained { revision: page.head, silence }));
        }
        // Changes after a position of an earlier era may have been written before the copy was made.
        let is_listing =
            page.whole || self.reader.is_listing() || !self.reader.continues_in(self.era);
        self.note_answer(now, page);
        let is_first_listing = page.whole && !self.fully_listed;
        self.fully_listed |= page.whole;
        let records = self.records_of_page(page, is_listing);
        let records = self.hold_back_doubted(now, records, out);
        let changed = if is_first_listing {
            self.apply_first_listing(now, &records, out)
        } else {
            self.apply_and_broadcast(now, &records, out)
        };
        if page.whole {
            self.last_listing = Some(Position { era: self.era, revision: page.head });
            out.push(platform_log(PlatformChange::Listed {
                era: self.era,
                revision: page.head,
                count: page.records.len(),
                changed,
                waiting: self.deferrals.len(),
            }));
        }
    }

    /// Handles a read that failed.
    pub(super) fn read_failed(&mut self, now: Instant, out: &mut Vec<Action>) {
        let timing = self.reader_timing();
        let failure = self.reader.failed(now, timing, &mut self.random);
        let revision = self.store.revision();
        out.push(platform_log(PlatformChange::Lost { revision, failure }));
    }

    /// Handles a read whose connection ended.
    pub(super) fn watch_cut(&mut self, now: Instant, out: &mut Vec<Action>) {
        let timing = self.reader_timing();
        if !self.reader.cut(now, timing, &mut self.random) {
            self.read_failed(now, out);
        }
    }

    /// Moves the reader's position on. If the answer continues a position of an earlier era, all
    /// records are read anew.
    fn note_answer(&mut self, now: Instant, page: &Page) {
        if !page.whole && !self.reader.continues_in(self.era) {
            self.read_anew(now);
            return;
        }
        self.reader.enter_era(self.era);
        if page.whole || page.current {
            self.reader.caught_up(now, page.head);
        } else {
            let last = page.records.iter().map(|record| record.revision).max();
            self.reader.answered(now, last, page.head);
        }
    }

    /// Ignores an answer of an earlier era of the platform's store, which was delayed.
    fn ignore_outdated(&mut self, now: Instant, era: u64, out: &mut Vec<Action>) {
        let timing = self.reader_timing();
        let failure = self.reader.failed(now, timing, &mut self.random);
        out.push(count_drop(Reason::StaleEra));
        out.push(platform_log(PlatformChange::Outdated { era, known: self.era, failure }));
    }

    /// Learns an era of the platform's store from a peer, or from the platform if `from` is empty.
    pub(super) fn learn_era(&mut self, now: Instant, era: u64, from: &str, out: &mut Vec<Action>) {
        self.store.learn_era(era);
        if era <= self.era {
            return;
        }
        let before = std::mem::replace(&mut self.era, era);
        if before == 0 {
            return;
        }
        self.deferrals.platform_returned(now);
        let revision = self.store.revision();
        let from = from.into();
        out.push(platform_log(PlatformChange::EraChanged { before, now: era, revision, from }));
    }

    /// Records of a page, with tombstones for those that a full listing does not contain.
    fn records_of_page(&self, page: &Page, listed: bool) -> Vec<Record> {
        let era = self.era;
        let records = page.records.iter();
        let records = records.map(|record| Record { era, listed, ..record.clone() });
        records.chain(self.tombstones_of_unlisted(page)).collect()
    }

    /// Applies the platform's first full listing without broadcasting its records, because a
    /// running fleet already has them. The digest exchange that follows at once finds those that it
    /// lacks.
    ///
    /// Returns the number of records that came into force.
    fn apply_first_listing(
        &mut self,
        now: Instant,
        records: &[Record],
        out: &mut Vec<Action>,
    ) -> usize {
        let routes_before = self.route_version();
        let changes = self.apply(now, records, "", out);
        self.log_records(now, &changes, Origin { from: "", routes_before }, out);
        self.next_digest_at = now;
        changes.records.len()
    }

    /// Applies records of the platform, then logs and broadcasts those that changed the store.
    /// Returns their number.
    pub(super) fn apply_and_broadcast(
        &mut self,
        now: Instant,
        records: &[Record],
        out: &mut Vec<Action>,
    ) -> usize {
        let routes_before = self.route_version();
        let changes = self.apply(now, records, "", out);
        self.log_records(now, &changes, Origin { from: "", routes_before }, out);
        self.broadcast(now, &changes, "", out);
        changes.records.len()
    }

    /// Version of the routes in force; 0 if there are none.
    pub(super) fn route_version(&self) -> u64 {
        self.store.routing().map_or(0, |routing| routing.version)
    }

    /// Logs the records that came into force, and the peer that sent them, if any.
    pub(super) fn log_records(
        &self,
        now: Instant,
        changes: &PendingChanges,
        origin: Origin<'_>,
        out: &mut Vec<Action>,
    ) {
        let Some(newest) = changes.records.iter().map(|record| record.revision).max() else {
            return;
        };
        let withdrawn = changes.records.iter().filter(|record| is_tombstone(record)).count();
        out.push(Action::Log(StateChange::Records {
            from: origin.from.into(),
            revision: newest,
            count: changes.records.len(),
            withdrawn,
        }));
        let mut before = origin.routes_before;
        for record in &changes.records {
            if let Some(Body::Routing(routing)) = &record.body {
                out.push(Action::Log(StateChange::Routes {
                    version: routing.version,
                    before,
                    revision: record.revision,
                    from: origin.from.into(),
                    platform_age: self.reader.platform_age(now),
                }));
                before = routing.version;
            }
            out.extend(self.evacuation_log_entry(record).map(Action::Log));
        }
    }

    /// The log entry of a record that starts or ends an evacuation.
    fn evacuation_log_entry(&self, record: &Record) -> Option<StateChange> {
        let revision = record.revision;
        let (zone, evacuated) = match &record.body {
            Some(Body::Evacuation(evacuation)) => (&evacuation.zone, true),
            Some(Body::Tombstone(gone)) if gone.kind() == Kind::Evacuation => (&gone.name, false),
            _ => return None,
        };
        let servers = self.store.servers_in(zone);
        Some(StateChange::Evacuation { zone: zone.as_str().into(), evacuated, revision, servers })
    }

    /// Availability zones under evacuation: name, revision of the order, number of published
    /// servers in the zone.
    pub fn evacuations(&self) -> impl Iterator<Item = (&str, u64, usize)> {
        let evacuations = self.store.evacuations();
        evacuations.map(|(zone, revision)| (zone, revision, self.store.servers_in(zone)))
    }

    /// Tombstones for the records in force that a full listing of the platform does not contain.
    /// Routes of an earlier era stay in force, because the operator writes them again.
    fn tombstones_of_unlisted(&self, page: &Page) -> Vec<Record> {
        if !page.whole {
            return Vec::new();
        }
        let listing = Position { era: self.era, revision: page.head };
        let listed: Set<Key> = page.records.iter().map(Key::of).collect();
        let is_unlisted = |(key, record): &(&Key, &Arc<Record>)| {
            let position = self.store.position_in_force(key).unwrap_or_default();
            let kind = match key.kind {
                Kind::Server | Kind::Evacuation => true,
                Kind::Routing => position.era == listing.era,
                _ => false,
            };
            kind && !is_tombstone(record) && position <= listing && !listed.contains(*key)
        };
        let unlisted = self.store.records().filter(is_unlisted);
        unlisted.map(|(key, _)| deferral::tombstone(key, listing)).collect()
    }

    /// Holds back doubtful withdrawals of live servers and of evacuations, and returns the other
    /// records.
    fn hold_back_doubted(
        &mut self,
        now: Instant,
        records: Vec<Record>,
        out: &mut Vec<Action>,
    ) -> Vec<Record> {
        let live =
            self.store.servers().filter(|server| !self.store.is_marked_leaving(server)).count();
        let withdraws_live = |record: &Record| {
            let key = Key::of(record);
            is_tombstone(record) && (self.is_live(&key) || self.ends_lost_evacuation(&key, record))
        };
        let count = records.iter().filter(|record| withdraws_live(record)).count();
        if count == 0 || !self.deferrals.is_doubtful(now, count, live) {
            return records;
        }
        out.push(Action::Log(StateChange::WithdrawalsDeferred { count, live }));
        let (doubted, accepted): (Vec<_>, Vec<_>) = records.into_iter().partition(withdraws_live);
        for tombstone in doubted {
            let (key, position) = (Key::of(&tombstone), self.store.position(&tombstone));
            self.deferrals.hold_back(now + HOLD_BACK_TIME, key, position, tombstone, true);
        }
        accepted
    }

    /// Whether a listing lacks an evacuation that was ordered in an earlier era.
    fn ends_lost_evacuation(&self, key: &Key, tombstone: &Record) -> bool {
        let in_force = self.store.position_in_force(key).unwrap_or_default();
        key.kind == Kind::Evacuation && tombstone.listed && in_force.era < tombstone.era
    }

    /// Whether the key belongs to a published server that no source has reported as leaving.
    fn is_live(&self, key: &Key) -> bool {
        let server = self.store.server(&key.name);
        key.kind == Kind::Server
            && server.is_some_and(|server| !self.store.is_marked_leaving(server))
    }

    /// Applies records of a peer, or of the platform if `from` is empty, and returns those that
    /// changed the store.
    pub(super) fn apply(
        &mut self,
        now: Instant,
        records: &[Record],
        from: &str,
        out: &mut Vec<Action>,
    ) -> PendingChanges {
        let mut dropped = Vec::new();
        let mut changes = PendingChanges::default();
        let mut instances_changed = false;
        let latest_era = records.iter().map(|record| record.era).max().unwrap_or(0);
        self.learn_era(now, latest_era, from, out);
        for record in records {
            let key = Key::of(record);
            self.deferrals.drop_superseded(&key, self.store.position(record));
            if self.hold_back_older(now, &key, record, from) {
                continue;
            }
            if self.is_lost(now, &key, record) {
                out.push(count_drop(Reason::StaleRevision));
                dropped.push(record);
                continue;
            }
            match self.store.apply(record) {
                Outcome::Applied => {
                    instances_changed |= key.kind == Kind::Instance;
                    changes.records.push(record.clone());
                }
                // A record that was written again. Instances that expect it must learn of it.
                Outcome::Confirmed if !record.listed => changes.records.push(record.clone()),
                Outcome::Known | Outcome::Confirmed => {}
                Outcome::Stale => {
                    out.push(count_drop(Reason::StaleRevision));
                    dropped.push(record);
                }
                Outcome::Reused => {
                    out.push(count_drop(Reason::ReusedRevision));
                    dropped.push(record);
                }
                Outcome::Refused(refusal) => {
                    out.push(count_drop(Reason::BadRecord));
                    out.push(Action::Refused { refusal, repeated_after: None });
                }
            }
        }
        self.log_dropped(&dropped, from, out);
        self.refused_routes.update(now, self.store.refused_routes().is_some());
        if !changes.records.is_empty() {
            self.store_changed = true;
            self.store_changed_at = now;
        }
        if instances_changed {
            self.membership.publish(now, self.store.instances());
        }
        changes
    }

    /// Holds back a listed record of a later era that may be older than the one in force. Returns
    /// whether it is held back.
    fn hold_back_older(&mut self, now: Instant, key: &Key, record: &Record, from: &str) -> bool {
        let position = self.store.position(record);
        let known = self.store.get(key).zip(self.store.position_in_force(key));
        let known = known.filter(|(_, known)| {
            record.listed && known.era < position.era && known.revision > position.revision
        });
        let wait = known.and_then(|(in_force, _)| deferral::listed_wait(record, in_force));
        if let Some(wait) = wait {
            let read_here = from.is_empty();
            let record = record.clone();
            self.deferrals.hold_back(now + wait, key.clone(), position, record, read_here);
        }
        wait.is_some()
    }

    /// Whether a peer's record of an earlier era is missing in the last full listing and was lost
    /// with the store. Unless it is written again, a tombstone for it follows, so that the peer
    /// withdraws it too.
    fn is_lost(&mut self, now: Instant, key: &Key, record: &Record) -> bool {
        let era = self.store.position(record).era;
        let is_withdrawable = matches!(key.kind, Kind::Server | Kind::Evacuation);
        let listing = self.last_listing.filter(|listing| era < listing.era);
        let Some(listing) = listing.filter(|_| is_withdrawable && !is_tombstone(record)) else {
            return false;
        };
        if self.store.get(key).is_some() {
            return false;
        }
        let tombstone = deferral::tombstone(key, listing);
        self.deferrals.hold_back(now + HOLD_BACK_TIME, key.clone(), listing, tombstone, false);
        true
    }

    fn log_dropped(&self, dropped: &[&Record], from: &str, out: &mut Vec<Action>) {
        let Some(first) = dropped.first() else {
            return;
        };
        let key = Key::of(first);
        let in_force = self.store.get(&key).map_or(0, |record| record.revision);
        out.push(Action::Log(StateChange::RecordsDropped {
            from: from.into(),
            count: dropped.len(),
            key,
            revision: first.revision,
            in_force,
        }));
    }

    pub(super) fn server_leaving(
        &mut self,
        now: Instant,
        name: &str,
        incarnation: u64,
        out: &mut Vec<Action>,
    ) {
        let departure = Departure { server: name.to_owned(), incarnation };
        let changes = self.apply_departures(vec![departure]);
        self.broadcast(now, &changes, "", out);
    }

    pub(super) fn apply_departures(&mut self, departures: Vec<Departure>) -> PendingChanges {
        let mut changes = PendingChanges::default();
        for departure in departures {
            if self.store.mark_leaving(&departure.server, departure.incarnation) {
                changes.departures.push(departure);
            }
        }
        self.store_changed |= !changes.departures.is_empty();
        changes
    }
}

pub(super) const fn platform_log(change: PlatformChange) -> Action {
    Action::Log(StateChange::Platform(change))
}

fn is_tombstone(record: &Record) -> bool {
    matches!(record.body, Some(Body::Tombstone(_)))
}

pub(super) const fn count_drop(reason: Reason) -> Action {
    Action::Count(Count { event: count::Event::Drop, reason })
}

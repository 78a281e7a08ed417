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
use crate::control::state_change::StateChange;
use crate::control::store::{Key, Outcome};
use crate::control::withdrawal;
use crate::count::{self, Count};
use crate::time::Instant;

impl Machine {
    pub(super) fn handle_page(&mut self, now: Instant, page: &Page, out: &mut Vec<Action>) {
        if self.reader.is_failing() {
            self.withdrawals.platform_returned(now);
            let silence = self.reader.silence(now);
            out.push(Action::Log(StateChange::PlatformRegained { revision: page.head, silence }));
        }
        self.note_era(page, out);
        if page.whole || page.current {
            self.reader.caught_up(now, page.head);
        } else {
            let last = page.records.iter().map(|record| record.revision).max();
            self.reader.answered(now, last, page.head);
        }
        let is_first_listing = page.whole && !self.fully_listed;
        self.fully_listed |= page.whole;
        let mut records = page.records.clone();
        records.extend(self.tombstones_of_unlisted(page));
        let records = self.hold_back_doubted(now, records, out);
        if is_first_listing {
            self.apply_first_listing(now, &records, out);
        } else {
            self.apply_and_broadcast(now, &records, out);
        }
    }

    /// Logs a full listing, and an era of the platform's store that differs from the last one.
    fn note_era(&mut self, page: &Page, out: &mut Vec<Action>) {
        let (era, revision) = (page.era, page.head);
        if era != self.era {
            let (before, in_force) = (self.era, self.store.revision());
            self.era = era;
            out.push(Action::Log(StateChange::EraChanged { before, now: era, in_force, revision }));
        }
        if page.whole {
            let count = page.records.len();
            out.push(Action::Log(StateChange::Listed { era, revision, count }));
        }
    }

    /// Applies the platform's first full listing without broadcasting its records, because a
    /// running fleet already has them. The digest exchange that follows at once finds those that it
    /// lacks.
    fn apply_first_listing(&mut self, now: Instant, records: &[Record], out: &mut Vec<Action>) {
        let changes = self.apply(now, records, "", out);
        self.log_records(&changes, "", out);
        self.next_digest_at = now;
    }

    /// Applies records of the platform, then logs and broadcasts those that changed the store.
    pub(super) fn apply_and_broadcast(
        &mut self,
        now: Instant,
        records: &[Record],
        out: &mut Vec<Action>,
    ) {
        let changes = self.apply(now, records, "", out);
        self.log_records(&changes, "", out);
        self.broadcast(now, &changes, "", out);
    }

    /// Logs the records that came into force, and the peer that sent them, if any.
    pub(super) fn log_records(&self, changes: &PendingChanges, from: &str, out: &mut Vec<Action>) {
        let Some(newest) = changes.records.iter().map(|record| record.revision).max() else {
            return;
        };
        let withdrawn = changes.records.iter().filter(|record| is_tombstone(record)).count();
        out.push(Action::Log(StateChange::Records {
            from: from.into(),
            revision: newest,
            count: changes.records.len(),
            withdrawn,
        }));
        for record in &changes.records {
            out.extend(self.record_log_entry(record).map(Action::Log));
        }
    }

    /// The separate log entry of a record, for routes, evacuations and the end of an evacuation.
    fn record_log_entry(&self, record: &Record) -> Option<StateChange> {
        let revision = record.revision;
        let (zone, evacuated) = match &record.body {
            Some(Body::Routing(routing)) => {
                return Some(StateChange::Routes { version: routing.version, revision });
            }
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
    fn tombstones_of_unlisted(&self, page: &Page) -> Vec<Record> {
        if !page.whole {
            return Vec::new();
        }
        let listed: Set<Key> = page.records.iter().map(Key::of).collect();
        let is_unlisted = |(key, record): &(&Key, &Arc<Record>)| {
            let kind = matches!(key.kind, Kind::Server | Kind::Routing | Kind::Evacuation);
            kind && !is_tombstone(record) && record.revision <= page.head && !listed.contains(*key)
        };
        let unlisted = self.store.records().filter(is_unlisted);
        unlisted.map(|(key, _)| withdrawal::tombstone(key, page.head)).collect()
    }

    /// Holds back doubtful withdrawals of live servers and returns the other records.
    fn hold_back_doubted(
        &mut self,
        now: Instant,
        records: Vec<Record>,
        out: &mut Vec<Action>,
    ) -> Vec<Record> {
        let live =
            self.store.servers().filter(|server| !self.store.is_marked_leaving(server)).count();
        let withdraws_live =
            |record: &Record| is_tombstone(record) && self.is_live(&Key::of(record));
        let count = records.iter().filter(|record| withdraws_live(record)).count();
        if count == 0 || !self.withdrawals.is_doubtful(now, count, live) {
            return records;
        }
        out.push(Action::Log(StateChange::WithdrawalsDeferred { count, live }));
        let (doubted, accepted): (Vec<_>, Vec<_>) = records.into_iter().partition(withdraws_live);
        for tombstone in doubted {
            self.withdrawals.hold_back(now, Key::of(&tombstone), tombstone);
        }
        accepted
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
        for record in records {
            self.withdrawals.drop_superseded(&Key::of(record), record.revision);
            match self.store.apply(record) {
                Outcome::Applied => {
                    instances_changed |= Key::of(record).kind == Kind::Instance;
                    changes.records.push(record.clone());
                }
                Outcome::Known => {}
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
                    out.push(Action::Refused {
                        record: refusal.key.to_string(),
                        revision: refusal.revision,
                        detail: refusal.detail,
                    });
                }
            }
        }
        self.log_dropped(&dropped, from, out);
        if !changes.records.is_empty() {
            self.store_changed = true;
            self.store_changed_at = now;
        }
        if instances_changed {
            self.membership.publish(now, self.store.instances());
        }
        changes
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

fn is_tombstone(record: &Record) -> bool {
    matches!(record.body, Some(Body::Tombstone(_)))
}

const fn count_drop(reason: Reason) -> Action {
    Action::Count(Count { event: count::Event::Drop, reason })
}

//! Published records: what the platform and peers say comes into force, is logged and passed on.

use std::sync::Arc;

use ladder_schema::outcome::Reason;
use ladder_schema::publication::{Kind, Page, Record, record::Body};
use ladder_schema::wire::Departure;

use super::Machine;
use crate::collections::Set;
use crate::control::Action;
use crate::control::belief::Belief;
use crate::control::spread::News;
use crate::control::store::{Key, Outcome};
use crate::control::withdrawal;
use crate::count::{self, Count};
use crate::time::Instant;

impl Machine {
    pub(super) fn page(&mut self, now: Instant, page: &Page, out: &mut Vec<Action>) {
        if self.reader.is_failing() {
            self.withdrawals.regained(now);
            let silence = self.reader.silence(now);
            out.push(Action::Log(Belief::PlatformRegained { revision: page.head, silence }));
        }
        if page.whole || page.current {
            self.reader.caught_up(now, page.head);
        } else {
            let last = page.records.iter().map(|record| record.revision).max();
            self.reader.answered(now, last, page.head);
        }
        let first = page.whole && !self.listed;
        self.listed |= page.whole;
        let mut records = page.records.clone();
        records.extend(self.left_out(page));
        let records = self.believed(now, records, out);
        if first {
            self.adopt_first(now, &records, out);
        } else {
            self.adopt(now, &records, out);
        }
    }

    /// Takes in the first listing, which is no news to a fleet that runs: the digests that follow at
    /// once find out if some of it is.
    fn adopt_first(&mut self, now: Instant, records: &[Record], out: &mut Vec<Action>) {
        let news = self.apply(now, records, out);
        self.note(&news, "", out);
        self.next_digest = now;
    }

    /// Takes in what the platform says, logs what is news and passes it on.
    pub(super) fn adopt(&mut self, now: Instant, records: &[Record], out: &mut Vec<Action>) {
        let news = self.apply(now, records, out);
        self.note(&news, "", out);
        self.tell(now, &news, "", out);
    }

    /// Logs what came into force.
    pub(super) fn note(&self, news: &News, from: &str, out: &mut Vec<Action>) {
        let Some(newest) = news.records.iter().map(|record| record.revision).max() else {
            return;
        };
        let withdrawn = news.records.iter().filter(|record| is_tombstone(record)).count();
        out.push(Action::Log(Belief::Records {
            from: from.into(),
            revision: newest,
            count: news.records.len(),
            withdrawn,
        }));
        for record in &news.records {
            out.extend(self.noted(record).map(Action::Log));
        }
    }

    /// What is logged of a record apart from the others.
    fn noted(&self, record: &Record) -> Option<Belief> {
        let revision = record.revision;
        let (zone, evacuated) = match &record.body {
            Some(Body::Routing(routing)) => {
                return Some(Belief::Routes { version: routing.version, revision });
            }
            Some(Body::Evacuation(evacuation)) => (&evacuation.zone, true),
            Some(Body::Tombstone(gone)) if gone.kind() == Kind::Evacuation => (&gone.name, false),
            _ => return None,
        };
        let servers = self.store.servers_in(zone);
        Some(Belief::Evacuation { zone: zone.as_str().into(), evacuated, revision, servers })
    }

    /// Availability zones that are evacuated: name, revision of the order, servers known there.
    pub fn evacuations(&self) -> impl Iterator<Item = (&str, u64, usize)> {
        let evacuations = self.store.evacuations();
        evacuations.map(|(zone, revision)| (zone, revision, self.store.servers_in(zone)))
    }

    /// Tombstones of what a page that holds all that is published does not hold.
    fn left_out(&self, page: &Page) -> Vec<Record> {
        if !page.whole {
            return Vec::new();
        }
        let listed: Set<Key> = page.records.iter().map(Key::of).collect();
        let gone = |(key, record): &(&Key, &Arc<Record>)| {
            let kind = matches!(key.kind, Kind::Server | Kind::Routing | Kind::Evacuation);
            kind && !is_tombstone(record) && record.revision <= page.head && !listed.contains(*key)
        };
        let gone = self.store.records().filter(gone);
        gone.map(|(key, _)| withdrawal::tombstone(key, page.head)).collect()
    }

    /// Takes out the withdrawals of live servers that are doubted; they wait.
    fn believed(
        &mut self,
        now: Instant,
        records: Vec<Record>,
        out: &mut Vec<Action>,
    ) -> Vec<Record> {
        let live = self.store.servers().filter(|server| !self.store.departed(server)).count();
        let concerns = |record: &Record| is_tombstone(record) && self.is_live(&Key::of(record));
        let count = records.iter().filter(|record| concerns(record)).count();
        if count == 0 || !self.withdrawals.doubts(now, count, live) {
            return records;
        }
        out.push(Action::Log(Belief::Doubted { count, live }));
        let (doubted, believed): (Vec<_>, Vec<_>) = records.into_iter().partition(concerns);
        for tombstone in doubted {
            self.withdrawals.wait(now, Key::of(&tombstone), tombstone);
        }
        believed
    }

    /// Whether the key is that of a server in force that nobody has said to leave.
    fn is_live(&self, key: &Key) -> bool {
        let server = self.store.server(&key.name);
        key.kind == Kind::Server && server.is_some_and(|server| !self.store.departed(server))
    }

    /// Applies records and returns those that were news.
    pub(super) fn apply(
        &mut self,
        now: Instant,
        records: &[Record],
        out: &mut Vec<Action>,
    ) -> News {
        let mut news = News::default();
        let mut instances_changed = false;
        for record in records {
            self.withdrawals.overtaken(&Key::of(record), record.revision);
            match self.store.apply(record) {
                Outcome::Applied => {
                    instances_changed |= Key::of(record).kind == Kind::Instance;
                    news.records.push(record.clone());
                }
                Outcome::Known => {}
                Outcome::Stale => out.push(drop_count(Reason::StaleRevision)),
                Outcome::Refused(refusal) => {
                    out.push(drop_count(Reason::BadRecord));
                    out.push(Action::Refused {
                        record: refusal.key.to_string(),
                        revision: refusal.revision,
                        detail: refusal.detail,
                    });
                }
            }
        }
        if !news.records.is_empty() {
            self.store_changed = true;
            self.store_changed_at = now;
        }
        if instances_changed {
            self.membership.publish(now, self.store.instances());
        }
        news
    }

    pub(super) fn server_leaving(
        &mut self,
        now: Instant,
        name: &str,
        at: u64,
        out: &mut Vec<Action>,
    ) {
        let departure = Departure { server: name.to_owned(), incarnation: at };
        let news = self.depart(vec![departure]);
        self.tell(now, &news, "", out);
    }

    pub(super) fn depart(&mut self, seen: Vec<Departure>) -> News {
        let mut news = News::default();
        for departure in seen {
            if self.store.depart(&departure.server, departure.incarnation) {
                news.departures.push(departure);
            }
        }
        self.store_changed |= !news.departures.is_empty();
        news
    }
}

fn is_tombstone(record: &Record) -> bool {
    matches!(record.body, Some(Body::Tombstone(_)))
}

const fn drop_count(reason: Reason) -> Action {
    Action::Count(Count { event: count::Event::Drop, reason })
}

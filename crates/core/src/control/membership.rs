//! Who is in the fleet and alive, as this instance sees it.
//!
//! Members come from the published list and from what instances tell each other. An instance
//! probes only its [`NEIGHBOURS`] successors on a ring, so the cost does not grow with the fleet;
//! what it finds travels as rumours on frames that are sent anyway.

mod hearsay;
mod member;
mod queue;
mod suspicion;
mod watch;

use std::collections::BTreeMap;
use std::sync::Arc;

use ladder_schema::publication::{Instance, State};
use ladder_schema::wire::{Frame, Liveness, Rumour};

pub use member::{Member, Why};

use super::hash;
use super::settings::{Settings, Timing};
use crate::collections::Map;
use crate::time::Instant;

/// Ring successors that an instance probes.
pub const NEIGHBOURS: usize = 3;
/// Those of them that may stand in any zone. With a single one a lost zone is found out a member after the
/// other, as the next one on the ring is often lost with it.
const ANYWHERE: usize = 2;
/// How long a dead or leaving member that is not published is remembered, in dead periods, so that
/// rumours still on their way do not bring it back.
const FORGET: u32 = 20;

/// Whether work may be given to an instance; the greatest of a service's candidates is preferred.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Standing {
    /// Dead, leaving or unknown.
    Gone,
    /// Suspected. When no candidate of a service is better, the suspicion is more likely wrong
    /// than not, and a suspect asked in vain costs no more than no owner at all.
    Suspect,
    /// Alive, but of a generation so new that it may not have its shares yet.
    Fresh,
    /// Alive.
    Settled,
}

/// What a frame says about its sender.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Life {
    /// Nothing new.
    Known,
    /// A member or generation that was not known.
    Joined,
    /// It was suspected or held dead: tell it, so that it refutes.
    Doubted(Rumour),
    /// From an earlier life of a member, or from a later one whose host's clock was set back: this
    /// is what the sender must hear of itself.
    Outlived(Rumour),
    /// Not from a member: this instance itself, or nobody that could be answered.
    Ignored,
}

/// Who is in the fleet and alive.
#[derive(Clone, Debug)]
pub struct Membership {
    /// This instance.
    own: Member,
    /// Invariant: does not hold this instance.
    members: BTreeMap<Arc<str>, Member>,
    rumours: queue::Queue,
    watch: watch::Watch,
    timing: Timing,
    /// Something that a view depends on changed since it was last asked.
    changed: bool,
    /// A member came, went, died or returned since the ring was computed.
    ring_stale: bool,
    /// Other members of this instance's zone that may be sent to, when the ring was computed.
    near: usize,
}

impl Membership {
    /// Knows only this instance.
    pub fn new(settings: &Settings, now: Instant) -> Self {
        let mut own = Member::new(&settings.name, now, Why::Own);
        own.address = Arc::clone(&settings.address);
        own.zone = Arc::clone(&settings.zone);
        own.millicores = settings.millicores;
        own.generation = settings.incarnation;
        let mut rumours = queue::Queue::default();
        rumours.push(&own.name);
        Self {
            own,
            members: BTreeMap::new(),
            rumours,
            watch: watch::Watch::new(now),
            timing: settings.timing,
            changed: true,
            ring_stale: true,
            near: 0,
        }
    }

    /// This instance as a member.
    pub const fn own(&self) -> &Member {
        &self.own
    }

    /// All other members in order of name.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// The member of this name, which may be this instance.
    pub fn get(&self, name: &str) -> Option<&Member> {
        if *self.own.name == *name {
            return Some(&self.own);
        }
        self.members.get(name)
    }

    /// Instances that are in the fleet or were of late, this one included. The dead count until they
    /// are forgotten: most of them come back, and those that a partition hides still hold what they
    /// hold.
    pub fn size(&self) -> usize {
        self.members.len() + 1
    }

    /// Other members that may be sent to: neither dead nor leaving.
    pub fn reachable(&self) -> impl Iterator<Item = &Member> {
        self.members.values().filter(|member| member.is_reachable())
    }

    /// Published members held dead. They are asked now and then, as after a partition each side
    /// holds the other dead and neither would ever speak first.
    pub fn lost(&self) -> impl Iterator<Item = &Member> {
        let lost = |member: &&Member| member.liveness == Liveness::Dead;
        self.members.values().filter(lost).filter(|member| member.published.is_some())
    }

    /// Whether something that a view depends on changed since [`Membership::take_changed`].
    pub const fn has_changed(&self) -> bool {
        self.changed
    }

    /// Whether something that a view depends on changed since the last call.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// Takes over the published list.
    pub fn publish<'a>(&mut self, now: Instant, list: impl Iterator<Item = &'a Instance>) {
        for member in self.members.values_mut() {
            member.published = None;
        }
        self.own.published = None;
        for instance in list {
            self.publish_one(now, instance);
        }
        self.note_change();
    }

    fn publish_one(&mut self, now: Instant, instance: &Instance) {
        let state = instance.state();
        if instance.name == *self.own.name {
            self.own.published = Some(state);
            return;
        }
        let name: Arc<str> = instance.name.as_str().into();
        let listed = || Member::new(&name, now, Why::Published);
        let member = self.members.entry(Arc::clone(&name)).or_insert_with(listed);
        member.published = Some(state);
        if member.generation == 0 || member.address.is_empty() {
            member.address = instance.peer_address.as_str().into();
        }
        member.zone = instance.zone.as_str().into();
    }

    fn note_change(&mut self) {
        self.changed = true;
        self.ring_stale = true;
    }

    /// Takes in that a frame came; any frame is a sign of life.
    pub fn heard(&mut self, now: Instant, frame: &Frame) -> Life {
        if frame.from.is_empty() || frame.from == *self.own.name || frame.address.is_empty() {
            return Life::Ignored;
        }
        self.watch.answered();
        let known = self.members.get_mut(frame.from.as_str());
        let Some(member) = known.filter(|member| frame.generation <= member.generation) else {
            self.join(now, frame);
            return Life::Joined;
        };
        if frame.generation < member.generation {
            return Life::Outlived(member.as_rumour());
        }
        member.heard = Some(now);
        self.returned(now, &frame.from)
    }

    fn join(&mut self, now: Instant, frame: &Frame) {
        let name: Arc<str> = frame.from.as_str().into();
        let old = self.members.get(&name);
        let mut member = Member::new(&name, now, Why::Heard);
        member.address = frame.address.as_str().into();
        member.zone = frame.zone.as_str().into();
        member.millicores = frame.millicores;
        member.generation = frame.generation;
        member.heard = Some(now);
        member.published = old.and_then(|old| old.published);
        if let Some(old) = old.filter(|old| old.generation == 0) {
            member.joined = old.joined;
        }
        let is_news = old.is_none_or(|old| old.generation > 0 || !old.is_reachable());
        if is_news {
            self.rumours.push(&name);
        }
        self.members.insert(name, member);
        self.note_change();
    }

    /// A suspect that speaks is alive. A member held dead must also refute: its frame may have
    /// been sent before it died, and by then nobody would be left to notice the death again.
    fn returned(&mut self, now: Instant, name: &str) -> Life {
        let Some(member) = self.members.get_mut(name) else {
            return Life::Ignored;
        };
        let doubt = member.as_rumour();
        match member.liveness {
            Liveness::Suspect if member.why != Why::Returned => {
                member.turn(now, Liveness::Alive, Why::Heard);
            }
            Liveness::Dead => member.turn(now, Liveness::Suspect, Why::Returned),
            _ => return Life::Known,
        }
        self.note_change();
        Life::Doubted(doubt)
    }

    /// This instance leaves; final for its generation.
    pub fn leave(&mut self, now: Instant) {
        self.own.turn(now, Liveness::Leaving, Why::Own);
        self.rumours.push(&self.own.name);
        self.note_change();
    }

    fn forget(&mut self, now: Instant) {
        let span = self.timing.dead * FORGET;
        let before = self.members.len();
        self.members.retain(|_, member| {
            let gone = matches!(member.liveness, Liveness::Dead | Liveness::Leaving);
            !gone || member.published.is_some() || now.since(member.since) < span
        });
        if self.members.len() != before {
            self.note_change();
        }
    }

    fn refresh_ring(&mut self, now: Instant) {
        if std::mem::take(&mut self.ring_stale) {
            let near = |member: &&Member| member.zone == self.own.zone;
            self.near = self.reachable().filter(near).count();
            let successors = successors(&self.own, self.reachable());
            self.watch.set_neighbours(now, successors);
        }
    }

    /// The members to probe now.
    pub fn neighbours(&self) -> impl Iterator<Item = &Member> {
        let names = self.watch.neighbours();
        names.filter_map(|name| self.members.get(name))
    }

    /// Rumours for one frame to a peer, which may be in another zone, counted as told.
    pub fn take_rumours(&mut self, far: bool) -> Vec<Rumour> {
        let names = self.rumours.take(self.told_to(), far);
        let mut rumours: Vec<Rumour> = Vec::with_capacity(names.len() + 1);
        let leaving = self.own.liveness == Liveness::Leaving;
        if leaving && !names.contains(&self.own.name) {
            rumours.push(self.own.as_rumour());
        }
        rumours.extend(names.iter().filter_map(|name| Some(self.get(name)?.as_rumour())));
        rumours
    }

    /// Some rumour has not been told often enough in the own zone, or in others.
    pub fn has_rumours(&self, far: bool) -> bool {
        if far { self.rumours.has_far(self.told_to()) } else { !self.rumours.is_empty() }
    }

    fn told_to(&self) -> queue::Size {
        queue::Size { fleet: self.size(), zone: self.near + 1 }
    }

    /// Whether a zone is another one than this instance's.
    pub fn is_far(&self, zone: &str) -> bool {
        *self.own.zone != *zone
    }

    /// What a newcomer cannot know: members that are not alive.
    pub fn doubts(&self) -> Vec<Rumour> {
        let doubted = |member: &&Member| member.liveness != Liveness::Alive;
        let members = self.members.values().filter(doubted);
        members.take(queue::PER_FRAME).map(Member::as_rumour).collect()
    }

    /// Whether work may be given to the instance of this name. It leaves when either the published
    /// list or its own rumour says so.
    pub fn standing(&self, now: Instant, name: &str) -> Standing {
        let Some(member) = self.get(name) else {
            return Standing::Gone;
        };
        if member.published == Some(State::Leaving) {
            return Standing::Gone;
        }
        match member.liveness {
            Liveness::Alive if now >= self.settled_at(member) => Standing::Settled,
            Liveness::Alive => Standing::Fresh,
            Liveness::Suspect => Standing::Suspect,
            _ => Standing::Gone,
        }
    }

    /// The standing of every member, this instance included.
    pub fn standings(&self, now: Instant) -> Map<Arc<str>, Standing> {
        let all = self.members.values().chain([&self.own]);
        let standing = |member: &Member| (member.key(), self.standing(now, &member.name));
        all.map(standing).collect()
    }

    /// When a member may be preferred as an owner: it must have seen itself in the list, waited for
    /// its shares to grow, and been heard of. Those that this instance learnt of at its own start
    /// count as older than itself.
    fn settled_at(&self, member: &Member) -> Instant {
        let own = &self.own;
        let start = own.joined + self.timing.grace;
        if member.joined < start && member.name != own.name {
            return member.joined;
        }
        member.joined + self.timing.grace + self.timing.probe
    }

    /// When the next member becomes settled.
    pub fn next_settled(&self, now: Instant) -> Option<Instant> {
        let all = self.members.values().chain([&self.own]);
        all.map(|member| self.settled_at(member)).filter(|&at| at > now).min()
    }
}

/// The members that an instance probes: the next [`ANYWHERE`] after it on the ring of hashes, and then
/// the next ones of its own zone.
///
/// Probes are the larger part of what an idle fleet sends, and those to other zones are paid for by the
/// byte. Those on the ring of all may stand anywhere: the loss of a whole zone is found out from the
/// others.
fn successors<'a>(own: &Member, members: impl Iterator<Item = &'a Member>) -> Vec<Arc<str>> {
    let place = |name: &str| hash::of(&[b"ring", name.as_bytes()]);
    let start = place(&own.name);
    let mut ring: Vec<_> =
        members.map(|member| (place(&member.name).wrapping_sub(start), member)).collect();
    ring.sort_unstable_by_key(|(place, member)| (*place, &member.name));
    let near = ring.iter().map(|(_, member)| *member).filter(|member| member.zone == own.zone);
    let mut chosen: Vec<&Member> = ring.iter().take(ANYWHERE).map(|(_, member)| *member).collect();
    for member in near.chain(ring.iter().map(|(_, member)| *member)) {
        if chosen.len() < NEIGHBOURS && !chosen.iter().any(|other| other.name == member.name) {
            chosen.push(member);
        }
    }
    chosen.into_iter().map(|member| Arc::clone(&member.name)).collect()
}

//! Membership of the fleet: the instances that this instance knows and which of them it considers
//! alive.
//!
//! Members are learned from the published list of instances and from gossip between instances. An
//! instance probes only its [`PROBED_SUCCESSORS`] successors on a hash ring, so the cost does not
//! grow with the fleet. Detected changes travel as gossip updates on frames that are sent anyway.

mod failure_detector;
mod gossip;
mod gossip_queue;
mod member;
mod suspicion;

use std::collections::BTreeMap;
use std::sync::Arc;

use ladder_schema::publication::{Instance, State};
use ladder_schema::wire::{Frame, Liveness, Rumour};

pub use member::{Evidence, Member};

use super::hash;
use super::settings::{Settings, Timing};
use crate::collections::Map;
use crate::time::Instant;

/// Number of ring successors that an instance probes.
pub const PROBED_SUCCESSORS: usize = 3;
/// Number of probed ring successors that may be in any zone; the others are preferably in this
/// instance's zone. With only one, the loss of a zone is detected one member at a time, because the
/// next member on the ring is often lost too.
const PROBED_IN_ANY_ZONE: usize = 2;
/// How long a dead or leaving member that is not published is remembered, in multiples of
/// `Timing::dead`. Forgetting it earlier would let gossip updates still in transit add it again.
const DEAD_PERIODS_REMEMBERED: u32 = 20;

/// Whether work may be given to an instance. Among the candidates of a service, the greatest value
/// is preferred.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Standing {
    /// The instance is dead, leaving or unknown.
    Gone,
    /// The instance is suspected of being dead. If no candidate of a service has a better
    /// standing, the suspicion is more likely wrong than right, and an unanswered request to a
    /// suspect costs no more than having no owner.
    Suspect,
    /// The instance is alive, but its generation is so new that its connection shares may not have
    /// been granted yet.
    Fresh,
    /// The instance is alive and its generation is old enough to be preferred as an owner.
    Settled,
}

/// What a received frame implies about its sender.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FrameEffect {
    /// The frame changes nothing that is known about its sender.
    NoChange,
    /// The sender is a member or a generation that was not known before.
    NewMember,
    /// The sender was suspected or considered dead. The gossip update must be sent to it so that
    /// it refutes.
    MustRefute(Rumour),
    /// The frame is from an earlier generation of the member, or from a later process whose host's
    /// clock was set back. The gossip update with the known generation must be sent to the sender.
    StaleGeneration(Rumour),
    /// The frame is not from a usable member: it names this instance as sender, or has no sender
    /// name or no address to reply to.
    Ignored,
}

/// The members of the fleet and their liveness, as this instance knows them.
#[derive(Clone, Debug)]
pub struct Membership {
    /// This instance as a member.
    own: Member,
    /// All other members by name.
    ///
    /// Invariant: does not contain this instance.
    members: BTreeMap<Arc<str>, Member>,
    gossip: gossip_queue::GossipQueue,
    detector: failure_detector::FailureDetector,
    timing: Timing,
    /// Whether something that a view depends on changed since the last
    /// [`Membership::take_changed`].
    changed: bool,
    /// Whether a member was added, removed or changed its liveness since the probe ring was
    /// computed.
    probe_ring_stale: bool,
    /// Number of other reachable members in this instance's zone when the probe ring was last
    /// computed.
    zone_peers: usize,
    /// When the last new member became known; the start if none has.
    last_new_member_at: Instant,
}

impl Membership {
    /// Creates a membership that knows only this instance.
    pub fn new(settings: &Settings, now: Instant) -> Self {
        let mut own = Member::new(&settings.name, now, Evidence::ThisInstance);
        own.address = Arc::clone(&settings.address);
        own.zone = Arc::clone(&settings.zone);
        own.millicores = settings.millicores;
        own.generation = settings.incarnation;
        let mut gossip = gossip_queue::GossipQueue::default();
        gossip.push(&own.name);
        Self {
            own,
            members: BTreeMap::new(),
            gossip,
            detector: failure_detector::FailureDetector::new(now),
            timing: settings.timing,
            changed: true,
            probe_ring_stale: true,
            zone_peers: 0,
            last_new_member_at: now,
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

    /// The member with this name, which may be this instance.
    pub fn get(&self, name: &str) -> Option<&Member> {
        if *self.own.name == *name {
            return Some(&self.own);
        }
        self.members.get(name)
    }

    /// Number of instances that are or recently were in the fleet, including this one. Dead
    /// members count until they are forgotten: most of them return, and members hidden by a
    /// network partition still hold their connections.
    pub fn size(&self) -> usize {
        self.members.len() + 1
    }

    /// When the last new member became known; the start of this instance if none has.
    pub const fn last_new_member_at(&self) -> Instant {
        self.last_new_member_at
    }

    /// Other members that may receive frames: neither dead nor leaving.
    pub fn reachable(&self) -> impl Iterator<Item = &Member> {
        self.members.values().filter(|member| member.is_reachable())
    }

    /// Members considered dead. They are contacted now and then: after a network partition each
    /// side considers the other dead, and otherwise neither would send the first frame.
    pub fn dead(&self) -> impl Iterator<Item = &Member> {
        let is_dead = |member: &&Member| member.liveness == Liveness::Dead;
        self.members.values().filter(is_dead).filter(|member| !member.address.is_empty())
    }

    /// Whether something that a view depends on changed since [`Membership::take_changed`].
    pub const fn has_changed(&self) -> bool {
        self.changed
    }

    /// Whether something that a view depends on changed since the last call; resets the flag.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// Replaces the published list of instances.
    pub fn publish<'a>(&mut self, now: Instant, instances: impl Iterator<Item = &'a Instance>) {
        for member in self.members.values_mut() {
            member.published_state = None;
        }
        self.own.published_state = None;
        for instance in instances {
            self.publish_one(now, instance);
        }
        self.note_change();
    }

    fn publish_one(&mut self, now: Instant, instance: &Instance) {
        let state = instance.state();
        if instance.name == *self.own.name {
            self.own.published_state = Some(state);
            return;
        }
        let name: Arc<str> = instance.name.as_str().into();
        let new_member = || Member::new(&name, now, Evidence::Published);
        let member = self.members.entry(Arc::clone(&name)).or_insert_with(new_member);
        member.published_state = Some(state);
        if member.generation == 0 || member.address.is_empty() {
            member.address = instance.peer_address.as_str().into();
        }
        member.zone = instance.zone.as_str().into();
    }

    fn note_change(&mut self) {
        self.changed = true;
        self.probe_ring_stale = true;
    }

    /// Processes a received frame. Any frame is a sign of life of its sender.
    pub fn receive_frame(&mut self, now: Instant, frame: &Frame) -> FrameEffect {
        if frame.from.is_empty() || frame.from == *self.own.name || frame.address.is_empty() {
            return FrameEffect::Ignored;
        }
        self.detector.note_frame();
        let known_member = self.members.get_mut(frame.from.as_str());
        let Some(member) = known_member.filter(|member| frame.generation <= member.generation)
        else {
            self.add_sender(now, frame);
            return FrameEffect::NewMember;
        };
        if frame.generation < member.generation {
            return FrameEffect::StaleGeneration(member.to_gossip_update());
        }
        member.last_frame_at = Some(now);
        self.reconsider_on_frame(now, &frame.from)
    }

    fn add_sender(&mut self, now: Instant, frame: &Frame) {
        let name: Arc<str> = frame.from.as_str().into();
        let previous = self.members.get(&name);
        let mut member = Member::new(&name, now, Evidence::FrameReceived);
        member.address = frame.address.as_str().into();
        member.zone = frame.zone.as_str().into();
        member.millicores = frame.millicores;
        member.generation = frame.generation;
        member.last_frame_at = Some(now);
        member.published_state = previous.and_then(|previous| previous.published_state);
        if let Some(previous) = previous.filter(|previous| previous.generation == 0) {
            member.generation_known_at = previous.generation_known_at;
        }
        let is_new_to_peers =
            previous.is_none_or(|previous| previous.generation > 0 || !previous.is_reachable());
        if is_new_to_peers {
            self.gossip.push(&name);
        }
        if previous.is_none() {
            self.last_new_member_at = now;
        }
        self.members.insert(name, member);
        self.note_change();
    }

    /// Updates the liveness of a member that sent a frame. A suspected member is then alive. A
    /// member considered dead must also refute: its frame may have been sent before its death, and
    /// no instance would detect that death a second time.
    fn reconsider_on_frame(&mut self, now: Instant, name: &str) -> FrameEffect {
        let Some(member) = self.members.get_mut(name) else {
            return FrameEffect::Ignored;
        };
        let suspicion = member.to_gossip_update();
        match member.liveness {
            Liveness::Suspect if member.why != Evidence::SeenAgain => {
                member.set_liveness(now, Liveness::Alive, Evidence::FrameReceived);
            }
            Liveness::Dead => member.set_liveness(now, Liveness::Suspect, Evidence::SeenAgain),
            _ => return FrameEffect::NoChange,
        }
        self.note_change();
        FrameEffect::MustRefute(suspicion)
    }

    /// Marks this instance as leaving, which is final for its generation.
    pub fn leave(&mut self, now: Instant) {
        self.own.set_liveness(now, Liveness::Leaving, Evidence::ThisInstance);
        self.gossip.push(&self.own.name);
        self.note_change();
    }

    fn forget_expired(&mut self, now: Instant) {
        let retention = self.timing.dead * DEAD_PERIODS_REMEMBERED;
        let count_before = self.members.len();
        self.members.retain(|_, member| {
            let is_gone = matches!(member.liveness, Liveness::Dead | Liveness::Leaving);
            !is_gone
                || member.published_state.is_some()
                || now.since(member.liveness_since) < retention
        });
        if self.members.len() != count_before {
            self.note_change();
        }
    }

    fn refresh_probe_ring(&mut self, now: Instant) {
        if std::mem::take(&mut self.probe_ring_stale) {
            let same_zone = |member: &&Member| member.zone == self.own.zone;
            self.zone_peers = self.reachable().filter(same_zone).count();
            let probed = ring_successors(&self.own, self.reachable());
            self.detector.set_probed(now, probed);
        }
    }

    /// The members that this instance probes now.
    pub fn probe_targets(&self) -> impl Iterator<Item = &Member> {
        let names = self.detector.probed();
        names.filter_map(|name| self.members.get(name))
    }

    /// Takes gossip updates for one frame to a peer and counts them as sent. `cross_zone`: the peer
    /// is in another zone.
    pub fn take_gossip(&mut self, cross_zone: bool) -> Vec<Rumour> {
        let names = self.gossip.take(self.gossip_scope(), cross_zone);
        let mut rumours: Vec<Rumour> = Vec::with_capacity(names.len() + 1);
        let leaving = self.own.liveness == Liveness::Leaving;
        if leaving && !names.contains(&self.own.name) {
            rumours.push(self.own.to_gossip_update());
        }
        rumours.extend(names.iter().filter_map(|name| Some(self.get(name)?.to_gossip_update())));
        rumours
    }

    /// Whether some gossip update has not been sent often enough: to other zones if `cross_zone`,
    /// otherwise within this instance's zone.
    pub fn has_gossip(&self, cross_zone: bool) -> bool {
        if cross_zone {
            self.gossip.has_cross_zone(self.gossip_scope())
        } else {
            !self.gossip.is_empty()
        }
    }

    fn gossip_scope(&self) -> gossip_queue::GossipScope {
        gossip_queue::GossipScope { fleet: self.size(), zone: self.zone_peers + 1 }
    }

    /// Whether `zone` differs from this instance's zone.
    pub fn is_in_other_zone(&self, zone: &str) -> bool {
        *self.own.zone != *zone
    }

    /// Gossip updates for a new member, which cannot know yet which members are not alive.
    pub fn not_alive_updates(&self) -> Vec<Rumour> {
        let is_not_alive = |member: &&Member| member.liveness != Liveness::Alive;
        let members = self.members.values().filter(is_not_alive);
        members.take(gossip_queue::UPDATES_PER_FRAME).map(Member::to_gossip_update).collect()
    }

    /// Whether work may be given to the instance with this name. An instance is leaving if either
    /// the published list or its own gossip update says so.
    pub fn standing(&self, now: Instant, name: &str) -> Standing {
        let Some(member) = self.get(name) else {
            return Standing::Gone;
        };
        if member.published_state == Some(State::Leaving) {
            return Standing::Gone;
        }
        match member.liveness {
            Liveness::Alive if now >= self.settled_at(member) => Standing::Settled,
            Liveness::Alive => Standing::Fresh,
            Liveness::Suspect => Standing::Suspect,
            _ => Standing::Gone,
        }
    }

    /// Whether work may be given to each member, including this instance.
    pub fn standings(&self, now: Instant) -> Map<Arc<str>, Standing> {
        let all = self.members.values().chain([&self.own]);
        let standing = |member: &Member| (member.key(), self.standing(now, &member.name));
        all.map(standing).collect()
    }

    /// When a member may be preferred as an owner. By then it has read the published list with
    /// itself in it, its connection shares have grown, and other instances have learned of it.
    /// Members that this instance learned of during its own start count as settled from the moment
    /// they became known.
    fn settled_at(&self, member: &Member) -> Instant {
        let own = &self.own;
        let own_grace_end = own.generation_known_at + self.timing.grace;
        if member.generation_known_at < own_grace_end && member.name != own.name {
            return member.generation_known_at;
        }
        member.generation_known_at + self.timing.grace + self.timing.probe
    }

    /// When the next member becomes settled.
    pub fn next_settled(&self, now: Instant) -> Option<Instant> {
        let all = self.members.values().chain([&self.own]);
        all.map(|member| self.settled_at(member)).filter(|&at| at > now).min()
    }
}

/// The members that an instance probes: the next [`PROBED_IN_ANY_ZONE`] after it on the hash ring,
/// then the next ones in its own zone.
///
/// Probes are most of the traffic of an idle fleet, and traffic between zones is billed by the
/// byte. The first ones may be in any zone so that the loss of a whole zone is detected from other
/// zones.
fn ring_successors<'a>(own: &Member, members: impl Iterator<Item = &'a Member>) -> Vec<Arc<str>> {
    let ring_hash = |name: &str| hash::of(&[b"ring", name.as_bytes()]);
    let own_hash = ring_hash(&own.name);
    let mut ring: Vec<_> =
        members.map(|member| (ring_hash(&member.name).wrapping_sub(own_hash), member)).collect();
    ring.sort_unstable_by_key(|(distance, member)| (*distance, &member.name));
    let same_zone = ring.iter().map(|(_, member)| *member).filter(|member| member.zone == own.zone);
    let mut probed: Vec<&Member> =
        ring.iter().take(PROBED_IN_ANY_ZONE).map(|(_, member)| *member).collect();
    for member in same_zone.chain(ring.iter().map(|(_, member)| *member)) {
        if probed.len() < PROBED_SUCCESSORS && !probed.iter().any(|other| other.name == member.name)
        {
            probed.push(member);
        }
    }
    probed.into_iter().map(|member| Arc::clone(&member.name)).collect()
}

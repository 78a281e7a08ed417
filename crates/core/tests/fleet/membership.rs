//! Membership of one instance: silence, suspicion, refutation and process pauses.

use std::time::Duration;

use ladder_core::control::Settings;
use ladder_core::control::membership::{FrameEffect, Membership, Standing};
use ladder_core::schema::publication::{Instance, State, record::Body};
use ladder_core::schema::wire::{Liveness, Rumour};
use ladder_core::time::Instant;

use crate::fixtures;

const OWN: &str = "entry-0";

/// The membership of one instance that receives frames of `peers` others, driven tick by tick.
struct Fixture {
    membership: Membership,
    now: Instant,
}

impl Fixture {
    fn new(peers: usize) -> Self {
        let settings =
            Settings::builder(OWN, &fixtures::address(OWN)).zone("trindade").incarnation(5).build();
        let now = Instant::from_millis(1000);
        let mut membership = Membership::new(&settings, now);
        let published: Vec<Instance> =
            (0..=peers).map(|at| published_instance(at, State::Live)).collect();
        membership.publish(now, published.iter());
        let mut fixture = Self { membership, now };
        for at in 1..=peers {
            fixture.receive_frame(at, 1);
        }
        fixture
    }

    fn receive_frame(&mut self, number: usize, incarnation: u64) -> FrameEffect {
        let frame = fixtures::frame(&format!("entry-{number}"), "trindade", incarnation);
        self.membership.receive_frame(self.now, &frame)
    }

    /// Advances time in ticks; at each tick a frame of every peer in `speaking` is received.
    fn advance(&mut self, millis: u64, speaking: &[usize]) {
        for _ in 0..millis / 250 {
            self.now = self.now + Duration::from_millis(250);
            for &number in speaking {
                self.receive_frame(number, 1);
            }
            self.membership.tick(self.now);
        }
    }

    fn liveness(&self, number: usize) -> Liveness {
        let name = format!("entry-{number}");
        self.membership.get(&name).expect("known").liveness
    }

    fn liveness_of<const COUNT: usize>(&self, numbers: [usize; COUNT]) -> [Liveness; COUNT] {
        numbers.map(|number| self.liveness(number))
    }

    fn receive_update(
        &mut self,
        number: usize,
        incarnation: u64,
        refutation: u32,
        liveness: Liveness,
    ) {
        let (name, version) = (format!("entry-{number}"), (incarnation, refutation));
        let rumour = fixtures::gossip_update(&name, "trindade", version, liveness);
        self.membership.apply_update(self.now, &rumour);
    }

    fn own_update(&mut self) -> Option<Rumour> {
        let rumours = self.membership.take_gossip(false);
        rumours.into_iter().find(|rumour| rumour.name == OWN)
    }
}

fn published_instance(number: usize, state: State) -> Instance {
    match fixtures::instance(&format!("entry-{number}"), "trindade", state) {
        Body::Instance(instance) => instance,
        _ => unreachable!("built as an instance"),
    }
}

/// A member is killed without its links breaking. It must be suspected after the first suspicion
/// period of silence and considered dead after a second period.
#[test]
fn silent_member_is_suspected_then_dead() {
    let mut fixture = Fixture::new(3);
    fixture.advance(500, &[1, 2, 3]);
    fixture.advance(1250, &[1, 2]);
    assert_eq!(fixture.liveness(3), Liveness::Suspect);
    fixture.advance(1250, &[1, 2]);
    assert_eq!(fixture.liveness(3), Liveness::Dead);
    assert_eq!(fixture.liveness_of([1, 2]), [Liveness::Alive; 2]);
}

/// A member's link breaks because its process dies: the member must be suspected without waiting
/// for a period of silence.
#[test]
fn broken_link_raises_suspicion_without_waiting() {
    let mut fixture = Fixture::new(3);
    fixture.membership.link_down(fixture.now, "entry-2");
    assert_eq!(fixture.liveness(2), Liveness::Suspect);
    fixture.advance(250, &[1, 2, 3]);
    assert_eq!(fixture.liveness(2), Liveness::Alive, "a frame was received again");
}

/// The observing instance's own network fails, so all probed members become silent at the same
/// time. The instance must not declare the fleet dead on that evidence alone.
#[test]
fn simultaneous_silence_raises_no_suspicion() {
    let mut fixture = Fixture::new(6);
    fixture.advance(500, &[1, 2, 3, 4, 5, 6]);
    fixture.advance(1500, &[]);
    assert_eq!(fixture.liveness_of([1, 2, 3, 4, 5, 6]), [Liveness::Alive; 6]);
    fixture.advance(500, &[1, 2, 3, 4, 5, 6]);
    fixture.advance(1000, &[1, 2, 3, 4, 5, 6]);
    assert_eq!(
        fixture.liveness_of([1, 2, 3, 4, 5, 6]),
        [Liveness::Alive; 6],
        "after the network recovered"
    );
}

/// Most probed members really die, as with the loss of a rack. A frame of any other member proves
/// that the observing instance can receive, so the silent members must be suspected.
#[test]
fn received_frame_ends_the_withholding_of_suspicions() {
    let mut fixture = Fixture::new(6);
    fixture.advance(500, &[1, 2, 3, 4, 5, 6]);
    let targets: Vec<String> =
        fixture.membership.probe_targets().map(|m| m.name.to_string()).collect();
    let speaking: Vec<usize> =
        (1..=6).filter(|at| !targets.contains(&format!("entry-{at}"))).collect();
    fixture.advance(1750, &speaking);
    for name in &targets {
        let member = fixture.membership.get(name).expect("known");
        assert_eq!(member.liveness, Liveness::Suspect, "{name}");
    }
}

/// All links break at once because the observing instance's own network fails: no peer may be
/// suspected.
#[test]
fn simultaneous_link_loss_raises_no_suspicion() {
    let mut fixture = Fixture::new(4);
    for number in 1..=4 {
        fixture.membership.link_down(fixture.now, &format!("entry-{number}"));
    }
    assert_eq!(fixture.liveness_of([1, 2, 3, 4]), [Liveness::Alive; 4]);
}

/// One peer crashes again and again, and its link breaks each time. This must not be mistaken for
/// a failure of the observing instance's network: the peer must be suspected every time.
#[test]
fn repeatedly_crashing_peer_is_suspected_each_time() {
    let mut fixture = Fixture::new(4);
    for crash in 0..6 {
        fixture.membership.link_down(fixture.now, "entry-2");
        assert_eq!(fixture.liveness(2), Liveness::Suspect, "crash {crash}");
        fixture.receive_frame(2, 1);
    }
}

/// The observing process is paused for half a minute. When it resumes, the last frames of all
/// others are half a minute old; no member may be declared dead because of that.
#[test]
fn process_pause_restarts_silence_periods() {
    let mut fixture = Fixture::new(3);
    fixture.advance(500, &[1, 2, 3]);
    fixture.membership.link_down(fixture.now, "entry-3");
    fixture.now = fixture.now + Duration::from_secs(30);
    fixture.membership.restart_silence_periods(fixture.now);
    fixture.advance(500, &[]);
    assert_eq!(fixture.liveness_of([1, 2]), [Liveness::Alive; 2]);
    fixture.advance(250, &[1, 2]);
    assert_eq!(fixture.liveness(3), Liveness::Suspect, "not dead because of the pause");
}

/// A process pause is not reported to the membership: a tick comes far too late, and the frames of
/// two of three probed members were queued before it. The third member must not be suspected.
#[test]
fn late_tick_is_treated_as_a_process_pause() {
    let mut fixture = Fixture::new(3);
    fixture.advance(500, &[1, 2, 3]);
    fixture.now = fixture.now + Duration::from_secs(30);
    fixture.receive_frame(1, 1);
    fixture.receive_frame(2, 1);
    fixture.membership.tick(fixture.now);
    assert_eq!(fixture.liveness_of([1, 2, 3]), [Liveness::Alive; 3]);
    fixture.advance(750, &[1, 2, 3]);
    assert_eq!(fixture.liveness_of([1, 2, 3]), [Liveness::Alive; 3]);
}

struct GossipCase {
    description: &'static str,
    /// Generation, refutation and liveness of each gossip update received.
    updates: Vec<(u64, u32, Liveness)>,
    final_state: (u64, u32, Liveness),
}

fn gossip_cases() -> Vec<GossipCase> {
    use Liveness::{Alive, Dead, Leaving, Suspect};
    vec![
        GossipCase {
            description: "A delayed update of the suspicion does not supersede the refutation.",
            updates: vec![(1, 0, Suspect), (1, 1, Alive), (1, 0, Dead)],
            final_state: (1, 1, Alive),
        },
        GossipCase {
            description: "With the same refutation, the worse liveness wins.",
            updates: vec![(1, 2, Dead), (1, 2, Suspect), (1, 2, Alive)],
            final_state: (1, 2, Dead),
        },
        GossipCase {
            description: "The update of a new process replaces that of the dead one.",
            updates: vec![(1, 4, Dead), (2, 0, Alive), (1, 9, Dead)],
            final_state: (2, 0, Alive),
        },
        GossipCase {
            description: "Leaving is final for a generation.",
            updates: vec![(1, 0, Leaving), (1, 7, Alive)],
            final_state: (1, 0, Leaving),
        },
        GossipCase {
            description: "An instance that left may return with a new process.",
            updates: vec![(1, 0, Leaving), (3, 0, Alive)],
            final_state: (3, 0, Alive),
        },
    ]
}

#[test]
fn newest_gossip_update_wins() {
    for case in gossip_cases() {
        let mut fixture = Fixture::new(3);
        for &(incarnation, refutation, liveness) in &case.updates {
            fixture.receive_update(2, incarnation, refutation, liveness);
        }
        let member = fixture.membership.get("entry-2").expect("known");
        let final_state = (member.generation, member.refutation, member.liveness);
        assert_eq!(final_state, case.final_state, "{}", case.description);
    }
}

/// An instance that is alive receives the gossip update that others suspect it. It must refute,
/// and the refutation must supersede the suspicion.
#[test]
fn suspected_instance_refutes() {
    let mut fixture = Fixture::new(3);
    fixture.receive_update(0, 5, 3, Liveness::Suspect);
    let own = fixture.own_update().expect("this instance refutes");
    assert_eq!((own.generation, own.refutation), (5, 4));
    assert_eq!(own.liveness(), Liveness::Alive);
    fixture.receive_update(0, 5, 1, Liveness::Dead);
    let own = fixture.own_update().expect("the refutation is sent again");
    assert_eq!(own.refutation, 4, "an older suspicion needs no higher refutation");
}

/// A frame sent before its sender died is received after the death is known. The frame must not
/// make the sender alive for good, because no instance would detect its death a second time.
#[test]
fn late_frame_does_not_revive_a_dead_member() {
    let mut fixture = Fixture::new(3);
    fixture.receive_update(2, 1, 0, Liveness::Dead);
    let effect = fixture.receive_frame(2, 1);
    assert!(
        matches!(effect, FrameEffect::MustRefute(_)),
        "the sender must be notified: {effect:?}"
    );
    assert_eq!(fixture.liveness(2), Liveness::Suspect);
    fixture.advance(1250, &[1, 3]);
    assert_eq!(fixture.liveness(2), Liveness::Dead);
    fixture.receive_frame(2, 1);
    fixture.receive_update(2, 1, 1, Liveness::Alive);
    assert_eq!(fixture.liveness(2), Liveness::Alive, "refuted by the member itself");
}

/// An instance is replaced under the same name: frames of the old process must not count for the
/// new one.
#[test]
fn new_generation_replaces_the_old_one() {
    let mut fixture = Fixture::new(3);
    fixture.receive_update(2, 1, 0, Liveness::Dead);
    assert_eq!(fixture.receive_frame(2, 2), FrameEffect::NewMember);
    assert_eq!(fixture.liveness(2), Liveness::Alive);
    let FrameEffect::StaleGeneration(rumour) = fixture.receive_frame(2, 1) else {
        panic!("a frame of the old process was accepted");
    };
    assert_eq!((rumour.generation, rumour.liveness()), (2, Liveness::Alive));
    assert_eq!(fixture.membership.get("entry-2").expect("known").generation, 2);
}

/// The host's clock is set back and an instance restarts. Its incarnation is then lower than its
/// predecessor's, so peers take its frames for delayed ones of the predecessor. When it receives
/// the predecessor's state it must choose a higher generation, unless that state has another
/// address: then the instance has been replaced and must not.
#[test]
fn restart_with_a_lower_incarnation_supersedes_its_predecessor() {
    struct Case {
        generation: u64,
        liveness: Liveness,
        address: String,
        becomes: (u64, u32),
    }
    let own = fixtures::address(OWN);
    let case = |generation, liveness, address: &str, becomes| Case {
        generation,
        liveness,
        address: address.to_owned(),
        becomes,
    };
    let cases = [
        case(9, Liveness::Alive, &own, (10, 0)),
        case(9, Liveness::Dead, &own, (10, 0)),
        case(9, Liveness::Leaving, &own, (10, 0)),
        case(9, Liveness::Dead, "10.9.9.9:1", (5, 0)),
        case(4, Liveness::Dead, &own, (5, 0)),
        case(u64::MAX, Liveness::Dead, &own, (5, 0)),
    ];
    for Case { generation, liveness, address, becomes } in cases {
        let mut fixture = Fixture::new(3);
        let received = fixtures::gossip_update(OWN, "trindade", (generation, 3), liveness);
        let description = format!("{generation} {liveness:?} at {address}");
        fixture.membership.apply_update(fixture.now, &Rumour { address, ..received });
        let own = fixture.membership.own();
        assert_eq!((own.generation, own.refutation), becomes, "{description}");
        assert_eq!(own.liveness, Liveness::Alive, "{description}");
    }
}

/// A restarted instance may not have its connections yet: it may be preferred only after the grace
/// period. An instance that is published as leaving must get no work at all.
#[test]
fn new_member_waits_for_grace_and_leaving_member_gets_no_work() {
    let mut fixture = Fixture::new(3);
    fixture.advance(5000, &[1, 2, 3]);
    fixture.receive_frame(2, 2);
    let standing = |fixture: &Fixture| fixture.membership.standing(fixture.now, "entry-2");
    assert_eq!(standing(&fixture), Standing::Fresh);
    fixture.now = fixture.now + Duration::from_millis(2250);
    assert_eq!(standing(&fixture), Standing::Settled);
    let published: Vec<Instance> =
        (0..=3).map(|at| published_instance(at, State::Leaving)).collect();
    fixture.membership.publish(fixture.now, published.iter());
    assert_eq!(standing(&fixture), Standing::Gone);
}

/// Members that are neither published nor alive must be forgotten, so that replaced instances do
/// not accumulate.
#[test]
fn dead_and_unpublished_members_are_forgotten() {
    let mut fixture = Fixture::new(3);
    fixture.receive_update(2, 1, 0, Liveness::Dead);
    fixture.advance(30_000, &[1, 3]);
    assert!(fixture.membership.get("entry-2").is_some(), "still published");
    let published = [
        published_instance(0, State::Live),
        published_instance(1, State::Live),
        published_instance(3, State::Live),
    ];
    fixture.membership.publish(fixture.now, published.iter());
    fixture.advance(500, &[1, 3]);
    assert!(fixture.membership.get("entry-2").is_none());
}

/// Guards against a dead member that part of the fleet considers alive for good. The instances that
/// detect its death do not know its last generation, so their update supersedes nothing. An
/// instance that knows the generation must send it, or no instance probes the member again.
#[test]
fn older_update_is_answered_with_the_newer_state() {
    for (liveness, is_answered) in
        [(Liveness::Dead, true), (Liveness::Suspect, true), (Liveness::Alive, false)]
    {
        let mut fixture = Fixture::new(3);
        while !fixture.membership.take_gossip(false).is_empty() {}
        let update = fixtures::gossip_update("entry-2", "trindade", (0, 0), liveness);
        fixture.membership.apply_update(fixture.now, &update);
        let sent = fixture.membership.take_gossip(false);
        let sent = sent.iter().find(|update| update.name == "entry-2");
        assert_eq!(sent.map(|update| update.generation), is_answered.then_some(1), "{liveness:?}");
    }
}

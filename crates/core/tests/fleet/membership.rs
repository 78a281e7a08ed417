//! Membership of one instance: silence, suspicion, refutation, pauses.

use std::time::Duration;

use ladder_core::control::Settings;
use ladder_core::control::membership::{Life, Membership, Standing};
use ladder_core::schema::publication::{Instance, State, record::Body};
use ladder_core::schema::wire::{Liveness, Rumour};
use ladder_core::time::Instant;

use crate::publish;

const OWN: &str = "entry-0";

/// One instance that hears of `peers` others, driven tick by tick.
struct Bench {
    membership: Membership,
    now: Instant,
}

impl Bench {
    fn new(peers: usize) -> Self {
        let settings =
            Settings::builder(OWN, &publish::address(OWN)).zone("trindade").incarnation(5).build();
        let now = Instant::from_millis(1000);
        let mut membership = Membership::new(&settings, now);
        let listed: Vec<Instance> = (0..=peers).map(|at| listed(at, State::Live)).collect();
        membership.publish(now, listed.iter());
        let mut bench = Self { membership, now };
        for at in 1..=peers {
            bench.hear(at, 1);
        }
        bench
    }

    fn hear(&mut self, number: usize, incarnation: u64) -> Life {
        let frame = publish::frame(&format!("entry-{number}"), "trindade", incarnation);
        self.membership.heard(self.now, &frame)
    }

    /// Lets time pass in ticks; the peers in `speaking` are heard at each.
    fn pass(&mut self, millis: u64, speaking: &[usize]) {
        for _ in 0..millis / 250 {
            self.now = self.now + Duration::from_millis(250);
            for &number in speaking {
                self.hear(number, 1);
            }
            self.membership.tick(self.now);
        }
    }

    fn liveness(&self, number: usize) -> Liveness {
        let name = format!("entry-{number}");
        self.membership.get(&name).expect("known").liveness
    }

    fn all<const COUNT: usize>(&self, numbers: [usize; COUNT]) -> [Liveness; COUNT] {
        numbers.map(|number| self.liveness(number))
    }

    fn tell(&mut self, number: usize, incarnation: u64, refutation: u32, liveness: Liveness) {
        let (name, version) = (format!("entry-{number}"), (incarnation, refutation));
        let rumour = publish::rumour(&name, "trindade", version, liveness);
        self.membership.rumour(self.now, &rumour);
    }

    fn own_rumour(&mut self) -> Option<Rumour> {
        let rumours = self.membership.take_rumours(false);
        rumours.into_iter().find(|rumour| rumour.name == OWN)
    }
}

fn listed(number: usize, state: State) -> Instance {
    match publish::instance(&format!("entry-{number}"), "trindade", state) {
        Body::Instance(instance) => instance,
        _ => unreachable!("built as an instance"),
    }
}

/// An instance is killed without its links breaking: it is suspected after the first window of
/// silence and held dead after the second.
#[test]
fn silence_leads_to_suspicion_and_death() {
    let mut bench = Bench::new(3);
    bench.pass(500, &[1, 2, 3]);
    bench.pass(1250, &[1, 2]);
    assert_eq!(bench.liveness(3), Liveness::Suspect);
    bench.pass(1250, &[1, 2]);
    assert_eq!(bench.liveness(3), Liveness::Dead);
    assert_eq!(bench.all([1, 2]), [Liveness::Alive; 2]);
}

/// The link breaks as the process dies: no window of silence is waited for.
#[test]
fn broken_link_suspects_at_once() {
    let mut bench = Bench::new(3);
    bench.membership.link_down(bench.now, "entry-2");
    assert_eq!(bench.liveness(2), Liveness::Suspect);
    bench.pass(250, &[1, 2, 3]);
    assert_eq!(bench.liveness(2), Liveness::Alive, "it spoke again");
}

/// The own network cable is out: all neighbours fall silent in the same window. The watcher must
/// not declare the fleet dead on that evidence alone.
#[test]
fn flood_of_silence_blames_the_watcher() {
    let mut bench = Bench::new(6);
    bench.pass(500, &[1, 2, 3, 4, 5, 6]);
    bench.pass(1500, &[]);
    assert_eq!(bench.all([1, 2, 3, 4, 5, 6]), [Liveness::Alive; 6]);
    bench.pass(500, &[1, 2, 3, 4, 5, 6]);
    bench.pass(1000, &[1, 2, 3, 4, 5, 6]);
    assert_eq!(bench.all([1, 2, 3, 4, 5, 6]), [Liveness::Alive; 6], "after return");
}

/// A rack dies: most neighbours are really gone. The answer of any other proves that the watcher
/// can hear, and the silent ones are suspected.
#[test]
fn answer_ends_the_blame() {
    let mut bench = Bench::new(6);
    bench.pass(500, &[1, 2, 3, 4, 5, 6]);
    let neighbours: Vec<String> =
        bench.membership.neighbours().map(|m| m.name.to_string()).collect();
    let speaking: Vec<usize> =
        (1..=6).filter(|at| !neighbours.contains(&format!("entry-{at}"))).collect();
    bench.pass(1750, &speaking);
    for name in &neighbours {
        let member = bench.membership.get(name).expect("known");
        assert_eq!(member.liveness, Liveness::Suspect, "{name}");
    }
}

/// All links break at once as the own network fails: not one peer is suspected for it.
#[test]
fn flood_of_broken_links_blames_the_watcher() {
    let mut bench = Bench::new(4);
    for number in 1..=4 {
        bench.membership.link_down(bench.now, &format!("entry-{number}"));
    }
    assert_eq!(bench.all([1, 2, 3, 4]), [Liveness::Alive; 4]);
}

/// One peer crashes again and again, and its link breaks with it each time. That is one bad peer
/// and not a flood: it must be suspected every time.
#[test]
fn one_flapping_peer_is_not_a_flood() {
    let mut bench = Bench::new(4);
    for crash in 0..6 {
        bench.membership.link_down(bench.now, "entry-2");
        assert_eq!(bench.liveness(2), Liveness::Suspect, "crash {crash}");
        bench.hear(2, 1);
    }
}

/// The process is stopped for half a minute. When it wakes, its last words from the others are
/// half a minute old; none of them may be declared dead for it.
#[test]
fn pause_restarts_all_silences() {
    let mut bench = Bench::new(3);
    bench.pass(500, &[1, 2, 3]);
    bench.membership.link_down(bench.now, "entry-3");
    bench.now = bench.now + Duration::from_secs(30);
    bench.membership.resumed(bench.now);
    bench.pass(500, &[]);
    assert_eq!(bench.all([1, 2]), [Liveness::Alive; 2]);
    bench.pass(250, &[1, 2]);
    assert_eq!(bench.liveness(3), Liveness::Suspect, "not dead for the time asleep");
}

/// The same without the shell noticing: a tick comes far too late, and the frames of two of three
/// neighbours were queued before it. The third is not at fault.
#[test]
fn late_tick_counts_as_a_pause() {
    let mut bench = Bench::new(3);
    bench.pass(500, &[1, 2, 3]);
    bench.now = bench.now + Duration::from_secs(30);
    bench.hear(1, 1);
    bench.hear(2, 1);
    bench.membership.tick(bench.now);
    assert_eq!(bench.all([1, 2, 3]), [Liveness::Alive; 3]);
    bench.pass(750, &[1, 2, 3]);
    assert_eq!(bench.all([1, 2, 3]), [Liveness::Alive; 3]);
}

struct Hearsay {
    story: &'static str,
    /// Incarnation, refutation, liveness.
    told: Vec<(u64, u32, Liveness)>,
    held: (u64, u32, Liveness),
}

fn hearsay() -> Vec<Hearsay> {
    use Liveness::{Alive, Dead, Leaving, Suspect};
    vec![
        Hearsay {
            story: "A late word of the suspicion does not beat the refutation.",
            told: vec![(1, 0, Suspect), (1, 1, Alive), (1, 0, Dead)],
            held: (1, 1, Alive),
        },
        Hearsay {
            story: "Of the same refutation the worse liveness wins.",
            told: vec![(1, 2, Dead), (1, 2, Suspect), (1, 2, Alive)],
            held: (1, 2, Dead),
        },
        Hearsay {
            story: "A new process replaces the dead one at once.",
            told: vec![(1, 4, Dead), (2, 0, Alive), (1, 9, Dead)],
            held: (2, 0, Alive),
        },
        Hearsay {
            story: "Leaving is final for an incarnation.",
            told: vec![(1, 0, Leaving), (1, 7, Alive)],
            held: (1, 0, Leaving),
        },
        Hearsay {
            story: "A process that left may come back as a new one.",
            told: vec![(1, 0, Leaving), (3, 0, Alive)],
            held: (3, 0, Alive),
        },
    ]
}

#[test]
fn newest_rumour_wins() {
    for case in hearsay() {
        let mut bench = Bench::new(3);
        for &(incarnation, refutation, liveness) in &case.told {
            bench.tell(2, incarnation, refutation, liveness);
        }
        let member = bench.membership.get("entry-2").expect("known");
        let held = (member.generation, member.refutation, member.liveness);
        assert_eq!(held, case.held, "{}", case.story);
    }
}

/// A slow instance is suspected by others while it lives. It hears so, and its refutation must
/// beat the suspicion wherever both meet.
#[test]
fn suspected_instance_refutes() {
    let mut bench = Bench::new(3);
    bench.tell(0, 5, 3, Liveness::Suspect);
    let own = bench.own_rumour().expect("a refutation");
    assert_eq!((own.generation, own.refutation), (5, 4));
    assert_eq!(own.liveness(), Liveness::Alive);
    bench.tell(0, 5, 1, Liveness::Dead);
    let own = bench.own_rumour().expect("told again");
    assert_eq!(own.refutation, 4, "an older suspicion needs no higher refutation");
}

/// A frame sent before its sender died arrives after the death is known. It must not bring the
/// sender back for good, as nobody would notice the death a second time.
#[test]
fn late_frame_does_not_raise_the_dead() {
    let mut bench = Bench::new(3);
    bench.tell(2, 1, 0, Liveness::Dead);
    let life = bench.hear(2, 1);
    assert!(matches!(life, Life::Doubted(_)), "the sender is told: {life:?}");
    assert_eq!(bench.liveness(2), Liveness::Suspect);
    bench.pass(1250, &[1, 3]);
    assert_eq!(bench.liveness(2), Liveness::Dead);
    bench.hear(2, 1);
    bench.tell(2, 1, 1, Liveness::Alive);
    assert_eq!(bench.liveness(2), Liveness::Alive, "its own refutation");
}

/// An instance is replaced under its name: frames of the old process must not speak for the new.
#[test]
fn new_incarnation_replaces_the_old() {
    let mut bench = Bench::new(3);
    bench.tell(2, 1, 0, Liveness::Dead);
    assert_eq!(bench.hear(2, 2), Life::Joined);
    assert_eq!(bench.liveness(2), Liveness::Alive);
    let Life::Outlived(rumour) = bench.hear(2, 1) else {
        panic!("a frame of the old process counts");
    };
    assert_eq!((rumour.generation, rumour.liveness()), (2, Liveness::Alive));
    assert_eq!(bench.membership.get("entry-2").expect("known").generation, 2);
}

/// The time of day goes back and an instance restarts: it gets a lower incarnation than its
/// predecessor had, and its peers take its frames for late ones of that. It must hear so and come
/// back above the predecessor; told of another address, it has been replaced and must not.
#[test]
fn successor_with_a_lower_incarnation() {
    struct Case {
        generation: u64,
        liveness: Liveness,
        address: String,
        becomes: (u64, u32),
    }
    let own = publish::address(OWN);
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
        let mut bench = Bench::new(3);
        let told = publish::rumour(OWN, "trindade", (generation, 3), liveness);
        let story = format!("{generation} {liveness:?} at {address}");
        bench.membership.rumour(bench.now, &Rumour { address, ..told });
        let own = bench.membership.own();
        assert_eq!((own.generation, own.refutation), becomes, "{story}");
        assert_eq!(own.liveness, Liveness::Alive, "{story}");
    }
}

/// A restarted instance may not have its connections yet; it is preferred only after the grace
/// period. An instance that the list says is leaving gets no work at all.
#[test]
fn standing_of_new_and_leaving_members() {
    let mut bench = Bench::new(3);
    bench.pass(5000, &[1, 2, 3]);
    bench.hear(2, 2);
    let standing = |bench: &Bench| bench.membership.standing(bench.now, "entry-2");
    assert_eq!(standing(&bench), Standing::Fresh);
    bench.now = bench.now + Duration::from_millis(2250);
    assert_eq!(standing(&bench), Standing::Settled);
    let list: Vec<Instance> = (0..=3).map(|at| listed(at, State::Leaving)).collect();
    bench.membership.publish(bench.now, list.iter());
    assert_eq!(standing(&bench), Standing::Gone);
}

/// What is neither published nor alive is forgotten, so that replaced instances do not pile up.
#[test]
fn dead_and_unpublished_members_are_forgotten() {
    let mut bench = Bench::new(3);
    bench.tell(2, 1, 0, Liveness::Dead);
    bench.pass(30_000, &[1, 3]);
    assert!(bench.membership.get("entry-2").is_some(), "still published");
    let list = [listed(0, State::Live), listed(1, State::Live), listed(3, State::Live)];
    bench.membership.publish(bench.now, list.iter());
    bench.pass(500, &[1, 3]);
    assert!(bench.membership.get("entry-2").is_none());
}

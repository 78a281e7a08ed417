//! One answer, one index version.

use ladder_core::schema::outcome::Reason;

use crate::fleet::Fleet;
use crate::session::{Session, answer, covered, refused, request, works};

/// Version 7 is retired at s2 while a sweep runs and s1 has already answered from it. The sweep
/// starts again on version 8; the part of version 7 is thrown away.
#[test]
fn retired_version_restarts_the_whole() {
    let fleet = Fleet::default().with_version(8, [&[7, 8], &[7, 8], &[7]]);
    let mut session = Session::new(&fleet);
    let old = works(&session.call(request("k1", "sweep", &[])));
    assert!(old.iter().all(|(_, work)| work.version == 7));
    session.reply("e1", covered(&old[0].1, "s1"));
    let fleet = fleet.with_version(9, [&[8], &[8], &[8]]);
    session.give(ladder_core::gather::Event::View(fleet.view()));
    let new = works(&session.reply("e2", refused(&old[1].1, "s2", Reason::VersionRetired)));
    assert!(new.iter().all(|(_, work)| work.version == 8));
    assert_eq!(new.len(), 3);
    session.reply("e3", covered(&old[2].1, "s3"));
    let mut last = Vec::new();
    for (from, work) in &new {
        last = session.reply(from, covered(work, &work.portions[0].service));
    }
    let answer = answer(&last);
    assert_eq!(answer.version, 8);
    assert!(answer.parts.iter().all(|part| part.body.ends_with("@8")));
    assert_eq!(answer.covered.len(), 6);
}

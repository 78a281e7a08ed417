//! Settings that are read again while an instance runs.

use ladder_schema::settings::Level;
use ladder_standin::layout::user::User;
use rustix::process::Signal;

use crate::fleet::call::{BAGMATI, ask};
use crate::fleet::{Fleet, layout, until};

/// An operator writes a settings file anew and sends SIGHUP. Callers would see an instance vanish
/// in the middle of their queries: a process without a handler ends at that signal. It reads the
/// file instead, takes over what may change, and goes on answering.
#[test]
fn hangup_reads_the_settings() {
    let fleet = Fleet::start(layout(User::Bagmati, 2).level(Level::Info));
    fleet.signal(0, Signal::HUP);
    until("the settings are read", || fleet.logged(0, r#""seeds_changed":false"#));
    fleet.edit(0, |settings| settings.seeds = vec!["127.0.0.1:9".to_owned()]);
    fleet.signal(0, Signal::HUP);
    until("other seeds are taken over", || fleet.logged(0, r#""seeds_changed":true"#));
    assert!(fleet.is_ready(0));
    fleet.check(&[ask(&fleet.door(0), BAGMATI.sweep("after-hangup"))]);
}

/// A settings file is changed without a signal, and wrongly. An operator must learn what is wrong
/// with it, and the instance must not fall back to anything but the settings it has.
#[test]
fn unusable_settings_are_refused() {
    let fleet = Fleet::start(layout(User::Bagmati, 2).level(Level::Info));
    fleet.edit(0, |settings| settings.zone = "a zone".to_owned());
    until("the settings are refused", || {
        fleet.logged(0, "settings refused") && fleet.logged(0, "a zone")
    });
    assert!(fleet.is_ready(0));
    fleet.check(&[ask(&fleet.door(0), BAGMATI.sweep("after-refusal"))]);
}

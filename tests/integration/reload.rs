//! Tests of reloading the settings while an instance runs.

use ladder_schema::settings::Level;
use ladder_standin::layout::user::User;
use rustix::process::Signal;

use crate::fleet::call::{BAGMATI, ask};
use crate::fleet::{Fleet, layout, wait_until};

/// Guards against an instance that is terminated by SIGHUP, as a process without a handler is, and
/// aborts its queries. After an operator has changed the settings file and sent SIGHUP, the
/// instance reads the file, applies the settings that may change at run time and continues to
/// answer.
#[test]
fn hangup_reloads_the_settings() {
    let fleet = Fleet::start(layout(User::Bagmati, 2).level(Level::Info));
    fleet.signal(0, Signal::HUP);
    wait_until("the settings are read", || fleet.has_logged(0, r#""seeds_changed":false"#));
    fleet.edit_settings(0, |settings| settings.seeds = vec!["127.0.0.1:9".to_owned()]);
    fleet.signal(0, Signal::HUP);
    wait_until("other seeds are taken over", || fleet.has_logged(0, r#""seeds_changed":true"#));
    assert!(fleet.is_ready(0));
    fleet.check(&[ask(&fleet.caller_address(0), BAGMATI.sweep("after-hangup"))]);
}

/// Guards against an instance that gives up its settings for invalid ones. A settings file is
/// changed to an invalid one without a signal. The instance logs the error for the operator and
/// keeps its old settings.
#[test]
fn invalid_settings_are_refused_and_the_old_ones_kept() {
    let fleet = Fleet::start(layout(User::Bagmati, 2).level(Level::Info));
    fleet.edit_settings(0, |settings| settings.zone = "a zone".to_owned());
    wait_until("the settings are refused", || {
        fleet.has_logged(0, "settings refused") && fleet.has_logged(0, "a zone")
    });
    assert!(fleet.is_ready(0));
    fleet.check(&[ask(&fleet.caller_address(0), BAGMATI.sweep("after-refusal"))]);
}

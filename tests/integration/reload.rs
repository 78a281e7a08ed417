//! Settings files that change while an instance runs.

use ladder_schema::settings::Level;
use ladder_standin::layout::user::User;
use rustix::process::Signal;

use crate::fleet::call::{BAGMATI, send_request};
use crate::fleet::{Fleet, small_layout, wait_until};

/// Guards against SIGHUP ending the process, as it does without a handler, so that callers lose
/// their queries. An operator changes the settings file and sends SIGHUP; the instance must read
/// the file, apply the settings that may change and continue to answer.
#[test]
fn sighup_reloads_settings_and_keeps_serving() {
    let fleet = Fleet::start(small_layout(User::Bagmati, 2).level(Level::Info));
    fleet.signal(0, Signal::HUP);
    wait_until("the settings are read again", || fleet.log_contains(0, r#""seeds_changed":false"#));
    fleet.edit_settings(0, |settings| settings.seeds = vec!["127.0.0.1:9".to_owned()]);
    fleet.signal(0, Signal::HUP);
    wait_until("the changed seeds are applied", || {
        fleet.log_contains(0, r#""seeds_changed":true"#)
    });
    assert!(fleet.is_ready(0));
    fleet.check_exchanges(&[send_request(&fleet.caller_address(0), BAGMATI.sweep("after-hangup"))]);
}

/// Guards against silent acceptance of an invalid settings file that is changed without a signal.
/// The instance must log what is invalid and keep its current settings.
#[test]
fn invalid_settings_change_is_refused_and_logged() {
    let fleet = Fleet::start(small_layout(User::Bagmati, 2).level(Level::Info));
    fleet.edit_settings(0, |settings| settings.zone = "a zone".to_owned());
    wait_until("the settings are refused", || {
        fleet.log_contains(0, "settings refused") && fleet.log_contains(0, "a zone")
    });
    assert!(fleet.is_ready(0));
    fleet
        .check_exchanges(&[send_request(&fleet.caller_address(0), BAGMATI.sweep("after-refusal"))]);
}

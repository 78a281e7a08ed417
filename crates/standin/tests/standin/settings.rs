//! Tests that the error message for invalid settings names the field.

use std::fs;
use std::path::{Path, PathBuf};
use std::process::Command;

use ladder_schema::standin::{Platform, Target, Targets};
use ladder_standin::layout::Layout;
use ladder_standin::layout::user::User;
use ladder_standin::settings::save;

use crate::client::{free_address, small_target};

/// A change that makes valid settings invalid, and the expected error message.
struct InvalidSetting(fn(&mut Targets), &'static str);

const INVALID_SETTINGS: [InvalidSetting; 8] = [
    InvalidSetting(
        |settings| settings.admin_address = "here".to_owned(),
        "admin_address: \"here\" is not an IP number and port such as 127.0.0.1:8000",
    ),
    InvalidSetting(|settings| settings.threads = 65, "threads: 65 is not within 0 to 64"),
    InvalidSetting(|settings| settings.targets.clear(), "targets: is empty; name at least one"),
    InvalidSetting(|settings| settings.targets[0].server = None, "targets[0].server: is missing"),
    InvalidSetting(
        |settings| settings.targets[1].server = settings.targets[0].server.clone(),
        "targets[1].server.name: \"s-1\" stands twice",
    ),
    InvalidSetting(
        |settings| settings.targets[1].straggler_permille = 1001,
        "targets[1].straggler_permille: 1001 is not within 0 to 1000",
    ),
    InvalidSetting(
        |settings| server_mut(&mut settings.targets[1]).slots = 0,
        "targets[1].server.slots: 0 is not within 1 to 10000",
    ),
    InvalidSetting(
        |settings| server_mut(&mut settings.targets[0]).connections = 0,
        "targets[0].server.connections: 0 is not within 1 to 100000",
    ),
];

fn server_mut(target: &mut Target) -> &mut ladder_schema::publication::Server {
    target.server.get_or_insert_default()
}

fn temporary_file(name: &str) -> PathBuf {
    Path::new(env!("CARGO_TARGET_TMPDIR")).join(name)
}

/// Runs a binary with a settings file and returns its exit code and standard error.
fn run_binary(binary: &str, path: &Path) -> (Option<i32>, String) {
    let output = Command::new(binary).arg(path).output().expect("it runs");
    let text = String::from_utf8(output.stderr).expect("text");
    (output.status.code(), text.trim().to_owned())
}

#[test]
fn error_in_targets_settings_names_field() {
    let path = temporary_file("targets.json");
    for InvalidSetting(change, message) in INVALID_SETTINGS {
        let mut settings = Targets {
            targets: vec![small_target("s-1"), small_target("s-2")],
            admin_address: free_address(),
            ..Targets::default()
        };
        change(&mut settings);
        save(&path, &settings).expect("written");
        let (code, text) = run_binary(env!("CARGO_BIN_EXE_standin-target"), &path);
        assert_eq!((code, text.as_str()), (Some(2), message));
    }
}

#[test]
fn error_in_platform_settings_names_field() {
    let path = temporary_file("platform.json");
    let settings = Platform { address: "127.0.0.1".to_owned(), ..Platform::default() };
    save(&path, &settings).expect("written");
    let (code, text) = run_binary(env!("CARGO_BIN_EXE_standin-platform"), &path);
    assert_eq!(code, Some(2));
    assert!(text.starts_with("address: \"127.0.0.1\" is not"), "{text}");

    fs::write(&path, "{\"adress\": \"127.0.0.1:1\"}").expect("written");
    let (code, text) = run_binary(env!("CARGO_BIN_EXE_standin-platform"), &path);
    assert_eq!(code, Some(2));
    assert!(text.contains("adress"), "{text}");
}

#[test]
fn error_in_layout_options_names_field() {
    let too_few = Layout::new(User::Porto).instances(0).plan();
    let text = too_few.expect_err("refused").to_string();
    assert_eq!(text, "instances: 0 is not within 1 to 500");
    let infinite_scale = Layout::new(User::Porto).scale(f64::INFINITY).plan();
    let text = infinite_scale.expect_err("refused").to_string();
    assert_eq!(text, "scale: inf is not within 0.01 to 10");
}

//! Mistakes in settings: the message names the field.

use std::fs;
use std::path::{Path, PathBuf};
use std::process::Command;

use ladder_schema::standin::{Platform, Target, Targets};
use ladder_standin::layout::Layout;
use ladder_standin::layout::user::User;
use ladder_standin::settings::save;

use crate::client::{address, small};

/// A change of sound settings, and the message that it must give.
struct Mistake(fn(&mut Targets), &'static str);

const MISTAKES: [Mistake; 8] = [
    Mistake(
        |settings| settings.admin_address = "here".to_owned(),
        "admin_address: \"here\" is not an IP number and port such as 127.0.0.1:8000",
    ),
    Mistake(|settings| settings.threads = 65, "threads: 65 is not within 0 to 64"),
    Mistake(|settings| settings.targets.clear(), "targets: is empty; name at least one"),
    Mistake(|settings| settings.targets[0].server = None, "targets[0].server: is missing"),
    Mistake(
        |settings| settings.targets[1].server = settings.targets[0].server.clone(),
        "targets[1].server.name: \"s-1\" stands twice",
    ),
    Mistake(
        |settings| settings.targets[1].straggler_permille = 1001,
        "targets[1].straggler_permille: 1001 is not within 0 to 1000",
    ),
    Mistake(
        |settings| server(&mut settings.targets[1]).slots = 0,
        "targets[1].server.slots: 0 is not within 1 to 10000",
    ),
    Mistake(
        |settings| server(&mut settings.targets[0]).connections = 0,
        "targets[0].server.connections: 0 is not within 1 to 100000",
    ),
];

fn server(target: &mut Target) -> &mut ladder_schema::publication::Server {
    target.server.get_or_insert_default()
}

fn scratch(name: &str) -> PathBuf {
    Path::new(env!("CARGO_TARGET_TMPDIR")).join(name)
}

/// Exit code and standard error of a binary.
fn failure(binary: &str, path: &Path) -> (Option<i32>, String) {
    let output = Command::new(binary).arg(path).output().expect("it runs");
    let text = String::from_utf8(output.stderr).expect("text");
    (output.status.code(), text.trim().to_owned())
}

#[test]
fn a_mistake_in_targets_names_its_field() {
    let path = scratch("targets.json");
    for Mistake(change, message) in MISTAKES {
        let mut settings = Targets {
            targets: vec![small("s-1"), small("s-2")],
            admin_address: address(),
            ..Targets::default()
        };
        change(&mut settings);
        save(&path, &settings).expect("written");
        let (code, text) = failure(env!("CARGO_BIN_EXE_standin-target"), &path);
        assert_eq!((code, text.as_str()), (Some(2), message));
    }
}

#[test]
fn a_mistake_in_the_platform_names_its_field() {
    let path = scratch("platform.json");
    let settings = Platform { address: "127.0.0.1".to_owned(), ..Platform::default() };
    save(&path, &settings).expect("written");
    let (code, text) = failure(env!("CARGO_BIN_EXE_standin-platform"), &path);
    assert_eq!(code, Some(2));
    assert!(text.starts_with("address: \"127.0.0.1\" is not"), "{text}");

    fs::write(&path, "{\"adress\": \"127.0.0.1:1\"}").expect("written");
    let (code, text) = failure(env!("CARGO_BIN_EXE_standin-platform"), &path);
    assert_eq!(code, Some(2));
    assert!(text.contains("adress"), "{text}");
}

#[test]
fn a_mistake_in_a_layout_names_its_field() {
    let none = Layout::new(User::Porto).instances(0).plan();
    let text = none.expect_err("refused").to_string();
    assert_eq!(text, "instances: 0 is not within 1 to 500");
    let huge = Layout::new(User::Porto).scale(f64::INFINITY).plan();
    let text = huge.expect_err("refused").to_string();
    assert_eq!(text, "scale: inf is not within 0.01 to 10");
}

//! Settings files: the valid ones load, each invalid one is refused with its message.

use std::fs;
use std::path::{Path, PathBuf};

use ladder_schema::check;
use ladder_schema::publication::Page;
use sycamoreladder::options::file;

/// Files with `extension` below `folder` of the repository.
fn files(folder: &str, extension: &str) -> Vec<PathBuf> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join(folder);
    let entries = fs::read_dir(folder).expect("the folder is there");
    let mut files: Vec<_> = entries
        .map(|entry| entry.expect("readable folder").path())
        .filter(|path| path.extension().is_some_and(|found| found == extension))
        .collect();
    files.sort();
    assert!(!files.is_empty());
    files
}

#[test]
fn valid_settings_load() {
    for folder in ["tests/valid_configs", "sample_configs/porto", "sample_configs/bagmati"] {
        for path in files(folder, "json") {
            if let Err(error) = file::load(&path) {
                panic!("{}: {error}", path.display());
            }
        }
    }
}

#[test]
fn sample_catalogues_would_be_taken_whole() {
    for user in ["porto", "bagmati"] {
        for path in files(&format!("sample_configs/{user}/pages"), "json") {
            let text = fs::read_to_string(&path).expect("readable file");
            let page: Page = serde_json::from_str(&text).expect("a page of records");
            assert!(page.records.len() > 50);
            for record in &page.records {
                assert_eq!(check::record(record), Ok(()), "{}", path.display());
            }
        }
    }
}

#[test]
fn invalid_settings_name_field_value_and_range() {
    for path in files("tests/invalid_configs", "json") {
        let expected = fs::read_to_string(path.with_extension("txt")).expect("expected message");
        let error = file::load(&path).expect_err("an invalid file").to_string();
        assert!(error.contains(expected.trim()), "{}: {error}", path.display());
    }
}

#[test]
fn every_mistake_is_named_at_once() {
    let error = file::parse(r#"{"name": "a b", "timing": {"pauseMs": 1}}"#).expect_err("mistakes");
    let text = error.to_string();
    for field in ["fleet", "name", "zone", "callerAddress", "timing.pauseMs"] {
        assert!(text.contains(&format!("\n  {field}: ")), "{field} is not named in {text}");
    }
}

//! Settings files: valid ones load, and each invalid one is refused with the expected message.

use std::fs;
use std::path::{Path, PathBuf};

use ladder_schema::check;
use ladder_schema::publication::Page;
use sycamoreladder::options::file;

/// Paths of the files with `extension` in `folder` of the repository, sorted.
fn files(folder: &str, extension: &str) -> Vec<PathBuf> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join(folder);
    let entries = fs::read_dir(folder).expect("the folder can be read");
    let mut files: Vec<_> = entries
        .map(|entry| entry.expect("the folder entry can be read").path())
        .filter(|path| path.extension().is_some_and(|file_extension| file_extension == extension))
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
fn sample_catalogues_have_only_valid_records() {
    for user in ["porto", "bagmati"] {
        for path in files(&format!("sample_configs/{user}/pages"), "json") {
            let text = fs::read_to_string(&path).expect("the file can be read");
            let page: Page = serde_json::from_str(&text).expect("the file is a page of records");
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
        let expected = fs::read_to_string(path.with_extension("txt"))
            .expect("the file with the expected message can be read");
        let error = file::load(&path).expect_err("the file is refused").to_string();
        assert!(error.contains(expected.trim()), "{}: {error}", path.display());
    }
}

#[test]
fn all_invalid_fields_are_reported_together() {
    let error = file::parse(r#"{"name": "a b", "timing": {"pauseMs": 1}}"#)
        .expect_err("the settings are refused");
    let text = error.to_string();
    for field in ["fleet", "name", "zone", "callerAddress", "timing.pauseMs"] {
        assert!(text.contains(&format!("\n  {field}: ")), "{field} is not named in {text}");
    }
}

//! The committed generated code is what the schema gives.

use std::fs;
use std::path::Path;

use ladder_codegen::{generate, generated_dir, reference_path, schema_dir, write_reference};

#[test]
fn committed_code_matches_schema() {
    let scratch = Path::new(env!("CARGO_TARGET_TMPDIR")).join("generated");
    generate(&schema_dir(), &scratch).expect("the schema compiles");
    let mut files = 0;
    for file in fs::read_dir(generated_dir()).expect("generated code is committed") {
        let file = file.expect("readable folder");
        let committed = fs::read_to_string(file.path()).expect("readable file");
        let fresh = fs::read_to_string(scratch.join(file.file_name())).expect("generated again");
        assert!(committed == fresh, "{:?} is not what the schema gives", file.file_name());
        files += 1;
    }
    assert_eq!(files, 2 * ladder_codegen::FILES.len());
}

#[test]
fn committed_reference_matches_schema() {
    let scratch = Path::new(env!("CARGO_TARGET_TMPDIR")).join("REFERENCE.md");
    write_reference(&schema_dir(), &scratch).expect("the schema compiles");
    let committed = fs::read_to_string(reference_path()).expect("the page is committed");
    let fresh = fs::read_to_string(scratch).expect("written again");
    assert!(committed == fresh, "docs/REFERENCE.md is not what the schema gives");
}

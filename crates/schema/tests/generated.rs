//! Checks that the committed generated code and reference page match the schema.

use std::fs;
use std::path::Path;

use ladder_codegen::{generate, generated_dir, reference_path, schema_dir, write_reference};

#[test]
fn committed_generated_code_matches_schema() {
    let output = Path::new(env!("CARGO_TARGET_TMPDIR")).join("generated");
    generate(&schema_dir(), &output).expect("the schema compiles");
    let mut compared_files = 0;
    for file in fs::read_dir(generated_dir()).expect("generated code is committed") {
        let file = file.expect("readable folder");
        let committed = fs::read_to_string(file.path()).expect("readable file");
        let regenerated =
            fs::read_to_string(output.join(file.file_name())).expect("generated again");
        assert!(committed == regenerated, "{:?} is not what the schema gives", file.file_name());
        compared_files += 1;
    }
    assert_eq!(compared_files, 2 * ladder_codegen::FILES.len());
}

#[test]
fn committed_reference_page_matches_schema() {
    let output = Path::new(env!("CARGO_TARGET_TMPDIR")).join("REFERENCE.md");
    write_reference(&schema_dir(), &output).expect("the schema compiles");
    let committed = fs::read_to_string(reference_path()).expect("the page is committed");
    let regenerated = fs::read_to_string(output).expect("written again");
    assert!(committed == regenerated, "docs/REFERENCE.md is not what the schema gives");
}

//! `ladder-codegen`: generates the committed code and reference page from the schema.

use ladder_codegen::{generate, generated_dir, reference_path, schema_dir, write_reference};

fn main() -> Result<(), ladder_codegen::Error> {
    generate(&schema_dir(), &generated_dir())?;
    write_reference(&schema_dir(), &reference_path())
}

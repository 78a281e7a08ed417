//! `ladder-codegen`: regenerates the committed code from the schema.

use ladder_codegen::{generate, generated_dir, schema_dir};

fn main() -> Result<(), ladder_codegen::Error> {
    generate(&schema_dir(), &generated_dir())
}

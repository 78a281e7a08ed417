//! Generates the Rust types and the reference page of the Protocol Buffers schema.
//!
//! The generator is run manually (`cargo run -p ladder-codegen`) and its output is committed, so
//! that a build does not need to generate code. A test generates the output again into a temporary
//! folder and compares it with the committed files.

mod reference;

use std::fs;
use std::path::{Path, PathBuf};

use protox::prost_reflect::prost_types::FileDescriptorSet;

/// Paths of the schema files, relative to the schema folder.
pub const FILES: [&str; 9] = [
    "ladder/outcome.proto",
    "ladder/catalogue.proto",
    "ladder/publication.proto",
    "ladder/call.proto",
    "ladder/target.proto",
    "ladder/wire.proto",
    "ladder/settings.proto",
    "ladder/standin.proto",
    "ladder/status.proto",
];

/// Reason why the generation of code failed.
#[derive(Debug)]
#[derive(displaydoc::Display)]
pub enum Error {
    /// schema does not compile: {0}
    Schema(protox::Error),
    /// generated code cannot be written: {0}
    Io(std::io::Error),
}

impl std::error::Error for Error {}

impl From<std::io::Error> for Error {
    fn from(error: std::io::Error) -> Self {
        Self::Io(error)
    }
}

/// Returns the folder of the schema in the repository.
pub fn schema_dir() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../schema")
}

/// Returns the folder of the committed generated code.
pub fn generated_dir() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../schema/src/generated")
}

/// Returns the path of the committed reference page.
pub fn reference_path() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/REFERENCE.md")
}

/// Writes the reference page of settings and records to the file `out`.
///
/// # Errors
///
/// Returns the same errors as [`generate`].
pub fn write_reference(schema: &Path, out: &Path) -> Result<(), Error> {
    let files = FILES.map(|file| schema.join(file));
    let descriptors = compile(schema, &files)?;
    fs::write(out, reference::render_page(&descriptors))?;
    Ok(())
}

/// Compiles the schema files into descriptors that include the comments.
fn compile(schema: &Path, files: &[PathBuf]) -> Result<FileDescriptorSet, Error> {
    let mut compiler = protox::Compiler::new([schema]).map_err(Error::Schema)?;
    compiler.include_source_info(true).include_imports(true);
    compiler.open_files(files).map_err(Error::Schema)?;
    Ok(compiler.file_descriptor_set())
}

/// Generates message types (prost) and their JSON mapping (pbjson) from the folder `schema` into
/// the folder `out`.
///
/// # Errors
///
/// [`Error::Schema`] when the schema does not compile, [`Error::Io`] when `out` cannot be written.
pub fn generate(schema: &Path, out: &Path) -> Result<(), Error> {
    fs::create_dir_all(out)?;
    let files = FILES.map(|file| schema.join(file));
    let descriptors = compile(schema, &files)?;
    let encoded_descriptors = protox::prost::Message::encode_to_vec(&descriptors);
    prost_build::Config::new()
        .bytes(["."])
        .boxed(".ladder.call.Request.message")
        .boxed(".ladder.wire.Work.forward")
        .out_dir(out)
        .compile_fds(descriptors)?;
    pbjson_build::Builder::new()
        .register_descriptors(&encoded_descriptors)?
        .out_dir(out)
        .build(&[".ladder"])?;
    Ok(())
}

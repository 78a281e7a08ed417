//! Generates the Rust types of the schema.
//!
//! It is run by hand (`cargo run -p ladder-codegen`) and its output is committed, so that a build
//! needs no generator. A test regenerates into a scratch folder and compares.

mod reference;

use std::fs;
use std::path::{Path, PathBuf};

use protox::prost_reflect::prost_types::FileDescriptorSet;

/// Schema files, relative to the schema folder.
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

/// Why generation failed.
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

/// Folder of the schema in the repository.
pub fn schema_dir() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../schema")
}

/// Folder of the committed generated code.
pub fn generated_dir() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../schema/src/generated")
}

/// The reference page in the repository.
pub fn reference_path() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/REFERENCE.md")
}

/// Writes the reference of settings and records to `out`.
///
/// # Errors
///
/// As [`generate`].
pub fn write_reference(schema: &Path, out: &Path) -> Result<(), Error> {
    let files = FILES.map(|file| schema.join(file));
    let descriptors = compile(schema, &files)?;
    fs::write(out, reference::page(&descriptors))?;
    Ok(())
}

/// Compiles the schema, comments included.
fn compile(schema: &Path, files: &[PathBuf]) -> Result<FileDescriptorSet, Error> {
    let mut compiler = protox::Compiler::new([schema]).map_err(Error::Schema)?;
    compiler.include_source_info(true).include_imports(true);
    compiler.open_files(files).map_err(Error::Schema)?;
    Ok(compiler.file_descriptor_set())
}

/// Generates messages (prost) and their JSON mapping (pbjson) from `schema` into `out`.
///
/// # Errors
///
/// [`Error::Schema`] when the schema does not compile, [`Error::Io`] when `out` cannot be written.
pub fn generate(schema: &Path, out: &Path) -> Result<(), Error> {
    fs::create_dir_all(out)?;
    let files = FILES.map(|file| schema.join(file));
    let descriptors = compile(schema, &files)?;
    let bytes = protox::prost::Message::encode_to_vec(&descriptors);
    prost_build::Config::new()
        .bytes(["."])
        .boxed(".ladder.call.Request.message")
        .boxed(".ladder.wire.Work.forward")
        .out_dir(out)
        .compile_fds(descriptors)?;
    pbjson_build::Builder::new().register_descriptors(&bytes)?.out_dir(out).build(&[".ladder"])?;
    Ok(())
}

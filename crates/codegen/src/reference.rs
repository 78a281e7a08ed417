//! Generates the reference page of settings and records from the comments in the schema.

use std::fmt::Write;

use protox::prost_reflect::prost_types::field_descriptor_proto::{Label, Type};
use protox::prost_reflect::prost_types::source_code_info::Location;
use protox::prost_reflect::prost_types::{
    DescriptorProto, EnumDescriptorProto, FieldDescriptorProto, FileDescriptorProto,
    FileDescriptorSet,
};

/// Schema files that the reference page describes: those whose values operators write.
const DESCRIBED_FILES: [&str; 3] =
    ["ladder/settings.proto", "ladder/catalogue.proto", "ladder/publication.proto"];

/// Field numbers in the descriptor messages, from which source paths are composed.
mod path {
    pub(super) const MESSAGE: i32 = 4;
    pub(super) const ENUM: i32 = 5;
    pub(super) const FIELD: i32 = 2;
    pub(super) const VALUE: i32 = 2;
}

/// Renders the reference page in Markdown.
pub(crate) fn render_page(descriptors: &FileDescriptorSet) -> String {
    let mut page = String::from(
        "# Reference of settings and records\n\n\
         Generated from `schema/ladder` by `cargo run -p ladder-codegen`. Names are those of the JSON \
         files; unknown fields are refused. A field without a default may be left out only where its \
         text says so.\n",
    );
    for name in DESCRIBED_FILES {
        for file in descriptors.file.iter().filter(|file| file.name() == name) {
            describe_file(&mut page, file);
        }
    }
    page
}

/// Appends the messages and enumerations of one schema file to the page.
fn describe_file(page: &mut String, file: &FileDescriptorProto) {
    let comments = Comments(file);
    for (position, message) in file.message_type.iter().enumerate() {
        describe_message(page, &comments, path_element(position), message);
    }
    for (position, enumeration) in file.enum_type.iter().enumerate() {
        describe_enum(page, &comments, path_element(position), enumeration);
    }
}

/// Appends a table of a message's fields to the page.
fn describe_message(
    page: &mut String,
    comments: &Comments<'_>,
    position: i32,
    message: &DescriptorProto,
) {
    let text = comments.at(&[path::MESSAGE, position]);
    let _ = write!(
        page,
        "\n## {}\n\n{text}\n\n| field | type | meaning |\n|---|---|---|\n",
        message.name()
    );
    for (field_position, field) in message.field.iter().enumerate() {
        let text =
            comments.at(&[path::MESSAGE, position, path::FIELD, path_element(field_position)]);
        let _ = writeln!(page, "| `{}` | {} | {text} |", field.json_name(), type_text(field));
    }
}

/// Appends a table of an enumeration's values to the page.
fn describe_enum(
    page: &mut String,
    comments: &Comments<'_>,
    position: i32,
    enumeration: &EnumDescriptorProto,
) {
    let text = comments.at(&[path::ENUM, position]);
    let _ =
        write!(page, "\n## {}\n\n{text}\n\n| value | meaning |\n|---|---|\n", enumeration.name());
    for (value_position, value) in enumeration.value.iter().enumerate() {
        let text = comments.at(&[path::ENUM, position, path::VALUE, path_element(value_position)]);
        let _ = writeln!(page, "| `{}` | {text} |", value.name());
    }
}

/// Converts a position in a list to an element of a source path.
fn path_element(position: usize) -> i32 {
    i32::try_from(position).unwrap_or(i32::MAX)
}

/// Returns the type of a field as it appears in the reference page.
fn type_text(field: &FieldDescriptorProto) -> String {
    let type_name = match field.r#type() {
        Type::String => "text".to_owned(),
        Type::Bool => "true or false".to_owned(),
        Type::Uint32 | Type::Uint64 => "number".to_owned(),
        Type::Message | Type::Enum => {
            let name = field.type_name().rsplit('.').next().unwrap_or_default();
            format!("[{name}](#{})", name.to_lowercase())
        }
        other => format!("{other:?}").to_lowercase(),
    };
    if field.label() == Label::Repeated { format!("list of {type_name}") } else { type_name }
}

/// Access to the comments of one schema file.
struct Comments<'a>(&'a FileDescriptorProto);

impl Comments<'_> {
    /// Returns the comment before the schema element at the source path `path`, as one line.
    fn at(&self, path: &[i32]) -> String {
        let locations = self.0.source_code_info.iter().flat_map(|info| &info.location);
        let found =
            locations.filter(|location| location.path == path).map(Location::leading_comments);
        let text: Vec<_> = found.flat_map(str::split_whitespace).collect();
        text.join(" ")
    }
}

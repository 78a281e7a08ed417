//! The reference of settings and catalogue, written from the schema's comments.

use std::fmt::Write;

use protox::prost_reflect::prost_types::field_descriptor_proto::{Label, Type};
use protox::prost_reflect::prost_types::source_code_info::Location;
use protox::prost_reflect::prost_types::{
    DescriptorProto, EnumDescriptorProto, FieldDescriptorProto, FileDescriptorProto,
    FileDescriptorSet,
};

/// Schema files that operators write values of.
const SHOWN: [&str; 3] =
    ["ladder/settings.proto", "ladder/catalogue.proto", "ladder/publication.proto"];

/// Field numbers of the descriptor messages that source paths are made of.
mod path {
    pub(super) const MESSAGE: i32 = 4;
    pub(super) const ENUM: i32 = 5;
    pub(super) const FIELD: i32 = 2;
    pub(super) const VALUE: i32 = 2;
}

/// The page, in Markdown.
pub(crate) fn page(descriptors: &FileDescriptorSet) -> String {
    let mut page = String::from(
        "# Reference of settings and records\n\n\
         Generated from `schema/ladder` by `cargo run -p ladder-codegen`. Names are those of the JSON \
         files; unknown fields are refused. A field without a default may be left out only where its \
         text says so.\n",
    );
    for name in SHOWN {
        for file in descriptors.file.iter().filter(|file| file.name() == name) {
            describe_file(&mut page, file);
        }
    }
    page
}

/// Messages and enumerations of one file.
fn describe_file(page: &mut String, file: &FileDescriptorProto) {
    let comments = Comments(file);
    for (position, message) in file.message_type.iter().enumerate() {
        describe_message(page, &comments, index(position), message);
    }
    for (position, choice) in file.enum_type.iter().enumerate() {
        describe_enum(page, &comments, index(position), choice);
    }
}

/// A table of a message's fields.
fn describe_message(page: &mut String, comments: &Comments<'_>, at: i32, of: &DescriptorProto) {
    let text = comments.at(&[path::MESSAGE, at]);
    let _ =
        write!(page, "\n## {}\n\n{text}\n\n| field | type | meaning |\n|---|---|---|\n", of.name());
    for (position, field) in of.field.iter().enumerate() {
        let text = comments.at(&[path::MESSAGE, at, path::FIELD, index(position)]);
        let _ = writeln!(page, "| `{}` | {} | {text} |", field.json_name(), kind(field));
    }
}

/// A table of an enumeration's values.
fn describe_enum(page: &mut String, comments: &Comments<'_>, at: i32, of: &EnumDescriptorProto) {
    let text = comments.at(&[path::ENUM, at]);
    let _ = write!(page, "\n## {}\n\n{text}\n\n| value | meaning |\n|---|---|\n", of.name());
    for (position, value) in of.value.iter().enumerate() {
        let text = comments.at(&[path::ENUM, at, path::VALUE, index(position)]);
        let _ = writeln!(page, "| `{}` | {text} |", value.name());
    }
}

/// A position as a part of a source path.
fn index(position: usize) -> i32 {
    i32::try_from(position).unwrap_or(i32::MAX)
}

/// The type of a field in words.
fn kind(field: &FieldDescriptorProto) -> String {
    let one = match field.r#type() {
        Type::String => "text".to_owned(),
        Type::Bool => "true or false".to_owned(),
        Type::Uint32 | Type::Uint64 => "number".to_owned(),
        Type::Message | Type::Enum => {
            let name = field.type_name().rsplit('.').next().unwrap_or_default();
            format!("[{name}](#{})", name.to_lowercase())
        }
        other => format!("{other:?}").to_lowercase(),
    };
    if field.label() == Label::Repeated { format!("list of {one}") } else { one }
}

/// Comments of one schema file.
struct Comments<'a>(&'a FileDescriptorProto);

impl Comments<'_> {
    /// The comment before the element at `path`, as one line.
    fn at(&self, path: &[i32]) -> String {
        let locations = self.0.source_code_info.iter().flat_map(|info| &info.location);
        let found =
            locations.filter(|location| location.path == path).map(Location::leading_comments);
        let text: Vec<_> = found.flat_map(str::split_whitespace).collect();
        text.join(" ")
    }
}

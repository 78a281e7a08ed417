//! Validation of published records.
//!
//! A record that fails is refused alone; the message names the field, the value and what is
//! allowed, so that an operator can mend it without reading code.

mod record;

use displaydoc::Display;

pub use record::record;

/// Why a record is refused.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Display)]
pub enum Error {
    /// {field}: is missing
    Missing {
        /// Path of the field.
        field: String,
    },
    /// {field}: {value} is outside {low} to {high}
    Range {
        /// Path of the field.
        field: String,
        /// What it holds.
        value: u64,
        /// Lowest allowed value.
        low: u64,
        /// Highest allowed value.
        high: u64,
    },
    /// {field}: "{value}" is not {allowed}
    Text {
        /// Path of the field.
        field: String,
        /// What it holds, shortened.
        value: String,
        /// What is allowed.
        allowed: &'static str,
    },
    /// {field}: {value} is not one of {allowed}
    Choice {
        /// Path of the field.
        field: String,
        /// The number it holds.
        value: i32,
        /// Names of the allowed values.
        allowed: &'static str,
    },
    /// {field}: "{value}" stands twice
    Duplicate {
        /// Path of the list.
        field: String,
        /// The repeated value.
        value: String,
    },
}

impl std::error::Error for Error {}

//! Validation of published records.
//!
//! Each record is checked separately: an invalid record does not affect the others. The error
//! message names the field, its value and the allowed values, so that an operator can correct the
//! record without reading the code.

mod record;

use displaydoc::Display;

pub use record::record;

/// Reason why a published record is invalid.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Display)]
pub enum Error {
    /// {field}: is missing
    Missing {
        /// Path of the invalid field, such as `server.holdings[0].index`.
        field: String,
    },
    /// {field}: {value} is outside {low} to {high}
    Range {
        /// Path of the invalid field, such as `server.holdings[0].index`.
        field: String,
        /// Value of the field.
        value: u64,
        /// Lowest allowed value.
        low: u64,
        /// Highest allowed value.
        high: u64,
    },
    /// {field}: "{value}" is not {allowed}
    Text {
        /// Path of the invalid field, such as `server.holdings[0].index`.
        field: String,
        /// Value of the field, truncated.
        value: String,
        /// Description of the allowed values, as it appears in the message.
        allowed: &'static str,
    },
    /// {field}: {value} is not one of {allowed}
    Choice {
        /// Path of the invalid field, such as `server.holdings[0].index`.
        field: String,
        /// Number in the enumeration field.
        value: i32,
        /// Names of the allowed enumeration values, as they appear in the message.
        allowed: &'static str,
    },
    /// {field}: "{value}" stands twice
    Duplicate {
        /// Path of the list that contains a value more than once.
        field: String,
        /// Value that occurs more than once, truncated.
        value: String,
    },
    /// {field}: cannot be read: {defect}
    Unreadable {
        /// Name of the record.
        field: String,
        /// What the decoder reported, truncated.
        defect: String,
    },
    /// record: has {bytes} bytes, at most {limit}
    TooLarge {
        /// Size of the record in bytes.
        bytes: usize,
        /// Largest allowed size in bytes.
        limit: usize,
    },
}

impl Error {
    /// Name of the reason in metrics.
    pub const fn reason(&self) -> &'static str {
        match self {
            Self::Missing { .. } => "missing",
            Self::Range { .. } => "range",
            Self::Text { .. } => "text",
            Self::Choice { .. } => "choice",
            Self::Duplicate { .. } => "duplicate",
            Self::Unreadable { .. } => "unreadable",
            Self::TooLarge { .. } => "too_large",
        }
    }
}

impl std::error::Error for Error {}

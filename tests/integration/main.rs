//! Tests of the processes and of what joins them.

mod lanes;
mod settings;

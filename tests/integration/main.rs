//! Tests of the processes and of what joins them.

mod lanes;
mod catalogue;
mod fleet;
mod leaving;
mod partition;
mod path;
mod pause;
mod settings;
mod stop;
mod vanish;
mod version;

//! Tests of the processes and of what joins them.

mod catalogue;
mod crash;
mod decoders;
mod fleet;
mod lanes;
mod leaving;
mod link;
mod partition;
mod path;
mod pause;
mod reload;
mod settings;
mod stop;
mod story;
mod twofold;
mod vanish;
mod version;

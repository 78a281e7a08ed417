//! Integration tests of the processes and their interfaces to each other.

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

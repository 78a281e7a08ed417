//! Integration tests: real processes of the platform, targets and instances, and the code that
//! connects them.

mod catalogue;
mod connections;
mod crash;
mod decoders;
mod fleet;
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

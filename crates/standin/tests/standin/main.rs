//! Tests of the stand-ins through their sockets and files.

mod client;
mod connections;
mod faults;
mod layout;
mod platform;
mod requests;
mod settings;

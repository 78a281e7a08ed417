//! Integration tests of the stand-ins over their sockets and settings files.

mod client;
mod connections;
mod faults;
mod layout;
mod platform;
mod requests;
mod settings;

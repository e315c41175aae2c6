//! Emulators of the systems around limpetdeck, and tools that measure it.

pub mod account;
pub mod arguments;
pub mod caller;
pub mod emulator;
pub mod fabric;
pub mod fuzz;
pub mod limit;
pub mod measure;
pub mod place;
pub mod platform;
pub mod protocol;
pub mod report;
pub mod result;
pub mod slopes;
pub mod soak;
pub mod stack;
pub mod target;

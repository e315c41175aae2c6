//! Stand-ins for what surrounds limpetdeck, and tools that measure it.

pub mod arguments;
pub mod caller;
pub mod fabric;
pub mod measure;
pub mod platform;
pub mod protocol;
pub mod report;
pub mod result;
pub mod slopes;
pub mod stack;
pub mod target;

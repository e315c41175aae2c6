//! Load balancer daemon; each instance is one process of it.

use std::process::ExitCode;

fn main() -> ExitCode {
    limpetdeck::entry::main(std::env::args_os().skip(1).collect())
}

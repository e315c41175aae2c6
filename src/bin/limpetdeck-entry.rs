//! The daemon that every instance runs.

use std::process::ExitCode;

fn main() -> ExitCode {
    limpetdeck::entry::main(std::env::args_os().skip(1).collect())
}

//! Command-line tool for operators.

use std::process::ExitCode;

fn main() -> ExitCode {
    limpetdeck::ctl::main(std::env::args_os().skip(1).collect())
}

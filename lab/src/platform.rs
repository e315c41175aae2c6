//! Emulated object API of the platform.

mod server;
mod store;

pub use server::{FaultMode, Faults};
pub use store::{PutError, Store};

use std::net::SocketAddr;
use std::process::ExitCode;

use crate::arguments::{Args, CommandError, Outcome, run_emulator};

/// Text for `platform --help`.
const HELP: &str = "\
limpetdeck-lab platform: emulates the platform's object API

  --listen IP:PORT   TCP address (repeatable)

POST /faults?mode=MODE sets the fault mode, until the next such request:
  none         responds at once
  down         executes nothing; ends each call after 30 s with status 504
  slow         responds after 2 s
  lose-answer  executes writes, but ends them after 30 s with status 504
  stale        responds to reads with the state at the time of this request
";

/// Runs the platform until a signal stops it.
///
/// # Errors
///
/// Fails if an argument is invalid or an address cannot be bound.
pub fn main(mut args: Args) -> Outcome {
    if args.flag("--help") {
        print!("{HELP}");
        return Ok(ExitCode::SUCCESS);
    }
    let listen: Vec<SocketAddr> = args.values("--listen")?;
    args.finish()?;
    if listen.is_empty() {
        return Err(CommandError::new("--listen is missing"));
    }
    run_emulator(|ex| server::run(ex, listen)).map_err(CommandError::new)?;
    Ok(ExitCode::SUCCESS)
}

//! Stand-in for the platform's object API.

mod server;
mod store;

pub use server::{FaultMode, Faults};
pub use store::{PutError, Store};

use std::net::SocketAddr;
use std::process::ExitCode;

use crate::arguments::{Args, Outcome, Usage, run_local};

/// Text for `platform --help`.
const HELP: &str = "\
limpetdeck-lab platform: stand-in for the platform's object API

  --listen IP:PORT   TCP address (may stand several times)

POST /faults?mode=MODE makes it misbehave until the next one:
  none         answers at once
  down         closes each call without an answer
  slow         answers after 2 s
  lose-answer  executes writes and closes the call without an answer
  stale        answers reads with the state of when the fault began
";

/// Runs the platform until it is told to stop.
///
/// # Errors
///
/// Fails on wrong arguments or if an address cannot be used.
pub fn main(mut args: Args) -> Outcome {
    if args.flag("--help") {
        print!("{HELP}");
        return Ok(ExitCode::SUCCESS);
    }
    let listen: Vec<SocketAddr> = args.values("--listen")?;
    args.finish()?;
    if listen.is_empty() {
        return Err(Usage::new("--listen is missing"));
    }
    run_local(|ex| server::run(ex, listen)).map_err(Usage::new)?;
    Ok(ExitCode::SUCCESS)
}

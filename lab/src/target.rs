//! Emulated targets with a full TCP stack, slots, states and a journal of executed sales.

mod connection;
mod control;
mod journal;
mod process;
mod server;

pub use server::TargetServer;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use crate::arguments::{Args, CommandError, Outcome, run_emulator};

/// Text for `target --help`.
const HELP: &str = "\
limpetdeck-lab target: emulates all targets of a services file in one process

  --listen IP:PORT     UDP address on which packets are received
  --fabric IP:PORT     UDP address of the fabric
  --control IP:PORT    TCP address of the HTTP API for states and load reports
  --services FILE      services in TOML
  --journal FILE       file for the executed sales, one line each
  --work-ms N          time for which a sale uses a slot (default 20)
  --feed-ms N          time between two lines of a feed (default 500)
  --seed N             seed of TCP sequence numbers (default 1)

GET  /report?target=ID                      state, slots used, sales waiting, open flows
POST /set?target=ID&state=STATE             serving, cold, draining, shedding or dead
POST /set?target=ID&report=honest|frozen|idle   whether the load report is correct, repeats its
                                                last values, or shows no load
";

/// Arguments of the command.
#[derive(Debug)]
struct TargetConfig {
    listen: SocketAddr,
    fabric: SocketAddr,
    control: SocketAddr,
    services: PathBuf,
    journal: PathBuf,
    work_ms: u64,
    feed_ms: u64,
    seed: u64,
}

/// Runs all targets until a signal stops them.
///
/// # Errors
///
/// Fails if an argument is invalid, an address cannot be bound, or a file cannot be read or
/// written.
pub fn main(mut args: Args) -> Outcome {
    if args.flag("--help") {
        print!("{HELP}");
        return Ok(ExitCode::SUCCESS);
    }
    let cfg = TargetConfig {
        listen: args.value("--listen")?,
        fabric: args.value("--fabric")?,
        control: args.value("--control")?,
        services: args.value("--services")?,
        journal: args.value("--journal")?,
        work_ms: args.value_or("--work-ms", 20)?,
        feed_ms: args.value_or("--feed-ms", 500)?,
        seed: args.value_or("--seed", 1)?,
    };
    args.finish()?;
    run_emulator(|ex| process::run(ex, cfg)).map_err(CommandError::new)?;
    Ok(ExitCode::SUCCESS)
}

//! Stand-in for targets: a real TCP stack, slots, states, and a journal of executed work.

mod connection;
mod control;
mod journal;
mod process;
mod server;

pub use server::TargetServer;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use crate::arguments::{Args, Outcome, Usage, run_local};

/// Text for `target --help`.
const HELP: &str = "\
limpetdeck-lab target: all targets of the services of a file, in one process

  --listen IP:PORT     UDP address for packets
  --fabric IP:PORT     UDP address of the fabric
  --control IP:PORT    TCP address for states and load reports
  --services FILE      services in TOML
  --journal FILE       executed work, one line each
  --work-ms N          time that a sale takes in its slot (default 20)
  --feed-ms N          time between two lines of a feed (default 500)
  --seed N             seed of sequence numbers (default 1)

GET  /report?target=ID                      load report: state, slots used, open flows
POST /set?target=ID&state=STATE             serving, cold, draining, shedding or dead
POST /set?target=ID&report=honest|frozen|idle   how the load report answers
";

/// What the command line says.
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

/// Runs targets until they are told to stop.
///
/// # Errors
///
/// Fails on wrong arguments or if an address cannot be used.
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
    run_local(|ex| process::run(ex, cfg)).map_err(Usage::new)?;
    Ok(ExitCode::SUCCESS)
}

//! Emulated caller: keeps feeds open and sends sales over a full TCP stack.

mod feed;
mod process;
mod sale;
mod tally;

pub use tally::Tally;

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::path::PathBuf;
use std::process::ExitCode;

use crate::arguments::{Args, CommandError, Outcome, run_emulator};

/// Text for `caller --help`.
const HELP: &str = "\
limpetdeck-lab caller: keeps feeds open and sends sales to one service

  --listen IP:PORT         UDP address on which packets are received
  --fabric IP:PORT         UDP address of the fabric
  --address IP             IPv4 address of the caller
  --service IP:PORT        address of the service
  --service-id N           ID of the service, to detect responses of another one
  --feeds N                number of feeds (default 20)
  --sales-per-second N     rate of sales (default 20)
  --seconds N              time for which sales are sent (default 10)
  --journal FILE           file for the outcome of each sale, one line each, and
                           the totals
  --first-id N             ID of the first feed or sale (default 1)
  --seed N                 seed of TCP sequence numbers (default 1)

It exits when all sales have ended, or 15 s after the end of --seconds.
";

/// Arguments of the command.
#[derive(Debug)]
struct CallerConfig {
    listen: SocketAddr,
    fabric: SocketAddr,
    address: Ipv4Addr,
    service: SocketAddrV4,
    service_id: u32,
    feeds: u64,
    sales_per_second: u32,
    seconds: u64,
    journal: PathBuf,
    first_id: u64,
    seed: u64,
}

/// Runs a caller until its sales have ended, and prints its tally.
///
/// # Errors
///
/// Fails if an argument is invalid, an address cannot be bound or the journal cannot be
/// written.
pub fn main(mut args: Args) -> Outcome {
    if args.flag("--help") {
        print!("{HELP}");
        return Ok(ExitCode::SUCCESS);
    }
    let cfg = CallerConfig {
        listen: args.value("--listen")?,
        fabric: args.value("--fabric")?,
        address: args.value("--address")?,
        service: args.value("--service")?,
        service_id: args.value("--service-id")?,
        feeds: args.value_or("--feeds", 20)?,
        sales_per_second: args.value_or("--sales-per-second", 20)?,
        seconds: args.value_or("--seconds", 10)?,
        journal: args.value("--journal")?,
        first_id: args.value_or("--first-id", 1)?,
        seed: args.value_or("--seed", 1)?,
    };
    args.finish()?;
    let tally = run_emulator(|_| process::run(cfg)).map_err(CommandError::new)?;
    println!("{tally}");
    Ok(ExitCode::SUCCESS)
}

//! Stand-in for callers: a real TCP stack that holds feeds and sends sales.

mod feed;
mod process;
mod sale;
mod tally;

pub use tally::Tally;

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::path::PathBuf;
use std::process::ExitCode;

use crate::arguments::{Args, Outcome, Usage, run_local};

/// Text for `caller --help`.
const HELP: &str = "\
limpetdeck-lab caller: holds feeds and sends sales to one service

  --listen IP:PORT         UDP address for packets
  --fabric IP:PORT         UDP address of the fabric
  --address IP             IPv4 number of the caller
  --service IP:PORT        address of the service
  --service-id N           number of the service, to notice answers of another one
  --feeds N                feeds that stay open (default 20)
  --sales-per-second N     sales that are sent (default 20)
  --seconds N              time after which no sale is sent any more (default 10)
  --journal FILE           what became of each sale and feed, one line each
  --first-id N             number of the first piece of work (default 1)
  --seed N                 seed of sequence numbers (default 1)

It ends when all sales have ended, or 15 s after the last one was sent.
";

/// What the command line says.
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

/// Runs a caller until its work is done.
///
/// # Errors
///
/// Fails on wrong arguments or if an address cannot be used.
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
    let tally = run_local(|_| process::run(cfg)).map_err(Usage::new)?;
    println!("{tally}");
    Ok(ExitCode::SUCCESS)
}

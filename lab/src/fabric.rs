//! Stand-in for the fabric: hands any packet to any instance.

mod faults;
mod health;
mod routes;
mod server;

pub use faults::FabricFaults;
pub use routes::{Destination, Routes};

use std::net::SocketAddr;
use std::process::ExitCode;

use crate::arguments::{Args, Outcome, Pair, Prefix, Usage, run_local};

/// Text for `fabric --help`.
const HELP: &str = "\
limpetdeck-lab fabric: sprays packets over the instances

  --listen IP:PORT            UDP address for packets
  --control IP:PORT           TCP address for faults
  --entry HEALTH=IP:PORT      health address and packet address of an instance (several)
  --caller PREFIX=IP:PORT     where the callers of a prefix are (several)
  --target PREFIX=IP:PORT     where the targets of a prefix are (several)
  --relay IP:PORT=IP:PORT     a UDP address that passes peer messages on (several)
  --seed N                    seed of the spray (default 1)

POST /faults?drop=P&duplicate=P&delay=P&delay_ms=N&reorder=P with P from 0 to 1
POST /cut?a=IP:PORT,...&b=IP:PORT,...   no datagrams between the two groups of relays' senders
POST /heal                              ends all cuts
";

/// What the command line says.
#[derive(Debug)]
struct FabricConfig {
    listen: SocketAddr,
    control: SocketAddr,
    entries: Vec<Pair<SocketAddr>>,
    callers: Vec<Pair<Prefix>>,
    targets: Vec<Pair<Prefix>>,
    relays: Vec<Pair<SocketAddr>>,
    seed: u64,
}

/// Runs the fabric until it is told to stop.
///
/// # Errors
///
/// Fails on wrong arguments or if an address cannot be used.
pub fn main(mut args: Args) -> Outcome {
    if args.flag("--help") {
        print!("{HELP}");
        return Ok(ExitCode::SUCCESS);
    }
    let cfg = FabricConfig {
        listen: args.value("--listen")?,
        control: args.value("--control")?,
        entries: args.values("--entry")?,
        callers: args.values("--caller")?,
        targets: args.values("--target")?,
        relays: args.values("--relay")?,
        seed: args.value_or("--seed", 1)?,
    };
    args.finish()?;
    run_local(|ex| server::run(ex, cfg)).map_err(Usage::new)?;
    Ok(ExitCode::SUCCESS)
}

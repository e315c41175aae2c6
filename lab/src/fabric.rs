//! Emulated fabric: may deliver any packet of a flow to any instance.

mod faults;
mod health;
mod routes;
mod server;

pub use faults::FabricFaults;
pub use routes::{NextHop, Routes};

use std::net::SocketAddr;
use std::process::ExitCode;

use crate::arguments::{AddressMapping, Args, CommandError, Ipv4Prefix, Outcome, run_emulator};

/// Text for `fabric --help`.
const HELP: &str = "\
limpetdeck-lab fabric: sends each packet for a service to a random healthy instance

  --listen IP:PORT            UDP address on which packets are received
  --control IP:PORT           TCP address of the HTTP API for faults
  --entry HEALTH=IP:PORT      health and packet addresses of an instance (repeatable)
  --caller PREFIX=IP:PORT     address of the callers of a prefix (repeatable)
  --target PREFIX=IP:PORT     address of the targets of a prefix (repeatable)
  --relay IP:PORT=IP:PORT     UDP address that relays peer messages to an instance (repeatable)
  --seed N                    seed of the random choices (default 1)

POST /faults?drop=P&duplicate=P&delay=P&delay_ms=N&reorder=P with P from 0 to 1;
    probabilities that are not given become 0
POST /cut?a=IP:PORT,...&b=IP:PORT,...   drops messages relayed between two groups of
                                        peer addresses
POST /heal                              ends all partitions
";

/// Arguments of the command.
#[derive(Debug)]
struct FabricConfig {
    listen: SocketAddr,
    control: SocketAddr,
    entries: Vec<AddressMapping<SocketAddr>>,
    callers: Vec<AddressMapping<Ipv4Prefix>>,
    targets: Vec<AddressMapping<Ipv4Prefix>>,
    relays: Vec<AddressMapping<SocketAddr>>,
    seed: u64,
}

/// Runs the fabric until a signal stops it.
///
/// # Errors
///
/// Fails if an argument is invalid or an address cannot be bound.
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
    run_emulator(|ex| server::run(ex, cfg)).map_err(CommandError::new)?;
    Ok(ExitCode::SUCCESS)
}

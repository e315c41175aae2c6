//! Command line of the emulators and measurement tools of limpetdeck.

use std::process::ExitCode;

use limpetdeck_lab::arguments::{Args, CommandError};
use limpetdeck_lab::{
    account, caller, fabric, fuzz, limit, measure, place, platform, report, result, slopes, soak,
    target,
};

/// Text for `--help`.
const HELP: &str = "\
limpetdeck-lab: emulators and measurement tools

usage: limpetdeck-lab COMMAND [arguments]

  platform   emulated object API with versions, conditional updates, watches and faults
  fabric     sends packets to random instances; can drop, delay and duplicate them,
             and partition the instances
  target     TCP targets that execute sales and feeds and write a journal
  caller     TCP caller that keeps feeds open and sends sales
  result     compares the journals of callers and targets
  measure    simulates the instances under load and faults, in virtual time
  slopes     prints how run time and state grow with the size of a deployment
  fuzz       decodes damaged input, which must neither cause a panic nor be accepted
             as intact
  place      compares target selection policies under load, in virtual time
  soak       runs real instances under injected faults and checks the promises
  account    says from the bench's reports where the credit of a day was lost
  limit      computes the best possible result of a burst of requests
  report     measures policies under faults in each deployment, and writes a page

  COMMAND --help    arguments of a command
  --version         print the version
";

fn main() -> ExitCode {
    let mut args = Args::from_env();
    let outcome = match args.command().as_deref() {
        Some("platform") => platform::main(args),
        Some("fabric") => fabric::main(args),
        Some("target") => target::main(args),
        Some("caller") => caller::main(args),
        Some("result") => result::main(args),
        Some("measure") => measure::main(args),
        Some("slopes") => slopes::main(args),
        Some("fuzz") => fuzz::main(args),
        Some("place") => place::main(args),
        Some("soak") => soak::main(args),
        Some("account") => account::main(args),
        Some("limit") => limit::main(args),
        Some("report") => report::main(args),
        _ if args.flag("--version") => {
            println!("limpetdeck-lab {}", env!("CARGO_PKG_VERSION"));
            Ok(ExitCode::SUCCESS)
        }
        _ if args.flag("--help") => {
            print!("{HELP}");
            Ok(ExitCode::SUCCESS)
        }
        _ => Err(CommandError::new("missing or unknown command")),
    };
    outcome.unwrap_or_else(|e| e.print_with_help(HELP))
}

//! The stand-ins and measuring tools of limpetdeck.

use std::process::ExitCode;

use limpetdeck_lab::arguments::{Args, Usage};
use limpetdeck_lab::{
    caller, fabric, fuzz, measure, place, platform, report, result, slopes, soak, target,
};

/// Text for `--help`.
const HELP: &str = "\
limpetdeck-lab: stand-ins and measuring tools

usage: limpetdeck-lab COMMAND [arguments]

  platform   object API with versions, conditional updates, watches and faults
  fabric     sprays packets over the instances; can drop, delay, duplicate and cut
  target     TCP targets that execute work and keep a journal
  caller     TCP callers that hold feeds and send sales
  result     compares the journals of callers and targets
  measure    steps the decision parts under load and faults, in virtual time
  slopes     prints how cost and state grow with the size
  fuzz       reads damaged input, which must neither panic nor pass for whole
  place      compares ways to choose targets under load, in virtual time
  soak       runs instances under faults from outside, and checks the promises
  report     measures policies, faults and deployments, and writes a page

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
        Some("report") => report::main(args),
        _ if args.flag("--version") => {
            println!("limpetdeck-lab {}", env!("CARGO_PKG_VERSION"));
            Ok(ExitCode::SUCCESS)
        }
        _ if args.flag("--help") => {
            print!("{HELP}");
            Ok(ExitCode::SUCCESS)
        }
        _ => Err(Usage::new("a command is missing or not known")),
    };
    outcome.unwrap_or_else(|usage| usage.report(HELP))
}

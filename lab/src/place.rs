//! Compares ways to choose targets: the same arrivals for each, in virtual time.

mod pattern;
mod policy;
mod rig;

use std::process::ExitCode;

use crate::arguments::{Args, Outcome, Usage};

pub use pattern::Pattern;
pub use policy::Policy;
pub use rig::{Figures, run};

/// Text for `--help`.
const HELP: &str = "\
usage: limpetdeck-lab place --seed N [--pattern NAME] [--policy NAME]

  --seed N        the arrivals follow from it
  --pattern NAME  steady, herd, burst, cold, slow or uneven; all if not given
  --policy NAME   random, round-robin, two-choices, least-local, least-shared, home-first
                  (the product's) or ideal; all if not given
";

/// Runs the command.
pub fn main(mut args: Args) -> Outcome {
    if args.flag("--help") {
        print!("{HELP}");
        return Ok(ExitCode::SUCCESS);
    }
    let (seed, pattern, policy) = match parse(args) {
        Ok(parsed) => parsed,
        Err(usage) => return Ok(usage.report(HELP)),
    };
    println!("seed={seed}");
    let patterns = Pattern::ALL.iter().filter(|p| pattern.is_empty() || p.name() == pattern);
    for &pattern in patterns {
        for &policy in Policy::ALL.iter().filter(|p| policy.is_empty() || p.name() == policy) {
            let (at, by) = (pattern.name(), policy.name());
            println!("pattern={at} policy={by} {}", run(seed, pattern, policy));
        }
    }
    Ok(ExitCode::SUCCESS)
}

fn parse(mut args: Args) -> Result<(u64, String, String), Usage> {
    let seed = args.value("--seed")?;
    let pattern: String = args.value_or("--pattern", String::new())?;
    let policy: String = args.value_or("--policy", String::new())?;
    args.finish()?;
    let known = pattern.is_empty() || Pattern::ALL.iter().any(|p| p.name() == pattern);
    if !known || !(policy.is_empty() || Policy::ALL.iter().any(|p| p.name() == policy)) {
        return Err(Usage::new("the pattern or the policy is not known"));
    }
    Ok((seed, pattern, policy))
}

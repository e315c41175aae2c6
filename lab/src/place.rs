//! Compares target selection policies under the same arrivals, in virtual time.

mod pattern;
mod policy;
mod simulation;

use std::process::ExitCode;

use crate::arguments::{Args, CommandError, Outcome};

pub use pattern::Pattern;
pub use policy::Policy;
pub use simulation::{RunResult, run};

/// Text for `place --help`.
const HELP: &str = "\
usage: limpetdeck-lab place --seed N [--instances N] [--pattern NAME] [--policy NAME]

  --seed N        seed of the arrivals
  --instances N   instances in three failure domains (default 15)
  --pattern NAME  steady, herd, burst, cold, slow, uneven or lean (default all)
  --policy NAME   random, round-robin, two-choices, least-local, least-shared, home-first
                  (the product's) or ideal (default all)
";

/// Runs the command.
pub fn main(mut args: Args) -> Outcome {
    if args.flag("--help") {
        print!("{HELP}");
        return Ok(ExitCode::SUCCESS);
    }
    let (seed, instances, pattern, policy) = match parse_arguments(args) {
        Ok(parsed) => parsed,
        Err(e) => return Ok(e.print_with_help(HELP)),
    };
    println!("seed={seed} instances={instances}");
    let patterns = Pattern::ALL.iter().filter(|p| pattern.is_empty() || p.name() == pattern);
    for &pattern in patterns {
        for &policy in Policy::ALL.iter().filter(|p| policy.is_empty() || p.name() == policy) {
            let (pattern_name, policy_name) = (pattern.name(), policy.name());
            println!(
                "pattern={pattern_name} policy={policy_name} {}",
                run(seed, instances, pattern, policy)
            );
        }
    }
    Ok(ExitCode::SUCCESS)
}

fn parse_arguments(mut args: Args) -> Result<(u64, usize, String, String), CommandError> {
    let seed = args.value("--seed")?;
    let instances: usize = args.value_or("--instances", 15)?;
    let pattern: String = args.value_or("--pattern", String::new())?;
    let policy: String = args.value_or("--policy", String::new())?;
    args.finish()?;
    let pattern_known = pattern.is_empty() || Pattern::ALL.iter().any(|p| p.name() == pattern);
    if !pattern_known || !(policy.is_empty() || Policy::ALL.iter().any(|p| p.name() == policy)) {
        return Err(CommandError::new("unknown pattern or policy"));
    }
    if !(3..=3_000).contains(&instances) {
        return Err(CommandError::new("--instances is not from 3 to 3000"));
    }
    Ok((seed, instances, pattern, policy))
}

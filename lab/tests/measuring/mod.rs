//! Short runs of the measuring driver.

use limpetdeck_lab::arguments::Args;
use limpetdeck_lab::measure::{RunResult, Settings, run};

/// Arguments that keep a run short: few instances, feeds and sales.
const SHORT: [&str; 6] = ["--instances", "9", "--flows", "300", "--service-ms", "600"];

/// Runs a short measurement; prints its arguments to reproduce a failed test.
pub fn measure(policy: &str, faults: &str, seed: u64) -> RunResult {
    println!("--policy {policy} --fault {faults} --seed {seed} {}", SHORT.join(" "));
    let seed = seed.to_string();
    let words = ["--deployment", "recarga", "--policy", policy, "--fault", faults];
    let mut args = Args::from_words(words.into_iter().chain(["--seed", &seed]).chain(SHORT));
    let settings = Settings::from_args(&mut args).expect("valid arguments");
    run(settings).expect("valid samples")
}

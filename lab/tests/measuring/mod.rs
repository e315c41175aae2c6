//! Short runs of the measuring driver.

use limpetdeck_lab::arguments::Args;
use limpetdeck_lab::measure::{Figures, Settings, run};

/// What makes a run short: few instances, few feeds and few sales.
const SHORT: [&str; 6] = ["--instances", "9", "--flows", "300", "--service-ms", "600"];

/// Runs with few flows; the seed is printed for a failed test.
pub fn measure(policy: &str, faults: &str, seed: u64) -> Figures {
    println!("--policy {policy} --fault {faults} --seed {seed} {}", SHORT.join(" "));
    let seed = seed.to_string();
    let words = ["--deployment", "recarga", "--policy", policy, "--fault", faults];
    let mut args = Args::from_words(words.into_iter().chain(["--seed", &seed]).chain(SHORT));
    let settings = Settings::from_args(&mut args).expect("the arguments are right");
    run(settings).expect("the samples are valid")
}

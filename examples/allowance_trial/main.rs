//! Measures ways to enforce allowances over many instances, in virtual time.
//!
//! `cargo run --release --example allowance_trial [-- --seed N]` prints one line for each
//! way and case. Only the placer's counts are the product's own code; the other ways are
//! small models of what was weighed against them.

mod cost;
mod credits;
mod demand;
mod fixed;
mod placer;
mod policy;
mod world;

use policy::Policy;
use world::{Case, World};

fn main() {
    let mut args = pico_args::Arguments::from_env();
    let seed: u64 = args.opt_value_from_str("--seed").ok().flatten().unwrap_or(1);
    println!("seed={seed}");
    cost::measure(seed);
    for case in [Case::Steady, Case::Rate, Case::Skew, Case::Burst, Case::Kill, Case::Cut] {
        for policy in policies(case, seed) {
            let result = World::new(case, policy, seed).run();
            println!("{result}");
        }
    }
}

fn policies(case: Case, seed: u64) -> Vec<Box<dyn Policy>> {
    let allowance = case.allowance();
    vec![
        Box::new(fixed::Fixed::new(allowance)),
        Box::new(demand::Demand::new(allowance)),
        Box::new(credits::Credits::new(allowance)),
        Box::new(placer::Placer::new(allowance, seed)),
    ]
}

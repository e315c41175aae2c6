//! A short run of damaged input; `limpetdeck-lab fuzz --cases N` does more.

use limpetdeck_lab::fuzz;

#[test]
fn fixed_seed() {
    println!("seed=1");
    fuzz::run(1, 500);
}

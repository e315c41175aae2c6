//! A short fuzzing run; `limpetdeck-lab fuzz --cases N` runs more cases.

use limpetdeck_lab::fuzz;

#[test]
fn fixed_seed() {
    println!("seed=1");
    fuzz::run(1, 500);
}

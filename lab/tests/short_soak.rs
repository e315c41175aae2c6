//! A short soak with real instances; `limpetdeck-lab soak` runs longer ones.

use std::path::PathBuf;
use std::process::Command;

/// Seeds that failed once come first, each with its cause.
const SEEDS: [&str; 1] = ["7"];

#[test]
fn promises_kept() {
    let lab = PathBuf::from(env!("CARGO_BIN_EXE_limpetdeck-lab"));
    let node = lab.with_file_name("limpetdeck-node");
    assert!(node.exists(), "limpetdeck-node is not built: run the tests with --workspace");
    for seed in SEEDS {
        let args = ["soak", "--seed", seed, "--minutes", "0.6", "--instances", "6"];
        let output = Command::new(&lab).args(args).output().expect("a run");
        let text = String::from_utf8_lossy(&output.stdout);
        println!("{text}");
        assert!(output.status.success(), "seed {seed}: {text}");
    }
}

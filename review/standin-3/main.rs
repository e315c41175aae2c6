//! Stand-ins of the scripts in `review/11` and later, and the cases themselves. Standard library only.
//!
//! `standin-3 CASE ROOT RECORD`; with `TROUBLE=0` a case leaves out its disruption.

mod case_leaving;
mod case_readded;
mod case_silent_drain;
mod client;
mod journal;
mod server;
mod store;
mod wire;
mod world;

use std::path::Path;
use std::process::ExitCode;

fn main() -> ExitCode {
    let args: Vec<_> = std::env::args().collect();
    let [_, case, root, record] = args.as_slice() else {
        eprintln!("usage: standin-3 CASE ROOT RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").ok().as_deref() != Some("0");
    let root = Path::new(root);
    let result = match case.as_str() {
        "readded" => case_readded::run(root, trouble),
        "silent-drain" => case_silent_drain::run(root, trouble),
        "leaving" => case_leaving::run(root, trouble),
        other => Err(std::io::Error::other(format!("no case {other}"))),
    };
    let (journal, could_run) = match result {
        Ok(done) => done,
        Err(e) => {
            eprintln!("could not run: {e}");
            return ExitCode::from(2);
        }
    };
    let violations = journal.violations();
    let verdict = match (could_run, violations.is_empty()) {
        (false, _) => 2,
        (true, true) => 0,
        (true, false) => 1,
    };
    let text = format!(
        "trouble {trouble}, verdict {verdict}, {} violations\n{}",
        violations.len(),
        journal.text()
    );
    if let Err(e) = std::fs::write(record, text) {
        eprintln!("could not write the record: {e}");
        return ExitCode::from(2);
    }
    for line in violations.iter().take(5) {
        println!("{line}");
    }
    println!("verdict {verdict}, {} violations", violations.len());
    ExitCode::from(verdict)
}

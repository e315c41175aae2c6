//! Stand-ins of the scripts `review/N/run.sh`: a small deployment on loopback addresses, around the
//! project's own instances. Usage: standin-2 CASE DIRECTORY RECORD, in the repository.

mod case_drill;
mod case_flow;
mod case_moved;
mod case_storm;
mod client;
mod server;
mod store;
mod wire;
mod world;

use std::path::Path;
use std::process::ExitCode;

/// Result of a case, as the exit status says it.
pub enum Outcome {
    Held,
    Broken,
    CouldNotRun(String),
}

/// Runs the case twice: with a store that answers a watch with all changes since its revision, and
/// with one that cuts the answer at 1 MB, as it does for lists. The rule has to hold with both.
fn storm(directory: &Path, record: &Path, trouble: bool) -> Outcome {
    let whole = case_storm::run(directory, record, trouble, None);
    let cut = case_storm::run(directory, record, trouble, Some(1_000_000));
    match (whole, cut) {
        (Outcome::Broken, _) | (_, Outcome::Broken) => Outcome::Broken,
        (Outcome::CouldNotRun(why), _) | (_, Outcome::CouldNotRun(why)) => {
            Outcome::CouldNotRun(why)
        }
        _ => Outcome::Held,
    }
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, directory, record] = &arguments[..] else {
        eprintln!("usage: standin-2 CASE DIRECTORY RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let (directory, record) = (Path::new(directory), Path::new(record));
    // A record of an earlier run may be there.
    let _ = std::fs::remove_file(record);
    let outcome = match case.as_str() {
        "storm" => storm(directory, record, trouble),
        "drill" => case_drill::run(directory, record, trouble),
        "flow" => case_flow::run(directory, record, trouble),
        "moved" => case_moved::run(directory, record, trouble),
        other => Outcome::CouldNotRun(format!("unknown case {other}")),
    };
    match outcome {
        Outcome::Held => {
            println!("held");
            ExitCode::SUCCESS
        }
        Outcome::Broken => {
            println!("broken");
            ExitCode::from(1)
        }
        Outcome::CouldNotRun(why) => {
            println!("could not run: {why}");
            ExitCode::from(2)
        }
    }
}

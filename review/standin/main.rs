//! Plays the cases of the review that are scripts: `standin CASE RECORD`, from the root of the
//! repository. With TROUBLE=0 the disruption is left out. Exits with 1 if the rule was broken, 0 if it
//! held, 2 if the case could not run.

mod watchers_cut;
mod world;

use std::path::Path;
use std::process::exit;

/// Result of a case: the number of times that the rule was broken, or why the case did not run.
pub type Outcome = Result<usize, String>;

fn main() {
    let args: Vec<_> = std::env::args().skip(1).collect();
    let [case, record] = args.as_slice() else {
        eprintln!("usage: standin CASE RECORD");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
    let outcome = match case.as_str() {
        "watchers-cut" => watchers_cut::play(Path::new(record), trouble),
        _ => Err(format!("no case {case:?}")),
    };
    match outcome {
        Ok(0) => println!("held"),
        Ok(n) => {
            println!("broken {n} times");
            exit(1);
        }
        Err(problem) => {
            println!("could not run: {problem}");
            exit(2);
        }
    }
}

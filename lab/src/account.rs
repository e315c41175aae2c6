//! Says from a report of the platform's bench where the credit of a day was lost: in which
//! windows, beside which faults, and for which kinds of requests.

use std::fmt::Write as _;
use std::fs;
use std::process::ExitCode;

use limpetdeck_platform::emulator::{DayEvent, DayReport, RequestGroup, WINDOW};

use crate::arguments::{Args, CommandError, Outcome};

/// Text for `account --help`.
const HELP: &str = "\
usage: limpetdeck-lab account --report FILE [--report FILE]...

  --report FILE   report of a day, as `fleetbench run SITE DAY --report FILE` writes it
";
/// Share of the lost credit below which a window is not listed.
const MIN_SHARE: f64 = 0.02;

/// Runs the command.
pub fn main(mut args: Args) -> Outcome {
    if args.flag("--help") {
        print!("{HELP}");
        return Ok(ExitCode::SUCCESS);
    }
    let files: Vec<String> = args.values("--report")?;
    args.finish()?;
    if files.is_empty() {
        return Err(CommandError::new("no --report is given"));
    }
    for file in files {
        let text = fs::read_to_string(&file).map_err(|e| CommandError::new(format!("{file}: {e}")));
        let report = DayReport::parse(&text?);
        let report = report.map_err(|e| CommandError::new(format!("{file}: {e}")))?;
        print!("report={file}\n{}", account(&report));
    }
    Ok(ExitCode::SUCCESS)
}

/// Returns the account as text: the windows with most of the lost credit, with the faults in
/// them, then the kinds of requests and the ends of attempts.
pub fn account(report: &DayReport) -> String {
    let lost: f64 = report.windows.iter().map(RequestGroup::lost).sum();
    let mut text = format!("lost={lost:.0} requests' credit\n");
    let mut windows: Vec<_> = report.windows.iter().collect();
    windows.sort_by(|a, b| b.lost().total_cmp(&a.lost()));
    for window in windows {
        let share = window.lost() / lost.max(f64::MIN_POSITIVE);
        if share < MIN_SHARE {
            break;
        }
        let causes = causes(window, &report.events);
        append(&mut text, &format!("window={}s", window.name), window, share);
        let _ = writeln!(text, " beside=\"{}\"", causes.join(", "));
    }
    for class in &report.classes {
        append(&mut text, &format!("kind={}", class.name), class, class.lost() / lost.max(1e-9));
        text.push('\n');
    }
    let ends: Vec<_> = report.ends.iter().map(|(end, n)| format!("{end}: {n}")).collect();
    let _ = writeln!(text, "attempts=\"{}\"", ends.join(", "));
    text
}

fn append(text: &mut String, name: &str, group: &RequestGroup, share: f64) {
    let RequestGroup { total, in_time, late, refused, failed, .. } = group;
    let _ = write!(
        text,
        "{name} share={share:.2} requests={total} in_time={in_time} late={late} refused={refused} \
         failed={failed}"
    );
}

/// Returns the kinds of the faults and planned work that overlap a window; unplanned ones first.
fn causes<'a>(window: &RequestGroup, events: &'a [DayEvent]) -> Vec<&'a str> {
    let Ok(from) = window.name.parse::<f64>() else { return Vec::new() };
    let to = from + WINDOW.as_secs_f64();
    let mut causes: Vec<_> =
        events.iter().filter(|event| event.from < to && event.to > from).collect();
    causes.sort_by_key(|event| event.planned);
    causes.into_iter().map(|event| event.kind.as_str()).collect()
}

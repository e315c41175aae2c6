//! Best possible result of a burst of requests, as a bound for what any scheduling can reach.
//!
//! The requests and the slots' time are cut into ticks. Work that arrives in one tick may be
//! started in any tick from which it is finished in time (full value) or before its caller gives up
//! (value of a late answer). The assignment of the highest value is a maximum-value flow. It knows
//! all arrivals in advance, and any free slot takes any request.

mod flow;

use std::process::ExitCode;
use std::str::FromStr;

use crate::arguments::{Args, CommandError, Outcome};
use flow::Graph;

/// Text for `limit --help`.
const HELP: &str = "\
usage: limpetdeck-lab limit --slots N --class CLASS [--class CLASS]... [--late-value V]

  --slots N        requests that all targets process at a time
  --class CLASS    requests of one class, as VALUE,WORK_MS,TARGET_MS,TIMEOUT_MS,DEMAND: the value of
                   an answer in time, the work of a request, the latency target, the time after
                   which a caller gives up, and the requests in each second, as 300:1200:1200:300
  --late-value V   value of a late answer, as a share of one in time (default 0.3)

Prints for each class how many requests can be answered in time and late at the most; the rest has
to be refused.
";

/// Length of a tick in milliseconds. Results are exact up to the requests of one tick.
const TICK_MS: f64 = 25.0;
/// Ticks of a second.
const TICKS_PER_S: usize = 40;
/// Default value of a late answer, as a share of one in time.
const DEFAULT_LATE_VALUE: f64 = 0.3;
/// Longest demand in seconds; a longer one would take minutes to compute.
const MAX_SECONDS: usize = 30;

/// Requests of one class.
#[derive(Debug, Clone, PartialEq)]
pub struct Class {
    /// Value of an answer in time.
    pub value: f64,
    /// Time for which a request occupies a slot, in milliseconds.
    pub work_ms: f64,
    /// Time within which an answer is in time, in milliseconds.
    pub target_ms: f64,
    /// Time after which callers give up, in milliseconds.
    pub timeout_ms: f64,
    /// Requests that arrive in each second, evenly spread over it.
    pub demand: Vec<f64>,
}

impl FromStr for Class {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let parts: Vec<_> = text.split(',').collect();
        let [value, work_ms, target_ms, timeout_ms, demand] = parts[..] else {
            return Err(format!("{text:?} does not have five parts"));
        };
        let number = |text: &str| match text.parse::<f64>() {
            Ok(number) if number.is_finite() && number >= 0.0 => Ok(number),
            _ => Err(format!("{text:?} is not a number of 0 or more")),
        };
        let demand = demand.split(':').map(number).collect::<Result<Vec<_>, _>>()?;
        let class = Self {
            value: number(value)?,
            work_ms: number(work_ms)?,
            target_ms: number(target_ms)?,
            timeout_ms: number(timeout_ms)?,
            demand,
        };
        if class.work_ms == 0.0 || class.demand.len() > MAX_SECONDS {
            return Err(format!("{text:?}: the work is 0 or the demand over {MAX_SECONDS} s long"));
        }
        Ok(class)
    }
}

/// Numbers of requests by how they end.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Answers {
    /// Answered within the latency target.
    pub in_time: f64,
    /// Answered before the caller gives up.
    pub late: f64,
    /// Not served.
    pub refused: f64,
}

/// Runs the command.
pub fn main(mut args: Args) -> Outcome {
    if args.flag("--help") {
        print!("{HELP}");
        return Ok(ExitCode::SUCCESS);
    }
    let slots: u32 = args.value("--slots")?;
    let late_value = args.value_or("--late-value", DEFAULT_LATE_VALUE)?;
    let classes: Vec<Class> = args.values("--class")?;
    args.finish()?;
    if classes.is_empty() {
        return Err(CommandError::new("no --class is given"));
    }
    let answers = best(slots, &classes, late_value);
    let (mut earned, mut wanted) = (0.0, 0.0);
    for (class, Answers { in_time, late, refused }) in classes.iter().zip(answers) {
        println!(
            "value={} work_ms={} requests={:.0} in_time={in_time:.0} late={late:.0} \
             refused={refused:.0}",
            class.value,
            class.work_ms,
            in_time + late + refused,
        );
        earned += class.value * (in_time + late_value * late);
        wanted += class.value * (in_time + late + refused);
    }
    println!("worth={:.3}", earned / wanted.max(f64::MIN_POSITIVE));
    Ok(ExitCode::SUCCESS)
}

/// Returns the result of the highest value for each class.
pub fn best(slots: u32, classes: &[Class], late_value: f64) -> Vec<Answers> {
    let seconds = classes.iter().map(|class| class.demand.len()).max().unwrap_or_default();
    let longest = classes.iter().map(|class| class.timeout_ms).fold(0.0, f64::max);
    let ticks = seconds * TICKS_PER_S + (longest / TICK_MS) as usize + 1;
    // The source and the sink come first, then the ticks, then the arrivals.
    let (source, sink, first_tick) = (0, 1, 2);
    let arrivals: usize = classes.iter().map(|class| class.demand.len() * TICKS_PER_S).sum();
    let mut graph = Graph::new(first_tick + ticks + arrivals);
    for tick in 0..ticks {
        graph.add(first_tick + tick, sink, f64::from(slots) * TICK_MS, 0.0);
    }
    let mut node = first_tick + ticks;
    let mut edges = vec![(Vec::new(), Vec::new()); classes.len()];
    for (class, (in_time, late)) in classes.iter().zip(&mut edges) {
        // Flow is work, so that the value of a unit is that of a request divided by its work.
        let value = class.value / class.work_ms;
        // A request has to be started by this many ticks after its arrival.
        let within = |ms: f64| ((ms - class.work_ms) / TICK_MS).floor() as i64;
        for arrival in 0..class.demand.len() * TICKS_PER_S {
            let demand = class.demand[arrival / TICKS_PER_S] / TICKS_PER_S as f64;
            let work = demand * class.work_ms;
            graph.add(source, node, work, 0.0);
            for waited in 0..=within(class.timeout_ms) {
                let tick = first_tick + arrival + waited as usize;
                if waited <= within(class.target_ms) {
                    in_time.push(graph.add(node, tick, work, value));
                } else {
                    late.push(graph.add(node, tick, work, value * late_value));
                }
            }
            node += 1;
        }
    }
    graph.maximize(source, sink);
    let results = classes.iter().zip(&edges).map(|(class, (in_time, late))| {
        let sum = |edges: &[usize]| edges.iter().map(|&e| graph.flow(e)).sum::<f64>();
        let (in_time, late) = (sum(in_time) / class.work_ms, sum(late) / class.work_ms);
        let refused = (class.demand.iter().sum::<f64>() - in_time - late).max(0.0);
        Answers { in_time, late, refused }
    });
    results.collect()
}

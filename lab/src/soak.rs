//! Fault-injection soak test: real instances under injected faults, with the promises checked.
//!
//! The instances are processes on loopback, run as they are deployed. This process emulates the
//! rest: the store, servers, routers, callers and the network between them.

mod addresses;
mod checks;
mod cold_targets;
mod domain_checks;
mod domain_orders;
mod environment;
mod faults;
mod instances;
mod odd_entries;
mod plan;
mod proxy;
mod report;
mod tally;

use std::cell::{Cell, RefCell};
use std::fs;
use std::io;
use std::net::{SocketAddr, SocketAddrV4, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures_lite::FutureExt;
use limpetdeck::http::{self, Request};
use limpetdeck::signals::{SignalRequest, Signals};
use limpetdeck_platform::{NodeSettings, READY_PATH};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use smol::net::TcpListener;
use smol::{Async, LocalExecutor};

use crate::arguments::{Args, CommandError, Outcome, run_emulator};
use crate::emulator::caller::{Behavior, Caller};
use crate::emulator::fleet::Fleet;
use crate::emulator::network::Network;
use crate::emulator::router::READINESS_CHECK_INTERVAL;
use crate::emulator::store::{ObjectStore, fork_rng, handler};
use addresses::Addresses;
use checks::Violation;
use environment::{DOMAINS, Environment, Parts};
use faults::FaultInjector;
use instances::Instance;
use plan::{RECOVERY_SAMPLE_TIME, RECOVERY_TIME, ScheduledFault};
use proxy::SharedLinkMode;

/// Text for `soak --help`.
const HELP: &str = "\
usage: limpetdeck-lab soak --seed N [--minutes M] [--instances N] [--node FILE]
                           [--earlier-node FILE] [--cold-limit N]
                           [--drill NAME] [--no-excuses] [--report FILE] [--keep]

  --seed N        seed of the random numbers; determines the faults
  --minutes M     length of the run (default 2)
  --instances N   instances in three failure domains (default 9)
  --node FILE     program to run (default limpetdeck-node next to this program)
  --earlier-node FILE
                  program of an earlier release, run as every third instance
  --cold-limit N  new flows per second that a server bears while it is cold, which it is after a
                  start and after its failure domain was drained (default 0: no limit)
  --drill NAME    one kind of fault instead of all: restore, domain-drain (orders to drain a
                  failure domain, each in the middle of another fault), watchers (all instances
                  that watch the store are lost; needs 27 instances, so that others are left),
                  odd-entries (another writer leaves entries beside those of the servers),
                  stops (instances stop in turn where half of them are frozen, while routes grow and
                  servers drain; they are judged until the process is gone; needs 18 instances),
                  flows (instances stop in series while others lack processor time, servers crash and
                  start again, routes come back and connections to the store go silent), or stalls
                  (instances stand still for up to 2.5 s beside partitions and paused servers)
  --no-excuses    judge open flows whatever fault is on: each one that a server holds has to be kept,
                  and gets no reset, not even one that its caller ignores
  --report FILE   write an HTML report with a plot
  --keep          keep the logs even if no promise was broken

exit codes: 0 all promises kept, 1 a promise was broken or the run was stopped, 2 invalid arguments
";

/// Time between two steps of the emulated environment.
const STEP_INTERVAL: Duration = Duration::from_millis(4);
/// Time between two progress lines.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(10);
/// Maximum number of instances: bounded by the number of processes and by half of a machine's
/// memory.
const MAX_INSTANCES: usize = 200;
/// Minimum length of a run in minutes; a shorter one has no time for faults.
const MIN_MINUTES: f64 = 0.5;
/// Addresses for servers: 30 run at a time, and replacements start before others have stopped.
const SERVER_ADDRESSES: usize = 96;
/// Callers in each failure domain, by behavior.
const CALLERS_PER_DOMAIN: [(Behavior, usize); 3] =
    [(Behavior::Persistent, 8), (Behavior::FlowPerSheet, 2), (Behavior::FlowPerFeed, 8)];
/// Minimum share of served requests once the service has recovered.
const MIN_RECOVERED_SHARE: f64 = 0.9;
/// Time for which the routers wait for a readiness response.
const READY_TIMEOUT: Duration = Duration::from_millis(400);
/// Maximum number of an instance's log lines that are printed for a violation.
const MAX_LOG_LINES_SHOWN: usize = 20;
/// Size of the receive buffer.
const MAX_DATAGRAM_BYTES: usize = 65_536;

/// Which faults a run has.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Drill {
    All,
    Restore,
    DomainDrain,
    Watchers,
    OddEntries,
    Stops,
    Flows,
    Stalls,
}

#[derive(Debug)]
struct Options {
    seed: u64,
    length: Duration,
    instances: usize,
    node: PathBuf,
    earlier_node: Option<PathBuf>,
    cold_limit: f64,
    drill: Drill,
    no_excuses: bool,
    report: Option<PathBuf>,
    keep: bool,
}

impl Options {
    fn parse(mut args: Args) -> Result<Self, CommandError> {
        let minutes: f64 = args.value_or("--minutes", 2.0)?;
        let default_node =
            std::env::current_exe().map_err(CommandError::new)?.with_file_name("limpetdeck-node");
        let drill = match args.value_or("--drill", String::new())?.as_str() {
            "" => Drill::All,
            "restore" => Drill::Restore,
            "domain-drain" => Drill::DomainDrain,
            "watchers" => Drill::Watchers,
            "odd-entries" => Drill::OddEntries,
            "stops" => Drill::Stops,
            "flows" => Drill::Flows,
            "stalls" => Drill::Stalls,
            other => return Err(CommandError::new(format!("--drill {other} is not known"))),
        };
        let options = Self {
            drill,
            no_excuses: args.flag("--no-excuses"),
            earlier_node: args
                .value_or("--earlier-node", String::new())
                .map(|f| (!f.is_empty()).then(|| f.into()))?,
            cold_limit: args.value_or("--cold-limit", 0.0)?,
            seed: args.value("--seed")?,
            length: Duration::from_secs_f64(minutes.clamp(MIN_MINUTES, 600.0) * 60.0),
            instances: args.value_or("--instances", 9)?,
            node: args.value_or("--node", default_node.display().to_string())?.into(),
            report: args
                .value_or("--report", String::new())
                .map(|f| (!f.is_empty()).then(|| f.into()))?,
            keep: args.flag("--keep"),
        };
        args.finish()?;
        if !(3..=MAX_INSTANCES).contains(&options.instances) {
            return Err(CommandError::new(format!("--instances is not from 3 to {MAX_INSTANCES}")));
        }
        if !options.node.exists() {
            return Err(CommandError::new(format!("{} does not exist", options.node.display())));
        }
        Ok(options)
    }
}

/// Runs the `soak` command.
pub fn main(mut args: Args) -> Outcome {
    if args.flag("--help") {
        print!("{HELP}");
        return Ok(ExitCode::SUCCESS);
    }
    let options = match Options::parse(args) {
        Ok(options) => options,
        Err(e) => return Ok(e.print_with_help(HELP)),
    };
    println!("seed={} node={}", options.seed, options.node.display());
    let dir = std::env::temp_dir().join(format!(
        "limpetdeck-soak-{}-{}",
        options.seed,
        std::process::id()
    ));
    match run_emulator(|ex| run(ex, &options, &dir)) {
        Ok(kept) => Ok(if kept { ExitCode::SUCCESS } else { ExitCode::FAILURE }),
        Err(e) => Err(CommandError::new(e)),
    }
}

async fn run(ex: Rc<LocalExecutor<'static>>, options: &Options, dir: &Path) -> io::Result<bool> {
    fs::create_dir_all(dir)?;
    let mut rng = SmallRng::seed_from_u64(options.seed);
    let generate = match options.drill {
        Drill::All => plan::schedule,
        Drill::Restore => plan::restore_drill,
        Drill::DomainDrain => plan::domain_drill,
        Drill::Watchers => plan::watcher_drill,
        Drill::OddEntries => odd_entries::odd_drill,
        Drill::Stops => plan::stop_drill,
        Drill::Flows => plan::flow_drill,
        Drill::Stalls => plan::stall_drill,
    };
    let mut schedule = generate(options.length, &mut fork_rng(&mut rng));
    if options.drill == Drill::All {
        // A generator of their own, so that a seed keeps the faults that it had before.
        let mut rng = SmallRng::seed_from_u64(!options.seed);
        schedule.extend(plan::domain_orders(options.length, &mut rng));
    }
    let env = start_environment(&ex, options, dir, &mut rng).await?;
    let mut faults = FaultInjector::new(schedule.clone(), fork_rng(&mut rng));
    let completed = run_until_stopped(options, &env, &mut faults).await;
    let mut env = env.borrow_mut();
    env.instances.iter_mut().for_each(|instance| instance.kill(options.length, Duration::ZERO));
    if !completed? {
        println!("result=stopped seed={} logs={}", options.seed, dir.display());
        return Ok(false);
    }
    check_recovery(&mut env, options.length);
    summarize(options, dir, &schedule, &env)
}

/// Steps the environment until the end of the run. Returns false if a signal ended it early.
async fn run_until_stopped(
    options: &Options,
    env: &RefCell<Environment>,
    faults: &mut FaultInjector,
) -> io::Result<bool> {
    let mut signals = Signals::catch()?;
    let stopped = async {
        while signals.next().await != SignalRequest::Stop {}
        Ok(false)
    };
    run_steps(options, env, faults).or(stopped).await
}

async fn run_steps(
    options: &Options,
    env: &RefCell<Environment>,
    faults: &mut FaultInjector,
) -> io::Result<bool> {
    let started = Instant::now();
    let mut next_progress = PROGRESS_INTERVAL;
    loop {
        let now = started.elapsed();
        if now >= options.length {
            return Ok(true);
        }
        {
            let mut env = env.borrow_mut();
            env.tick(now)?;
            faults.tick(&mut env);
            if now >= next_progress {
                next_progress += PROGRESS_INTERVAL;
                print_progress(&env, now, next_progress);
            }
        }
        smol::Timer::after(STEP_INTERVAL).await;
    }
}

/// Sets up the instances and the emulated environment, and spawns its tasks.
async fn start_environment(
    ex: &Rc<LocalExecutor<'static>>,
    options: &Options,
    dir: &Path,
    rng: &mut SmallRng,
) -> io::Result<Rc<RefCell<Environment>>> {
    let addresses = Addresses::claim(options.seed)?;
    let count = options.instances;
    let store = Rc::new(RefCell::new(ObjectStore::new(count)));
    let links: Vec<SharedLinkMode> =
        (0..count).map(|_| Rc::new(Cell::new(Default::default()))).collect();
    for (i, link) in links.iter().enumerate() {
        let listener = TcpListener::bind(addresses.store(i)).await?;
        let store_handler = Rc::new(handler(&store, i));
        ex.spawn(http::serve(Rc::clone(ex), listener, store_handler)).detach();
        let (from, to, link) = (addresses.store_proxy(i), addresses.store(i), Rc::clone(link));
        ex.spawn(log_error(proxy::run(Rc::clone(ex), from, to, link))).detach();
    }
    let mut sockets = Vec::new();
    for i in 0..count {
        sockets.push(bind(addresses.peer_proxy(i))?);
    }
    let server_addresses: Vec<_> = (0..SERVER_ADDRESSES).map(|n| addresses.server(n)).collect();
    for &address in &server_addresses {
        sockets.push(bind(address.into())?);
    }
    let callers = callers(&addresses, rng);
    for caller in &callers {
        sockets.push(bind(SocketAddr::from((caller.ip, addresses::PACKET_PORT)))?);
    }
    let (_, socket) = bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
    let ready: Vec<_> = (0..count).map(|i| addresses.ready(i)).collect();
    let env = Rc::new(RefCell::new(Environment::new(Parts {
        instances: (0..count).map(|i| instance(&addresses, options, dir, i)).collect(),
        fleet: Fleet::new(Rc::clone(ex), server_addresses, &DOMAINS, fork_rng(rng)),
        callers,
        store,
        links,
        network: Network::new(fork_rng(rng)),
        socket,
        addresses,
        cold_flows_per_s: options.cold_limit,
        judges_stops: options.drill == Drill::Stops,
        excuses_flows: !options.no_excuses,
        moves_all_flows: matches!(options.drill, Drill::Flows | Drill::Stalls),
        stall_rng: SmallRng::seed_from_u64(options.seed),
    })));
    for (at, socket) in sockets {
        ex.spawn(receive(Rc::clone(&env), at, socket)).detach();
    }
    for (i, address) in ready.into_iter().enumerate() {
        ex.spawn(poll_readiness(Rc::clone(&env), i, address)).detach();
    }
    Ok(env)
}

fn instance(addresses: &Addresses, options: &Options, dir: &Path, i: usize) -> Instance {
    let domain = i % DOMAINS.len();
    let settings = NodeSettings {
        failure_domain: DOMAINS[domain].to_owned(),
        packet_address: addresses.packets(i),
        peer_address: addresses.peer(i),
        ready_address: addresses.ready(i),
        store_address: addresses.store_proxy(i),
        seeds: (0..3).map(|seed| addresses.peer_proxy(seed)).collect(),
        grace: Duration::from_secs(6),
        domain_drains: true,
    };
    // Every third one after the first of each domain, so that each domain has both releases.
    let earlier = options.earlier_node.as_ref().filter(|_| i / DOMAINS.len() % 3 == 1);
    let program = earlier.unwrap_or(&options.node);
    Instance::new(program, dir, domain, settings, addresses.peer_proxy(i), earlier.is_some())
}

fn callers(addresses: &Addresses, rng: &mut SmallRng) -> Vec<Caller> {
    let mut callers = Vec::new();
    for domain in 0..DOMAINS.len() {
        for (behavior, count) in CALLERS_PER_DOMAIN {
            for _ in 0..count {
                let n = callers.len();
                let (port, id) = (20_000 + n as u16, (n as u64 + 1) << 32);
                let ip = addresses.caller(n);
                callers.push(Caller::new(domain, ip, behavior, port, id, fork_rng(rng)));
            }
        }
    }
    callers
}

fn bind(address: SocketAddr) -> io::Result<(SocketAddrV4, Arc<Async<UdpSocket>>)> {
    let SocketAddr::V4(at) = address else { return Err(io::Error::other("not IPv4")) };
    Ok((at, Arc::new(Async::<UdpSocket>::bind(address)?)))
}

async fn receive(env: Rc<RefCell<Environment>>, at: SocketAddrV4, socket: Arc<Async<UdpSocket>>) {
    let mut buf = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        // An error here reports an earlier datagram that found no receiver (ICMP).
        if let Ok((len, from)) = socket.recv_from(&mut buf).await {
            env.borrow_mut().receive(at, from, &buf[..len]);
        }
    }
}

async fn poll_readiness(env: Rc<RefCell<Environment>>, instance: usize, address: SocketAddr) {
    loop {
        let response = http::call(address, Request::get(READY_PATH), READY_TIMEOUT).await;
        let ready = response.is_ok_and(|response| response.status.is_success());
        env.borrow_mut().router.record_readiness(instance, ready);
        smol::Timer::after(READINESS_CHECK_INTERVAL).await;
    }
}

async fn log_error(task: impl Future<Output = io::Result<()>>) {
    if let Err(e) = task.await {
        log::error!(problem = e.to_string().as_str(); "proxy_ended");
    }
}

fn print_progress(env: &Environment, now: Duration, next: Duration) {
    let recent = env.tally.since(next - PROGRESS_INTERVAL * 2);
    let running = env.instances.iter().filter(|instance| instance.is_running()).count();
    println!(
        "at={}s instances={running} served={} refused={} failed={} violations={}",
        now.as_secs(),
        recent.served,
        recent.refused,
        recent.failed,
        env.checks.violations.len(),
    );
}

/// Checks that the service has recovered within [`RECOVERY_TIME`] after the last fault.
fn check_recovery(env: &mut Environment, length: Duration) {
    let last_fault = length.saturating_sub(RECOVERY_TIME + RECOVERY_SAMPLE_TIME);
    let counts = env.tally.since(last_fault + RECOVERY_TIME);
    let share = counts.served as f64 / (counts.served + counts.failed).max(1) as f64;
    if share < MIN_RECOVERED_SHARE {
        let seen = format!("served={} failed={}", counts.served, counts.failed);
        env.checks.record(length, "recovery", seen, None);
    }
    env.check_domains_returned(length, RECOVERY_SAMPLE_TIME);
}

/// Prints the violations and the summary. Returns whether there was no violation.
fn summarize(
    options: &Options,
    dir: &Path,
    schedule: &[ScheduledFault],
    env: &Environment,
) -> io::Result<bool> {
    let violations = &env.checks.violations;
    for violation in violations {
        print_violation(options.seed, violation, env);
    }
    let kept = violations.is_empty();
    let totals = env.tally.since(Duration::ZERO);
    let counts = env.checks.counts;
    let summary = format!(
        "result={} seed={} seconds={} instances={} starts={} faults={} served={} refused={} \
         failed={} openings={} changes_tested={} drains_tested={} \
         stops_tested={} orders_tested={} cold_most={} sales={} not_run={} \
         most_memory_kb={} most_descriptors={} driver_lag_ms={} violations={}",
        if kept { "ok" } else { "broken" },
        options.seed,
        options.length.as_secs(),
        env.instances.len(),
        env.instances.iter().map(|instance| instance.starts).sum::<u32>(),
        schedule.len(),
        totals.served,
        totals.refused,
        totals.failed,
        counts.openings,
        counts.changes,
        counts.drains,
        counts.stops,
        counts.orders,
        env.cold_targets.most,
        counts.sales,
        counts.not_executed,
        env.peak.0,
        env.peak.1,
        env.max_lag.as_millis(),
        violations.len(),
    );
    println!("{summary}");
    if let Some(path) = &options.report {
        let contents =
            report::Report { summary: &summary, schedule, tally: &env.tally, violations };
        report::write(path, &contents).map_err(|e| io::Error::other(e.to_string()))?;
    }
    if kept && !options.keep {
        fs::remove_dir_all(dir)?;
    } else {
        println!("logs={}", dir.display());
    }
    Ok(kept)
}

fn print_violation(seed: u64, violation: &Violation, env: &Environment) {
    let Violation { at, promise, seen, caller } = violation;
    println!(
        "violation seed={seed} at={at:.3?} promise={promise} seen=\"{seen}\" caller={caller:?}"
    );
    let Some(caller) = caller else { return };
    let pattern = format!("caller={caller}");
    for instance in &env.instances {
        let Ok(text) = fs::read_to_string(&instance.log_path) else { continue };
        for line in text.lines().filter(|line| line.contains(&pattern)).take(MAX_LOG_LINES_SHOWN) {
            println!("  {}: {line}", instance.settings.packet_address.ip());
        }
    }
}

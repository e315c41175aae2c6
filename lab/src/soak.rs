//! Real instances under faults from outside, with the promises checked meanwhile.
//!
//! The instances are processes on loopback, run as they are deployed. All that surrounds them
//! lives in this process: the store, servers, routers and callers, and the ways between them.

mod addresses;
mod checks;
mod faults;
mod instances;
mod plan;
mod proxy;
mod report;
mod tally;
mod world;

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
use limpetdeck::signals::{Signalled, Signals};
use limpetdeck_platform::{NodeSettings, READY_PATH};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use smol::net::TcpListener;
use smol::{Async, LocalExecutor};

use crate::arguments::{Args, Outcome, Usage, run_local};
use crate::emulator::caller::{Caller, Habit};
use crate::emulator::fleet::Fleet;
use crate::emulator::router::ASK_EVERY;
use crate::emulator::store::{ObjectStore, fork, handler};
use crate::emulator::weather::Flying;
use addresses::Addresses;
use checks::Violation;
use faults::Faults;
use instances::Instance;
use plan::{CALM_AFTER, Planned, RECOVERY};
use proxy::SharedMode;
use world::{DOMAINS, Parts, World};

/// Text for `--help`.
const HELP: &str = "\
usage: limpetdeck-lab soak --seed N [--minutes M] [--instances N] [--node FILE]
                           [--report FILE] [--keep]

  --seed N        what happens follows from it
  --minutes M     length of the run, 2 if not given
  --instances N   instances in three failure domains, 9 if not given
  --node FILE     the program to run, limpetdeck-node beside this one if not given
  --report FILE   write a page with a plot
  --keep          keep the logs, which otherwise stay only if a promise was broken

exit codes: 0 all promises kept, 1 one was broken, 2 wrong arguments
";

/// Time between two steps of what surrounds the instances.
const STEP: Duration = Duration::from_millis(4);
/// Time between two lines that show progress.
const PROGRESS: Duration = Duration::from_secs(10);
/// Instances at most: some 200 processes and half of a machine's memory are the limit.
const MOST_INSTANCES: usize = 200;
/// Shortest run that leaves time for faults, in minutes.
const LEAST_MINUTES: f64 = 0.5;
/// Places of servers; there are 30 servers, and some come while others still leave.
const PLACES: usize = 96;
/// Callers of each failure domain by habit.
const CALLERS: [(Habit, usize); 3] = [(Habit::Stays, 8), (Habit::Sheets, 2), (Habit::Moves, 8)];
/// Share of requests that are served once the service is back.
const BACK_SHARE: f64 = 0.9;
/// Time for which the routers wait for an answer.
const READY_TIMEOUT: Duration = Duration::from_millis(400);
/// Log lines of an instance that are shown for a flow.
const LINES_SHOWN: usize = 20;
/// Largest datagram that is read, in bytes.
const LARGEST_DATAGRAM: usize = 65_536;

#[derive(Debug)]
struct Options {
    seed: u64,
    length: Duration,
    instances: usize,
    node: PathBuf,
    report: Option<PathBuf>,
    keep: bool,
}

impl Options {
    fn parse(mut args: Args) -> Result<Self, Usage> {
        let minutes: f64 = args.value_or("--minutes", 2.0)?;
        let beside = std::env::current_exe().map_err(Usage::new)?.with_file_name("limpetdeck-node");
        let options = Self {
            seed: args.value("--seed")?,
            length: Duration::from_secs_f64(minutes.clamp(LEAST_MINUTES, 600.0) * 60.0),
            instances: args.value_or("--instances", 9)?,
            node: args.value_or("--node", beside.display().to_string())?.into(),
            report: args
                .value_or("--report", String::new())
                .map(|f| (!f.is_empty()).then(|| f.into()))?,
            keep: args.flag("--keep"),
        };
        args.finish()?;
        if !(3..=MOST_INSTANCES).contains(&options.instances) {
            return Err(Usage::new(format!("--instances is not from 3 to {MOST_INSTANCES}")));
        }
        if !options.node.exists() {
            return Err(Usage::new(format!("{} does not exist", options.node.display())));
        }
        Ok(options)
    }
}

/// Runs the command.
pub fn main(mut args: Args) -> Outcome {
    if args.flag("--help") {
        print!("{HELP}");
        return Ok(ExitCode::SUCCESS);
    }
    let options = match Options::parse(args) {
        Ok(options) => options,
        Err(usage) => return Ok(usage.report(HELP)),
    };
    println!("seed={} node={}", options.seed, options.node.display());
    let dir = std::env::temp_dir().join(format!(
        "limpetdeck-soak-{}-{}",
        options.seed,
        std::process::id()
    ));
    match run_local(|ex| run(ex, &options, &dir)) {
        Ok(kept) => Ok(if kept { ExitCode::SUCCESS } else { ExitCode::FAILURE }),
        Err(e) => Err(Usage::new(e)),
    }
}

async fn run(ex: Rc<LocalExecutor<'static>>, options: &Options, dir: &Path) -> io::Result<bool> {
    fs::create_dir_all(dir)?;
    let mut rng = SmallRng::seed_from_u64(options.seed);
    let planned = plan::plan(options.length, &mut fork(&mut rng));
    let world = surround(&ex, options, dir, &mut rng).await?;
    let mut faults = Faults::new(planned.clone(), fork(&mut rng));
    let played = play(options, &world, &mut faults).await;
    let mut world = world.borrow_mut();
    world.instances.iter_mut().for_each(|instance| instance.kill(options.length, Duration::ZERO));
    if !played? {
        println!("result=stopped seed={} logs={}", options.seed, dir.display());
        return Ok(false);
    }
    judge_recovery(&mut world, options.length);
    conclude(options, dir, &planned, &world)
}

/// Steps the world until the end of the run. Answers false if a signal ended it early.
async fn play(options: &Options, world: &RefCell<World>, faults: &mut Faults) -> io::Result<bool> {
    let mut signals = Signals::catch()?;
    let stopped = async {
        while signals.next().await != Signalled::Stop {}
        Ok(false)
    };
    step(options, world, faults).or(stopped).await
}

async fn step(options: &Options, world: &RefCell<World>, faults: &mut Faults) -> io::Result<bool> {
    let started = Instant::now();
    let mut next_line = PROGRESS;
    loop {
        let now = started.elapsed();
        if now >= options.length {
            return Ok(true);
        }
        {
            let mut world = world.borrow_mut();
            world.tick(now)?;
            faults.tick(&mut world);
            if now >= next_line {
                next_line += PROGRESS;
                print_progress(&world, now, next_line);
            }
        }
        smol::Timer::after(STEP).await;
    }
}

/// Makes all that surrounds the instances, and the instances.
async fn surround(
    ex: &Rc<LocalExecutor<'static>>,
    options: &Options,
    dir: &Path,
    rng: &mut SmallRng,
) -> io::Result<Rc<RefCell<World>>> {
    let addresses = Addresses::take(options.seed)?;
    let count = options.instances;
    let store = Rc::new(RefCell::new(ObjectStore::new(count)));
    let links: Vec<SharedMode> =
        (0..count).map(|_| Rc::new(Cell::new(Default::default()))).collect();
    for (i, link) in links.iter().enumerate() {
        let listener = TcpListener::bind(addresses.store(i)).await?;
        let answers = Rc::new(handler(&store, i));
        ex.spawn(http::serve(Rc::clone(ex), listener, answers)).detach();
        let (from, to, link) = (addresses.store_proxy(i), addresses.store(i), Rc::clone(link));
        ex.spawn(report_end(proxy::carry(Rc::clone(ex), from, to, link))).detach();
    }
    let mut sockets = Vec::new();
    for i in 0..count {
        sockets.push(bind(addresses.peer_proxy(i))?);
    }
    let places: Vec<_> = (0..PLACES).map(|place| addresses.server(place)).collect();
    for &place in &places {
        sockets.push(bind(place.into())?);
    }
    let callers = callers(&addresses, rng);
    for caller in &callers {
        sockets.push(bind(SocketAddr::from((caller.ip, addresses::PACKET_PORT)))?);
    }
    let (_, socket) = bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
    let ready: Vec<_> = (0..count).map(|i| addresses.ready(i)).collect();
    let world = Rc::new(RefCell::new(World::new(Parts {
        instances: (0..count).map(|i| instance(&addresses, options, dir, i)).collect(),
        fleet: Fleet::new(Rc::clone(ex), places, &DOMAINS, fork(rng)),
        callers,
        store,
        links,
        flying: Flying::new(fork(rng)),
        socket,
        addresses,
    })));
    for (at, socket) in sockets {
        ex.spawn(read(Rc::clone(&world), at, socket)).detach();
    }
    for (i, address) in ready.into_iter().enumerate() {
        ex.spawn(ask_ready(Rc::clone(&world), i, address)).detach();
    }
    Ok(world)
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
    };
    Instance::new(&options.node, dir, domain, settings, addresses.peer_proxy(i))
}

fn callers(addresses: &Addresses, rng: &mut SmallRng) -> Vec<Caller> {
    let mut callers = Vec::new();
    for domain in 0..DOMAINS.len() {
        for (habit, count) in CALLERS {
            for _ in 0..count {
                let n = callers.len();
                let (port, id) = (20_000 + n as u16, (n as u64 + 1) << 32);
                let ip = addresses.caller(n);
                callers.push(Caller::new(domain, ip, habit, port, id, fork(rng)));
            }
        }
    }
    callers
}

fn bind(address: SocketAddr) -> io::Result<(SocketAddrV4, Arc<Async<UdpSocket>>)> {
    let SocketAddr::V4(at) = address else { return Err(io::Error::other("not IPv4")) };
    Ok((at, Arc::new(Async::<UdpSocket>::bind(address)?)))
}

async fn read(world: Rc<RefCell<World>>, at: SocketAddrV4, socket: Arc<Async<UdpSocket>>) {
    let mut buf = vec![0; LARGEST_DATAGRAM];
    loop {
        // An error here is the report of an earlier datagram that found no receiver.
        if let Ok((len, from)) = socket.recv_from(&mut buf).await {
            world.borrow_mut().received(at, from, &buf[..len]);
        }
    }
}

async fn ask_ready(world: Rc<RefCell<World>>, instance: usize, address: SocketAddr) {
    loop {
        let answer = http::call(address, Request::get(READY_PATH), READY_TIMEOUT).await;
        let ready = answer.is_ok_and(|answer| answer.status.is_success());
        world.borrow_mut().router.answered(instance, ready);
        smol::Timer::after(ASK_EVERY).await;
    }
}

async fn report_end(task: impl Future<Output = io::Result<()>>) {
    if let Err(e) = task.await {
        log::error!(problem = e.to_string().as_str(); "proxy_ended");
    }
}

fn print_progress(world: &World, now: Duration, next: Duration) {
    let last = world.tally.since(next - PROGRESS * 2);
    let running = world.instances.iter().filter(|instance| instance.runs()).count();
    println!(
        "at={}s instances={running} served={} refused={} failed={} violations={}",
        now.as_secs(),
        last.served,
        last.refused,
        last.failed,
        world.checks.violations.len(),
    );
}

/// Service has to be back within a bound after the last fault.
fn judge_recovery(world: &mut World, length: Duration) {
    let last_fault = length.saturating_sub(RECOVERY + CALM_AFTER);
    let judged = world.tally.since(last_fault + RECOVERY);
    let share = judged.served as f64 / (judged.served + judged.failed).max(1) as f64;
    if share < BACK_SHARE {
        let seen = format!("served={} failed={}", judged.served, judged.failed);
        world.checks.push(length, "recovery", seen, None);
    }
}

/// Prints the summary and what was broken, and tells whether nothing was.
fn conclude(options: &Options, dir: &Path, planned: &[Planned], world: &World) -> io::Result<bool> {
    let violations = &world.checks.violations;
    for violation in violations {
        print_violation(options.seed, violation, world);
    }
    let kept = violations.is_empty();
    let all = world.tally.since(Duration::ZERO);
    let tested = world.checks.tested;
    let summary = format!(
        "result={} seed={} seconds={} instances={} starts={} faults={} served={} refused={} \
         failed={} openings={} changes_tested={} drains_tested={} sales={} not_run={} \
         most_memory_kb={} most_descriptors={} driver_lag_ms={} violations={}",
        if kept { "ok" } else { "broken" },
        options.seed,
        options.length.as_secs(),
        world.instances.len(),
        world.instances.iter().map(|instance| instance.starts).sum::<u32>(),
        planned.len(),
        all.served,
        all.refused,
        all.failed,
        tested.openings,
        tested.changes,
        tested.drains,
        tested.sales,
        tested.not_run,
        world.most.0,
        world.most.1,
        world.lag.as_millis(),
        violations.len(),
    );
    println!("{summary}");
    if let Some(path) = &options.report {
        let story = report::Story { summary: &summary, planned, tally: &world.tally, violations };
        report::write(path, &story).map_err(|e| io::Error::other(e.to_string()))?;
    }
    if kept && !options.keep {
        fs::remove_dir_all(dir)?;
    } else {
        println!("logs={}", dir.display());
    }
    Ok(kept)
}

fn print_violation(seed: u64, violation: &Violation, world: &World) {
    let Violation { at, promise, seen, caller } = violation;
    println!(
        "violation seed={seed} at={at:.3?} promise={promise} seen=\"{seen}\" caller={caller:?}"
    );
    let Some(caller) = caller else { return };
    let wanted = format!("caller={caller}");
    for instance in &world.instances {
        let Ok(text) = fs::read_to_string(&instance.log) else { continue };
        for line in text.lines().filter(|line| line.contains(&wanted)).take(LINES_SHOWN) {
            println!("  {}: {line}", instance.settings.packet_address.ip());
        }
    }
}

//! Two servers crash and start again at once under their ids; within the next second, a machine
//! through which clients have opened flows to one of them is killed. Do these flows go on through the
//! other machines?

use std::path::Path;
use std::time::Duration;

use crate::Outcome;
use crate::client::State;
use crate::store::Store;
use crate::world::{STABLE_WINDOW, World};

/// Times for which the two crashed servers are down.
const FIRST_DOWN: Duration = Duration::from_millis(100);
const SECOND_DOWN: Duration = Duration::from_millis(180);
/// When the machine is killed, after the second server's start.
const KILL: Duration = Duration::from_millis(700);
/// Time for which the killed machine stays away: the site files have 2 to 4.1 s.
const NODE_DOWN: Duration = Duration::from_millis(4_100);
/// When the clients send the next request, after the server's start: later than `StableWindowMs`,
/// and well below the idle timeout of 15 s.
const NEXT_REQUEST: Duration = Duration::from_millis(4_500);
/// Flows that the clients of the zone open.
const FLOWS: usize = 60;

fn configuration(world: &World) -> String {
    let ip = *world.route(1).ip();
    format!(
        r#"{{"Version":7,"Routes":[{{"Name":"r-sales","Hostname":"{ip}","PathPrefix":"/443/","RouteType":"unsafe","TimeoutMs":2500,"TargetLatencyMs":250,"Priority":1,"Service":"sales","Attempts":2}}],"Services":[{{"Name":"sales","HealthCheck":"/healthz","MaxFlows":4286,"Protocol":"h1","Tls":false}}],"Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":262144,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}}}"#
    )
}

pub fn run(directory: &Path, record: &Path, trouble: bool) -> Outcome {
    let mut world = World::new(directory, record, Store::new(None));
    let spec = configuration(&world);
    world.store.write("config", "main", spec);
    for zone in 0..3 {
        for _ in 0..4 {
            world.add_server("sales", zone);
        }
    }
    world.start_nodes(3);
    world.run_until(Duration::from_secs(12));
    if !world.all_ready() {
        return Outcome::CouldNotRun("not all instances are ready after 12 s".to_owned());
    }
    let to = world.route(1);
    // Clients of zone 0 work a little beforehand.
    let before: Vec<_> = (0..12).map(|_| world.open(0, to)).collect();
    let served = world.open_and_use(&before, "POST", Duration::from_millis(800));
    world.note(&format!("before: {} of {} flows answered", served.len(), before.len()));
    if served.len() < before.len() {
        return Outcome::CouldNotRun("flows were not served before the disruption".to_owned());
    }

    // The disruption on two of the twelve servers. Each writes its entry as soon as it has started.
    let (other, victim) = (4, 0);
    let name = world.servers[victim].name.clone();
    if trouble {
        let begin = world.now();
        for (i, down) in [(other, FIRST_DOWN), (victim, SECOND_DOWN)] {
            world.servers[i].crash();
            let server = world.servers[i].name.clone();
            world.note(&format!("server {server} crashes, to be down for {down:?}"));
        }
        for (i, down) in [(other, FIRST_DOWN), (victim, SECOND_DOWN)] {
            world.run_until(begin + down);
            world.servers[i].start();
            let entry = world.servers[i].entry();
            let server = world.servers[i].name.clone();
            world.store.write("servers", &server, entry);
            let born = world.servers[i].born;
            world.note(&format!("server {server} has started again under its id, born {born}, and has written its entry"));
        }
    }
    let started = world.now();

    // Clients open flows, and each sends one sale, which is answered.
    world.run_for(Duration::from_millis(100));
    let flows: Vec<_> = (0..FLOWS).map(|_| world.open(0, to)).collect();
    let through: Vec<_> = flows.iter().map(|&i| world.router(0, world.attempts[i].id)).collect();
    world.open_and_use(&flows, "POST", Duration::from_millis(450));
    let on_victim = |world: &World, i: usize| world.holder(world.attempts[i].id) == Some(victim);
    let mut of_node = vec![0; world.nodes.len()];
    for (&i, &node) in flows.iter().zip(&through) {
        of_node[node] += usize::from(on_victim(&world, i));
    }
    let machine = (0..of_node.len()).max_by_key(|&n| of_node[n]).unwrap_or(0);
    let watched: Vec<_> = flows
        .iter()
        .zip(&through)
        .filter(|&(&i, &node)| {
            node == machine && on_victim(&world, i) && world.attempts[i].is_idle()
        })
        .map(|(&i, _)| i)
        .collect();
    let machine_name = world.nodes[machine].name.clone();
    world.note(&format!(
        "{} flows are open and idle on server {name}, opened through {machine_name}; each had its first sale answered",
        watched.len()
    ));
    if watched.is_empty() {
        return Outcome::CouldNotRun("no flow was opened to the server".to_owned());
    }

    // The machine is killed.
    world.run_until(started + KILL);
    if trouble {
        world.kill_node(machine);
        world.note(&format!("{machine_name} is killed"));
    }

    // The next sale on each of the flows.
    world.run_until(started + NEXT_REQUEST);
    let alive: Vec<_> = watched
        .iter()
        .copied()
        .filter(|&i| world.attempts[i].state == State::Open && on_victim(&world, i))
        .collect();
    let mut ids = Vec::new();
    for &i in &alive {
        let node = world.router(0, world.attempts[i].id);
        let in_touch = world.in_touch(node, world.now());
        let id = world.request(i, "POST", Duration::from_millis(2_500));
        let text = format!(
            "sale {id} is sent through {} (in touch: {in_touch}) on an open flow of server {name}, {:.1} s after that server's start",
            world.nodes[node].name,
            (world.now() - started).as_secs_f64()
        );
        world.note(&text);
        ids.push((i, id, node, in_touch));
    }
    if trouble {
        world.run_until(started + KILL + NODE_DOWN);
        world.start_node(machine);
    }
    world.run_for(Duration::from_millis(2_600));

    world.note_attempts();
    let mut broken = 0;
    for (i, id, node, in_touch) in ids {
        let state = world.attempts[i].state;
        let ran = world.runs.iter().filter(|(_, _, run)| *run == id).count();
        let held = on_victim(&world, i);
        let running = world.servers[victim].is_running();
        let answered = world.attempts[i].answered;
        world.note(&format!(
            "sale {id}: flow {state:?}, {answered} answers on it, run {ran} times; the server holds the flow: {held}"
        ));
        let ended = world.attempts[i].ended.unwrap_or_default();
        let undisturbed = ended >= started + STABLE_WINDOW && running;
        if state == State::ResetBySystem && undisturbed && in_touch && world.in_touch(node, ended) {
            broken += 1;
        }
    }
    let early = flows
        .iter()
        .filter(|&&i| {
            world.attempts[i].state == State::ResetBySystem
                && world.attempts[i].ended.is_some_and(|at| at < started + STABLE_WINDOW)
        })
        .count();
    world.note(&format!(
        "{early} other flows were reset within StableWindowMs of the server's start, which the rule excuses"
    ));
    world.note(&format!(
        "FLOW: {broken} of {} flows were reset though their server lives and holds them",
        alive.len()
    ));
    match () {
        () if broken > 0 => Outcome::Broken,
        () if alive.is_empty() => Outcome::CouldNotRun("no flow was left to look at".to_owned()),
        () => Outcome::Held,
    }
}

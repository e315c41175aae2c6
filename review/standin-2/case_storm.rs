//! Configurations come in quick succession while the configuration is big: do machines in touch
//! handle requests as the last one says, `ConfigApplyMs` after its acknowledgement?

use std::path::Path;
use std::time::Duration;

use crate::Outcome;
use crate::client::State;
use crate::store::Store;
use crate::world::{CONFIG_APPLY, World};

/// `big_config`: the site files have 205 to 1,760 routes more, 1,400 most often.
const EXTRA_ROUTES: u32 = 1_400;
/// `config_storm`: a change each `gap_s` for `for_s`, as on the day `trouble-3` of serrana-deck; the site
/// files have 0.06 to 0.411 s, for 1.5 to 4.9 s.
const GAP: Duration = Duration::from_millis(80);
const STORM: Duration = Duration::from_millis(2_000);
/// Without the disruption, the same kind of change comes so seldom.
const CALM_GAP: Duration = Duration::from_millis(1_000);
/// Time for which requests are sent after the last configuration has to be in force.
const LOOK: Duration = Duration::from_secs(12);

/// Returns the configuration. Route 2 goes to `old` up to the last change, which moves it to `new`.
fn configuration(world: &World, version: u64, timeout: u64, last: bool) -> String {
    let route = |name: &str, n: u8, port: u16, service: &str, timeout: u64| {
        let ip = *world.route(n).ip();
        format!(
            r#"{{"Name":"{name}","Hostname":"{ip}","PathPrefix":"/{port}/","RouteType":"safe","TimeoutMs":{timeout},"TargetLatencyMs":200,"Priority":2,"Service":"{service}","Attempts":2}}"#
        )
    };
    let mut routes = vec![
        route("r-first", 1, 443, "stays", timeout),
        route("r-second", 2, 443, if last { "new" } else { "old" }, 2_000),
    ];
    let extra = |i: u32| route(&format!("r-extra{i:05}"), 3, 1_000 + i as u16, "stays", 2_000);
    routes.extend((0..EXTRA_ROUTES).map(extra));
    let service = |name: &str| {
        format!(
            r#"{{"Name":"{name}","HealthCheck":"/healthz","MaxFlows":4286,"Protocol":"h1","Tls":false}}"#
        )
    };
    let services = [service("stays"), service("old"), service("new")].join(",");
    format!(
        r#"{{"Version":{version},"Routes":[{}],"Services":[{services}],"Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":262144,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}}}"#,
        routes.join(",")
    )
}

pub fn run(directory: &Path, record: &Path, trouble: bool, watch_bytes: Option<usize>) -> Outcome {
    let mut world = World::new(directory, record, Store::new(watch_bytes));
    let first = configuration(&world, 100, 2_000, false);
    let limit = match watch_bytes {
        Some(bytes) => format!("{bytes} bytes of objects"),
        None => "all changes".to_owned(),
    };
    world.note(&format!("the store answers a watch with up to: {limit}"));
    world.note(&format!("a configuration has {} bytes", first.len()));
    world.store.write("config", "main", first);
    for zone in 0..3 {
        for service in ["stays", "old", "new"] {
            world.add_server(service, zone);
        }
    }
    world.start_nodes(3);
    world.run_until(Duration::from_secs(12));
    if !world.all_ready() {
        return Outcome::CouldNotRun("not all instances are ready after 12 s".to_owned());
    }

    // The changes. Each write's return is its acknowledgement.
    let begin = world.now();
    let gap = if trouble { GAP } else { CALM_GAP };
    let mut version = 100;
    let mut next = begin;
    while world.now() < begin + STORM {
        if world.now() >= next {
            next += gap;
            version += 3;
            let spec = configuration(&world, version, 2_000 + version, false);
            world.store.write("config", "main", spec);
            world.note(&format!("acknowledged: version {version}"));
        }
        world.step();
    }
    // The last change comes a gap later, as the ones before.
    world.run_until(next);
    version += 3;
    let spec = configuration(&world, version, 2_000 + version, true);
    world.store.write("config", "main", spec);
    let acknowledged = world.now();
    world.note(&format!("acknowledged: version {version}, route 2 goes to `new` from now on"));

    // Clients of all zones open flows on route 2 and send a request on each.
    let to = world.route(2);
    let mut flows = Vec::new();
    let mut next = acknowledged;
    while world.now() < acknowledged + CONFIG_APPLY + LOOK {
        if world.now() >= next {
            next += Duration::from_millis(100);
            for zone in 0..3 {
                flows.push(world.open(zone, to));
            }
        }
        let open: Vec<_> = flows
            .iter()
            .copied()
            .filter(|&i| world.attempts[i].is_idle() && world.attempts[i].answered == 0)
            .collect();
        for i in open {
            world.request(i, "GET", Duration::from_millis(2_000));
        }
        world.step();
    }
    world.run_for(Duration::from_millis(1_500));
    judge(&mut world, acknowledged, &flows)
}

fn judge(world: &mut World, acknowledged: Duration, flows: &[usize]) -> Outcome {
    let (bytes, events) = world.store.largest_watch();
    world.note(&format!("largest answer to a watch: {bytes} bytes in {events} events"));
    for i in 0..world.nodes.len() {
        let failed = world.log_lines(i, "platform_call_failed call=\"watch routes/");
        let name = world.nodes[i].name.clone();
        world.note(&format!("{name}: {failed} failed watches of routes in the log"));
    }
    world.note_attempts();
    let due = acknowledged + CONFIG_APPLY;
    let (mut late, mut last_late, mut right) = (0, Duration::ZERO, 0);
    for opening in world.openings.clone() {
        if opening.flow.1 != world.route(2) {
            continue;
        }
        let Some(node) = opening.node else { continue };
        let service = world.servers[opening.server].service.clone();
        if opening.sent <= due || !world.in_touch(node, opening.sent) {
            continue;
        }
        if service == "old" {
            late += 1;
            last_late = last_late.max(opening.sent);
            if late <= 20 {
                let text = format!(
                    "CONFIG: {} sent a flow that its client opened at {:.3} to `old`, {:.3} s after the acknowledgement",
                    world.nodes[node].name,
                    opening.sent.as_secs_f64(),
                    (opening.sent - acknowledged).as_secs_f64()
                );
                world.note(&text);
            }
        } else {
            right += 1;
        }
    }
    let answered = flows.iter().filter(|&&i| world.attempts[i].answered > 0).count();
    let refused = flows.iter().filter(|&&i| world.attempts[i].state == State::Refused).count();
    let last = last_late.saturating_sub(acknowledged).as_secs_f64();
    world.note(&format!(
        "{} flows, {answered} answered, {refused} refused; sent later than {CONFIG_APPLY:?} after the acknowledgement: {late} to `old` (the last {last:.1} s after it), {right} to `new`",
        flows.len()
    ));
    if late > 0 { Outcome::Broken } else { Outcome::Held }
}

//! Makes planned faults happen, and ends them.

use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;
use rand::seq::{IndexedRandom, IteratorRandom};

use super::plan::{Fault, Planned};
use super::proxy::LinkMode;
use super::world::{Cut, World};
use crate::emulator::server::Presence;
use crate::emulator::store::StoreMode;
use crate::emulator::weather::Weather;

/// Grace of a stop that a changed settings file gives, in seconds; the first one is among them.
const GRACES: [u64; 3] = [4, 5, 6];

/// What ends later.
#[derive(Debug, Clone)]
enum End {
    Store(Vec<usize>),
    Lapse,
    Link(Vec<usize>),
    Cut(usize),
    Weather,
}

/// The faults of a run, as far as they are still to come or to end.
#[derive(Debug)]
pub struct Faults {
    planned: Vec<Planned>,
    ends: Vec<(Duration, End)>,
    rng: SmallRng,
}

impl Faults {
    /// Makes the faults of a plan.
    pub fn new(mut planned: Vec<Planned>, rng: SmallRng) -> Self {
        planned.sort_by_key(|planned| planned.at);
        planned.reverse();
        Self { planned, ends: Vec::new(), rng }
    }

    /// Begins and ends what is due.
    pub fn tick(&mut self, world: &mut World) {
        let now = world.now;
        let (over, rest): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.ends).into_iter().partition(|(at, _)| now >= *at);
        self.ends = rest;
        for (_, end) in over {
            finish(world, &end);
        }
        while let Some(planned) = self.planned.pop_if(|planned| now >= planned.at) {
            log::info!(fault = planned.fault.name(), details = format!("{:?}", planned.fault).as_str(), time_ms = planned.time.as_millis() as u64; "fault");
            self.begin(world, planned);
        }
        if !self.ends.iter().all(|(_, end)| matches!(end, End::Weather))
            || world.flying.weather != Weather::default()
        {
            world.troubled = now;
        }
    }

    fn begin(&mut self, world: &mut World, planned: Planned) {
        let now = world.now;
        let until = now + planned.time;
        if !planned.fault.is_planned() {
            world.troubled = now;
        }
        match planned.fault {
            Fault::Roll => self.roll(world),
            Fault::Reload { signalled } => self.reload(world, signalled),
            Fault::Routes { times } => change_routes(world, times),
            Fault::Drain => {
                if !world.store.borrow().is_down() {
                    world.fleet.drain(now);
                }
            }
            Fault::Kill { share } => {
                for i in self.some(world, share) {
                    let down = Duration::from_millis(self.rng.random_range(300..2_000));
                    world.instances[i].kill(now, down);
                }
            }
            Fault::Freeze => {
                for i in self.some(world, 0.0) {
                    world.instances[i].freeze(now, planned.time);
                }
            }
            Fault::Store { mode, share } => {
                let some = self.some(world, share);
                set_store(world, &some, mode);
                self.ends.push((until, End::Store(some)));
            }
            Fault::Compact => world.store.borrow_mut().compact(),
            Fault::Lapse => {
                let all: Vec<_> = (0..world.instances.len()).collect();
                set_store(world, &all, StoreMode::Silent);
                world.lapses = true;
                self.ends.push((until, End::Store(all)));
                self.ends.push((until, End::Lapse));
            }
            Fault::Link { mode, share } => {
                let some = self.some(world, share);
                some.iter().for_each(|&i| world.links[i].set(mode));
                self.ends.push((until, End::Link(some)));
            }
            Fault::Cut { one_way } => {
                let domain = self.rng.random_range(0..3);
                world.cuts.push(Cut { domain, one_way });
                self.ends.push((until, End::Cut(domain)));
            }
            Fault::Weather { loss, doubled, delay } => {
                world.set_weather(Weather { loss, doubled, delay });
                self.ends.push((until, End::Weather));
            }
            Fault::Crash => world.fleet.crash(now),
            Fault::Restart => world.fleet.restart(now),
            Fault::FreezeServer => {
                if let Some(server) = world.fleet.draw() {
                    server.presence = Presence::Frozen { until };
                    server.troubled = until;
                }
            }
        }
    }

    fn roll(&mut self, world: &mut World) {
        let now = world.now;
        let running = world.instances.iter_mut().filter(|instance| instance.runs());
        if let Some(instance) = running.choose(&mut self.rng) {
            instance.terminate(now);
        }
    }

    fn reload(&mut self, world: &mut World, signalled: bool) {
        let Some(instance) = world.instances.iter_mut().choose(&mut self.rng) else { return };
        let grace = GRACES.choose(&mut self.rng).copied().unwrap_or(GRACES[0]);
        instance.settings.grace = Duration::from_secs(grace);
        if let Err(e) = instance.write_settings() {
            log::error!(problem = e.to_string().as_str(); "settings_unwritten");
        }
        if signalled {
            instance.hang_up(world.now);
        }
    }

    /// Draws a share of the instances, one at least.
    fn some(&mut self, world: &World, share: f64) -> Vec<usize> {
        let count = world.instances.len();
        let wanted = ((count as f64 * share) as usize).max(1);
        (0..count).choose_multiple(&mut self.rng, wanted)
    }
}

/// Leads the moving address to the next service, several times.
fn change_routes(world: &mut World, times: u32) {
    if world.store.borrow().is_down() {
        return;
    }
    for _ in 0..times {
        world.routes.version += 3;
        if let Some(route) = world.routes.routes.last_mut() {
            let n = world.routes.version / 3 % 3;
            route.services[0].service = format!("move-{n}");
        }
        world.write_routes();
    }
}

fn set_store(world: &World, instances: &[usize], mode: StoreMode) {
    let mut store = world.store.borrow_mut();
    instances.iter().for_each(|&i| store.set_mode(i, mode));
}

fn finish(world: &mut World, end: &End) {
    match end {
        End::Store(instances) => set_store(world, instances, StoreMode::Well),
        End::Lapse => world.lapses = false,
        End::Link(instances) => instances.iter().for_each(|&i| world.links[i].set(LinkMode::Whole)),
        End::Cut(domain) => {
            if let Some(i) = world.cuts.iter().position(|cut| cut.domain == *domain) {
                world.cuts.remove(i);
            }
        }
        End::Weather => world.set_weather(Weather::default()),
    }
    world.troubled = world.now;
}

//! Injects the scheduled faults and reverts them.

use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use limpetdeck::steering::{RawRoute, RawRoutes};
use rand::Rng;
use rand::rngs::SmallRng;
use rand::seq::{IndexedRandom, IteratorRandom};

use super::environment::{DOMAINS, Environment, Partition, USED_ROUTES};
use super::odd_entries;
use super::plan::{Fault, ScheduledFault};
use super::proxy::LinkMode;
use crate::emulator::network::Impairment;
use crate::emulator::server::RunState;
use crate::emulator::store::StoreMode;

/// Grace periods, in seconds, that a changed settings file may set. The initial one is included.
const GRACE_PERIODS_S: [u64; 3] = [4, 5, 6];

/// Longest time after a restore of the store until the operator writes again.
const MAX_REWRITE_DELAY: Duration = Duration::from_millis(1_500);

/// Number of routes that are added at once, more than fit one message between instances.
const MANY_ROUTES: usize = 350;

/// Time after which an order that was marked as being deleted is removed.
const MARKED_TIME: Duration = Duration::from_millis(800);
/// Time until the next attempt to withdraw an order from a store that is down.
const ORDER_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Time for which watchers that are killed do not run.
const WATCHER_DOWNTIME: Duration = Duration::from_millis(300);

/// A fault to be reverted later.
#[derive(Debug, Clone)]
enum Undo {
    Store(Vec<usize>),
    EntryExpiry,
    Restore,
    Rewrite,
    Link(Vec<usize>),
    /// The watchers that are cut off from the store.
    Watchers(Vec<usize>),
    Partition(usize),
    Impairment,
    /// The route that was dropped, with its latency target.
    Route(RawRoute, u64),
    /// The order to drain the domain, and whether it is marked before it is removed.
    DomainOrder(usize, bool),
    MarkedOrders,
    /// The names of the odd entries.
    OddEntries(Vec<String>),
}

impl Undo {
    /// Returns whether no bound is suspended until this is done.
    fn is_harmless(&self) -> bool {
        matches!(
            self,
            Self::Impairment
                | Self::Restore
                | Self::Watchers(_)
                | Self::DomainOrder(..)
                | Self::MarkedOrders
                | Self::OddEntries(_)
                | Self::Route(..)
        )
    }
}

/// The faults of a run that are still to be injected or reverted.
#[derive(Debug)]
pub struct FaultInjector {
    schedule: Vec<ScheduledFault>,
    undos: Vec<(Duration, Undo)>,
    rng: SmallRng,
}

impl FaultInjector {
    /// Creates an injector for a schedule.
    pub fn new(mut schedule: Vec<ScheduledFault>, rng: SmallRng) -> Self {
        schedule.sort_by_key(|scheduled| scheduled.at);
        schedule.reverse();
        Self { schedule, undos: Vec::new(), rng }
    }

    /// Reverts and injects the faults that are due.
    pub fn tick(&mut self, env: &mut Environment) {
        let now = env.now;
        let (due, rest): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.undos).into_iter().partition(|(at, _)| now >= *at);
        self.undos = rest;
        for (_, undo) in due {
            self.revert(env, &undo);
        }
        while let Some(scheduled) = self.schedule.pop_if(|scheduled| now >= scheduled.at) {
            log::info!(
                fault = scheduled.fault.name(),
                details = format!("{:?}", scheduled.fault).as_str(),
                time_ms = scheduled.duration.as_millis() as u64;
                "fault"
            );
            self.inject(env, scheduled);
        }
        if !self.undos.iter().all(|(_, undo)| undo.is_harmless())
            || env.network.impairment != Impairment::default()
        {
            env.record_shared_fault();
        }
    }

    fn inject(&mut self, env: &mut Environment, scheduled: ScheduledFault) {
        let now = env.now;
        let until = now + scheduled.duration;
        if !scheduled.fault.is_maintenance() && !scheduled.fault.hits_single_instances() {
            env.last_fault = now;
        }
        if !scheduled.fault.leaves_others_in_touch() {
            env.record_shared_fault();
        }
        match scheduled.fault {
            Fault::Roll => self.roll(env),
            Fault::Reload { signalled } => self.reload(env, signalled),
            Fault::Routes { times } => change_routes(env, times),
            Fault::RollIn { domain } => {
                let running = self.running_in(env, domain);
                if let Some(&i) = running.choose(&mut self.rng) {
                    env.instances[i].terminate(now);
                }
            }
            Fault::FreezeHalf { domain } => {
                let running = self.running_in(env, domain);
                let count = running.len().div_ceil(2);
                for &i in running.choose_multiple(&mut self.rng, count) {
                    env.instances[i].pause(now, scheduled.duration);
                }
            }
            Fault::ManyRoutes => toggle_many_routes(env),
            Fault::Drain => {
                if !env.store.borrow().is_down() {
                    env.fleet.drain(now);
                }
            }
            Fault::Kill { share } => {
                for i in self.random_instances(env, share) {
                    let delay = Duration::from_millis(self.rng.random_range(300..2_000));
                    env.instances[i].kill(now, delay);
                }
            }
            Fault::Freeze => {
                for i in self.random_instances(env, 0.0) {
                    env.instances[i].pause(now, scheduled.duration);
                }
            }
            Fault::Store { mode, share } => {
                let instances = self.random_instances(env, share);
                set_store(env, &instances, mode);
                self.undos.push((until, Undo::Store(instances)));
            }
            Fault::Compact => env.store.borrow_mut().compact(),
            Fault::Lapse => {
                let instances: Vec<_> = (0..env.instances.len()).collect();
                set_store(env, &instances, StoreMode::Silent);
                env.entries_expire = true;
                self.undos.push((until, Undo::Store(instances)));
                self.undos.push((until, Undo::EntryExpiry));
            }
            Fault::Restore => {
                env.store.borrow_mut().take_copy();
                let rewrite = until + MAX_REWRITE_DELAY.mul_f64(self.rng.random());
                self.undos.push((until, Undo::Restore));
                self.undos.push((rewrite, Undo::Rewrite));
            }
            Fault::Link { mode, share } => {
                let instances = self.random_instances(env, share);
                instances.iter().for_each(|&i| env.links[i].set(mode));
                self.undos.push((until, Undo::Link(instances)));
            }
            Fault::LoseWatchers { mode } => self.lose_watchers(env, mode, until),
            Fault::Cut { one_way } => {
                let domain = self.rng.random_range(0..3);
                env.partitions.push(Partition { domain, one_way });
                self.undos.push((until, Undo::Partition(domain)));
            }
            Fault::Weather { loss, doubled, delay } => {
                env.set_impairment(Impairment { loss, duplication: doubled, max_delay: delay });
                self.undos.push((until, Undo::Impairment));
            }
            Fault::DrainDomain { domain, marked } => {
                if env.orders.give(now, domain, &mut env.store.borrow_mut()) {
                    self.undos.push((until, Undo::DomainOrder(domain, marked)));
                }
            }
            Fault::OddEntries { oddity } => {
                let names = odd_entries::write(env, oddity);
                self.undos.push((until, Undo::OddEntries(names)));
            }
            Fault::Crash => env.fleet.crash(now),
            Fault::Restart { renumbered } => env.fleet.restart(now, renumbered),
            Fault::LateEntries => env.fleet.write_late(now, &env.store),
            Fault::Starve { share, longest } => {
                for i in self.random_instances(env, share) {
                    env.instances[i].starve(until, longest);
                }
            }
            Fault::SilentConnections => {
                let mode = LinkMode::SilentBefore(Instant::now());
                env.links.iter().for_each(|link| link.set(mode));
            }
            Fault::DropRoute => {
                let route = env.routes.routes.remove(0);
                let latency_target = env.routes.latency_targets_ms.remove(0);
                change_routes(env, 1);
                self.undos.push((until, Undo::Route(route, latency_target)));
            }
            Fault::FreezeServer => {
                if let Some(server) = env.fleet.pick_random() {
                    server.run_state = RunState::Paused { until };
                    server.last_fault = until;
                }
            }
        }
    }

    /// Loses the instances that have watched the store, at most a third of all.
    fn lose_watchers(&mut self, env: &mut Environment, mode: Option<LinkMode>, until: Duration) {
        let watching = env.store.borrow_mut().take_watching();
        let lost = watching.into_iter().choose_multiple(&mut self.rng, env.instances.len() / 3);
        log::info!(instances = format!("{lost:?}").as_str(); "watchers_lost");
        for &i in &lost {
            match mode {
                Some(mode) => env.lose_link(i, mode, until),
                None => env.instances[i].kill(env.now, WATCHER_DOWNTIME),
            }
        }
        if mode.is_some() {
            self.undos.push((until, Undo::Watchers(lost)));
        }
    }

    fn roll(&mut self, env: &mut Environment) {
        let now = env.now;
        let running = env.instances.iter_mut().filter(|instance| instance.is_running());
        if let Some(instance) = running.choose(&mut self.rng) {
            instance.terminate(now);
        }
    }

    fn reload(&mut self, env: &mut Environment, signalled: bool) {
        let Some(instance) = env.instances.iter_mut().choose(&mut self.rng) else { return };
        let grace_s = GRACE_PERIODS_S.choose(&mut self.rng).copied().unwrap_or(GRACE_PERIODS_S[0]);
        instance.settings.grace = Duration::from_secs(grace_s);
        if let Err(e) = instance.write_settings() {
            log::error!(problem = e.to_string().as_str(); "settings_unwritten");
        }
        if signalled {
            instance.signal_reload(env.now);
        }
    }

    fn revert(&mut self, env: &mut Environment, undo: &Undo) {
        let &Undo::DomainOrder(domain, marked) = undo else { return revert(env, undo) };
        if env.store.borrow().is_down() {
            return self.undos.push((env.now + ORDER_RETRY_INTERVAL, undo.clone()));
        }
        env.orders.withdraw(domain, marked, &mut env.store.borrow_mut());
        env.fleet.cool_domain(env.now, DOMAINS[domain]);
        self.undos.push((env.now + MARKED_TIME, Undo::MarkedOrders));
    }

    fn running_in(&self, env: &Environment, domain: usize) -> Vec<usize> {
        let instances = env.instances.iter().enumerate();
        let running = instances.filter(|(_, i)| i.domain == domain && i.is_running());
        running.map(|(i, _)| i).collect()
    }

    /// Picks a random share of the instances, at least one.
    fn random_instances(&mut self, env: &Environment, share: f64) -> Vec<usize> {
        let total = env.instances.len();
        let count = ((total as f64 * share) as usize).max(1);
        (0..total).choose_multiple(&mut self.rng, count)
    }
}

/// Changes the service of the third route, `times` times in a row.
fn change_routes(env: &mut Environment, times: u32) {
    if env.store.borrow().is_down() {
        return;
    }
    for _ in 0..times {
        env.routes.version += 3;
        if let Some(route) = env.routes.routes.last_mut() {
            let n = env.routes.version / 3 % 3;
            route.services[0].service = format!("move-{n}");
        }
        env.write_routes();
    }
}

/// Adds many routes that no caller uses, or removes them, and changes the service of the third route.
fn toggle_many_routes(env: &mut Environment) {
    if env.store.borrow().is_down() {
        return;
    }
    let RawRoutes { routes, latency_targets_ms, .. } = &mut env.routes;
    // The last route is the one that changes.
    let unused = USED_ROUTES - 1..routes.len() - 1;
    if unused.is_empty() {
        let added = (0..MANY_ROUTES).map(|n| unused_route(n as u16, &routes[0]));
        routes.splice(unused.clone(), added.collect::<Vec<_>>());
        latency_targets_ms.splice(unused, vec![latency_targets_ms[0]; MANY_ROUTES]);
    } else {
        routes.drain(unused.clone());
        latency_targets_ms.drain(unused);
    }
    change_routes(env, 1);
}

fn unused_route(n: u16, like: &RawRoute) -> RawRoute {
    let [high, low] = n.to_be_bytes();
    let address = SocketAddrV4::new([198, 19, high, low].into(), like.address.port());
    RawRoute { name: format!("unused-{n}"), address, ..like.clone() }
}

fn set_store(env: &Environment, instances: &[usize], mode: StoreMode) {
    let mut store = env.store.borrow_mut();
    instances.iter().for_each(|&i| store.set_mode(i, mode));
}

fn revert(env: &mut Environment, undo: &Undo) {
    match undo {
        Undo::Store(instances) => set_store(env, instances, StoreMode::Well),
        Undo::EntryExpiry => env.entries_expire = false,
        Undo::Restore => {
            env.store.borrow_mut().restore_copy();
            env.orders.record_restore(env.now, &env.store.borrow());
        }
        Undo::Rewrite => {
            env.write_routes_again();
            env.orders.write_again(env.now, &mut env.store.borrow_mut());
        }
        // Withdrawn in `FaultInjector::revert`.
        Undo::DomainOrder(..) => return,
        Undo::MarkedOrders => {
            return env.orders.remove_marked(&mut env.store.borrow_mut());
        }
        Undo::Route(route, latency_target) => {
            env.routes.routes.insert(0, route.clone());
            env.routes.latency_targets_ms.insert(0, *latency_target);
            return toggle_many_routes(env);
        }
        Undo::OddEntries(names) => return odd_entries::remove(env, names),
        Undo::Link(instances) => instances.iter().for_each(|&i| env.links[i].set(LinkMode::Whole)),
        Undo::Watchers(instances) => {
            instances.iter().for_each(|&i| env.links[i].set(LinkMode::Whole));
            return;
        }
        Undo::Partition(domain) => {
            if let Some(i) = env.partitions.iter().position(|partition| partition.domain == *domain)
            {
                env.partitions.remove(i);
            }
        }
        Undo::Impairment => env.set_impairment(Impairment::default()),
    }
    env.record_shared_fault();
}

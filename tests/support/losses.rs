//! Ways in which an instance is lost for a time.

use limpetdeck::instance::Event;

use super::world::*;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Loss {
    /// The platform does not respond.
    Silent,
    /// The platform refuses calls.
    Refused,
    /// The platform responds late.
    Slow,
    /// Neither the platform nor peers respond.
    Partitioned,
    /// Peers do not respond, the platform does.
    Separated,
    Paused,
    /// Ends without notice, and starts again at the end of the loss.
    Killed,
    /// Stops gracefully, and starts again at the end of the loss.
    Stopped,
}

impl Loss {
    pub fn begin(self, world: &mut World, i: usize) {
        match self {
            Self::Silent => world.store.silent_instances.push(i),
            Self::Refused => world.store.refused_instances.push(i),
            Self::Slow => world.store.slow_instances.push(i),
            Self::Partitioned => {
                world.store.silent_instances.push(i);
                world.partitioned.push(i);
            }
            Self::Separated => world.partitioned.push(i),
            Self::Paused => {
                world.paused.entry(i).or_default();
            }
            Self::Killed => world.kill(i),
            Self::Stopped => world.handle(i, Event::Stop),
        }
    }

    pub fn end(self, world: &mut World, i: usize) {
        let World { store, partitioned, .. } = world;
        let lists = [
            &mut store.silent_instances,
            &mut store.refused_instances,
            &mut store.slow_instances,
            partitioned,
        ];
        lists.into_iter().for_each(|list| list.retain(|&lost| lost != i));
        match self {
            Self::Paused => world.resume(i),
            Self::Killed | Self::Stopped => world.start(i),
            _ => {}
        }
    }
}

//! A network that loses, duplicates and delays datagrams.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;

/// Delay of a datagram without impairment.
const BASE_DELAY: Duration = Duration::from_millis(1);

/// Loss, duplication and delay; random delays also reorder datagrams.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Impairment {
    /// Probability of loss.
    pub loss: f64,
    /// Probability of duplication.
    pub duplication: f64,
    /// Maximum additional delay.
    pub max_delay: Duration,
}

/// Datagrams in transit.
#[derive(Debug)]
pub struct Network<T> {
    /// Impairment of datagrams sent from now on.
    pub impairment: Impairment,
    due: BTreeMap<(Duration, u64), T>,
    sent: u64,
    rng: SmallRng,
}

impl<T: Clone> Network<T> {
    /// Creates a network without impairment.
    pub fn new(rng: SmallRng) -> Self {
        Self { impairment: Impairment::default(), due: BTreeMap::new(), sent: 0, rng }
    }

    /// Sends a datagram, which may be lost or duplicated.
    pub fn send(&mut self, now: Duration, datagram: T) {
        let Impairment { loss, duplication, max_delay } = self.impairment;
        if self.rng.random_bool(loss) {
            return;
        }
        if self.rng.random_bool(duplication) {
            self.schedule(now, max_delay, datagram.clone());
        }
        self.schedule(now, max_delay, datagram);
    }

    /// Removes and returns the datagrams that have arrived.
    pub fn arrived(&mut self, now: Duration) -> Vec<T> {
        let later = self.due.split_off(&(now, u64::MAX));
        std::mem::replace(&mut self.due, later).into_values().collect()
    }

    fn schedule(&mut self, now: Duration, max_delay: Duration, datagram: T) {
        self.sent += 1;
        let at = now + BASE_DELAY + max_delay.mul_f64(self.rng.random());
        self.due.insert((at, self.sent), datagram);
    }
}

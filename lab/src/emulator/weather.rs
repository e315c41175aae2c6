//! What happens to datagrams on their way.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;

/// Delay of a datagram in good weather.
const BASE_DELAY: Duration = Duration::from_millis(1);

/// Losses, doubles and delays; different delays change the order.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Weather {
    /// Share that is lost.
    pub loss: f64,
    /// Share that arrives twice.
    pub doubled: f64,
    /// Longest delay.
    pub delay: Duration,
}

/// Datagrams on their way.
#[derive(Debug)]
pub struct Flying<T> {
    /// The weather.
    pub weather: Weather,
    due: BTreeMap<(Duration, u64), T>,
    sent: u64,
    rng: SmallRng,
}

impl<T: Clone> Flying<T> {
    /// Makes a way in good weather.
    pub fn new(rng: SmallRng) -> Self {
        Self { weather: Weather::default(), due: BTreeMap::new(), sent: 0, rng }
    }

    /// Sends a datagram.
    pub fn send(&mut self, now: Duration, datagram: T) {
        let Weather { loss, doubled, delay } = self.weather;
        if self.rng.random_bool(loss) {
            return;
        }
        if self.rng.random_bool(doubled) {
            self.put(now, delay, datagram.clone());
        }
        self.put(now, delay, datagram);
    }

    /// Returns the datagrams that have arrived.
    pub fn arrived(&mut self, now: Duration) -> Vec<T> {
        let later = self.due.split_off(&(now, u64::MAX));
        std::mem::replace(&mut self.due, later).into_values().collect()
    }

    fn put(&mut self, now: Duration, delay: Duration, datagram: T) {
        self.sent += 1;
        let at = now + BASE_DELAY + delay.mul_f64(self.rng.random());
        self.due.insert((at, self.sent), datagram);
    }
}

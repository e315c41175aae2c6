//! Faults that the fabric injects: lost, duplicated, delayed and reordered packets, and
//! partitions.

use std::net::SocketAddr;
use std::time::Duration;

use limpetdeck::http::Request;
use rand::Rng;
use rand::rngs::SmallRng;

/// Delay of a reordered packet, so that later ones overtake it.
const REORDER_DELAY: Duration = Duration::from_millis(3);

/// Probabilities of faults, from 0 to 1, and the partitions in force.
#[derive(Debug, Clone, Default)]
pub struct FabricFaults {
    drop: f64,
    duplicate: f64,
    reorder: f64,
    delay: f64,
    delay_time: Duration,
    partitions: Vec<Partition>,
}

#[derive(Debug, Clone)]
struct Partition {
    a: Vec<SocketAddr>,
    b: Vec<SocketAddr>,
}

impl FabricFaults {
    /// Sets the probabilities given in a request; the others become 0.
    ///
    /// # Errors
    ///
    /// Returns a text that names the invalid parameter.
    pub fn set(&mut self, req: &Request) -> Result<(), String> {
        let probability = |key| match req.query(key) {
            None => Ok(0.0),
            Some(text) => match text.parse() {
                Ok(value) if (0.0..=1.0).contains(&value) => Ok(value),
                _ => Err(format!("{key}={text} is not a number from 0 to 1")),
            },
        };
        let delay_ms = req.query("delay_ms").unwrap_or("0").parse();
        let delay_ms = delay_ms.map_err(|_| "delay_ms is not a number".to_owned())?;
        self.drop = probability("drop")?;
        self.duplicate = probability("duplicate")?;
        self.reorder = probability("reorder")?;
        self.delay = probability("delay")?;
        self.delay_time = Duration::from_millis(delay_ms);
        Ok(())
    }

    /// Adds a partition between the two groups of addresses given in a request.
    ///
    /// # Errors
    ///
    /// Returns a text that names the invalid parameter.
    pub fn add_partition(&mut self, req: &Request) -> Result<(), String> {
        let group = |key| -> Result<Vec<SocketAddr>, String> {
            let list = req.query(key).ok_or_else(|| format!("{key} is missing"))?;
            list.split(',')
                .map(|text| {
                    text.parse().map_err(|_| format!("{text:?} is not of the form IP:PORT"))
                })
                .collect()
        };
        self.partitions.push(Partition { a: group("a")?, b: group("b")? });
        Ok(())
    }

    /// Ends all partitions.
    pub fn heal(&mut self) {
        self.partitions.clear();
    }

    /// Returns whether no partition separates two addresses.
    pub fn reachable(&self, from: SocketAddr, to: SocketAddr) -> bool {
        let separates = |partition: &Partition| {
            (partition.a.contains(&from) && partition.b.contains(&to))
                || (partition.b.contains(&from) && partition.a.contains(&to))
        };
        !self.partitions.iter().any(separates)
    }

    /// Draws the faults of a packet: returns the delay of each copy that is delivered.
    pub fn copy_delays(&self, rng: &mut SmallRng) -> Vec<Duration> {
        if rng.random_bool(self.drop) {
            return Vec::new();
        }
        let copies = if rng.random_bool(self.duplicate) { 2 } else { 1 };
        (0..copies).map(|_| self.copy_delay(rng)).collect()
    }

    fn copy_delay(&self, rng: &mut SmallRng) -> Duration {
        if rng.random_bool(self.delay) {
            return self.delay_time;
        }
        if rng.random_bool(self.reorder) { REORDER_DELAY } else { Duration::ZERO }
    }
}

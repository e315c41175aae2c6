//! What the fabric does to packets on their way.

use std::net::SocketAddr;
use std::time::Duration;

use limpetdeck::http::Request;
use rand::Rng;
use rand::rngs::SmallRng;

/// Delay of a packet that is overtaken by later ones.
const REORDER_DELAY: Duration = Duration::from_millis(3);

/// The chances of faults, from 0 to 1.
#[derive(Debug, Clone, Default)]
pub struct FabricFaults {
    drop: f64,
    duplicate: f64,
    reorder: f64,
    delay: f64,
    delay_time: Duration,
    cuts: Vec<Cut>,
}

#[derive(Debug, Clone)]
struct Cut {
    a: Vec<SocketAddr>,
    b: Vec<SocketAddr>,
}

impl FabricFaults {
    /// Takes the chances that a request names; the others become 0.
    ///
    /// # Errors
    ///
    /// Returns what cannot be read.
    pub fn set(&mut self, req: &Request) -> Result<(), String> {
        let chance = |key| match req.query(key) {
            None => Ok(0.0),
            Some(text) => match text.parse() {
                Ok(chance) if (0.0..=1.0).contains(&chance) => Ok(chance),
                _ => Err(format!("{key}={text} is not from 0 to 1")),
            },
        };
        let delay_ms = req.query("delay_ms").unwrap_or("0").parse();
        let delay_ms = delay_ms.map_err(|_| "delay_ms is not a number".to_owned())?;
        self.drop = chance("drop")?;
        self.duplicate = chance("duplicate")?;
        self.reorder = chance("reorder")?;
        self.delay = chance("delay")?;
        self.delay_time = Duration::from_millis(delay_ms);
        Ok(())
    }

    /// Cuts two groups of senders and receivers off from each other.
    ///
    /// # Errors
    ///
    /// Returns what cannot be read.
    pub fn cut(&mut self, req: &Request) -> Result<(), String> {
        let group = |key| -> Result<Vec<SocketAddr>, String> {
            let list = req.query(key).ok_or_else(|| format!("{key} is missing"))?;
            list.split(',').map(|text| text.parse().map_err(|_| format!("{text:?}"))).collect()
        };
        self.cuts.push(Cut { a: group("a")?, b: group("b")? });
        Ok(())
    }

    /// Ends all cuts.
    pub fn heal(&mut self) {
        self.cuts.clear();
    }

    /// Tells whether a datagram can pass between two addresses.
    pub fn reachable(&self, from: SocketAddr, to: SocketAddr) -> bool {
        let cut = |cut: &Cut| {
            (cut.a.contains(&from) && cut.b.contains(&to))
                || (cut.b.contains(&from) && cut.a.contains(&to))
        };
        !self.cuts.iter().any(cut)
    }

    /// Draws the fate of a packet: the delay of each copy that arrives.
    pub fn copies(&self, rng: &mut SmallRng) -> Vec<Duration> {
        if rng.random_bool(self.drop) {
            return Vec::new();
        }
        let copies = if rng.random_bool(self.duplicate) { 2 } else { 1 };
        (0..copies).map(|_| self.delay_of_copy(rng)).collect()
    }

    fn delay_of_copy(&self, rng: &mut SmallRng) -> Duration {
        if rng.random_bool(self.delay) {
            return self.delay_time;
        }
        if rng.random_bool(self.reorder) { REORDER_DELAY } else { Duration::ZERO }
    }
}

//! What one customer uses of one service.

use std::time::Duration;

use rand::rngs::SmallRng;

use super::bucket::TokenBucket;
use super::recent::Recent;
use super::retry::spread;
use crate::ids::{Customer, ServiceId};
use crate::lists::Allowance;
use crate::pipeline::Refusal;
use crate::placement::RefuseReason;

/// Time without a packet after which an account that counts nothing is dropped.
const UNUSED_AFTER: Duration = Duration::from_secs(60);
/// New flows that may come at once, as the time in which the rate allows them.
const BURST: Duration = Duration::from_millis(500);
/// New flows that may come at once however low the rate is. Callers that come
/// independently of each other at 90% of a rate need about this many.
const LEAST_BURST: f64 = 20.0;

/// The counts of one customer and service.
#[derive(Debug)]
pub struct Account {
    /// Service that is used.
    pub service: ServiceId,
    /// Customer that uses it.
    pub customer: Customer,
    idle_timeout: Duration,
    open: u32,
    bucket: TokenBucket,
    ended: Recent,
    refused: Recent,
    used: Duration,
}

impl Account {
    /// Makes an account without flows and with a full bucket.
    pub fn new(now: Duration, service: ServiceId, customer: Customer) -> Self {
        Self {
            service,
            customer,
            idle_timeout: Duration::ZERO,
            open: 0,
            bucket: TokenBucket::new(now),
            ended: Recent::default(),
            refused: Recent::default(),
            used: now,
        }
    }

    /// Sets the idle timeout of the service, which operators may change.
    pub fn set_idle_timeout(&mut self, idle_timeout: Duration) {
        self.idle_timeout = idle_timeout;
    }

    /// Returns the idle timeout of the service.
    pub fn idle_timeout(&self) -> Duration {
        self.idle_timeout
    }

    /// Returns the number of open flows.
    pub fn open(&self) -> u32 {
        self.open
    }

    /// Counts a flow that is open already.
    pub fn found(&mut self) {
        self.open += 1;
    }

    /// Counts a new flow.
    ///
    /// # Errors
    ///
    /// Returns the reason if the allowance is used up.
    pub fn admit(
        &mut self,
        now: Duration,
        allowance: Allowance,
        rng: &mut SmallRng,
    ) -> Result<(), Refusal> {
        self.used = now;
        if self.open >= allowance.max_open_flows {
            return Err(self.refuse_open(now, rng));
        }
        let per_second = f64::from(allowance.max_new_flows_per_s);
        let burst = (per_second * BURST.as_secs_f64()).max(LEAST_BURST);
        if !self.bucket.take(now, per_second, burst) {
            return Err(self.refuse_rate(now, per_second, burst, rng));
        }
        self.open += 1;
        Ok(())
    }

    /// Takes a flow out of the count.
    pub fn ended(&mut self, now: Duration) {
        self.used = now;
        self.open = self.open.saturating_sub(1);
        self.ended.add(now);
    }

    /// Takes a flow out that was counted by mistake.
    pub fn forgotten(&mut self) {
        self.open = self.open.saturating_sub(1);
    }

    /// Tells whether the account counts nothing and has not been used for long.
    pub fn unused(&self, now: Duration) -> bool {
        self.open == 0 && now.saturating_sub(self.used) >= UNUSED_AFTER
    }

    fn refuse_open(&mut self, now: Duration, rng: &mut SmallRng) -> Refusal {
        self.refused.add(now);
        let ends = self.ended.per_second(now);
        let earliest = Duration::try_from_secs_f64(1.0 / ends).unwrap_or(Duration::MAX);
        let retry_after = spread(rng, earliest, self.refused.count(now), ends);
        Refusal { reason: RefuseReason::OpenFlows, retry_after }
    }

    fn refuse_rate(
        &mut self,
        now: Duration,
        per_second: f64,
        burst: f64,
        rng: &mut SmallRng,
    ) -> Refusal {
        self.refused.add(now);
        let earliest = self.bucket.wait(per_second, burst).unwrap_or(Duration::MAX);
        let retry_after = spread(rng, earliest, self.refused.count(now), per_second);
        Refusal { reason: RefuseReason::FlowRate, retry_after }
    }
}

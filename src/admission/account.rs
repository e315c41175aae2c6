//! Usage of one service by one customer.

use std::time::Duration;

use rand::rngs::SmallRng;

use super::bucket::TokenBucket;
use super::decaying_count::DecayingCount;
use super::retry::draw_retry_after;
use crate::ids::{Customer, ServiceId};
use crate::lists::Allowance;
use crate::pipeline::Refusal;
use crate::placement::RefuseReason;

/// Time without new flows (admitted or refused) and flow ends after which an account that has no
/// open flows is removed.
const ACCOUNT_TTL: Duration = Duration::from_secs(60);
/// Burst size of the token bucket, given as the time in which the allowed rate refills it.
const BURST_PERIOD: Duration = Duration::from_millis(500);
/// Lower bound of the burst size, in flows. Independent callers that arrive at 90% of the
/// allowed rate need bursts of about this size.
const MIN_BURST: f64 = 20.0;

/// Open flows and token bucket of one customer and service.
#[derive(Debug)]
pub struct Account {
    /// Service that the flows belong to.
    pub service: ServiceId,
    /// Customer that the callers belong to.
    pub customer: Customer,
    idle_timeout: Duration,
    open_flows: u32,
    bucket: TokenBucket,
    recent_ends: DecayingCount,
    recent_refusals: DecayingCount,
    last_used: Duration,
}

impl Account {
    /// Creates an account without flows and with a full bucket.
    pub fn new(now: Duration, service: ServiceId, customer: Customer) -> Self {
        Self {
            service,
            customer,
            idle_timeout: Duration::ZERO,
            open_flows: 0,
            bucket: TokenBucket::new(now),
            recent_ends: DecayingCount::default(),
            recent_refusals: DecayingCount::default(),
            last_used: now,
        }
    }

    /// Sets the idle timeout of the service; operators may change it at run time.
    pub fn set_idle_timeout(&mut self, idle_timeout: Duration) {
        self.idle_timeout = idle_timeout;
    }

    /// Returns the idle timeout of the service.
    pub fn idle_timeout(&self) -> Duration {
        self.idle_timeout
    }

    /// Returns the number of open flows.
    pub fn open_flows(&self) -> u32 {
        self.open_flows
    }

    /// Counts a flow that is already open.
    pub fn add_inherited(&mut self) {
        self.open_flows += 1;
    }

    /// Checks a new flow against the allowance and counts it.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the limit of open flows or of new flows per second is reached.
    pub fn admit(
        &mut self,
        now: Duration,
        allowance: Allowance,
        rng: &mut SmallRng,
    ) -> Result<(), Refusal> {
        self.last_used = now;
        if self.open_flows >= allowance.max_open_flows {
            return Err(self.refuse_open_flows(now, rng));
        }
        let per_second = f64::from(allowance.max_new_flows_per_s);
        let burst = (per_second * BURST_PERIOD.as_secs_f64()).max(MIN_BURST);
        if !self.bucket.take(now, per_second, burst) {
            return Err(self.refuse_flow_rate(now, per_second, burst, rng));
        }
        self.open_flows += 1;
        Ok(())
    }

    /// Removes a flow that has ended.
    pub fn remove_ended(&mut self, now: Duration) {
        self.last_used = now;
        self.open_flows = self.open_flows.saturating_sub(1);
        self.recent_ends.add(now);
    }

    /// Removes a flow that its owner did not confirm as open. Its end may be long past, so it
    /// is left out of the rate of ends.
    pub fn remove_unconfirmed(&mut self) {
        self.open_flows = self.open_flows.saturating_sub(1);
    }

    /// Returns whether the account has no open flows and was not used for [`ACCOUNT_TTL`].
    pub fn is_expired(&self, now: Duration) -> bool {
        self.open_flows == 0 && now.saturating_sub(self.last_used) >= ACCOUNT_TTL
    }

    fn refuse_open_flows(&mut self, now: Duration, rng: &mut SmallRng) -> Refusal {
        self.recent_refusals.add(now);
        let ends_per_second = self.recent_ends.per_second(now);
        let earliest = Duration::try_from_secs_f64(1.0 / ends_per_second).unwrap_or(Duration::MAX);
        let retry_after =
            draw_retry_after(rng, earliest, self.recent_refusals.count(now), ends_per_second);
        Refusal { reason: RefuseReason::OpenFlows, retry_after }
    }

    fn refuse_flow_rate(
        &mut self,
        now: Duration,
        per_second: f64,
        burst: f64,
        rng: &mut SmallRng,
    ) -> Refusal {
        self.recent_refusals.add(now);
        let earliest = self.bucket.time_to_token(per_second, burst).unwrap_or(Duration::MAX);
        let retry_after =
            draw_retry_after(rng, earliest, self.recent_refusals.count(now), per_second);
        Refusal { reason: RefuseReason::FlowRate, retry_after }
    }
}

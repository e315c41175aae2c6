//! Retries of callers that are refused at the same time are spread.

use std::time::Duration;

use limpetdeck::admission::RetryAfter;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const NOW: Duration = Duration::from_secs(100);

fn retry_delays(count: usize, earliest: Duration, per_second: f64) -> Vec<Duration> {
    let mut retry = RetryAfter::new(SmallRng::seed_from_u64(1));
    (0..count).map(|_| retry.next(NOW, earliest, per_second)).collect()
}

/// Returns the largest number of retries within one second.
fn max_per_second(delays: &[Duration]) -> usize {
    let within = |start: Duration| {
        delays.iter().filter(|&&t| t >= start && t < start + Duration::from_secs(1)).count()
    };
    (0..600).map(|tenth| within(Duration::from_millis(tenth * 100))).max().unwrap_or(0)
}

#[test]
fn retries_spread() {
    let delays = retry_delays(1_000, Duration::from_secs(2), 50.0);
    assert!(delays.iter().all(|&t| t > Duration::from_secs(2)));
    // Without jitter, all 1,000 would retry in the same second; the service admits 50 per second.
    assert!(max_per_second(&delays) <= 400, "{}", max_per_second(&delays));
    assert!(delays.iter().max() > Some(&Duration::from_secs(20)));
}

#[test]
fn unknown_rate() {
    let delays = retry_delays(1_000, Duration::MAX, 0.0);
    let (from, to) = (Duration::from_secs(30), Duration::from_secs(60));
    assert!(delays.iter().all(|&t| t > from && t <= to));
    assert!(max_per_second(&delays) <= 100);
}

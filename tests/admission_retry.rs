//! Callers that are refused together come back spread.

use std::time::Duration;

use limpetdeck::admission::RetryAfter;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const NOW: Duration = Duration::from_secs(100);

fn draw(count: usize, earliest: Duration, per_second: f64) -> Vec<Duration> {
    let mut retry = RetryAfter::new(SmallRng::seed_from_u64(1));
    (0..count).map(|_| retry.next(NOW, earliest, per_second)).collect()
}

/// Returns the most callers that come back within one second.
fn most_in_a_second(times: &[Duration]) -> usize {
    let within = |start: Duration| {
        times.iter().filter(|&&t| t >= start && t < start + Duration::from_secs(1)).count()
    };
    (0..600).map(|tenth| within(Duration::from_millis(tenth * 100))).max().unwrap_or(0)
}

#[test]
fn callers_spread() {
    let times = draw(1_000, Duration::from_secs(2), 50.0);
    assert!(times.iter().all(|&t| t > Duration::from_secs(2)));
    // All at once would be 1,000; what the service takes is 50.
    assert!(most_in_a_second(&times) <= 400, "{}", most_in_a_second(&times));
    assert!(times.iter().max() > Some(&Duration::from_secs(20)));
}

#[test]
fn unknown_rate() {
    let times = draw(1_000, Duration::MAX, 0.0);
    let (from, to) = (Duration::from_secs(30), Duration::from_secs(60));
    assert!(times.iter().all(|&t| t > from && t <= to));
    assert!(most_in_a_second(&times) <= 100);
}

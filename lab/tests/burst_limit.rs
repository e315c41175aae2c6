//! The best possible result of a burst, against results that are known by calculation.

use limpetdeck_lab::limit::{Answers, Class, best};

const LATE_VALUE: f64 = 0.3;

fn class(text: &str) -> Class {
    text.parse().expect("a class")
}

/// Checks two numbers of requests that may differ by the requests of a tick at each of two ends.
fn assert_near(found: f64, expected: f64, rate: f64) {
    assert!((found - expected).abs() <= rate * 0.05, "{found} instead of {expected}");
}

/// Guards against a bound below what is reached without overload.
#[test]
fn spare_capacity() {
    let answers = best(10, &[class("1,50,400,2000,100:190:100")], LATE_VALUE);
    assert_near(answers[0].in_time, 390.0, 0.1);
    assert_near(answers[0].refused, 0.0, 0.1);
}

/// At four times the capacity of 200 a second for 2 s, all slots give answers in time until the
/// latency target has passed after the burst, then late ones until the callers give up.
#[test]
fn four_times_the_capacity() {
    let [Answers { in_time, late, refused }] =
        best(10, &[class("1,50,450,1050,800:800")], LATE_VALUE)[..]
    else {
        panic!("not one class")
    };
    assert_near(in_time, 200.0 * (2.0 + 0.4), 200.0);
    assert_near(late, 200.0 * (1.05 - 0.45), 200.0);
    assert_near(in_time + late + refused, 1600.0, 0.1);
}

/// Guards against slots being given to requests that earn less for the same work, and against a
/// class that waits longer being served before one that cannot wait.
#[test]
fn two_classes() {
    let classes = [class("2,50,500,1000,150:150"), class("1,50,100,100,150:150")];
    let answers = best(10, &classes, LATE_VALUE);
    assert_near(answers[0].in_time, 300.0, 200.0);
    assert_near(answers[0].refused, 0.0, 0.1);
    // The last requests of the second class start 50 ms after the burst. Until then 410 requests
    // start, but of the first class those of the last 400 ms can start later.
    assert_near(answers[1].in_time, 410.0 - (300.0 - 60.0), 200.0);
    assert!("1,50,100".parse::<Class>().is_err());
}

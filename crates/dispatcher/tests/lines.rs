//! The limit on log lines per second.

use myrtlegauge_dispatcher::routing::Lines;
use std::time::Duration;

/// A thousand GETs shed in one second write twenty lines. The first line of the next second reports the number of
/// suppressed lines.
#[test]
fn an_overload_writes_a_limited_number_of_lines_and_counts_the_suppressed_ones() {
    let mut lines = Lines::default();
    let results: Vec<Option<u64>> =
        (0..1000).map(|ms| lines.take(Duration::from_micros(ms * 1000), 20)).collect();
    assert_eq!(results.iter().filter(|result| result.is_some()).count(), 20);
    assert_eq!(lines.take(Duration::from_millis(1000), 20), Some(980));
    assert_eq!(lines.take(Duration::from_millis(1001), 20), Some(0));
}

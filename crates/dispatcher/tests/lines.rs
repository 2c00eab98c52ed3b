//! The budget of log lines.

use myrtlegauge_dispatcher::routing::LogBudget;
use std::time::Duration;

/// A thousand GETs shed in one second make twenty lines, and the first line of the next second counts the rest.
#[test]
fn an_overload_writes_a_bounded_number_of_lines_and_counts_the_others() {
    let mut lines = LogBudget::default();
    let said: Vec<Option<u64>> = (0..1000).map(|n| lines.take(Duration::from_micros(n * 1000), 20)).collect();
    assert_eq!(said.iter().filter(|said| said.is_some()).count(), 20);
    assert_eq!(lines.take(Duration::from_millis(1000), 20), Some(980));
    assert_eq!(lines.take(Duration::from_millis(1001), 20), Some(0));
}

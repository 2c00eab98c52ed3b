//! The budget of log lines in each interval.

use myrtlegauge_dispatcher::routing::LogBudget;
use std::time::Duration;

/// Without a budget, each GET shed in an overload would be a line. A thousand attempts in one second write twenty lines,
/// and the first line of the next second gives the number of suppressed ones.
#[test]
fn an_overload_writes_a_bounded_number_of_lines_and_counts_the_others() {
    let mut budget = LogBudget::default();
    let granted: Vec<Option<u64>> =
        (0..1000).map(|at_ms| budget.take(Duration::from_millis(at_ms), 20)).collect();
    assert_eq!(granted.iter().filter(|grant| grant.is_some()).count(), 20);
    assert_eq!(budget.take(Duration::from_millis(1000), 20), Some(980));
    assert_eq!(budget.take(Duration::from_millis(1001), 20), Some(0));
}

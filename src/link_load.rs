//! What a router learns about the link to a cache: its capacity in transfers, and how much a transfer is slowed down by
//! others.

use crate::decide::{CONGESTED_PACE, SAMPLE_WEIGHT, TOLERATED_SLOWDOWN, WAKEUP_INTERVAL, moving_average};
use crate::state::LinkLoad;
use std::time::Duration;

/// Time constant of the mean number of this router's transfers at a cache. Each other router is assumed to have as
/// many there.
const LINK_LOAD_MEAN_TIME: Duration = Duration::from_millis(1000);
/// Lower bound of the learnt capacity of a link, in transfers. It is below one, since a host may slow down many times
/// over while nothing else is in flight to it.
const MIN_LINK_CAPACITY: f64 = 0.1;
/// Weight of a transfer at full pace that shows more than the learnt capacity. It is low because capacity is lost
/// faster than it is regained.
const CAPACITY_RISE_WEIGHT: f64 = 0.03;

impl LinkLoad {
    /// Assumed number of transfers on the link with one more: those of this router, and its mean for each other
    /// router at this location.
    fn total_transfers(&self, other_routers: f64) -> f64 {
        self.in_flight + 1.0 + self.mean_in_flight * other_routers
    }

    /// Factor on the time of a transfer because of the other transfers, from the learnt or the configured capacity.
    /// It is 1 if neither is known and hits are not much slower than at the best cache.
    pub(crate) fn slowness(&self, other_routers: f64, configured_capacity: f64) -> f64 {
        let capacity = if self.capacity > 0.0 { self.capacity } else { configured_capacity };
        let slowdown = if self.slowdown > TOLERATED_SLOWDOWN { self.slowdown } else { 1.0 };
        if capacity > 0.0 { (self.total_transfers(other_routers) / capacity).max(slowdown) } else { slowdown }
    }

    /// Updates the learnt capacity of the link from the relative pace of a transfer: at once while the link is full,
    /// and slowly upwards while it is not.
    pub(crate) fn record_pace(&mut self, other_routers: f64, pace: f64, congested_pace: f64) {
        let observed_capacity = (self.total_transfers(other_routers) * pace).max(MIN_LINK_CAPACITY);
        if pace < congested_pace {
            self.capacity = if self.capacity > 0.0 {
                moving_average(self.capacity, observed_capacity, SAMPLE_WEIGHT)
            } else {
                observed_capacity
            };
        } else if self.capacity > 0.0 && pace > CONGESTED_PACE && observed_capacity > self.capacity {
            self.capacity = moving_average(self.capacity, observed_capacity, CAPACITY_RISE_WEIGHT);
        }
    }

    pub(crate) fn update_mean(&mut self) {
        self.mean_in_flight = moving_average(
            self.mean_in_flight,
            self.in_flight,
            WAKEUP_INTERVAL.div_duration_f64(LINK_LOAD_MEAN_TIME),
        );
    }
}

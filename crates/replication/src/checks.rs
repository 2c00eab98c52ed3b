//! Validation shared by the configurations of replicas and subscribers.

use crate::errors::ConfigurationError;
use crate::poll::MAX_NAME_BYTES;
use std::time::Duration;

/// Checks that a duration is longer than another. Both come with their names for the error.
pub(crate) fn check_longer(
    (setting, value): (&'static str, Duration),
    (other, minimum): (&'static str, Duration),
) -> Result<(), ConfigurationError> {
    if value > minimum {
        Ok(())
    } else {
        Err(ConfigurationError::TooShort { setting, value, other, minimum })
    }
}

/// Checks the length of a name.
pub(crate) fn check_name(item: &'static str, name: &str) -> Result<(), ConfigurationError> {
    let length = name.len();
    let is_valid = (1..=MAX_NAME_BYTES).contains(&length);
    if is_valid { Ok(()) } else { Err(ConfigurationError::Name { item, length, max: MAX_NAME_BYTES }) }
}

pub(crate) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

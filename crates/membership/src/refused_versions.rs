//! Versions of members that never answered and whose machine refused a connection. The refusal proves that the process is
//! gone. It is recorded so that gossip on the same version does not make the member suspect again.

use crate::message::MemberVersion;
use std::collections::BTreeMap;
use std::time::Duration;

/// The maximum number of recorded names, so that made-up names cannot fill the memory.
const MAX_NAMES: usize = 4096;

#[derive(Clone, Copy, Debug)]
struct RefusedVersion {
    version: MemberVersion,
    at: Duration,
}

/// The last version of each name whose machine refused a connection.
#[derive(Clone, Debug, Default)]
pub struct RefusedVersions {
    by_name: BTreeMap<String, RefusedVersion>,
}

impl RefusedVersions {
    /// Records that a member's machine refused a connection to this version. A new name over the bound is not recorded.
    pub fn record(&mut self, name: &str, version: MemberVersion, now: Duration) {
        if self.by_name.len() < MAX_NAMES || self.by_name.contains_key(name) {
            self.by_name.insert(name.to_owned(), RefusedVersion { version, at: now });
        }
    }

    /// Whether this version, or a later one of that name, was refused.
    pub fn covers(&self, name: &str, version: MemberVersion) -> bool {
        self.by_name.get(name).is_some_and(|refused| refused.version >= version)
    }

    /// Drops what was recorded before this time.
    pub fn drop_before(&mut self, time: Duration) {
        self.by_name.retain(|_, refused| refused.at >= time);
    }
}

//! Tells the operator what a reload of the configuration means for cached copies: from when they will be refused unless
//! the change log is heard, that this begins, that it ends, or that it is called off.

use myrtlegauge::purge_news::ReloadTerms;
use std::time::Duration;

/// Reloads that are followed at once. More of them, while the change log is not heard, extend the last one.
const MAX_FOLLOWED: usize = 64;

/// Follows what reloads ask of the change log.
#[derive(Debug, Default)]
pub struct ReloadWatch {
    /// The reloads after which the change log was not heard yet, in the order of their times.
    unheard: Vec<ReloadTerms>,
    /// It was logged that copies are refused, and not that they are accepted again.
    is_refusing: bool,
}

impl ReloadWatch {
    /// Logs the terms of a reload that was noticed now, and follows them.
    pub fn on_reload(&mut self, terms: ReloadTerms, now: Duration) {
        let refused_in_ms = terms.refused_from.saturating_sub(now).as_millis() as u64;
        log::info!(refused_in_ms; "reload: cached copies will be refused unless the change log is heard");
        if self.unheard.len() < MAX_FOLLOWED {
            self.unheard.push(terms);
        } else if let Some(last) = self.unheard.last_mut() {
            last.heard_by_poll_at = terms.heard_by_poll_at;
        }
    }

    /// Follows the time up to which all events of the change log were heard.
    pub fn follow(&mut self, heard_until: Duration, now: Duration) {
        let followed = self.unheard.len();
        self.unheard.retain(|terms| terms.heard_by_poll_at > heard_until);
        let is_refusing = self.unheard.iter().any(|terms| terms.refused_from <= now);
        let was_refusing = std::mem::replace(&mut self.is_refusing, is_refusing);
        match (was_refusing, is_refusing) {
            (false, true) => {
                log::warn!("reload: the change log was not heard in time, refusing older copies")
            }
            (true, false) => log::info!("reload: the change log was heard, accepting older copies again"),
            (false, false) if followed > 0 && self.unheard.is_empty() => {
                log::info!("reload: the change log was heard in time, no copies are refused");
            }
            _ => {}
        }
    }
}

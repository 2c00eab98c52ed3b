//! Tells the operator of a control service when proxies will refuse copies because the change log is not heard, that they
//! do, and when that ends or is called off.

use myrtlegauge::purge_news::RefusalForecast;
use std::time::Duration;

/// What was logged last.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum State {
    #[default]
    NoRefusals,
    /// Copies will be refused from a time on.
    Announced {
        in_force_from: Duration,
    },
    InForce,
}

/// Follows the published refusals.
#[derive(Debug, Default)]
pub struct RefusalWatch {
    state: State,
}

impl RefusalWatch {
    /// Logs what changes with refusals that are published now. All purges were received `news_age` ago.
    pub fn on_published(&mut self, forecast: &RefusalForecast, now: Duration, news_age: Duration) {
        let news_age_ms = news_age.as_millis() as u64;
        match (self.state, starts_at(forecast)) {
            (State::NoRefusals, Some(in_force_from)) => {
                let refused_in_ms = in_force_from.saturating_sub(now).as_millis() as u64;
                log::warn!(refused_in_ms, news_age_ms; "proxies will refuse older copies unless the change log is heard");
                self.state = State::Announced { in_force_from };
            }
            (State::Announced { .. }, None) => {
                log::info!(news_age_ms; "change log heard in time, proxies refuse no copies");
                self.state = State::NoRefusals;
            }
            (State::InForce, None) => {
                log::info!(news_age_ms; "proxies accept older copies again");
                self.state = State::NoRefusals;
            }
            (State::Announced { .. } | State::InForce, Some(_)) | (State::NoRefusals, None) => {}
        }
    }

    /// Logs that refusals have come into force.
    pub fn on_time(&mut self, now: Duration) {
        if let State::Announced { in_force_from } = self.state
            && now >= in_force_from
        {
            log::warn!("change log not heard in time, proxies refuse older copies");
            self.state = State::InForce;
        }
    }
}

/// When the first refusal comes into force.
fn starts_at(forecast: &RefusalForecast) -> Option<Duration> {
    let by_time = [forecast.current, forecast.upcoming].into_iter().flatten();
    let by_age = forecast.by_age.map(|refusal| refusal.in_force_from);
    by_time.map(|refusal| refusal.in_force_from).chain(by_age).min()
}

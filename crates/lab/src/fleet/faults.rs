//! Injects the faults of a script into a running fleet. A fault that lasts is ended again before its function returns.

use super::testbed::{Testbed, host_lines};
use super::zones::{self, ControlService};
use super::{Defect, Fault};
use crate::stand::ledger::{Named, unix_ms};
use crate::stand::net::{Party, Way};
use rustix::process::Signal;
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// Separate the random choices of these faults from others of the same seed.
const CRASH_LOOP_SALT: u64 = 0x100b;
const EMPTY_SALT: u64 = 0xe4;
const SILENT_SALT: u64 = 0x51;
/// Normal speed of a host, in percent of the time that its work takes.
const NORMAL_SPEED: u32 = 100;
/// How long an operator waits for the answer to an order.
const ORDER_TIMEOUT: Duration = Duration::from_secs(2);

impl Testbed {
    /// Injects a fault, and returns once it is over.
    pub async fn inject(&self, fault: Fault) -> Result<(), String> {
        match fault {
            Fault::Kill { share, restart_after } => return self.kill_and_restart(share, restart_after).await,
            Fault::CrashLoop { share, every, duration } => {
                return self.crash_loop(share, every, duration).await;
            }
            Fault::EmptyCaches { share, parents } => self.empty_caches(share, parents),
            Fault::SilentCaches { share, duration } => {
                let caches = self.sample(self.scenario.caches, share, SILENT_SALT);
                self.partition_for(&caches, &self.all_dispatchers(), duration, true).await;
            }
            Fault::Freeze { share, duration } => self.freeze(share, duration).await,
            Fault::ChangeLogDown { duration } => self.change_log_down(duration).await,
            Fault::ChangeLogReset => self.change_log.begin_anew(&host_lines(&self.hosts)),
            Fault::Purge { groups } => self.purge(groups),
            Fault::OriginSlow { factor, duration } => {
                self.slow_hosts(&[self.origin()], factor, duration).await;
            }
            Fault::OriginDown { duration } => self.hosts[self.origin()].down(duration),
            Fault::Reload => return self.reload().await,
            Fault::OneWayLinks { share, duration } => self.impair_for(share, duration, Way::Cut, None).await,
            Fault::ConnectionResets { share, duration } => {
                self.impair_for(share, duration, Way::Reset, None).await;
            }
            Fault::SlowAndLossyLinks { share, delay, loss, duration } => {
                self.impair_for(share, duration, Way::Lossy(loss), Some(Way::Slow(delay))).await;
            }
            Fault::ZoneDown { zone, duration } => self.zone_down(zone, duration).await,
            Fault::ZonePartition { zone, share, cold, duration } => {
                let dispatchers = self.sample_dispatchers(share);
                self.partition_for(&self.caches_of(zone), &dispatchers, duration, cold).await;
            }
            Fault::ZoneSlow { zone, factor, duration } => {
                self.slow_hosts(&self.caches_of(zone), factor, duration).await;
            }
            Fault::ZoneLossy { zone, loss, duration } => self.zone_lossy(zone, loss, duration).await,
            Fault::ControlServicesDown { only_one, duration } => {
                let count = if only_one { 1 } else { self.control_services.len() };
                return restart_services(&self.control_services[..count], duration).await;
            }
            Fault::ControlServicesPartition { share, duration } => {
                self.partition_control_services(share, duration).await;
            }
            Fault::OperatorOrder { zone, order } => return self.order(zone, order).await,
            Fault::FalseReports { zone, voters, duration } => {
                let addresses: Vec<_> =
                    self.caches_of(zone).iter().map(|&cache| self.hosts[cache].address).collect();
                zones::send_false_reports(&self.control_services, &addresses, voters, duration).await;
            }
        }
        Ok(())
    }

    fn origin(&self) -> usize {
        self.hosts.len() - 1
    }

    fn caches_of(&self, zone: usize) -> Vec<usize> {
        self.scenario.caches_of(zone).collect()
    }

    async fn kill_and_restart(&self, share: usize, restart_after: Duration) -> Result<(), String> {
        let which = self.sample_dispatchers(share);
        self.kill_dispatchers(&which).await;
        sleep(restart_after).await;
        self.start_dispatchers(&which).await
    }

    async fn crash_loop(&self, share: usize, every: Duration, duration: Duration) -> Result<(), String> {
        let until = Instant::now() + duration;
        let which = self.sample(self.scenario.dispatchers, share, CRASH_LOOP_SALT);
        while Instant::now() < until {
            self.kill_dispatchers(&which).await;
            self.start_dispatchers(&which).await?;
            sleep(every).await;
        }
        Ok(())
    }

    fn empty_caches(&self, share: usize, parents: bool) {
        self.restart_caches(&self.sample(self.scenario.caches, share, EMPTY_SALT));
        for parent in self.hosts.iter().filter(|host| parents && host.kind == "parent") {
            parent.empty();
            self.record_copy_loss(self.started.elapsed(), parent.index);
        }
    }

    /// Partitions caches from dispatchers for a while. Cold caches restart before the links are repaired.
    async fn partition_for(&self, caches: &[usize], dispatchers: &[usize], duration: Duration, cold: bool) {
        self.partition(caches, dispatchers);
        sleep(duration).await;
        if cold {
            self.restart_caches(caches);
        }
        self.repair(caches, dispatchers);
    }

    async fn freeze(&self, share: usize, duration: Duration) {
        let which = self.sample_dispatchers(share);
        self.signal(&which, Signal::STOP).await;
        sleep(duration).await;
        self.signal(&which, Signal::CONT).await;
    }

    async fn signal(&self, dispatchers: &[usize], signal: Signal) {
        for &dispatcher in dispatchers {
            self.dispatchers[dispatcher].lock().await.signal(signal);
        }
    }

    async fn change_log_down(&self, duration: Duration) {
        let all = || self.all_dispatchers().into_iter().map(Party::Dispatcher);
        all().for_each(|dispatcher| self.net.set_both(dispatcher, Party::ChangeLog, Way::Cut));
        sleep(duration).await;
        all().for_each(|dispatcher| self.net.mend_both(dispatcher, Party::ChangeLog));
    }

    fn purge(&self, groups: u64) {
        let published = self.scenario.defect != Some(Defect::PurgesUnpublished);
        (0..groups).for_each(|group| self.change_log.purge(Named::Group(group), unix_ms(), published));
    }

    async fn slow_hosts(&self, hosts: &[usize], factor: u32, duration: Duration) {
        hosts.iter().for_each(|&host| self.hosts[host].slow(factor * NORMAL_SPEED));
        sleep(duration).await;
        hosts.iter().for_each(|&host| self.hosts[host].slow(NORMAL_SPEED));
    }

    async fn reload(&self) -> Result<(), String> {
        for (dispatcher, links) in self.dispatchers.iter().zip(&self.links) {
            dispatcher.lock().await.follow(links.other_change_log)?;
        }
        Ok(())
    }

    /// Impairs the links from all hosts to a share of the dispatchers, and maybe those to the hosts, for a while.
    async fn impair_for(&self, share: usize, duration: Duration, from_hosts: Way, to_hosts: Option<Way>) {
        let (hosts, dispatchers) = (self.all_hosts(), self.sample_dispatchers(share));
        self.impair_from(&hosts, &dispatchers, from_hosts);
        if let Some(way) = to_hosts {
            self.impair_to(&hosts, &dispatchers, way);
        }
        sleep(duration).await;
        self.repair(&hosts, &dispatchers);
    }

    async fn zone_down(&self, zone: usize, duration: Duration) {
        let caches = self.caches_of(zone);
        caches.iter().for_each(|&cache| self.hosts[cache].down(duration));
        sleep(duration).await;
        self.restart_caches(&caches);
    }

    async fn zone_lossy(&self, zone: usize, loss: u32, duration: Duration) {
        let (caches, dispatchers) = (self.caches_of(zone), self.all_dispatchers());
        self.impair_from(&caches, &dispatchers, Way::Lossy(loss));
        sleep(duration).await;
        self.repair(&caches, &dispatchers);
    }

    async fn partition_control_services(&self, share: usize, duration: Duration) {
        let which = self.sample_dispatchers(share);
        let links = || {
            which.iter().flat_map(|&dispatcher| {
                self.control_services.iter().map(move |service| &service.links[dispatcher])
            })
        };
        links().for_each(|link| link.cut());
        sleep(duration).await;
        links().for_each(|link| link.mend());
    }

    async fn order(&self, zone: usize, order: &'static str) -> Result<(), String> {
        let service = self.control_services.first().ok_or("no service to order anything of")?;
        let (zone, address) = (zones::zone_name(zone), service.address);
        let ask =
            move || myrtlegauge_control::client_status::fetch(address, Some((&zone, order)), ORDER_TIMEOUT);
        tokio::task::spawn_blocking(ask).await.map_err(|e| e.to_string())??;
        Ok(())
    }
}

/// Kills control services and restarts them after a while.
async fn restart_services(services: &[ControlService], duration: Duration) -> Result<(), String> {
    for service in services {
        service.process.lock().await.kill();
    }
    sleep(duration).await;
    for service in services {
        service.process.lock().await.start()?;
    }
    Ok(())
}

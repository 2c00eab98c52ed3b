//! Starts the dispatchers of a run as processes, each behind links of its own to hosts and change log.

use super::zones::{self, ControlService};
use super::{Defect, Scenario};
use crate::stand::changelog::ChangeLog;
use crate::stand::hosts::Host;
use crate::stand::net::Party;
use crate::stand::process::{self, Dispatcher, Told};
use serde_json::{Value, json};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

/// The dispatcher's grace for a drain, in ms.
const DRAIN_GRACE_MS: u64 = 250;
/// Keeps the seeds of the dispatchers of different runs apart.
const SEEDS_PER_RUN: u64 = 1000;

/// The addresses at which one dispatcher reaches the others.
pub struct Links {
    /// Each host's address in the list, and the one for this dispatcher alone.
    pub hosts: Vec<(SocketAddr, SocketAddr)>,
    pub change_log: SocketAddr,
    /// A second address of the change log, for a reload.
    pub other_change_log: SocketAddr,
}

impl Links {
    /// Opens a listener for this dispatcher at each host and twice at the change log.
    pub fn open(dispatcher: usize, hosts: &[Arc<Host>], change_log: &ChangeLog) -> io::Result<Self> {
        let party = Party::Dispatcher(dispatcher);
        let own = hosts.iter().map(|host| Ok((host.address, host.listen_for(party)?)));
        let own: Vec<_> = own.collect::<io::Result<_>>()?;
        Ok(Self {
            change_log: change_log.listen_for(party, &own)?,
            other_change_log: change_log.listen_for(party, &own)?,
            hosts: own,
        })
    }
}

/// Starts all dispatchers. With several zones they follow the control services.
pub fn start(
    scenario: &Scenario,
    links: &[Links],
    change_log: &ChangeLog,
    services: &[ControlService],
) -> Result<Vec<Dispatcher>, String> {
    let settings = settings(scenario, &change_log.address.to_string())?;
    let start = |(index, links): (usize, &Links)| {
        if scenario.zones > 1 {
            return start_following(scenario, index, links, services);
        }
        let told = Told {
            name: format!("d{index}"),
            changelog: links.change_log,
            known: change_log.known(&links.hosts),
            seed: scenario.seed.wrapping_mul(SEEDS_PER_RUN) + index as u64,
        };
        Dispatcher::start_as(&settings, told, false)
    };
    links.iter().enumerate().map(start).collect()
}

/// Starts a dispatcher from an operator file.
fn start_following(
    scenario: &Scenario,
    index: usize,
    links: &Links,
    services: &[ControlService],
) -> Result<Dispatcher, String> {
    let follow: Vec<_> = services.iter().map(|service| service.links[index].address).collect();
    let file = |listen| zones::dispatcher_file(scenario, index, listen, links.change_log, &follow);
    Dispatcher::start_following(file, false)
}

/// The settings of the fleet: the platform's, but fills are neither joined nor cancelled, and writes go straight to the
/// origin.
fn settings(scenario: &Scenario, change_log: &str) -> Result<Value, String> {
    let file = process::operator_file("127.0.0.1:1", change_log, false, DRAIN_GRACE_MS);
    let mut settings = process::settings(&file)?;
    settings["domain"]["shares_fills"] = json!(false);
    settings["domain"]["pass_through_ok"] = json!(true);
    settings["limits"]["cancel"] = json!(false);
    let count = if scenario.defect == Some(Defect::CountOfOne) { 1 } else { scenario.dispatchers };
    share_among(&mut settings, count);
    Ok(settings)
}

/// Has settings made of an operator file tell of `count` dispatchers: the file counts one in its own zone and none elsewhere.
pub fn share_among(settings: &mut Value, count: usize) {
    settings["balancers"] = json!(count);
    let counts = settings["domain"]["count_by_zone"].as_array_mut().into_iter().flatten();
    counts.filter(|zone_count| **zone_count != json!(0)).for_each(|zone_count| *zone_count = json!(count));
}

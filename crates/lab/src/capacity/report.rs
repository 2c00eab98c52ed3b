//! What a capacity run prints: tables for people.

use super::comparison::Comparison;
use super::in_force::ToldInForce;
use super::members::MemberFigures;
use super::moments::Moment;
use super::point::{PointFigures, RoleFigures};
use super::replicas::ReplicaFigures;
use super::replicated::{HostLineFigures, Replicated};
use super::size::{BUDGET, Direction};
use super::slope::{Fit, Shape};
use std::collections::BTreeMap;

/// Slopes by what was measured.
pub type Fits = BTreeMap<&'static str, Fit>;

/// What is measured at each point of a direction, under the name that it is told by.
pub fn measures(point: &PointFigures) -> Vec<(&'static str, f64)> {
    let PointFigures { dispatcher, control, change_log, in_force, .. } = point;
    let mut measures = vec![
        ("dispatcher_cpu_percent", dispatcher.cpu_percent),
        ("dispatcher_bytes_per_second", dispatcher.bytes_per_second),
        ("dispatcher_messages_per_second", dispatcher.messages_per_second),
        ("dispatcher_memory_kb", dispatcher.memory_kb),
        ("dispatcher_descriptors", dispatcher.descriptors),
        ("control_cpu_percent", control.cpu_percent),
        ("control_bytes_per_second", control.bytes_per_second),
        ("control_memory_kb", control.memory_kb),
        ("change_log_cpu_percent", change_log.cpu_percent),
        ("change_log_bytes_per_second", change_log.bytes_per_second),
        ("change_log_memory_kb", change_log.memory_kb),
        ("change_log_descriptors", change_log.descriptors),
        ("in_force_p50_us", in_force.p50_us as f64),
        ("in_force_p99_us", in_force.p99_us as f64),
    ];
    if let Some(ReplicaFigures { each, told, .. }) = &point.replicas {
        measures.extend([
            ("replica_cpu_percent", each.cpu_percent),
            ("replica_bytes_per_second", each.bytes_per_second),
            ("replica_messages_per_second", each.messages_per_second),
            ("replica_memory_kb", each.memory_kb),
            ("replica_descriptors", each.descriptors),
            ("told_in_force_p50_us", told.in_force.p50_us as f64),
            ("told_in_force_p99_us", told.in_force.p99_us as f64),
        ]);
    }
    measures
}

fn role(name: &str, role: &RoleFigures) {
    println!(
        "    {name:<12} {:>8.3} % of a core {:>9.0} KB {:>6.1} descriptors {:>9.1} messages/s {:>11.0} bytes/s",
        role.cpu_percent, role.memory_kb, role.descriptors, role.messages_per_second, role.bytes_per_second
    );
}

/// One point, role by role.
pub fn point(figures: &PointFigures) {
    let size = &figures.size;
    println!(
        "  {} dispatchers, {} hosts, {} purges/s, {} control machines: window {:.1} s, {} purges in all",
        size.dispatchers, size.hosts, size.purges_per_second, size.controls, figures.window_s, figures.purges
    );
    role("dispatcher", &figures.dispatcher);
    if let Some(real) = &figures.real {
        role("real one", real);
    }
    if let Some(lone) = &figures.lone {
        role("lone hollow", lone);
    }
    if size.controls > 0 {
        role("control", &figures.control);
    }
    if let Some(replicas) = &figures.replicas {
        role("replica", &replicas.each);
        role("its observer", &replicas.observer);
    }
    role("change log", &figures.change_log);
    if let Some(replicas) = &figures.replicas {
        told(replicas);
    }
    let in_force = &figures.in_force;
    println!(
        "    in force after p50 {} us, p99 {} us, worst {} us ({} counted); all settled {:.0} ms after the last; \
         a hollow process without any: {:.0} KB",
        in_force.p50_us,
        in_force.p99_us,
        in_force.worst_us,
        in_force.count,
        figures.settled_ms,
        figures.fixed_memory_kb
    );
    for broken in &figures.breaks {
        println!("BROKEN {broken}");
    }
}

/// What a replica told, and how fast.
fn told(replicas: &ReplicaFigures) {
    let ToldInForce { in_force, answers, unanswered } = &replicas.told;
    println!(
        "    told as in force everywhere after p50 {} us, p99 {} us, worst {} us ({} purges); the status answered after \
         p50 {} us, worst {} us ({} times, {unanswered} not); the busiest replica took {:.3} % of a core",
        in_force.p50_us,
        in_force.p99_us,
        in_force.worst_us,
        in_force.count,
        answers.p50_us,
        answers.worst_us,
        answers.count,
        replicas.cpu_percent_most
    );
}

/// A run with replicas.
pub fn replicated(replicated: &Replicated) {
    println!("  {} replicas follow the change log itself", replicated.sources);
    replicated.moments.iter().for_each(moment);
    let HostLineFigures { applied_ms, told_ms } = replicated.host_line;
    let told = told_ms.map_or("-".to_owned(), |ms| format!("{ms:.0} ms"));
    println!(
        "  a host's line was applied everywhere after {applied_ms:.0} ms, told as in force after {told}"
    );
    for broken in &replicated.breaks {
        println!("BROKEN {broken}");
    }
}

/// The slopes along a direction.
pub fn slopes(direction: Direction, fits: &Fits) {
    println!("  slopes by one of {}, 95% confidence:", direction.name());
    for (name, fit) in fits {
        let shape = match fit.shape {
            Shape::Flat => "flat",
            Shape::Linear => "linear",
            Shape::NoSlope => "no slope shown",
            Shape::NotLinear => "not linear",
        };
        println!(
            "    {name:<31} {:>12.5} [{:>12.5}, {:>12.5}] from {:>11.3}, R2 {:>7.4}  {shape}",
            fit.slope, fit.low, fit.high, fit.intercept, fit.r2
        );
    }
}

/// Hollow beside real.
pub fn comparison(comparison: &Comparison) {
    point(&comparison.figures);
    let told = |agrees: bool| if agrees { "agrees" } else { "a gap" };
    println!(
        "    hollow off real: bytes {:+.1}% ({}), CPU {:+.1}% ({}), memory {:+.1}% by growth alone, {:+.1}% with the \
         fixed part ({})",
        comparison.bytes_off * 100.0,
        told(comparison.bytes_agree),
        comparison.cpu_off * 100.0,
        told(comparison.cpu_agrees),
        comparison.memory_off * 100.0,
        comparison.memory_alone_off * 100.0,
        told(comparison.memory_agrees)
    );
    println!(
        "    a hollow one with a process to itself off real: CPU {:+.1}%, memory {:+.1}%; hollow ones' own count of bytes \
         off the change log's: {:+.2}%",
        comparison.lone_cpu_off * 100.0,
        comparison.lone_memory_off * 100.0,
        comparison.figures.own_bytes_off * 100.0
    );
}

/// Members apart, size by size.
pub fn members(figures: &MemberFigures) {
    let told = |ms: Option<f64>| ms.map_or("not in time".to_owned(), |ms| format!("{ms:.0} ms"));
    println!(
        "  {} members: {:.0} bytes/s from each, {:.3} % of a core, {:.0} KB; whole {}, a death known by all {}",
        figures.members,
        figures.bytes_per_second,
        figures.cpu_percent,
        figures.memory_kb,
        told(figures.whole_ms),
        told(figures.death_known_ms)
    );
}

/// One moment of a fleet.
pub fn moment(moment: &Moment) {
    println!(
        "  moment {}: {} struck, all whole {:.0} ms after the fault's end",
        moment.name, moment.struck, moment.whole_ms
    );
    point(&moment.figures);
}

/// A dispatcher's cost beside its budget.
pub fn budget(figures: &PointFigures) {
    println!(
        "  budget of a dispatcher: CPU {:.3} of {} %, memory {:.0} of {:.0} KB, {:.0} of {:.0} bytes/s",
        figures.dispatcher.cpu_percent,
        BUDGET.cpu_percent,
        figures.memory_alone_kb(),
        BUDGET.memory_kb,
        figures.dispatcher.bytes_per_second,
        BUDGET.bytes_per_second
    );
}

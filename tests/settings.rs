//! Settings of other deployments, with random names, order, limits and times. Requests, responses and durations depend on
//! the settings alone and not on constants in the code.

mod common;

use common::{DispatcherRig, ms, request, settings};
use myrtlegauge_dispatcher::routing::ResourceLimits;
use serde_json::{Value, json};
use std::time::Instant;

/// A delivery service in the settings.
struct Service {
    name: String,
    effect: &'static str,
    deadline_ms: f64,
}

/// Generates settings, and returns them with the delivery services that they contain.
fn random_settings(rng: &mut fastrand::Rng) -> (Value, Vec<Service>) {
    let mut configuration = settings();
    let count = rng.usize(1..8);
    let name = |index: usize, rng: &mut fastrand::Rng| {
        let letters: String = (0..rng.usize(1..20)).map(|_| rng.alphanumeric()).collect();
        format!("{letters}-{index}")
    };
    let services: Vec<Service> = (0..count)
        .map(|index| Service {
            name: name(index, rng),
            effect: ["idempotent", "at_most_once", "deduplicated"]
                [if index == 0 { 0 } else { rng.usize(0..3) }],
            deadline_ms: [60.0, 250.0, 900.0, 5000.0, 60_000.0][rng.usize(0..5)],
        })
        .collect();
    let entries = services.iter().map(|service| {
        let window_ms = service.deadline_ms * [0.3, 1.0, 4.0][rng.usize(0..3)];
        let group = ["all", "zone", "cell"][rng.usize(0..3)];
        json!({"name": service.name, "aim_ms": service.deadline_ms * 0.4, "aim_stretch": rng.f64() * 2.0,
            "deadline_ms": service.deadline_ms, "effect": service.effect, "key_ttl_ms": window_ms,
            "group": group})
    });
    configuration["classes"] = entries.collect();
    let fresh_times_ms: Vec<f64> = services.iter().map(|_| [0.0, 300.0, 5000.0][rng.usize(0..3)]).collect();
    configuration["domain"]["grace_for_ms"] =
        fresh_times_ms.iter().map(|fresh_time_ms| fresh_time_ms * 6.0).collect();
    configuration["domain"]["lifetime_by_class_ms"] = fresh_times_ms.into_iter().collect();
    configuration["domain"]["pass_on"] =
        services.iter().map(|service| service.effect != "idempotent").collect();
    configuration["domain"]["flow_kb_per_s"] = json!([300.0, 4000.0, 50_000.0][rng.usize(0..3)]);
    configuration["domain"]["note_level"] = json!(["all", "some"][rng.usize(0..2)]);
    configuration["balancers"] = json!([1, 3, 40, 300][rng.usize(0..4)]);
    configuration["resolution_ms"] = json!([0.5, 2.0, 5.0][rng.usize(0..3)]);
    let limits = &mut configuration["limits"];
    limits["cancel"] = json!(rng.bool());
    limits["retry_after"] = json!(rng.bool());
    limits["max_attempts"] = json!(rng.u32(1..9));
    limits["streams_per_conn"] = json!(rng.u32(1..200));
    limits["connect_timeout_ms"] = json!([20.0, 400.0, 3000.0][rng.usize(0..3)]);
    limits["conn_idle_ms"] = json!([200.0, 5000.0, 60_000.0][rng.usize(0..3)]);
    (configuration, services)
}

#[test]
fn gets_are_served_under_random_names_limits_and_times() {
    let mut rng = fastrand::Rng::with_seed(40);
    for _ in 0..12 {
        let (configuration, services) = random_settings(&mut rng);
        let max_deadline_ms = services.iter().map(|service| service.deadline_ms).fold(0.0, f64::max);
        let room = ResourceLimits { descriptors: [64, 256, 1024][rng.usize(0..3)], memory_bytes: 32 << 20 };
        let mut rig = DispatcherRig::with_settings(configuration.clone(), room);
        for (index, service) in services.iter().enumerate() {
            let request_id = index as u16 + 1;
            let (path, budget_ms) =
                (format!("/rpc/{}", service.name), format!("{}", service.deadline_ms as u64 * 2));
            let params = [
                ("SCRIPT_NAME", &*path),
                ("HTTP_REQUEST_ID", &format!("{request_id:016x}")),
                ("HTTP_BUDGET_MS", &budget_ms),
                ("HTTP_RESOURCE_KEY", "7f3a9c21e0b4d655"),
            ];
            rig.write(0, &request(request_id, &params, b""));
            rig.wait_for_lines(1);
            let lane = format!("lane={},", service.name);
            assert!(
                rig.trace.contains(&lane) || rig.trace.contains(&format!("reads {request_id}: Status: 503")),
                "the GET was neither forwarded nor shed\n{configuration}\n{}",
                rig.trace
            );
            if rig.trace.contains(&lane) {
                rig.answer(request_id, "200", "why=TCP_HIT", "the bytes");
                rig.wait_for_lines(1);
            }
            let answers = rig.trace.matches(&format!("client 0 reads {request_id}: Status: ")).count();
            assert_eq!(answers, 1, "answers to one GET\n{configuration}\n{}", rig.trace);
        }
        // A GET that no host answers ends within the viewer timeout. No constant in the code may delay that.
        let unanswered = &services[0];
        if unanswered.deadline_ms < 1000.0 {
            let start = Instant::now();
            rig.send_get(99, &unanswered.name, &[("HTTP_BUDGET_MS", &unanswered.deadline_ms.to_string())]);
            let before = rig.trace.matches("client 0 reads 99: ").count();
            while rig.trace.matches("client 0 reads 99: ").count() == before {
                rig.run_iteration();
                assert!(
                    start.elapsed() < ms(unanswered.deadline_ms as u64 + 50),
                    "the GET did not end in time\n{configuration}\n{}",
                    rig.trace
                );
            }
        }
        let start = Instant::now();
        rig.dispatcher.stop();
        while !rig.dispatcher.is_done() {
            rig.run_iteration();
            assert!(
                start.elapsed() < ms(max_deadline_ms.min(3000.0) as u64 + 700),
                "the dispatcher did not stop in time\n{configuration}\n{}",
                rig.trace
            );
        }
    }
}

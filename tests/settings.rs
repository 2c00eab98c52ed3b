//! Settings that belong to another customer: names, order, limits and times drawn at random. What goes out and comes back, and
//! how long it takes, rests on what the settings tell and on nothing else.

mod common;

use common::{Rig, ms, request, settings};
use myrtlegauge_dispatcher::routing::ResourceLimits;
use serde_json::{Value, json};
use std::time::Instant;

struct Class {
    name: String,
    effect: &'static str,
    deadline_ms: f64,
}

/// Settings drawn by a seed, with the classes that they hold.
fn drawn(chance: &mut fastrand::Rng) -> (Value, Vec<Class>) {
    let mut told = settings();
    let count = chance.usize(1..8);
    let name = |n: usize, chance: &mut fastrand::Rng| {
        let letters: String = (0..chance.usize(1..20)).map(|_| chance.alphanumeric()).collect();
        format!("{letters}-{n}")
    };
    let classes: Vec<Class> = (0..count)
        .map(|n| Class {
            name: name(n, chance),
            effect: ["idempotent", "at_most_once", "deduplicated"]
                [if n == 0 { 0 } else { chance.usize(0..3) }],
            deadline_ms: [60.0, 250.0, 900.0, 5000.0, 60_000.0][chance.usize(0..5)],
        })
        .collect();
    let listed = classes.iter().map(|class| {
        let window = class.deadline_ms * [0.3, 1.0, 4.0][chance.usize(0..3)];
        let group = ["all", "zone", "cell"][chance.usize(0..3)];
        json!({"name": class.name, "aim_ms": class.deadline_ms * 0.4, "aim_stretch": chance.f64() * 2.0,
            "deadline_ms": class.deadline_ms, "effect": class.effect, "key_ttl_ms": window,
            "group": group})
    });
    told["classes"] = listed.collect();
    let fresh: Vec<f64> = classes.iter().map(|_| [0.0, 300.0, 5000.0][chance.usize(0..3)]).collect();
    told["domain"]["grace_for_ms"] = fresh.iter().map(|fresh| fresh * 6.0).collect();
    told["domain"]["lifetime_by_class_ms"] = fresh.into_iter().collect();
    told["domain"]["pass_on"] = classes.iter().map(|class| class.effect != "idempotent").collect();
    told["domain"]["flow_kb_per_s"] = json!([300.0, 4000.0, 50_000.0][chance.usize(0..3)]);
    told["domain"]["note_level"] = json!(["all", "some"][chance.usize(0..2)]);
    told["balancers"] = json!([1, 3, 40, 300][chance.usize(0..4)]);
    told["resolution_ms"] = json!([0.5, 2.0, 5.0][chance.usize(0..3)]);
    let limits = &mut told["limits"];
    limits["cancel"] = json!(chance.bool());
    limits["retry_after"] = json!(chance.bool());
    limits["max_attempts"] = json!(chance.u32(1..9));
    limits["streams_per_conn"] = json!(chance.u32(1..200));
    limits["connect_timeout_ms"] = json!([20.0, 400.0, 3000.0][chance.usize(0..3)]);
    limits["conn_idle_ms"] = json!([200.0, 5000.0, 60_000.0][chance.usize(0..3)]);
    (told, classes)
}

#[test]
fn settings_with_names_and_numbers_drawn_at_random_are_served() {
    let mut chance = fastrand::Rng::with_seed(40);
    for _ in 0..12 {
        let (told, classes) = drawn(&mut chance);
        let longest = classes.iter().map(|class| class.deadline_ms).fold(0.0, f64::max);
        let room =
            ResourceLimits { descriptors: [64, 256, 1024][chance.usize(0..3)], memory_bytes: 32 << 20 };
        let mut rig = Rig::with(told.clone(), room);
        for (at, class) in classes.iter().enumerate() {
            let number = at as u16 + 1;
            let (path, budget) =
                (format!("/rpc/{}", class.name), format!("{}", class.deadline_ms as u64 * 2));
            let params = [
                ("SCRIPT_NAME", &*path),
                ("HTTP_REQUEST_ID", &format!("{number:016x}")),
                ("HTTP_BUDGET_MS", &budget),
                ("HTTP_RESOURCE_KEY", "7f3a9c21e0b4d655"),
            ];
            rig.write(0, &request(number, &params, b""));
            rig.until(1);
            let lane = format!("lane={},", class.name);
            assert!(
                rig.trace.contains(&lane) || rig.trace.contains(&format!("reads {number}: Status: 503")),
                "{told}\n{}",
                rig.trace
            );
            if rig.trace.contains(&lane) {
                rig.answer(number, "200", "why=TCP_HIT", "the bytes");
                rig.until(1);
            }
            let answers = rig.trace.matches(&format!("client 0 reads {number}: Status: ")).count();
            assert_eq!(answers, 1, "{told}\n{}", rig.trace);
        }
        // One that nobody answers: over within what its client waits, which no constant puts off.
        let last = &classes[0];
        if last.deadline_ms < 1000.0 {
            let start = Instant::now();
            rig.get(99, &last.name, &[("HTTP_BUDGET_MS", &last.deadline_ms.to_string())]);
            let before = rig.trace.matches("client 0 reads 99: ").count();
            while rig.trace.matches("client 0 reads 99: ").count() == before {
                rig.turn();
                assert!(start.elapsed() < ms(last.deadline_ms as u64 + 50), "{told}\n{}", rig.trace);
            }
        }
        let start = Instant::now();
        rig.dispatcher.stop();
        while !rig.dispatcher.is_done() {
            rig.turn();
            assert!(start.elapsed() < ms(longest.min(3000.0) as u64 + 700), "{told}\n{}", rig.trace);
        }
    }
}

//! The requests of a run, drawn from its seed.

use super::Scenario;
use super::front::Due;
use std::time::Duration;

/// Objects of the photo and the video service.
const PHOTOS: u64 = 1500;
const VIDEOS: u64 = 800;
/// Objects of the video service, and those of requests with an effect, begin at these numbers.
const FIRST_VIDEO: u64 = 1 << 32;
const FIRST_EFFECT: u64 = 2 << 32;
/// Shares of the requests in percent, in the order of `SERVICES`; the rest has an effect.
const PHOTO_SHARE: u32 = 55;
const VIDEO_SHARE: u32 = 40;
/// Percentage of photo requests whose client holds a copy.
const KNOWN_SHARE: u32 = 20;
/// Spreads the seeds of runs over the generator's states.
const SEED_FACTOR: u64 = 0x51_7c_c1_b7;

/// All objects that can be cached.
pub fn objects() -> impl Iterator<Item = u64> {
    (0..PHOTOS).chain((0..VIDEOS).map(|video| FIRST_VIDEO | video))
}

/// The requests of a run in order of their times. The same seed gives the same requests.
pub fn schedule(scenario: &Scenario) -> Vec<Due> {
    let mut random = fastrand::Rng::with_seed(scenario.seed.wrapping_mul(SEED_FACTOR));
    let (mut at, mut requests) = (0.0, Vec::new());
    while at < scenario.duration.as_secs_f64() {
        at += (0.5 + random.f64()) / scenario.rate;
        let service = draw_service(&mut random);
        let object = draw_object(&mut random, service, requests.len() as u64);
        let known = service == 0 && random.u32(0..100) < KNOWN_SHARE;
        requests.push(Due { at: Duration::from_secs_f64(at), service, object, known });
    }
    requests
}

/// Draws an index into `SERVICES`.
fn draw_service(random: &mut fastrand::Rng) -> usize {
    match random.u32(0..100) {
        drawn if drawn < PHOTO_SHARE => 0,
        drawn if drawn < PHOTO_SHARE + VIDEO_SHARE => 1,
        _ => 2,
    }
}

/// Draws an object: few objects get most of the requests. A request with an effect has an object of its own.
fn draw_object(random: &mut fastrand::Rng, service: usize, number: u64) -> u64 {
    let skewed = random.f64().powi(3);
    match service {
        0 => (skewed * PHOTOS as f64) as u64,
        1 => FIRST_VIDEO | (skewed * VIDEOS as f64) as u64,
        _ => FIRST_EFFECT | number,
    }
}

//! Plays drawn scenarios, several at a time.

use std::thread;

/// Plays seeds, some in parallel, and returns what was broken, each with its seed.
pub fn play_seeds(seeds: &[u64], parallel: usize, play_seed: fn(u64) -> Vec<String>) -> Vec<String> {
    let mut broken = Vec::new();
    for batch in seeds.chunks(parallel) {
        let threads: Vec<_> =
            batch.iter().map(|&seed| (seed, thread::spawn(move || play_seed(seed)))).collect();
        for (seed, thread) in threads {
            let faults = thread.join().unwrap();
            broken.extend(faults.into_iter().map(|fault| format!("seed {seed}: {fault}")));
        }
    }
    broken
}

//! Runs many seeds on every core.

use std::ops::Range;
use std::panic;

/// Runs seeds and gives back their results, and the seeds that broke an invariant.
///
/// # Panics
///
/// Never: a run that panics is caught and its seed is given back.
pub fn run_seeds<T: Send>(seeds: Range<u64>, run: impl Fn(u64) -> T + Sync) -> (Vec<T>, Vec<u64>) {
    let threads = std::thread::available_parallelism().map_or(1, usize::from) as u64;
    let one = |thread: u64| {
        let mut results = Vec::new();
        let mut broken = Vec::new();
        for seed in seeds.clone().filter(|seed| seed % threads == thread) {
            match panic::catch_unwind(panic::AssertUnwindSafe(|| run(seed))) {
                Ok(result) => results.push(result),
                Err(_told) => broken.push(seed),
            }
        }
        (results, broken)
    };
    std::thread::scope(|scope| {
        let one = &one;
        let handles: Vec<_> = (0..threads)
            .map(|thread| scope.spawn(move || one(thread)))
            .collect();
        let mut all = (Vec::new(), Vec::new());
        for handle in handles {
            let (results, broken) = handle.join().expect("a broken run is caught");
            all.0.extend(results);
            all.1.extend(broken);
        }
        all
    })
}

//! Measures parsing, checking and diffing of a manifest by its size.

use std::time::Instant;

use wheel_manifest::{DeploymentManifest, ManifestDelta};

use crate::{BenchError, BenchManifest, CsvTable};

/// Runs for each size; the fastest one counts.
const ROUNDS: usize = 5;
/// Engines, models and adapters of the target size, of which shares are measured.
const TARGET_ENGINES: usize = 10_000;
const TARGET_MODELS: usize = 940;
const TARGET_ADAPTERS: usize = 3_600;

/// Measures manifests of a hundredth, a tenth, a half and all of the target size.
///
/// # Errors
/// [`BenchError`] if a manifest has faults.
pub fn run_manifest() -> Result<CsvTable, BenchError> {
    let columns = ["upstreams", "text_bytes", "parse_ms", "diff_ms", "apply_ms", "delta_bytes"];
    let mut table = CsvTable::new("text", &columns);
    for divisor in [100, 10, 2, 1] {
        let manifest = BenchManifest {
            absent_engines: TARGET_ENGINES / divisor,
            models: TARGET_MODELS / divisor,
            adapters: TARGET_ADAPTERS / divisor,
            ..BenchManifest::default()
        };
        let source = manifest.source();
        let edited = source.replacen("weight = 1", "weight = 2", 1);
        let parse_ms = fastest_ms(|| drop(DeploymentManifest::parse(&source)));
        if let Err(faults) = DeploymentManifest::parse(&source) {
            let what = format!("a manifest without faults ({})", faults[0]);
            return Err(BenchError::Missing { what });
        }
        let diff_ms = fastest_ms(|| drop(ManifestDelta::between(&source, &edited)));
        let delta = ManifestDelta::between(&source, &edited);
        let apply_ms = fastest_ms(|| drop(delta.apply_to(&source)));
        let delta_bytes = delta.hunks.iter().map(|hunk| hunk.added.len() + 12).sum::<usize>();
        table.push(&[
            (manifest.absent_engines + 1) as f64,
            source.len() as f64,
            parse_ms,
            diff_ms,
            apply_ms,
            delta_bytes as f64,
        ]);
    }
    Ok(table)
}

fn fastest_ms(work: impl Fn()) -> f64 {
    let times = (0..ROUNDS).map(|_| {
        let started = Instant::now();
        work();
        started.elapsed().as_secs_f64() * 1_000.0
    });
    times.fold(f64::INFINITY, f64::min)
}

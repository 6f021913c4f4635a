//! What a text costs by its size: to parse and check, and as a difference.

use std::time::Instant;

use wheel_manifest::{DeploymentManifest, ManifestDelta};

use crate::{BenchError, BenchText, CsvTable};

/// Times that each size is parsed.
const ROUNDS: usize = 5;
/// Engines of the letter's size, of which shares are measured.
const LETTER_ENGINES: usize = 10_000;
const LETTER_MODELS: usize = 940;
const LETTER_ADAPTERS: usize = 3_600;

/// Measures texts of a hundredth, a tenth, a half and all of the letter's size.
///
/// # Errors
/// [`BenchError`] if a text is refused.
pub fn run_text() -> Result<CsvTable, BenchError> {
    let columns = ["upstreams", "text_bytes", "parse_ms", "diff_ms", "apply_ms", "delta_bytes"];
    let mut table = CsvTable::new("text", &columns);
    for divisor in [100, 10, 2, 1] {
        let text = BenchText {
            absent_engines: LETTER_ENGINES / divisor,
            models: LETTER_MODELS / divisor,
            adapters: LETTER_ADAPTERS / divisor,
            ..BenchText::default()
        };
        let source = text.source();
        let edited = source.replacen("weight = 1", "weight = 2", 1);
        let parse_ms = fastest_ms(|| drop(DeploymentManifest::parse(&source)));
        if let Err(faults) = DeploymentManifest::parse(&source) {
            let what = format!("a text without faults ({})", faults[0]);
            return Err(BenchError::Missing { what });
        }
        let diff_ms = fastest_ms(|| drop(ManifestDelta::between(&source, &edited)));
        let delta = ManifestDelta::between(&source, &edited);
        let apply_ms = fastest_ms(|| drop(delta.apply_to(&source)));
        let delta_bytes = delta.hunks.iter().map(|hunk| hunk.added.len() + 12).sum::<usize>();
        table.push(&[
            (text.absent_engines + 1) as f64,
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

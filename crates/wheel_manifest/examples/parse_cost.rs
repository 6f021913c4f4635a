//! Measures parsing, checking, indexing and differences, as CSV on standard output:
//! `cargo run --release -p wheel_manifest --example parse_cost -- examples/srisawat.toml ...`
//!
//! Besides the manifests named on the command line, it measures a generated one with 940 models,
//! 3,600 adapters and 10,000 upstreams. The difference is one changed line. `syntax_ms` parses TOML
//! only, `plain_ms` reads an accepted manifest, `parse_ms` checks it too.

use std::fmt::Write;
use std::hint::black_box;
use std::time::{Duration, Instant};

use wheel_manifest::{DeploymentManifest, ManifestDelta, ManifestIndex};

const RUNS: u32 = 20;

const CENTRES: usize = 22;
const REGIONS: usize = 7;
const MODELS: usize = 940;
const ADAPTERS: usize = 3_600;
const UPSTREAMS: usize = 10_000;
const MODELS_PER_SERVICE: usize = 10;

fn main() {
    println!(
        "text,bytes,lines,models,adapters,upstreams,syntax_ms,plain_ms,parse_ms,index_ms,delta_ms,apply_ms,delta_bytes"
    );
    for path in std::env::args().skip(1) {
        match std::fs::read_to_string(&path) {
            Ok(source) => measure(&path, &source),
            Err(error) => eprintln!("{path}: {error}"),
        }
    }
    measure("generated", &generate_large_manifest());
}

fn measure(name: &str, source: &str) {
    let manifest = match DeploymentManifest::parse(source) {
        Ok(manifest) => manifest,
        Err(faults) => return faults.iter().for_each(|fault| eprintln!("{name}:{fault}")),
    };
    let changed = source.replacen("load_ms = ", "load_ms = 1", 1);
    let delta = ManifestDelta::between(source, &changed);
    let delta_bytes: usize = delta.hunks.iter().map(|hunk| 8 + hunk.added.len()).sum();
    let syntax = time(|| toml::de::DeTable::parse(source));
    let plain = time(|| DeploymentManifest::parse_unchecked(source));
    let parse = time(|| DeploymentManifest::parse(source));
    let index = time(|| ManifestIndex::new(manifest.clone()));
    let between = time(|| ManifestDelta::between(source, &changed));
    let apply = time(|| delta.apply_to(source));
    println!(
        "{name},{},{},{},{},{},{:.3},{:.3},{:.3},{:.3},{:.3},{:.3},{delta_bytes}",
        source.len(),
        source.lines().count(),
        manifest.models.len(),
        manifest.adapters.len(),
        manifest.upstreams.len(),
        milliseconds(syntax),
        milliseconds(plain),
        milliseconds(parse),
        milliseconds(index),
        milliseconds(between),
        milliseconds(apply),
    );
}

/// The median time of a few runs.
fn time<T>(mut run: impl FnMut() -> T) -> Duration {
    let mut times: Vec<_> = (0..RUNS)
        .map(|_| {
            let start = Instant::now();
            black_box(run());
            start.elapsed()
        })
        .collect();
    times.sort();
    times[times.len() / 2]
}

fn milliseconds(time: Duration) -> f64 {
    time.as_secs_f64() * 1_000.0
}

fn generate_large_manifest() -> String {
    let mut manifest = String::from("group = \"large\"\n");
    let mut add = |line: std::fmt::Arguments<'_>| {
        let _written = manifest.write_fmt(line);
    };
    add(format_args!("rank = [{{ name = \"question\", deadline_ms = 1400 }}]\n"));
    for centre in 0..CENTRES {
        let region = centre % REGIONS;
        add(format_args!(
            "[[data_centre]]\nname = \"centre-{centre}\"\nregion = \"region-{region}\"\n"
        ));
        add(format_args!("grantors = [\"c{centre}-1\", \"c{centre}-2\", \"c{centre}-3\"]\n"));
    }
    for upstream in 0..UPSTREAMS {
        let (high, low) = (upstream / 250, upstream % 250 + 1);
        add(format_args!("[[upstream]]\nname = \"engine-{upstream}\"\nkind = \"engine\"\n"));
        add(format_args!("data_centre = \"centre-{}\"\n", upstream % CENTRES));
        add(format_args!("address = \"10.1.{high}.{low}:8000\"\nslots = 64\n"));
        add(format_args!("memory_mib = 589824\naccelerators = 8\n"));
    }
    for model in 0..MODELS {
        add(format_args!(
            "[[model]]\nname = \"model-{model}\"\nmemory_mib = 16384\nload_ms = 8000\n"
        ));
    }
    for adapter in 0..ADAPTERS {
        add(format_args!("[[adapter]]\nname = \"adapter-{adapter}\"\n"));
        add(format_args!("model = \"model-{}\"\nmemory_mib = 64\n", adapter % MODELS));
    }
    for first in (0..MODELS).step_by(MODELS_PER_SERVICE) {
        let models = first..first + MODELS_PER_SERVICE;
        let adapters = (0..ADAPTERS).filter(|adapter| models.contains(&(adapter % MODELS)));
        let adapters: Vec<_> = adapters.map(|adapter| format!("adapter-{adapter}")).collect();
        let models: Vec<_> = models.clone().map(|model| format!("model-{model}")).collect();
        add(format_args!("[[service]]\nname = \"service-{first}\"\nrank = \"question\"\n"));
        add(format_args!("models = {models:?}\nadapters = {adapters:?}\n"));
        add(format_args!("time_zone = \"Asia/Bangkok\"\n"));
    }
    manifest
}

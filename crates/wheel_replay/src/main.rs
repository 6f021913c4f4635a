//! Replays traces under every policy and prints the reports side by side.

use std::path::Path;
use std::process::ExitCode;

use wheel_replay::{ReplayPolicy, ReplaySetup, ReportPlot, ReportTable, SitePlan, TraceFile};

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let mut options = getopts::Options::new();
    options.optopt("", "out", "write reports as CSV and SVG into this folder", "FOLDER");
    options.optopt("", "load-factor", "make every load take this many times as long", "FACTOR");
    options.optopt("", "model-factor", "put this many times the models on the engines", "FACTOR");
    options.optopt("", "policy", "replay only policies whose name begins so", "NAME");
    options.optopt("", "idle-price", "price of an idle accelerator second, in worth", "PRICE");
    options.optopt("", "host-memory", "space for checkpoints in each host's memory", "GIB");
    options.optopt("", "on-disk", "share of the checkpoints on disks at the start", "SHARE");
    options.optflag("", "causes", "print the causes of the slowest 5 % of wake-ups");
    options.optflag("h", "help", "print this");
    let matches = match options.parse(&arguments) {
        Ok(matches) => matches,
        Err(error) => return fail(&error.to_string()),
    };
    if matches.opt_present("help") || matches.free.is_empty() {
        println!("{}", options.usage("Usage: wheel_replay [options] TRACE..."));
        return ExitCode::SUCCESS;
    }
    for path in &matches.free {
        let trace = match TraceFile::open(Path::new(path)) {
            Ok(trace) => trace,
            Err(error) => return fail(&error.to_string()),
        };
        let factor = |name: &str| matches.opt_get_default(name, 1.0).unwrap_or(1.0);
        let site = SitePlan::with_models(trace.header.site, factor("model-factor"));
        let site = site.with_load_factor(factor("load-factor"));
        let memory_gib = matches.opt_get("host-memory").ok().flatten();
        let site = memory_gib.map_or(site.clone(), |size| site.with_host_memory(size));
        let mut setup = ReplaySetup::with_site(&trace, site);
        let price = setup.placement.idle_cost;
        setup.placement.idle_cost = matches.opt_get_default("idle-price", price).unwrap_or(price);
        let share = setup.on_disk_share;
        setup.on_disk_share = matches.opt_get_default("on-disk", share).unwrap_or(share);
        let prefix = matches.opt_str("policy").unwrap_or_default();
        let policies = ReplayPolicy::all().into_iter();
        let chosen = policies.filter(|policy| policy.to_string().starts_with(&prefix));
        let reports = chosen.map(|policy| setup.replay(policy)).collect();
        let table = ReportTable { title: trace.header.title.clone(), reports };
        println!("{}", table.to_text());
        if matches.opt_present("causes") {
            for report in &table.reports {
                println!("{}: {}", report.policy, report.slow_wakes.to_text());
            }
        }
        if let Some(folder) = matches.opt_str("out")
            && let Err(problem) = write_files(&table, Path::new(&folder), Path::new(path))
        {
            return fail(&problem);
        }
    }
    ExitCode::SUCCESS
}

/// Writes a table to `folder` as CSV and as SVG, in files named after the trace.
fn write_files(table: &ReportTable, folder: &Path, trace: &Path) -> Result<(), String> {
    let name = trace.file_stem().unwrap_or_default();
    let csv = folder.join(name).with_extension("csv");
    std::fs::write(&csv, table.to_csv()).map_err(|error| format!("{}: {error}", csv.display()))?;
    ReportPlot { table }.write(&folder.join(name).with_extension("svg"))
}

fn fail(problem: &str) -> ExitCode {
    eprintln!("wheel_replay: {problem}");
    ExitCode::FAILURE
}

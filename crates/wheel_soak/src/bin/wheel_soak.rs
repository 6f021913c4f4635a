//! Runs soak tests of the platform's program.

use std::ops::RangeInclusive;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use getopts::Options;
use tokio::signal::unix::{SignalKind, signal};
use wheel_soak::{FAULT_FREE_TIME, RunOutcome, RunSettings, SoakReport, run_soak};

/// Default duration of a run, in minutes.
const USUAL_MINUTES: f64 = 1.0;
/// Default number of processes of a run, and the allowed range.
const USUAL_INSTANCES: usize = 6;
const INSTANCES: RangeInclusive<usize> = 5..=100;

/// Parsed command line.
struct SoakFlags {
    seeds: RangeInclusive<u64>,
    minutes: f64,
    instances: usize,
    report: Option<PathBuf>,
    is_kept: bool,
    has_seams: bool,
    has_teams: bool,
    has_spare: bool,
    is_plan_only: bool,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let flags = match read_flags(&arguments) {
        Ok(Some(flags)) => flags,
        Ok(None) => return ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("wheel_soak: {fault}");
            return ExitCode::from(2);
        }
    };
    match run_seeds(&flags) {
        Ok(0) => ExitCode::SUCCESS,
        Ok(_) => ExitCode::from(1),
        Err(fault) => {
            eprintln!("wheel_soak: {fault}");
            ExitCode::from(1)
        }
    }
}

fn read_flags(arguments: &[String]) -> Result<Option<SoakFlags>, String> {
    let mut options = Options::new();
    options.optopt("", "seed", "run this seed", "N");
    options.optopt("", "seeds", "run these seeds, one after another", "A..B");
    options.optopt("", "minutes", "length of each run", "M");
    options.optopt("", "instances", "processes of the system; three are control instances", "N");
    options.optopt("", "report", "write a report to this file, and a chart next to it", "FILE");
    options.optflag("", "keep", "keep the run folders");
    options.optflag("", "plan", "print the faults of each run and end");
    options.optflag(
        "",
        "seams",
        "also inject disk and clock faults, with a program that has test seams",
    );
    options.optflag("", "teams", "run with teams and their keys");
    options.optflag("", "spare", "run with a spare control instance, which replaces others");
    options.optflag("h", "help", "show this text");
    let matches = options.parse(arguments).map_err(|fault| fault.to_string())?;
    if matches.opt_present("help") {
        print!("{}", options.usage("wheel_soak [OPTIONS]"));
        return Ok(None);
    }
    if let Some(word) = matches.free.first() {
        return Err(format!("unexpected argument `{word}`"));
    }
    let number = |name: &str| -> Result<Option<f64>, String> {
        let Some(text) = matches.opt_str(name) else { return Ok(None) };
        let number = text.parse().map_err(|_| format!("--{name} `{text}` isn't a number"))?;
        Ok(Some(number))
    };
    let minutes = number("minutes")?.unwrap_or(USUAL_MINUTES);
    let shortest = FAULT_FREE_TIME.as_secs_f64() / 60.0;
    if !(shortest..=24.0 * 60.0).contains(&minutes) {
        return Err(format!("--minutes must be from {shortest:.2} to 1440"));
    }
    let instances = matches.opt_get_default("instances", USUAL_INSTANCES);
    let instances = instances.map_err(|fault| format!("--instances: {fault}"))?;
    if !INSTANCES.contains(&instances) {
        return Err(format!(
            "--instances must be from {} to {}",
            INSTANCES.start(),
            INSTANCES.end()
        ));
    }
    let seeds = match (matches.opt_str("seed"), matches.opt_str("seeds")) {
        (Some(_), Some(_)) => return Err("--seed and --seeds exclude each other".to_owned()),
        (Some(text), None) => read_seed(&text).map(|seed| seed..=seed),
        (None, Some(text)) => match text.split_once("..") {
            Some((first, last)) => Ok(read_seed(first)?..=read_seed(last)?),
            None => Err(format!("--seeds `{text}` isn't of the form A..B")),
        },
        (None, None) => Ok(1..=1),
    }?;
    if seeds.is_empty() {
        return Err("--seeds names no seed".to_owned());
    }
    let report = matches.opt_str("report").map(PathBuf::from);
    let is_kept = matches.opt_present("keep");
    let is_plan_only = matches.opt_present("plan");
    let has_seams = matches.opt_present("seams");
    let has_teams = matches.opt_present("teams");
    let has_spare = matches.opt_present("spare");
    Ok(Some(SoakFlags {
        seeds,
        minutes,
        instances,
        report,
        is_kept,
        has_seams,
        has_teams,
        has_spare,
        is_plan_only,
    }))
}

fn read_seed(text: &str) -> Result<u64, String> {
    text.parse().map_err(|_| format!("`{text}` isn't a seed"))
}

/// Runs all seeds and returns the number of violations.
fn run_seeds(flags: &SoakFlags) -> Result<usize, String> {
    let runtime =
        tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
    let runtime = runtime.map_err(|fault| fault.to_string())?;
    let mut violations = 0;
    let mut report = SoakReport::default();
    for seed in flags.seeds.clone() {
        let folder = tempfile::Builder::new().prefix(&format!("wheel-soak-{seed}-")).tempdir();
        let folder = folder.map_err(|fault| fault.to_string())?;
        let settings = RunSettings {
            seed,
            processes: flags.instances,
            has_seams: flags.has_seams,
            has_teams: flags.has_teams,
            has_spare: flags.has_spare,
            length: Duration::from_secs_f64(flags.minutes * 60.0),
            folder: folder.path().to_owned(),
        };
        if flags.is_plan_only {
            print!("{}", settings.plan());
            continue;
        }
        let running = async {
            tokio::select! {
                outcome = run_soak(&settings, &mut report) => outcome.map_err(|fault| fault.to_string()),
                stopped = until_stopped() => Err(stopped),
            }
        };
        let outcome = runtime.block_on(running);
        let is_bad = !matches!(&outcome, Ok(outcome) if outcome.violations.is_empty());
        if flags.is_kept || is_bad {
            println!("seed={seed} folder={}", folder.keep().display());
        }
        let outcome = outcome?;
        print_outcome(seed, &outcome);
        violations += outcome.violations.len();
    }
    if let Some(path) = &flags.report {
        report.write(path).map_err(|fault| fault.to_string())?;
        report.draw(&path.with_extension("svg")).map_err(|fault| fault.to_string())?;
    }
    Ok(violations)
}

/// Waits for a signal. The run is then dropped, which ends all processes.
async fn until_stopped() -> String {
    let Ok(mut terminate) = signal(SignalKind::terminate()) else {
        return std::future::pending().await;
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = tokio::signal::ctrl_c() => {}
    }
    "stopped by a signal".to_owned()
}

fn print_outcome(seed: u64, outcome: &RunOutcome) {
    for violation in &outcome.violations {
        let (guarantee, at, line) =
            (violation.guarantee, violation.at.as_secs_f64(), &violation.line);
        let ids = violation.ids.join(",");
        println!("seed={seed} violation={guarantee:?} at_s={at:.2} ids={ids} line={line:?}");
    }
    for (kind, count) in &outcome.faults {
        println!("seed={seed} fault={kind} count={count}");
    }
    let (calls, served, violations) = (outcome.calls, outcome.served, outcome.violations.len());
    println!("seed={seed} calls={calls} served={served} violations={violations}");
}

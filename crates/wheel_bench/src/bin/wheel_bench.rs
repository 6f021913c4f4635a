//! Runs measurements and writes their tables.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use getopts::Options;
use wheel_bench::{
    BenchError, CapacityPage, CsvTable, run_changes, run_claims, run_failures, run_idle,
    run_manifest, run_polling, run_requests, run_storm, run_streams,
};

/// The page with the generated tables.
const PAGE: &str = "docs/CAPACITY.md";

/// All runs, in the order of `all`.
const RUNS: [&str; 9] =
    ["text", "idle", "polling", "changes", "requests", "streams", "claims", "storm", "failures"];

#[tokio::main]
async fn main() -> ExitCode {
    let mut options = Options::new();
    options.optopt("", "out", "folder of the tables (docs/measurements)", "PATH");
    let brief = format!("Usage: wheel_bench [--out PATH] all|page|{}", RUNS.join("|"));
    let matches = match options.parse(std::env::args().skip(1)) {
        Ok(matches) if !matches.free.is_empty() => matches,
        _ => {
            eprintln!("{}", options.usage(&brief));
            return ExitCode::from(2);
        }
    };
    let folder = matches.opt_str("out").unwrap_or_else(|| "docs/measurements".to_owned());
    let folder = PathBuf::from(folder);
    let mut names: Vec<String> = matches.free;
    if names == ["all"] {
        names = RUNS.map(str::to_owned).to_vec();
    }
    if names == ["page"] {
        return match fill_page(&folder) {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => {
                eprintln!("wheel_bench: {error}");
                ExitCode::FAILURE
            }
        };
    }
    let mut failed = false;
    for name in names {
        let written = match run(&name).await {
            Ok(table) => table.write(&folder),
            Err(error) => Err(error),
        };
        if let Err(error) = written {
            eprintln!("wheel_bench: {name}: {error}");
            failed = true;
        }
    }
    if failed { ExitCode::FAILURE } else { ExitCode::SUCCESS }
}

/// Generates the tables of the page from the measured ones.
fn fill_page(folder: &Path) -> Result<(), BenchError> {
    let capacity = CapacityPage::read(folder)?;
    let failed = |source| BenchError::File { path: PAGE.to_owned(), source };
    let page = std::fs::read_to_string(PAGE).map_err(failed)?;
    let filled = capacity.blocks().iter().fold(page, |page, block| block.fill(&page));
    std::fs::write(PAGE, filled).map_err(failed)
}

async fn run(name: &str) -> Result<CsvTable, BenchError> {
    match name {
        "text" => run_manifest(),
        "idle" => run_idle().await,
        "polling" => run_polling().await,
        "changes" => run_changes().await,
        "requests" => run_requests().await,
        "streams" => run_streams().await,
        "claims" => run_claims().await,
        "storm" => run_storm().await,
        "failures" => run_failures().await,
        _ => Err(BenchError::Missing { what: format!("a run named {name}") }),
    }
}

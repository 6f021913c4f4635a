//! The program `wisteriactl`.

use std::process::ExitCode;

use wheel_ctl::{CtlFailure, CtlRun, CtlSettings, ExitStatus, ParsedArguments, help_text};

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let environment = |name: &str| std::env::var(name).ok();
    let status = match CtlSettings::parse(&arguments, &environment) {
        Ok(ParsedArguments::Help) => {
            print!("{}", help_text());
            ExitStatus::Done
        }
        Ok(ParsedArguments::Run(settings)) => run(&settings),
        Err(failure) => report(&failure),
    };
    status.into()
}

fn run(settings: &CtlSettings) -> ExitStatus {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let outcome = match runtime {
        Ok(runtime) => runtime.block_on(CtlRun::new(settings).run()),
        Err(error) => Err(CtlFailure::Local { reason: error.to_string() }),
    };
    match outcome {
        Ok(()) => ExitStatus::Done,
        Err(failure) => report(&failure),
    }
}

fn report(failure: &CtlFailure) -> ExitStatus {
    eprintln!("wisteriactl: {failure}");
    failure.status()
}

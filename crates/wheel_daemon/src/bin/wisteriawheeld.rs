//! The daemon's program.

use std::process::ExitCode;

use spdlog::{error, info};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio_util::sync::CancellationToken;
use wheel_daemon::{
    DaemonSettings, ExitStatus, RunningDaemon, SettingsReader, SettingsRequest, start_logs,
};

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match SettingsReader::read(&arguments, |name| std::env::var(name).ok()) {
        Ok(SettingsRequest::Run(settings)) => run(*settings).into(),
        Ok(SettingsRequest::CheckOnly) => {
            println!("the settings have no fault");
            ExitStatus::Done.into()
        }
        Ok(SettingsRequest::Print(text)) => {
            print!("{text}");
            ExitStatus::Done.into()
        }
        Err(faults) => {
            faults.iter().for_each(|fault| eprintln!("wisteriawheeld: {fault}"));
            ExitStatus::BadSettings.into()
        }
    }
}

fn run(settings: DaemonSettings) -> ExitStatus {
    if let Err(error) = start_logs(settings.log_level) {
        eprintln!("wisteriawheeld: logs can't be written: {error}");
        return ExitStatus::Failed;
    }
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(settings.workers)
        .enable_all()
        .build();
    match runtime {
        Ok(runtime) => runtime.block_on(serve(settings)),
        Err(error) => {
            error!("runtime_not_started", kv: { reason:? = error.to_string() });
            ExitStatus::Failed
        }
    }
}

async fn serve(settings: DaemonSettings) -> ExitStatus {
    let signals = (signal(SignalKind::terminate()), signal(SignalKind::interrupt()));
    let (Ok(mut terminate), Ok(mut interrupt)) = signals else {
        error!("signals_not_available");
        return ExitStatus::Failed;
    };
    let daemon = match RunningDaemon::spawn(settings).await {
        Ok(daemon) => daemon,
        Err(error) => {
            error!("daemon_not_started", kv: { reason:? = error.to_string() });
            return ExitStatus::Failed;
        }
    };
    tokio::select! {
        () = next_signal(&mut terminate, &mut interrupt) => {}
        () = daemon.shutdown_requested() => {}
    }
    let abort = CancellationToken::new();
    let second = abort.clone();
    tokio::spawn(async move {
        next_signal(&mut terminate, &mut interrupt).await;
        info!("second_signal");
        second.cancel();
    });
    daemon.drain(abort).await
}

async fn next_signal(terminate: &mut Signal, interrupt: &mut Signal) {
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}

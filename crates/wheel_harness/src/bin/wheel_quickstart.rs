//! Starts a complete system on loopback, sends one chat completion and makes one booking.

use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use getopts::Options;
use http::{Method, StatusCode};
use serde_json::json;
use wheel_harness::{ClusterManifest, ClusterSettings, HarnessError, HttpReply, LocalCluster};
use wheel_manifest::{CallerIdentity, DeploymentManifest, ServiceSpec};

/// Limit for forming the group and for bringing the initial manifest in force at every instance.
const APPLY_LIMIT: Duration = Duration::from_secs(30);

#[tokio::main]
async fn main() -> ExitCode {
    let mut options = Options::new();
    options.optflag("", "keep", "leave the system running until interrupted");
    options.optopt("", "text", "the operators' manifest (examples/srisawat.toml)", "FILE");
    let matches = match options.parse(std::env::args().skip(1)) {
        Ok(matches) if matches.free.is_empty() => matches,
        _ => {
            eprintln!("{}", options.usage("Usage: wheel_quickstart [--keep] [--text FILE]"));
            return ExitCode::from(2);
        }
    };
    let path = matches.opt_str("text").unwrap_or_else(|| "examples/srisawat.toml".to_owned());
    match run(Path::new(&path), matches.opt_present("keep")).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("wheel_quickstart: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run(path: &Path, keep: bool) -> Result<(), HarnessError> {
    let source = std::fs::read_to_string(path)
        .map_err(|source| HarnessError::Io { what: format!("read {}", path.display()), source })?;
    let manifest = ClusterManifest::parse(&source)?;
    let mut steps = StepTimer::start();
    let cluster = LocalCluster::start(&manifest, &ClusterSettings::default()).await?;
    steps.finish(&format!(
        "started {} instances and {} upstreams",
        cluster.instances.len(),
        cluster.upstreams.len()
    ));
    cluster.apply_first(APPLY_LIMIT).await?;
    steps.finish("manifest committed by the control instances and in force at every instance");
    let at = cluster.instances[0].ports.callers;
    let question = ask_question(&cluster, at, manifest.manifest()).await?;
    print_reply("question", &question);
    steps.finish("cold model loaded, question answered");
    if let Some(service) = plain_service(manifest.manifest()) {
        let booking = make_booking(&cluster, at, manifest.manifest(), service).await?;
        print_reply("booking", &booking);
        steps.finish("booking made");
    }
    if keep {
        print_commands(&cluster);
        let _ = tokio::signal::ctrl_c().await;
    }
    drop(cluster);
    steps.finish("everything stopped");
    Ok(())
}

async fn ask_question(
    cluster: &LocalCluster,
    at: SocketAddr,
    manifest: &DeploymentManifest,
) -> Result<HttpReply, HarnessError> {
    let missing = || HarnessError::Manifest { faults: "no service has a model".to_owned() };
    let service = manifest.services.iter().find(|service| !service.models.is_empty());
    let service = service.ok_or_else(missing)?;
    let body = json!({
        "model": service.models[0],
        "stream": true,
        "max_tokens": 12,
        "messages": [{ "role": "user", "content": "When can we walk along the river safely?" }],
    });
    let caller = caller_header(manifest, service);
    let headers = [(caller.0.as_str(), caller.1.as_str()), ("wheel-deadline-ms", "30000")];
    let path = "/v1/chat/completions";
    let reply = cluster.client.call(Method::POST, at, path, &headers, body.to_string()).await?;
    expect_ok(reply, "the question")
}

async fn make_booking(
    cluster: &LocalCluster,
    at: SocketAddr,
    manifest: &DeploymentManifest,
    service: &ServiceSpec,
) -> Result<HttpReply, HarnessError> {
    let path = format!("{}/seats", service.path_prefix.as_deref().unwrap_or_default());
    let body = json!({ "walk": "bone bed at dawn", "seats": 2 });
    let caller = caller_header(manifest, service);
    let headers =
        [(caller.0.as_str(), caller.1.as_str()), ("idempotency-key", "quickstart-booking")];
    let reply = cluster.client.call(Method::POST, at, &path, &headers, body.to_string()).await?;
    expect_ok(reply, "the booking")
}

fn plain_service(manifest: &DeploymentManifest) -> Option<&ServiceSpec> {
    manifest.services.iter().find(|service| service.path_prefix.is_some() && !service.idempotent)
}

/// The name and value of the header that identifies a caller of `service`.
fn caller_header(manifest: &DeploymentManifest, service: &ServiceSpec) -> (String, String) {
    let caller =
        service.callers.first().or_else(|| manifest.callers.first().map(|spec| &spec.name));
    let name = caller.map(ToString::to_string).unwrap_or_default();
    match &manifest.identity {
        CallerIdentity::Header { name: header } => (header.clone(), name),
        CallerIdentity::Bearer => ("authorization".to_owned(), format!("Bearer {name}")),
    }
}

fn expect_ok(reply: HttpReply, what: &str) -> Result<HttpReply, HarnessError> {
    match reply.status {
        status if status == StatusCode::OK && reply.complete => Ok(reply),
        status if status.is_success() && reply.complete => Ok(reply),
        status => Err(HarnessError::Http {
            what: what.to_owned(),
            reason: format!("{status}: {}", reply.text()),
        }),
    }
}

fn print_reply(what: &str, reply: &HttpReply) {
    println!(
        "{what}: status={} outcome={} request={} first_byte_ms={}",
        reply.status.as_u16(),
        reply.header("wheel-outcome"),
        reply.header("wheel-request-id"),
        reply.first_byte.as_millis()
    );
    let text = reply.text();
    let shown = text.lines().filter(|line| !line.is_empty());
    shown.for_each(|line| println!("  {line}"));
}

fn print_commands(cluster: &LocalCluster) {
    println!("logs and data: {}", cluster.folder().display());
    for instance in &cluster.instances {
        println!(
            "{} in {}: callers {} operators {}",
            instance.name, instance.centre, instance.ports.callers, instance.ports.operators
        );
    }
    let operators = cluster.instances[0].ports.operators;
    println!("try:");
    println!("  wisteriactl --endpoint {operators} status");
    println!("  wisteriactl --endpoint {operators} show > text.toml");
    println!("  wisteriactl --endpoint {operators} apply text.toml --wait");
    println!("stop with Ctrl-C");
}

/// Prints the elapsed time of each step.
struct StepTimer {
    last: Instant,
}

impl StepTimer {
    fn start() -> Self {
        Self { last: Instant::now() }
    }

    fn finish(&mut self, step: &str) {
        println!("[{:>6} ms] {step}", self.last.elapsed().as_millis());
        self.last = Instant::now();
    }
}

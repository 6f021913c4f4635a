//! Execution of a command.

use std::io::Read;

use http::Method;
use serde::Serialize;
use wheel_manifest::DeploymentManifest;

use crate::apply_run::ApplyRun;
use crate::{
    AdminClient, AdminRequest, CtlCommand, CtlFailure, CtlOutput, CtlSettings, FaultReport,
    RequestTimeline, StatusReport,
};

/// One run of the tool.
pub struct CtlRun<'a> {
    settings: &'a CtlSettings,
    client: AdminClient<'a>,
    output: CtlOutput,
}

/// The result of `check` for a manifest without faults.
#[derive(Serialize)]
struct CheckResult {
    models: usize,
    adapters: usize,
    upstreams: usize,
    services: usize,
}

/// The result of `show --json`.
#[derive(Serialize)]
struct ShowResult {
    revision: u64,
    text: String,
}

/// A change of the voters, as the body of a request.
#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
enum VoterChange<'a> {
    Add(&'a str),
    Remove(&'a str),
}

impl<'a> CtlRun<'a> {
    /// Creates a run with these settings.
    pub fn new(settings: &'a CtlSettings) -> Self {
        let client = AdminClient::open(settings);
        Self { settings, client, output: CtlOutput::new(settings.json) }
    }

    /// Executes the command and prints its result.
    ///
    /// # Errors
    /// Any [`CtlFailure`].
    pub async fn run(&self) -> Result<(), CtlFailure> {
        match &self.settings.command {
            CtlCommand::Check { file } => self.check(file),
            CtlCommand::Apply(arguments) => {
                let source = self.read_checked(&arguments.file)?;
                ApplyRun::new(self.settings, arguments).run(&source).await
            }
            CtlCommand::Show => self.show().await,
            CtlCommand::Status => self.status().await,
            CtlCommand::Drain => {
                self.print_answer(&AdminRequest::new(Method::POST, "/admin/v1/drain", "")).await
            }
            CtlCommand::Explain { query } => {
                let path = format!("/admin/v1/explain?q={query}");
                self.print_answer(&AdminRequest::get(path)).await
            }
            CtlCommand::ExplainRequest { id, files } => self.explain_request(id, files),
            CtlCommand::ListVoters => {
                self.print_answer(&AdminRequest::get("/admin/v1/voters")).await
            }
            CtlCommand::AddVoter { instance } => {
                self.change_voter(&VoterChange::Add(instance)).await
            }
            CtlCommand::RemoveVoter { instance } => {
                self.change_voter(&VoterChange::Remove(instance)).await
            }
        }
    }

    fn check(&self, file: &str) -> Result<(), CtlFailure> {
        let manifest = self.parse(file, &read_file(file)?)?;
        let result = CheckResult {
            models: manifest.models.len(),
            adapters: manifest.adapters.len(),
            upstreams: manifest.upstreams.len(),
            services: manifest.services.len(),
        };
        let CheckResult { models, adapters, upstreams, services } = result;
        let line = format!(
            "{file}: good, with {models} models, {adapters} adapters, {upstreams} upstreams, {services} services"
        );
        self.output.print(&line, &result);
        Ok(())
    }

    fn read_checked(&self, file: &str) -> Result<String, CtlFailure> {
        let source = read_file(file)?;
        self.parse(file, &source)?;
        Ok(source)
    }

    fn parse(&self, file: &str, source: &str) -> Result<DeploymentManifest, CtlFailure> {
        DeploymentManifest::parse(source).map_err(|faults| {
            let reports: Vec<_> = faults.iter().map(FaultReport::from).collect();
            self.output.print_faults(file, &reports);
            CtlFailure::Faults { count: faults.len() }
        })
    }

    fn explain_request(&self, id: &str, files: &[String]) -> Result<(), CtlFailure> {
        let standard_input = ["-".to_owned()];
        let files = if files.is_empty() { &standard_input } else { files };
        let logs: Result<Vec<String>, CtlFailure> =
            files.iter().map(|file| read_file(file)).collect();
        let logs = logs?;
        let timeline = RequestTimeline::read(id, logs.iter().flat_map(|log| log.lines()));
        if timeline.own.is_empty() {
            return Err(CtlFailure::Local {
                reason: format!("no log line has the request id {id}"),
            });
        }
        println!("# the request");
        timeline.own.iter().for_each(|line| println!("{line}"));
        println!("# what it needed, in the 20 s before its end");
        timeline.context.iter().for_each(|line| println!("{line}"));
        println!("# {}", timeline.outcome().unwrap_or_else(|| "it hasn't ended".to_owned()));
        Ok(())
    }

    async fn show(&self) -> Result<(), CtlFailure> {
        let answer = self.client.send(&AdminRequest::get("/admin/v1/text")).await?;
        let answer = answer.into_success()?;
        let revision = answer.revision.unwrap_or_default();
        let text = answer.text();
        if self.output.is_json() {
            self.output.print("", &ShowResult { revision, text });
        } else {
            eprintln!("revision={revision}");
            print!("{text}");
        }
        Ok(())
    }

    async fn status(&self) -> Result<(), CtlFailure> {
        let answer = self.client.send(&AdminRequest::get("/admin/v1/status")).await?;
        let answer = answer.into_success()?;
        match serde_json::from_slice::<StatusReport>(&answer.body) {
            Ok(report) if !self.output.is_json() => print!("{}", report.to_text()),
            Ok(_) | Err(_) => self.output.print_body(&answer.text()),
        }
        Ok(())
    }

    async fn change_voter(&self, change: &VoterChange<'_>) -> Result<(), CtlFailure> {
        let body = serde_json::to_string(change);
        let body = body.map_err(|error| CtlFailure::Local { reason: error.to_string() })?;
        let request = AdminRequest::new(Method::POST, "/admin/v1/voters", body);
        let key = format!("{:032x}", rand::random::<u128>());
        self.print_answer(&request.key(&key)).await
    }

    async fn print_answer(&self, request: &AdminRequest) -> Result<(), CtlFailure> {
        let answer = self.client.send(request).await?.into_success()?;
        if !answer.body.is_empty() {
            self.output.print_body(&answer.text());
        }
        Ok(())
    }
}

fn read_file(file: &str) -> Result<String, CtlFailure> {
    let read = match file {
        "-" => {
            let mut source = String::new();
            std::io::stdin().read_to_string(&mut source).map(|_| source)
        }
        file => std::fs::read_to_string(file),
    };
    read.map_err(|error| CtlFailure::Local { reason: format!("{file}: {error}") })
}

//! The status that an instance reports, of the other instances and of the engines.

use std::fmt::Write;

use serde::Deserialize;

/// State of one instance as known to the answering one.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize)]
#[serde(default)]
pub struct InstanceStatus {
    /// Its name.
    pub name: String,
    /// Its data centre.
    pub data_centre: String,
    /// The revision of its active manifest.
    pub revision: u64,
    /// Time since that revision became active there, in milliseconds.
    pub age_ms: u64,
    /// Whether it answers; if not, the other values are unknown.
    pub reachable: bool,
}

impl Default for InstanceStatus {
    fn default() -> Self {
        Self {
            name: String::new(),
            data_centre: String::new(),
            revision: 0,
            age_ms: 0,
            reachable: true,
        }
    }
}

impl InstanceStatus {
    fn format_state(&self) -> String {
        let Self { data_centre, revision, age_ms, .. } = self;
        match self.reachable {
            true => format!("data_centre={data_centre} revision={revision} age={age_ms}ms"),
            false => "unreachable".to_owned(),
        }
    }
}

/// A model on an engine.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize)]
#[serde(default)]
pub struct ModelStatus {
    /// Its name.
    pub model: String,
    /// Its version.
    pub version: u32,
    /// Its phase: loading, loaded or unloading.
    pub phase: String,
}

/// State of one engine as known to the answering instance.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize)]
#[serde(default)]
pub struct EngineStatus {
    /// Its name.
    pub name: String,
    /// Its state.
    pub state: String,
    /// The models on it, also those being loaded or unloaded.
    pub models: Vec<ModelStatus>,
    /// The instance that owns its queue.
    pub owner: Option<String>,
}

/// The answer to `/admin/v1/status`.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize)]
#[serde(default)]
pub struct StatusReport {
    /// The answering instance.
    pub instance: String,
    /// Its data centre.
    pub data_centre: String,
    /// The revision of its active manifest.
    pub revision: u64,
    /// Its role in the replicated log.
    pub role: String,
    /// The leader of the replicated log, if it knows one.
    pub leader: Option<String>,
    /// The instances that it knows, including itself.
    pub instances: Vec<InstanceStatus>,
    /// The engines that it knows.
    pub engines: Vec<EngineStatus>,
}

impl ModelStatus {
    fn format_state(&self) -> String {
        format!("{}@{}:{}", self.model, self.version, self.phase)
    }
}

impl StatusReport {
    /// The instances where a revision isn't active yet.
    pub fn lagging(&self, revision: u64) -> Vec<&InstanceStatus> {
        self.instances.iter().filter(|instance| instance.revision < revision).collect()
    }

    /// Whether a revision is active at every listed instance; false if none is listed.
    pub fn is_active_everywhere(&self, revision: u64) -> bool {
        !self.instances.is_empty() && self.lagging(revision).is_empty()
    }

    /// The report as text lines.
    pub fn to_text(&self) -> String {
        let leader = self.leader.as_deref().unwrap_or("unknown");
        let mut lines = format!(
            "instance={} data_centre={} revision={} role={} leader={leader}\n",
            self.instance, self.data_centre, self.revision, self.role
        );
        let width = column_width(self.instances.iter().map(|instance| &instance.name));
        for instance in &self.instances {
            let (name, state) = (&instance.name, instance.format_state());
            let _written = writeln!(lines, "instance {name:width$} {state}");
        }
        let width = column_width(self.engines.iter().map(|engine| &engine.name));
        for engine in &self.engines {
            let EngineStatus { name, state, models, owner } = engine;
            let owner = owner.as_deref().unwrap_or("none");
            let models: Vec<_> = models.iter().map(ModelStatus::format_state).collect();
            let models = models.join(",");
            let _written = writeln!(
                lines,
                "engine   {name:width$} state={state} owner={owner} models={models}"
            );
        }
        lines
    }
}

fn column_width<'a>(names: impl Iterator<Item = &'a String>) -> usize {
    names.map(String::len).max().unwrap_or_default()
}

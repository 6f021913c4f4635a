//! What an instance knows of the others and of the engines.

use std::fmt::Write;

use serde::Deserialize;

/// An instance as the answering one sees it.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize)]
#[serde(default)]
pub struct InstanceStatus {
    /// Its name.
    pub name: String,
    /// Its data centre.
    pub data_centre: String,
    /// The revision in force there.
    pub revision: u64,
    /// How long it has had that revision, in milliseconds.
    pub age_ms: u64,
    /// Whether it answers; if not, the rest isn't known.
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
    fn to_words(&self) -> String {
        let Self { data_centre, revision, age_ms, .. } = self;
        match self.reachable {
            true => format!("data_centre={data_centre} revision={revision} age={age_ms}ms"),
            false => "unreachable".to_owned(),
        }
    }
}

/// A model that an engine holds.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize)]
#[serde(default)]
pub struct HeldModel {
    /// Its name.
    pub model: String,
    /// Its version.
    pub version: u32,
    /// How far it is: loading, loaded or unloading.
    pub phase: String,
}

/// An engine as the answering instance sees it.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize)]
#[serde(default)]
pub struct EngineStatus {
    /// Its name.
    pub name: String,
    /// Its state.
    pub state: String,
    /// The models that it holds.
    pub models: Vec<HeldModel>,
    /// The instance that owns its queue.
    pub owner: Option<String>,
}

/// The answer of `/admin/v1/status`.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize)]
#[serde(default)]
pub struct StatusReport {
    /// The instance that answers.
    pub instance: String,
    /// Its data centre.
    pub data_centre: String,
    /// The revision in force there.
    pub revision: u64,
    /// Its role in the replicated log.
    pub role: String,
    /// The leader of the replicated log, if it knows one.
    pub leader: Option<String>,
    /// The instances that it knows, itself among them.
    pub instances: Vec<InstanceStatus>,
    /// The engines that it knows.
    pub engines: Vec<EngineStatus>,
}

impl HeldModel {
    fn to_word(&self) -> String {
        format!("{}@{}:{}", self.model, self.version, self.phase)
    }
}

impl StatusReport {
    /// The instances that don't have a revision yet.
    pub fn lagging(&self, revision: u64) -> Vec<&InstanceStatus> {
        self.instances.iter().filter(|instance| instance.revision < revision).collect()
    }

    /// Whether every listed instance has a revision; not if none is listed.
    pub fn has_everywhere(&self, revision: u64) -> bool {
        !self.instances.is_empty() && self.lagging(revision).is_empty()
    }

    /// The report in lines.
    pub fn to_lines(&self) -> String {
        let leader = self.leader.as_deref().unwrap_or("unknown");
        let mut lines = format!(
            "instance={} data_centre={} revision={} role={} leader={leader}\n",
            self.instance, self.data_centre, self.revision, self.role
        );
        let width = column_width(self.instances.iter().map(|instance| &instance.name));
        for instance in &self.instances {
            let (name, words) = (&instance.name, instance.to_words());
            let _written = writeln!(lines, "instance {name:width$} {words}");
        }
        let width = column_width(self.engines.iter().map(|engine| &engine.name));
        for engine in &self.engines {
            let EngineStatus { name, state, models, owner } = engine;
            let owner = owner.as_deref().unwrap_or("none");
            let models: Vec<_> = models.iter().map(HeldModel::to_word).collect();
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

//! A complete system on loopback.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use http::{Method, StatusCode};
use serde_json::Value;
use snafu::ResultExt;
use tempfile::TempDir;
use wheel_manifest::UpstreamKind;
use wheel_types::{CentreName, InstanceName, UpstreamName};

use crate::harness_error::IoSnafu;
use crate::{
    ChildProcess, ClusterManifest, FreePorts, HarnessError, HttpClient, HttpReply, InstancePorts,
    LinkRelay, LinkState, LocalInstance,
};

/// Interval at which an awaited condition is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// What a local system consists of.
#[derive(Clone, Debug)]
pub struct ClusterSettings {
    /// Number of control instances. Each data centre gets one before any gets a second.
    pub control: usize,
    /// Instances in each data centre beyond its lease grantors.
    pub extra_instances: usize,
    /// Data centres of the manifest in which nothing is started.
    pub absent_centres: Vec<CentreName>,
    /// A data centre whose connections to all others pass through link relays, so that it can be
    /// partitioned.
    pub partitionable: Option<CentreName>,
    /// Additional flags of each daemon.
    pub daemon_flags: Vec<String>,
    /// Additional flags of each fake engine.
    pub engine_flags: Vec<String>,
    /// Models that fake engines have loaded from the start, as `UPSTREAM=MODEL`.
    pub preload: Vec<String>,
    /// The secret that the instances share.
    pub secret: String,
}

impl Default for ClusterSettings {
    fn default() -> Self {
        let daemon_flags = ["--lease-term", "2", "--order-life", "0.5", "--workers", "2"];
        Self {
            control: 3,
            extra_instances: 0,
            absent_centres: Vec::new(),
            partitionable: None,
            daemon_flags: daemon_flags.map(str::to_owned).to_vec(),
            engine_flags: ["--token-us", "2000", "--load-ms", "200"].map(str::to_owned).to_vec(),
            preload: Vec::new(),
            secret: "a secret for loopback".to_owned(),
        }
    }
}

/// Running daemons and fakes, killed when it is dropped.
#[derive(Debug)]
pub struct LocalCluster {
    /// The daemons.
    pub instances: Vec<LocalInstance>,
    /// The fakes of the upstreams.
    pub upstreams: BTreeMap<UpstreamName, ChildProcess>,
    /// The addresses that the upstreams listen on.
    pub addresses: BTreeMap<UpstreamName, SocketAddr>,
    /// The source of the manifest with those addresses.
    pub source: String,
    /// HTTP client for the daemons and fakes.
    pub client: HttpClient,
    links: Vec<LinkRelay>,
    folder: TempDir,
}

impl LocalCluster {
    /// Starts everything that `manifest` lists and waits until each daemon answers.
    ///
    /// # Errors
    /// [`HarnessError`] if something can't be started; what was started before is killed.
    pub async fn start(
        manifest: &ClusterManifest,
        settings: &ClusterSettings,
    ) -> Result<Self, HarnessError> {
        let folder = TempDir::new().context(IoSnafu { what: "create a folder" })?;
        let mut cluster = Self {
            instances: Vec::new(),
            upstreams: BTreeMap::new(),
            addresses: BTreeMap::new(),
            source: String::new(),
            client: HttpClient::default(),
            links: Vec::new(),
            folder,
        };
        cluster.start_upstreams(manifest, settings)?;
        cluster.source = manifest.source_at(&cluster.addresses);
        cluster.prepare_instances(manifest, settings).await?;
        for instance in &mut cluster.instances {
            instance.start()?;
        }
        cluster.wait_for_daemons().await?;
        Ok(cluster)
    }

    /// The folder with logs and data folders.
    pub fn folder(&self) -> &Path {
        self.folder.path()
    }

    /// Changes the state of all links of the partitionable data centre.
    pub fn set_links(&self, state: LinkState) {
        self.links.iter().for_each(|link| link.set(state));
    }

    /// The daemon called `name`.
    ///
    /// # Panics
    /// If there is none, which is an error in the test.
    pub fn instance(&mut self, name: &str) -> &mut LocalInstance {
        let found = self.instances.iter_mut().find(|instance| instance.name.as_str() == name);
        match found {
            Some(instance) => instance,
            None => panic!("no instance is named {name}"),
        }
    }

    /// Sends a manifest that was edited from revision `base` to the operators' address `at` and
    /// returns the response.
    ///
    /// # Errors
    /// [`HarnessError::Http`] if there is no response.
    pub async fn apply(
        &self,
        at: SocketAddr,
        source: &str,
        base: u64,
        key: &str,
    ) -> Result<HttpReply, HarnessError> {
        let base = format!("\"{base}\"");
        let headers = [("if-match", base.as_str()), ("idempotency-key", key)];
        self.client.call(Method::PUT, at, "/admin/v1/text", &headers, source.to_owned()).await
    }

    /// Applies the initial manifest as soon as the group has a leader, and waits until it is in
    /// force at every instance.
    ///
    /// # Errors
    /// [`HarnessError::Timeout`] if that takes longer than `limit`.
    pub async fn apply_first(&self, limit: Duration) -> Result<(), HarnessError> {
        let deadline = Instant::now() + limit;
        let at = self.instances[0].ports.operators;
        loop {
            let reply = self.apply(at, &self.source, 0, "first").await;
            match reply {
                Ok(reply) if reply.status == StatusCode::OK => break,
                Ok(reply) if reply.status == StatusCode::UNPROCESSABLE_ENTITY => {
                    return Err(HarnessError::Manifest { faults: reply.text() });
                }
                _ if Instant::now() >= deadline => {
                    return Err(HarnessError::Timeout {
                        what: "the initial apply".to_owned(),
                        limit,
                    });
                }
                _ => tokio::time::sleep(POLL_INTERVAL).await,
            }
        }
        self.wait_revision(1, limit).await
    }

    /// Waits until every running instance has at least this revision of the manifest.
    ///
    /// # Errors
    /// [`HarnessError::Timeout`] if that takes longer than `limit`.
    pub async fn wait_revision(&self, revision: u64, limit: Duration) -> Result<(), HarnessError> {
        for instance in self.instances.iter().filter(|instance| instance.process.is_some()) {
            let operators = instance.ports.operators;
            let what = format!("revision {revision} at {}", instance.name);
            self.wait_until(&what, limit, || async {
                let reply = self.client.get(operators, "/admin/v1/text").await.ok()?;
                let held = reply.header("etag").trim_matches('"').parse::<u64>().ok()?;
                (held >= revision).then_some(())
            })
            .await?;
        }
        Ok(())
    }

    /// Polls `check` until it returns a value.
    ///
    /// # Errors
    /// [`HarnessError::Timeout`] if that takes longer than `limit`.
    pub async fn wait_until<T, F>(
        &self,
        what: &str,
        limit: Duration,
        check: impl Fn() -> F,
    ) -> Result<T, HarnessError>
    where
        F: Future<Output = Option<T>>,
    {
        let deadline = Instant::now() + limit;
        loop {
            if let Some(found) = check().await {
                return Ok(found);
            }
            if Instant::now() >= deadline {
                return Err(HarnessError::Timeout { what: what.to_owned(), limit });
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Reads an instance's view of itself and of the other instances.
    ///
    /// # Errors
    /// [`HarnessError::Http`] if there is no response.
    pub async fn status(&self, operators: SocketAddr) -> Result<Value, HarnessError> {
        Ok(self.client.get(operators, "/admin/v1/status").await?.json())
    }

    fn start_upstreams(
        &mut self,
        manifest: &ClusterManifest,
        settings: &ClusterSettings,
    ) -> Result<(), HarnessError> {
        let is_absent = |centre| settings.absent_centres.contains(centre);
        for upstream in manifest.upstreams().iter().filter(|spec| !is_absent(&spec.data_centre)) {
            let mut flags = match upstream.kind {
                UpstreamKind::Engine => vec!["engine".to_owned()],
                UpstreamKind::Service => vec!["service".to_owned()],
            };
            if upstream.kind == UpstreamKind::Engine {
                flags.extend(["--memory-mib".to_owned(), upstream.memory_mib.to_string()]);
                flags.extend(["--slots".to_owned(), upstream.slots.to_string()]);
                flags.extend(settings.engine_flags.iter().cloned());
                if !upstream.enforces_fencing {
                    flags.push("--ignore-fencing".to_owned());
                }
                let prefix = format!("{}=", upstream.name);
                for model in settings.preload.iter().filter_map(|item| item.strip_prefix(&prefix)) {
                    flags.extend(["--preload".to_owned(), model.to_owned()]);
                }
            }
            let name = upstream.name.as_str();
            let log = self.log_path(name);
            let mut process = ChildProcess::spawn("wheel_fake", name, &flags, &log)?;
            self.addresses.insert(upstream.name.clone(), process.read_listening()?);
            self.upstreams.insert(upstream.name.clone(), process);
        }
        Ok(())
    }

    async fn prepare_instances(
        &mut self,
        manifest: &ClusterManifest,
        settings: &ClusterSettings,
    ) -> Result<(), HarnessError> {
        let mut free = FreePorts;
        let mut instances = manifest.instances(settings.extra_instances);
        instances.retain(|(_, centre)| !settings.absent_centres.contains(centre));
        let control = choose_control(&instances, settings.control);
        let mut ports = Vec::new();
        for _ in &instances {
            ports.push(InstancePorts::take(&mut free)?);
        }
        let peers = self.link_peers(&instances, &ports, settings.partitionable.as_ref()).await?;
        let secret = self.folder.path().join("secret");
        std::fs::write(&secret, &settings.secret).context(IoSnafu { what: "write the secret" })?;
        for ((name, centre), ports) in instances.into_iter().zip(ports) {
            let is_control = control.contains(&name);
            let folder = is_control.then(|| self.folder.path().join(format!("data-{name}")));
            let mut arguments = vec![
                format!("--instance={name}"),
                format!("--data-centre={centre}"),
                format!("--group={}", manifest.group()),
                format!("--listen={}", ports.callers),
                format!("--admin-listen={}", ports.operators),
                format!("--peer-listen={}", ports.peer),
                format!("--relay-listen={}", ports.relay),
                format!("--peers={}", peers.seen_from(&centre)),
                format!("--control={}", join_names(&control)),
                format!("--secret-file={}", secret.display()),
            ];
            arguments.extend(folder.iter().map(|path| format!("--data-folder={}", path.display())));
            arguments.extend(settings.daemon_flags.iter().cloned());
            let log = self.log_path(name.as_str());
            let process = None;
            self.instances.push(LocalInstance {
                name,
                centre,
                ports,
                folder,
                arguments,
                log,
                process,
            });
        }
        Ok(())
    }

    /// Puts link relays between the partitionable data centre and all others.
    async fn link_peers(
        &mut self,
        instances: &[(InstanceName, CentreName)],
        ports: &[InstancePorts],
        partitionable: Option<&CentreName>,
    ) -> Result<PeerLists, HarnessError> {
        let mut lists = PeerLists { partitionable: partitionable.cloned(), ..PeerLists::default() };
        for ((name, centre), ports) in instances.iter().zip(ports) {
            let direct = format!("{name}@{centre}={}/{}", ports.peer, ports.relay);
            let mut across = direct.clone();
            if partitionable.is_some() {
                let peer = LinkRelay::bind(ports.peer).await?;
                let relay = LinkRelay::bind(ports.relay).await?;
                across = format!("{name}@{centre}={}/{}", peer.address(), relay.address());
                self.links.extend([peer, relay]);
            }
            let is_inside = Some(centre) == partitionable;
            lists.inside.push(if is_inside { direct.clone() } else { across.clone() });
            lists.outside.push(if is_inside { across } else { direct });
        }
        Ok(lists)
    }

    async fn wait_for_daemons(&self) -> Result<(), HarnessError> {
        const START_LIMIT: Duration = Duration::from_secs(20);
        for instance in &self.instances {
            let operators = instance.ports.operators;
            let what = format!("start of {}", instance.name);
            let started = self.wait_until(&what, START_LIMIT, || async {
                let reply = self.client.get(operators, "/healthz").await.ok()?;
                (reply.status == StatusCode::OK).then_some(())
            });
            started.await.map_err(|_| HarnessError::NotStarted {
                name: instance.name.as_str().to_owned(),
                limit: START_LIMIT,
                log: instance.last_log_lines(),
            })?;
        }
        Ok(())
    }

    fn log_path(&self, name: &str) -> PathBuf {
        self.folder.path().join(format!("{name}.log"))
    }
}

/// The instances' addresses as used inside the partitionable data centre and in all others.
#[derive(Debug, Default)]
struct PeerLists {
    partitionable: Option<CentreName>,
    inside: Vec<String>,
    outside: Vec<String>,
}

impl PeerLists {
    fn seen_from(&self, centre: &CentreName) -> String {
        match self.partitionable.as_ref() == Some(centre) {
            true => self.inside.join(","),
            false => self.outside.join(","),
        }
    }
}

/// Chooses control instances: one in each data centre before a second one in any.
fn choose_control(instances: &[(InstanceName, CentreName)], count: usize) -> Vec<InstanceName> {
    let mut chosen: Vec<InstanceName> = Vec::new();
    while chosen.len() < count.min(instances.len()) {
        let mut centres = Vec::new();
        for (name, centre) in instances {
            if chosen.len() < count && !chosen.contains(name) && !centres.contains(&centre) {
                chosen.push(name.clone());
                centres.push(centre);
            }
        }
    }
    chosen
}

fn join_names(names: &[InstanceName]) -> String {
    names.iter().map(InstanceName::as_str).collect::<Vec<_>>().join(",")
}

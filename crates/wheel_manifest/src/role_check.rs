//! Checks that upstreams, services and callers have the fields that their kind requires.

use std::collections::{HashMap, HashSet};

use jiff::tz::TimeZoneDatabase;

use crate::fault_list::FaultList;
use crate::spanned_entry::SpannedEntry;
use crate::spanned_manifest::SpannedManifest;
use crate::{CallerIdentity, CallerSpec, ServiceSpec, UpstreamKind, UpstreamSpec};

/// Number of hexadecimal digits in a token's hash.
const TOKEN_HASH_DIGITS: usize = 64;

/// Checks upstreams, services and callers of one manifest.
pub(crate) struct RoleCheck<'a, 'f, 's> {
    manifest: &'a SpannedManifest<'a>,
    faults: &'f mut FaultList<'s>,
    /// The bundled time zones, so that all instances know the same ones whatever their machines
    /// have installed.
    zones: TimeZoneDatabase,
}

impl<'a, 'f, 's> RoleCheck<'a, 'f, 's> {
    pub(crate) fn new(manifest: &'a SpannedManifest<'a>, faults: &'f mut FaultList<'s>) -> Self {
        Self { manifest, faults, zones: TimeZoneDatabase::bundled() }
    }

    pub(crate) fn run(&mut self) {
        self.check_identity();
        self.check_tokens();
        self.check_upstreams();
        self.check_services();
    }

    fn check_identity(&mut self) {
        let Some(entry) = &self.manifest.identity else { return };
        let CallerIdentity::Header { name } = &entry.spec else { return };
        let allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
        if name.is_empty() || !name.chars().all(allowed) {
            let problem = format!("`{name}` isn't a header's name in lower case");
            let remedy = "use a-z, 0-9 and `-`";
            self.faults.add(entry.spans.value_span("name"), problem, remedy);
        }
    }

    fn check_tokens(&mut self) {
        let bearer = self.manifest.identity.as_ref();
        let bearer = bearer.is_some_and(|entry| entry.spec == CallerIdentity::Bearer);
        let mut seen = HashSet::new();
        for entry in &self.manifest.callers.entries {
            match &entry.spec.token_hash {
                Some(hash) => {
                    self.check_hash(entry, hash);
                    self.check_unique_token(entry, seen.insert(hash));
                }
                None if bearer => {
                    let problem = format!("caller `{}` has no token", entry.spec.name);
                    let remedy = "add `token_hash`, the BLAKE3 hash of its token";
                    self.faults.add(entry.spans.span(), problem, remedy);
                }
                None => {}
            }
        }
    }

    fn check_hash(&mut self, entry: &SpannedEntry<'_, CallerSpec>, hash: &str) {
        let digit = |c: char| c.is_ascii_digit() || ('a'..='f').contains(&c);
        if hash.len() != TOKEN_HASH_DIGITS || !hash.chars().all(digit) {
            let remedy = format!("write {TOKEN_HASH_DIGITS} digits of 0-9 and a-f");
            let span = entry.spans.value_span("token_hash");
            self.faults.add(span, "`token_hash` isn't a BLAKE3 hash in hexadecimal", remedy);
        }
    }

    fn check_unique_token(&mut self, entry: &SpannedEntry<'_, CallerSpec>, first: bool) {
        if !first {
            let span = entry.spans.value_span("token_hash");
            self.faults.add(span, "another caller has this token", "give each caller its own");
        }
    }

    fn check_upstreams(&mut self) {
        let mut addresses = HashMap::new();
        let plain = self.manifest.services.entries.iter().map(|entry| &entry.spec);
        let plain: HashSet<_> =
            plain.filter(|spec| spec.path_prefix.is_some()).map(|spec| &spec.name).collect();
        for entry in &self.manifest.upstreams.entries {
            let spec = &entry.spec;
            if let Some(other) = addresses.insert(spec.address, &spec.name) {
                let problem = format!("upstream `{other}` has the address {} too", spec.address);
                let span = entry.spans.value_span("address");
                self.faults.add(span, problem, "give each upstream its own address");
            }
            match spec.kind {
                UpstreamKind::Engine if !spec.services.is_empty() => {
                    let span = entry.spans.value_span("services");
                    let remedy = "leave `services` out, or set `kind = \"service\"`";
                    self.faults.add(span, "an engine answers no plain services", remedy);
                }
                UpstreamKind::Engine => {}
                UpstreamKind::Service => self.check_server(entry, &plain),
            }
        }
    }

    fn check_server(
        &mut self,
        entry: &SpannedEntry<'_, UpstreamSpec>,
        plain: &HashSet<&wheel_types::ServiceName>,
    ) {
        let spec = &entry.spec;
        if spec.services.is_empty() {
            let problem = format!("upstream `{}` answers no service", spec.name);
            let remedy = "list plain services in `services`, or set `kind = \"engine\"`";
            self.faults.add(entry.spans.value_span("services"), problem, remedy);
        }
        if spec.memory_mib > 0 {
            let span = entry.spans.value_span("memory_mib");
            let problem = "a server of plain services holds no models";
            self.faults.add(span, problem, "leave `memory_mib` out, or set `kind = \"engine\"`");
        }
        let defined: HashSet<_> = self.manifest.services.names().collect();
        for (index, service) in spec.services.iter().enumerate() {
            if defined.contains(service.as_str()) && !plain.contains(service) {
                let problem = format!("`{service}` isn't a plain service");
                let remedy = "give that service a `path_prefix` or leave it out here";
                self.faults.add(entry.spans.item_span("services", index), problem, remedy);
            }
        }
    }

    fn check_services(&mut self) {
        let upstreams = self.manifest.upstreams.entries.iter();
        let answered: HashSet<_> = upstreams.flat_map(|entry| &entry.spec.services).collect();
        let adapters = self.manifest.adapters.entries.iter().map(|entry| &entry.spec);
        let bases: HashMap<_, _> = adapters.map(|spec| (&spec.name, &spec.model)).collect();
        for entry in &self.manifest.services.entries {
            self.check_zone(entry);
            self.check_kind(entry);
            let spec = &entry.spec;
            let served = spec.path_prefix.is_none() || answered.contains(&spec.name);
            if !served && self.manifest.upstreams.is_complete() {
                let problem = format!("no upstream answers the plain service `{}`", spec.name);
                let remedy = "list it in the `services` of an upstream";
                self.faults.add(entry.spans.value_span("path_prefix"), problem, remedy);
            }
            for (index, adapter) in spec.adapters.iter().enumerate() {
                let Some(model) = bases.get(adapter) else { continue };
                if !spec.models.contains(model) {
                    let problem = format!("adapter `{adapter}` needs the model `{model}`");
                    let remedy = format!("add `{model}` to `models` of this service");
                    self.faults.add(entry.spans.item_span("adapters", index), problem, remedy);
                }
            }
        }
    }

    fn check_zone(&mut self, entry: &SpannedEntry<'_, ServiceSpec>) {
        let zone = &entry.spec.time_zone;
        if self.zones.get(zone).is_ok() {
            return;
        }
        let known: Vec<_> = self.zones.available().map(|name| name.to_string()).collect();
        let otherwise = "write an IANA name such as `Asia/Bangkok`";
        let remedy = self.faults.suggest(zone, known.iter().map(String::as_str), otherwise);
        let span = entry.spans.value_span("time_zone");
        self.faults.add(span, format!("no time zone is named `{zone}`"), remedy);
    }

    fn check_kind(&mut self, entry: &SpannedEntry<'_, ServiceSpec>) {
        let spec = &entry.spec;
        let models = !spec.models.is_empty() || !spec.adapters.is_empty();
        match spec.path_prefix {
            Some(_) if models => {
                let remedy = "leave `path_prefix` out, or move the models to another service";
                let span = entry.spans.value_span("path_prefix");
                self.faults.add(span, "a plain service answers with no models", remedy);
            }
            None if !models => {
                let problem = format!("service `{}` has neither models nor a path", spec.name);
                let remedy = "add `models`, or `path_prefix` if it is a plain service";
                self.faults.add(entry.spans.span(), problem, remedy);
            }
            Some(_) | None => {}
        }
    }
}

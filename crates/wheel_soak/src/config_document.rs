//! The configuration documents of a run.

use serde_json::{Value, json};

use crate::TeamKey;

/// The host of all routes.
pub const ROUTE_HOST: &str = "soak.example";
/// Path prefix of streams that may be resumed at another upstream.
pub const RESUMABLE_PREFIX: &str = "/chat/";
/// Path prefix of streams that may be resumed, but only at the upstream that they began at.
pub const LIMITED_PREFIX: &str = "/brief/";
/// Path prefix of streams that run at most once.
pub const CLOSED_PREFIX: &str = "/talk/";
/// Path prefix of plain answers of a model, which may be repeated.
pub const MODEL_PREFIX: &str = "/ask/";
/// Path prefix of calls of the plain service that may be repeated.
pub const IDEMPOTENT_PREFIX: &str = "/find/";
/// Path prefix of calls of the plain service that run at most once.
pub const ONCE_PREFIX: &str = "/book/";
/// The service with models.
pub(crate) const ENGINE_SERVICE: &str = "llm";
/// The service without models.
pub(crate) const PLAIN_SERVICE: &str = "app";
/// Models and their sizes in megabytes; an upstream's memory holds only some of them.
pub const MODELS: [(&str, u64); 6] =
    [("m0", 90), ("m1", 90), ("m2", 60), ("m3", 60), ("m4", 40), ("m5", 120)];
/// Memory of an upstream for models, in megabytes.
pub(crate) const MEMORY_MB: u64 = 250;
/// Load times from the weight store, from the local disk and from memory, in seconds.
pub(crate) const LOAD_S: [f64; 3] = [0.8, 0.3, 0.1];
/// Loads per second that the weight store allows.
pub const LOADS_PER_S: f64 = 4.0;
/// Maximum number of requests that an upstream runs concurrently.
pub(crate) const SLOTS: usize = 44;
/// Maximum number of upstreams of a request, on all routes but that of [`LIMITED_PREFIX`].
pub(crate) const MAX_ENGINES: usize = 3;
/// Timeout of the routes, in milliseconds.
pub(crate) const TIME_LIMIT_MS: u64 = 8_000;

/// Generates the document of each version.
#[derive(Clone, Copy, Debug)]
pub struct ConfigDocument {
    /// The version.
    pub version: u64,
    /// Distinguishes documents of the same version.
    pub variant: u64,
    /// Whether it has teams, so that all routes but that of the probe need a key.
    pub has_teams: bool,
}

impl ConfigDocument {
    /// The path of a route that exists only in this version.
    pub fn probe_path(version: u64) -> String {
        format!("/probe-{version}/0x0")
    }

    /// The document as JSON.
    pub fn bytes(&self) -> Vec<u8> {
        self.value().to_string().into_bytes()
    }

    /// An invalid document, which must be refused; `fault` selects the kind of error.
    pub fn invalid_bytes(&self, fault: u64) -> Vec<u8> {
        let mut value = self.value();
        match fault % 4 {
            0 => value["routes"][0]["service"] = json!("nobody"),
            1 => value["routes"][1]["pathPrefix"] = value["routes"][0]["pathPrefix"].clone(),
            2 => value["routes"][0]["timeoutMs"] = json!(0),
            _ => {
                let mut bytes = self.bytes();
                bytes.truncate(bytes.len() / 2);
                return bytes;
            }
        }
        value.to_string().into_bytes()
    }

    fn value(&self) -> Value {
        let route = |prefix: &str, kind: &str, service: &str, resumable: bool| {
            let max_attempts = max_engines(prefix);
            json!({"name": prefix, "host": ROUTE_HOST, "pathPrefix": prefix, "routeType": kind,
                "timeoutMs": TIME_LIMIT_MS, "targetLatencyMs": 1_000 + self.variant, "service": service,
                "maxAttempts": max_attempts, "resumable": resumable})
        };
        let probe = format!("/probe-{}/", self.version);
        let models: Vec<Value> = MODELS
            .iter()
            .map(|(name, size)| {
                let [load, disk, warm] = LOAD_S;
                json!({"name": name, "weightsMb": size, "loadS": load, "diskS": disk, "warmS": warm})
            })
            .collect();
        let mut value = json!({
            "version": self.version,
            "routes": [
                route(RESUMABLE_PREFIX, "streaming", ENGINE_SERVICE, true),
                route(LIMITED_PREFIX, "streaming", ENGINE_SERVICE, true),
                route(CLOSED_PREFIX, "streaming", ENGINE_SERVICE, false),
                route(MODEL_PREFIX, "idempotent", ENGINE_SERVICE, false),
                route(IDEMPOTENT_PREFIX, "idempotent", PLAIN_SERVICE, false),
                route(ONCE_PREFIX, "non_idempotent", PLAIN_SERVICE, false),
                route(&probe, "idempotent", PLAIN_SERVICE, false),
            ],
            "services": [
                {"name": PLAIN_SERVICE, "maxConnections": 200},
                {"name": ENGINE_SERVICE, "maxConnections": 200, "engine": {
                    "slots": SLOTS, "weightsMb": MEMORY_MB, "loadsPerS": LOADS_PER_S, "models": models}},
            ],
        });
        if self.has_teams {
            value["tenants"] = json!(TeamKey::teams(self.version));
            if let Some(probe) = value["routes"].as_array_mut().and_then(|routes| routes.last_mut())
            {
                probe["public"] = json!(true);
            }
        }
        value
    }
}

/// Maximum number of upstreams of a request on the route of `prefix`.
pub(crate) fn max_engines(prefix: &str) -> usize {
    if prefix == LIMITED_PREFIX { 1 } else { MAX_ENGINES }
}

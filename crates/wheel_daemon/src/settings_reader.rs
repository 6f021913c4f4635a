//! Reads settings from flags and environment variables.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use getopts::Options;
use spdlog::Level;

use crate::setting_specs::{SETTING_SPECS, SettingSpec};
use crate::{DaemonSettings, PeerEntry, SettingFault};

/// Largest number of worker threads if the setting is 0.
const MAX_DEFAULT_WORKERS: usize = 8;

/// What the command line requests.
#[derive(Debug)]
pub enum SettingsRequest {
    /// Run with these settings.
    Run(Box<DaemonSettings>),
    /// Only check the settings, which have no fault.
    CheckOnly,
    /// Print this text.
    Print(String),
}

/// The values by flag, and the faults found so far.
#[derive(Debug, Default)]
pub struct SettingsReader {
    values: HashMap<&'static str, String>,
    faults: Vec<SettingFault>,
}

impl SettingsReader {
    /// Reads `arguments` (without the program's name) and `environment`. Flags take precedence.
    ///
    /// # Errors
    /// All faults at once.
    pub fn read(
        arguments: &[String],
        environment: impl Fn(&str) -> Option<String>,
    ) -> Result<SettingsRequest, Vec<SettingFault>> {
        let options = options();
        let matches = options
            .parse(arguments)
            .map_err(|error| vec![SettingFault::new("help", error.to_string())])?;
        if matches.opt_present("help") {
            return Ok(SettingsRequest::Print(usage(&options)));
        }
        if matches.opt_present("version") {
            let version = concat!("wisteriawheeld ", env!("CARGO_PKG_VERSION"), "\n");
            return Ok(SettingsRequest::Print(version.to_owned()));
        }
        let mut reader = Self::default();
        for word in &matches.free {
            reader.fault("help", format!("{word:?} isn't a flag"));
        }
        for spec in &SETTING_SPECS {
            let value = matches.opt_str(spec.flag).or_else(|| environment(&spec.variable()));
            if let Some(value) = value.or_else(|| spec.default.map(str::to_owned)) {
                reader.values.insert(spec.flag, value);
            }
        }
        let settings = reader.settings();
        match (settings, reader.faults.is_empty()) {
            (Some(_), true) if matches.opt_present("check-settings") => {
                Ok(SettingsRequest::CheckOnly)
            }
            (Some(settings), true) => Ok(SettingsRequest::Run(Box::new(settings))),
            _ => Err(reader.faults),
        }
    }

    fn settings(&mut self) -> Option<DaemonSettings> {
        let instance = self.needed("instance");
        let centre = self.needed("data-centre");
        let group = self.needed("group");
        let listen = self.parsed::<SocketAddr>("listen");
        let admin_listen = self.parsed::<SocketAddr>("admin-listen");
        let peer_listen = self.parsed::<SocketAddr>("peer-listen");
        let relay_listen = self.parsed::<SocketAddr>("relay-listen");
        let peers = self.list::<PeerEntry>("peers");
        let control = self.control();
        let secret = self.file("secret-file").map(|bytes| Arc::from(bytes.as_slice()));
        let admin_token = self.file("admin-token-file");
        let instance_list = self.optional::<SocketAddr>("instance-list");
        let drain_limit = self.seconds("drain-limit");
        let order_life = self.seconds("order-life");
        let lease_term = self.seconds("lease-term");
        let min_residence = self.seconds("min-residence");
        let open_requests = self.positive("open-requests");
        let max_body = self.positive("max-body");
        let workers = self.parsed::<usize>("workers");
        let log_level = self.log_level();
        let settings = DaemonSettings {
            instance: instance?.as_str().into(),
            centre: centre?.as_str().into(),
            group: group?.into(),
            listen: listen?,
            admin_listen: admin_listen?,
            peer_listen: peer_listen?,
            relay_listen: relay_listen?,
            peers,
            control: control.iter().map(|name| name.as_str().into()).collect(),
            data_folder: self.values.get("data-folder").map(PathBuf::from),
            secret,
            admin_token_hash: admin_token.map(|token| blake3::hash(&token)),
            instance_list,
            drain_limit: drain_limit?,
            order_life: order_life?,
            lease_term: lease_term?,
            min_residence: min_residence?,
            open_requests: open_requests?,
            max_body: max_body?,
            workers: effective_workers(workers?),
            log_level: log_level?,
        };
        self.check(&settings);
        Some(settings)
    }

    /// Checks settings that depend on each other.
    fn check(&mut self, settings: &DaemonSettings) {
        if settings.is_control() && settings.data_folder.is_none() {
            self.fault("data-folder", "is needed because --control names this instance");
        }
        let internal =
            [("peer-listen", settings.peer_listen), ("relay-listen", settings.relay_listen)];
        for (flag, address) in internal {
            if settings.secret.is_none() && !address.ip().is_loopback() {
                self.fault(flag, "isn't a loopback address, so --secret-file is needed");
            }
        }
        if settings.admin_token_hash.is_none() && !settings.admin_listen.ip().is_loopback() {
            let problem = "isn't a loopback address, so --admin-token-file is needed";
            self.fault("admin-listen", problem);
        }
        let mut names: Vec<_> = settings.peers.iter().map(|peer| &peer.instance).collect();
        names.sort();
        if let Some(pair) = names.windows(2).find(|pair| pair[0] == pair[1]) {
            self.fault("peers", format!("{} is listed twice", pair[0]));
        }
        let own = settings.peers.iter().find(|peer| peer.instance == settings.instance);
        if own.is_some_and(|own| own.centre != settings.centre) {
            self.fault("peers", "names another data centre for this instance than --data-centre");
        }
        let known = |name| settings.peers.iter().any(|peer| &peer.instance == name);
        for name in &settings.control {
            if name != &settings.instance && !known(name) {
                self.fault("control", format!("{name} isn't among --peers"));
            }
        }
    }

    fn control(&mut self) -> Vec<String> {
        let control = self.list::<String>("control");
        if control.is_empty() {
            self.fault("control", "is needed: the names of the control instances");
        }
        control
    }

    fn log_level(&mut self) -> Option<Level> {
        let text = self.values.get("log-level").cloned().unwrap_or_default();
        let level = match text.as_str() {
            "error" => Some(Level::Error),
            "warn" => Some(Level::Warn),
            "info" => Some(Level::Info),
            "debug" => Some(Level::Debug),
            "trace" => Some(Level::Trace),
            _ => None,
        };
        if level.is_none() {
            self.fault("log-level", format!("{text:?} isn't error, warn, info, debug or trace"));
        }
        level
    }

    fn needed(&mut self, flag: &'static str) -> Option<String> {
        match self.values.get(flag) {
            Some(value) if !value.is_empty() => Some(value.clone()),
            _ => {
                self.fault(flag, "is needed");
                None
            }
        }
    }

    fn parsed<T: FromStr>(&mut self, flag: &'static str) -> Option<T> {
        let value = self.values.get(flag)?.clone();
        let parsed = value.parse().ok();
        if parsed.is_none() {
            self.fault(flag, format!("{value:?} isn't {}", value_shape(flag)));
        }
        parsed
    }

    fn optional<T: FromStr>(&mut self, flag: &'static str) -> Option<T> {
        self.values.get(flag)?;
        self.parsed(flag)
    }

    fn positive(&mut self, flag: &'static str) -> Option<usize> {
        let number = self.parsed::<usize>(flag)?;
        if number == 0 {
            self.fault(flag, "must be at least 1");
        }
        Some(number)
    }

    fn seconds(&mut self, flag: &'static str) -> Option<Duration> {
        let seconds = self.parsed::<f64>(flag)?;
        let span = Duration::try_from_secs_f64(seconds).ok().filter(|span| !span.is_zero());
        if span.is_none() {
            self.fault(flag, format!("{seconds} isn't a positive number of seconds"));
        }
        span
    }

    fn list<T: FromStr>(&mut self, flag: &'static str) -> Vec<T>
    where
        T::Err: std::fmt::Display,
    {
        let value = self.values.get(flag).cloned().unwrap_or_default();
        let mut items = Vec::new();
        for item in value.split(',').map(str::trim).filter(|item| !item.is_empty()) {
            match item.parse() {
                Ok(item) => items.push(item),
                Err(error) => self.fault(flag, T::Err::to_string(&error)),
            }
        }
        items
    }

    /// A file's content without surrounding whitespace.
    fn file(&mut self, flag: &'static str) -> Option<Vec<u8>> {
        let path = self.values.get(flag)?.clone();
        match std::fs::read(&path) {
            Ok(bytes) if !bytes.trim_ascii().is_empty() => Some(bytes.trim_ascii().to_vec()),
            Ok(_) => {
                self.fault(flag, format!("{path:?} is empty"));
                None
            }
            Err(error) => {
                self.fault(flag, format!("{path:?} can't be read: {error}"));
                None
            }
        }
    }

    fn fault(&mut self, flag: &str, problem: impl Into<String>) {
        self.faults.push(SettingFault::new(flag, problem));
    }
}

fn options() -> Options {
    let mut options = Options::new();
    for spec in &SETTING_SPECS {
        options.optopt("", spec.flag, &help(spec), spec.value);
    }
    options.optflag("", "check-settings", "only check the settings");
    options.optflag("h", "help", "print this help");
    options.optflag("V", "version", "print the version");
    options
}

fn help(spec: &SettingSpec) -> String {
    let default = match spec.default {
        Some("") | None => String::new(),
        Some(default) => format!(" (default {default})"),
    };
    format!("{}{default} [{}]", spec.help, spec.variable())
}

fn usage(options: &Options) -> String {
    let brief = "Usage: wisteriawheeld [FLAGS]\n\n\
        Serves rarely used models and the services beside them. Each flag can be given by the\n\
        environment variable in brackets; the flag goes first.\n\n\
        Exit codes: 0 drained, 1 failed, 2 faults in the settings, 3 ended with requests in hand.";
    options.usage(brief)
}

fn value_shape(flag: &str) -> &'static str {
    SETTING_SPECS.iter().find(|spec| spec.flag == flag).map_or("a value", |spec| spec.value)
}

fn effective_workers(workers: usize) -> usize {
    match workers {
        0 => {
            let processors = std::thread::available_parallelism().map_or(1, usize::from);
            processors.min(MAX_DEFAULT_WORKERS)
        }
        set => set,
    }
}

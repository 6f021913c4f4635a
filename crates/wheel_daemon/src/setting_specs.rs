//! All settings with their defaults, units and help texts.

/// One setting: a flag and the environment variable `WISTERIAWHEEL_` + the flag in upper case.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SettingSpec {
    pub(crate) flag: &'static str,
    /// The placeholder for the value in `--help`, with its unit.
    pub(crate) value: &'static str,
    /// The default; `None` if the setting is required or stays unset.
    pub(crate) default: Option<&'static str>,
    pub(crate) help: &'static str,
}

const fn spec(
    flag: &'static str,
    value: &'static str,
    default: Option<&'static str>,
    help: &'static str,
) -> SettingSpec {
    SettingSpec { flag, value, default, help }
}

/// All settings, in the order of `--help`.
pub(crate) const SETTING_SPECS: [SettingSpec; 21] = [
    spec("instance", "NAME", None, "this instance's name; needed"),
    spec("data-centre", "NAME", None, "the data centre that it stands in; needed"),
    spec("group", "NAME", None, "the group's name, as in the operators' text; needed"),
    spec("listen", "ADDR:PORT", Some("127.0.0.1:8080"), "where callers connect"),
    spec("admin-listen", "ADDR:PORT", Some("127.0.0.1:8081"), "where operators connect"),
    spec("peer-listen", "ADDR:PORT", Some("127.0.0.1:7400"), "where other instances call"),
    spec("relay-listen", "ADDR:PORT", Some("127.0.0.1:7401"), "where entries relay requests to"),
    spec("peers", "LIST", Some(""), "instances as NAME@CENTRE=PEER/RELAY, separated by commas"),
    spec("control", "LIST", None, "control instances that form the group, by name; needed"),
    spec("data-folder", "PATH", None, "folder for durable state; needed on control instances"),
    spec("secret-file", "PATH", None, "file with the secret that all instances share"),
    spec("admin-token-file", "PATH", None, "file with the operators' token"),
    spec("instance-list", "ADDR:PORT", None, "the platform's list of live and leaving instances"),
    spec("drain-limit", "SECONDS", Some("600"), "time for requests in hand after SIGTERM"),
    spec("order-life", "SECONDS", Some("5"), "time after which an order to an engine is dead"),
    spec("lease-term", "SECONDS", Some("6"), "length of a data centre's lease"),
    spec("min-residence", "SECONDS", Some("60"), "time that a model stays at least once loaded"),
    spec("open-requests", "COUNT", Some("8192"), "requests open at once at this instance"),
    spec("max-body", "BYTES", Some("4194304"), "largest body of a request"),
    spec("workers", "COUNT", Some("0"), "worker threads; 0 takes one per processor, at most 8"),
    spec("log-level", "LEVEL", Some("info"), "error, warn, info, debug or trace"),
];

impl SettingSpec {
    /// The environment variable's name.
    pub(crate) fn variable(&self) -> String {
        format!("WISTERIAWHEEL_{}", self.flag.replace('-', "_").to_uppercase())
    }
}

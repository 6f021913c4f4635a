//! The settings of one run.

use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use getopts::Matches;

use crate::ctl_flag::{
    BASE, CtlFlag, ENDPOINT, HELP, JSON, KEY, RETRIES, TIMEOUT, TOKEN_FILE, WAIT, WAIT_LIMIT,
    build_options,
};
use crate::{ApplyArguments, CtlCommand, CtlFailure};

/// The environment variable with the operators' token.
const TOKEN_VARIABLE: &str = "WISTERIAWHEEL_TOKEN";

/// Maximum length of an idempotency key.
const MAX_KEY_BYTES: usize = 128;

/// Flags and environment of one run.
#[derive(Clone, Eq, PartialEq)]
pub struct CtlSettings {
    /// Admin addresses of instances, in the order in which they are tried.
    pub endpoints: Vec<SocketAddr>,
    /// The operators' token.
    pub token: Option<String>,
    /// Time for one answer.
    pub timeout: Duration,
    /// Attempts after the first one.
    pub retries: u32,
    /// Longest wait for a manifest to be active everywhere.
    pub wait_limit: Duration,
    /// Whether to print JSON.
    pub json: bool,
    /// The command.
    pub command: CtlCommand,
}

/// A parsed command line.
pub enum ParsedArguments {
    /// Print the help.
    Help,
    /// Execute a command.
    Run(CtlSettings),
}

/// Looks up an environment variable.
type Environment<'a> = &'a dyn Fn(&str) -> Option<String>;

impl CtlSettings {
    /// Parses the arguments after the program's name; a missing flag is read from the environment.
    ///
    /// # Errors
    /// [`CtlFailure::Usage`], or [`CtlFailure::Local`] if the token's file can't be read.
    pub fn parse(
        arguments: &[String],
        environment: Environment<'_>,
    ) -> Result<ParsedArguments, CtlFailure> {
        let matches = build_options().parse(arguments);
        let matches = matches.map_err(|error| CtlFailure::Usage { reason: error.to_string() })?;
        if matches.opt_present(HELP.name) {
            return Ok(ParsedArguments::Help);
        }
        let reader = FlagReader { matches: &matches, environment };
        let apply = ApplyArguments {
            file: String::new(),
            base: reader.number(&BASE)?,
            key: reader.key()?,
            wait: matches.opt_present(WAIT.name),
        };
        let command = CtlCommand::parse(&matches.free, apply)?;
        let endpoints = reader.endpoints()?;
        if command == CtlCommand::Drain && endpoints.len() != 1 {
            let reason = "drain needs a single --endpoint".to_owned();
            return Err(CtlFailure::Usage { reason });
        }
        Ok(ParsedArguments::Run(Self {
            endpoints,
            token: reader.token()?,
            timeout: reader.milliseconds(&TIMEOUT)?,
            retries: reader.number(&RETRIES)?.unwrap_or_default(),
            wait_limit: reader.milliseconds(&WAIT_LIMIT)?,
            json: matches.opt_present(JSON.name),
            command,
        }))
    }
}

/// Reads a value from its flag, else from its environment variable, else from its default.
struct FlagReader<'a> {
    matches: &'a Matches,
    environment: Environment<'a>,
}

impl FlagReader<'_> {
    fn string(&self, flag: &CtlFlag) -> Option<String> {
        let variable = || flag.environment.and_then(|name| (self.environment)(name));
        let default = || flag.default.filter(|_| flag.environment.is_some()).map(str::to_owned);
        self.matches.opt_str(flag.name).or_else(variable).or_else(default)
    }

    fn number<T: FromStr>(&self, flag: &CtlFlag) -> Result<Option<T>, CtlFailure> {
        let Some(number) = self.string(flag) else { return Ok(None) };
        let reason = format!("--{} is `{number}`, not a number", flag.name);
        number.parse().map(Some).map_err(|_| CtlFailure::Usage { reason })
    }

    fn milliseconds(&self, flag: &CtlFlag) -> Result<Duration, CtlFailure> {
        Ok(Duration::from_millis(self.number(flag)?.unwrap_or_default()))
    }

    fn endpoints(&self) -> Result<Vec<SocketAddr>, CtlFailure> {
        let list = self.string(&ENDPOINT).unwrap_or_default();
        let parse = |address: &str| {
            let address = address.trim().trim_start_matches("http://").trim_end_matches('/');
            let reason = format!("--{} has `{address}`, which isn't IP:PORT", ENDPOINT.name);
            address.parse().map_err(|_| CtlFailure::Usage { reason })
        };
        list.split(',').map(parse).collect()
    }

    fn key(&self) -> Result<Option<String>, CtlFailure> {
        let Some(key) = self.string(&KEY) else { return Ok(None) };
        let is_valid = key.len() <= MAX_KEY_BYTES && key.chars().all(|c| c.is_ascii_graphic());
        if is_valid && !key.is_empty() {
            return Ok(Some(key));
        }
        let reason = format!("--{} must be 1 to {MAX_KEY_BYTES} visible characters", KEY.name);
        Err(CtlFailure::Usage { reason })
    }

    fn token(&self) -> Result<Option<String>, CtlFailure> {
        let Some(path) = self.string(&TOKEN_FILE) else {
            return Ok((self.environment)(TOKEN_VARIABLE));
        };
        let token = std::fs::read_to_string(&path);
        let token = token.map_err(|error| CtlFailure::Local { reason: format!("{path}: {error}") });
        token.map(|token| Some(token.trim().to_owned()))
    }
}

//! The flags of the tool with their help texts.

use getopts::Options;

/// One flag, its environment variable and its default.
pub(crate) struct CtlFlag {
    pub(crate) name: &'static str,
    /// The placeholder of its value; `None` for a switch.
    pub(crate) value: Option<&'static str>,
    pub(crate) environment: Option<&'static str>,
    pub(crate) default: Option<&'static str>,
    help: &'static str,
}

pub(crate) const ENDPOINT: CtlFlag = CtlFlag {
    name: "endpoint",
    value: Some("ADDR[,ADDR]"),
    environment: Some("WISTERIAWHEEL_ENDPOINT"),
    default: Some("127.0.0.1:8081"),
    help: "admin addresses of instances, IP:PORT; the next one is tried when one fails",
};

pub(crate) const TOKEN_FILE: CtlFlag = CtlFlag {
    name: "token-file",
    value: Some("FILE"),
    environment: Some("WISTERIAWHEEL_TOKEN_FILE"),
    default: None,
    help: "file with the operators' token; WISTERIAWHEEL_TOKEN holds the token itself",
};

pub(crate) const TIMEOUT: CtlFlag = CtlFlag {
    name: "timeout",
    value: Some("MS"),
    environment: Some("WISTERIAWHEEL_TIMEOUT"),
    default: Some("10000"),
    help: "time for one answer, in milliseconds",
};

pub(crate) const RETRIES: CtlFlag = CtlFlag {
    name: "retries",
    value: Some("COUNT"),
    environment: Some("WISTERIAWHEEL_RETRIES"),
    default: Some("6"),
    help: "attempts after the first one when an answer is lost or the server is busy",
};

pub(crate) const JSON: CtlFlag =
    CtlFlag { name: "json", value: None, environment: None, default: None, help: "print JSON" };

pub(crate) const BASE: CtlFlag = CtlFlag {
    name: "base",
    value: Some("REVISION"),
    environment: None,
    default: Some("the newest revision"),
    help: "apply: the revision that the text was edited from",
};

pub(crate) const KEY: CtlFlag = CtlFlag {
    name: "key",
    value: Some("KEY"),
    environment: None,
    default: Some("a random one"),
    help: "apply: idempotency key; the same key and text get the first answer again",
};

pub(crate) const WAIT: CtlFlag = CtlFlag {
    name: "wait",
    value: None,
    environment: None,
    default: None,
    help: "apply: wait until the text is in force at every instance",
};

pub(crate) const WAIT_LIMIT: CtlFlag = CtlFlag {
    name: "wait-limit",
    value: Some("MS"),
    environment: Some("WISTERIAWHEEL_WAIT_LIMIT"),
    default: Some("60000"),
    help: "apply --wait: longest wait, in milliseconds",
};

pub(crate) const HELP: CtlFlag = CtlFlag {
    name: "help",
    value: None,
    environment: None,
    default: None,
    help: "print this help",
};

/// All flags, in the order of the help.
const FLAGS: [&CtlFlag; 10] =
    [&ENDPOINT, &TOKEN_FILE, &TIMEOUT, &RETRIES, &JSON, &BASE, &KEY, &WAIT, &WAIT_LIMIT, &HELP];

const COMMANDS: &str = "\
Usage: wisteriactl [FLAGS] COMMAND

Commands:
  check FILE               check a text without an instance; - reads standard input
  apply FILE               check a text and put it in force
  show                     print the text in force, and its revision to standard error
  status                   print instances with their revisions, and engines
  drain                    have the instance at --endpoint finish its work and end
  explain MODEL|REQUEST-ID tell why a model is or isn't loaded, or what became of a request
  explain request ID [FILE...]
                           tell it from logs alone; without files they come from standard input
  voter list               print the voters of the replicated log
  voter add INSTANCE       make an instance a voter
  voter remove INSTANCE    take an instance's vote away

Flags:
";

const EXIT_CODES: &str = "
Exit codes:
  0  done
  1  refused by the server; nothing was changed
  2  wrong flags or arguments, or an unreadable file
  3  not reached, or unknown outcome, or not yet in force everywhere
  4  faults in the text
  5  conflict: another revision is in force
";

/// The flags as options of the parser.
pub(crate) fn build_options() -> Options {
    let mut options = Options::new();
    for flag in FLAGS {
        match flag.value {
            Some(value) => options.optopt("", flag.name, flag.help, value),
            None => options.optflag("", flag.name, flag.help),
        };
    }
    options
}

/// The output of `--help`.
pub fn help_text() -> String {
    let lines: String = FLAGS.iter().map(|flag| flag.help_lines()).collect();
    format!("{COMMANDS}{lines}{EXIT_CODES}")
}

impl CtlFlag {
    fn help_lines(&self) -> String {
        let value = self.value.map(|value| format!(" {value}")).unwrap_or_default();
        let environment = self.environment.map(|name| format!("environment {name}"));
        let default = self.default.map(|default| format!("default {default}"));
        let notes: Vec<_> = environment.into_iter().chain(default).collect();
        let notes = match notes.is_empty() {
            true => String::new(),
            false => format!("      [{}]\n", notes.join(", ")),
        };
        format!("  --{}{value}\n      {}\n{notes}", self.name, self.help)
    }
}

//! The commands of the tool.

use crate::CtlFailure;

/// The arguments of `apply`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ApplyArguments {
    /// The file with the manifest; `-` is standard input.
    pub file: String,
    /// The revision that the manifest was edited from; `None` means the newest one.
    pub base: Option<u64>,
    /// The idempotency key; `None` means a random one.
    pub key: Option<String>,
    /// Whether to wait until the manifest is active everywhere.
    pub wait: bool,
}

/// A command with its arguments.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CtlCommand {
    /// Check a manifest.
    Check {
        /// The file with the manifest; `-` is standard input.
        file: String,
    },
    /// Apply a manifest.
    Apply(ApplyArguments),
    /// Print the active manifest.
    Show,
    /// Print the state of instances and engines.
    Status,
    /// Have an instance finish its work and exit.
    Drain,
    /// Explain a model or a request.
    Explain {
        /// A model's name or a request's id.
        query: String,
    },
    /// Explain one request from logs.
    ExplainRequest {
        /// The request's id.
        id: String,
        /// Log files of any number of instances; an empty list means standard input.
        files: Vec<String>,
    },
    /// Print the voters.
    ListVoters,
    /// Give an instance a vote.
    AddVoter {
        /// The instance.
        instance: String,
    },
    /// Take an instance's vote away.
    RemoveVoter {
        /// The instance.
        instance: String,
    },
}

impl CtlCommand {
    /// Parses a command from the arguments that aren't flags.
    pub(crate) fn parse(words: &[String], apply: ApplyArguments) -> Result<Self, CtlFailure> {
        let words: Vec<&str> = words.iter().map(String::as_str).collect();
        let command = match words.as_slice() {
            ["check", file] => Self::Check { file: (*file).to_owned() },
            ["apply", file] => Self::Apply(ApplyArguments { file: (*file).to_owned(), ..apply }),
            ["show"] => Self::Show,
            ["status"] => Self::Status,
            ["drain"] => Self::Drain,
            ["explain", "request", id, files @ ..] => {
                let files = files.iter().map(|file| (*file).to_owned()).collect();
                Self::ExplainRequest { id: (*id).to_owned(), files }
            }
            ["explain", query] if is_url_safe(query) => {
                Self::Explain { query: (*query).to_owned() }
            }
            ["explain", query] => return usage(format!("`{query}` is no model or request id")),
            ["voter", "list"] => Self::ListVoters,
            ["voter", "add", instance] => Self::AddVoter { instance: (*instance).to_owned() },
            ["voter", "remove", instance] => Self::RemoveVoter { instance: (*instance).to_owned() },
            [] => return usage("no command".to_owned()),
            words => return usage(format!("unknown command `{}`", words.join(" "))),
        };
        Ok(command)
    }
}

/// Whether a query has only characters that need no escaping in a URL's query.
fn is_url_safe(query: &str) -> bool {
    let allowed = |c: char| c.is_ascii_alphanumeric() || "-._~:/@".contains(c);
    !query.is_empty() && query.chars().all(allowed)
}

fn usage<T>(reason: String) -> Result<T, CtlFailure> {
    Err(CtlFailure::Usage { reason })
}

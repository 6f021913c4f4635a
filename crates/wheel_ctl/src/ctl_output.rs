//! Output of the tool to standard output.

use serde::Serialize;

use crate::FaultReport;

/// Prints results as text lines or as JSON.
#[derive(Clone, Copy, Debug)]
pub struct CtlOutput {
    json: bool,
}

impl CtlOutput {
    /// Creates an output that prints JSON if `json` is set, else text lines.
    pub fn new(json: bool) -> Self {
        Self { json }
    }

    /// Whether it prints JSON.
    pub fn is_json(self) -> bool {
        self.json
    }

    /// Prints `line`, or `value` as JSON.
    pub fn print<T: Serialize>(self, line: &str, value: &T) {
        match serde_json::to_string(value) {
            Ok(json) if self.json => println!("{json}"),
            Ok(_) | Err(_) => println!("{line}"),
        }
    }

    /// Prints the body of an answer: indented if it is JSON and text lines are on, else unchanged.
    pub fn print_body(self, body: &str) {
        let value = serde_json::from_str::<serde_json::Value>(body);
        let pretty = value.and_then(|value| serde_json::to_string_pretty(&value));
        match pretty {
            Ok(pretty) if !self.json => println!("{pretty}"),
            Ok(_) | Err(_) => println!("{}", body.trim_end()),
        }
    }

    /// Prints the faults of a file, one per line.
    pub fn print_faults(self, file: &str, faults: &[FaultReport]) {
        if let (true, Ok(json)) = (self.json, serde_json::to_string(faults)) {
            return println!("{json}");
        }
        for FaultReport { line, column, problem, remedy } in faults {
            println!("{file}:{line}:{column}: {problem}; {remedy}");
        }
    }
}

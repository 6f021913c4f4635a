//! Generated tables of a page.

use std::fmt::Write as _;

/// A Markdown table that replaces the text between its markers in a page.
#[derive(Clone, Debug, Default)]
pub struct PageBlock {
    /// The block's name in the markers.
    pub name: String,
    /// Its Markdown.
    pub text: String,
}

impl PageBlock {
    /// Creates a table with these headings.
    pub(crate) fn table(name: &str, headings: &[&str]) -> Self {
        let mut text = format!("| {} |\n", headings.join(" | "));
        let _ = writeln!(text, "|{}", "---|".repeat(headings.len()));
        Self { name: name.to_owned(), text }
    }

    /// Adds a row.
    pub(crate) fn row(&mut self, cells: &[String]) {
        let _ = writeln!(self.text, "| {} |", cells.join(" | "));
    }

    /// Replaces the block between its markers in `page`; without them the page is unchanged.
    pub fn fill(&self, page: &str) -> String {
        let begin = format!("<!-- begin: {} -->\n", self.name);
        let end = format!("<!-- end: {} -->", self.name);
        let range = page.find(&begin).map(|start| start + begin.len()).zip(page.find(&end));
        match range {
            Some((start, stop)) if start <= stop => {
                format!("{}{}{}", &page[..start], self.text, &page[stop..])
            }
            _ => page.to_owned(),
        }
    }
}

/// Formats a number with fewer decimals the larger it is.
pub(crate) fn format_figure(value: f64) -> String {
    match value.abs() {
        size if size >= 1_000.0 => with_commas(value.round() as i64),
        size if size >= 100.0 => format!("{value:.0}"),
        size if size >= 10.0 => format!("{value:.1}"),
        size if size >= 0.1 => format!("{value:.2}"),
        _ => format!("{value:.3}"),
    }
}

fn with_commas(number: i64) -> String {
    let digits = number.abs().to_string();
    let mut text = String::new();
    for (index, digit) in digits.chars().enumerate() {
        if index > 0 && (digits.len() - index).is_multiple_of(3) {
            text.push(',');
        }
        text.push(digit);
    }
    if number < 0 { format!("-{text}") } else { text }
}

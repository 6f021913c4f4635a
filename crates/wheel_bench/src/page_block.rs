//! A measured part of a page.

use std::fmt::Write as _;

/// A Markdown table that a page takes in between its marks.
#[derive(Clone, Debug, Default)]
pub struct PageBlock {
    /// The block's name in the marks.
    pub name: String,
    /// Its Markdown.
    pub text: String,
}

impl PageBlock {
    /// A table with these headings.
    pub(crate) fn table(name: &str, headings: &[&str]) -> Self {
        let mut text = format!("| {} |\n", headings.join(" | "));
        let _ = writeln!(text, "|{}", "---|".repeat(headings.len()));
        Self { name: name.to_owned(), text }
    }

    /// Adds a row.
    pub(crate) fn row(&mut self, cells: &[String]) {
        let _ = writeln!(self.text, "| {} |", cells.join(" | "));
    }

    /// Replaces the block between its marks in `page`; the page is unchanged without the marks.
    pub fn fill(&self, page: &str) -> String {
        let begin = format!("<!-- begin: {} -->\n", self.name);
        let end = format!("<!-- end: {} -->", self.name);
        let places = page.find(&begin).map(|start| start + begin.len()).zip(page.find(&end));
        match places {
            Some((start, stop)) if start <= stop => {
                format!("{}{}{}", &page[..start], self.text, &page[stop..])
            }
            _ => page.to_owned(),
        }
    }
}

/// A number with as many digits as it deserves.
pub(crate) fn shown(value: f64) -> String {
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
    for (place, digit) in digits.chars().enumerate() {
        if place > 0 && (digits.len() - place).is_multiple_of(3) {
            text.push(',');
        }
        text.push(digit);
    }
    if number < 0 { format!("-{text}") } else { text }
}

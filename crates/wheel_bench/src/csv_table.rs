//! Tables of measurements.

use std::fmt::Write as _;
use std::path::Path;

use snafu::ResultExt;

use crate::BenchError;
use crate::bench_error::FileSnafu;

/// Named columns of numbers.
///
/// ```
/// use wheel_bench::CsvTable;
///
/// let mut table = CsvTable::new("members", &["instances", "bytes_per_s"]);
/// table.push(&[7.0, 310.5]);
/// assert_eq!(table.column("instances"), [7.0]);
/// ```
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CsvTable {
    /// The table's name, also that of its file.
    pub name: String,
    columns: Vec<String>,
    rows: Vec<Vec<f64>>,
}

impl CsvTable {
    /// Creates an empty table.
    pub fn new(name: &str, columns: &[&str]) -> Self {
        let columns = columns.iter().map(|column| (*column).to_owned()).collect();
        Self { name: name.to_owned(), columns, rows: Vec::new() }
    }

    /// Adds a row and prints it.
    pub fn push(&mut self, row: &[f64]) {
        debug_assert_eq!(row.len(), self.columns.len(), "a row has a value for each column");
        let cells = self.columns.iter().zip(row).map(|(name, value)| format!("{name}={value:.3}"));
        println!("{}: {}", self.name, cells.collect::<Vec<_>>().join(" "));
        self.rows.push(row.to_vec());
    }

    /// The values of a column; empty if there is no such column.
    pub fn column(&self, name: &str) -> Vec<f64> {
        let index = self.columns.iter().position(|column| column == name);
        let value = |row: &Vec<f64>| index.and_then(|index| row.get(index).copied());
        self.rows.iter().filter_map(value).collect()
    }

    /// The rows in which `column` has `value`.
    pub fn filter_rows(&self, column: &str, value: f64) -> Self {
        let index = self.columns.iter().position(|name| name == column);
        let is_match = |row: &&Vec<f64>| index.is_some_and(|index| row.get(index) == Some(&value));
        let rows = self.rows.iter().filter(is_match).cloned().collect();
        Self { name: self.name.clone(), columns: self.columns.clone(), rows }
    }

    /// Writes the table to `folder`.
    ///
    /// # Errors
    /// [`BenchError::File`] if the file can't be written.
    pub fn write(&self, folder: &Path) -> Result<(), BenchError> {
        let mut text = self.columns.join(",") + "\n";
        for row in &self.rows {
            let cells: Vec<String> = row.iter().map(|value| format!("{value:.3}")).collect();
            let _ = writeln!(text, "{}", cells.join(","));
        }
        let path = folder.join(format!("{}.csv", self.name));
        std::fs::create_dir_all(folder)
            .and_then(|()| std::fs::write(&path, text))
            .context(FileSnafu { path: path.display().to_string() })
    }

    /// Reads the table `name` from `folder`.
    ///
    /// # Errors
    /// [`BenchError`] if the file can't be read or a cell isn't a number.
    pub fn read(folder: &Path, name: &str) -> Result<Self, BenchError> {
        let path = folder.join(format!("{name}.csv"));
        let path_text = path.display().to_string();
        let text = std::fs::read_to_string(&path).context(FileSnafu { path: path_text })?;
        let mut lines = text.lines();
        let columns = lines.next().unwrap_or_default().split(',').map(str::to_owned).collect();
        let missing = || BenchError::Missing { what: format!("a number in {name}.csv") };
        let mut rows = Vec::new();
        for line in lines {
            let cells: Result<Vec<f64>, _> = line.split(',').map(str::parse).collect();
            rows.push(cells.map_err(|_| missing())?);
        }
        Ok(Self { name: name.to_owned(), columns, rows })
    }
}

//! Reports as bar charts.

use std::path::Path;

use plotters::coord::Shift;
use plotters::prelude::*;

use crate::{ReplayReport, ReportTable};

/// Size of the image, in pixels.
const SIZE: (u32, u32) = (900, 520);
/// Space around the bars, in pixels.
const MARGIN: i32 = 40;
/// Height of the heading and of a policy's label, in pixels.
const LINE: i32 = 18;

/// Draws p99 waits and idle accelerator hours of each policy as bars, without needing a font file.
#[derive(Clone, Debug)]
pub struct ReportPlot<'a> {
    /// The reports.
    pub table: &'a ReportTable,
}

impl ReportPlot<'_> {
    /// Writes the charts as SVG.
    ///
    /// # Errors
    /// The drawing library's error as text, for example if the file can't be written.
    pub fn write(&self, path: &Path) -> Result<(), String> {
        let area = SVGBackend::new(path, SIZE).into_drawing_area();
        area.fill(&WHITE).map_err(|error| error.to_string())?;
        let (upper, lower) = area.split_vertically(SIZE.1 / 2);
        let wait = |report: &ReplayReport| report.wake_wait.p99 / 1_000.0;
        let heading = format!("{}: p99 wait for a load after a quiet spell, s", self.table.title);
        self.draw_bars(&upper, &heading, wait)?;
        let idle = |report: &ReplayReport| report.idle_hours;
        self.draw_bars(&lower, "idle accelerator hours", idle)?;
        area.present().map_err(|error| error.to_string())
    }

    fn draw_bars(
        &self,
        area: &DrawingArea<SVGBackend<'_>, Shift>,
        heading: &str,
        value: impl Fn(&ReplayReport) -> f64,
    ) -> Result<(), String> {
        let style = ("sans-serif", f64::from(LINE) * 0.8).into_font();
        let text = |text: String, position: (i32, i32)| Text::new(text, position, style.clone());
        let largest = self.table.reports.iter().map(&value).fold(f64::MIN_POSITIVE, f64::max);
        let width = f64::from(SIZE.0 as i32 - 10 * MARGIN);
        area.draw(&text(heading.to_owned(), (MARGIN, LINE / 2)))
            .map_err(|error| error.to_string())?;
        for (row, report) in self.table.reports.iter().enumerate() {
            let top = LINE * 2 + row as i32 * (LINE + 8);
            let left = 4 * MARGIN;
            let right = left + (value(report) / largest * width) as i32;
            let bar = Rectangle::new([(left, top), (right, top + LINE)], BLUE.mix(0.6).filled());
            area.draw(&bar).map_err(|error| error.to_string())?;
            let label = text(report.policy.to_string(), (MARGIN, top + 3));
            area.draw(&label).map_err(|error| error.to_string())?;
            let figure = text(format!("{:.2}", value(report)), (right + 6, top + 3));
            area.draw(&figure).map_err(|error| error.to_string())?;
        }
        Ok(())
    }
}

//! A report as an SVG chart.

use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;

use plotters::coord::Shift;
use plotters::prelude::*;

use crate::SoakReport;

/// Size of the chart in pixels.
const SIZE: (u32, u32) = (1_000, 640);
/// Start and end of the time axis, in pixels from the left.
const SPAN: (i32, i32) = (150, 980);
/// Positions in pixels from the top: the bottom of the curves, the top of the faults and the bottom of
/// the recovery times.
const ROWS: (i32, i32, i32) = (260, 290, 620);
/// Height of a line of text, in pixels.
const LINE: i32 = 16;
/// Maximum number of points of a curve.
const POINTS: usize = 400;
/// Outcomes of requests, as named in the report, and their colours.
const ENDS: [(&str, RGBColor); 4] =
    [("served", GREEN), ("refused", BLUE), ("failed", MAGENTA), ("closed", RED)];

type ChartArea<'a> = DrawingArea<SVGBackend<'a>, Shift>;

/// Draws requests per second as curves, faults as bars and recovery times as marks, without font files.
pub(crate) struct ReportChart<'a> {
    pub(crate) report: &'a SoakReport,
}

impl ReportChart<'_> {
    pub(crate) fn draw(&self, path: &Path) -> Result<(), String> {
        let area = SVGBackend::new(path, SIZE).into_drawing_area();
        let drawn = area.fill(&WHITE).map_err(|error| error.to_string());
        drawn.and_then(|()| self.draw_curves(&area))?;
        self.draw_faults(&area)?;
        self.draw_recoveries(&area)?;
        area.present().map_err(|error| error.to_string())
    }

    /// The horizontal position of a time, in pixels from the left.
    fn x_of(&self, at_s: f64) -> i32 {
        let length = self.report.seconds.len().max(1) as f64;
        let width = f64::from(SPAN.1 - SPAN.0);
        SPAN.0 + ((at_s / length).clamp(0.0, 1.0) * width) as i32
    }

    fn draw_curves(&self, area: &ChartArea<'_>) -> Result<(), String> {
        let seconds = &self.report.seconds;
        let step = seconds.len().div_ceil(POINTS).max(1);
        let rate = |part: &[_], name| {
            let counts = part.iter().filter_map(|second: &BTreeMap<_, u64>| second.get(name));
            counts.sum::<u64>() as f64 / part.len() as f64
        };
        let curves = ENDS.map(|(name, _)| -> Vec<f64> {
            seconds.chunks(step).map(|part| rate(part, name)).collect()
        });
        let most = curves.iter().flatten().copied().fold(1.0, f64::max);
        write(area, &format!("requests a second, up to {most:.1}"), (SPAN.0, 4), &BLACK)?;
        for (row, ((name, colour), curve)) in ENDS.iter().zip(&curves).enumerate() {
            write(area, name, (8, 2 * LINE + row as i32 * LINE), colour)?;
            let height = |rate: f64| ROWS.0 - (rate / most * f64::from(ROWS.0 - 2 * LINE)) as i32;
            let point = |(number, rate): (usize, &f64)| {
                (self.x_of((number * step) as f64 + step as f64 / 2.0), height(*rate))
            };
            let points: Vec<(i32, i32)> = curve.iter().enumerate().map(point).collect();
            draw(area, &PathElement::new(points, colour.stroke_width(2)))?;
        }
        Ok(())
    }

    fn draw_faults(&self, area: &ChartArea<'_>) -> Result<(), String> {
        let bars = &self.report.fault_bars;
        let kinds: BTreeSet<&str> = bars.iter().map(|bar| &*bar.kind).collect();
        let room = (ROWS.2 - ROWS.1) * 2 / 3;
        let height = (room / kinds.len().max(1) as i32).clamp(2, LINE);
        for (row, kind) in kinds.iter().enumerate() {
            let top = ROWS.1 + row as i32 * height;
            write(area, kind, (8, top), &BLACK)?;
            for bar in bars.iter().filter(|bar| &&*bar.kind == kind) {
                let (left, right) = (self.x_of(bar.from_s), self.x_of(bar.to_s));
                let corners = [(left, top), (right.max(left + 2), top + height - 1)];
                draw(area, &Rectangle::new(corners, RED.mix(0.4).filled()))?;
            }
        }
        Ok(())
    }

    fn draw_recoveries(&self, area: &ChartArea<'_>) -> Result<(), String> {
        let recoveries = &self.report.recoveries;
        let most = recoveries.iter().map(|one| one.took_s).fold(0.1, f64::max);
        let top = ROWS.2 - (ROWS.2 - ROWS.1) / 4;
        let heading = format!("until its process serves again, up to {most:.1} s");
        write(area, &heading, (SPAN.0, top - LINE - 2), &BLACK)?;
        for one in recoveries {
            let left = self.x_of(one.at_s);
            let height = (one.took_s / most * f64::from(ROWS.2 - top)) as i32;
            let corners = [(left, ROWS.2 - height), (left + 3, ROWS.2)];
            draw(area, &Rectangle::new(corners, BLUE.filled()))?;
        }
        Ok(())
    }
}

fn write(
    area: &ChartArea<'_>,
    text: &str,
    position: (i32, i32),
    colour: &RGBColor,
) -> Result<(), String> {
    let style = ("sans-serif", f64::from(LINE) * 0.75).into_font().color(colour);
    draw(area, &Text::new(text.to_owned(), position, style))
}

fn draw<'a, 'b, E>(area: &ChartArea<'b>, element: &'a E) -> Result<(), String>
where
    &'a E: plotters::element::PointCollection<'a, (i32, i32)>,
    E: plotters::element::Drawable<SVGBackend<'b>>,
{
    area.draw(element).map_err(|error| error.to_string())
}

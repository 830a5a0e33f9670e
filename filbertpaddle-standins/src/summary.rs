//! Summary of several runs: medians and ranges by scenario and policy, as a table and a plot.

use std::fmt;
use std::path::Path;

use indexmap::IndexMap;
use plotters::prelude::*;

use crate::observation::Ending;
use crate::report::Report;

/// Size of a plot, in pixels.
const PLOT_SIZE: (u32, u32) = (900, 480);

/// A column of the summary table: its heading and the figure of a report that it shows.
struct Column {
    name: &'static str,
    value: fn(&Report) -> f64,
}

const COLUMNS: &[Column] = &[
    Column {
        name: "complete",
        value: |report| report.ending_count(Ending::Complete) as f64,
    },
    Column {
        name: "not run",
        value: |report| report.ending_count(Ending::NotRun) as f64,
    },
    Column {
        name: "other",
        value: |report| {
            let complete_or_refused =
                report.ending_count(Ending::Complete) + report.ending_count(Ending::NotRun);
            (report.requests - complete_or_refused) as f64
        },
    },
    Column {
        name: "tokens",
        value: |report| report.complete_tokens as f64,
    },
    Column {
        name: "first p95",
        value: |report| report.first_token.p95_ms,
    },
    Column {
        name: "gap p95",
        value: |report| report.token_gap.p95_ms,
    },
    Column {
        name: "gap p99",
        value: |report| report.token_gap.p99_ms,
    },
    Column {
        name: "stall s",
        value: |report| report.stall_s,
    },
    Column {
        name: "preempt.",
        value: |report| report.preemptions as f64,
    },
    Column {
        name: "wasted",
        value: |report| report.wasted_tokens as f64,
    },
    Column {
        name: "collapses",
        value: |report| report.collapses as f64,
    },
    Column {
        name: "fairness",
        value: |report| report.fairness,
    },
    Column {
        name: "broken",
        value: |report| report.violations.values().sum::<usize>() as f64,
    },
];

/// Reports of runs, grouped by scenario and policy.
#[derive(Debug, Default)]
pub struct Summary {
    runs: IndexMap<String, IndexMap<String, Vec<Report>>>,
}

/// Lowest value, median and highest value over several runs.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Range {
    low: f64,
    median: f64,
    high: f64,
}

impl Summary {
    /// Adds the report of a run.
    pub fn add(&mut self, report: Report) {
        self.runs
            .entry(report.scenario.clone())
            .or_default()
            .entry(report.policy.clone())
            .or_default()
            .push(report);
    }

    /// Plots the median stall time and the median 95th percentile of the token
    /// gap for each scenario and policy, as an SVG file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be written.
    pub fn plot(&self, path: &Path) -> Result<(), DrawingAreaErrorKind<std::io::Error>> {
        let area = SVGBackend::new(path, PLOT_SIZE).into_drawing_area();
        area.fill(&WHITE)?;
        let halves = area.split_evenly((1, 2));
        self.draw_bars(&halves[0], "stall time, s", |report| report.stall_s)?;
        self.draw_bars(&halves[1], "token gap p95, ms", |report| {
            report.token_gap.p95_ms
        })?;
        area.present()
    }

    fn draw_bars(
        &self,
        area: &DrawingArea<SVGBackend<'_>, plotters::coord::Shift>,
        caption: &str,
        value: fn(&Report) -> f64,
    ) -> Result<(), DrawingAreaErrorKind<std::io::Error>> {
        let bars: Vec<(String, f64)> = self
            .groups()
            .map(|(scenario, policy, reports)| {
                (
                    format!("{scenario}, {policy}"),
                    range(reports, value).median,
                )
            })
            .collect();
        let top = bars.iter().map(|(_, value)| *value).fold(1.0, f64::max);
        let mut chart = ChartBuilder::on(area)
            .caption(caption, ("sans-serif", 18))
            .margin(10)
            .x_label_area_size(30)
            .build_cartesian_2d(0.0..top * 1.05, 0.0..bars.len() as f64)?;
        chart
            .configure_mesh()
            .disable_y_mesh()
            .disable_y_axis()
            .draw()?;
        let rows = bars.iter().enumerate().map(|(row, (_, value))| {
            let colour = Palette99::pick(row).mix(0.5);
            let low = row as f64;
            Rectangle::new([(0.0, low), (*value, low + 1.0)], colour.filled())
        });
        chart.draw_series(rows)?;
        let labels = bars.iter().enumerate().map(|(row, (name, value))| {
            let text = format!("{name}: {value:.1}");
            Text::new(text, (top * 0.01, row as f64 + 0.9), ("sans-serif", 12))
        });
        chart.draw_series(labels)?;
        Ok(())
    }

    fn groups(&self) -> impl Iterator<Item = (&str, &str, &[Report])> {
        self.runs.iter().flat_map(|(scenario, policies)| {
            policies
                .iter()
                .map(|(policy, reports)| (scenario.as_str(), policy.as_str(), reports.as_slice()))
        })
    }
}

impl fmt::Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let names: Vec<&str> = COLUMNS.iter().map(|column| column.name).collect();
        writeln!(f, "| scenario | policy | runs | {} |", names.join(" | "))?;
        writeln!(f, "|{}", " --- |".repeat(COLUMNS.len() + 3))?;
        for (scenario, policy, reports) in self.groups() {
            write!(f, "| {scenario} | {policy} | {} |", reports.len())?;
            for column in COLUMNS {
                write!(f, " {} |", range(reports, column.value))?;
            }
            writeln!(f)?;
        }
        Ok(())
    }
}

impl fmt::Display for Range {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let digits = if self.high < 10.0 { 2 } else { 0 };
        write!(f, "{:.digits$}", self.median)?;
        if self.low < self.high {
            write!(f, " ({:.digits$}–{:.digits$})", self.low, self.high)?;
        }
        Ok(())
    }
}

fn range<F>(reports: &[Report], value: F) -> Range
where
    F: Fn(&Report) -> f64,
{
    let mut values: Vec<f64> = reports.iter().map(value).collect();
    values.sort_by(f64::total_cmp);
    Range {
        low: values.first().copied().unwrap_or_default(),
        median: values.get(values.len() / 2).copied().unwrap_or_default(),
        high: values.last().copied().unwrap_or_default(),
    }
}

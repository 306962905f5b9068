//! Draws load results: time to first token by prompt length, one series a percentile and run.

use std::fs;
use std::path::{Path, PathBuf};

use anyhow::{Context, Result, anyhow};
use clap::ArgMatches;
use plotters::prelude::{
    BLACK, ChartBuilder, Color, IntoDrawingArea, IntoLogRange, LineSeries, Palette, Palette99,
    SVGBackend, WHITE,
};
use serde::Deserialize;

use super::path_argument;
use crate::load_stats::ClassResult;

const SIZE: (u32, u32) = (900, 540);
/// Prompt tokens drawn for the class without an upper bound.
const OPEN_CLASS: u64 = 1_000_000;
const LEAST_MS: f64 = 0.1;

#[derive(Debug, Deserialize)]
struct LoadResult {
    classes: Vec<ClassResult>,
}

/// Draws the results.
pub(super) fn run(matches: &ArgMatches) -> Result<bool> {
    let output = path_argument(matches, "output")?;
    let mut series = Vec::new();
    for result in matches.get_many::<PathBuf>("results").unwrap_or_default() {
        series.extend(read_series(result)?);
    }
    draw(&output, &series)?;
    println!("{}", output.display());
    Ok(true)
}

/// One line of the plot.
struct Series {
    name: String,
    points: Vec<(f64, f64)>,
}

fn read_series(path: &Path) -> Result<Vec<Series>> {
    let text =
        fs::read_to_string(path).with_context(|| format!("cannot read {}", path.display()))?;
    let result: LoadResult =
        serde_json::from_str(&text).with_context(|| format!("{}", path.display()))?;
    let run = path
        .file_stem()
        .unwrap_or_default()
        .to_string_lossy()
        .into_owned();
    let points = |value: fn(&ClassResult) -> f64| -> Vec<(f64, f64)> {
        result
            .classes
            .iter()
            .map(|class| (bound(class), value(class).max(LEAST_MS)))
            .collect()
    };
    Ok(vec![
        Series {
            name: format!("{run} p50"),
            points: points(|class| class.first_token_ms.p50),
        },
        Series {
            name: format!("{run} p95"),
            points: points(|class| class.first_token_ms.p95),
        },
    ])
}

#[expect(
    clippy::cast_precision_loss,
    reason = "token counts stay far below 2^52"
)]
fn bound(class: &ClassResult) -> f64 {
    class.prompt_tokens_below.unwrap_or(OPEN_CLASS) as f64
}

fn draw(output: &Path, series: &[Series]) -> Result<()> {
    let failed = |error: &dyn std::fmt::Display| anyhow!("cannot draw: {error}");
    let root = SVGBackend::new(output, SIZE).into_drawing_area();
    root.fill(&WHITE).map_err(|error| failed(&error))?;
    let points = series.iter().flat_map(|series| &series.points);
    let most = points.map(|(_, ms)| *ms).fold(LEAST_MS * 10.0, f64::max) * 2.0;
    let mut chart = ChartBuilder::on(&root)
        .caption("Time to first token", ("sans-serif", 22))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(70)
        .build_cartesian_2d(
            (1000.0..2_000_000.0).log_scale(),
            (LEAST_MS..most).log_scale(),
        )
        .map_err(|error| failed(&error))?;
    chart
        .configure_mesh()
        .x_desc("prompt tokens, at most")
        .y_desc("ms")
        .draw()
        .map_err(|error| failed(&error))?;
    for (index, series) in series.iter().enumerate() {
        let color = Palette99::pick(index).mix(1.0);
        chart
            .draw_series(LineSeries::new(series.points.clone(), &color))
            .map_err(|error| failed(&error))?
            .label(series.name.as_str());
    }
    chart
        .configure_series_labels()
        .border_style(BLACK)
        .draw()
        .map_err(|error| failed(&error))?;
    root.present().map_err(|error| failed(&error))
}

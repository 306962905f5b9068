//! The `report` subcommand: plots time to first token by prompt length.
//!
//! Each load run has one series for p50 and one for p95.

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

/// Width and height of the image, in pixels.
const IMAGE_SIZE: (u32, u32) = (900, 540);
/// Prompt tokens at which the class without an upper bound is drawn.
const UNBOUNDED_CLASS_TOKENS: u64 = 1_000_000;
/// Lower end of the logarithmic axis, in milliseconds; smaller values are drawn here.
const MIN_MS: f64 = 0.1;

/// The part of a result file of `load` that is plotted.
#[derive(Debug, Deserialize)]
struct LoadResult {
    classes: Vec<ClassResult>,
}

/// Plots the given result files and prints the path of the image.
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

/// One line of the plot: prompt tokens and milliseconds.
struct Series {
    name: String,
    points: Vec<(f64, f64)>,
}

fn read_series(path: &Path) -> Result<Vec<Series>> {
    let text =
        fs::read_to_string(path).with_context(|| format!("cannot read {}", path.display()))?;
    let result: LoadResult =
        serde_json::from_str(&text).with_context(|| format!("cannot parse {}", path.display()))?;
    let run = path
        .file_stem()
        .unwrap_or_default()
        .to_string_lossy()
        .into_owned();
    let points = |value: fn(&ClassResult) -> f64| -> Vec<(f64, f64)> {
        result
            .classes
            .iter()
            .map(|class| (class_tokens(class), value(class).max(MIN_MS)))
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
fn class_tokens(class: &ClassResult) -> f64 {
    class.prompt_tokens_below.unwrap_or(UNBOUNDED_CLASS_TOKENS) as f64
}

fn draw(output: &Path, series: &[Series]) -> Result<()> {
    let draw_error = |error: &dyn std::fmt::Display| anyhow!("cannot draw the plot: {error}");
    let root = SVGBackend::new(output, IMAGE_SIZE).into_drawing_area();
    root.fill(&WHITE).map_err(|error| draw_error(&error))?;
    let points = series.iter().flat_map(|series| &series.points);
    let max_ms = points.map(|(_, ms)| *ms).fold(MIN_MS * 10.0, f64::max) * 2.0;
    let mut chart = ChartBuilder::on(&root)
        .caption("Time to first token", ("sans-serif", 22))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(70)
        .build_cartesian_2d(
            (1000.0..2_000_000.0).log_scale(),
            (MIN_MS..max_ms).log_scale(),
        )
        .map_err(|error| draw_error(&error))?;
    chart
        .configure_mesh()
        .x_desc("prompt tokens, at most")
        .y_desc("ms")
        .draw()
        .map_err(|error| draw_error(&error))?;
    for (index, series) in series.iter().enumerate() {
        let color = Palette99::pick(index).mix(1.0);
        chart
            .draw_series(LineSeries::new(series.points.clone(), &color))
            .map_err(|error| draw_error(&error))?
            .label(series.name.as_str());
    }
    chart
        .configure_series_labels()
        .border_style(BLACK)
        .draw()
        .map_err(|error| draw_error(&error))?;
    root.present().map_err(|error| draw_error(&error))
}

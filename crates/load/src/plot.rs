//! Draws line plots as SVG.

use plotters::prelude::{
    ChartBuilder, Circle, IntoDrawingArea, IntoFont, LineSeries, Palette, Palette99, PathElement,
    SVGBackend,
};
use plotters::style::{BLACK, Color, WHITE};

use crate::error::Error;

const PLOT_SIZE: (u32, u32) = (760, 420);
const TITLE_SIZE: u32 = 20;
const MARGIN: u32 = 12;
const LABEL_AREA: u32 = 56;
const POINT_RADIUS: u32 = 3;
const LEGEND_LINE_LENGTH: i32 = 18;
/// Factor by which each axis extends beyond the largest value.
const HEADROOM: f64 = 1.08;

/// Line of one label in a plot.
#[derive(Clone, Debug, PartialEq)]
pub struct Series {
    /// Label of the line in the legend.
    pub name: String,
    /// Points of the line as x and y values.
    pub points: Vec<(f64, f64)>,
}

impl From<(String, Vec<(f64, f64)>)> for Series {
    fn from((name, mut points): (String, Vec<(f64, f64)>)) -> Self {
        points.retain(|(x, y)| x.is_finite() && y.is_finite());
        Self { name, points }
    }
}

/// Line plot with its axis labels.
#[derive(Clone, Debug, PartialEq)]
pub struct Plot {
    /// Title of the plot.
    pub title: String,
    /// Label of the x axis.
    pub x_label: String,
    /// Label of the y axis.
    pub y_label: String,
    /// Lines of the plot.
    pub series: Vec<Series>,
}

/// Draws a plot as an SVG element.
pub fn draw(plot: &Plot) -> Result<String, Error> {
    let mut svg = String::new();
    draw_into(plot, &mut svg).map_err(|error| Error::Plot(error.to_string()))?;
    Ok(svg)
}

fn draw_into(plot: &Plot, svg: &mut String) -> Result<(), Box<dyn std::error::Error>> {
    let area = SVGBackend::with_string(svg, PLOT_SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let (right, top) = axis_ends(plot);
    let mut chart = ChartBuilder::on(&area)
        .caption(&plot.title, ("sans-serif", TITLE_SIZE).into_font())
        .margin(MARGIN)
        .x_label_area_size(LABEL_AREA)
        .y_label_area_size(LABEL_AREA)
        .build_cartesian_2d(0.0..right, 0.0..top)?;
    chart.configure_mesh().x_desc(plot.x_label.as_str()).y_desc(plot.y_label.as_str()).draw()?;
    for (number, series) in plot.series.iter().enumerate() {
        let color = Palette99::pick(number).to_rgba();
        let points = series.points.iter().copied();
        let line = LineSeries::new(points.clone(), color.stroke_width(2));
        chart
            .draw_series(line)?
            .label(series.name.as_str())
            .legend(move |(x, y)| PathElement::new([(x, y), (x + LEGEND_LINE_LENGTH, y)], color));
        chart.draw_series(points.map(|point| Circle::new(point, POINT_RADIUS, color.filled())))?;
    }
    chart.configure_series_labels().background_style(WHITE).border_style(BLACK).draw()?;
    area.present()?;
    Ok(())
}

/// Returns the upper ends of the x and y axis: the largest values times `HEADROOM`, or 1 if no
/// value is positive.
fn axis_ends(plot: &Plot) -> (f64, f64) {
    let points = || plot.series.iter().flat_map(|series| &series.points);
    let right = points().map(|(x, _)| *x).fold(0.0, f64::max);
    let top = points().map(|(_, y)| *y).fold(0.0, f64::max);
    let with_headroom = |value: f64| if value > 0.0 { value * HEADROOM } else { 1.0 };
    (with_headroom(right), with_headroom(top))
}

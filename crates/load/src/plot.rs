//! Line plots as SVG.

use plotters::prelude::{
    ChartBuilder, Circle, IntoDrawingArea, IntoFont, LineSeries, Palette, Palette99, PathElement,
    SVGBackend,
};
use plotters::style::{BLACK, Color, WHITE};

use crate::error::Error;

const SIZE: (u32, u32) = (760, 420);
const TITLE_SIZE: u32 = 20;
const MARGIN: u32 = 12;
const LABEL_AREA: u32 = 56;
const MARK: u32 = 3;
const LEGEND: i32 = 18;
/// Room above the highest point.
const HEADROOM: f64 = 1.08;

/// Points of one label.
#[derive(Clone, Debug, PartialEq)]
pub struct Series {
    /// The label.
    pub name: String,
    /// Abscissa and ordinate.
    pub points: Vec<(f64, f64)>,
}

impl From<(String, Vec<(f64, f64)>)> for Series {
    fn from((name, mut points): (String, Vec<(f64, f64)>)) -> Self {
        points.retain(|(x, y)| x.is_finite() && y.is_finite());
        Self { name, points }
    }
}

/// One plot.
#[derive(Clone, Debug, PartialEq)]
pub struct Plot {
    /// Title.
    pub title: String,
    /// Name of the abscissa.
    pub x: String,
    /// Name of the ordinate.
    pub y: String,
    /// The lines.
    pub series: Vec<Series>,
}

/// The plot as an SVG element.
pub fn draw(plot: &Plot) -> Result<String, Error> {
    let mut svg = String::new();
    draw_into(plot, &mut svg).map_err(|error| Error::Plot(error.to_string()))?;
    Ok(svg)
}

fn draw_into(plot: &Plot, svg: &mut String) -> Result<(), Box<dyn std::error::Error>> {
    let area = SVGBackend::with_string(svg, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let (right, top) = extent(plot);
    let mut chart = ChartBuilder::on(&area)
        .caption(&plot.title, ("sans-serif", TITLE_SIZE).into_font())
        .margin(MARGIN)
        .x_label_area_size(LABEL_AREA)
        .y_label_area_size(LABEL_AREA)
        .build_cartesian_2d(0.0..right, 0.0..top)?;
    chart.configure_mesh().x_desc(plot.x.as_str()).y_desc(plot.y.as_str()).draw()?;
    for (number, series) in plot.series.iter().enumerate() {
        let color = Palette99::pick(number).to_rgba();
        let points = series.points.iter().copied();
        let line = LineSeries::new(points.clone(), color.stroke_width(2));
        chart
            .draw_series(line)?
            .label(series.name.as_str())
            .legend(move |(x, y)| PathElement::new([(x, y), (x + LEGEND, y)], color));
        chart.draw_series(points.map(|point| Circle::new(point, MARK, color.filled())))?;
    }
    chart.configure_series_labels().background_style(WHITE).border_style(BLACK).draw()?;
    area.present()?;
    Ok(())
}

/// Highest abscissa and ordinate, with headroom; 1 for a plot without points.
fn extent(plot: &Plot) -> (f64, f64) {
    let points = || plot.series.iter().flat_map(|series| &series.points);
    let right = points().map(|(x, _)| *x).fold(0.0, f64::max);
    let top = points().map(|(_, y)| *y).fold(0.0, f64::max);
    let widened = |value: f64| if value > 0.0 { value * HEADROOM } else { 1.0 };
    (widened(right), widened(top))
}

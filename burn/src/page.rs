//! Renders the report as one self-contained HTML page with plots.

use std::fmt::Write;

use plotters::coord::Shift;
use plotters::prelude::BLACK;
use plotters::prelude::ChartBuilder;
use plotters::prelude::Color;
use plotters::prelude::DrawingArea;
use plotters::prelude::DrawingAreaErrorKind;
use plotters::prelude::IntoDrawingArea;
use plotters::prelude::IntoLogRange;
use plotters::prelude::LineSeries;
use plotters::prelude::Palette;
use plotters::prelude::Palette99;
use plotters::prelude::PathElement;
use plotters::prelude::RED;
use plotters::prelude::Rectangle;
use plotters::prelude::SVGBackend;
use plotters::prelude::SeriesLabelPosition;
use plotters::prelude::WHITE;
use snafu::ResultExt;
use snafu::Snafu;
use yuccatray::protocol::burn::MissCause;
use yuccatray::protocol::burn::Window;

use crate::fleet_burn::FleetBurn;
use crate::fleet_burn::FleetRow;
use crate::table::coverage;
use crate::table::format_alerts;
use crate::table::format_burn_rate;
use crate::table::format_objective;

/// Result of rendering the page.
pub type Result<T, E = PageError> = std::result::Result<T, E>;

const WIDTH_PX: u32 = 960;
const ROW_HEIGHT_PX: u32 = 34;
const CHART_MARGIN_PX: u32 = 110;
const LATENCY_HEIGHT_PX: u32 = 420;
const LABEL_AREA_PX: u32 = 190;
/// Smallest end of the axis of burn rates.
const MIN_BURN_AXIS_END: f64 = 2.0;
/// Burn rate at which bars are cut off.
const MAX_SHOWN_BURN_RATE: f64 = 50.0;
/// Start of the logarithmic latency axis, which can't begin at 0.
const MIN_SHOWN_LATENCY_MS: f64 = 0.05;
const PERCENT: f64 = 100.0;
const SHOWN_WINDOWS: [Window; 3] = [Window::FiveMinutes, Window::OneHour, Window::SixHours];
/// Quantiles of the latency plot with their labels, evenly spaced on its axis.
const QUANTILES: [(f64, &str); 7] = [
    (0.1, "10 %"),
    (0.5, "50 %"),
    (0.9, "90 %"),
    (0.95, "95 %"),
    (0.99, "99 %"),
    (0.995, "99.5 %"),
    (0.999, "99.9 %"),
];
const STYLE: &str = "body{font-family:sans-serif;max-width:1000px;margin:2em auto;color:#222}\
table{border-collapse:collapse;font-size:14px}th,td{padding:4px 10px;text-align:left;border-bottom:1px solid #ddd}\
td.n{text-align:right}tr.alert{background:#fdd}p.missing{background:#fe9;padding:8px;white-space:pre-line}";

/// Error of rendering the page.
#[derive(Debug, Snafu)]
pub enum PageError {
    /// The plot library failed.
    #[snafu(display("cannot draw: {source}"))]
    Draw {
        /// Error of the plot library.
        source: DrawingAreaErrorKind<std::io::Error>,
    },
}

/// Renders the page as HTML text.
///
/// # Errors
///
/// When a plot can't be drawn.
pub fn render(burn: &FleetBurn) -> Result<String> {
    let mut page = format!(
        "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">\
         <title>Service-level burn</title><style>{STYLE}</style></head><body>\n<h1>Service-level burn</h1>\n"
    );
    let class = if burn.missing.is_empty() { "covered" } else { "missing" };
    // Writing to a string can't fail.
    let _written = writeln!(page, "<p class=\"{class}\">{}</p>", escape_html(&coverage(burn)));
    write_table(&mut page, "All zones", &burn.rows);
    if !burn.rows.is_empty() {
        page.push_str("<h2>Burn rate</h2>\n<p>1 spends exactly the error budget. Bars end at 50; the table has the figures.</p>\n");
        page.push_str(&burn_chart(&burn.rows)?);
        page.push_str("<h2>What missed the objective in the last hour</h2>\n");
        page.push_str(&cause_chart(&burn.rows)?);
        page.push_str("<h2>Latency of answered calls in the last hour</h2>\n");
        page.push_str(&latency_chart(&burn.rows)?);
    }
    write_table(&mut page, "By availability zone of the ingress", &burn.zone_rows);
    page.push_str("</body></html>\n");
    Ok(page)
}

fn write_table(page: &mut String, title: &str, rows: &[FleetRow]) {
    let _written = writeln!(
        page,
        "<h2>{title}</h2>\n<table><tr><th>Service</th><th>Priority</th><th>Zone</th><th>Objective</th>\
         <th>Calls in 1 h</th><th>Budget left</th><th>Burn 5 m</th><th>1 h</th><th>6 h</th>\
         <th>p99 ms</th><th>Alert</th></tr>"
    );
    for row in rows {
        let class = if row.alerts.is_empty() { "" } else { " class=\"alert\"" };
        let budget = row.budget_left_percent.map_or("-".to_owned(), |percent| format!("{percent:.1} %"));
        let _written = writeln!(
            page,
            "<tr{class}><td>{}</td><td>{}</td><td>{}</td><td>{}</td><td class=\"n\">{}</td>\
             <td class=\"n\">{budget}</td><td class=\"n\">{}</td><td class=\"n\">{}</td>\
             <td class=\"n\">{}</td><td class=\"n\">{:.2}</td><td>{}</td></tr>",
            escape_html(&row.service),
            escape_html(&row.priority),
            escape_html(row.zone.as_deref().unwrap_or("all")),
            format_objective(row),
            row.window(Window::OneHour).map_or(0, |burn| burn.calls),
            format_burn_rate(row, Window::FiveMinutes),
            format_burn_rate(row, Window::OneHour),
            format_burn_rate(row, Window::SixHours),
            row.latency.p99_ms,
            format_alerts(row)
        );
    }
    page.push_str("</table>\n");
}

fn burn_chart(rows: &[FleetRow]) -> Result<String> {
    let bars: Vec<Vec<f64>> = rows
        .iter()
        .map(|row| {
            let rate = |window| row.window(window).and_then(|burn| burn.burn_rate).unwrap_or(0.0);
            SHOWN_WINDOWS.into_iter().map(|window| rate(window).min(MAX_SHOWN_BURN_RATE)).collect()
        })
        .collect();
    let max_value = bars.iter().flatten().copied().fold(MIN_BURN_AXIS_END, f64::max);
    let names: Vec<&str> = SHOWN_WINDOWS.into_iter().map(Window::name).collect();
    let chart = BarChart {
        rows,
        names: &names,
        bars: &bars,
        stacked: false,
        max_value,
        reference_line: Some(1.0),
        unit: "times the even rate",
    };
    chart.draw()
}

fn cause_chart(rows: &[FleetRow]) -> Result<String> {
    let bars: Vec<Vec<f64>> = rows
        .iter()
        .map(|row| {
            let Some(burn) = row.window(Window::OneHour) else {
                return Vec::new();
            };
            let calls = burn.calls.max(1);
            let share = |cause| as_f64(burn.counts.missed.count(cause)) / as_f64(calls) * PERCENT;
            MissCause::ALL.into_iter().map(share).collect()
        })
        .collect();
    let max_value = bars.iter().map(|row| row.iter().sum()).fold(1.0, f64::max);
    let names: Vec<&str> = MissCause::ALL.into_iter().map(MissCause::name).collect();
    BarChart {
        rows,
        names: &names,
        bars: &bars,
        stacked: true,
        max_value,
        reference_line: None,
        unit: "% of calls",
    }
    .draw()
}

/// Horizontal bar chart with one band for each row of the report.
#[derive(Debug)]
struct BarChart<'a> {
    rows: &'a [FleetRow],
    names: &'a [&'a str],
    /// Values of the bars by row, then by name.
    bars: &'a [Vec<f64>],
    stacked: bool,
    max_value: f64,
    /// Value at which a vertical line is drawn.
    reference_line: Option<f64>,
    unit: &'a str,
}

impl BarChart<'_> {
    fn draw(&self) -> Result<String> {
        let height_px = CHART_MARGIN_PX + ROW_HEIGHT_PX * u32::try_from(self.rows.len()).unwrap_or(u32::MAX);
        render_svg(height_px, |area| self.draw_on(area))
    }

    fn draw_on(&self, area: &SvgArea<'_>) -> DrawResult {
        let bands = as_f64(self.rows.len() as u64);
        let mut chart = ChartBuilder::on(area)
            .margin(10)
            .x_label_area_size(40)
            .y_label_area_size(LABEL_AREA_PX)
            .build_cartesian_2d(0.0..self.max_value * 1.05, bands..0.0)?;
        chart
            .configure_mesh()
            .disable_y_mesh()
            .max_light_lines(0)
            .y_labels(0)
            .x_desc(self.unit)
            .x_label_formatter(&|value| format!("{value:.1}"))
            .draw()?;
        for (index, name) in self.names.iter().enumerate() {
            let colour = Palette99::pick(index).to_rgba();
            let bars = self.bars.iter().enumerate().map(|(band, row)| self.bar(band, index, row));
            chart
                .draw_series(bars.map(|bar| Rectangle::new(bar, colour.filled())))?
                .label(*name)
                .legend(move |(x, y)| Rectangle::new([(x, y - 5), (x + 12, y + 5)], colour.filled()));
        }
        if let Some(value) = self.reference_line {
            chart.draw_series([PathElement::new(vec![(value, 0.0), (value, bands)], RED.stroke_width(1))])?;
        }
        chart
            .configure_series_labels()
            .position(SeriesLabelPosition::LowerRight)
            .background_style(WHITE.mix(0.85))
            .border_style(BLACK.mix(0.2))
            .draw()?;
        drop(chart);
        self.draw_names(area)
    }

    fn draw_names(&self, area: &SvgArea<'_>) -> DrawResult {
        let (_, height_px) = area.dim_in_pixel();
        let plot_px = f64::from(height_px.saturating_sub(60));
        for (band, row) in self.rows.iter().enumerate() {
            let middle = (as_f64(band as u64) + 0.5) / as_f64(self.rows.len() as u64);
            #[expect(
                clippy::cast_possible_truncation,
                reason = "pixel positions on the page are far below 2^31"
            )]
            let y = 10 + (middle * plot_px) as i32 - 6;
            let name = format!("{} {}", row.service, row.priority);
            area.draw_text(&name, &("sans-serif", 13).into(), (10, y))?;
        }
        Ok(())
    }

    fn bar(&self, band: usize, index: usize, row: &[f64]) -> [(f64, f64); 2] {
        let band = as_f64(band as u64);
        let value = row.get(index).copied().unwrap_or(0.0);
        if self.stacked {
            let offset: f64 = row.iter().take(index).sum();
            return [(offset, band + 0.2), (offset + value, band + 0.8)];
        }
        let thickness = 0.8 / as_f64(self.names.len() as u64);
        let top = thickness.mul_add(as_f64(index as u64), band + 0.1);
        [(0.0, top), (value, top + thickness * 0.9)]
    }
}

fn latency_chart(rows: &[FleetRow]) -> Result<String> {
    let answered: Vec<&FleetRow> = rows.iter().filter(|row| row.latency.answered > 0).collect();
    let slowest = answered.iter().map(|row| row.latency.p999_ms).fold(1.0, f64::max);
    render_svg(LATENCY_HEIGHT_PX, |area| {
        let last_position = as_f64(QUANTILES.len() as u64 - 1);
        let mut chart = ChartBuilder::on(area)
            .margin(10)
            .margin_right(30)
            .x_label_area_size(40)
            .y_label_area_size(60)
            .build_cartesian_2d(0.0..last_position, (MIN_SHOWN_LATENCY_MS..slowest * 1.5).log_scale())?;
        chart
            .configure_mesh()
            .max_light_lines(0)
            .x_labels(QUANTILES.len())
            .x_label_formatter(&|position| quantile_label(*position))
            .y_label_formatter(&|millis| format!("{millis}"))
            .x_desc("share of calls that took no longer")
            .y_desc("ms")
            .draw()?;
        for (index, row) in answered.iter().enumerate() {
            let colour = Palette99::pick(index).to_rgba();
            let points = QUANTILES.into_iter().enumerate().map(|(position, (quantile, _))| {
                (as_f64(position as u64), row.quantile_ms(quantile).max(MIN_SHOWN_LATENCY_MS))
            });
            chart
                .draw_series(LineSeries::new(points, colour.stroke_width(2)))?
                .label(format!("{} {}", row.service, row.priority))
                .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 14, y)], colour.stroke_width(2)));
        }
        chart
            .configure_series_labels()
            .position(SeriesLabelPosition::LowerRight)
            .background_style(WHITE.mix(0.85))
            .border_style(BLACK.mix(0.2))
            .draw()
    })
}

fn quantile_label(position: f64) -> String {
    let quantile =
        QUANTILES.iter().enumerate().find(|(index, _)| (as_f64(*index as u64) - position).abs() < 0.01);
    quantile.map_or_else(String::new, |(_, (_, name))| (*name).to_owned())
}

type SvgArea<'a> = DrawingArea<SVGBackend<'a>, Shift>;
type DrawResult = std::result::Result<(), DrawingAreaErrorKind<std::io::Error>>;

fn render_svg<F>(height_px: u32, draw: F) -> Result<String>
where
    F: FnOnce(&SvgArea<'_>) -> DrawResult,
{
    let mut text = String::new();
    let area = SVGBackend::with_string(&mut text, (WIDTH_PX, height_px)).into_drawing_area();
    area.fill(&WHITE).context(DrawSnafu)?;
    draw(&area).context(DrawSnafu)?;
    area.present().context(DrawSnafu)?;
    // The drawing area borrows `text` until it is dropped.
    drop(area);
    Ok(text)
}

fn escape_html(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}

#[expect(clippy::cast_precision_loss, reason = "counts here are far below 2^52")]
const fn as_f64(number: u64) -> f64 {
    number as f64
}

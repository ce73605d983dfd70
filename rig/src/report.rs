//! A run as a page that a person reads: the verdict first, then what was checked, the figures, and their course.

use std::fmt::Write;

use flaxdale_model::invariants::RuleReport;
use plotters::prelude::*;

use crate::compare::Comparison;
use crate::result::{RunResult, SecondStats, Verdict};

const SIZE: (u32, u32) = (860, 300);

/// Text in a page, with what would be taken for markup made harmless.
fn plain(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;").replace('"', "&quot;")
}

type Drawn = Result<(), Box<dyn std::error::Error>>;

/// Draws into an SVG text; a drawing that fails leaves a line that says so.
fn svg(draw: impl FnOnce(&DrawingArea<SVGBackend<'_>, plotters::coord::Shift>) -> Drawn) -> String {
    let mut text = String::new();
    let done = {
        let area = SVGBackend::with_string(&mut text, SIZE).into_drawing_area();
        draw(&area).and_then(|()| Ok(area.present()?))
    };
    match done {
        Ok(()) => text,
        Err(error) => format!("<p>no drawing: {}</p>", plain(&error.to_string())),
    }
}

/// A label on an axis.
fn whole(value: &f64) -> String {
    format!("{value:.0}")
}

fn faults_over(result: &RunResult, end: f64) -> Vec<(f64, f64)> {
    result.faults.iter().map(|fault| (fault.start_s.min(end), fault.end_s.unwrap_or(end).min(end))).collect()
}

/// What became of each second's requests.
fn course(result: &RunResult) -> String {
    svg(|area| {
        area.fill(&WHITE)?;
        let end = result.per_second.len().max(1) as f64;
        let most = result.per_second.iter().map(|moment| moment.requests).max().unwrap_or(1).max(1) as f64;
        let mut chart = ChartBuilder::on(area)
            .margin(10)
            .margin_right(34)
            .x_label_area_size(34)
            .y_label_area_size(48)
            .build_cartesian_2d(0.0..end, 0.0..most * 1.05)?;
        chart
            .configure_mesh()
            .disable_x_mesh()
            .light_line_style(TRANSPARENT)
            .x_label_formatter(&whole)
            .y_label_formatter(&whole)
            .x_desc("seconds")
            .y_desc("requests due")
            .draw()?;
        for (from, to) in faults_over(result, end) {
            let shade = RGBColor(120, 120, 120).mix(0.12).filled();
            chart.draw_series([Rectangle::new([(from, 0.0), (to.max(from + 0.1), most * 1.05)], shade)])?;
        }
        type Of = fn(&SecondStats) -> u64;
        let lines: [(&str, RGBColor, Of); 5] = [
            ("asked", RGBColor(60, 60, 60), |m| m.requests),
            ("in time", RGBColor(20, 130, 70), |m| m.in_time),
            ("late", RGBColor(210, 140, 0), |m| m.late),
            ("refused", RGBColor(40, 90, 180), |m| m.rejected),
            ("failed", RGBColor(190, 30, 30), |m| m.failed),
        ];
        for (name, color, of) in lines {
            let points =
                result.per_second.iter().enumerate().map(|(at, moment)| (at as f64 + 0.5, of(moment) as f64));
            chart
                .draw_series(LineSeries::new(points, color.stroke_width(2)))?
                .label(name)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color.stroke_width(2)));
        }
        chart
            .configure_series_labels()
            .background_style(WHITE.mix(0.85))
            .border_style(BLACK.mix(0.3))
            .draw()?;
        Ok(())
    })
}

/// Under which delay which share of what was served stayed.
fn delays(result: &RunResult) -> String {
    svg(|area| {
        area.fill(&WHITE)?;
        let most = result.latency_quantiles.iter().map(|delay| delay.1).fold(1.0, f64::max);
        let nines = |share: f64| -(1.0 - share.min(0.99999)).log10();
        let mut chart = ChartBuilder::on(area)
            .margin(10)
            .margin_right(34)
            .x_label_area_size(34)
            .y_label_area_size(48)
            .build_cartesian_2d(0.0..4.0, 0.0..most * 1.05)?;
        let name = |nines: &f64| format!("{}%", 100.0 - 100.0 / 10f64.powf(*nines));
        chart
            .configure_mesh()
            .light_line_style(TRANSPARENT)
            .x_labels(5)
            .x_label_formatter(&name)
            .y_label_formatter(&whole)
            .x_desc("share of the served, from the moment each was due")
            .y_desc("ms")
            .draw()?;
        let points = result
            .latency_quantiles
            .iter()
            .map(|(share, ms)| (nines(*share), *ms))
            .filter(|(x, _)| *x <= 4.0);
        chart.draw_series(LineSeries::new(points, RGBColor(20, 90, 130).stroke_width(2)))?;
        Ok(())
    })
}

fn invariants(rows: &[RuleReport]) -> String {
    let mut text = String::from("<table><tr><th>rule</th><th>checked</th><th>broken</th></tr>");
    for row in rows {
        let class = if row.violated > 0 { "bad" } else { "" };
        let _ = write!(
            text,
            "<tr class=\"{class}\"><td>{}</td><td class=n>{}</td><td class=n>{}</td></tr>",
            plain(&row.name),
            row.checked,
            row.violated
        );
    }
    text.push_str("</table>");
    for row in rows.iter().filter(|row| !row.violations.is_empty()) {
        let _ = write!(text, "<h3>{}: the first broken ones</h3><ul>", plain(&row.name));
        for breach in row.violations.iter().take(20) {
            let (id, what) = (plain(&breach.id), plain(&breach.detail));
            let _ = write!(text, "<li><code>{id}</code> at {:.0} ms: {what}</li>", breach.at_ms);
        }
        text.push_str("</ul>");
    }
    text
}

/// The page. `ways` are the log lines of requests that broke a rule.
pub fn render_html(result: &RunResult, ways: &[(String, Vec<String>)]) -> String {
    let (class, verdict) = match result.verdict {
        Verdict::Passed => ("good", "every rule kept".to_owned()),
        Verdict::Failed => ("bad", "a rule was broken".to_owned()),
        Verdict::Inconclusive => {
            ("none", format!("no verdict: {}", result.reason.as_deref().unwrap_or("unknown")))
        }
    };
    let mut text = String::from(
        "<!doctype html><html lang=en><meta charset=utf-8><title>flaxdale rig</title><style>\
         body{font:15px/1.5 system-ui,sans-serif;max-width:60rem;margin:2rem auto;padding:0 1rem;color:#222}\
         table{border-collapse:collapse;margin:1rem 0}td,th{padding:.2rem .8rem;border-bottom:1px solid #ddd;text-align:left}\
         .n{text-align:right;font-variant-numeric:tabular-nums}.bad{background:#fbe3e3}\
         .verdict{padding:.6rem 1rem;border-radius:4px;font-weight:600}.verdict.good{background:#e1f3e6}\
         .verdict.bad{background:#fbe3e3}.verdict.none{background:#fdf3d9}\
         pre{background:#f6f6f6;padding:.8rem;overflow-x:auto;font-size:12px}svg{max-width:100%;height:auto}</style>",
    );
    let _ = write!(
        text,
        "<h1>{}</h1><p>{}</p><p class=\"verdict {class}\">{}</p><p>seed {}, {} s of load, on {}, version {}, the rig's own \
         lateness {:.2} ms at the 99th percentile</p>",
        plain(&result.experiment),
        plain(&result.question),
        plain(&verdict),
        result.seed,
        result.per_second.len(),
        match result.mode {
            crate::experiment::Mode::Sockets => "real processes and sockets",
            crate::experiment::Mode::Virtual => "virtual time",
        },
        plain(&result.version),
        result.lateness_ms_p99
    );
    let _ = write!(text, "<h2>What became of each second's requests</h2>{}", course(result));
    if !result.faults.is_empty() {
        text.push_str("<p>Shaded: ");
        let told = result.faults.iter().map(|fault| match fault.end_s {
            Some(to) => format!("{} ({:.1} to {to:.1} s)", plain(&fault.description), fault.start_s),
            None => format!("{} (from {:.1} s)", plain(&fault.description), fault.start_s),
        });
        text.push_str(&told.collect::<Vec<_>>().join("; "));
        text.push_str("</p>");
    }
    let _ = write!(text, "<h2>Delays</h2>{}", delays(result));
    let _ = write!(text, "<h2>Rules</h2>{}", invariants(&result.invariants));
    text.push_str("<h2>Figures</h2><table>");
    for (name, value) in &result.measures {
        let _ = write!(text, "<tr><td>{}</td><td class=n>{value:.4}</td></tr>", plain(name));
    }
    text.push_str("</table>");
    for (id, lines) in ways {
        let lines: Vec<String> = lines.iter().map(|line| plain(line)).collect();
        let _ =
            write!(text, "<h3>The way of {} through the logs</h3><pre>{}</pre>", plain(id), lines.join("\n"));
    }
    text.push_str("</html>\n");
    text
}

/// A comparison as lines for a terminal.
pub fn comparison_table(comparison: &Comparison) -> String {
    let mut text = String::new();
    let pairing = if comparison.paired { "each second with its twin" } else { "each run by itself" };
    let _ = writeln!(text, "resampled in blocks of 5 s, {pairing}");
    let _ = writeln!(
        text,
        "{:<24}{:>10}{:>10}{:>11}  {:<22}{:>7}",
        "figure", "A", "B", "B - A", "nine in ten", "sure"
    );
    for metric in &comparison.metrics {
        let between = format!("{:+.4} to {:+.4}", metric.interval_90.0, metric.interval_90.1);
        let _ = writeln!(
            text,
            "{:<24}{:>10.4}{:>10.4}{:>+11.4}  {between:<22}{:>6.1}%",
            metric.name,
            metric.a,
            metric.b,
            metric.b - metric.a,
            metric.confidence * 100.0
        );
    }
    text
}

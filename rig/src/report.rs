//! Reports for people: the result of a run as an HTML page and a comparison as text.

use std::fmt::Write;

use flaxdale_model::invariants::RuleReport;
use plotters::prelude::*;

use crate::compare::Comparison;
use crate::result::{RunResult, SecondStats, Verdict};

const CHART_SIZE_PX: (u32, u32) = (860, 300);

/// Escapes text for HTML.
fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;").replace('"', "&quot;")
}

type DrawResult = Result<(), Box<dyn std::error::Error>>;

/// Draws a chart as SVG; if that fails, returns a paragraph with the error.
fn svg(draw: impl FnOnce(&DrawingArea<SVGBackend<'_>, plotters::coord::Shift>) -> DrawResult) -> String {
    let mut text = String::new();
    let drawn = {
        let area = SVGBackend::with_string(&mut text, CHART_SIZE_PX).into_drawing_area();
        draw(&area).and_then(|()| Ok(area.present()?))
    };
    match drawn {
        Ok(()) => text,
        Err(error) => format!("<p>The chart could not be drawn: {}</p>", escape(&error.to_string())),
    }
}

/// Label of an axis without decimals.
fn integer_label(value: &f64) -> String {
    format!("{value:.0}")
}

/// Begin and end of each fault, in seconds, limited to the duration of the load.
fn fault_intervals(result: &RunResult, end: f64) -> Vec<(f64, f64)> {
    result.faults.iter().map(|fault| (fault.start_s.min(end), fault.end_s.unwrap_or(end).min(end))).collect()
}

/// Chart of the requests of each second by outcome.
fn outcome_chart(result: &RunResult) -> String {
    svg(|area| {
        area.fill(&WHITE)?;
        let end = result.per_second.len().max(1) as f64;
        let max = result.per_second.iter().map(|second| second.requests).max().unwrap_or(1).max(1) as f64;
        let mut chart = ChartBuilder::on(area)
            .margin(10)
            .margin_right(34)
            .x_label_area_size(34)
            .y_label_area_size(48)
            .build_cartesian_2d(0.0..end, 0.0..max * 1.05)?;
        chart
            .configure_mesh()
            .disable_x_mesh()
            .light_line_style(TRANSPARENT)
            .x_label_formatter(&integer_label)
            .y_label_formatter(&integer_label)
            .x_desc("seconds")
            .y_desc("requests due")
            .draw()?;
        for (from, to) in fault_intervals(result, end) {
            let shade = RGBColor(120, 120, 120).mix(0.12).filled();
            chart.draw_series([Rectangle::new([(from, 0.0), (to.max(from + 0.1), max * 1.05)], shade)])?;
        }
        type Count = fn(&SecondStats) -> u64;
        let lines: [(&str, RGBColor, Count); 5] = [
            ("requests", RGBColor(60, 60, 60), |m| m.requests),
            ("in time", RGBColor(20, 130, 70), |m| m.in_time),
            ("late", RGBColor(210, 140, 0), |m| m.late),
            ("rejected", RGBColor(40, 90, 180), |m| m.rejected),
            ("failed", RGBColor(190, 30, 30), |m| m.failed),
        ];
        for (name, color, count) in lines {
            let points = result
                .per_second
                .iter()
                .enumerate()
                .map(|(index, second)| (index as f64 + 0.5, count(second) as f64));
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

/// Chart of the latency quantiles of served requests, on a logarithmic scale towards 100 %.
fn latency_chart(result: &RunResult) -> String {
    svg(|area| {
        area.fill(&WHITE)?;
        let max = result.latency_quantiles.iter().map(|quantile| quantile.1).fold(1.0, f64::max);
        let nines = |quantile: f64| -(1.0 - quantile.min(0.99999)).log10();
        let mut chart = ChartBuilder::on(area)
            .margin(10)
            .margin_right(34)
            .x_label_area_size(34)
            .y_label_area_size(48)
            .build_cartesian_2d(0.0..4.0, 0.0..max * 1.05)?;
        let percent_label = |nines: &f64| format!("{}%", 100.0 - 100.0 / 10f64.powf(*nines));
        chart
            .configure_mesh()
            .light_line_style(TRANSPARENT)
            .x_labels(5)
            .x_label_formatter(&percent_label)
            .y_label_formatter(&integer_label)
            .x_desc("share of served requests, latency measured from their due time")
            .y_desc("ms")
            .draw()?;
        let points = result
            .latency_quantiles
            .iter()
            .map(|(quantile, ms)| (nines(*quantile), *ms))
            .filter(|(x, _)| *x <= 4.0);
        chart.draw_series(LineSeries::new(points, RGBColor(20, 90, 130).stroke_width(2)))?;
        Ok(())
    })
}

/// Table of the rules and lists of their first violations.
fn rules_section(rules: &[RuleReport]) -> String {
    let mut text = String::from("<table><tr><th>rule</th><th>checked</th><th>violations</th></tr>");
    for rule in rules {
        let class = if rule.violated > 0 { "bad" } else { "" };
        let _ = write!(
            text,
            "<tr class=\"{class}\"><td>{}</td><td class=n>{}</td><td class=n>{}</td></tr>",
            escape(&rule.name),
            rule.checked,
            rule.violated
        );
    }
    text.push_str("</table>");
    for rule in rules.iter().filter(|rule| !rule.violations.is_empty()) {
        let _ = write!(text, "<h3>{}: first violations</h3><ul>", escape(&rule.name));
        for violation in rule.violations.iter().take(20) {
            let (id, detail) = (escape(&violation.id), escape(&violation.detail));
            let _ = write!(text, "<li><code>{id}</code> at {:.0} ms: {detail}</li>", violation.at_ms);
        }
        text.push_str("</ul>");
    }
    text
}

/// Renders a result as a page. `log_excerpts` are log lines by the id of a violation.
pub fn render_html(result: &RunResult, log_excerpts: &[(String, Vec<String>)]) -> String {
    let (class, verdict) = match result.verdict {
        Verdict::Passed => ("good", "every rule kept".to_owned()),
        Verdict::Failed => ("bad", "a rule was violated".to_owned()),
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
        "<h1>{}</h1><p>{}</p><p class=\"verdict {class}\">{}</p><p>seed {}, {} s of load, on {}, version {}, lateness of the \
         rig {:.2} ms at the 99th percentile</p>",
        escape(&result.experiment),
        escape(&result.question),
        escape(&verdict),
        result.seed,
        result.per_second.len(),
        match result.mode {
            crate::experiment::Mode::Sockets => "real processes and sockets",
            crate::experiment::Mode::Virtual => "virtual time",
        },
        escape(&result.version),
        result.lateness_ms_p99
    );
    let _ = write!(text, "<h2>Requests per second by outcome</h2>{}", outcome_chart(result));
    if !result.faults.is_empty() {
        text.push_str("<p>Faults (shaded): ");
        let descriptions = result.faults.iter().map(|fault| match fault.end_s {
            Some(end) => format!("{} ({:.1} to {end:.1} s)", escape(&fault.description), fault.start_s),
            None => format!("{} (from {:.1} s)", escape(&fault.description), fault.start_s),
        });
        text.push_str(&descriptions.collect::<Vec<_>>().join("; "));
        text.push_str("</p>");
    }
    let _ = write!(text, "<h2>Latency</h2>{}", latency_chart(result));
    let _ = write!(text, "<h2>Rules</h2>{}", rules_section(&result.invariants));
    text.push_str("<h2>Measurements</h2><table>");
    for (name, value) in &result.measures {
        let _ = write!(text, "<tr><td>{}</td><td class=n>{value:.4}</td></tr>", escape(name));
    }
    text.push_str("</table>");
    for (id, lines) in log_excerpts {
        let lines: Vec<String> = lines.iter().map(|line| escape(line)).collect();
        let _ = write!(text, "<h3>Log lines with {}</h3><pre>{}</pre>", escape(id), lines.join("\n"));
    }
    text.push_str("</html>\n");
    text
}

/// Formats a comparison as a table for the terminal.
pub fn comparison_table(comparison: &Comparison) -> String {
    let mut text = String::new();
    let pairing = if comparison.paired { "paired by second" } else { "each run independently" };
    let _ = writeln!(text, "bootstrap with blocks of 5 s, {pairing}");
    let _ = writeln!(
        text,
        "{:<24}{:>10}{:>10}{:>11}  {:<22}{:>7}",
        "metric", "A", "B", "B - A", "90% interval", "conf."
    );
    for metric in &comparison.metrics {
        let interval = format!("{:+.4} to {:+.4}", metric.interval_90.0, metric.interval_90.1);
        let _ = writeln!(
            text,
            "{:<24}{:>10.4}{:>10.4}{:>+11.4}  {interval:<22}{:>6.1}%",
            metric.name,
            metric.a,
            metric.b,
            metric.b - metric.a,
            metric.confidence * 100.0
        );
    }
    text
}

//! A run as a chart: service, load of origin and parents, and the lifetimes of the processes.

use super::judge::{self, Bin};
use super::{ORIGIN_WORK, RunResult, Scenario};
use crate::stand::hosts::STEP;
use plotters::prelude::*;
use std::path::Path;

type Drawn = Result<(), Box<dyn std::error::Error>>;

pub fn timeline(to: &Path, result: &RunResult, scenario: &Scenario) -> Result<(), String> {
    draw(to, result, scenario).map_err(|e| format!("{}: {e}", to.display()))
}

fn draw(to: &Path, result: &RunResult, scenario: &Scenario) -> Drawn {
    let all = SVGBackend::new(to, (1000, 900)).into_drawing_area();
    all.fill(&WHITE)?;
    let panels = all.split_evenly((3, 1));
    let (long, fault) = (scenario.duration.as_secs_f64(), scenario.fault_at.as_secs_f64());
    let bins = result.bins(scenario);
    let at = |n: usize| n as f64 * judge::BIN_WIDTH.as_secs_f64();

    let mut service = ChartBuilder::on(&panels[0])
        .caption("GETs returned in time, of those due in each half second", ("sans-serif", 16))
        .margin(8)
        .x_label_area_size(24)
        .y_label_area_size(44)
        .build_cartesian_2d(0.0..long, 0.0..1.02)?;
    service.configure_mesh().x_desc("s").draw()?;
    service.draw_series(LineSeries::new(
        bins.iter().enumerate().map(|(n, bin)| (at(n), bin.in_time_fraction())),
        &BLUE,
    ))?;
    let shed = |bin: &Bin| f64::from(bin.shed) / f64::from(bin.due.max(1));
    service.draw_series(LineSeries::new(bins.iter().enumerate().map(|(n, bin)| (at(n), shed(bin))), &RED))?;
    service.draw_series(LineSeries::new([(fault, 0.0), (fault, 1.02)], &BLACK))?;

    let step = STEP.as_secs_f64();
    let bears = scenario.origin_slots as f64;
    let sources = std::iter::once((&result.origin_load, bears, &RED))
        .chain(result.parent_loads.iter().map(|parent| (parent, result.parent_capacity, &GREEN)));
    let mut fills = ChartBuilder::on(&panels[1])
        .caption(
            format!("work asked of the origin (red, {bears} places of {ORIGIN_WORK:?}) and parents, over what they bear"),
            ("sans-serif", 16),
        )
        .margin(8)
        .x_label_area_size(24)
        .y_label_area_size(44)
        .build_cartesian_2d(0.0..long, 0.0..3.0)?;
    fills.configure_mesh().x_desc("s").draw()?;
    for (steps, bears, colour) in sources {
        let asked = steps.iter().enumerate().map(|(n, s)| (n as f64 * step, s.work / (bears * step)));
        fills.draw_series(LineSeries::new(asked, colour))?;
    }
    fills.draw_series(LineSeries::new([(0.0, 1.0), (long, 1.0)], &BLACK))?;

    let count = result.lifetimes.len().max(1) as f64;
    let mut lives = ChartBuilder::on(&panels[2])
        .caption("lives of the dispatchers, a new colour for each", ("sans-serif", 16))
        .margin(8)
        .x_label_area_size(24)
        .y_label_area_size(44)
        .build_cartesian_2d(0.0..long, 0.0..count)?;
    lives.configure_mesh().disable_y_mesh().x_desc("s").draw()?;
    for (row, own) in result.lifetimes.iter().enumerate() {
        for (life, process) in own.iter().enumerate() {
            let to = process.ended.map_or(long, |ended| ended.as_secs_f64());
            let bar = [(process.started.as_secs_f64(), row as f64 + 0.15), (to, row as f64 + 0.85)];
            lives.draw_series([Rectangle::new(bar, Palette99::pick(life).filled())])?;
        }
    }
    all.present()?;
    Ok(())
}

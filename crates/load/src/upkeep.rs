//! Measures the control cost of a fleet: processor time, memory, control traffic and platform calls
//! of the instances, how fast a change reaches all instances, and how long the services of a killed
//! owner are interrupted.

mod process;
mod spread;
mod takeover;

use std::path::PathBuf;
use std::time::Duration;

use ladder_schema::publication::{Page, Record};
use serde::{Deserialize, Serialize};

use crate::error::Error;
use crate::layout::Layout;
use process::{Process, Rates};

pub use spread::Spread;
pub use takeover::Takeover;

/// How long resource use is measured after the last instance has applied a drill's change.
const DRILL_LENGTH: Duration = Duration::from_secs(6);

/// Settings of the measurement.
#[derive(Clone, Debug)]
pub struct Options {
    /// Path of the `run.json` of the layout.
    pub run: PathBuf,
    /// Process ids of the instances, in the order of the layout.
    pub processes: Vec<u32>,
    /// Length of each of the two measured parts, in seconds.
    pub seconds: f64,
    /// Changes per second of catalogue entries in the second measured part.
    pub changes: f64,
}

/// Figures of one fleet.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub struct Report {
    /// Number of instances.
    pub instances: usize,
    /// Number of published records at the start.
    pub records: usize,
    /// Resource use without callers and without changes.
    pub idle: Rates,
    /// Changes per second of catalogue entries while `changing` is measured.
    pub changes_per_second: f64,
    /// Resource use without callers, with changes of catalogue entries.
    pub changing: Rates,
    /// Time until a single change is applied by all instances.
    pub spread: Spread,
    /// Resource use while the platform's store is restored from a copy and one change follows.
    pub drill: Rates,
    /// Milliseconds from the restoration until all instances have applied the change.
    pub drill_milliseconds: f64,
    /// Effect on callers when an owner is killed.
    pub takeover: Takeover,
}

/// Measures a running fleet; kills the fleet's last instance at the end.
///
/// # Errors
///
/// [`Error`] when the layout cannot be read or a process does not answer.
pub fn execute(options: &Options) -> Result<Report, Error> {
    let layout = Layout::read(&options.run)?;
    let part_length = Duration::from_secs_f64(options.seconds);
    let fleet: Vec<Process> = layout
        .instances
        .iter()
        .zip(&options.processes)
        .map(|(instance, process_id)| Process::new(*process_id, &instance.admin_address))
        .collect();
    actix_rt::System::new().block_on(async {
        let records = spread::published(&layout.platform).await?;
        let idle = process::rates(&fleet, tokio::time::sleep(part_length)).await?;
        let changer = spread::Changer::new(&layout.platform, entries(&records))?;
        let changing = changer.keep_changing(part_length, options.changes);
        let changing = process::rates(&fleet, changing).await?;
        let spread = changer.measure(&layout).await?;
        let mut drill_milliseconds = Ok(0.0);
        let drill = process::rates(&fleet, async {
            drill_milliseconds = changer.drill(&layout).await;
            tokio::time::sleep(DRILL_LENGTH).await;
        });
        let drill = drill.await?;
        let takeover = takeover::measure(&layout, &options.processes).await?;
        Ok(Report {
            instances: layout.instances.len(),
            records: records.records.len(),
            idle,
            changes_per_second: options.changes,
            changing,
            spread,
            drill,
            drill_milliseconds: drill_milliseconds?,
            takeover,
        })
    })
}

/// Returns the records of a page that are catalogue entries.
fn entries(page: &Page) -> Vec<Record> {
    let is_entry = |record: &&Record| {
        matches!(record.body, Some(ladder_schema::publication::record::Body::Entry(_)))
    };
    page.records.iter().filter(is_entry).cloned().collect()
}

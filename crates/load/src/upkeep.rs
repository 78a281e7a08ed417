//! What a fleet costs while it is kept running: processor time, memory, messages and platform
//! calls of each instance, how fast a change spreads, and how long a dead owner's services wait.

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

/// What to watch and for how long.
#[derive(Clone, Debug)]
pub struct Options {
    /// `run.json` of the layout.
    pub run: PathBuf,
    /// Processes of the instances, in the layout's order.
    pub processes: Vec<u32>,
    /// Length of each of the two measured parts, in seconds.
    pub seconds: f64,
    /// Changes a second in the second part.
    pub changes: f64,
}

/// Figures of one fleet.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub struct Report {
    /// Instances.
    pub instances: usize,
    /// Published records at the start.
    pub records: usize,
    /// Without callers and changes.
    pub idle: Rates,
    /// Changes a second in the next part.
    pub changes_per_second: f64,
    /// Without callers, with changes of catalogue entries.
    pub changing: Rates,
    /// How long single changes take to be in force everywhere.
    pub spread: Spread,
    /// What callers meet right after an owner is killed.
    pub takeover: Takeover,
}

/// Measures a running fleet; kills its last instance at the end.
///
/// # Errors
///
/// [`Error`] when the layout cannot be read or a process does not answer.
pub fn execute(options: &Options) -> Result<Report, Error> {
    let layout = Layout::read(&options.run)?;
    let length = Duration::from_secs_f64(options.seconds);
    let fleet: Vec<Process> = layout
        .instances
        .iter()
        .zip(&options.processes)
        .map(|(instance, id)| Process::new(*id, &instance.admin))
        .collect();
    actix_rt::System::new().block_on(async {
        let records = spread::published(&layout.platform).await?;
        let idle = process::rates(&fleet, tokio::time::sleep(length)).await?;
        let changer = spread::Changer::new(&layout.platform, entries(&records))?;
        let changing = changer.keep_changing(length, options.changes);
        let changing = process::rates(&fleet, changing).await?;
        let spread = changer.measure(&layout).await?;
        let takeover = takeover::measure(&layout, &options.processes).await?;
        Ok(Report {
            instances: layout.instances.len(),
            records: records.records.len(),
            idle,
            changes_per_second: options.changes,
            changing,
            spread,
            takeover,
        })
    })
}

/// The catalogue entries of a page.
fn entries(page: &Page) -> Vec<Record> {
    let is_entry = |record: &&Record| {
        matches!(record.body, Some(ladder_schema::publication::record::Body::Entry(_)))
    };
    page.records.iter().filter(is_entry).cloned().collect()
}

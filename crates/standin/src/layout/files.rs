//! Files of a run's folder.

use std::fs;
use std::path::Path;

use super::Plan;
use crate::settings::{Error, save};

/// The platform's settings file.
pub(super) const PLATFORM: &str = "platform.json";
/// The list of addresses.
const RUN: &str = "run.json";

/// Settings file of a process of targets.
pub(super) fn targets(number: usize) -> String {
    format!("targets-{number}.json")
}

/// Settings file of an instance.
pub(super) fn instance(number: usize) -> String {
    format!("instance-{number}.json")
}

pub(super) fn write(plan: &Plan, folder: &Path) -> Result<(), Error> {
    fs::create_dir_all(folder)
        .map_err(|cause| Error::Write { path: folder.display().to_string(), cause })?;
    save(&folder.join(PLATFORM), &plan.platform)?;
    for (number, settings) in plan.targets.iter().enumerate() {
        save(&folder.join(targets(number)), settings)?;
    }
    for (number, settings) in plan.instances.iter().enumerate() {
        save(&folder.join(instance(number)), settings)?;
    }
    save(&folder.join(RUN), &plan.run)
}

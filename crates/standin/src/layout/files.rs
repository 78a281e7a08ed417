//! Settings files of a test run, all in one folder.

use std::fs;
use std::path::Path;

use super::Plan;
use crate::settings::{Error, save};

/// Name of the platform's settings file.
pub(super) const PLATFORM_FILE: &str = "platform.json";
/// Name of the file that lists the addresses and settings files of all processes.
const RUN_FILE: &str = "run.json";

/// Returns the name of the settings file of a target process.
pub(super) fn targets_file(number: usize) -> String {
    format!("targets-{number}.json")
}

/// Returns the name of the settings file of an instance.
pub(super) fn instance_file(number: usize) -> String {
    format!("instance-{number}.json")
}

pub(super) fn write_plan(plan: &Plan, folder: &Path) -> Result<(), Error> {
    fs::create_dir_all(folder)
        .map_err(|cause| Error::Write { path: folder.display().to_string(), cause })?;
    save(&folder.join(PLATFORM_FILE), &plan.platform)?;
    for (number, settings) in plan.targets.iter().enumerate() {
        save(&folder.join(targets_file(number)), settings)?;
    }
    for (number, settings) in plan.instances.iter().enumerate() {
        save(&folder.join(instance_file(number)), settings)?;
    }
    save(&folder.join(RUN_FILE), &plan.run)
}

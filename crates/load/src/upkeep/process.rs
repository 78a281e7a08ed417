//! Measures processor time, memory, control traffic and platform calls of the instances.

use std::fs;
use std::future::Future;
use std::time::Instant;

use serde::{Deserialize, Serialize};

use crate::admin::Admin;
use crate::error::Error;

/// Clock ticks per second of the times in `/proc`; Linux reports them in this unit on all machines.
const TICKS_PER_SECOND: f64 = 100.0;

/// Process of a running instance.
#[derive(Clone, Debug)]
pub(super) struct Process {
    process_id: u32,
    admin_address: String,
}

/// Counters of one instance at one point in time.
#[derive(Clone, Copy, Debug, Default)]
struct Sample {
    cpu_seconds: f64,
    memory_kb: f64,
    control_bytes: f64,
    control_frames: f64,
    platform_calls: f64,
}

/// Median and largest value over the instances.
#[derive(Clone, Copy, Debug, Default)]
#[derive(Serialize, Deserialize)]
pub struct Range {
    /// Median over the instances.
    pub median: f64,
    /// Largest value over the instances.
    pub most: f64,
}

/// Resource use of the instances.
#[derive(Clone, Copy, Debug, Default)]
#[derive(Serialize, Deserialize)]
pub struct Rates {
    /// Processor time as a share of one core, in percent.
    pub cpu_percent: Range,
    /// Resident memory in mebibytes.
    pub memory_mb: Range,
    /// Control bytes sent per second.
    pub bytes: Range,
    /// Control frames sent per second.
    pub frames: Range,
    /// Platform calls per second, added up over the fleet.
    pub platform_calls: f64,
}

/// Parts of the frames between instances that are not requests of callers.
const CONTROL_PARTS: [&str; 3] = ["control", "confirmation", "repeated"];

impl Process {
    pub(super) fn new(process_id: u32, admin_address: &str) -> Self {
        Self { process_id, admin_address: admin_address.to_owned() }
    }

    async fn sample(&self, client: &Admin) -> Result<Sample, Error> {
        let metrics = client.text(&self.admin_address, "/metrics").await?;
        let control = |name: &str| -> f64 {
            let parts = CONTROL_PARTS.iter();
            parts.map(|part| metric_sum(&metrics, name, &format!("part=\"{part}\""))).sum()
        };
        Ok(Sample {
            cpu_seconds: self.cpu_seconds()?,
            memory_kb: self.memory_kb()?,
            control_bytes: control("ladder_peer_bytes_total"),
            control_frames: control("ladder_peer_frames_total"),
            platform_calls: metric_sum(&metrics, "ladder_platform_calls_total", ""),
        })
    }

    /// Returns the user and system time that the process has used so far, in seconds.
    fn cpu_seconds(&self) -> Result<f64, Error> {
        let text = self.read("stat")?;
        // The process name in parentheses may contain spaces, so the fields are counted from the
        // closing parenthesis.
        let fields = text.rsplit(") ").next().unwrap_or_default();
        let mut fields = fields.split(' ').skip(11).map(str::parse::<f64>);
        let mut ticks = || fields.next().and_then(Result::ok).unwrap_or(0.0);
        Ok((ticks() + ticks()) / TICKS_PER_SECOND)
    }

    /// Returns the resident memory of the process, in kibibytes.
    fn memory_kb(&self) -> Result<f64, Error> {
        let text = self.read("status")?;
        let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let number = line.and_then(|line| line.split_whitespace().next());
        Ok(number.and_then(|number| number.parse().ok()).unwrap_or(0.0))
    }

    fn read(&self, file: &str) -> Result<String, Error> {
        let path = format!("/proc/{}/{file}", self.process_id);
        fs::read_to_string(&path).map_err(|error| Error::Read(path.into(), error.to_string()))
    }
}

/// Returns the sum of the metric's values over all lines that contain `label`.
fn metric_sum(text: &str, name: &str, label: &str) -> f64 {
    text.lines()
        .filter(|line| line.starts_with(name) && line.contains(label))
        .filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok())
        .sum()
}

/// Returns the resource use of the instances while `workload` runs.
pub(super) async fn rates(
    fleet: &[Process],
    workload: impl Future<Output = ()>,
) -> Result<Rates, Error> {
    let client = Admin::default();
    let before = samples(fleet, &client).await?;
    let start = Instant::now();
    workload.await;
    let seconds = start.elapsed().as_secs_f64();
    let after = samples(fleet, &client).await?;
    let pairs: Vec<_> = before.into_iter().zip(after).collect();
    let range = |value: &dyn Fn(&(Sample, Sample)) -> f64| range(pairs.iter().map(value).collect());
    Ok(Rates {
        cpu_percent: range(&|(a, b)| (b.cpu_seconds - a.cpu_seconds) / seconds * 100.0),
        memory_mb: range(&|(_, b)| b.memory_kb / 1024.0),
        bytes: range(&|(a, b)| (b.control_bytes - a.control_bytes) / seconds),
        frames: range(&|(a, b)| (b.control_frames - a.control_frames) / seconds),
        platform_calls: pairs
            .iter()
            .map(|(a, b)| (b.platform_calls - a.platform_calls) / seconds)
            .sum(),
    })
}

async fn samples(fleet: &[Process], client: &Admin) -> Result<Vec<Sample>, Error> {
    let mut samples = Vec::with_capacity(fleet.len());
    for process in fleet {
        samples.push(process.sample(client).await?);
    }
    Ok(samples)
}

/// Returns the median and the largest of some values.
pub(super) fn range(mut values: Vec<f64>) -> Range {
    values.sort_by(f64::total_cmp);
    Range {
        median: values.get(values.len() / 2).copied().unwrap_or(0.0),
        most: values.last().copied().unwrap_or(0.0),
    }
}

//! Processor time, memory, messages and platform calls of instances.

use std::fs;
use std::future::Future;
use std::time::Instant;

use serde::{Deserialize, Serialize};

use crate::admin::Admin;
use crate::error::Error;

/// Clock ticks a second in `/proc`; Linux has shown this value to programs on all machines.
const TICKS: f64 = 100.0;

/// A running instance.
#[derive(Clone, Debug)]
pub(super) struct Process {
    id: u32,
    admin: String,
}

/// Counters of one instance at one moment.
#[derive(Clone, Copy, Debug, Default)]
struct Sample {
    cpu_seconds: f64,
    memory_kb: f64,
    control_bytes: f64,
    control_frames: f64,
    platform_calls: f64,
}

/// The median and the largest value over the instances.
#[derive(Clone, Copy, Debug, Default)]
#[derive(Serialize, Deserialize)]
pub struct Range {
    /// Median.
    pub median: f64,
    /// Largest.
    pub most: f64,
}

/// What an instance spends.
#[derive(Clone, Copy, Debug, Default)]
#[derive(Serialize, Deserialize)]
pub struct Rates {
    /// Share of one core in percent.
    pub cpu_percent: Range,
    /// Resident memory in megabytes.
    pub memory_mb: Range,
    /// Control bytes sent a second.
    pub bytes: Range,
    /// Control frames sent a second.
    pub frames: Range,
    /// Platform calls a second of the whole fleet.
    pub platform_calls: f64,
}

impl Process {
    pub(super) fn new(id: u32, admin: &str) -> Self {
        Self { id, admin: admin.to_owned() }
    }

    async fn sample(&self, client: &Admin) -> Result<Sample, Error> {
        let metrics = client.text(&self.admin, "/metrics").await?;
        let control = |name: &str| metric(&metrics, name, "part=\"control\"");
        Ok(Sample {
            cpu_seconds: self.cpu_seconds()?,
            memory_kb: self.memory_kb()?,
            control_bytes: control("ladder_peer_bytes_total"),
            control_frames: control("ladder_peer_frames_total"),
            platform_calls: metric(&metrics, "ladder_platform_calls_total", ""),
        })
    }

    /// User and system time so far.
    fn cpu_seconds(&self) -> Result<f64, Error> {
        let text = self.read("stat")?;
        // The name in parentheses may hold blanks; the fields are counted from behind it.
        let fields = text.rsplit(") ").next().unwrap_or_default();
        let mut fields = fields.split(' ').skip(11).map(str::parse::<f64>);
        let mut ticks = || fields.next().and_then(Result::ok).unwrap_or(0.0);
        Ok((ticks() + ticks()) / TICKS)
    }

    /// Resident memory.
    fn memory_kb(&self) -> Result<f64, Error> {
        let text = self.read("status")?;
        let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let number = line.and_then(|line| line.split_whitespace().next());
        Ok(number.and_then(|number| number.parse().ok()).unwrap_or(0.0))
    }

    fn read(&self, file: &str) -> Result<String, Error> {
        let path = format!("/proc/{}/{file}", self.id);
        fs::read_to_string(&path).map_err(|error| Error::Read(path.into(), error.to_string()))
    }
}

/// Sum of a metric's lines that have `label`.
fn metric(text: &str, name: &str, label: &str) -> f64 {
    text.lines()
        .filter(|line| line.starts_with(name) && line.contains(label))
        .filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok())
        .sum()
}

/// What the instances spend while `during` runs.
pub(super) async fn rates(
    fleet: &[Process],
    during: impl Future<Output = ()>,
) -> Result<Rates, Error> {
    let client = Admin::default();
    let before = samples(fleet, &client).await?;
    let start = Instant::now();
    during.await;
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

/// Median and largest of some values.
pub(super) fn range(mut values: Vec<f64>) -> Range {
    values.sort_by(f64::total_cmp);
    Range {
        median: values.get(values.len() / 2).copied().unwrap_or(0.0),
        most: values.last().copied().unwrap_or(0.0),
    }
}

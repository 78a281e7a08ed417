//! Instances of the project's program, started with the command and the template of the deploy
//! file.

use std::fs::{self, File};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

unsafe extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
}

const SIGTERM: i32 = 15;
/// `grace_s` of the sheets.
pub const GRACE: Duration = Duration::from_secs(6);

pub struct Instance {
    pub name: String,
    pub front: String,
    ready: String,
    settings: PathBuf,
    log: PathBuf,
    process: Child,
}

/// Instances of one deployment; they end with it.
pub struct Fleet {
    pub instances: Vec<Instance>,
    folder: PathBuf,
}

impl Fleet {
    /// Starts one instance in each of `zones` and waits until all are ready.
    pub fn start(store: &str, zones: &[&str]) -> Result<Self, String> {
        let folder = std::env::var("LAB_FOLDER").map_err(|_| "LAB_FOLDER is not set")?;
        let mut fleet = Self { instances: Vec::new(), folder: folder.into() };
        let names: Vec<String> =
            (0..zones.len()).map(|number| format!("edge-{}-{number}", zones[number])).collect();
        let ports: Vec<[u16; 4]> = zones.iter().map(|_| free_ports()).collect();
        let seeds: Vec<String> =
            ports.iter().take(3).map(|ports| format!("127.0.0.1:{}", ports[2])).collect();
        for (number, name) in names.iter().enumerate() {
            let settings = settings(name, zones, number, ports[number], &seeds, store)?;
            fleet.launch(name, &settings, ports[number])?;
        }
        let limit = Instant::now() + Duration::from_secs(10);
        for instance in &fleet.instances {
            while !instance.is_ready() {
                if Instant::now() > limit {
                    return Err(format!("{} is not ready", instance.name));
                }
                thread::sleep(Duration::from_millis(50));
            }
        }
        Ok(fleet)
    }

    fn launch(&mut self, name: &str, settings: &str, ports: [u16; 4]) -> Result<(), String> {
        let path = self.folder.join(format!("{name}.json"));
        fs::write(&path, settings).map_err(|error| error.to_string())?;
        let log = self.folder.join(format!("{name}.log"));
        let process = start(&path, &log)?;
        let at = |port: u16| format!("127.0.0.1:{port}");
        self.instances.push(Instance {
            name: name.to_owned(),
            front: at(ports[0]),
            ready: at(ports[1]),
            settings: path,
            log,
            process,
        });
        Ok(())
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for instance in &mut self.instances {
            let _ = instance.process.kill();
            let _ = instance.process.wait();
        }
    }
}

impl Instance {
    pub fn is_ready(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect(&self.ready) else { return false };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
        let _ = stream.write_all(b"GET /v1/ready HTTP/1.1\r\nHost: ready\r\n\r\n");
        let mut bytes = [0; 12];
        stream.read_exact(&mut bytes).is_ok() && bytes.ends_with(b" 200")
    }

    pub fn terminate(&self) {
        // SAFETY: sends a signal to a child that has not been waited for.
        unsafe { kill(self.process.id() as i32, SIGTERM) };
    }

    /// Waits for the end of the process, kills it if it outlives the grace that began at
    /// `terminated_at`, and starts it again. Returns how long it ran after SIGTERM.
    pub fn end_and_restart(&mut self, terminated_at: Instant) -> Result<Duration, String> {
        while matches!(self.process.try_wait(), Ok(None)) {
            if terminated_at.elapsed() >= GRACE {
                let _ = self.process.kill();
                let _ = self.process.wait();
                break;
            }
            thread::sleep(Duration::from_millis(5));
        }
        let ran = terminated_at.elapsed();
        self.process = start(&self.settings, &self.log)?;
        Ok(ran)
    }
}

/// Starts the program of the deploy file with a settings file in place of the platform's.
fn start(settings: &PathBuf, log: &PathBuf) -> Result<Child, String> {
    let deploy = fs::read_to_string("deploy/system.toml").map_err(|error| error.to_string())?;
    let run = deploy.lines().find_map(|line| line.strip_prefix("run = ")).ok_or("no run line")?;
    let program = run.trim_matches('"').split(' ').next().unwrap_or_default();
    let log = File::options().create(true).append(true).open(log);
    let log = log.map_err(|error| error.to_string())?;
    let errors = log.try_clone().map_err(|error| error.to_string())?;
    let mut command = Command::new(program);
    command.arg(settings).stdin(Stdio::null()).stdout(log).stderr(errors);
    let process = command.spawn().map_err(|error| format!("{program}: {error}"))?;
    // `run.sh` ends the processes of this list if this program is stopped before it does.
    let list = settings.with_file_name("processes");
    let list = File::options().create(true).append(true).open(list);
    let mut list = list.map_err(|error| error.to_string())?;
    let _ = writeln!(list, "{}", process.id());
    Ok(process)
}

/// Ports that are free now: for callers, the readiness check, peers and operators. They lie below
/// those that the system gives to outgoing connections.
fn free_ports() -> [u16; 4] {
    use std::sync::atomic::{AtomicU16, Ordering};
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let first = 20_000 + (std::process::id() % 600) as u16 * 16;
    let mut ports = [0; 4];
    for port in &mut ports {
        *port = loop {
            let candidate = first + NEXT.fetch_add(1, Ordering::Relaxed);
            if TcpListener::bind(("127.0.0.1", candidate)).is_ok() {
                break candidate;
            }
        };
    }
    ports
}

/// Fills in the template of the deploy file with the figures of the sheet for Porto.
fn settings(
    name: &str,
    zones: &[&str],
    number: usize,
    ports: [u16; 4],
    seeds: &[String],
    store: &str,
) -> Result<String, String> {
    let template = fs::read_to_string("deploy/settings.json").map_err(|error| error.to_string())?;
    let mut named: Vec<&str> = zones.to_vec();
    named.sort_unstable();
    named.dedup();
    let named: Vec<String> =
        named.iter().map(|zone| format!(r#"{{ "name": "{zone}", "region": "porto" }}"#)).collect();
    let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
    let text = section(&template, "zones", &named.join(","));
    let text = section(&text, "seeds", &seeds.join(","));
    let text = section(&text, "bounds.warmup_overshoot", "");
    let text = section(&text, "bounds.warmup_slack", "");
    let values = [
        ("node_name", name.to_owned()),
        ("zone", zones[number].to_owned()),
        ("limits.cpu_share", "0.25".to_owned()),
        ("listen_addrs.front", format!("127.0.0.1:{}", ports[0])),
        ("listen_addrs.ready", format!("127.0.0.1:{}", ports[1])),
        ("listen_addrs.control", format!("127.0.0.1:{}", ports[2])),
        ("platform.address", store.to_owned()),
        ("bounds.retry_budget_ratio", "0.2".to_owned()),
        ("bounds.retry_budget_slack", "54".to_owned()),
        ("bounds.budget_window_s", "10".to_owned()),
        ("bounds.grace_s", GRACE.as_secs().to_string()),
        ("bounds.contact_ms", "4000".to_owned()),
    ];
    let fill = |text: String, (key, value): &(&str, String)| {
        text.replace(&format!("{{{{{key}}}}}"), value)
    };
    let text = values.iter().fold(text, fill);
    let text = text.replace("{{ip}}:9464", &format!("127.0.0.1:{}", ports[3]));
    match text.contains("{{") {
        true => Err(format!("the template has fields that are not known here: {text}")),
        false => Ok(text),
    }
}

/// Replaces a section of the template by its rendered entries.
fn section(text: &str, key: &str, rendered: &str) -> String {
    let (open, close) = (format!("{{{{#{key}}}}}"), format!("{{{{/{key}}}}}"));
    let (Some(begin), Some(end)) = (text.find(&open), text.find(&close)) else {
        return text.to_owned();
    };
    [&text[..begin], rendered, &text[end + close.len()..]].concat()
}

//! Waits until every process of a layout is ready.

use std::path::Path;
use std::time::{Duration, Instant};

use awc::Client;

use crate::error::Error;
use crate::layout::Layout;

const POLL_INTERVAL: Duration = Duration::from_millis(50);
const REQUEST_TIMEOUT: Duration = Duration::from_secs(1);

/// Waits at most `timeout` until all instances answer `GET /ready` with status 200 and the operator
/// interfaces of all targets and of the platform answer; returns the number of instances. Must be
/// called outside any actix system.
pub fn wait(run_file: &Path, timeout: Duration) -> Result<usize, Error> {
    let layout = Layout::read(run_file)?;
    let mut urls = vec![format!("http://{}/admin/counts", layout.platform)];
    for process in &layout.processes {
        urls.push(format!("http://{}/admin/ledger", process.admin_address));
    }
    for instance in &layout.instances {
        urls.push(format!("http://{}/ready", instance.address));
    }
    let deadline = Instant::now() + timeout;
    actix_rt::System::new().block_on(async {
        let client = Client::builder().timeout(REQUEST_TIMEOUT).finish();
        for url in &urls {
            wait_for(&client, url, deadline).await?;
        }
        Ok(layout.instances.len())
    })
}

async fn wait_for(client: &Client, url: &str, deadline: Instant) -> Result<(), Error> {
    loop {
        let cause = match client.get(url).send().await {
            Ok(response) if response.status().is_success() => return Ok(()),
            Ok(response) => response.status().to_string(),
            Err(error) => error.to_string(),
        };
        if Instant::now() > deadline {
            return Err(Error::Admin(url.to_owned(), cause));
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

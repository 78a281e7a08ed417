//! Waits until every process of a layout serves.

use std::path::Path;
use std::time::{Duration, Instant};

use awc::Client;

use crate::error::Error;
use crate::layout::Layout;

const PAUSE: Duration = Duration::from_millis(50);
const TIMEOUT: Duration = Duration::from_secs(1);

/// Waits until all instances answer `GET /ready` with 200 and all targets' and the platform's
/// operators' interfaces answer, at most for `limit`; must be called outside any actix system.
pub fn wait(run: &Path, limit: Duration) -> Result<usize, Error> {
    let layout = Layout::read(run)?;
    let mut urls = vec![format!("http://{}/admin/counts", layout.platform)];
    for process in &layout.processes {
        urls.push(format!("http://{}/admin/ledger", process.admin));
    }
    for instance in &layout.instances {
        urls.push(format!("http://{}/ready", instance.address));
    }
    let end = Instant::now() + limit;
    actix_rt::System::new().block_on(async {
        let client = Client::builder().timeout(TIMEOUT).finish();
        for url in &urls {
            wait_for(&client, url, end).await?;
        }
        Ok(layout.instances.len())
    })
}

async fn wait_for(client: &Client, url: &str, end: Instant) -> Result<(), Error> {
    loop {
        let cause = match client.get(url).send().await {
            Ok(response) if response.status().is_success() => return Ok(()),
            Ok(response) => response.status().to_string(),
            Err(error) => error.to_string(),
        };
        if Instant::now() > end {
            return Err(Error::Admin(url.to_owned(), cause));
        }
        tokio::time::sleep(PAUSE).await;
    }
}

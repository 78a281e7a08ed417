//! Round-robin selection of the instances whose health check succeeds, as a load balancer does.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use awc::Client;

/// Interval between two health checks of an instance.
const HEALTH_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Timeout of a health check; a check that takes longer counts as failed.
const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_millis(500);

/// Instances in round-robin order; clones share the health state.
#[derive(Clone)]
pub struct Rotation {
    members: Rc<[Member]>,
}

struct Member {
    address: String,
    /// Whether the last health check succeeded.
    ready: Cell<bool>,
}

impl Rotation {
    /// Creates a rotation in which all instances count as ready until their first health check.
    pub fn new(addresses: &[String]) -> Self {
        let members = addresses
            .iter()
            .map(|address| Member { address: address.clone(), ready: Cell::new(true) });
        Self { members: members.collect() }
    }

    /// Returns the number of instances, ready or not.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether the rotation has no instances.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Returns the address of the first ready instance at or after `position` and sets `position`
    /// to that instance. If no instance is ready, returns the one at `position`.
    pub fn next(&self, position: &mut usize) -> &str {
        let len = self.members.len();
        let ready_position =
            (*position..*position + len).find(|position| self.members[position % len].ready.get());
        *position = ready_position.unwrap_or(*position);
        &self.members[*position % len].address
    }

    /// Checks the health of all instances repeatedly; never returns.
    pub async fn run_health_checks(self) {
        let client = Client::builder().timeout(HEALTH_CHECK_TIMEOUT).finish();
        loop {
            self.check_once(&client).await;
            tokio::time::sleep(HEALTH_CHECK_INTERVAL).await;
        }
    }

    /// Checks the health of each instance once.
    pub async fn check_once(&self, client: &Client) {
        for member in self.members.iter() {
            let url = format!("http://{}/ready", member.address);
            let response = client.get(url).send().await;
            let ready = response.is_ok_and(|response| response.status().is_success());
            member.ready.set(ready);
        }
    }
}

//! Which instances the balancer sends callers to: those whose health check says so.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use awc::Client;

/// Between two health checks of an instance.
const PERIOD: Duration = Duration::from_millis(250);
/// A health check that takes longer has failed.
const TIMEOUT: Duration = Duration::from_millis(500);

/// The instances in turn; clones share the state.
#[derive(Clone)]
pub struct Rotation {
    members: Rc<[Member]>,
}

struct Member {
    address: String,
    /// The last health check succeeded.
    ready: Cell<bool>,
}

impl Rotation {
    /// All instances, held ready until their first check.
    pub fn new(addresses: &[String]) -> Self {
        let members = addresses
            .iter()
            .map(|address| Member { address: address.clone(), ready: Cell::new(true) });
        Self { members: members.collect() }
    }

    /// Number of instances, ready or not.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether there is no instance at all.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Address of the next ready instance from `turn` on, which is moved to it; the one at `turn`
    /// itself when none is ready.
    pub fn next(&self, turn: &mut usize) -> &str {
        let len = self.members.len();
        let ready = (*turn..*turn + len).find(|turn| self.members[turn % len].ready.get());
        *turn = ready.unwrap_or(*turn);
        &self.members[*turn % len].address
    }

    /// Checks all instances for ever.
    pub async fn check(self) {
        let client = Client::builder().timeout(TIMEOUT).finish();
        loop {
            self.check_once(&client).await;
            tokio::time::sleep(PERIOD).await;
        }
    }

    /// Checks each instance once.
    pub async fn check_once(&self, client: &Client) {
        for member in self.members.iter() {
            let url = format!("http://{}/ready", member.address);
            let answer = client.get(url).send().await;
            let ready = answer.is_ok_and(|response| response.status().is_success());
            member.ready.set(ready);
        }
    }
}

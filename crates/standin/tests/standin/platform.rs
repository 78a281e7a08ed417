//! The platform: reads, watches, publications and modes.

use std::time::Duration;

use ladder_schema::publication::record::Body;
use ladder_schema::publication::{Instance, Kind, Page, Record, Tombstone};
use ladder_schema::standin::{Counts, Mode, Platform};
use ladder_standin::platform;
use ladder_standin::process::Process;

use crate::client::{Reply, address, attempt, eventually, get, post, run, started};

/// Readers that wait at once.
const WATCHES: u64 = 400;

struct Service {
    address: String,
    _process: Process,
}

impl Service {
    /// Publishes instances `a` and `b` at revisions 1 and 2.
    fn start() -> Self {
        started(|| {
            let address = address();
            let settings = Platform {
                address: address.clone(),
                records: vec![instance(0, "a"), instance(0, "b")],
            };
            let process = Process::start(move || platform::start(&settings))?;
            Ok(Self { address, _process: process })
        })
    }

    fn url(&self, path: &str) -> String {
        format!("{}{path}", self.address)
    }

    async fn read(&self, after: u64) -> Page {
        get(&self.url(&format!("/v1/records?after={after}"))).await.json()
    }

    async fn publish(&self, records: Vec<Record>) -> Reply {
        post(&self.url("/admin/publish"), &Page { head: 0, records, ..Page::default() }).await
    }

    async fn mode(&self, mode: Mode) {
        assert_eq!(post(&self.url("/admin/mode"), &mode).await.status, 200);
    }

    /// Watches for a minute in the background.
    fn watch(&self, after: u64) -> actix_rt::task::JoinHandle<Reply> {
        let url = self.url(&format!("/v1/records?after={after}&wait_ms=60000"));
        let client = awc::Client::builder().timeout(Duration::from_secs(100)).finish();
        actix_rt::spawn(async move { attempt(&client, "GET", &url, &()).await.expect("answered") })
    }

    async fn calls(&self) -> u64 {
        get(&self.url("/admin/counts")).await.json::<Counts>().calls
    }
}

fn instance(revision: u64, name: &str) -> Record {
    let instance = Instance { name: name.to_owned(), ..Instance::default() };
    Record { revision, body: Some(Body::Instance(instance)) }
}

fn tombstone(name: &str) -> Record {
    let tombstone = Tombstone { kind: Kind::Instance.into(), name: name.to_owned() };
    Record { revision: 0, body: Some(Body::Tombstone(tombstone)) }
}

fn revisions(page: &Page) -> Vec<u64> {
    page.records.iter().map(|record| record.revision).collect()
}

#[test]
fn a_read_gives_the_newest_record_of_each_key() {
    run(async {
        let service = Service::start();
        service.publish(vec![tombstone("a"), instance(9, "b")]).await;
        let page = service.read(0).await;
        assert_eq!(page.head, 9);
        assert_eq!(page.records, [Record { revision: 3, ..tombstone("a") }, instance(9, "b")]);
        assert_eq!(revisions(&service.read(3).await), [9]);
        assert!(service.read(9).await.records.is_empty());
        assert_eq!(service.calls().await, 3);
    });
}

/// Two operators read head 2 and both publish revision 3. The second would overwrite the first
/// without knowing; it is told so, and of its page nothing is in force.
#[test]
fn the_second_of_two_racing_operators_is_refused() {
    run(async {
        let service = Service::start();
        let first = service.publish(vec![instance(3, "first")]).await;
        assert_eq!((first.status, first.json::<Page>().head), (200, 3));
        assert_eq!(service.publish(vec![instance(3, "second")]).await.status, 409);
        let half_new = vec![instance(0, "c"), instance(3, "second")];
        assert_eq!(service.publish(half_new).await.status, 409);
        assert_eq!(revisions(&service.read(0).await), [1, 2, 3]);
        assert_eq!(service.publish(vec![Record::default()]).await.status, 400);
        assert_eq!(service.read(0).await.head, 3);
    });
}

/// Every instance of a fleet waits for news at once, each wait counting as one call, and a
/// publication reaches them all.
#[test]
fn watches_wait_for_a_publication() {
    run(async {
        let service = Service::start();
        let watches: Vec<_> = (0..WATCHES).map(|_| service.watch(2)).collect();
        eventually("the watches", async || service.calls().await == WATCHES).await;
        assert!(watches.iter().all(|watch| !watch.is_finished()));
        service.publish(vec![instance(0, "c")]).await;
        for watch in watches {
            let page: Page = watch.await.expect("no panic").json();
            assert_eq!((page.head, revisions(&page)), (3, vec![3]));
        }
        assert_eq!(service.calls().await, WATCHES);
    });
}

/// A replica of the platform lags for a long time. An operator's change is accepted, but readers
/// and watches see only what was published when the lag began, also its head.
#[test]
fn a_stale_platform_serves_what_was_published_before() {
    run(async {
        let service = Service::start();
        let stale = Mode { stale: true, ..Mode::default() };
        service.mode(stale).await;
        assert_eq!(service.publish(vec![instance(0, "c")]).await.json::<Page>().head, 3);
        service.mode(stale).await;
        let page = service.read(0).await;
        assert_eq!((page.head, revisions(&page)), (2, vec![1, 2]));

        let calls = service.calls().await;
        let watch = service.watch(2);
        eventually("the watch", async || service.calls().await == calls + 1).await;
        service.publish(vec![instance(0, "d")]).await;
        assert!(service.read(2).await.records.is_empty());
        assert!(!watch.is_finished(), "news must not pass");
        service.mode(Mode::default()).await;
        let page: Page = watch.await.expect("no panic").json();
        assert_eq!((page.head, revisions(&page)), (4, vec![3, 4]));
    });
}

/// The platform goes down while instances wait for news: they are told at once, and operators can
/// still end the outage.
#[test]
fn a_platform_that_is_down_answers_503() {
    run(async {
        let service = Service::start();
        let watch = service.watch(2);
        eventually("the watch", async || service.calls().await == 1).await;
        service.mode(Mode { down: true, ..Mode::default() }).await;
        assert_eq!(watch.await.expect("no panic").status, 503);
        assert_eq!(get(&service.url("/v1/records?after=0")).await.status, 503);
        service.mode(Mode::default()).await;
        assert_eq!(service.read(0).await.head, 2);
    });
}

#[test]
fn a_number_that_is_none_is_refused() {
    run(async {
        let service = Service::start();
        let reply = get(&service.url("/v1/records?after=x")).await;
        let text = b"after: \"x\" is not a number";
        assert_eq!((reply.status, reply.body.as_slice()), (400, &text[..]));
    });
}

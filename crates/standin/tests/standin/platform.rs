//! Tests of the platform stand-in: reads, watches, publications and failure modes.

use std::time::Duration;

use ladder_schema::publication::record::Body;
use ladder_schema::publication::{Instance, Kind, Page, Record, Tombstone};
use ladder_schema::standin::{Counts, Mode, Platform};
use ladder_standin::platform;
use ladder_standin::process::StandinThread;

use crate::client::{
    Reply, free_address, get, post, run_async, start_with_retries, try_request, wait_until,
};

/// Number of concurrent watches.
const WATCH_COUNT: u64 = 400;

/// Running platform stand-in.
struct TestPlatform {
    address: String,
    _process: StandinThread,
}

impl TestPlatform {
    /// Starts a platform that has published instances `a` and `b` at revisions 1 and 2.
    fn start() -> Self {
        start_with_retries(|| {
            let address = free_address();
            let settings = Platform {
                address: address.clone(),
                records: vec![instance(0, "a"), instance(0, "b")],
            };
            let process = StandinThread::start(move || platform::start(&settings))?;
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

    async fn set_mode(&self, mode: Mode) {
        assert_eq!(post(&self.url("/admin/mode"), &mode).await.status, 200);
    }

    /// Starts a watch that waits up to one minute, in a background task.
    fn watch(&self, after: u64) -> actix_rt::task::JoinHandle<Reply> {
        let url = self.url(&format!("/v1/records?after={after}&wait_ms=60000"));
        let client = awc::Client::builder().timeout(Duration::from_secs(100)).finish();
        actix_rt::spawn(
            async move { try_request(&client, "GET", &url, &()).await.expect("answered") },
        )
    }

    async fn calls(&self) -> u64 {
        get(&self.url("/admin/counts")).await.json::<Counts>().calls
    }
}

fn instance(revision: u64, name: &str) -> Record {
    let instance = Instance { name: name.to_owned(), ..Instance::default() };
    Record { revision, body: Some(Body::Instance(instance)), ..Record::default() }
}

fn tombstone(name: &str) -> Record {
    let tombstone = Tombstone { kind: Kind::Instance.into(), name: name.to_owned() };
    Record { revision: 0, body: Some(Body::Tombstone(tombstone)), ..Record::default() }
}

fn revisions(page: &Page) -> Vec<u64> {
    page.records.iter().map(|record| record.revision).collect()
}

#[test]
fn read_returns_newest_record_of_each_key() {
    run_async(async {
        let platform = TestPlatform::start();
        platform.publish(vec![tombstone("a"), instance(9, "b")]).await;
        let page = platform.read(0).await;
        assert_eq!(page.head, 9);
        assert_eq!(page.records, [Record { revision: 3, ..tombstone("a") }, instance(9, "b")]);
        assert_eq!(revisions(&platform.read(3).await), [9]);
        assert!(platform.read(9).await.records.is_empty());
        assert_eq!(platform.calls().await, 3);
    });
}

/// Two operators read head 2 and both publish revision 3. Without a check, the second would
/// overwrite the first unknowingly. It must get an error, and no record of its page may be
/// published.
#[test]
fn second_of_two_concurrent_publications_is_refused() {
    run_async(async {
        let platform = TestPlatform::start();
        let first = platform.publish(vec![instance(3, "first")]).await;
        assert_eq!((first.status, first.json::<Page>().head), (200, 3));
        assert_eq!(platform.publish(vec![instance(3, "second")]).await.status, 409);
        let partly_valid = vec![instance(0, "c"), instance(3, "second")];
        assert_eq!(platform.publish(partly_valid).await.status, 409);
        assert_eq!(revisions(&platform.read(0).await), [1, 2, 3]);
        assert_eq!(platform.publish(vec![Record::default()]).await.status, 400);
        assert_eq!(platform.read(0).await.head, 3);
    });
}

/// All instances of a fleet watch the platform concurrently. Each watch must count as one call, and
/// a publication must complete all of them.
#[test]
fn publication_completes_waiting_watches() {
    run_async(async {
        let platform = TestPlatform::start();
        let watches: Vec<_> = (0..WATCH_COUNT).map(|_| platform.watch(2)).collect();
        wait_until("the watches", async || platform.calls().await == WATCH_COUNT).await;
        assert!(watches.iter().all(|watch| !watch.is_finished()));
        platform.publish(vec![instance(0, "c")]).await;
        for watch in watches {
            let page: Page = watch.await.expect("no panic").json();
            assert_eq!((page.head, revisions(&page)), (3, vec![3]));
        }
        assert_eq!(platform.calls().await, WATCH_COUNT);
    });
}

/// In stale mode, as when a replica of the platform lags, publications are accepted, but reads and
/// watches must return only the records and the head from the time when the mode was set.
#[test]
fn stale_platform_serves_records_published_before() {
    run_async(async {
        let platform = TestPlatform::start();
        let stale = Mode { stale: true, ..Mode::default() };
        platform.set_mode(stale).await;
        assert_eq!(platform.publish(vec![instance(0, "c")]).await.json::<Page>().head, 3);
        platform.set_mode(stale).await;
        let page = platform.read(0).await;
        assert_eq!((page.head, revisions(&page)), (2, vec![1, 2]));

        let calls = platform.calls().await;
        let watch = platform.watch(2);
        wait_until("the watch", async || platform.calls().await == calls + 1).await;
        platform.publish(vec![instance(0, "d")]).await;
        assert!(platform.read(2).await.records.is_empty());
        assert!(!watch.is_finished(), "news must not pass");
        platform.set_mode(Mode::default()).await;
        let page: Page = watch.await.expect("no panic").json();
        assert_eq!((page.head, revisions(&page)), (4, vec![3, 4]));
    });
}

/// When the platform becomes unavailable, waiting watches must fail at once, and operators must
/// still be able to end the outage.
#[test]
fn unavailable_platform_answers_503() {
    run_async(async {
        let platform = TestPlatform::start();
        let watch = platform.watch(2);
        wait_until("the watch", async || platform.calls().await == 1).await;
        platform.set_mode(Mode { down: true, ..Mode::default() }).await;
        assert_eq!(watch.await.expect("no panic").status, 503);
        assert_eq!(get(&platform.url("/v1/records?after=0")).await.status, 503);
        platform.set_mode(Mode::default()).await;
        assert_eq!(platform.read(0).await.head, 2);
    });
}

#[test]
fn non_numeric_parameter_is_refused() {
    run_async(async {
        let platform = TestPlatform::start();
        let reply = get(&platform.url("/v1/records?after=x")).await;
        let text = b"after: \"x\" is not a number";
        assert_eq!((reply.status, reply.body.as_slice()), (400, &text[..]));
    });
}

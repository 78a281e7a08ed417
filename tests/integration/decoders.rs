//! Property tests of the decoders: no input from outside crashes a process, and a refused request
//! has not run.

use std::sync::Arc;

use bytes::Bytes;
use ladder_core::control::settings::Settings;
use ladder_core::fingerprint::Fingerprint;
use ladder_core::time::Instant;
use ladder_core::view::Peer;
use ladder_core::{control, gather, leaf};
use ladder_schema::outcome::{Reason, Verdict};
use ladder_schema::publication::Page;
use ladder_schema::wire::Frame;
use ladder_schema::{bounds, check};
use prost::Message;
use sycamoreladder::entry::native;
use sycamoreladder::link::inbound;
use sycamoreladder::options::file;

const INPUTS_PER_PROPERTY: usize = 20_000;
const FLEET: &str = "porto";

#[test]
fn any_text_is_settings_or_a_clear_error() {
    ladder_property::check(INPUTS_PER_PROPERTY).for_each(|bytes: &[u8]| {
        if let Err(error) = file::parse(&String::from_utf8_lossy(bytes)) {
            assert!(error.to_string().len() > 10);
        }
    });
}

#[test]
fn any_body_is_a_request_or_is_refused_as_not_run() {
    ladder_property::check(INPUTS_PER_PROPERTY).for_each(|bytes: &[u8]| {
        if let Err(answer) = native::decode(Ok(Bytes::copy_from_slice(bytes))) {
            assert_eq!(answer.verdict(), Verdict::NotRun);
            assert_eq!(answer.reason(), Reason::Malformed);
            assert!(!answer.detail.is_empty());
        }
    });
}

#[test]
fn any_response_of_a_target_has_an_outcome() {
    ladder_property::check(INPUTS_PER_PROPERTY).with_type::<(u16, Vec<u8>)>().for_each(
        |(code, body)| {
            if let Ok(status) = awc::http::StatusCode::from_u16(*code) {
                let outcome = native::outcome(status, body, "a1");
                assert_ne!(
                    outcome,
                    leaf::event::Outcome::Unsent,
                    "the request was written, so its outcome is not Unsent"
                );
            }
        },
    );
}

#[test]
fn records_of_any_page_can_be_checked() {
    ladder_property::check(INPUTS_PER_PROPERTY).for_each(|bytes: &[u8]| {
        for record in Page::decode(bytes).unwrap_or_default().records {
            let _ = check::record(&record);
        }
    });
}

/// JSON of a page with a record of an odd server between two valid ones.
fn page_with(odd: &str) -> String {
    let server = |name: &str, revision: u32| {
        format!(
            r#"{{"revision":"{revision}","server":{{"name":"{name}","service":"s","zone":"z",
            "address":"10.0.0.1:80","incarnation":"1","state":"STATE_LIVE","slots":2,
            "connections":4}}}}"#
        )
    };
    let (first, last) = (server("i-1", 7), server("i-3", 9));
    format!(r#"{{"head":"9","current":true,"records":[{first},{odd},{last}]}}"#)
}

/// Guards against one unreadable record that keeps all later changes of the platform out: its page
/// was refused as a whole, and read again for ever.
#[test]
fn unreadable_record_leaves_the_others_of_its_page() {
    let nested = |depth: usize| format!("{}1{}", "[".repeat(depth), "]".repeat(depth));
    let cases = [
        ("deeply nested", format!(r#"{{"revision":"8","server":{}}}"#, nested(100_000))),
        ("deep unknown field", format!(r#"{{"revision":"8","odd":{}}}"#, nested(100_000))),
        ("too large", r#"{"revision":"8","server":{"name":"i-2","slots":1e400}}"#.to_owned()),
        ("beyond its type", r#"{"revision":8,"server":{"slots":99999999999999}}"#.to_owned()),
        ("port", r#"{"revision":"8","server":{"name":"i-2","address":"10.0.0.2:70000"}}"#.into()),
        ("another type", r#"{"revision":"8","server":"i-2"}"#.to_owned()),
        ("no object", "17".to_owned()),
        ("revision", r#"{"revision":"1e99","server":{"name":"i-2"}}"#.to_owned()),
    ];
    for (name, odd) in cases {
        let page = native::decode_page(page_with(&odd).as_bytes());
        let page = page.unwrap_or_else(|error| panic!("{name}: {error}"));
        assert_eq!((page.head, page.current, page.records.len()), (9, true, 3), "{name}");
        let valid = page.records.iter().map(|record| check::record(record).is_ok());
        assert_eq!(valid.collect::<Vec<_>>(), [true, false, true], "{name}");
    }
}

/// Valid frame of this fleet that uses the message kinds a peer can send.
fn sample_frame() -> Frame {
    use ladder_schema::call::Part;
    use ladder_schema::wire::{
        Cancel, Crash, Digest, Incarnation, Portion, Probe, Quarantine, Reply,
    };
    use ladder_schema::wire::{Rumour, Work};
    let request = Fingerprint(7).bytes();
    let portion = Portion {
        service: "s".into(),
        shards: vec!["a".into(), "b".into()],
        repeated: false,
        eligible: None,
    };
    let part = Part { shard: "a".into(), body: "x".into(), response: None };
    Frame {
        protocol: bounds::PROTOCOL,
        fleet: FLEET.into(),
        from: "porto-2".into(),
        incarnation: 7,
        address: "127.0.0.1:9".into(),
        zone: "campanha".into(),
        work: vec![Work { query: 1, budget_us: 9, portions: vec![portion], ..Work::default() }],
        replies: vec![Reply { query: 1, parts: vec![part], ..Reply::default() }],
        cancels: vec![Cancel { query: 1, incarnation: 7 }],
        probes: vec![Probe { number: 3 }],
        acknowledgements: vec![Probe { number: 4 }],
        rumours: vec![Rumour { name: "porto-3".into(), generation: 2, ..Rumour::default() }],
        digest: Some(Digest {
            buckets: vec![1; 64],
            whole: 1,
            quarantine: 1,
            contents: vec![1; 64],
            whole_contents: 1,
            revision: 41,
            era: 1,
        }),
        wanted: vec![0, 63, 64, u32::MAX],
        crashes: vec![Crash {
            server: "i-1".into(),
            requests: vec![request.clone().into()],
            ..Crash::default()
        }],
        quarantines: vec![Quarantine {
            request: request.into(),
            incarnations: vec![Incarnation::default()],
            ..Quarantine::default()
        }],
        sent_us: 5,
        ..Frame::default()
    }
}

/// Guards against a faulty or foreign peer crashing an instance. A frame is damaged in transit or
/// comes from another program. Each frame must either be refused with a reason, or be handled by
/// all three state machines without a panic.
#[test]
fn damaged_frames_are_refused_or_harmless() {
    let valid_bytes = sample_frame().encode_to_vec();
    let property = ladder_property::check(4 * INPUTS_PER_PROPERTY).with_type::<Vec<(u16, u8)>>();
    property.for_each(|changes| {
        let mut bytes = valid_bytes.clone();
        for (position, value) in changes {
            let position = usize::from(*position) % bytes.len();
            bytes[position] = *value;
        }
        match inbound::decode(&bytes, FLEET) {
            Ok(frame) => handle_in_all_machines(frame),
            Err(reason) => assert_ne!(reason, Reason::Unspecified),
        }
    });
}

/// Passes the parts of a frame to new dispatch, gather and control machines.
fn handle_in_all_machines(frame: Frame) {
    let now = Instant::from_millis(10);
    let from = Peer { name: frame.from.as_str().into(), address: frame.address.as_str().into() };
    let mut leaf = leaf::Machine::new(leaf::Settings::builder("porto-1", 1).build());
    for work in frame.work.clone() {
        let event = leaf::Event::Work { from: from.clone(), incarnation: frame.incarnation, work };
        leaf.handle(now, event, &mut Vec::new());
    }
    let mut gather = gather::Machine::new(gather::Settings::builder("porto-1", 1).build());
    let replies =
        gather::Event::Replies { from: Arc::clone(&from.name), replies: frame.replies.clone() };
    gather.handle(now, replies, &mut Vec::new());
    let settings = Settings::builder("porto-1", "127.0.0.1:1").fleet(FLEET).build();
    let mut control = control::Machine::new(settings, now);
    control.handle(now, control::Event::Frame(Box::new(frame)), &mut Vec::new());
}

/// Change that makes a valid frame unacceptable, and the reason with which the frame is refused.
struct RejectedFrame(fn(&mut Frame), Reason);

#[test]
fn foreign_frames_are_refused_with_a_reason() {
    let cases = [
        RejectedFrame(|frame| frame.fleet = "bagmati".into(), Reason::ForeignFleet),
        RejectedFrame(|frame| frame.protocol += 1, Reason::WrongProtocol),
        RejectedFrame(|frame| frame.from.clear(), Reason::PeerMalformed),
        RejectedFrame(|frame| frame.zone = "z".repeat(bounds::FRAME_BYTES), Reason::TooLarge),
    ];
    for RejectedFrame(change, reason) in cases {
        let mut frame = sample_frame();
        change(&mut frame);
        assert_eq!(inbound::decode(&frame.encode_to_vec(), FLEET).err(), Some(reason));
    }
}

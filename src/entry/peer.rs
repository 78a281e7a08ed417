//! Hands the parts of peers' frames to the machines.

use std::sync::{Arc, RwLock};

use ladder_core::collections::Map;
use ladder_core::view::Peer;
use ladder_core::{control, gather, leaf};
use ladder_schema::wire::Frame;
use nng::Socket;

use super::Shared;
use crate::driver::Handle;
use crate::link::Inbound;
use crate::link::outbound::OnDown;

/// Names of peers by address, as their frames give them.
#[derive(Clone, Debug, Default)]
pub struct Names(Arc<RwLock<Map<String, Arc<str>>>>);

impl Names {
    /// Remembers the sender of a frame.
    fn learn(&self, address: &str, name: &str) {
        let known = self.get(address).is_some_and(|known| &*known == name);
        if !known && let Ok(mut names) = self.0.write() {
            names.insert(address.to_owned(), Arc::from(name));
        }
    }

    /// The name of the peer at `address`.
    fn get(&self, address: &str) -> Option<Arc<str>> {
        self.0.read().ok()?.get(address).cloned()
    }
}

/// Tells the machines of a broken connection to a peer that was heard before.
pub fn on_down(
    names: Names,
    control: Handle<control::Machine>,
    gather: Handle<gather::Machine>,
) -> OnDown {
    Arc::new(move |address| {
        if let Some(name) = names.get(address) {
            control.tell(control::Event::LinkDown(Arc::clone(&name)));
            gather.tell(gather::Event::LinkDown(name));
        }
    })
}

/// Receives frames until the socket is closed.
pub fn run(shared: &Shared, names: &Names, socket: &Socket) {
    let inbound = Inbound {
        fleet: shared.options.instance.fleet.clone(),
        clock: shared.clock,
        metrics: shared.metrics.clone(),
        cut: shared.cut.clone(),
        log: shared.log.clone(),
    };
    inbound.run(socket, |frame| {
        names.learn(&frame.address, &frame.from);
        shared.outbound.heard(&frame.address);
        deliver(shared, frame);
    });
}

/// Splits a frame between the machines.
fn deliver(shared: &Shared, mut frame: Frame) {
    let from =
        Peer { name: Arc::from(frame.from.as_str()), address: Arc::from(frame.address.as_str()) };
    let incarnation = frame.incarnation;
    for work in frame.work.drain(..) {
        let from = from.clone();
        shared.leaf.tell(leaf::Event::Work { from, incarnation, work });
    }
    for cancel in frame.cancels.drain(..) {
        shared.leaf.tell(leaf::Event::Cancel { from: Arc::clone(&from.name), cancel });
    }
    // Before the replies: by the time that these are taken, what they lack would count as lost.
    for pending in frame.pending.drain(..) {
        shared.gather.tell(gather::Event::Pending { from: Arc::clone(&from.name), pending });
    }
    if !frame.replies.is_empty() {
        let replies = std::mem::take(&mut frame.replies);
        shared.gather.tell(gather::Event::Replies { from: Arc::clone(&from.name), replies });
    }
    shared.control.tell(control::Event::Frame(Box::new(frame)));
}

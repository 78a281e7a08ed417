//! Passes the contents of peers' frames to the three machines.

use std::sync::{Arc, RwLock};

use ladder_core::collections::Map;
use ladder_core::view::Peer;
use ladder_core::{control, gather, leaf};
use ladder_schema::wire::Frame;
use nng::Socket;

use super::Shared;
use crate::driver::Handle;
use crate::link::Inbound;
use crate::link::outbound::OnDisconnect;

/// Names of peers by peer address, as given in their frames.
#[derive(Clone, Debug, Default)]
pub struct PeerNames(Arc<RwLock<Map<String, Arc<str>>>>);

impl PeerNames {
    /// Stores the name and address of the sender of a frame.
    fn remember(&self, address: &str, name: &str) {
        let known = self.get(address).is_some_and(|known| &*known == name);
        if !known && let Ok(mut names) = self.0.write() {
            names.insert(address.to_owned(), Arc::from(name));
        }
    }

    /// Returns the name of the peer at `address`.
    fn get(&self, address: &str) -> Option<Arc<str>> {
        self.0.read().ok()?.get(address).cloned()
    }
}

/// Returns a callback that reports a broken connection to the control and the gathering machine,
/// provided that a frame from the peer was received before.
pub fn on_disconnect(
    names: PeerNames,
    control: Handle<control::Machine>,
    gather: Handle<gather::Machine>,
) -> OnDisconnect {
    Arc::new(move |address| {
        if let Some(name) = names.get(address) {
            control.send(control::Event::LinkDown(Arc::clone(&name)));
            gather.send(gather::Event::LinkDown(name));
        }
    })
}

/// Receives frames until the peer socket is closed.
pub fn run(shared: &Shared, names: &PeerNames, socket: &Socket) {
    let inbound = Inbound {
        fleet: shared.options.instance.fleet.clone(),
        clock: shared.clock,
        metrics: shared.metrics.clone(),
        cut: shared.cut.clone(),
        log: shared.log.clone(),
    };
    inbound.run(socket, |frame| {
        names.remember(&frame.address, &frame.from);
        if shared.outbound.receive(&frame) {
            deliver(shared, frame);
        }
    });
}

/// Passes each part of a frame to the machine that handles it.
fn deliver(shared: &Shared, mut frame: Frame) {
    let from =
        Peer { name: Arc::from(frame.from.as_str()), address: Arc::from(frame.address.as_str()) };
    let incarnation = frame.incarnation;
    for work in frame.work.drain(..) {
        let from = from.clone();
        shared.leaf.send(leaf::Event::Work { from, incarnation, work });
    }
    for cancel in frame.cancels.drain(..) {
        shared.leaf.send(leaf::Event::Cancel { from: Arc::clone(&from.name), cancel });
    }
    // Pending notices go before the replies: once the gathering machine has processed the replies,
    // it would count the portions that they lack as lost.
    for pending in frame.pending.drain(..) {
        shared.gather.send(gather::Event::Pending { from: Arc::clone(&from.name), pending });
    }
    if !frame.replies.is_empty() {
        let replies = std::mem::take(&mut frame.replies);
        shared.gather.send(gather::Event::Replies { from: Arc::clone(&from.name), replies });
    }
    deliver_reservations(shared, &from, &mut frame);
    shared.control.send(control::Event::Frame(Box::new(frame)));
}

/// Passes the requests for reservations and the replies to them to the gathering machine.
fn deliver_reservations(shared: &Shared, from: &Peer, frame: &mut Frame) {
    if !frame.reservation_requests.is_empty() {
        let requests = std::mem::take(&mut frame.reservation_requests);
        let (from, incarnation) = (from.clone(), frame.incarnation);
        shared.gather.send(gather::Event::ReservationRequests { from, incarnation, requests });
    }
    if !frame.reservation_replies.is_empty() {
        let replies = std::mem::take(&mut frame.reservation_replies);
        let from = Arc::clone(&from.name);
        shared.gather.send(gather::Event::ReservationReplies { from, replies });
    }
}

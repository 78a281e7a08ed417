//! Search for free TCP ports.

use std::net::{IpAddr, SocketAddr, TcpListener};

use crate::settings::Error;

/// Finds free TCP ports. Each port stays reserved by a listener until this value is dropped, so
/// that no port is returned twice.
pub(super) struct Ports {
    address: IpAddr,
    reserved: Vec<TcpListener>,
}

impl Ports {
    pub(super) fn new(address: IpAddr) -> Self {
        Self { address, reserved: Vec::new() }
    }

    /// Reserves a free port and returns its IP address and port.
    pub(super) fn reserve(&mut self) -> Result<String, Error> {
        let bound = TcpListener::bind(SocketAddr::new(self.address, 0))
            .and_then(|listener| Ok((listener.local_addr()?, listener)));
        let (address, listener) =
            bound.map_err(|cause| Error::Port { address: self.address.to_string(), cause })?;
        self.reserved.push(listener);
        Ok(address.to_string())
    }
}

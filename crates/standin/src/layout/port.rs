//! Free ports.

use std::net::{IpAddr, SocketAddr, TcpListener};

use crate::settings::Error;

/// Finds free ports and holds them until it is dropped, so that none is found twice.
pub(super) struct Ports {
    address: IpAddr,
    held: Vec<TcpListener>,
}

impl Ports {
    pub(super) fn new(address: IpAddr) -> Self {
        Self { address, held: Vec::new() }
    }

    /// IP number and port of the next free port.
    pub(super) fn next(&mut self) -> Result<String, Error> {
        let found = TcpListener::bind(SocketAddr::new(self.address, 0))
            .and_then(|listener| Ok((listener.local_addr()?, listener)));
        let (address, listener) =
            found.map_err(|cause| Error::Port { address: self.address.to_string(), cause })?;
        self.held.push(listener);
        Ok(address.to_string())
    }
}

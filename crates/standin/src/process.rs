//! A stand-in on a thread of its own, for tests that need no separate process.

use std::sync::mpsc;
use std::thread::{self, JoinHandle};

use actix_server::{Server, ServerHandle};

use crate::settings::Error;

/// A stand-in that serves until it is dropped.
pub struct Process {
    handle: ServerHandle,
    thread: Option<JoinHandle<()>>,
}

impl Process {
    /// Starts what `start` makes; when this returns, its ports are open.
    ///
    /// # Errors
    ///
    /// Whatever `start` gives.
    pub fn start<F>(start: F) -> Result<Self, Error>
    where
        F: FnOnce() -> Result<Server, Error> + Send + 'static,
    {
        let (sender, receiver) = mpsc::channel();
        let thread = thread::spawn(move || serve(start, &sender));
        let handle = receiver
            .recv()
            .unwrap_or_else(|_| Err(Error::field("thread", "ended before it served")))?;
        Ok(Self { handle, thread: Some(thread) })
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // The command is sent by the call itself; the future only waits for its completion, as
        // does the join below.
        drop(self.handle.stop(false));
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn serve<F>(start: F, started: &mpsc::Sender<Result<ServerHandle, Error>>)
where
    F: FnOnce() -> Result<Server, Error>,
{
    actix_rt::System::new().block_on(async move {
        match start() {
            Ok(server) => {
                let _ = started.send(Ok(server.handle()));
                let _ = server.await;
            }
            Err(error) => {
                let _ = started.send(Err(error));
            }
        }
    });
}

//! Runs a stand-in on its own thread, for tests that need no separate process.

use std::sync::mpsc;
use std::thread::{self, JoinHandle};

use actix_server::{Server, ServerHandle};

use crate::settings::Error;

/// Stand-in that runs on its own thread and stops when this value is dropped.
pub struct StandinThread {
    handle: ServerHandle,
    thread: Option<JoinHandle<()>>,
}

impl StandinThread {
    /// Starts the server that `start` creates. Its ports are open when this function returns.
    ///
    /// # Errors
    ///
    /// The error that `start` returns, and [`Error::Field`] when the thread terminates before the
    /// server runs.
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

impl Drop for StandinThread {
    fn drop(&mut self) {
        // `stop` sends the stop command when it is called. Its future, which is dropped here, would
        // only wait for completion, and so does the join below.
        drop(self.handle.stop(false));
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn serve<F>(start: F, result_sender: &mpsc::Sender<Result<ServerHandle, Error>>)
where
    F: FnOnce() -> Result<Server, Error>,
{
    actix_rt::System::new().block_on(async move {
        match start() {
            Ok(server) => {
                let _ = result_sender.send(Ok(server.handle()));
                let _ = server.await;
            }
            Err(error) => {
                let _ = result_sender.send(Err(error));
            }
        }
    });
}

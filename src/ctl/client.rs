//! Asks instances over their operators' HTTP.

use std::io::{self, Write};
use std::time::Duration;

use awc::Client;
use awc::error::SendRequestError;
use ladder_core::fingerprint::Fingerprint;
use ladder_schema::status;
use serde::de::DeserializeOwned;

use super::print;

/// How long an instance may take to answer.
const PATIENCE: Duration = Duration::from_secs(5);
/// Bytes of one answer.
const ANSWER_BYTES: usize = 64 * 1024 * 1024;

/// Why a command failed.
#[derive(Debug)]
#[derive(displaydoc::Display)]
pub enum Error {
    /// {instance} does not answer: {error}
    Silent {
        /// Its operators' address.
        instance: String,
        /// What the client says.
        error: SendRequestError,
    },
    /// {instance} refuses: {detail}
    Refused {
        /// Its operators' address.
        instance: String,
        /// What it says.
        detail: String,
    },
    /// {instance} sent what is no answer: {detail}
    Garbled {
        /// Its operators' address.
        instance: String,
        /// What is wrong.
        detail: String,
    },
    /// {0}
    Check(super::check::Error),
    /// {0}
    Story(super::story::Error),
}

impl std::error::Error for Error {}

/// Prints the status of each instance.
///
/// # Errors
///
/// The first instance that does not answer; the others are printed all the same.
pub fn status(instances: &[String]) -> Result<(), Error> {
    each(instances, "status", print::status)
}

/// Prints the owners of all services, or of one.
///
/// # Errors
///
/// As [`status`].
pub fn owners(service: Option<&str>, instances: &[String]) -> Result<(), Error> {
    each(instances, "status", |instance, answer| print::owners(instance, service, answer))
}

/// Prints what happened to the requests of `key`.
///
/// # Errors
///
/// As [`status`].
pub fn explain(key: &str, instances: &[String]) -> Result<(), Error> {
    each(instances, &format!("explain?key={key}"), print::explanation)
}

/// Prints the requests that each instance refuses because servers ended under them; releases one first.
///
/// # Errors
///
/// As [`status`].
pub fn quarantine(release: Option<Fingerprint>, instances: &[String]) -> Result<(), Error> {
    if let (Some(request), Some(instance)) = (release, instances.first()) {
        actix_rt::System::new().block_on(async {
            let path = format!("release?request={request}");
            post(instance, &path, &status::Cut::default()).await?;
            say(&format!("{instance}: released {request}"));
            Ok(())
        })?;
    }
    each(instances, "status", print::quarantine)
}

/// Stops an instance gracefully.
///
/// # Errors
///
/// When it does not answer.
pub fn drain(instance: &str) -> Result<(), Error> {
    actix_rt::System::new().block_on(async {
        post(instance, "drain", &status::Cut::default()).await?;
        say(&format!("{instance}: draining"));
        Ok(())
    })
}

/// Cuts an instance off from `peers`.
///
/// # Errors
///
/// When it does not answer or its settings forbid it.
pub fn cut(instance: &str, peers: Vec<String>) -> Result<(), Error> {
    actix_rt::System::new().block_on(async {
        let count = peers.len();
        post(instance, "cut", &status::Cut { addresses: peers }).await?;
        say(&format!("{instance}: cut off from {count} peers"));
        Ok(())
    })
}

/// Asks each instance and prints its answer; gives the first error at the end.
fn each<T, F>(instances: &[String], path: &str, mut print: F) -> Result<(), Error>
where
    T: DeserializeOwned,
    F: FnMut(&str, &T) -> String,
{
    actix_rt::System::new().block_on(async {
        let mut first = Ok(());
        for instance in instances {
            match get::<T>(instance, path).await {
                Ok(answer) => say(&print(instance, &answer)),
                Err(error) => {
                    say(&error.to_string());
                    first = first.and(Err(error));
                }
            }
        }
        first
    })
}

/// Writes a line to standard output; a reader that has seen enough is no failure.
pub(super) fn say(line: &str) {
    let _ = writeln!(io::stdout(), "{line}");
}

/// One GET with a JSON answer.
///
/// # Errors
///
/// [`Error`] when there is no such answer.
pub async fn get<T: DeserializeOwned>(instance: &str, path: &str) -> Result<T, Error> {
    let url = format!("http://{instance}/{path}");
    let silent = |error| Error::Silent { instance: instance.to_owned(), error };
    let garbled = |detail: String| Error::Garbled { instance: instance.to_owned(), detail };
    let mut response = Client::new().get(url).timeout(PATIENCE).send().await.map_err(silent)?;
    let body =
        response.body().limit(ANSWER_BYTES).await.map_err(|error| garbled(error.to_string()))?;
    if !response.status().is_success() {
        let detail = String::from_utf8_lossy(&body).trim().to_owned();
        return Err(Error::Refused { instance: instance.to_owned(), detail });
    }
    serde_json::from_slice(&body).map_err(|error| garbled(error.to_string()))
}

/// One POST of a JSON body.
async fn post(instance: &str, path: &str, body: &status::Cut) -> Result<(), Error> {
    let url = format!("http://{instance}/{path}");
    let silent = |error| Error::Silent { instance: instance.to_owned(), error };
    let request = Client::new().post(url).timeout(PATIENCE);
    let mut response = request.send_json(body).await.map_err(silent)?;
    if response.status().is_success() {
        return Ok(());
    }
    let body = response.body().await.unwrap_or_default();
    let detail = String::from_utf8_lossy(&body).trim().to_owned();
    Err(Error::Refused { instance: instance.to_owned(), detail })
}

//! Queries and controls instances over their operators' HTTP interface.

use std::io::{self, Write};
use std::time::Duration;

use awc::Client;
use awc::error::SendRequestError;
use ladder_core::fingerprint::Fingerprint;
use ladder_schema::status;
use serde::de::DeserializeOwned;

use super::print;

/// Longest time that an instance may take to answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);
/// Largest accepted answer of an instance, in bytes.
const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;

/// Errors of a command.
#[derive(Debug)]
#[derive(displaydoc::Display)]
pub enum Error {
    /// {instance} does not answer: {error}
    NoAnswer {
        /// Admin address of the instance.
        instance: String,
        /// Error of the HTTP client.
        error: SendRequestError,
    },
    /// {instance} refused the request: {detail}
    Refused {
        /// Admin address of the instance.
        instance: String,
        /// Text of the instance's response.
        detail: String,
    },
    /// {instance} sent an invalid answer: {detail}
    InvalidAnswer {
        /// Admin address of the instance.
        instance: String,
        /// Description of the invalid response.
        detail: String,
    },
    /// {0}
    Check(super::check::Error),
    /// {0}
    Story(super::request_log::Error),
}

impl std::error::Error for Error {}

/// Prints the status of each instance.
///
/// # Errors
///
/// The error of the first instance that does not answer; the answers of the others are printed
/// nevertheless.
pub fn status(instances: &[String]) -> Result<(), Error> {
    query_each(instances, "status", print::status)
}

/// Prints the owners of all services, or of `service` only.
///
/// # Errors
///
/// The error of the first instance that does not answer, as in [`status()`].
pub fn owners(service: Option<&str>, instances: &[String]) -> Result<(), Error> {
    query_each(instances, "status", |instance, answer| print::owners(instance, service, answer))
}

/// Prints what happened to the requests with the request key `key`.
///
/// # Errors
///
/// The error of the first instance that does not answer, as in [`status()`].
pub fn explain(key: &str, instances: &[String]) -> Result<(), Error> {
    query_each(instances, &format!("explain?key={key}"), print::explanation)
}

/// Prints the requests that each instance keeps in quarantine because server processes crashed
/// during them. If `release` is given, that request is released first, through the first instance.
///
/// # Errors
///
/// The error of the first instance that does not answer, as in [`status()`].
pub fn quarantine(release: Option<Fingerprint>, instances: &[String]) -> Result<(), Error> {
    if let (Some(request), Some(instance)) = (release, instances.first()) {
        actix_rt::System::new().block_on(async {
            let path = format!("release?request={request}");
            post(instance, &path, &status::Cut::default()).await?;
            print_line(&format!("{instance}: released {request}"));
            Ok(())
        })?;
    }
    query_each(instances, "status", print::quarantine)
}

/// Stops an instance gracefully.
///
/// # Errors
///
/// [`Error`] if the instance does not answer.
pub fn drain(instance: &str) -> Result<(), Error> {
    actix_rt::System::new().block_on(async {
        post(instance, "drain", &status::Cut::default()).await?;
        print_line(&format!("{instance}: draining"));
        Ok(())
    })
}

/// Cuts an instance off from the peers at `peers`.
///
/// # Errors
///
/// [`Error`] if the instance does not answer or its settings forbid fault injection.
pub fn cut(instance: &str, peers: Vec<String>) -> Result<(), Error> {
    actix_rt::System::new().block_on(async {
        let count = peers.len();
        post(instance, "cut", &status::Cut { addresses: peers }).await?;
        print_line(&format!("{instance}: cut off from {count} peers"));
        Ok(())
    })
}

/// Queries each instance and prints its answer; returns the first error after all instances were
/// queried.
fn query_each<T, F>(instances: &[String], path: &str, mut print: F) -> Result<(), Error>
where
    T: DeserializeOwned,
    F: FnMut(&str, &T) -> String,
{
    actix_rt::System::new().block_on(async {
        let mut result = Ok(());
        for instance in instances {
            match get::<T>(instance, path).await {
                Ok(answer) => print_line(&print(instance, &answer)),
                Err(error) => {
                    print_line(&error.to_string());
                    result = result.and(Err(error));
                }
            }
        }
        result
    })
}

/// Writes a line to standard output. Errors are ignored, since a reader such as `head` may close
/// the pipe early.
pub(super) fn print_line(line: &str) {
    let _ = writeln!(io::stdout(), "{line}");
}

/// Sends a GET request to the path `path` of an instance and decodes its JSON answer.
///
/// # Errors
///
/// [`Error`] if the instance does not answer, refuses the request or sends an invalid answer.
pub async fn get<T: DeserializeOwned>(instance: &str, path: &str) -> Result<T, Error> {
    let url = format!("http://{instance}/{path}");
    let no_answer = |error| Error::NoAnswer { instance: instance.to_owned(), error };
    let invalid_answer =
        |detail: String| Error::InvalidAnswer { instance: instance.to_owned(), detail };
    let mut response =
        Client::new().get(url).timeout(ANSWER_TIMEOUT).send().await.map_err(no_answer)?;
    let body = response
        .body()
        .limit(MAX_ANSWER_BYTES)
        .await
        .map_err(|error| invalid_answer(error.to_string()))?;
    if !response.status().is_success() {
        let detail = String::from_utf8_lossy(&body).trim().to_owned();
        return Err(Error::Refused { instance: instance.to_owned(), detail });
    }
    serde_json::from_slice(&body).map_err(|error| invalid_answer(error.to_string()))
}

/// Sends a POST request with a JSON body to the path `path` of an instance.
async fn post(instance: &str, path: &str, body: &status::Cut) -> Result<(), Error> {
    let url = format!("http://{instance}/{path}");
    let no_answer = |error| Error::NoAnswer { instance: instance.to_owned(), error };
    let request = Client::new().post(url).timeout(ANSWER_TIMEOUT);
    let mut response = request.send_json(body).await.map_err(no_answer)?;
    if response.status().is_success() {
        return Ok(());
    }
    let body = response.body().await.unwrap_or_default();
    let detail = String::from_utf8_lossy(&body).trim().to_owned();
    Err(Error::Refused { instance: instance.to_owned(), detail })
}

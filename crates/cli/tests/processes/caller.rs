//! Callers that submit jobs to the entries.

use parsleyspool_wire::caller::{AnswerBody, ErrorBody, SubmitBody, TaskBody};
use std::net::SocketAddr;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Response to a submission, or the loss of its connection.
#[derive(Debug)]
pub struct CallerReply {
    pub took: Duration,
    status: Option<u16>,
    body: Vec<u8>,
}

impl CallerReply {
    pub fn is_complete(&self) -> bool {
        self.answer().is_some()
    }

    /// Answer of a complete job.
    pub fn answer(&self) -> Option<AnswerBody> {
        serde_json::from_slice(&self.body).ok().filter(|_| self.status == Some(200))
    }

    /// Error kind of a refused or failed job.
    pub fn kind(&self) -> Option<String> {
        serde_json::from_slice::<ErrorBody>(&self.body).ok().map(|body| body.kind)
    }

    /// Whether the connection broke before the response was complete.
    pub fn is_connection_lost(&self) -> bool {
        self.status.is_none()
    }

    /// Error body of a refused or failed job.
    pub fn error(&self) -> Option<ErrorBody> {
        serde_json::from_slice(&self.body).ok()
    }
}

/// Bodies of the replies that are not complete, for assertion messages.
pub fn incomplete_replies(replies: &[CallerReply]) -> Vec<String> {
    let incomplete_replies = replies.iter().filter(|reply| !reply.is_complete());
    incomplete_replies.map(|reply| String::from_utf8_lossy(&reply.body).into_owned()).collect()
}

/// Submits a job and waits for its answer.
pub async fn submit(client: reqwest::Client, callers: SocketAddr, job: SubmitBody) -> CallerReply {
    let started = Instant::now();
    let request = client.post(format!("http://{callers}/v1/jobs")).json(&job);
    let (status, body) = match request.send().await {
        Ok(response) => {
            let status = response.status().as_u16();
            match response.bytes().await {
                Ok(body) => (Some(status), body.to_vec()),
                Err(_) => (None, Vec::new()),
            }
        }
        Err(_) => (None, Vec::new()),
    };
    CallerReply { took: started.elapsed(), status, body }
}

/// Job that is created now and has a task of `request` for each payload.
pub fn job_of(request: &str, name: &str, payloads: impl Iterator<Item = String>) -> SubmitBody {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).expect("after the epoch");
    let task = |payload| TaskBody { request: request.to_owned(), payload };
    SubmitBody {
        job: name.to_owned(),
        team: "prizeleaf".to_owned(),
        service: "tokens".to_owned(),
        deadline_ms: None,
        created_at_ms: Some(u64::try_from(now.as_millis()).expect("the time fits")),
        tasks: payloads.map(task).collect(),
    }
}

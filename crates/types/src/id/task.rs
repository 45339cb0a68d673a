//! Identifiers of task attempts.

use std::fmt;

use serde::{Deserialize, Serialize};

use super::{Job, ParseError};

/// Identifies one attempt to run one task of a job.
///
/// Workers receive and report this identifier, so a late report about an earlier
/// attempt is never mistaken for one about the current attempt.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(into = "String", try_from = "String")]
pub struct Task {
    /// Job that the task belongs to.
    pub job: Job,
    /// Index of the task within the job.
    pub index: u32,
    /// Number of the attempt, from 1.
    pub attempt: u32,
}

impl Task {
    /// Parses the displayed form, `JOB/INDEX/ATTEMPT`.
    ///
    /// # Errors
    ///
    /// Returns an error if a part is missing or malformed.
    pub fn parse(text: &str) -> Result<Task, ParseError> {
        let mut parts = text.split('/');
        let job = Job::parse(parts.next().unwrap_or_default())?;
        let index = parse_number(parts.next())?;
        let attempt = parse_number(parts.next())?;
        Ok(Task { job, index, attempt })
    }
}

fn parse_number(text: Option<&str>) -> Result<u32, ParseError> {
    text.and_then(|text| text.parse().ok()).ok_or(ParseError::Malformed)
}

impl fmt::Display for Task {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/{}", self.job, self.index, self.attempt)
    }
}

impl From<Task> for String {
    fn from(task: Task) -> String {
        task.to_string()
    }
}

impl TryFrom<String> for Task {
    type Error = ParseError;

    fn try_from(text: String) -> Result<Task, ParseError> {
        Task::parse(&text)
    }
}

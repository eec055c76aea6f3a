//! The execution log of the stand-in service.

use serde::Deserialize;
use serde::Serialize;

/// One execution of a call.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct Execution {
    /// The request identifier sent by the caller, empty if there was none.
    pub request_id: String,
    /// The method.
    pub method: String,
    /// The path with the query.
    pub path_and_query: String,
    /// The body.
    pub body: String,
}

/// All executions since the service started.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
pub struct ExecutionLog {
    /// The executions, oldest first.
    pub executions: Vec<Execution>,
}

impl ExecutionLog {
    /// Counts the executions of calls with this body.
    pub fn count_of_body(&self, body: impl AsRef<str>) -> usize {
        let body = body.as_ref();
        let executions = self.executions.iter();
        executions
            .filter(|execution| execution.body == body)
            .count()
    }

    /// Counts the executions of calls with this request id.
    pub fn count_of_request(&self, request_id: impl AsRef<str>) -> usize {
        let request_id = request_id.as_ref();
        let executions = self.executions.iter();
        executions
            .filter(|execution| execution.request_id == request_id)
            .count()
    }
}

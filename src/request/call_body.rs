//! The content of a call that is sent to its endpoint.

use bytes::Bytes;

/// The content of a call that is sent to its endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallBody {
    /// A completion by a model.
    Completion(CompletionCall),
    /// A call of a plain service.
    Service(ServiceCall),
}

/// A completion by a model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CompletionCall {
    /// The body as the caller sent it, in JSON.
    pub body: Bytes,
    /// The estimated length of the prompt, in tokens.
    pub prompt_tokens: u64,
    /// The longest answer, in tokens: the caller's limit, or the gateway's if the caller set none.
    pub answer_max_tokens: u64,
    /// Whether the caller set no limit on the length of the answer.
    pub is_answer_length_unset: bool,
    /// Whether the caller asked for a stream.
    pub is_stream: bool,
    /// The hashes of prefixes of the prompt of growing length, shortest first.
    pub prefix_hashes: Vec<u64>,
}

/// A call of a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceCall {
    /// The HTTP method.
    pub method: HttpMethod,
    /// The path with the query.
    pub path_and_query: String,
    /// The content type of the body, if the caller sent one.
    pub content_type: Option<String>,
    /// The body.
    pub body: Bytes,
}

/// The HTTP methods that plain services are called with.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum HttpMethod {
    /// `GET`.
    Get,
    /// `HEAD`.
    Head,
    /// `POST`.
    Post,
    /// `PUT`.
    Put,
    /// `PATCH`.
    Patch,
    /// `DELETE`.
    Delete,
    /// `OPTIONS`.
    Options,
}

impl HttpMethod {
    /// All methods.
    pub const ALL: [Self; 7] = [
        Self::Get,
        Self::Head,
        Self::Post,
        Self::Put,
        Self::Patch,
        Self::Delete,
        Self::Options,
    ];

    /// Returns the method's name in HTTP.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Get => "GET",
            Self::Head => "HEAD",
            Self::Post => "POST",
            Self::Put => "PUT",
            Self::Patch => "PATCH",
            Self::Delete => "DELETE",
            Self::Options => "OPTIONS",
        }
    }

    /// Returns whether HTTP defines the method as safe.
    pub const fn is_safe(self) -> bool {
        matches!(self, Self::Get | Self::Head | Self::Options)
    }
}

//! Responses that show whose request they answer and whether they are whole.

/// What a caller finds in a response body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyCheck {
    /// The whole response to the caller's own request.
    Own,
    /// A response to another request.
    Crossed,
    /// A part of the response to the caller's own request.
    Truncated,
}

/// Returns the path of a request whose response has `size_bytes` of filler.
pub fn echo_path(request: u64, size_bytes: usize) -> String {
    format!("/echo/{request}?bytes={size_bytes}")
}

/// Reads a path made by [`echo_path`].
pub(super) fn parse_path(path_and_query: &str) -> Option<(u64, usize)> {
    let (request, size_bytes) = path_and_query.strip_prefix("/echo/")?.split_once("?bytes=")?;
    Some((request.parse().ok()?, size_bytes.parse().ok()?))
}

/// Returns the whole response to a request: its caller and number, then
/// filler that depends on the number.
pub fn echo_body(caller: &str, request: u64, size_bytes: usize) -> Vec<u8> {
    let mut body = format!("{caller} {request} {size_bytes}\n").into_bytes();
    let filler = (0..size_bytes as u64).map(|at| b'a' + ((request + at) % 26) as u8);
    body.extend(filler);
    body
}

/// Compares a response with the one that the caller's request must have.
pub fn check_body(body: &[u8], caller: &str, request: u64, size_bytes: usize) -> BodyCheck {
    let wanted = echo_body(caller, request, size_bytes);
    if body == wanted {
        BodyCheck::Own
    } else if wanted.starts_with(body) {
        BodyCheck::Truncated
    } else {
        BodyCheck::Crossed
    }
}

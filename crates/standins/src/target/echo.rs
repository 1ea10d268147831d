//! Response bodies that identify the request that they belong to and reveal
//! truncation.

/// Result of the check of a response body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyCheck {
    /// The complete response to the caller's own request.
    Own,
    /// A response to another request.
    Crossed,
    /// An incomplete response to the caller's own request.
    Truncated,
}

/// Returns the path of a request whose response has `size_bytes` of padding.
pub fn echo_path(request: u64, size_bytes: usize) -> String {
    format!("/echo/{request}?bytes={size_bytes}")
}

/// Parses a path created by [`echo_path`] into the request number and the size.
pub(super) fn parse_path(path_and_query: &str) -> Option<(u64, usize)> {
    let (request, size_bytes) = path_and_query.strip_prefix("/echo/")?.split_once("?bytes=")?;
    Some((request.parse().ok()?, size_bytes.parse().ok()?))
}

/// Returns the complete response to a request: its caller and number, followed by
/// padding that depends on the number.
pub fn echo_body(caller: &str, request: u64, size_bytes: usize) -> Vec<u8> {
    let mut body = format!("{caller} {request} {size_bytes}\n").into_bytes();
    let filler = (0..size_bytes as u64).map(|at| b'a' + ((request + at) % 26) as u8);
    body.extend(filler);
    body
}

/// Compares a response body with the expected response to the caller's request.
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

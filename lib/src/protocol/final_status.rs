//! Status codes that end a request.

use http::StatusCode;

/// Smallest status code of a final response.
const MIN_FINAL_STATUS: u16 = 200;
/// Largest status code of a final response.
const MAX_FINAL_STATUS: u16 = 599;

/// Returns whether a response with this status is the final one to its request.
///
/// Codes below 200 announce a response or an upgrade, and HTTP defines none above 599. A process that sends one in
/// the place of a final response is faulty, and whether it has executed the request is unknown.
#[must_use]
pub const fn is_final_status(status: StatusCode) -> bool {
    let code = status.as_u16();
    code >= MIN_FINAL_STATUS && code <= MAX_FINAL_STATUS
}

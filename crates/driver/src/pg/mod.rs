//! PostgreSQL's wire protocol, version 3, as far as simple queries need it. Pure, incremental and bounded.
//!
//! Each parser looks at the bytes that were read so far. It returns a message that borrows from them, with
//! its length, or None while the message is incomplete. Each writer appends a message to a buffer.

mod backend;
mod frame;
mod frontend;
mod request_comment;
pub mod sqlstate;
mod writers;

pub use backend::{find_single_value, parse_backend, BackendMessage};
pub use frame::{
    first_message_length, message_length, Parsed, ProtocolError, MAX_ANSWER_BYTES, MAX_QUERY_BYTES,
};
pub use frontend::{
    is_extended, is_query, parse_first_message, parse_frontend, query_text, startup_parameters, FirstMessage,
    FrontendMessage,
};
pub use request_comment::{
    parse_millionths, parse_request, parse_request_comment, strip_request_comment, BadRequest, ParsedRequest,
};
pub use writers::{
    put_empty_query_response, put_error, put_query, put_ready_for_query, put_refusal, put_startup,
    put_startup_response, Severity, NO_ENCRYPTION,
};

// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The closed list of error kinds and the one table that says how each is
/// answered.  Every refusal that a caller receives is a row of this table, so the
/// statements made to callers ("not run", "retry after 2 s") are defined in one place.

#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

namespace cypressford {

/// Every way in which a request can end other than with a complete answer.
enum class ErrorKind : unsigned char {
    BadRequest, ///< malformed header, body or parameter
    Unauthorized, ///< no or unknown credential
    Forbidden, ///< credential is known but may not do this
    NotFound, ///< no such pipeline or path
    TooLarge, ///< header or body exceeds its limit
    SlowRequest, ///< the caller did not send its request in time
    TooManyConnections, ///< the daemon's connection limit is reached
    NotReady, ///< the daemon has no bundle in force yet
    ConfigurationStale, ///< refused by a configuration that may have been replaced
    Stopping, ///< the daemon is in a planned stop
    Misdirected, ///< a daemon of the fleet sent it to this one as to an upstream
    AccountLimit, ///< the client account has used up its share
    DeadlineUnreachable, ///< refused before sending: the answer would be late
    QueueFull, ///< the bounded queue is full
    NoUpstream, ///< no usable upstream for a stage
    Resting, ///< the upstreams of a stage have requested backoff from this daemon
    Quarantined, ///< upstreams terminated each time they ran this request
    NoAllowedHall, ///< no hall in the regions that the pipeline and the account allow
    VersionGone, ///< no upstream of the software version that began the stream is left
    VersionUnknown, ///< the software version that began the stream is not known
    UpstreamFailed, ///< upstreams failed and the retry budget is exhausted
    UpstreamRejected, ///< an upstream rejected the request itself as invalid
    DeadlineExceeded, ///< the deadline passed after something was sent
    KeyRequired, ///< non-repeatable pipeline called without a key
    KeyInvalid, ///< the key is not a UUIDv7 or its time lies in the future
    KeyExpired, ///< the key is older than the records that the log still holds
    KeyMismatch, ///< the key was used before with another request
    KeyInProgress, ///< another attempt holds the claim and has no outcome yet
    ClaimUnavailable, ///< the log could not record the claim in time
    OutcomeUnknown, ///< the one permitted run may or may not have happened
    TokenInvalid, ///< resume token is forged, damaged or of another version
    TokenExpired, ///< resume token is past its lifetime
    TokenForeign, ///< resume token belongs to another client account
    SessionLost, ///< the stream can't be continued exactly where it stopped
    CallerGone, ///< the caller closed its connection
    Internal, ///< an internal error of the daemon
};

/// Number of kinds; the table has exactly this many rows.
inline constexpr std::size_t kErrorKindCount
    = static_cast<std::size_t>(ErrorKind::Internal) + 1;

/// What a caller may conclude about the effects of its request.
enum class Ran : unsigned char {
    NotRun, ///< nothing was sent to an upstream that may have run it
    Ran, ///< it ran
    Unknown, ///< it may have run
};

/// The action that the caller should take next.
enum class RetryAdvice : unsigned char {
    No, ///< the same request will fail again
    Later, ///< the same request, after the time in Retry-After
    SameKey, ///< retry with the same Idempotency-Key to obtain the outcome
};

/// One row of the table: how a kind is answered.
struct ErrorRow {
    ErrorKind kind;
    std::string_view name; ///< stable name, used in answers, logs and metrics
    int http_status;
    int grpc_code; ///< numeric grpc::StatusCode
    Ran ran; ///< the strongest statement this kind alone allows
    RetryAdvice retry;
    std::string_view title; ///< one sentence for human readers
};

/// The whole table, in the order of ErrorKind.
std::span<const ErrorRow> error_table();

/// The row of one kind.
const ErrorRow& error_row(ErrorKind kind);

/// Names as they appear in answers.
std::string_view to_string(Ran ran);
std::string_view to_string(RetryAdvice advice);

/// An error with a detail text for human readers.
struct Error {
    ErrorKind kind = ErrorKind::Internal;
    std::string detail;
};

/// One fault in a text written by a person.
struct Fault {
    int line = 0; ///< 1-based; 0 if the fault has no line
    std::string message;
};

template <class T> using Result = tl::expected<T, Error>;

/// Shorthand to return an error from a function of type Result<T>.
inline tl::unexpected<Error>
fail(ErrorKind kind, std::string detail = {})
{
    return tl::unexpected<Error>(Error {kind, std::move(detail)});
}

} // namespace cypressford

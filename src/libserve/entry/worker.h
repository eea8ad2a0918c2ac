// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// One worker thread of a daemon: it accepts requests, feeds the scheduler with
/// events and carries out its actions.

#pragma once

#include <deque>
#include <memory>
#include <optional>
#include <string_view>
#include <thread>
#include <unordered_map>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cypressford/claims.h>
#include <cypressford/request_digest.h>
#include <cypressford/scheduler.h>
#include <cypressford/session_token.h>

#include "libserve/entry/problem.h"
#include "libserve/kernel.h"
#include "libserve/links/upstream_connector.h"
#include "libserve/operator/metrics.h"
#include "libserve/pieces/piece_service.h"
#include "libserve/relay/event_splitter.h"
#include "libutil/boot_clock.h"
#include "libutil/http_client.h"
#include "libutil/http_server.h"

namespace cypressford {

/// Additional state of a relayed request.
struct Relay {
    HttpRequest request; ///< as the caller sent it
    CallerCall call;
    std::vector<PieceHandle> inputs; ///< results of its pieces
    std::optional<HttpResponse> answer; ///< complete, to be passed on
    std::optional<HttpResponse> failure; ///< passed on unless a later attempt succeeds
    std::optional<HttpResponse> head; ///< of the stream, from its first upstream
    StreamPosition position;
    /// The attempt whose events are passed on; 0: none.  Others may still run for a moment
    /// after it was chosen.
    AttemptId streaming = 0;
    bool has_events = false; ///< a complete event has arrived
    Micros first_byte
        = 0; ///< from sending the last attempt to the first byte of its stream
    /// From the request's arrival to the first event sent to the caller; 0: none.
    Micros time_to_first_event = 0;
    std::string unsent_events; ///< complete events not yet sent to the caller
    /// Bytes that the caller has not read; null without Mechanism::UnreadBound and before
    /// and after the answer.
    AnswerBufferPtr unread;
    /// Connections on which an upstream has answered this request: a second copy of that
    /// answer can't be told from the answer to the next send.
    std::vector<std::uint64_t> answered_connections;
    std::int64_t writing = 0; ///< bytes passed to the connection and not accepted by it
    HttpExchange* exchange = nullptr; ///< while the answer is sent; null before and after
};

/// How a call to an upstream ended; all but the status is for the log.
struct RelayedResult {
    AttemptStatus status = AttemptStatus::NotSent;
    BodyFraming framing = BodyFraming::Unknown;
    std::string error; ///< empty: none
    std::string via; ///< address of the daemon that forwarded the bytes; empty: none
    std::string last_event; ///< id of the stream's last event so far
};

/// Data of a request for its worker only; the scheduler does not use these data.
struct RequestContext {
    explicit RequestContext(boost::asio::io_context& io)
        : changed(io, BootTimer::time_point::max())
    {
    }

    RequestSpec spec;
    Micros arrived = 0;
    std::string account;
    std::string pipeline;
    std::string body;
    std::string key; ///< Idempotency-Key as the caller gave it
    WallMs key_time = 0;
    std::string input; ///< of the current stage; the final output once all are done
    std::int64_t fence = 0;

    SessionState session; ///< position in the stream, for resume tokens
    std::vector<std::string> tokens; ///< of the generated text
    std::size_t delivered = 0; ///< tokens that the caller has
    std::size_t tokens_to_skip = 0; ///< tokens that the caller had before this request
    /// Hash of the skipped tokens, to check a regenerated text against.
    std::uint64_t skipped_text_hash = 0;
    bool caller_disconnected = false;

    std::unique_ptr<Relay> relay; ///< for relayed pipelines only

    std::optional<Reply> reply;
    std::optional<RecordedAnswer> recorded;
    std::unordered_map<AttemptId, std::shared_ptr<CallHandle>> calls;
    BootTimer changed; ///< cancelled when tokens or the reply arrive

    const ResolvedPipeline& resolved() const
    {
        return spec.snapshot->bundle->pipelines[spec.pipeline];
    }
    /// Id for the log: the caller's id of a relayed request, otherwise this worker's id.
    std::string log_id() const
    {
        return relay ? relay->call.attempt : std::to_string(spec.id);
    }
    /// Name of the upstream set of the pipeline's first stage.
    const std::string& set_name() const
    {
        return spec.snapshot->sets[resolved().sets.front()].spec.name;
    }
    const ResolvedAccount& resolved_account() const
    {
        return spec.snapshot->bundle->accounts[spec.account];
    }
    /// See ResolvedBundle::priority_of().
    int priority(const PolicySwitches& switches) const
    {
        return spec.snapshot->bundle->priority_of(spec.account, spec.pipeline, switches);
    }
};
using ContextPtr = std::shared_ptr<RequestContext>;

class Worker {
public:
    Worker(Kernel& kernel, unsigned index);
    ~Worker();
    Worker(const Worker&) = delete;
    Worker& operator=(const Worker&) = delete;

    /// Binds the callers' address.
    Result<unsigned short> listen(const Address& address);
    void start();
    void stop();

    boost::asio::io_context& io() { return m_io; }
    /// For calls to upstreams on this worker's thread.
    UpstreamConnector& connector() { return m_connector; }

    // The following run on the worker's thread.
    void close_after_answers() { m_server.close_after_answers(); }
    void stop_accepting() { m_server.stop_accepting(); }
    void close_idle() { m_server.close_idle(); }
    /// Answers requests that are not running on an upstream; the process is about to end.
    void answer_waiting_requests() { feed(ShutdownImminent {}); }
    /// Applies the limits that the configuration sets on callers.
    void apply_limits();
    bool is_idle() const { return m_server.connections() == 0 && m_scheduler.live() == 0; }
    MetricsSnapshot metrics() const;

private:
    // front_door.cpp: from the caller to the scheduler and back.
    boost::asio::awaitable<void> serve(HttpExchange& exchange);
    boost::asio::awaitable<void> serve_pipeline(HttpExchange& exchange, std::string name);
    Result<ContextPtr> make_context(const HttpRequest& request, Micros received_at,
                                    const std::string& pipeline);
    Result<void> read_key(const HttpRequest& request, RequestContext& context);
    Result<void> read_session(const HttpRequest& request, RequestContext& context);
    boost::asio::awaitable<void> answer_whole(HttpExchange& exchange, ContextPtr context);
    boost::asio::awaitable<void> answer_stream(HttpExchange& exchange, ContextPtr context);
    boost::asio::awaitable<bool> write_tokens(HttpExchange& exchange,
                                              RequestContext& context);
    boost::asio::awaitable<Problem> settle_problem(ContextPtr context);
    boost::asio::awaitable<bool> resume_at_engine(HttpExchange& exchange,
                                                  ContextPtr context);
    void finish_metrics(const RequestContext& context, std::string_view outcome);

    struct RelayedCall;
    // arrival.cpp: from a relayed request's first byte to the scheduler.
    boost::asio::awaitable<void> serve_relayed(HttpExchange& exchange);
    /// `received_at`: first byte of the request, from which its deadline counts.
    /// `set_name`: of the pipeline's first set, if the request is bound to one; empty: any.
    Result<ContextPtr> make_relay(const HttpRequest& request, Micros received_at,
                                  const std::string& set_name = {});
    /// The context of a request for which there is time left, or an error.
    boost::asio::awaitable<Result<ContextPtr>> admit_relayed(const HttpRequest& request,
                                                             Micros received_at);
    void log_refusal(const HttpRequest& request, const Error& error) const;
    void log_begin(const RequestContext& context) const;
    /// Deadline of a request with this head; nothing if no pipeline matches it.
    std::optional<Micros> deadline_of(const HttpRequest& head, Micros received_at) const;
    /// Waits until a thread that is late has ended the requests that are overdue.
    boost::asio::awaitable<void> let_overdue_end();
    /// Waits, after a suspension, until the directory's changes were read, but not beyond
    /// the request's deadline.
    boost::asio::awaitable<void> catch_up(const HttpRequest& request, Micros received_at);
    // relay.cpp: calls to upstreams for relayed requests, and their answers.
    boost::asio::awaitable<void> answer_relayed(HttpExchange& exchange, ContextPtr context);
    static bool is_overdue(const RequestContext& context);
    void cut_overdue_stream(const RequestContext& context);
    /// `arrived` is the time of the request's arrival.
    boost::asio::awaitable<bool> write_events(HttpExchange& exchange, Relay& relay,
                                              Micros arrived, bool& begun);
    // resume.cpp: streams go on at the software version that began them.
    /// The context of a request that resumes a stream, bound to a software version, or an
    /// error if it can't be bound to the one that began the stream.
    boost::asio::awaitable<Result<ContextPtr>> bind_version(const HttpRequest& request,
                                                            ContextPtr context);
    /// Passes on the events that the chunk completes; false if the call may not continue.
    bool take_events(RelayedCall& call, std::string_view chunk);
    /// Makes a call with a complete event the one whose events are passed on.
    void choose_stream(RelayedCall& call);
    /// Called with the first event of a stream.
    void begin_stream(RelayedCall& call);
    /// False if the events of another call, or of another version, are sent to the caller.
    static bool may_send_events(const RelayedCall& call);
    // unread.cpp: answers that callers read slowly.
    bool bounds_unread() const
    {
        return m_kernel.settings.scheduler.switches.uses(Mechanism::UnreadBound);
    }
    void open_unread(HttpExchange& exchange, const ContextPtr& context);
    void close_unread(Relay& relay);
    void cut_answer(const RequestContext& context);
    void on_arrived(Relay& relay, std::size_t bytes);
    void on_accepted(Relay& relay, std::size_t bytes);
    boost::asio::awaitable<bool> respond_counted(HttpExchange& exchange,
                                                 ContextPtr context);
    /// False while the answer may not grow because its caller reads slowly.
    bool may_read_more(RelayedCall& call);

    HttpResponse relayed_problem(const RequestContext& context) const;
    HttpResponse refusal(const Error& error) const;
    /// The response to a request that the server refused before it was read completely.
    HttpResponse refusal_of_unread(ErrorKind kind) const;
    boost::asio::awaitable<RelayedResult> call_relayed(const SendAttempt& send,
                                                       ContextPtr context,
                                                       std::shared_ptr<CallHandle> handle);
    CallOptions options_of(RelayedCall& call);
    bool is_quarantined(const RelayedCall& call);
    void begin_relayed_stream(RelayedCall& call, const HttpResponse& head);
    static bool is_broken_off(const RelayedCall& call, const HttpResponse& response);
    AttemptStatus take_answer(const RelayedCall& call, CallResult result);
    ForwardedCall forwarded_call(const SendAttempt& send,
                                 const RequestContext& context) const;

    // suspicion.cpp: relayed requests suspected of ending upstreams.
    /// Returns an error for a quarantined request, or one with a quarantined prompt part,
    /// so that no upstream receives it.  If this worker has recently recorded a complete
    /// answer to the request, it reports that answer and returns no error.
    Result<void> check_suspicion(const HttpRequest& request, const CallerCall& call,
                                 const RequestContext& context);
    /// Records that a relayed request was answered completely.
    void record_answer(const RequestContext& context);
    /// Parts of the prompt that the request shares with others, in its upstream set.
    static std::vector<RequestDigest> shared_parts(const CallerCall& call,
                                                   std::string_view set_name);
    /// Hash of a request, seeded with this worker's random seed.
    std::uint64_t hash_of(const HttpRequest& request, const CallerCall& call,
                          const std::string& account) const;
    /// Records that a call ended without its complete answer.
    void record_broken_run(const SendAttempt& send, const RequestContext& context,
                           bool closed_by_peer) const;

    // worker.cpp: events and actions.
    void feed(const Event& event);
    void act(Actions& actions);
    void act(const SendAttempt& action);
    void act(const CancelAttempt& action);
    void act(const ReportUnreachable& action);
    void act(const BeginClaim& action);
    void act(const EndClaim& action);
    void act(const BeginPreparation& action);
    void act(const ReleaseInputs& action);
    void act(const CancelPreparation& action);
    void on_pieces_result(RequestId request, PiecesResult result);
    void act(const Reply& action);
    void act(const Forget& action);
    void on_claim_decided(DecideClaim decision);
    boost::asio::awaitable<void> tick_loop();
    void detect_suspension();

    // attempt.cpp: calls to upstreams.
    void end_attempt(const SendAttempt& send, RequestContext& context,
                     AttemptStatus status);
    void abandon_attempt(const SendAttempt& send, RequestContext& context);
    boost::asio::awaitable<void> run_attempt(SendAttempt send, ContextPtr context,
                                             std::shared_ptr<CallHandle> handle);
    boost::asio::awaitable<AttemptStatus> call_once(const SendAttempt& send,
                                                    ContextPtr context,
                                                    const UpstreamKind& kind,
                                                    std::shared_ptr<CallHandle> handle);
    boost::asio::awaitable<AttemptStatus> call_stream(const SendAttempt& send,
                                                      ContextPtr context,
                                                      const UpstreamKind& kind,
                                                      std::shared_ptr<CallHandle> handle);
    bool take_tokens(RequestContext& context, std::vector<StreamToken> tokens);
    StageCall stage_call(const SendAttempt& send, const RequestContext& context) const;
    void cancel_stream(const std::string& address, const UpstreamKind& kind,
                       std::uint64_t stream);

    Kernel& m_kernel;
    const unsigned m_index;
    /// Outlives m_io, whose pending coroutines hold connections that report their end.
    UpstreamConnector m_connector;
    boost::asio::io_context m_io {1};
    std::thread m_thread;
    Scheduler m_scheduler;
    HttpClient m_client;
    HttpServer m_server;
    std::unordered_map<RequestId, ContextPtr> m_contexts;
    std::unordered_map<AttemptId, RequestId> m_attempts;
    RequestId m_next_request;
    MetricsSnapshot m_metrics;
    AnsweredRequests m_answered;
    const std::uint64_t m_hash_seed;
    BootTimer m_tick;
    Micros m_ticked_at; ///< when overdue requests were last ended
    Micros m_progress_at; ///< when this thread last made progress
};

} // namespace cypressford

// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Relayed requests and their pieces over fake upstreams, with an oracle.

#pragma once

#include <array>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <cypressford/pieces.h>
#include <cypressford/registry.h>
#include <cypressford/scheduler.h>

namespace cypressford::fuzz {

/// A result at the upstream that made it.
struct Piece {
    bool lost = false; ///< its holder has ended
    bool released = false; ///< by the daemon
};

/// Pieces that are being made for a request.
struct Preparation {
    explicit Preparation(PiecePlan plan_)
        : plan(std::move(plan_))
    {
    }
    PiecePlan plan;
    std::set<std::size_t> running; ///< stages
};

/// A request as the test driver and the oracle record it.
struct RequestModel {
    std::size_t pipeline = 0;
    std::vector<int> counts;
    HallLimit halls;
    std::optional<std::string> version; ///< of the upstream that began its stream
    std::vector<std::string> inputs; ///< results that are sent with an attempt
    std::optional<Preparation> preparation;
    int preparations = 0;
    Micros refused_for = 0; ///< retry-after time of the refused preparation; 0: none
    int sent = 0;
    int runs = 0; ///< attempts that an upstream has started
    int replies = 0;
    bool forgotten = false;
};

/// An attempt at a fake upstream.
struct AttemptModel {
    RequestId request = 0;
    UpstreamPtr upstream;
    bool may_repeat = true;
    CallCount count = CallCount::Own;
    bool connected = false; ///< the call was sent
    bool cancelled = false;
    bool has_read = false;
};

/// An upstream's actual state, and the reports of its present run.
struct UpstreamModel {
    UpstreamMember member;
    bool listed = true;
    bool leaves = false;
    Micros backoff_until = 0;
    double limit_per_s = 0; ///< limit that the upstream reports; 0: none
    Micros limit_received_at = 0; ///< time of the last report of a limit; 0: none
    Micros limit_since = 0; ///< start of the present limit
    int calls_since_limit = 0; ///< calls that arrived under the present limit
};

enum class Step : unsigned char {
    Arrive,
    StartStages,
    CompleteStage,
    FailStage,
    LosePiece,
    Connect,
    Refuse,
    Read,
    Finish,
    Lose,
    Fail,
    CallerDisconnects,
    Evacuate,
    ReportLeaving,
    RequestBackoff,
    ReportLimit,
    RestartUpstream,
    ToggleListing,
    Wait,
    RepeatLast,
};

/// The step at a position of a sequence in which each step occurs as many times as its
/// weight.
Step step_at(std::size_t position);
std::size_t sum_of_weights();

/// Two schedulers, as of two threads of a daemon, over one table of upstreams.
class RelayWorld {
public:
    RelayWorld();

    void run(Step step, std::size_t number);

    /// Lets all deadlines pass, and checks that nothing is left over.
    void settle();

private:
    static constexpr std::size_t kSchedulers = 2;

    void publish();
    void list_upstreams();
    void evacuate(std::size_t number);
    void arrive(std::size_t number);

    // Behaviour of upstreams.
    void report_leaving(std::size_t number);
    void request_backoff(std::size_t number);
    void report_limit(std::size_t number);
    void restart_upstream(std::size_t number);
    void toggle_listing(std::size_t number);
    UpstreamPtr state_of(const UpstreamModel& model) const;
    /// No report of an earlier run is in effect for the present run.
    void check_reports() const;

    // Pieces.
    void start_stages(std::size_t number);
    void end_stage(std::size_t number, bool succeeded);
    std::vector<std::string> make_pieces(int count);
    void end_preparation(RequestId id, bool succeeded);
    void release(const std::vector<std::string>& handles);
    void release_unreleased(const std::vector<std::string>& handles);
    bool has_lost(const std::vector<std::string>& handles) const;

    // Attempts.
    void connect(std::size_t number);
    void read_inputs(std::size_t number);
    void begin_stream(RequestId request, AttemptId id, std::size_t number);
    void end_attempt(std::size_t number, AttemptStatus status);
    void check_arrival(const AttemptModel& attempt) const;
    /// Counts calls against this daemon's share of the limit that the upstream reports.
    void count_arrival(const AttemptModel& attempt);

    // Events and actions.
    Scheduler& scheduler_of(RequestId request);
    void handle(RequestId request, const Event& event);
    void tick();
    void act(const SendAttempt& action);
    void act(const CancelAttempt& action);
    void act(const BeginPreparation& action);
    void act(const CancelPreparation& action);
    void act(const ReleaseInputs& action);
    void act(const ReportUnreachable& action);
    void act(const Reply& action);
    void act(const Forget& action);
    void act(const BeginClaim& action);
    void act(const EndClaim& action);

    std::unique_ptr<Router> m_router;
    std::unique_ptr<Admission> m_admission;
    UpstreamTable m_table;
    std::vector<std::unique_ptr<Scheduler>> m_schedulers;
    std::size_t m_acting = 0; ///< scheduler whose actions are carried out
    Bundle m_bundle;
    SnapshotPtr m_snapshot;
    std::vector<UpstreamModel> m_upstreams;
    std::vector<std::string> m_evacuated; ///< halls
    Micros m_now = kSecond;
    std::map<RequestId, RequestModel> m_requests;
    std::set<RequestId> m_preparing;
    /// Attempt ids are unique only together with the index of their scheduler.
    std::map<std::pair<std::size_t, AttemptId>, AttemptModel> m_attempts;
    std::map<std::string, Piece> m_pieces;
    /// Delivered again by Step::RepeatLast.
    std::optional<std::pair<RequestId, Event>> m_last_event;
    RequestId m_next_request = 1;
};

} // namespace cypressford::fuzz

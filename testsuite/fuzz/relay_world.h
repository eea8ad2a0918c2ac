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
    bool lost = false; ///< its keeper died
    bool released = false; ///< by us
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

/// A request as the driver and the oracle see it.
struct RequestFacts {
    std::size_t pipeline = 0;
    std::vector<int> counts;
    HallLimit halls;
    std::vector<std::string> inputs; ///< results that an attempt is sent with
    std::optional<Preparation> preparation;
    int preparations = 0;
    int sent = 0;
    int runs = 0; ///< attempts that an upstream has begun
    int replies = 0;
    bool forgotten = false;
};

/// An attempt at a fake upstream.
struct AttemptFacts {
    RequestId request = 0;
    UpstreamPtr upstream;
    bool may_repeat = true;
    CallCount count = CallCount::Own;
    bool connected = false; ///< it has left this daemon
    bool cancelled = false;
    bool has_read = false;
};

/// An upstream as it is, and what its present run has said of itself.
struct UpstreamFacts {
    UpstreamMember member;
    bool listed = true;
    bool leaves = false;
    Micros backoff_until = 0;
    double limit_per_s = 0; ///< that it names; 0: none
    Micros limit_heard = 0;
    Micros limited_since = 0; ///< by that limit
    int calls_since = 0; ///< that came to it since
};

enum class Step : unsigned char {
    Arrive,
    StartStages,
    MakeStage,
    FailStage,
    LosePiece,
    Connect,
    Refuse,
    Read,
    Finish,
    Lose,
    Fail,
    CallerLeaves,
    Evacuate,
    SayLeaving,
    AskForRest,
    NameLimit,
    StartAgain,
    LapseOrReturn,
    Wait,
    RepeatLast,
};

/// The step at that position of all steps by their weights.
Step step_at(std::size_t position);
std::size_t sum_of_weights();

/// Two schedulers, as of two threads of a daemon, over one table of upstreams.
class RelayWorld {
public:
    RelayWorld();

    void run(Step step, std::size_t number);

    /// Lets all deadlines pass; then nothing may be left over.
    void settle();

private:
    static constexpr std::size_t kSchedulers = 2;

    void publish();
    void list_upstreams();
    void evacuate(std::size_t number);
    void arrive(std::size_t number);

    // What upstreams do.
    void say_leaving(std::size_t number);
    void ask_for_rest(std::size_t number);
    void name_limit(std::size_t number);
    void start_again(std::size_t number);
    void lapse_or_return(std::size_t number);
    UpstreamPtr state_of(const UpstreamFacts& facts) const;
    /// Nothing that an earlier run has said holds for the present one.
    void check_reports() const;

    // Pieces.
    void start_stages(std::size_t number);
    void end_stage(std::size_t number, bool made);
    std::vector<std::string> make_pieces(int count);
    void end_preparation(RequestId id, bool made);
    void release(const std::vector<std::string>& handles);
    void release_unreleased(const std::vector<std::string>& handles);
    bool has_lost(const std::vector<std::string>& handles) const;

    // Attempts.
    void connect(std::size_t number);
    void read_inputs(std::size_t number);
    void end_attempt(std::size_t number, AttemptStatus status);
    void check_arrival(const AttemptFacts& attempt) const;
    /// No more calls than this daemon's part of the limit that the upstream names.
    void count_arrival(const AttemptFacts& attempt);

    // Events and actions.
    Scheduler& scheduler_of(RequestId request);
    void handle(RequestId request, const Event& event);
    void tick();
    void act(const SendAttempt& action);
    void act(const CancelAttempt& action);
    void act(const BeginPreparation& action);
    void act(const CancelPreparation& action);
    void act(const ReleaseInputs& action);
    void act(const ReportUnreached& action);
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
    std::vector<UpstreamFacts> m_upstreams;
    std::vector<std::string> m_evacuated; ///< halls
    Micros m_now = kSecond;
    std::map<RequestId, RequestFacts> m_requests;
    std::set<RequestId> m_preparing;
    /// Ids of attempts are of their schedulers; both together are unique.
    std::map<std::pair<std::size_t, AttemptId>, AttemptFacts> m_attempts;
    std::map<std::string, Piece> m_pieces;
    std::optional<std::pair<RequestId, Event>> m_last; ///< to be told once more
    RequestId m_next_request = 1;
};

} // namespace cypressford::fuzz

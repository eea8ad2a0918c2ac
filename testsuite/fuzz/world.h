// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Several daemons' decision cores over a fake log and fake upstreams, in virtual time,
/// with an oracle that checks invariants.

#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <cypressford/bundle_fold.h>
#include <cypressford/claims.h>
#include <cypressford/scheduler.h>

#include "libutil/crypto.h"

namespace cypressford::fuzz {

/// Pipelines of the fuzzed bundle, by index.
enum Pipeline : std::size_t { Lookup, Label, Alert, Summary, Dedup, kPipelines };

inline constexpr std::size_t kDaemons = 3; ///< two in hall A, one in hall B

/// How a fake upstream treats calls.
enum class Behaviour : unsigned char {
    Good,
    Lagging, ///< answers after 50 to 150 ms
    Slow, ///< answers after 1 to 6 s
    Refuse, ///< unreachable; nothing is sent
    Overloaded, ///< answers 429 without running
    Fail, ///< runs, then answers with an error
    FailBeforeRun, ///< answers with an error without running
    Cut, ///< runs, then the connection breaks
    Unresponsive, ///< runs, and answers after 30 s
};
inline constexpr int kBehaviours = 9;

/// Runs scheduled events in virtual time, in a deterministic order.
class Timeline {
public:
    Micros now() const { return m_now; }
    void at(Micros time, std::function<void()> action);
    void after(Micros span, std::function<void()> action)
    {
        at(m_now + span, std::move(action));
    }
    void run_for(Micros span);

private:
    struct Entry {
        Micros time;
        std::uint64_t number;
        std::function<void()> action;
        bool operator>(const Entry& o) const
        {
            return std::tie(time, number) > std::tie(o.time, o.number);
        }
    };
    std::priority_queue<Entry, std::vector<Entry>, std::greater<>> m_entries;
    Micros m_now = 0;
    std::uint64_t m_next = 0;
};

/// The log service, with faults that steps switch on and off.
struct FakeLog {
    struct Stream {
        Offset first = 0;
        std::deque<std::string> records;
        Offset next() const { return first + static_cast<Offset>(records.size()); }
    };
    std::map<std::string, Stream> streams;
    bool outage = false;
    bool lose_answers = false;
    bool slow = false;
    std::set<std::string> cut_halls;
};

struct FakeUpstream {
    std::string address;
    std::string hall;
    bool deduplicates = false;
    Behaviour behaviour = Behaviour::Good;
    bool leaving = false;
    Micros leaving_since = 0;
};

/// The oracle's record of one request.
struct RequestModel {
    std::size_t daemon = 0;
    std::uint64_t incarnation = 0;
    std::size_t pipeline = 0;
    std::string key;
    std::string body;
    int replies = 0;
    bool reported_not_run = false;
    bool ran = false;
    Micros deadline = 0;
};

/// An idempotency key that callers may use again.
struct UsedKey {
    std::string key;
    std::size_t pipeline = 0;
    std::string body;
    WallMs time = 0;
};

class World {
public:
    explicit World(std::uint64_t seed);
    ~World();
    World(const World&) = delete;
    World& operator=(const World&) = delete;

    // Steps.
    void call(std::size_t daemon, std::size_t pipeline);
    void repeat_call(std::size_t daemon, std::size_t key_index, bool other_body);
    void advance(Micros span) { m_time.run_for(span); }
    void set_behaviour(std::size_t upstream, Behaviour behaviour);
    void leave(std::size_t upstream);
    void kill(std::size_t daemon);
    void pause(std::size_t daemon);
    void resume(std::size_t daemon);
    void stop(std::size_t daemon);
    void race_bundles(bool first_wins);
    void repeat_last_answers();
    void trim_claims();
    FakeLog& log() { return m_log; }

    /// Ends all faults, advances the time, and checks the invariants of the final state.
    void settle();

    /// The first invariant that was violated; empty: none.
    const std::string& violation_message() const { return m_violation; }

    std::size_t upstream_count() const { return m_upstreams.size(); }
    std::size_t replies() const { return m_replies; }

private:
    struct Daemon;
    struct RequestData;

    void start_daemon(std::size_t index);
    void deliver(std::size_t daemon, std::uint64_t incarnation, Micros delay,
                 std::function<void(Daemon&)> action);
    void issue(std::size_t daemon, std::size_t pipeline, const std::string& key,
               const std::string& body);
    void feed(Daemon& daemon, const Event& event);
    void feed_claims(Daemon& daemon, const ClaimEvent& event);
    void act(Daemon& daemon, const SendAttempt& action);
    void act(Daemon& daemon, const CancelAttempt& action);
    void act(Daemon& daemon, const BeginClaim& action);
    void act(Daemon& daemon, const EndClaim& action);
    // No pipeline of this world has pieces.
    void act(Daemon&, const BeginPreparation&) { }
    void act(Daemon&, const CancelPreparation&) { }
    void act(Daemon&, const ReleaseInputs&) { }
    void act(Daemon&, const ReportUnreachable&) { }
    void act(Daemon& daemon, const Reply& action);
    void act(Daemon& daemon, const Forget& action);
    void end_attempt(Daemon& daemon, AttemptId attempt, AttemptStatus status,
                     const std::string& output);
    void arrive(std::size_t daemon, std::uint64_t incarnation, const SendAttempt& send,
                std::size_t upstream, const std::string& input);
    bool has_conflicting_body(const std::string& key, const std::string& input) const;
    std::string run(FakeUpstream& upstream, const SendAttempt& send, RequestModel& model,
                    const std::string& input);
    void append(Daemon& daemon, const ClaimBatch& batch);
    void poll(Daemon& daemon);
    void read_claims(Daemon& daemon);
    void read_node_list(Daemon& daemon);
    void read_bundles(Daemon& daemon);
    void tick(std::size_t daemon, std::uint64_t incarnation);
    void check_reply(Daemon& daemon, const Reply& action, RequestModel& model);
    void check_leaving(const Daemon& daemon, const FakeUpstream& upstream);
    void check_free_keys();
    void append_bundle(const BundleRecord& record);
    Bundle make_bundle(std::uint64_t version, std::uint64_t builds_on, int priority) const;
    bool can_reach_log(const Daemon& daemon) const;
    Micros random_delay();
    WallMs wall(const Daemon& daemon) const;
    void report_violation(const std::string& what);

    Timeline m_time;
    std::mt19937_64 m_random;
    FakeLog m_log;
    KeyPair m_operator;
    std::vector<FakeUpstream> m_upstreams;
    std::vector<std::unique_ptr<Daemon>> m_daemons;
    std::map<RequestId, RequestModel> m_request_models;
    std::map<std::string, std::string> m_deduplicated; ///< key to body, of the whole set
    std::map<std::string, int> m_once_runs; ///< runs of non-repeatable stages, by key
    std::vector<UsedKey> m_keys;
    std::map<std::uint64_t, std::string> m_bundle_bytes; ///< canonical JSON, by version
    std::uint64_t m_newest_version = 0;
    std::uint64_t m_next_incarnation = 1;
    RequestId m_next_request = 1;
    std::uint64_t m_next_body = 1;
    std::size_t m_replies = 0;
    std::string m_violation;
};

} // namespace cypressford::fuzz

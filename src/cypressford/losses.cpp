// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include "losses.h"

#include <algorithm>

namespace cypressford {

namespace {

constexpr std::int64_t kMsPerSecond = 1000;

/// Information from the events of a request that has not ended yet.
struct RequestTrace {
    std::string pipeline;
    std::string failed_pieces; ///< "pieces SET WHY" of the last stage that failed
    std::string slowest_stage; ///< upstream set of the slowest stage
    std::int64_t slowest_us = 0;
    std::string last_attempt; ///< status of the last attempt
    std::string engine_set;
    int attempts = 0;
    std::map<std::string, std::int64_t> made; ///< number of pieces, by upstream set
};

class LossFinder {
public:
    LossFinder(const std::vector<LoggedEvent>& events, const LogFaults& faults)
    {
        m_losses.faults = faults;
        m_losses.events = events.size();
        if (events.empty())
            return;
        m_losses.first_ms = events.front().wall_ms();
        m_losses.last_ms = events.back().wall_ms();
        for (const LoggedEvent& event : events)
            add_event(event);
        for (const std::string& address : m_leaders)
            if (!m_peers.contains(address))
                m_losses.missing.insert(address);
    }

    Losses result() && { return std::move(m_losses); }

private:
    void add_event(const LoggedEvent& event)
    {
        m_losses.nodes.emplace(event.text("node"));
        const std::string_view kind = event.text("event");
        if (kind == "daemon_start")
            m_peers.emplace(event.text("peers"));
        else if (kind == "request_begin")
            trace_of(event).pipeline = event.text("pipeline");
        else if (kind == "pieces")
            add_pieces(event);
        else if (kind == "piece_call")
            add_piece_call(event);
        else if (kind == "prompt_placed")
            add_prompt(event);
        else if (kind == "attempt_end")
            add_attempt(event);
        else if (kind == "request_end")
            add_request_end(event);
    }

    RequestTrace& trace_of(const LoggedEvent& event)
    {
        return m_traces[std::string(event.text("request"))];
    }

    void add_pieces(const LoggedEvent& event)
    {
        const std::string set(event.text("set"));
        if (const std::string leader(event.text("leader")); !leader.empty())
            m_leaders.insert(leader);
        RequestTrace& trace = trace_of(event);
        const std::int64_t duration_us = event.number("us");
        if (event.text("made") == "true") {
            trace.made[set] += event.number("count");
            m_losses.sets[set].made += event.number("count");
            m_losses.sets[set].took_us.push_back(duration_us);
        } else if (event.text("why") != "other_stage") {
            trace.failed_pieces = "pieces " + set + " " + std::string(event.text("why"));
        }
        if (event.text("made") == "true" && duration_us > trace.slowest_us) {
            trace.slowest_us = duration_us;
            trace.slowest_stage = set;
        }
    }

    void add_piece_call(const LoggedEvent& event)
    {
        SetLosses& set = m_losses.sets[std::string(event.text("set"))];
        const std::int64_t pieces = event.number("pieces");
        set.upstreams.emplace(event.text("identity"));
        set.busy_us += event.number("us");
        ++set.calls;
        set.bound = std::max(set.bound, event.number("bound"));
        set.pieces += pieces;
        if (event.number("left_waiting") > 0) {
            ++set.calls_with_waiting;
            set.pieces_with_waiting += pieces;
        }
        set.broken_calls += event.text("whole") == "true" ? 0 : 1;
        set.input_gone += event.number("input_gone");
        set.no_memory += event.number("no_memory");
        set.memory_kb.push_back(event.number("memory_kb"));
    }

    void add_prompt(const LoggedEvent& event)
    {
        const std::string set(event.text("set"));
        trace_of(event).engine_set = set;
        EngineLosses& engine = m_losses.engines[set];
        ++engine.prompts;
        engine.tokens += event.number("tokens");
        engine.tokens_read += event.number("unread");
        engine.tokens_again += event.number("again");
    }

    void add_attempt(const LoggedEvent& event)
    {
        RequestTrace& trace = trace_of(event);
        trace.last_attempt = event.text("status");
        ++trace.attempts;
        const std::int64_t first = event.number("first_byte_us");
        if (first > 0 && !trace.engine_set.empty())
            m_losses.engines[trace.engine_set].first_event_us.push_back(first);
    }

    void add_request_end(const LoggedEvent& event)
    {
        const RequestTrace& trace = trace_of(event);
        const std::string outcome(event.text("outcome"));
        const std::int64_t second = (event.wall_ms() - m_losses.first_ms) / kMsPerSecond;
        RequestCounts& of_pipeline
            = m_losses.by_pipeline[std::string(event.text("pipeline"))];
        for (RequestCounts* counts : {&of_pipeline, &m_losses.by_second[second]})
            count(*counts, event, trace, outcome);
        if (outcome != "ok")
            for (const auto& [set, made] : trace.made)
                m_losses.sets[set].unused += made;
        m_traces.erase(std::string(event.text("request")));
    }

    static void count(RequestCounts& counts, const LoggedEvent& event,
                      const RequestTrace& trace, const std::string& outcome)
    {
        ++counts.asked;
        if (outcome == "caller_gone") {
            ++counts.left;
        } else if (outcome != "ok") {
            ++(event.text("ran") == "not_run" ? counts.refused : counts.failed);
            ++counts.reasons[failure_reason(trace, outcome)];
        } else if (is_late(event)) {
            ++counts.late;
            ++counts.reasons[lateness_reason(event, trace)];
        } else {
            ++counts.in_time;
        }
    }

    static bool is_late(const LoggedEvent& event)
    {
        const std::int64_t first = event.number("first_us");
        const std::int64_t started_us = first > 0 ? first : event.number("us");
        const std::int64_t target_us = event.number("aim_us");
        return target_us > 0 && started_us > target_us;
    }

    static std::string failure_reason(const RequestTrace& trace, const std::string& outcome)
    {
        if (!trace.failed_pieces.empty())
            return trace.failed_pieces;
        if (trace.attempts > 0)
            return "attempt " + trace.last_attempt;
        return "refused " + outcome;
    }

    static std::string lateness_reason(const LoggedEvent& event, const RequestTrace& trace)
    {
        if (trace.attempts > 1)
            return "late retry";
        // The slowest stage is the reason if it took more than half of the time to the
        // first event.
        if (2 * trace.slowest_us > event.number("first_us") && trace.slowest_us > 0)
            return "late pieces " + trace.slowest_stage;
        return trace.engine_set.empty() ? "late upstream"
                                        : "late engine " + trace.engine_set;
    }

    Losses m_losses;
    std::map<std::string, RequestTrace> m_traces; ///< unfinished requests, by id
    std::set<std::string> m_leaders; ///< addresses to which orders were sent
    std::set<std::string> m_peers; ///< addresses of the daemons whose logs were read
};

} // namespace

Losses
find_losses(const std::vector<LoggedEvent>& events, const LogFaults& faults)
{
    return LossFinder(events, faults).result();
}

} // namespace cypressford

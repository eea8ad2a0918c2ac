// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include <cypressford/claims.h>
#include <cypressford/mutation.h>

#include <algorithm>

#include <boost/uuid/string_generator.hpp>
#include <boost/uuid/uuid.hpp>

namespace cypressford {

std::optional<WallMs>
uuid7_time(std::string_view text)
{
    constexpr std::size_t kUuidLength = 36;
    constexpr int kVersion = 7;
    if (text.size() != kUuidLength)
        return std::nullopt;
    try {
        const auto uuid = boost::uuids::string_generator {}(text.begin(), text.end());
        if (uuid.data[6] >> 4 != kVersion)
            return std::nullopt;
        // RFC 9562: the first 48 bits are milliseconds since 1970.
        WallMs time = 0;
        for (int i = 0; i < 6; ++i)
            time = (time << 8) | uuid.data[i];
        return time;
    } catch (const std::runtime_error&) {
        return std::nullopt;
    }
}

Claimer::Claimer(std::uint64_t maker, ClaimOptions options)
    : m_options(options)
    , m_maker(maker)
    , m_ledger(options)
{
}

void
Claimer::handle(const ClaimEvent& event, ClaimTime time, ClaimActions& out)
{
    m_time = time;
    m_out = &out;
    std::visit([this](const auto& e) { on(e); }, event);
    drop_finished();
    append_if_due();
}

void
Claimer::on(const ClaimRequested& event)
{
    Pending pending;
    pending.requested = event;
    pending.id = {m_maker, m_next_number++};
    auto& stored = m_pending.emplace(event.request, std::move(pending)).first->second;
    m_by_id.emplace(stored.id, event.request);
    m_by_key.emplace(event.key, event.request);
    const auto* state = m_ledger.find(event.key);
    if (mutated(Mutation::SendUnclaimed))
        decide(stored, ClaimResult::Won, std::nullopt);
    else if (state && state->claimed)
        decide_from_ledger(stored);
    else if (event.key_time <= m_ledger.floor())
        decide(stored, ClaimResult::Expired, std::nullopt);
    else if (log_unavailable(m_time.now))
        decide(stored, ClaimResult::Unavailable, std::nullopt);
}

void
Claimer::on(const ClaimRequestEnded& event)
{
    auto it = m_pending.find(event.request);
    if (it == m_pending.end())
        return;
    Pending& pending = it->second;
    pending.finished = true;
    if (pending.won) {
        const ClaimRequested& requested = pending.requested;
        ClaimEnded end {pending.id, requested.key, requested.key_time, event.outcome,
                        event.answer};
        if (end.answer && end.answer->body.size() > m_options.max_answer)
            end.answer.reset();
        m_ends[pending.id] = std::move(end);
    } else {
        release_if_needed(pending);
    }
    m_finished.push_back(event.request);
}

void
Claimer::on(const AppendEnded& event)
{
    m_append_running = false;
    for (const RequestId request : m_appending_claims) {
        auto it = m_pending.find(request);
        if (it != m_pending.end())
            (event.stored ? it->second.stored : it->second.in_doubt) = true;
    }
    // An end that is certainly in the log needs no further append.
    if (event.stored)
        for (const ClaimId& id : m_appending_ends)
            m_ends.erase(id);
    if (event.stored) {
        m_failing_since.reset();
        return;
    }
    if (!m_failing_since)
        m_failing_since = m_time.now;
    m_retry_at = m_time.now + m_options.append_retry_delay;
}

void
Claimer::on(const ClaimRecordRead& event)
{
    if (event.offset < m_ledger.next())
        return;
    m_ledger.apply(event.offset, event.batch, m_time.wall);
    // This daemon's own record is in the log, so appends take effect; only their answers
    // were lost.
    if (event.batch.maker == m_maker) {
        m_failing_since.reset();
        m_retry_at = 0;
    }
    for (const ClaimMade& claim : event.batch.claims)
        if (claim.id.maker == m_maker)
            on_own_claim(claim);
    for (const ClaimEnded& end : event.batch.ends) {
        if (end.id.maker == m_maker)
            m_ends.erase(end.id);
        reconsider_pending(end.key);
    }
}

void
Claimer::on(const FirstRetained& event)
{
    m_ledger.on_first_retained(event.offset, m_time.wall);
}

void
Claimer::on(const ClaimTick&)
{
    expire_pending();
}

/// Decides a request whose key is claimed already, by this or another daemon.
void
Claimer::decide_from_ledger(Pending& pending)
{
    const auto& state = *m_ledger.find(pending.requested.key);
    if (state.fingerprint != pending.requested.fingerprint)
        return decide(pending, ClaimResult::Mismatch, std::nullopt);
    if (!state.outcome)
        return; // the outcome may still arrive before the deadline
    const bool replayable = state.outcome == ClaimOutcome::Done && state.answer;
    decide(pending, replayable ? ClaimResult::Replayed : ClaimResult::Unknown,
           state.answer);
}

void
Claimer::decide(Pending& pending, ClaimResult result, std::optional<RecordedAnswer> answer)
{
    DecideClaim decision {pending.requested.request, result, std::move(answer), 0};
    if (result == ClaimResult::Won) {
        pending.won = true;
        decision.fence = m_ledger.next();
    } else {
        pending.finished = true;
        release_if_needed(pending);
        m_finished.push_back(pending.requested.request);
    }
    m_out->push_back(std::move(decision));
}

void
Claimer::on_own_claim(const ClaimMade& claim)
{
    auto it = m_by_id.find(claim.id);
    if (it == m_by_id.end())
        return;
    Pending& pending = m_pending.at(it->second);
    if (pending.won)
        return;
    pending.seen = true;
    const auto* state = m_ledger.find(claim.key);
    const bool held = state && state->claimed;
    if (held && state->winner == claim.id) {
        // Records that could not be read may contain an earlier claim.
        const bool certain = claim.key_time > m_ledger.floor();
        decide(pending, certain ? ClaimResult::Won : ClaimResult::Expired, std::nullopt);
    } else if (held) {
        decide_from_ledger(pending);
    } else {
        decide(pending, ClaimResult::Unavailable, std::nullopt);
    }
}

/// Handles an outcome read for a key: requests that wait for the key are decided or, if
/// the key was released, claim it again.
void
Claimer::reconsider_pending(const std::string& key)
{
    const auto* state = m_ledger.find(key);
    if (!state)
        return;
    auto [first, last] = m_by_key.equal_range(key);
    for (auto it = first; it != last; ++it) {
        Pending& pending = m_pending.at(it->second);
        if (pending.finished || pending.won)
            continue;
        if (state->claimed)
            decide_from_ledger(pending);
        else
            pending.seen = pending.stored = false; // claim again, under the same id
    }
}

/// Releases a claim that will not be used.  Not needed if it was never appended, nor
/// if its only copy was read in the log and lost to another claim.
void
Claimer::release_if_needed(const Pending& pending)
{
    const auto* state = m_ledger.find(pending.requested.key);
    const bool lost = state && state->claimed && state->winner != pending.id;
    if (!pending.appended || (pending.seen && lost && !pending.in_doubt))
        return;
    const ClaimRequested& requested = pending.requested;
    m_ends[pending.id] = {pending.id, requested.key, requested.key_time,
                          ClaimOutcome::NotRun, std::nullopt};
}

/// Decides requests whose deadline has passed, whether or not their key has an outcome.
void
Claimer::expire_pending()
{
    for (auto& [request, pending] : m_pending) {
        if (pending.finished || pending.won || m_time.now < pending.requested.deadline)
            continue;
        const auto* state = m_ledger.find(pending.requested.key);
        const bool held = state && state->claimed;
        decide(pending, held ? ClaimResult::InProgress : ClaimResult::Unavailable,
               std::nullopt);
    }
    if (!log_unavailable(m_time.now))
        return;
    for (auto& [request, pending] : m_pending)
        if (!pending.finished && !pending.won && !m_ledger.find(pending.requested.key))
            decide(pending, ClaimResult::Unavailable, std::nullopt);
}

void
Claimer::drop_finished()
{
    for (const RequestId request : m_finished) {
        auto it = m_pending.find(request);
        if (it == m_pending.end())
            continue;
        m_by_id.erase(it->second.id);
        auto [first, last] = m_by_key.equal_range(it->second.requested.key);
        for (auto entry = first; entry != last; ++entry) {
            if (entry->second == request) {
                m_by_key.erase(entry);
                break;
            }
        }
        m_pending.erase(it);
    }
    m_finished.clear();
}

void
Claimer::append_if_due()
{
    if (m_append_running || m_time.now < m_retry_at)
        return;
    const Micros burst = m_options.min_append_interval * (m_options.append_burst - 1);
    if (m_time.now < m_next_append - burst)
        return;
    ClaimBatch batch = make_batch();
    // While the log is unavailable, an empty record detects its recovery.
    if (batch.empty() && !m_failing_since)
        return;
    m_next_append = std::max(m_next_append, m_time.now) + m_options.min_append_interval;
    m_append_running = true;
    m_out->push_back(StartAppend {std::move(batch)});
}

ClaimBatch
Claimer::make_batch()
{
    ClaimBatch batch;
    batch.maker = m_maker;
    batch.made_at = m_time.wall;
    batch.seen = m_ledger.next() - 1;
    m_appending_claims.clear();
    m_appending_ends.clear();
    for (const auto& [id, end] : m_ends) {
        if (batch.ends.size() == m_options.max_batch)
            break;
        batch.ends.push_back(end);
        m_appending_ends.push_back(id);
    }
    for (auto& [request, pending] : m_pending) {
        if (batch.claims.size() == m_options.max_batch)
            break;
        const auto* state = m_ledger.find(pending.requested.key);
        const bool held = state && state->claimed;
        if (pending.finished || pending.won || pending.seen || pending.stored || held)
            continue;
        pending.appended = true;
        m_appending_claims.push_back(request);
        const ClaimRequested& requested = pending.requested;
        batch.claims.push_back(
            {pending.id, requested.key, requested.fingerprint, requested.key_time});
    }
    return batch;
}

bool
Claimer::idle() const
{
    return m_ends.empty() && m_pending.empty() && !m_append_running;
}

bool
Claimer::log_unavailable(Micros now) const
{
    return m_failing_since && now - *m_failing_since >= m_options.outage_wait_limit;
}

} // namespace cypressford

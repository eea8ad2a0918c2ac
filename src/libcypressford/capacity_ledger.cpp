// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include <cypressford/capacity_ledger.h>

#include <algorithm>
#include <cmath>
#include <numeric>

namespace cypressford {

namespace {

constexpr double kMicrosPerSecond = kSecond;
/// Part of the rate that remains for each priority, so that a long burst of more urgent
/// requests excludes no kind of request.  Ten priorities can claim at most half of the
/// rate.
constexpr double kLeastShare = 0.05;
/// An account is over its share above this multiple of the even part, so that accounts with
/// slightly uneven demand are not refused before others.
constexpr double kShareTolerance = 1.5;
/// Fraction of the slack that a wait may use up before accounts are limited to their share,
/// as in the admission of a daemon (BudgetAdmission).  With half of it, accounts that are
/// always larger than others were refused in peaks in which everything was served in time.
constexpr double kContendedSlack = 0.8;
/// Averaging time of the inflow, longer than the peaks of a second or less in which
/// requests of a steady demand come close together: the queue takes these up.
constexpr double kInflowWindow = 3.0 * kSecond;
/// Averaging time of the measured rate.  A second leader halves the rate of the first one,
/// which must show within a second: 86% of the average is then newer.
constexpr double kRateWindow = 500 * kMillisecond;
/// Time in which the measured rate loses its weight while the set is not saturated.  Longer
/// than pieces take to reach the last of three sets (0.6 s): else the full rate would be
/// promised again before the pieces admitted by it arrive.
constexpr double kRateMemory = 2 * kSecond;
/// Work ahead of a request, in seconds at the whole rate, up to which more urgent pieces do
/// not delay it.  Without this limit, less urgent requests were refused on days without an
/// overload, because more urgent ones use most of the rate but leave room in the calls.
constexpr double kContendedWork = 0.1;
/// Calls in kRateWindow below which the measured rate counts in part only.
constexpr double kMinCalls = 5;
/// Time of work in the queue from which on the set is saturated.  Shorter queues may
/// consist of pieces that wait for an upstream of their hall.
constexpr double kSaturatedQueue = 100 * kMillisecond;
/// A shorter time makes callers ask again before the set has completed much work.
constexpr Micros kShortestRetry = 200 * kMillisecond;
/// Callers honour no retry time longer than this part of the time to their deadline.
constexpr Micros kRetryDivisor = 3;
/// Upper bound of waits (us); longer than any request's deadline.
constexpr double kMaxWaitUs = 3600.0 * kSecond;

int
pieces_up_to(const PieceCounts& counts, int priority)
{
    return std::accumulate(counts.begin(), counts.begin() + priority + 1, 0);
}

int&
at(PieceCounts& counts, int priority)
{
    return counts.at(static_cast<std::size_t>(priority));
}

int
at(const PieceCounts& counts, int priority)
{
    return counts.at(static_cast<std::size_t>(priority));
}

double
decay(Micros elapsed, double window)
{
    return std::exp(-static_cast<double>(std::max<Micros>(0, elapsed)) / window);
}

/// Time to complete that many pieces.
Micros
time_for(double pieces, double rate)
{
    return static_cast<Micros>(std::min(pieces * kMicrosPerSecond / rate, kMaxWaitUs));
}

} // namespace

void
MeasuredRate::record_call(int pieces, bool saturated, Micros now)
{
    m_weight = weight_at(now);
    if (m_saturated) {
        const double kept = decay(now - m_last_call, kRateWindow);
        m_pieces = m_pieces * kept + pieces;
        m_calls = m_calls * kept + 1;
        m_seconds = m_seconds * kept + (1 - kept) * kRateWindow / kMicrosPerSecond;
    }
    m_saturated = saturated;
    m_last_call = now;
}

double
MeasuredRate::weight_at(Micros now) const
{
    if (m_saturated)
        return 1 - (1 - m_weight) * decay(now - m_last_call, kRateWindow);
    return m_weight * decay(now - m_last_call, kRateMemory);
}

double
MeasuredRate::get(double full_rate, Micros now) const
{
    // While the set is saturated and no call is sent, the time counts without any pieces.
    const double kept = m_saturated ? decay(now - m_last_call, kRateWindow) : 1;
    const double seconds = m_seconds * kept + (1 - kept) * kRateWindow / kMicrosPerSecond;
    if (seconds <= 0)
        return full_rate;
    const double weight = weight_at(now) * std::min(1.0, m_calls / kMinCalls);
    const double measured = std::min(full_rate, m_pieces * kept / seconds);
    return std::max(kLeastShare * full_rate, weight * measured + (1 - weight) * full_rate);
}

void
ExpectedPieces::advance(Micros now)
{
    const std::int64_t present = now / kSlot;
    const std::int64_t last = std::min(present, m_first + kSlots);
    for (std::int64_t slot = m_first; slot < last; ++slot) {
        PieceCounts& passed = m_slots.at(static_cast<std::size_t>(slot % kSlots));
        for (std::size_t priority = 0; priority < passed.size(); ++priority)
            m_overdue.at(priority) += std::exchange(passed.at(priority), 0);
    }
    m_first = std::max(m_first, present);
}

std::int64_t
ExpectedPieces::slot_of(Micros arrival) const
{
    return std::clamp(arrival / kSlot, m_first, m_first + kSlots - 1);
}

void
ExpectedPieces::change(std::int64_t slot, int priority, int pieces)
{
    PieceCounts& counts
        = slot < m_first ? m_overdue : m_slots.at(static_cast<std::size_t>(slot % kSlots));
    at(counts, priority) += pieces;
}

const PieceCounts&
ExpectedPieces::arriving(int ahead) const
{
    return m_slots.at(static_cast<std::size_t>((m_first + ahead) % kSlots));
}

void
AccountShares::change(const std::string& account, int priority, int pieces)
{
    const auto it = m_by_account.try_emplace(account).first;
    PieceCounts& own = it->second;
    int before = pieces_up_to(own, priority - 1);
    for (int p = priority; p <= kLowestPriority; ++p) {
        before += at(own, p);
        at(m_accounts, p) += (before + pieces > 0 ? 1 : 0) - (before > 0 ? 1 : 0);
    }
    at(own, priority) += pieces;
    at(m_total, priority) += pieces;
    if (pieces_up_to(own, kLowestPriority) == 0)
        m_by_account.erase(it);
}

bool
AccountShares::is_over_share(const std::string& account, int priority) const
{
    const auto it = m_by_account.find(account);
    const int accounts = at(m_accounts, priority);
    if (it == m_by_account.end() || accounts < 2)
        return false;
    const double even = static_cast<double>(pieces_up_to(m_total, priority)) / accounts;
    return pieces_up_to(it->second, priority) > kShareTolerance * even;
}

CapacityVerdict
CapacityLedger::reserve(const CapacityQuery& asked, const SetCapacity& capacity, Micros now)
{
    advance(now);
    release(asked.attempt);
    if (asked.pieces <= 0)
        return {};
    CapacityQuery query = asked;
    query.priority = std::clamp(query.priority, 0, kLowestPriority);
    query.starts_in = std::max<Micros>(0, query.starts_in);
    CapacityVerdict verdict;
    Micros claim = 0;
    // Without a usable upstream there is no rate to promise; other code refuses.
    if (capacity.pieces_per_s > 0) {
        const int queued = pieces_up_to(capacity.queued, kLowestPriority);
        m_has_long_queue
            = queued * kMicrosPerSecond / capacity.pieces_per_s > kSaturatedQueue;
        const double rate = m_measured.get(capacity.pieces_per_s, m_now);
        verdict = decide({query, capacity.queued, rate}, claim);
    }
    if (verdict.admitted && !is_full())
        add(query, claim);
    return verdict;
}

CapacityVerdict
CapacityLedger::decide(const Situation& situation, Micros& claim)
{
    const CapacityQuery& query = situation.query;
    const Micros slack = query.due_in - query.starts_in;
    const Micros by_least_share = wait_by_least_share(situation);
    // With a claim to the least share, the pieces start by the latest start.
    const bool has_claim = slack >= 0 && by_least_share <= slack;
    const Micros wait
        = std::min(wait_by_priority(situation), has_claim ? slack : by_least_share);
    // The request is late even with an idle set: nothing is gained by a retry.
    if (slack < 0)
        return {true, wait, 0};
    if (wait > slack)
        return refuse(situation, wait);
    if (!is_full() && wait > kContendedSlack * static_cast<double>(slack)
        && m_shares.is_over_share(query.account, query.priority))
        return refuse(situation, wait);
    if (const Micros way = time_to_make_way(situation); way > 0)
        return refuse(situation, std::max(wait, way));
    if (has_claim)
        claim = time_for(query.pieces, kLeastShare * situation.rate);
    return {true, wait, 0};
}

/// Pieces that are in the queue or overdue, by priority.
PieceCounts
CapacityLedger::work_present(const PieceCounts& queued) const
{
    PieceCounts sum = queued;
    if (!is_full())
        for (std::size_t p = 0; p < sum.size(); ++p)
            sum.at(p) += m_expected.overdue().at(p);
    return sum;
}

/// Promised pieces of the priorities from `first` to `last` that arrive in the slot.
int
CapacityLedger::expected_pieces(int slot, int first, int last) const
{
    if (is_full())
        return 0;
    const PieceCounts& arriving = m_expected.arriving(slot);
    return std::accumulate(arriving.begin() + first, arriving.begin() + last + 1, 0);
}

/// Expected wait if more urgent pieces always go first.  The queue is followed slot by slot
/// until the pieces of the request arrive, since the set cannot work ahead on promised
/// pieces that arrive later.  More urgent pieces are expected as promised, or as frequently
/// as they arrived lately.  Pieces of the same priority that are promised for a later time
/// must keep their place: the longest wait from the request's own arrival on counts.
Micros
CapacityLedger::wait_by_priority(const Situation& situation) const
{
    const int priority = situation.query.priority;
    const double rate = situation.rate;
    double inflow = std::accumulate(m_inflow.begin(), m_inflow.begin() + priority, 0.0);
    inflow *= decay(m_now - m_inflow_at, kInflowWindow);
    const double drain = std::max(kLeastShare * rate, rate - inflow);
    double ahead = pieces_up_to(work_present(situation.queued), priority);
    double longest = 0;
    const Micros arrival = m_now + situation.query.starts_in;
    Micros slot_end = (m_now / ExpectedPieces::kSlot + 1) * ExpectedPieces::kSlot;
    double seconds = static_cast<double>(slot_end - m_now) / kMicrosPerSecond;
    for (int slot = 0; slot < ExpectedPieces::kSlots; ++slot) {
        const bool arrived = slot_end > arrival || slot + 1 == ExpectedPieces::kSlots;
        ahead += expected_pieces(slot, priority, priority);
        if (arrived)
            longest = std::max(longest, ahead);
        else
            ahead += std::max<double>(inflow * seconds,
                                      expected_pieces(slot, 0, priority - 1));
        ahead = std::max(0.0, ahead - (arrived ? drain : rate) * seconds);
        slot_end += ExpectedPieces::kSlot;
        seconds = ExpectedPieces::kSlot / kMicrosPerSecond;
    }
    // Little work fits into calls that are not full, and waits behind no more urgent
    // pieces.
    return time_for(longest, longest <= kContendedWork * rate ? rate : drain);
}

/// Expected wait if only the least share of the rate is left for the request's priority:
/// until the set has completed the pieces of the priority, and until the share is not
/// claimed by earlier requests.
Micros
CapacityLedger::wait_by_least_share(const Situation& situation) const
{
    const int priority = situation.query.priority;
    int own = at(work_present(situation.queued), priority);
    for (int slot = 0; slot < ExpectedPieces::kSlots; ++slot)
        own += expected_pieces(slot, priority, priority);
    const Micros until_served = time_for(own, kLeastShare * situation.rate);
    const Micros claimed = m_claimed_until.at(static_cast<std::size_t>(priority)) - m_now;
    return std::max<Micros>(0, std::max(until_served, claimed) - situation.query.starts_in);
}

/// Time for which the request must make way for less urgent pieces that were admitted by
/// their least share; 0 if it need not.  The queue sends such pieces only when no more
/// urgent ones wait, so these must be completed before the latest start.  A request with
/// less than half a call of work ahead of it never makes way: the less urgent pieces find
/// room in the same call.
Micros
CapacityLedger::time_to_make_way(const Situation& situation)
{
    const CapacityQuery& query = situation.query;
    const int ahead = pieces_up_to(work_present(situation.queued), query.priority);
    if (is_full() || ahead <= m_measured.pieces_per_call() / 2)
        return 0;
    for (int p = query.priority + 1; p <= kLowestPriority; ++p) {
        drop_served(p, at(situation.queued, p));
        const ByTime& claims = m_least_share.at(static_cast<std::size_t>(p));
        if (claims.empty())
            continue;
        const Micros left = claims.begin()->first - m_now;
        const double work = ahead + query.pieces + at(m_least_share_pieces, p);
        if (query.starts_in < left && time_for(work, situation.rate) > left)
            return left;
    }
    return 0;
}

/// Forgets claims to the least share that are too late or that the set has served: ordered
/// pieces of which no more wait.
void
CapacityLedger::drop_served(int priority, int queued)
{
    ByTime& claims = m_least_share.at(static_cast<std::size_t>(priority));
    while (!claims.empty()) {
        const auto it = m_entries.find(*claims.begin()->second);
        Entry& entry = it->second;
        const int others = at(m_least_share_ordered, priority) - entry.pieces;
        if (entry.due > m_now && (!entry.ordered || others < queued))
            return;
        end_least_share(it->first, entry);
    }
}

void
CapacityLedger::end_least_share(const std::string& attempt, Entry& entry)
{
    if (entry.claim == 0)
        return;
    if (!entry.ordered)
        m_claimed_until.at(static_cast<std::size_t>(entry.priority)) -= entry.claim;
    entry.claim = 0;
    m_least_share.at(static_cast<std::size_t>(entry.priority)).erase({entry.due, &attempt});
    at(m_least_share_pieces, entry.priority) -= entry.pieces;
    if (entry.ordered)
        at(m_least_share_ordered, entry.priority) -= entry.pieces;
}

/// Assigns the caller the next time at which the set has completed the work ahead and the
/// pieces of the callers refused before.
CapacityVerdict
CapacityLedger::refuse(const Situation& situation, Micros wait)
{
    const CapacityQuery& query = situation.query;
    const Micros longest = std::max<Micros>(0, query.expires_in / kRetryDivisor);
    const auto last = m_next_retry.begin() + query.priority;
    const Micros free_at = *std::max_element(m_next_retry.begin(), last + 1);
    const Micros slot = std::max(free_at, m_now + std::max(wait, kShortestRetry));
    if (slot - m_now <= longest) {
        *last = slot + time_for(query.pieces, situation.rate);
        return {false, wait, slot - m_now};
    }
    // Multiples of the golden ratio, modulo 1, are spread evenly over any period.
    constexpr double golden_ratio = 0.6180339887498949;
    const double product = golden_ratio * static_cast<double>(++m_spread_retries);
    const Micros shortest = std::min(longest, std::max(longest / 2, kShortestRetry));
    const auto span = static_cast<double>(longest - shortest);
    const auto part = static_cast<Micros>((product - std::floor(product)) * span);
    return {false, wait, shortest + part};
}

void
CapacityLedger::advance(Micros now)
{
    m_now = std::max(m_now, now);
    m_expected.advance(m_now);
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= m_now)
        erase(m_entries.find(*m_deadlines.begin()->second));
}

void
CapacityLedger::add(const CapacityQuery& query, Micros claim)
{
    Entry entry;
    entry.account = query.account;
    entry.priority = query.priority;
    entry.pieces = query.pieces;
    entry.slot = m_expected.slot_of(m_now + query.starts_in);
    entry.due = m_now + query.due_in;
    entry.claim = claim;
    entry.deadline = m_now + query.expires_in;
    const auto it = m_entries.emplace(query.attempt, entry).first;
    m_deadlines.emplace(entry.deadline, &it->first);
    m_expected.change(entry.slot, entry.priority, entry.pieces);
    m_shares.change(entry.account, entry.priority, entry.pieces);
    if (claim == 0)
        return;
    Micros& claimed_until = m_claimed_until.at(static_cast<std::size_t>(entry.priority));
    claimed_until = std::max(claimed_until, m_now) + claim;
    m_least_share.at(static_cast<std::size_t>(entry.priority))
        .emplace(entry.due, &it->first);
    at(m_least_share_pieces, entry.priority) += entry.pieces;
}

void
CapacityLedger::erase(Entries::iterator it)
{
    Entry& entry = it->second;
    end_least_share(it->first, entry);
    if (!entry.ordered)
        m_expected.change(entry.slot, entry.priority, -entry.pieces);
    m_shares.change(entry.account, entry.priority, -entry.pieces);
    m_deadlines.erase({entry.deadline, &it->first});
    m_entries.erase(it);
}

void
CapacityLedger::on_ordered(const std::string& attempt)
{
    const auto it = m_entries.find(attempt);
    if (it == m_entries.end() || it->second.ordered)
        return;
    Entry& entry = it->second;
    entry.ordered = true;
    m_expected.change(entry.slot, entry.priority, -entry.pieces);
    if (entry.claim > 0)
        at(m_least_share_ordered, entry.priority) += entry.pieces;
    record_inflow(entry.priority, entry.pieces);
}

void
CapacityLedger::record_inflow(int priority, int pieces)
{
    const double kept = decay(m_now - m_inflow_at, kInflowWindow);
    for (double& inflow : m_inflow)
        inflow *= kept;
    m_inflow.at(static_cast<std::size_t>(priority))
        += pieces * kMicrosPerSecond / kInflowWindow;
    m_inflow_at = m_now;
}

void
CapacityLedger::release(const std::string& attempt)
{
    const auto it = m_entries.find(attempt);
    if (it != m_entries.end())
        erase(it);
}

void
CapacityLedger::record_call(int pieces, bool left_waiting, Micros now)
{
    advance(now);
    m_measured.record_call(pieces, left_waiting && m_has_long_queue, m_now);
}

} // namespace cypressford

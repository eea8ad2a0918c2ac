// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Bursts at sets of batched upstreams, in virtual time: which requests the ledgers admit
/// and how many of them are answered in time.

#include <algorithm>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include <doctest/doctest.h>

#include <cypressford/capacity_ledger.h>

#include "test_times.h"

namespace cypressford {
namespace {

struct SetModel {
    int upstreams = 0;
    int call_limit = 0; ///< pieces in a call
    Micros call = 150 * kMillisecond;
    Micros per_piece = 0;
    int sent_limit = 0; ///< pieces in a call as memory for results allows; 0: call_limit

    Micros call_time(int pieces) const { return call + pieces * per_piece; }
    double rate() const
    {
        return upstreams * call_limit * double(kSecond) / double(call_time(call_limit));
    }
};

struct Caller {
    std::string account;
    int priority = 0;
    std::vector<int> pieces; ///< by set, which are needed in sequence
    Micros target = 1'500 * kMillisecond;
    bool retries = false;
    Micros first_try = 0;
};

constexpr Micros kDeadline = 6 * kSecond;

/// Counts of one run, by account.
struct Count {
    int in_time = 0; ///< answered within the target latency
    int answered = 0;
    int refused = 0; ///< and not retried
    int dropped = 0; ///< from a queue: overdue
};

/// Sets of upstreams, each with its leader's queue and ledger.  Pieces wait in the order of
/// priority and latest start; late ones go last within their priority, and are dropped when
/// they have waited for longer than a full call, as in PieceQueue.
class Load {
public:
    Load(const std::vector<SetModel>& models, bool with_ledger)
        : m_with_ledger(with_ledger)
    {
        for (const SetModel& model : models)
            m_sets.push_back({model, {}, {}, model.upstreams});
    }

    /// Random arrivals at that mean rate (per second).
    void add_arrivals(const Caller& caller, double rate, Micros from, Micros until)
    {
        std::exponential_distribution<double> gap(rate / kSecond);
        for (double at = double(from) + gap(m_random); at < double(until);
             at += gap(m_random)) {
            Caller arriving = caller;
            arriving.first_try = Micros(at);
            m_events.emplace(Micros(at), [this, arriving] { arrive(arriving); });
        }
    }
    /// The leaders are replaced by ones that know only the queues.
    void replace_leaders(Micros when)
    {
        m_events.emplace(when, [this] {
            for (Set& set : m_sets)
                set.ledger = {};
        });
    }
    void run()
    {
        while (!m_events.empty()) {
            auto event = m_events.extract(m_events.begin());
            m_now = event.key();
            event.mapped()();
        }
    }

    std::map<std::string, Count> counts;
    std::vector<Micros> retry_times;
    std::vector<Micros> in_time_arrivals;

private:
    struct Request {
        Caller caller;
        Micros arrived = 0;
        int unmade = 0; ///< pieces of the present set
    };
    /// Priority, whether late, latest start, request.
    using Rank = std::tuple<int, bool, Micros, int>;
    struct Set {
        SetModel model;
        std::map<Rank, int> waiting; ///< pieces
        CapacityLedger ledger;
        int free = 0; ///< upstreams
    };

    /// Time from the start of the first of these sets to the end of the last.
    Micros time_of(const Caller& caller, std::size_t first, std::size_t end) const
    {
        Micros sum = 0;
        for (; first < end; ++first)
            if (caller.pieces[first] > 0)
                sum += m_sets[first].model.call_time(m_sets[first].model.call_limit);
        return sum;
    }

    bool is_admitted(const Caller& caller, const std::string& attempt, Micros& retry_after)
    {
        bool admitted = true;
        for (std::size_t at = 0; at < m_sets.size(); ++at) {
            Set& set = m_sets[at];
            SetCapacity capacity {set.model.rate(), {}};
            for (const auto& [rank, pieces] : set.waiting)
                capacity.queued[std::size_t(std::get<0>(rank))] += pieces;
            const CapacityVerdict verdict = set.ledger.reserve(
                {attempt, caller.account, caller.priority, caller.pieces[at],
                 time_of(caller, 0, at), caller.target - time_of(caller, at, m_sets.size()),
                 caller.first_try + kDeadline - m_now},
                capacity, m_now);
            admitted = admitted && verdict.admitted;
            retry_after = std::max(retry_after, verdict.retry_after);
        }
        return admitted;
    }

    void arrive(const Caller& caller)
    {
        const int id = ++m_last_id;
        Micros retry_after = 0;
        if (!m_with_ledger || is_admitted(caller, std::to_string(id), retry_after)) {
            m_requests[id] = {caller, m_now, 0};
            return order(id, 0);
        }
        release(id);
        if (!caller.retries || m_now + retry_after >= caller.first_try + kDeadline) {
            ++counts[caller.account].refused;
            return;
        }
        CHECK(retry_after <= (caller.first_try + kDeadline - m_now) / 3);
        if (m_now == caller.first_try)
            retry_times.push_back(m_now + retry_after);
        m_events.emplace(m_now + retry_after, [this, caller] { arrive(caller); });
    }

    void release(int id)
    {
        for (Set& set : m_sets)
            set.ledger.release(std::to_string(id));
    }

    void order(int id, std::size_t at)
    {
        Request& request = m_requests.at(id);
        while (at < m_sets.size() && request.caller.pieces[at] == 0)
            ++at;
        if (at == m_sets.size())
            return end(id, true);
        request.unmade = request.caller.pieces[at];
        const Micros due = request.arrived + request.caller.target
            - time_of(request.caller, at, m_sets.size());
        m_sets[at].waiting[{request.caller.priority, false, due, id}] = request.unmade;
        m_sets[at].ledger.on_ordered(std::to_string(id));
        dispatch(at);
    }

    void end(int id, bool answered)
    {
        const Request request = m_requests.extract(id).mapped();
        Count& count = counts[request.caller.account];
        ++(answered ? count.answered : count.dropped);
        if (answered && m_now - request.arrived <= request.caller.target) {
            ++count.in_time;
            in_time_arrivals.push_back(request.arrived);
        }
        release(id);
    }

    void sort_out_late(Set& set)
    {
        const Micros full_call = set.model.call_time(set.model.call_limit);
        for (auto it = set.waiting.begin(); it != set.waiting.end();) {
            const auto [priority, late, due, id] = it->first;
            const int pieces = it->second;
            const bool overdue = late && due + full_call < m_now;
            if (due >= m_now || (late && !overdue)) {
                ++it;
                continue;
            }
            it = set.waiting.erase(it);
            if (overdue)
                end(id, false);
            else
                set.waiting[{priority, true, due, id}] = pieces;
        }
    }

    void dispatch(std::size_t at)
    {
        Set& set = m_sets[at];
        if (set.free == 0)
            return;
        sort_out_late(set);
        while (set.free > 0 && !set.waiting.empty()) {
            const int limit
                = set.model.sent_limit > 0 ? set.model.sent_limit : set.model.call_limit;
            int room = limit;
            std::vector<std::pair<int, int>> sent;
            while (room > 0 && !set.waiting.empty()) {
                const auto it = set.waiting.begin();
                const int taken = std::min(room, it->second);
                sent.emplace_back(std::get<3>(it->first), taken);
                room -= taken;
                it->second -= taken;
                if (it->second == 0)
                    set.waiting.erase(it);
            }
            const int pieces = limit - room;
            --set.free;
            set.ledger.record_call(pieces, !set.waiting.empty(), m_now);
            m_events.emplace(m_now + set.model.call_time(pieces),
                             [this, at, sent] { end_call(at, sent); });
        }
    }

    void end_call(std::size_t at, const std::vector<std::pair<int, int>>& sent)
    {
        ++m_sets[at].free;
        for (const auto& [id, pieces] : sent) {
            const auto it = m_requests.find(id);
            if (it == m_requests.end())
                continue;
            it->second.unmade -= pieces;
            if (it->second.unmade == 0)
                order(id, at + 1);
        }
        dispatch(at);
    }

    bool m_with_ledger;
    Micros m_now = 0;
    std::mt19937_64 m_random {1};
    std::multimap<Micros, std::function<void()>> m_events;
    std::vector<Set> m_sets;
    std::map<int, Request> m_requests;
    int m_last_id = 0;
};

const SetModel kFirst {19, 10, 150 * kMillisecond, 13'000};
const SetModel kSecondSet {15, 50, 150 * kMillisecond, 2'600};
const SetModel kThird {15, 84, 150 * kMillisecond, 1'500};
const Caller kUrgent {"a", 0, {1, 8, 16}};
constexpr Micros kBurst = 6'500 * kMillisecond;

/// Requests per second that the third set, the narrowest, can serve.
double
urgent_capacity()
{
    return kThird.rate() / kUrgent.pieces[2];
}

/// Result of a burst of 2.5 times what the third set can serve.
struct BurstResult {
    /// In-time answers, as a fraction of what the third set can serve from the arrival of
    /// the first request until the end of the last one's slack.
    double in_time = 0;
    double dropped = 0; ///< fraction of the admitted requests
};

BurstResult
run_burst(bool with_ledger, int sent_limit)
{
    SetModel third = kThird;
    third.sent_limit = sent_limit;
    Load load({kFirst, kSecondSet, third}, with_ledger);
    load.add_arrivals(kUrgent, 2.5 * urgent_capacity(), 0, kBurst);
    load.run();
    const Count& count = load.counts["a"];
    third.call_limit = sent_limit;
    const Micros path = kFirst.call_time(10) + kSecondSet.call_time(50)
        + kThird.call_time(kThird.call_limit);
    const double seconds = double(kBurst + kUrgent.target - path) / kSecond;
    const BurstResult result {count.in_time * kUrgent.pieces[2] / (third.rate() * seconds),
                              double(count.dropped) / (count.answered + count.dropped)};
    MESSAGE("ledger ", with_ledger, ", pieces in a call ", sent_limit, ": in time ",
            result.in_time, ", dropped ", result.dropped);
    return result;
}

// Guards against requests that are late, or dropped after their first pieces were made.
TEST_CASE("a burst above the capacity is answered in time as far as the capacity allows")
{
    const BurstResult with = run_burst(true, kThird.call_limit);
    CHECK(with.in_time >= 0.8);
    CHECK(with.dropped <= 0.1);
    CHECK(run_burst(false, kThird.call_limit).in_time < 0.5);
}

// Guards against promises by the rate of full calls where memory for results keeps calls
// small: the third set then makes 56% of that rate.
TEST_CASE("a burst is answered in time at the rate that small calls reach")
{
    const BurstResult with = run_burst(true, 34);
    CHECK(with.in_time >= 0.8);
    CHECK(with.dropped <= 0.3);
}

// Guards against a burst that excludes every less urgent request, and against less urgent
// requests that take more than their share from the burst.
TEST_CASE("a less urgent pipeline gets its least share during a burst")
{
    const double rate = kSecondSet.rate();
    Load load({kSecondSet}, true);
    load.add_arrivals({"urgent", 0, {8}}, 2.5 * rate / 8, 0, kBurst);
    load.add_arrivals({"later", 5, {5}}, 0.2 * rate / 5, 0, kBurst);
    load.run();
    const double capacity = rate * kBurst / kSecond;
    const double later = load.counts["later"].in_time * 5 / capacity;
    const double urgent = load.counts["urgent"].in_time * 8 / capacity;
    MESSAGE("part of the capacity: urgent ", urgent, ", less urgent ", later);
    CHECK(later >= 0.05);
    CHECK(urgent >= 0.9);
}

// Guards against refusals of urgent requests because of promises to less urgent ones.
TEST_CASE("urgent requests within the capacity are served whatever else is asked")
{
    const double rate = kSecondSet.rate();
    for (const double later_part : {0.0, 2.0}) {
        Load load({kSecondSet}, true);
        if (later_part > 0)
            load.add_arrivals({"later", 5, {5}}, later_part * rate / 5, 0, kBurst);
        load.add_arrivals({"urgent", 0, {8}}, 0.8 * rate / 8, kSecond, kBurst);
        load.run();
        const Count& urgent = load.counts["urgent"];
        CHECK(urgent.refused + urgent.dropped == 0);
        CHECK(urgent.in_time == urgent.answered);
    }
}

// Guards against an account whose burst takes the capacity of the others.
TEST_CASE("accounts keep their service while one sends 7.5 times its usual rate")
{
    std::map<bool, int> others;
    for (const bool burst : {false, true}) {
        Load load({kFirst, kSecondSet, kThird}, true);
        for (int account = 0; account < 16; ++account) {
            Caller caller = kUrgent;
            caller.account = std::to_string(account);
            const double factor = burst && account == 0 ? 7.5 : 1;
            load.add_arrivals(caller, factor * 0.9 * urgent_capacity() / 16, 0, kBurst);
        }
        load.run();
        for (int account = 1; account < 16; ++account)
            others[burst] += load.counts[std::to_string(account)].in_time;
    }
    MESSAGE("in time for 15 accounts: ", others[false], ", in the burst ", others[true]);
    CHECK(others[true] >= 0.9 * others[false]);
}

// Guards against refused callers that return at the same time or too early.
TEST_CASE("refused callers retry at different times and are served")
{
    Load load({kFirst, kSecondSet, kThird}, true);
    Caller caller = kUrgent;
    caller.retries = true;
    load.add_arrivals(caller, 2.5 * urgent_capacity(), 0, 1'500 * kMillisecond);
    load.run();
    const auto [first, last]
        = std::minmax_element(load.retry_times.begin(), load.retry_times.end());
    constexpr Micros span = 100 * kMillisecond;
    const auto retries = double(load.retry_times.size());
    const double even = retries * span / double(*last - *first);
    const auto most = double(most_within(load.retry_times, span));
    const Count& count = load.counts["a"];
    MESSAGE("retries ", retries, ", in 100 ms ", even, ", at most ", most, "; answered ",
            count.answered, ", refused ", count.refused, ", dropped ", count.dropped);
    CHECK(retries > 0);
    CHECK(most <= 2 * even);
    CHECK(count.answered >= 0.9 * (count.answered + count.refused + count.dropped));
}

// Guards against a new leader that needs more than a second to serve a burst in time.
TEST_CASE("a leader that starts without any state soon serves a burst in time")
{
    Load load({kFirst, kSecondSet, kThird}, true);
    load.add_arrivals(kUrgent, 2.5 * urgent_capacity(), 0, kBurst);
    load.replace_leaders(3 * kSecond);
    load.run();
    std::map<Micros, double> in_time; ///< part of the capacity, by second of arrival
    for (const Micros at : load.in_time_arrivals)
        in_time[at / kSecond] += 1 / urgent_capacity();
    MESSAGE("in time by second: ", in_time[2], " ", in_time[3], " ", in_time[4]);
    CHECK(in_time[4] >= 0.8);
    CHECK((in_time[3] + in_time[4]) / 2 >= 0.8);
}

CapacityQuery
query(const std::string& attempt, int priority, int pieces)
{
    return {attempt, "account", priority, pieces, 0, 500 * kMillisecond, kDeadline};
}

// Guards against promises that are lost while their pieces are late, counted twice when
// they arrive, or kept after they end.
TEST_CASE("a promise counts until its pieces are ordered, it is released, or its deadline")
{
    const SetCapacity capacity {1'000, {}};
    CapacityLedger ledger;
    CapacityQuery late = query("late", 0, 400);
    late.starts_in = 100 * kMillisecond;
    CHECK(ledger.reserve(late, capacity, 0).admitted);
    const auto wait_at = [&](Micros now, int priority) {
        const Micros wait
            = ledger.reserve(query("probe", priority, 1), capacity, now).expected_wait;
        ledger.release("probe");
        return wait;
    };
    CHECK(wait_at(kSecond, 0) == 400 * kMillisecond);
    CHECK(wait_at(kSecond, 1) == 400 * kMillisecond);
    ledger.on_ordered("late");
    ledger.on_ordered("late");
    CHECK(wait_at(kSecond, 0) == 0);
    CHECK(ledger.size() == 1);
    ledger.release("late");
    CHECK(ledger.size() == 0);
    CHECK(ledger.reserve(query("late", 1, 300), capacity, 60 * kSecond).admitted);
    CHECK(wait_at(60 * kSecond, 0) == 0);
    CHECK(wait_at(60 * kSecond, 1) == 300 * kMillisecond);
    CHECK(wait_at(60 * kSecond + kDeadline, 1) == 0);
    CHECK(ledger.size() == 0);
}

// Guards against an urgent request that waits for less urgent pieces.
TEST_CASE("less urgent pieces are not ahead of a request")
{
    SetCapacity capacity {1'000, {}};
    capacity.queued[5] = 10'000;
    CapacityLedger ledger;
    ledger.record_call(10, true, 0);
    CHECK(ledger.reserve(query("urgent", 4, 10), capacity, 0).expected_wait == 0);
    CHECK_FALSE(ledger.reserve(query("same", 5, 10), capacity, 0).admitted);
}

// Guards against callers that are refused at the same time and return at the same time.
TEST_CASE("callers that are refused together get different retry times within bounds")
{
    SetCapacity capacity {1'000, {}};
    capacity.queued[0] = 1'000;
    CapacityLedger ledger;
    const auto retry_time = [&](int priority) {
        return ledger.reserve(query("refused", priority, 10), capacity, 0).retry_after;
    };
    std::vector<Micros> times(300);
    const auto begin = times.begin();
    const auto next_time = [&] { return retry_time(0); };
    std::generate(begin, begin + 50, next_time);
    CHECK(std::is_sorted(begin, begin + 50, std::less_equal<>()));
    capacity.queued[5] = 100;
    CHECK(retry_time(5) > times[49]);
    std::generate(begin + 50, times.end(), next_time);
    const auto [first, last] = std::minmax_element(times.begin(), times.end());
    CHECK(*first >= kSecond);
    CHECK(*last <= kDeadline / 3);
    CHECK(most_within(times, 100 * kMillisecond) <= 2 * times.size() / 10);
}

// Guards against refusals for want of a rate, and against unbounded memory.
TEST_CASE("a ledger admits without a rate, ignores unknown attempts and is bounded")
{
    CapacityLedger ledger;
    ledger.on_ordered("unknown");
    ledger.release("unknown");
    for (std::size_t i = 0; i < CapacityLedger::kMaxEntries + 10; ++i)
        CHECK(ledger.reserve(query(std::to_string(i), 0, 10), {}, 0).admitted);
    CHECK(ledger.size() == CapacityLedger::kMaxEntries);
    SetCapacity capacity {1'000, {}};
    CHECK(ledger.reserve(query("new", 0, 10), capacity, 0).admitted);
    capacity.queued[0] = 600;
    CHECK_FALSE(ledger.reserve(query("new", 0, 10), capacity, 0).admitted);
}

// Guards against refusals of less urgent requests on days without an overload: more urgent
// pieces use most of the rate, but calls have room.
TEST_CASE("less urgent requests are refused for urgent inflow only if work is waiting")
{
    constexpr int pieces_per_s = 1'000;
    constexpr Micros interval = 10 * kMillisecond;
    constexpr int less_urgent = 10;
    CapacityLedger ledger;
    Micros now = 0;
    // Urgent pieces at nine tenths of the rate.
    for (; now < 10 * kSecond; now += interval) {
        CHECK(ledger.reserve(query("urgent", 0, 9), {pieces_per_s, {}}, now).admitted);
        ledger.on_ordered("urgent");
        ledger.release("urgent");
    }
    const auto admitted_with_queue_of = [&](int urgent_pieces) {
        SetCapacity capacity {pieces_per_s, {}};
        capacity.queued.front() = urgent_pieces;
        int admitted = 0;
        for (int i = 0; i < less_urgent; ++i) {
            CapacityQuery later = query("later" + std::to_string(i), 2, 2);
            later.due_in = 200 * kMillisecond;
            admitted += ledger.reserve(later, capacity, now).admitted ? 1 : 0;
        }
        for (int i = 0; i < less_urgent; ++i)
            ledger.release("later" + std::to_string(i));
        return admitted;
    };
    CHECK(admitted_with_queue_of(40) == less_urgent);
    CHECK(admitted_with_queue_of(400) < less_urgent);
}

} // namespace
} // namespace cypressford

// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include <cypressford/lease.h>

#include <random>

#include <doctest/doctest.h>

using namespace cypressford;

namespace {

const LeaseOptions kOptions {};

/// A leases stream whose records can be read as soon as they are appended.
struct Stream {
    std::vector<LeaseRecord> records;

    void append(const LeaseRecord& record)
    {
        records.push_back(*decode_lease(encode(record)));
    }
    void read(Lease& lease, std::size_t from, Micros now) const
    {
        for (std::size_t i = from; i < records.size(); ++i)
            lease.apply(static_cast<Offset>(i), records[i], now);
    }
};

} // namespace

TEST_CASE("if two daemons take a free lease, the first one in the log holds it")
{
    Stream stream;
    Lease a("h", 1, kOptions);
    Lease b("h", 2, kOptions);
    stream.append(*b.next_append(true, 0));
    stream.append(*a.next_append(true, 0));
    a.append_ended();
    b.append_ended();
    stream.read(a, 0, kSecond);
    stream.read(b, 0, kSecond);
    CHECK_FALSE(a.held(kSecond));
    CHECK(b.held(kSecond));
    CHECK_FALSE(a.next_append(true, 10 * kSecond));
}

TEST_CASE("a suspended holder's lease expires, and its successor has a higher fence")
{
    Stream stream;
    Lease a("h", 1, kOptions);
    Lease b("h", 2, kOptions);
    stream.append(*a.next_append(true, 0));
    a.append_ended();
    stream.read(a, 0, 0);
    stream.read(b, 0, 0);
    CHECK(a.held(13 * kSecond));
    CHECK_FALSE(b.next_append(true, 14 * kSecond));
    CHECK_FALSE(a.held(14 * kSecond));
    stream.append(*b.next_append(true, 15 * kSecond));
    b.append_ended();
    stream.read(b, 1, 15 * kSecond);
    CHECK(b.held(16 * kSecond));
    CHECK(b.fence() > a.fence());
    // The suspended daemon's renewal comes too late in the log and has no effect.
    stream.append(*a.next_append(true, 16 * kSecond));
    a.append_ended();
    stream.read(a, 1, 16 * kSecond);
    stream.read(b, 2, 16 * kSecond);
    CHECK_FALSE(a.held(16 * kSecond));
    CHECK(b.held(16 * kSecond));
}

TEST_CASE("a released lease is free at once")
{
    Stream stream;
    Lease a("h", 1, kOptions);
    Lease b("h", 2, kOptions);
    stream.append(*a.next_append(true, 0));
    a.append_ended();
    stream.read(a, 0, 0);
    stream.append(*a.next_append(false, 6 * kSecond));
    a.append_ended();
    stream.read(a, 1, 6 * kSecond);
    stream.read(b, 0, 6 * kSecond);
    CHECK_FALSE(a.held(6 * kSecond));
    CHECK(b.next_append(true, 6 * kSecond).has_value());
}

TEST_CASE("after a gap a record takes effect only if another record replaced it")
{
    // 0: a takes the lease.  1: b tries as well, without effect.  2, 3: a renews.
    Stream stream;
    stream.records = {
        {"h", 1, -1, false}, {"h", 2, -1, false}, {"h", 1, 0, false}, {"h", 1, 2, false}};
    Lease late("h", 3, kOptions);
    late.on_gap(0);
    late.apply(1, {"h", 2, 0, false}, kSecond);
    CHECK_FALSE(late.next_append(true, 2 * kSecond));
    late.apply(2, stream.records[2], 2 * kSecond);
    late.apply(3, stream.records[3], 3 * kSecond);
    const auto takeover = late.next_append(true, 18 * kSecond);
    REQUIRE(takeover);
    CHECK(takeover->replaces == 3);
}

TEST_CASE("never two holders at a time, with lost and late appends and suspended daemons")
{
    for (unsigned seed = 0; seed < 200; ++seed) {
        std::mt19937 random(seed);
        Stream stream;
        std::vector<Lease> daemons;
        std::vector<std::size_t> read(3, 0);
        std::vector<Micros> suspended_until(3, 0);
        std::vector<std::pair<Micros, LeaseRecord>> in_flight;
        for (std::uint64_t id = 1; id <= 3; ++id)
            daemons.emplace_back("h", id, kOptions);
        Offset highest_fence = -1;
        for (Micros now = 0; now < 300 * kSecond; now += 500 * kMillisecond) {
            for (std::size_t f = 0; f < in_flight.size();) {
                if (in_flight[f].first > now) {
                    ++f;
                    continue;
                }
                stream.append(in_flight[f].second);
                in_flight.erase(in_flight.begin() + static_cast<std::ptrdiff_t>(f));
            }
            int holders = 0;
            for (std::size_t d = 0; d < daemons.size(); ++d) {
                holders += daemons[d].held(now);
                if (now < suspended_until[d])
                    continue;
                if (random() % 60 == 0) {
                    suspended_until[d] = now + Micros(random() % 40) * kSecond;
                    continue;
                }
                if (random() % 3 != 0) {
                    stream.read(daemons[d], read[d], now);
                    read[d] = stream.records.size();
                }
                const auto record = daemons[d].next_append(random() % 20 != 0, now);
                if (!record)
                    continue;
                // The append takes effect at once, late, or never; its daemon isn't
                // notified.
                if (random() % 4 != 0)
                    in_flight.emplace_back(now + Micros(random() % 8) * kSecond, *record);
                daemons[d].append_ended();
            }
            CAPTURE(seed);
            REQUIRE(holders <= 1);
            for (const Lease& daemon : daemons)
                if (daemon.held(now)) {
                    REQUIRE(daemon.fence() >= highest_fence);
                    highest_fence = daemon.fence();
                }
        }
        CHECK(highest_fence >= 0);
    }
}

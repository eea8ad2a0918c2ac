// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Guards against parts of prompts that go on ending upstreams, and against quarantines of
/// parts that were merely on upstreams that ended.

#include <cypressford/suspects.h>

#include <algorithm>
#include <array>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include <doctest/doctest.h>

#include "suspect_fixture.h"

namespace cypressford {
namespace {

RequestDigest
part(int number)
{
    return digest_of_part("model", static_cast<std::uint64_t>(number));
}

/// The end of an upstream on which requests with these parts ran, each unlike any other.
SuspectRecord
end_under(int number, std::vector<RequestDigest> parts, WallMs at)
{
    const RequestDigest other = digest(1000 + number);
    return {{{{"e" + std::to_string(number), 1}, {other}, std::move(parts), at}}, {}, at};
}

TEST_CASE(
    "a prompt part is quarantined at the fifth moment, whatever else its requests hold")
{
    SuspectTable table;
    for (int i = 0; i < SuspectTable::kEndsOfPart; ++i) {
        CHECK(table.view()->count_quarantined() == 0);
        // The first part is common to all requests, the third differs from end to end.
        table.apply(std::to_string(i),
                    end_under(i, {part(1), part(2), part(10 + i)}, i * 200), 2 * i);
        if (table.view()->is_suspect(part(1)))
            table.apply("a" + std::to_string(i), answer_to(part(1)), 2 * i + 1);
    }
    CHECK(table.view()->is_quarantined(part(2)));
    CHECK(table.view()->count_quarantined() == 1);
    // The same part means nothing at another set.
    CHECK_FALSE(table.view()->is_quarantined(digest_of_part("other", 2)));
}

TEST_CASE("parts that always ran together are quarantined at a higher number of ends")
{
    SuspectTable table;
    for (int i = 0; i < SuspectTable::kEndsOfInseparableParts; ++i) {
        CHECK(table.view()->count_quarantined() == 0);
        table.apply(std::to_string(i), end_under(i, {part(1), part(2)}, i * 200), i);
    }
    CHECK(table.view()->count_quarantined() == 2);
    table.apply("a", answer_to(part(1)), 100);
    CHECK_FALSE(table.view()->is_quarantined(part(1)));
    CHECK(table.view()->is_quarantined(part(2)));
}

TEST_CASE("a request that ends upstreams does not convict the parts of its prompt")
{
    SuspectTable table;
    for (int i = 0; i < 12; ++i) {
        SuspectRecord record = end_under(i, {part(1)}, i * 200);
        record.ends.front().running = {digest(i % 2)};
        table.apply(std::to_string(i), record, i);
    }
    CHECK(table.view()->is_quarantined(digest(0)));
    CHECK(table.view()->is_quarantined(digest(1)));
    CHECK_FALSE(table.view()->is_quarantined(part(1)));
    // A third request with the part makes the part itself the cause.
    for (int i = 12; i < 15; ++i) {
        SuspectRecord record = end_under(i, {part(1)}, i * 200);
        record.ends.front().running = {digest(2)};
        table.apply(std::to_string(i), record, i);
    }
    CHECK(table.view()->is_quarantined(part(1)));
}

TEST_CASE("ends of a repeated request are told from those of a part on the same upstreams")
{
    SuspectTable table;
    int number = 0;
    const auto add
        = [&](std::vector<RequestDigest> running, std::vector<RequestDigest> parts) {
              SuspectRecord record = end_under(number, std::move(parts), number * 200);
              record.ends.front().running = std::move(running);
              table.apply(std::to_string(number), record, number);
              ++number;
          };
    // Two repeated requests have part 1.  Request 2 has part 2, which ends upstreams, and
    // ran beside one of them once.
    for (int i = 0; i < 3; ++i)
        add({digest(0)}, {part(1)});
    add({digest(0), digest(2)}, {part(1), part(2)});
    for (int i = 0; i < 7; ++i)
        add({digest(1)}, {part(1)});
    for (int i = 0; i < 4; ++i)
        add({digest(2)}, {part(2)});
    for (int i = 0; i < 3; ++i)
        add({digest(10 + i)}, {part(2)});
    CHECK(table.view()->is_quarantined(part(2)));
    CHECK_FALSE(table.view()->is_quarantined(part(1)));
    CHECK(table.view()->is_quarantined(digest(0)));
    CHECK(table.view()->is_quarantined(digest(1)));
}

TEST_CASE("the release of a request does not convict a part of its prompt")
{
    SuspectTable table;
    int number = 0;
    for (; number < 8; ++number) {
        SuspectRecord record
            = end_under(number, {part(1), part(10 + number)}, number * 200);
        record.ends.front().running = {digest(0), digest(20 + number)};
        table.apply(std::to_string(number), record, number);
    }
    // An operator has added the request, too.
    table.apply("operator.1", {{{{"operator/x", 1}, {digest(0)}}}, {}, 0}, number++);
    CHECK(table.view()->is_quarantined(digest(0)));
    CHECK(table.view()->count_quarantined() == 1);
    table.apply("operator.2", table.release_of(digest(0)), number++);
    CHECK(table.view()->count_quarantined() == 0);
    CHECK_FALSE(table.view()->is_suspect(part(1)));
    // Parts of other requests on these upstreams are not released.
    CHECK(table.release_of(digest(0)).answered == std::vector {digest(0), part(1)});
    CHECK(table.release_of(part(1)).answered == std::vector {part(1)});
}

TEST_CASE("upstreams that end at one moment convict no part that was on them")
{
    SuspectTable table;
    for (int i = 0; i < 30; ++i)
        table.apply(std::to_string(i), end_under(i, {part(1)}, 5000 + i), i);
    CHECK(table.view()->count_quarantined() == 0);
    CHECK_FALSE(table.view()->is_suspect(part(1)));
}

TEST_CASE("a request is not quarantined for ends that a part of other prompts caused")
{
    SuspectTable table;
    int written = 0;
    // One end more: the third end of the harmless request counts for itself.
    for (int i = 0; i < SuspectTable::kEndsOfPart + 1; ++i) {
        SuspectRecord record = end_under(i, {part(2)}, i * 200);
        if (i > 2)
            record.ends.front().running.push_back(digest(1));
        table.apply(std::to_string(i), record, written++);
    }
    CHECK(table.view()->is_quarantined(part(2)));
    CHECK_FALSE(table.view()->is_quarantined(digest(1)));
}

TEST_CASE("the parts and the time of an end survive encoding and decoding")
{
    const SuspectRecord record = end_under(1, {part(1), part(2)}, 77);
    const auto copy = decode_suspects(encode(record));
    REQUIRE(copy);
    CHECK(copy->ends.front().parts == record.ends.front().parts);
    CHECK(copy->ends.front().at == 77);
}

/// Engines under requests of one pipeline that share its first part and one of ten second
/// parts, and requests, no two alike, with a part that ends the engine that answers it.
class PartLoad {
public:
    static constexpr int kEngines = 12;
    static constexpr int kStep = 10; ///< ms
    static constexpr int kRestartTime = 3000; ///< ms
    static constexpr int kRunTime = 1200; ///< ms
    static constexpr int kDeadly = 99; ///< number of the part
    static constexpr int kSubjects = 10; ///< second parts of harmless requests

    explicit PartLoad(unsigned seed)
        : m_random(seed)
    {
    }

    int ended = 0; ///< engines, by the part
    int convicted = 0; ///< moments at which a harmless part was quarantined
    int late = 0; ///< requests with the part sent later than 3 s after the fifth end

    void run(int seconds, double deadly_per_s, double crash_share)
    {
        for (m_now = 0; m_now < seconds * 1000; m_now += kStep) {
            if (m_now == seconds * 500)
                for (Engine& engine : m_engines)
                    if (chance(crash_share))
                        end(engine);
            if (chance(0.3))
                arrive(static_cast<int>(m_random() % kSubjects));
            if (chance(deadly_per_s * kStep / 1000))
                arrive(kDeadly);
            for (Engine& engine : m_engines)
                finish_runs(engine);
            m_in_transit.deliver(m_table, m_now);
            for (int subject = 0; subject < kSubjects; ++subject)
                convicted += m_table.view()->is_quarantined(part(subject)) ? 1 : 0;
            convicted += m_table.view()->is_quarantined(part(kCommon)) ? 1 : 0;
        }
    }

private:
    static constexpr int kCommon = 50;

    struct Run {
        int subject = 0;
        int ends_at = 0;
    };
    struct Engine {
        int number = 0;
        int restarted_at = 0;
        std::int64_t born = 1;
        std::vector<Run> runs;
    };

    bool chance(double share)
    {
        return std::uniform_real_distribution<>(0, 1)(m_random) < share;
    }

    void arrive(int subject)
    {
        if (m_table.view()->is_quarantined(part(subject)))
            return;
        const std::size_t first = m_random() % kEngines;
        for (std::size_t i = 0; i < kEngines; ++i) {
            Engine& engine = m_engines.at((first + i) % kEngines);
            if (engine.restarted_at > m_now)
                continue;
            const bool deadly = subject == kDeadly;
            late += deadly && ended >= 5 && m_now > m_fifth_at + 3000 ? 1 : 0;
            engine.runs.push_back({subject, m_now + (deadly ? 150 : kRunTime)});
            return;
        }
    }

    void end(Engine& engine)
    {
        std::vector<RequestDigest> parts {part(kCommon)};
        std::vector<RequestDigest> running;
        for (const Run& run : engine.runs) {
            running.push_back(digest(++m_made));
            if (std::find(parts.begin(), parts.end(), part(run.subject)) == parts.end())
                parts.push_back(part(run.subject));
        }
        if (engine.runs.empty())
            parts.clear();
        engine.runs.clear();
        const std::string name = "e" + std::to_string(engine.number);
        m_in_transit.write({{{{name, engine.born}, running, parts, m_now}}, {}, m_now},
                           m_now);
        ++engine.born;
        engine.restarted_at = m_now + kRestartTime;
    }

    void finish_runs(Engine& engine)
    {
        for (const Run& run : engine.runs)
            if (run.subject == kDeadly && run.ends_at <= m_now) {
                if (++ended == 5)
                    m_fifth_at = m_now;
                end(engine);
                return;
            }
        std::erase_if(engine.runs, [&](const Run& run) {
            if (run.ends_at > m_now)
                return false;
            for (const RequestDigest& answered : {part(kCommon), part(run.subject)})
                if (m_table.view()->is_suspect(answered))
                    m_in_transit.write(answer_to(answered), m_now);
            return true;
        });
    }

    static std::array<Engine, kEngines> engines()
    {
        std::array<Engine, kEngines> result;
        for (int i = 0; i < kEngines; ++i)
            result.at(static_cast<std::size_t>(i)).number = i;
        return result;
    }

    std::mt19937 m_random;
    int m_now = 0;
    int m_fifth_at = 0;
    int m_made = 0;
    SuspectTable m_table;
    std::array<Engine, kEngines> m_engines = engines();
    RecordsInTransit m_in_transit;
};

TEST_CASE("a prompt part that ends engines is found out, and no harmless part is convicted")
{
    int ended = 0;
    int most = 0;
    constexpr int simulations = 20;
    for (unsigned seed = 0; seed < simulations; ++seed)
        for (const double per_s : {0.5, 2.0}) {
            PartLoad load(seed);
            load.run(40, per_s, 0.3);
            CHECK(load.convicted == 0);
            CHECK(load.late <= 3);
            ended += load.ended;
            most = std::max(most, load.ended);
        }
    MESSAGE("engines ended by one part in 40 s, ", 2 * simulations, " simulations: ", ended,
            ", at most ", most);
}

} // namespace
} // namespace cypressford

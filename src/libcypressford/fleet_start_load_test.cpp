// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// All daemons of a fleet start at once, in virtual time: what they ask of the directory,
/// and how long until all of them serve.

#include <algorithm>
#include <array>
#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include <cypressford/directory_view.h>

#include "text_dialect.h"

namespace cypressford {
namespace {

constexpr int kHalls = 5;
constexpr int kPeers = 3; ///< that the settings of all name
constexpr int kUpstreamsListed = 20;
constexpr std::size_t kPage = 500;
/// The directory works on one call of a topic after the other.
constexpr Micros kCallTime = 4 * kMillisecond;
constexpr Micros kOneWay = 1 * kMillisecond;
constexpr Micros kTick = 20 * kMillisecond;

/// Events in the order of their times.
class Timeline {
public:
    void at(Micros time, std::function<void()> action)
    {
        m_events.push({time, m_count++, std::move(action)});
    }
    void run_until(Micros end)
    {
        while (!m_events.empty() && m_events.top().time <= end) {
            const Event event = m_events.top();
            m_events.pop();
            now = event.time;
            event.action();
        }
    }

    Micros now = 0;

private:
    struct Event {
        Micros time;
        std::size_t number;
        std::function<void()> action;

        bool operator<(const Event& other) const
        {
            return std::tie(time, number) > std::tie(other.time, other.number);
        }
    };
    std::priority_queue<Event> m_events;
    std::size_t m_count = 0;
};

/// A log with a queue for each topic.
struct Log {
    struct Topic {
        std::vector<DirectoryRecord> records;
        Micros busy_until = 0;
    };

    Micros take_turn(DirectoryTopic topic, Micros now)
    {
        Topic& of = topics.at(static_cast<std::size_t>(topic));
        of.busy_until = std::max(of.busy_until, now) + kCallTime;
        ++calls;
        return of.busy_until;
    }

    std::array<Topic, std::size(DirectoryView::kTopics)> topics;
    int calls = 0;
};

struct Play {
    int calls = 0;
    int calls_for_vital = 0; ///< configuration and upstreams
    Micros last_start = 0;
    Micros mean_wait = 0; ///< of a daemon, from its start until it serves
    Micros all_serve_at = -1;
    int most_followers = 0; ///< of one daemon
};

class StartingFleet {
public:
    explicit StartingFleet(int count, bool has_peers, bool has_records)
        : m_has_peers(has_peers)
    {
        m_log.topics[0].records.push_back({"config", "1"});
        for (int i = 0; i < kUpstreamsListed; ++i)
            m_log.topics[1].records.push_back({"u" + std::to_string(i), "1"});
        for (int i = 0; i < count; ++i) {
            DaemonRecord record;
            record.node = "d" + std::to_string(i);
            record.hall = "h" + std::to_string(i % kHalls);
            record.peers_address = record.node + ":1";
            record.feed_address = record.node + ":2";
            record.incarnation = 1;
            record.sequence = 1;
            record.capacity = i % 20 == 7 ? 1 : 0.12;
            if (has_records)
                m_log.topics[2].records.push_back({record.node, encode(record)});
            record.incarnation = 2; // that of the life which begins
            m_records.push_back(std::move(record));
        }
        m_asked.resize(m_records.size());
    }

    Play run(Micros limit)
    {
        for (std::size_t i = 0; i < m_records.size(); ++i) {
            const auto start = static_cast<Micros>(i * 37 % 300) * kMillisecond;
            m_play.last_start = std::max(m_play.last_start, start);
            m_time.at(start, [this, i] { begin(i); });
        }
        while (m_play.all_serve_at < 0 && m_time.now < limit)
            m_time.run_until(m_time.now + kTick);
        m_play.calls = m_log.calls;
        m_play.mean_wait = m_waited / static_cast<Micros>(m_records.size());
        m_play.most_followers = *std::max_element(m_asked.begin(), m_asked.end());
        return m_play;
    }

private:
    struct Daemon {
        std::unique_ptr<DirectoryView> view;
        std::array<bool, std::size(DirectoryView::kTopics)> reading {};
        bool asking = false;
        bool serves = false;
        bool published = false;
        Micros started_at = 0;
    };

    void begin(std::size_t i)
    {
        if (m_daemons.empty())
            m_daemons.resize(m_records.size());
        const DaemonRecord& own = m_records[i];
        m_daemons[i].started_at = m_time.now;
        const DirectoryPace pace(5 * kSecond, 5 * kSecond);
        m_daemons[i].view = std::make_unique<DirectoryView>(
            m_dialect, pace, kSecond, own.node, own.hall, 3200, m_time.now);
        if (m_has_peers)
            m_daemons[i].view->expect_referral(own, i < kPeers);
        step(i);
    }

    void publish(std::size_t i)
    {
        const Micros done = m_log.take_turn(DirectoryTopic::Daemons, m_time.now);
        m_time.at(done, [this, i] {
            const DaemonRecord& own = m_records[i];
            m_log.topics[2].records.push_back({own.node, encode(own)});
        });
    }

    /// What a daemon does now; called again and again.
    void step(std::size_t i)
    {
        Daemon& daemon = m_daemons[i];
        if (!daemon.published && daemon.view->time_until_publish(m_time.now) <= 0) {
            daemon.published = true;
            publish(i);
        }
        for (const DirectoryTopic topic : DirectoryView::kTopics)
            if (!daemon.reading.at(static_cast<std::size_t>(topic))
                && daemon.view->time_until_read(topic, m_time.now) <= 0)
                read(i, topic);
        if (!daemon.asking && m_has_peers && daemon.view->wants_referral())
            join(i);
        const DirectorySource from = daemon.view->source();
        if (!daemon.asking && from.daemon)
            ask(i, index_of(from.daemon->node));
        note_serving(daemon);
        m_time.at(m_time.now + kTick, [this, i] { step(i); });
    }

    void note_serving(Daemon& daemon)
    {
        if (daemon.serves || !daemon.view->can_serve(m_time.now))
            return;
        daemon.serves = true;
        m_waited += m_time.now - daemon.started_at;
        if (++m_serving == m_records.size())
            m_play.all_serve_at = m_time.now;
    }

    static std::size_t index_of(const std::string& node)
    {
        return static_cast<std::size_t>(std::stoi(node.substr(1)));
    }

    void read(std::size_t i, DirectoryTopic topic)
    {
        Daemon& daemon = m_daemons[i];
        bool& reading = daemon.reading.at(static_cast<std::size_t>(topic));
        reading = true;
        const Micros asked_at = m_time.now;
        const auto& records = m_log.topics.at(static_cast<std::size_t>(topic)).records;
        const bool lists = !daemon.view->of(topic).next;
        const std::size_t pages = lists ? records.size() / kPage + 1 : 1;
        Micros done = 0;
        for (std::size_t page = 0; page < pages; ++page)
            done = m_log.take_turn(topic, m_time.now);
        if (topic != DirectoryTopic::Daemons)
            m_play.calls_for_vital += static_cast<int>(pages);
        m_time.at(done + kOneWay, [this, &daemon, &reading, topic, asked_at, lists] {
            const auto& all = m_log.topics.at(static_cast<std::size_t>(topic)).records;
            const auto end = static_cast<Offset>(all.size());
            if (lists) {
                daemon.view->begin_listing(topic, asked_at);
                daemon.view->take_listed(topic, all, m_time.now);
                daemon.view->end_listing(topic, end, asked_at, m_time.now);
            } else if (const Offset from = *daemon.view->of(topic).next; from <= end) {
                daemon.view->take_page(topic, from, {all.begin() + from, all.end()},
                                       asked_at, 0, m_time.now);
            }
            daemon.view->of(topic).asked_at = asked_at;
            reading = false;
        });
    }

    void join(std::size_t i)
    {
        Daemon& daemon = m_daemons[i];
        const std::size_t peer = i % kHalls % kPeers;
        if (peer >= m_daemons.size() || !m_daemons[peer].view)
            return;
        daemon.asking = true;
        m_daemons[peer].view->meet(m_records[i], m_time.now);
        await_referral(i, peer);
    }

    void await_referral(std::size_t i, std::size_t peer)
    {
        if (m_daemons[peer].view->time_until_refer(m_time.now) > 0) {
            m_time.at(m_time.now + kTick, [this, i, peer] { await_referral(i, peer); });
            return;
        }
        const DirectoryReferral referral = m_daemons[peer].view->refer(m_records[i]);
        m_daemons[i].view->take_referral(referral, m_time.now);
        m_daemons[i].asking = false;
    }

    void ask(std::size_t i, std::size_t reader)
    {
        if (!m_daemons[reader].view)
            return;
        m_daemons[i].asking = true;
        ++m_asked[reader];
        await_answer(i, reader, m_daemons[i].view->query(), m_time.now);
    }

    void await_answer(std::size_t i, std::size_t reader, const FeedQuery& query,
                      Micros asked_at)
    {
        DirectoryView& view = *m_daemons[reader].view;
        if (!view.must_answer(query) && m_time.now < asked_at + query.wait) {
            m_time.at(m_time.now + kTick, [this, i, reader, query, asked_at] {
                await_answer(i, reader, query, asked_at);
            });
            return;
        }
        FeedAnswer answer = view.answer_to(query, m_time.now);
        answer.held = m_time.now - asked_at;
        m_time.at(m_time.now + kOneWay,
                  [this, i, reader, answer = std::move(answer), asked_at] {
                      m_daemons[i].view->take_answer(answer, asked_at, m_time.now);
                      m_daemons[i].asking = false;
                      --m_asked[reader];
                  });
    }

    TextDialect m_dialect;
    Timeline m_time;
    Log m_log;
    const bool m_has_peers;
    std::vector<DaemonRecord> m_records;
    std::vector<Daemon> m_daemons;
    std::vector<int> m_asked;
    std::size_t m_serving = 0;
    Micros m_waited = 0; ///< by all that serve
    Play m_play;
};

TEST_CASE("daemons that start at once ask the directory for what a few of them hand on")
{
    constexpr Micros limit = 20 * kSecond;
    for (const bool after_kill : {false, true}) {
        std::vector<Play> plays;
        for (const int daemons : {30, 300, 1000, 2000}) {
            plays.push_back(StartingFleet(daemons, true, after_kill).run(limit));
            MESSAGE(daemons, " daemons, ",
                    std::string(after_kill ? "after all were killed: " : "first start: "),
                    plays.back().calls, " calls, of which ", plays.back().calls_for_vital,
                    " for configuration, upstreams and suspects; all serve after ",
                    plays.back().all_serve_at / kMillisecond, " ms");
        }
        for (const Play& play : plays) {
            REQUIRE(play.all_serve_at >= 0);
            CHECK(play.all_serve_at < 3 * kSecond);
        }
        // Each writes its own record; what is read does not grow with the fleet.
        CHECK(plays[2].calls_for_vital <= 2 * plays[0].calls_for_vital + 20);
        CHECK(plays[3].calls_for_vital <= 2 * plays[0].calls_for_vital + 20);
        CHECK(plays[2].calls < 2 * 1000);
        CHECK(plays[3].calls < 2 * 2000);
    }
}

/// Callers of nine nodes that had all lost power were refused for half a second more than
/// when each daemon had listed the directory by itself.
TEST_CASE("a small fleet serves as soon as it is up after all were killed")
{
    for (const int daemons : {3, 9, 30}) {
        const Play play = StartingFleet(daemons, true, true).run(20 * kSecond);
        MESSAGE(daemons, " daemons, all serve ",
                (play.all_serve_at - play.last_start) / kMillisecond,
                " ms after the last has started, each after ",
                play.mean_wait / kMillisecond, " ms in the mean, ", play.calls, " calls");
        REQUIRE(play.all_serve_at >= 0);
        CHECK(play.all_serve_at - play.last_start <= 150 * kMillisecond);
        CHECK(play.mean_wait <= 100 * kMillisecond);
        CHECK(play.calls <= 10 * daemons + 20);
    }
}

/// Records that all daemons wrote of themselves kept the readers from listing who there
/// was.
TEST_CASE("any fleet serves as soon as it is up after all were killed")
{
    for (const int daemons : {61, 105, 300, 1000, 2000}) {
        const Play play = StartingFleet(daemons, true, true).run(20 * kSecond);
        REQUIRE(play.all_serve_at >= 0);
        CHECK(play.all_serve_at - play.last_start <= 150 * kMillisecond);
        CHECK(play.calls_for_vital <= 40);
    }
}

TEST_CASE("daemons that nobody refers ask the directory one after the other")
{
    const Play play = StartingFleet(300, false, true).run(20 * kSecond);
    REQUIRE(play.all_serve_at >= 0);
    CHECK(play.calls_for_vital <= 30);
}

} // namespace
} // namespace cypressford

// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// A fleet of daemons, their readers and the log they read, in virtual time.

#pragma once

#include <algorithm>
#include <array>
#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include <cypressford/directory_view.h>

#include "text_dialect.h"

namespace cypressford {

constexpr int kFleetHalls = 5;
constexpr int kPeers = 3; ///< daemons that refer others, named in the settings of all
constexpr int kUpstreamsListed = 20;
constexpr std::size_t kPage = 500;
/// The directory processes the calls of a topic one after the other.
constexpr Micros kCallTime = 4 * kMillisecond;
constexpr Micros kOneWay = 1 * kMillisecond;
constexpr Micros kTick = 20 * kMillisecond;
/// Time after which all daemons have the newest records and have finished their start.
constexpr Micros kSettleTime = 6 * kSecond;

/// Events, executed in the order of their times.
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

/// A log with a queue of calls for each topic.
struct Log {
    struct Topic {
        std::vector<DirectoryRecord> records;
        Micros busy_until = 0;
    };

    Micros enqueue_call(DirectoryTopic topic, Micros now)
    {
        Topic& of = topics.at(static_cast<std::size_t>(topic));
        of.busy_until = std::max(of.busy_until, now) + kCallTime;
        ++calls;
        return of.busy_until;
    }

    std::array<Topic, std::size(DirectoryView::kTopics)> topics;
    int calls = 0;
};

struct StartResult {
    int calls = 0;
    int vital_calls = 0; ///< those for configuration, upstreams and suspects
    Micros last_start = 0;
    Micros mean_wait = 0; ///< mean time from the start of a daemon until it serves
    Micros all_serve_at = -1;
    int most_followers = 0; ///< highest number of open queries at one daemon
};

struct RestoreResult {
    Micros known_after = -1; ///< time until all have the record; -1: not within the limit
    int calls = 0; ///< within the limit
    int vital_calls = 0;
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
            record.hall = "h" + std::to_string(i % kFleetHalls);
            record.peers_address = record.node + ":1";
            record.feed_address = record.node + ":2";
            record.incarnation = 1;
            record.sequence = 1;
            record.capacity = i % 20 == 7 ? 1 : 0.12;
            if (has_records)
                m_log.topics[2].records.push_back({record.node, encode(record)});
            record.incarnation = 2; // of the start that follows
            m_records.push_back(std::move(record));
        }
        m_open_requests.resize(m_records.size());
    }

    StartResult run(Micros limit)
    {
        for (std::size_t i = 0; i < m_records.size(); ++i) {
            const auto start = static_cast<Micros>(i * 37 % 300) * kMillisecond;
            m_result.last_start = std::max(m_result.last_start, start);
            m_time.at(start, [this, i] { begin(i); });
        }
        while (m_result.all_serve_at < 0 && m_time.now < limit)
            m_time.run_until(m_time.now + kTick);
        m_result.calls = m_log.calls;
        m_result.mean_wait = m_total_wait / static_cast<Micros>(m_records.size());
        m_result.most_followers
            = *std::max_element(m_open_requests.begin(), m_open_requests.end());
        return m_result;
    }

    /// Restores the log without the last `lost` of the configurations written here, and
    /// reuses the offset of the first of them for another one.
    RestoreResult restore(int lost, Micros limit)
    {
        for (int i = 0; i < lost; ++i)
            configure();
        m_time.run_until(m_time.now + kSettleTime);
        auto& records = m_log.topics[0].records;
        records.resize(records.size() - static_cast<std::size_t>(lost));
        ++m_generation;
        const StartResult before = m_result;
        const int calls_before = m_log.calls;
        configure();
        const Micros restored_at = m_time.now;
        RestoreResult result;
        while (m_time.now < restored_at + limit && !all_know(m_version))
            m_time.run_until(m_time.now + kTick);
        if (all_know(m_version))
            result.known_after = m_time.now - restored_at;
        m_time.run_until(restored_at + limit);
        result.calls = m_log.calls - calls_before;
        result.vital_calls = m_result.vital_calls - before.vital_calls;
        return result;
    }

private:
    struct Daemon {
        std::unique_ptr<DirectoryView> view;
        std::array<bool, std::size(DirectoryView::kTopics)> reading {};
        bool querying = false;
        bool serves = false;
        bool published = false;
        Micros started_at = 0;
    };

    void configure()
    {
        m_log.topics[0].records.push_back({"config", std::to_string(++m_version)});
    }

    bool all_know(std::uint64_t version) const
    {
        return std::all_of(m_daemons.begin(), m_daemons.end(), [version](const Daemon& d) {
            return d.view->fold().configuration()->version == version;
        });
    }

    void begin(std::size_t i)
    {
        if (m_daemons.empty())
            m_daemons.resize(m_records.size());
        const DaemonRecord& own = m_records[i];
        m_daemons[i].started_at = m_time.now;
        const DirectoryTiming timing(5 * kSecond, 5 * kSecond);
        m_daemons[i].view = std::make_unique<DirectoryView>(
            m_dialect, timing, kSecond, own.node, own.hall, 3200, m_time.now);
        if (m_has_peers)
            m_daemons[i].view->expect_referral(own, i < kPeers);
        step(i);
    }

    void publish(std::size_t i)
    {
        const Micros done = m_log.enqueue_call(DirectoryTopic::Daemons, m_time.now);
        m_time.at(done, [this, i] {
            const DaemonRecord& own = m_records[i];
            m_log.topics[2].records.push_back({own.node, encode(own)});
        });
    }

    /// One step of a daemon, repeated every kTick.
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
        if (!daemon.querying && m_has_peers && daemon.view->needs_referral())
            request_referral(i);
        const DirectorySource from = daemon.view->source();
        if (!daemon.querying && from.daemon)
            query_reader(i, index_of(from.daemon->node));
        record_serving(daemon);
        m_time.at(m_time.now + kTick, [this, i] { step(i); });
    }

    void record_serving(Daemon& daemon)
    {
        if (daemon.serves || !daemon.view->can_serve(m_time.now))
            return;
        daemon.serves = true;
        m_total_wait += m_time.now - daemon.started_at;
        if (++m_serving == m_records.size())
            m_result.all_serve_at = m_time.now;
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
        const Micros requested_at = m_time.now;
        const auto& records = m_log.topics.at(static_cast<std::size_t>(topic)).records;
        const bool lists = !daemon.view->of(topic).next;
        const std::size_t pages = lists ? records.size() / kPage + 1 : 1;
        Micros done = 0;
        for (std::size_t page = 0; page < pages; ++page)
            done = m_log.enqueue_call(topic, m_time.now);
        if (topic != DirectoryTopic::Daemons)
            m_result.vital_calls += static_cast<int>(pages);
        const int restores = daemon.view->restores();
        m_time.at(
            done + kOneWay,
            [this, &daemon, &reading, topic, requested_at, lists, restores] {
                reading = false;
                daemon.view->record_generation(m_generation, m_time.now);
                if (daemon.view->restores() != restores)
                    return;
                const auto& all = m_log.topics.at(static_cast<std::size_t>(topic)).records;
                const auto end = static_cast<Offset>(all.size());
                if (lists) {
                    daemon.view->begin_listing(topic, requested_at);
                    daemon.view->apply_listed(topic, all, m_time.now);
                    daemon.view->end_listing(topic, end, requested_at, m_time.now);
                } else if (const Offset from = *daemon.view->of(topic).next; from <= end) {
                    daemon.view->apply_page(topic, from, {all.begin() + from, all.end()},
                                            requested_at, 0, m_time.now);
                }
                daemon.view->of(topic).requested_at = requested_at;
            });
    }

    void request_referral(std::size_t i)
    {
        Daemon& daemon = m_daemons[i];
        const std::size_t peer = i % kFleetHalls % kPeers;
        if (peer >= m_daemons.size() || !m_daemons[peer].view)
            return;
        daemon.querying = true;
        m_daemons[peer].view->on_daemon_announced(m_records[i], m_time.now);
        await_referral(i, peer);
    }

    void await_referral(std::size_t i, std::size_t peer)
    {
        if (m_daemons[peer].view->time_until_referral(m_time.now) > 0) {
            m_time.at(m_time.now + kTick, [this, i, peer] { await_referral(i, peer); });
            return;
        }
        const DirectoryReferral referral = m_daemons[peer].view->refer(m_records[i]);
        m_daemons[i].view->apply_referral(referral, m_time.now);
        m_daemons[i].querying = false;
    }

    void query_reader(std::size_t i, std::size_t reader)
    {
        if (!m_daemons[reader].view)
            return;
        m_daemons[i].querying = true;
        ++m_open_requests[reader];
        await_answer(i, reader, m_daemons[i].view->query(), m_time.now);
    }

    void await_answer(std::size_t i, std::size_t reader, const FeedQuery& query,
                      Micros requested_at)
    {
        DirectoryView& view = *m_daemons[reader].view;
        view.receive_generation(query.generation, m_time.now);
        if (!view.must_answer(query) && m_time.now < requested_at + query.wait) {
            m_time.at(m_time.now + kTick, [this, i, reader, query, requested_at] {
                await_answer(i, reader, query, requested_at);
            });
            return;
        }
        FeedAnswer answer = view.answer_to(query, m_time.now);
        answer.held = m_time.now - requested_at;
        m_time.at(m_time.now + kOneWay,
                  [this, i, reader, answer = std::move(answer), requested_at] {
                      DirectoryView& requester = *m_daemons[i].view;
                      requester.receive_generation(answer.generation, m_time.now);
                      requester.apply_answer(answer, requested_at, m_time.now);
                      m_daemons[i].querying = false;
                      --m_open_requests[reader];
                  });
    }

    TextDialect m_dialect;
    Timeline m_time;
    Log m_log;
    const bool m_has_peers;
    std::vector<DaemonRecord> m_records;
    std::vector<Daemon> m_daemons;
    std::vector<int> m_open_requests;
    std::size_t m_serving = 0;
    Micros m_total_wait = 0; ///< of all daemons that serve
    StartResult m_result;
    std::uint64_t m_version = 1;
    LogGeneration m_generation = 1;
};

} // namespace cypressford

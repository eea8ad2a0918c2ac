// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Three daemons of a hall, the log that they read, and an oracle that has the whole log.

#pragma once

#include <algorithm>
#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <rapidcheck.h>

#include <cypressford/directory_view.h>
#include <cypressford/mutation.h>

#include "libcypressford/text_dialect.h"

#include "directory_log.h"
#include "directory_steps.h"

namespace cypressford::fuzz {

class DirectoryWorld {
public:
    DirectoryWorld()
    {
        for (std::size_t d = 0; d < kDaemons; ++d)
            restart_daemon(d);
    }

    void run(const Step& step)
    {
        const std::size_t upstream = step.a % kUpstreams;
        const std::size_t daemon = step.a % kDaemons;
        switch (step.kind) {
        case StepKind::Keepalive:
            write_keepalive(upstream, false);
            break;
        case StepKind::Drain:
            write_keepalive(upstream, true);
            break;
        case StepKind::Remove:
            write_removal(upstream);
            break;
        case StepKind::RestartUpstream:
            restart_upstream(upstream);
            break;
        case StepKind::WriteDelayed:
            write_delayed(upstream, step.b % 3 == 0);
            break;
        case StepKind::Configure:
            append(DirectoryTopic::Configuration, configuration_of(++m_version));
            break;
        case StepKind::WriteOlderConfiguration:
            write_older_configuration(step.a);
            break;
        case StepKind::Evacuate:
            append(DirectoryTopic::Configuration, evacuation(step.a, step.b % 2 == 0));
            break;
        case StepKind::Truncate:
            log_of(topic_of(step.b)).first = log_of(topic_of(step.b)).end();
            break;
        case StepKind::Restore:
            restore_log(step.a, step.b);
            break;
        case StepKind::Read:
            read(daemon, topic_of(step.b));
            break;
        case StepKind::SendQuery:
            send_query(daemon, step.b % kDaemons, step.b / kDaemons % 2 == 0);
            break;
        case StepKind::AnswerQuery:
            answer_query(step.a, step.b % 2 == 0);
            break;
        case StepKind::DeliverAnswer:
            deliver_answer(step.a);
            break;
        case StepKind::RestartDaemon:
            restart_daemon(daemon);
            break;
        case StepKind::Advance:
            m_now += static_cast<Micros>(step.a % 40) * 50 * kMillisecond;
            break;
        }
        m_now += kMillisecond;
        for (std::size_t d = 0; d < kDaemons; ++d)
            check(d);
    }

private:
    struct Daemon {
        std::unique_ptr<DirectoryView> view;
        std::uint64_t version = 0; ///< highest version that was in force
        std::map<std::string, std::uint64_t> starts; ///< latest start in force, by upstream
        std::set<std::string> reported_ended; ///< by another daemon; cleared by a listing
        std::map<std::string, std::uint64_t> received_ranks; ///< highest rank by key
    };
    struct PendingQuery {
        std::size_t from = 0;
        std::size_t to = 0;
        std::uint64_t incarnation = 0; ///< of the daemon that sends the query
        FeedQuery query;
        Micros requested_at = 0;
    };
    struct PendingAnswer {
        PendingQuery sent_query;
        FeedAnswer answer;
    };

    static DirectoryTopic topic_of(std::size_t number)
    {
        return static_cast<DirectoryTopic>(number % kTopics);
    }
    Topic& log_of(DirectoryTopic topic) { return m_log[static_cast<std::size_t>(topic)]; }

    void append(DirectoryTopic topic, DirectoryRecord record)
    {
        log_of(topic).records.push_back({std::move(record), m_now});
    }

    static std::string name_of(std::size_t upstream) { return std::to_string(upstream); }

    void write_keepalive(std::size_t upstream, bool leaving)
    {
        if (m_removed.contains(upstream))
            return;
        if (leaving)
            m_leaving.insert(upstream);
        const std::string mark = m_leaving.contains(upstream) ? "!" : "";
        append(DirectoryTopic::Upstreams,
               {name_of(upstream),
                record_of(++m_sequences[upstream], m_starts[upstream], mark)});
    }

    static std::string record_of(std::uint64_t sequence, std::uint64_t start,
                                 const std::string& mark)
    {
        return large_value(sequence, "@" + std::to_string(start) + mark);
    }

    /// The upstream keeps its identity, and its sequence starts again.
    void restart_upstream(std::size_t upstream)
    {
        if (m_sequences[upstream] == 0)
            return;
        m_last_sequences[upstream] = m_sequences[upstream];
        m_sequences[upstream] = 0;
        ++m_starts[upstream];
        m_removed.erase(upstream);
        m_leaving.erase(upstream);
        write_keepalive(upstream, false);
    }

    void write_removal(std::size_t upstream)
    {
        if (m_sequences[upstream] == 0 || !m_removed.insert(upstream).second)
            return;
        append(DirectoryTopic::Upstreams, {name_of(upstream), ""});
    }

    void write_older_configuration(std::size_t number)
    {
        if (m_version > 0)
            append(DirectoryTopic::Configuration, configuration_of(1 + number % m_version));
    }

    /// A delayed record arrives after newer ones.
    void write_delayed(std::size_t upstream, bool of_previous_run)
    {
        if (of_previous_run && m_starts[upstream] > 1)
            append(
                DirectoryTopic::Upstreams,
                {name_of(upstream),
                 record_of(m_last_sequences[upstream] + 1, m_starts[upstream] - 1, "!")});
        else if (m_sequences[upstream] >= 2)
            append(DirectoryTopic::Upstreams,
                   {name_of(upstream),
                    record_of(m_sequences[upstream] - 1, m_starts[upstream], "")});
    }

    void restart_daemon(std::size_t daemon)
    {
        m_daemons[daemon] = {};
        const DirectoryTiming timing(2 * kSecond, 1200 * kMillisecond);
        m_daemons[daemon].view = std::make_unique<DirectoryView>(
            m_dialect, timing, 0, "n" + std::to_string(daemon), "hall", 400, m_now);
        ++m_incarnations[daemon];
    }

    /// The log is restored from an older copy, and its writers write the present state
    /// again.
    void restore_log(std::size_t a, std::size_t b)
    {
        const std::map<std::string, bool> evacuations
            = evacuations_before(log_of(DirectoryTopic::Configuration).end());
        for (const auto& [name, expected] :
             expected_before(log_of(DirectoryTopic::Upstreams).end()))
            if (!expected.present)
                m_ended_before_restore[name] = expected;
        drop_last(DirectoryTopic::Configuration, a);
        drop_last(DirectoryTopic::Upstreams, b);
        ++m_generation;
        for (const auto& [hall, started] : evacuations)
            append(DirectoryTopic::Configuration, evacuation(std::stoul(hall), started));
        if (m_version > 0)
            append(DirectoryTopic::Configuration, configuration_of(m_version));
        std::set<std::string> listed;
        for (const WrittenRecord& written : log_of(DirectoryTopic::Upstreams).records)
            listed.insert(written.record.key);
        for (std::size_t upstream = 0; upstream < kUpstreams; ++upstream) {
            if (m_removed.contains(upstream) && listed.contains(name_of(upstream)))
                append(DirectoryTopic::Upstreams, {name_of(upstream), ""});
            else if (m_sequences[upstream] > 0)
                write_keepalive(upstream, false);
        }
    }

    /// Drops the last `lost` records of the topic; steps draw `lost` below 60.
    void drop_last(DirectoryTopic topic, std::size_t lost)
    {
        Topic& log = log_of(topic);
        log.records.resize(log.records.size() - std::min(lost, log.records.size()));
        log.first = std::min(log.first, log.end());
    }

    void read(std::size_t daemon, DirectoryTopic topic)
    {
        DirectoryView& view = *m_daemons[daemon].view;
        // The offsets in a response of another generation are no longer valid.
        if (view.record_generation(m_generation, m_now))
            return;
        const Topic& log = log_of(topic);
        const std::optional<Offset> next = view.of(topic).next;
        if (next && (*next < log.first || *next > log.end())) {
            // The daemon lists the topic itself, or gets a listing from another daemon.
            view.on_history_lost(topic, m_now);
            return;
        }
        if (!next) {
            list_topic(daemon, topic);
            return;
        }
        std::vector<DirectoryRecord> records;
        for (Offset at = *next; at < log.end(); ++at)
            records.push_back(log.records[static_cast<std::size_t>(at)].record);
        if (topic == DirectoryTopic::Upstreams)
            record_page(m_daemons[daemon], *next, records);
        view.apply_page(topic, *next, records, m_now, 0, m_now);
    }

    static void record_received(Daemon& daemon, const DirectoryRecord& record)
    {
        if (!record.value.empty()) {
            std::uint64_t& rank = daemon.received_ranks[record.key];
            rank = std::max(rank, rank_of(record.value));
        }
    }

    /// If a daemon has missed keepalives of an upstream and then reads the upstream's end
    /// from the log, it can't tell an older record that is written after the end from a
    /// return of the upstream.  This is a known limit; the daemon's view of the upstream,
    /// and what it reports of it to other daemons, are not checked.
    void record_page(Daemon& daemon, Offset from,
                     const std::vector<DirectoryRecord>& records)
    {
        const auto upstreams = expected_before(from);
        for (const DirectoryRecord& record : records) {
            const auto expected = upstreams.find(record.key);
            const bool has_missed_record = record.value.empty()
                && expected != upstreams.end()
                && daemon.received_ranks[record.key] < expected->second.rank;
            if (has_missed_record)
                m_unchecked_upstreams.insert(record.key);
            record_received(daemon, record);
        }
    }

    void list_topic(std::size_t daemon, DirectoryTopic topic)
    {
        DirectoryView& view = *m_daemons[daemon].view;
        const Topic& log = log_of(topic);
        std::map<std::string, DirectoryRecord> newest;
        Offset offset = 0;
        for (const WrittenRecord& written : log.records) {
            newest[written.record.key] = written.record;
            newest[written.record.key].offset = offset++;
        }
        std::vector<DirectoryRecord> records;
        for (const auto& [key, record] : newest)
            if (!record.value.empty())
                records.push_back(record);
        if (topic == DirectoryTopic::Upstreams)
            for (const DirectoryRecord& record : records)
                record_received(m_daemons[daemon], record);
        view.begin_listing(topic, m_now);
        view.apply_listed(topic, records, m_now);
        view.end_listing(topic, log.end(), m_now, m_now);
        if (topic == DirectoryTopic::Upstreams)
            m_daemons[daemon].reported_ended.clear();
    }

    void send_query(std::size_t from, std::size_t to, bool wants_keepalives)
    {
        if (from == to)
            return;
        FeedQuery query = m_daemons[from].view->query();
        query.cursors.resize(kTopics);
        query.wants_keepalives = wants_keepalives;
        m_queries.push_back({from, to, m_incarnations[from], query, m_now});
    }

    /// The query arrives now, or it arrived when it was sent and was held until now.
    void answer_query(std::size_t index, bool held)
    {
        if (m_queries.empty())
            return;
        const auto at
            = m_queries.begin() + static_cast<std::ptrdiff_t>(index % m_queries.size());
        DirectoryView& target = *m_daemons[at->to].view;
        target.receive_generation(at->query.generation, m_now);
        PendingAnswer reply {*at, target.answer_to(at->query, m_now)};
        reply.answer.held = held ? m_now - at->requested_at : 0;
        m_queries.erase(at);
        m_answers.push_back(std::move(reply));
    }

    void deliver_answer(std::size_t index)
    {
        if (m_answers.empty())
            return;
        const auto at
            = m_answers.begin() + static_cast<std::ptrdiff_t>(index % m_answers.size());
        const PendingAnswer reply = std::move(*at);
        m_answers.erase(at);
        Daemon& daemon = m_daemons[reply.sent_query.from];
        if (reply.sent_query.incarnation != m_incarnations[reply.sent_query.from])
            return;
        daemon.view->receive_generation(reply.answer.generation, m_now);
        if (daemon.view->generation() == reply.answer.generation)
            record_ends(daemon, reply.answer);
        const auto answer = decode_feed_answer(encode(reply.answer));
        daemon.view->apply_answer(*answer, reply.sent_query.requested_at, m_now);
    }

    static void record_ends(Daemon& daemon, const FeedAnswer& answer)
    {
        for (const FeedAnswer::Topic& topic : answer.topics) {
            const TopicView& known = daemon.view->of(topic.topic);
            if (topic.topic != DirectoryTopic::Upstreams)
                continue;
            const bool is_listing = !topic.listing.empty()
                && topic.listing_end >= known.known_end
                && known.next.value_or(-1) < topic.listing_end;
            if (is_listing)
                record_listing(daemon, topic);
            if (!is_listing && !known.next)
                continue;
            const Offset next = is_listing ? topic.listing_end : *known.next;
            for (OffsetRecord entry : topic.records) {
                RC_ASSERT(RecordPacker::unpack(entry, RecordHistory()));
                record_received(daemon, entry.record);
                if (entry.record.value.empty() && entry.offset >= next)
                    daemon.reported_ended.insert(entry.record.key);
            }
        }
    }

    /// Another daemon sent the whole topic, as a listing of the log does.
    static void record_listing(Daemon& daemon, const FeedAnswer::Topic& topic)
    {
        daemon.reported_ended.clear();
        for (const std::string& part : topic.listing) {
            const auto records = unpack_listing(part);
            RC_ASSERT(records.has_value());
            for (const OffsetRecord& entry : *records)
                record_received(daemon, entry.record);
        }
    }

    std::map<std::string, ExpectedUpstream> expected_before(Offset end)
    {
        std::map<std::string, ExpectedUpstream> upstreams = m_ended_before_restore;
        const Topic& log = log_of(DirectoryTopic::Upstreams);
        for (Offset at = 0; at < end; ++at) {
            const DirectoryRecord& record
                = log.records[static_cast<std::size_t>(at)].record;
            ExpectedUpstream& expected = upstreams[record.key];
            if (record.value.empty()) {
                expected.present = false;
                continue;
            }
            const std::uint64_t rank = rank_of(record.value);
            if (rank <= expected.rank)
                continue;
            expected = {rank, true};
        }
        return upstreams;
    }

    void check(std::size_t number)
    {
        Daemon& daemon = m_daemons[number];
        DirectoryView& view = *daemon.view;
        view.fold().expire(m_now);
        check_monotonic(daemon);
        // Until a daemon receives the log's new generation, its offsets are of the old one.
        if (view.generation() != m_generation)
            return;
        for (std::size_t t = 0; t < kTopics; ++t)
            check_age(view, topic_of(t));
        check_version(daemon);
        check_evacuations(daemon);
        check_members(daemon);
    }

    /// The view has all records that were written before its `as_of` time.
    void check_age(const DirectoryView& view, DirectoryTopic topic)
    {
        const TopicView& known = view.of(topic);
        if (!known.next)
            return;
        const Topic& log = log_of(topic);
        for (Offset at = *known.next; at < log.end(); ++at)
            RC_ASSERT(log.records[static_cast<std::size_t>(at)].at + kMillisecond
                      >= known.as_of);
    }

    /// Neither the configuration's version nor an upstream's start decreases until the
    /// daemon restarts.
    static void check_monotonic(Daemon& daemon)
    {
        const Bundle* bundle = daemon.view->fold().configuration();
        const std::uint64_t version = bundle ? bundle->version : 0;
        RC_ASSERT(version >= daemon.version);
        daemon.version = version;
        std::map<std::string, std::uint64_t> starts;
        for (const UpstreamMember& member : daemon.view->fold().members())
            starts[member.identity] = static_cast<std::uint64_t>(member.born);
        check_monotonic_starts(daemon, starts);
    }

    void check_version(Daemon& daemon)
    {
        const Bundle* bundle = daemon.view->fold().configuration();
        const std::uint64_t version = bundle ? bundle->version : 0;
        // A daemon that has read the topic has a configuration if the log has one.
        const auto next = daemon.view->of(DirectoryTopic::Configuration).next;
        if (next && has_configuration_before(*next))
            RC_ASSERT(bundle != nullptr);
        if (next && *next > 0)
            check_newest(*next, version);
    }

    bool has_configuration_before(Offset end)
    {
        for (Offset at = 0; at < end; ++at)
            if (!m_dialect.decode_evacuation(configuration_record(at)))
                return true;
        return false;
    }

    /// In a daemon that has read up to an offset, the evacuated halls are exactly those
    /// that the records before the offset evacuate.
    void check_evacuations(Daemon& daemon)
    {
        const auto next = daemon.view->of(DirectoryTopic::Configuration).next;
        if (!next)
            return;
        std::set<std::string> halls;
        for (const auto& [hall, started] : evacuations_before(*next))
            if (started)
                halls.insert(hall);
        const auto known = daemon.view->fold().evacuations().halls();
        RC_ASSERT(std::set<std::string>(known.begin(), known.end()) == halls);
    }

    /// By hall with records before the offset: true if it is evacuated.
    std::map<std::string, bool> evacuations_before(Offset end)
    {
        std::map<std::string, bool> halls;
        for (Offset at = 0; at < end; ++at)
            if (const auto record = m_dialect.decode_evacuation(configuration_record(at)))
                halls[record->hall] = record->started;
        return halls;
    }

    const DirectoryRecord& configuration_record(Offset at)
    {
        const auto& records = log_of(DirectoryTopic::Configuration).records;
        return records[static_cast<std::size_t>(at)].record;
    }

    /// The newest configuration, if it was written last, is in force in each daemon that
    /// has read up to it, from the log or from another daemon.
    void check_newest(Offset next, std::uint64_t version)
    {
        std::uint64_t newest = 0;
        std::uint64_t last = 0;
        for (Offset at = 0; at < next; ++at) {
            const DirectoryRecord& record = configuration_record(at);
            if (m_dialect.decode_evacuation(record))
                continue;
            last = std::stoull(record.value);
            newest = std::max(newest, last);
        }
        RC_ASSERT(last < newest || version >= newest);
    }

    /// An upstream that is listed never goes back to an earlier run until the daemon
    /// restarts.
    static void check_monotonic_starts(Daemon& daemon,
                                       const std::map<std::string, std::uint64_t>& starts)
    {
        for (const auto& [name, start] : starts) {
            RC_ASSERT(start >= daemon.starts[name]);
            daemon.starts[name] = start;
        }
    }

    /// No existing upstream is missing, and an upstream that another daemon reported as
    /// ended stays absent.
    void check_members(Daemon& daemon)
    {
        const TopicView& known = daemon.view->of(DirectoryTopic::Upstreams);
        if (!known.next)
            return;
        std::set<std::string> members;
        for (const UpstreamMember& member : daemon.view->fold().members())
            members.insert(member.identity);
        for (const auto& [name, expected] : expected_before(*known.next)) {
            if (expected.present)
                RC_ASSERT(members.contains(name));
            else if (daemon.reported_ended.contains(name)
                     && !m_unchecked_upstreams.contains(name))
                RC_ASSERT(!members.contains(name));
        }
    }

    TextDialect m_dialect;
    Micros m_now = kSecond;
    std::array<Topic, kTopics> m_log;
    std::array<Daemon, kDaemons> m_daemons;
    std::array<std::uint64_t, kDaemons> m_incarnations {};
    std::array<std::uint64_t, kUpstreams> m_sequences {};
    std::array<std::uint64_t, kUpstreams> m_starts {1, 1, 1, 1, 1};
    std::array<std::uint64_t, kUpstreams> m_last_sequences {}; ///< of the previous run
    std::set<std::size_t> m_removed;
    std::set<std::string> m_unchecked_upstreams;
    /// Upstreams whose end was lost with the log: a record that is older than the end does
    /// not bring them back.
    std::map<std::string, ExpectedUpstream> m_ended_before_restore;
    std::set<std::size_t> m_leaving;
    std::vector<PendingQuery> m_queries;
    std::vector<PendingAnswer> m_answers;
    std::uint64_t m_version = 0;
    LogGeneration m_generation = 1;
};

} // namespace cypressford::fuzz

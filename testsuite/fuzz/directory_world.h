// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Three daemons of a hall, the log that they read, and an oracle that knows all of it.

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
            restart(d);
    }

    void run(const Step& step)
    {
        const std::size_t upstream = step.a % kUpstreams;
        const std::size_t daemon = step.a % kDaemons;
        switch (step.kind) {
        case StepKind::Beat:
            beat(upstream, false);
            break;
        case StepKind::Drain:
            beat(upstream, true);
            break;
        case StepKind::Go:
            go(upstream);
            break;
        case StepKind::StartAgain:
            start_again(upstream);
            break;
        case StepKind::WriteLate:
            write_late(upstream, step.b % 3 == 0);
            break;
        case StepKind::Configure:
            append(DirectoryTopic::Configuration, configuration_of(++m_version));
            break;
        case StepKind::WriteOlder:
            write_older(step.a);
            break;
        case StepKind::Evacuate:
            append(DirectoryTopic::Configuration, evacuation(step.a, step.b % 2 == 0));
            break;
        case StepKind::Forget:
            of(topic_of(step.b)).first = of(topic_of(step.b)).end();
            break;
        case StepKind::Restore:
            restore(step.a, step.b);
            break;
        case StepKind::Read:
            read(daemon, topic_of(step.b));
            break;
        case StepKind::Ask:
            ask(daemon, step.b % kDaemons, step.b / kDaemons % 2 == 0);
            break;
        case StepKind::Answer:
            answer(step.a, step.b % 2 == 0);
            break;
        case StepKind::Deliver:
            deliver(step.a);
            break;
        case StepKind::Restart:
            restart(daemon);
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
        std::uint64_t version = 0; ///< highest that was in force
        std::map<std::string, std::uint64_t> starts; ///< highest that were in force
        std::set<std::string> ended; ///< told by another daemon, not listed again since
        std::map<std::string, std::uint64_t> told; ///< ranks of records that it heard of
    };
    struct Question {
        std::size_t from = 0;
        std::size_t to = 0;
        std::uint64_t life = 0; ///< of the one who asks
        FeedQuery query;
        Micros requested_at = 0;
    };
    struct Reply {
        Question question;
        FeedAnswer answer;
    };

    static DirectoryTopic topic_of(std::size_t number)
    {
        return static_cast<DirectoryTopic>(number % kTopics);
    }
    Topic& of(DirectoryTopic topic) { return m_log[static_cast<std::size_t>(topic)]; }

    void append(DirectoryTopic topic, DirectoryRecord record)
    {
        of(topic).records.push_back({std::move(record), m_now});
    }

    static std::string name_of(std::size_t upstream) { return std::to_string(upstream); }

    void beat(std::size_t upstream, bool leaving)
    {
        if (m_gone.contains(upstream))
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

    /// Under the identity that it had, with a count that begins anew.
    void start_again(std::size_t upstream)
    {
        if (m_sequences[upstream] == 0)
            return;
        m_last_sequences[upstream] = m_sequences[upstream];
        m_sequences[upstream] = 0;
        ++m_starts[upstream];
        m_gone.erase(upstream);
        m_leaving.erase(upstream);
        beat(upstream, false);
    }

    void go(std::size_t upstream)
    {
        if (m_sequences[upstream] == 0 || !m_gone.insert(upstream).second)
            return;
        append(DirectoryTopic::Upstreams, {name_of(upstream), ""});
    }

    void write_older(std::size_t number)
    {
        if (m_version > 0)
            append(DirectoryTopic::Configuration, configuration_of(1 + number % m_version));
    }

    /// A record that was under way arrives after newer ones.
    void write_late(std::size_t upstream, bool of_run_before)
    {
        if (of_run_before && m_starts[upstream] > 1)
            append(
                DirectoryTopic::Upstreams,
                {name_of(upstream),
                 record_of(m_last_sequences[upstream] + 1, m_starts[upstream] - 1, "!")});
        else if (m_sequences[upstream] >= 2)
            append(DirectoryTopic::Upstreams,
                   {name_of(upstream),
                    record_of(m_sequences[upstream] - 1, m_starts[upstream], "")});
    }

    void restart(std::size_t daemon)
    {
        m_daemons[daemon] = {};
        const DirectoryPace pace(2 * kSecond, 1200 * kMillisecond);
        m_daemons[daemon].view = std::make_unique<DirectoryView>(
            m_dialect, pace, 0, "n" + std::to_string(daemon), "hall", 400, m_now);
        ++m_lives[daemon];
    }

    /// The log comes back from an older copy, and its writers write again what holds.
    void restore(std::size_t a, std::size_t b)
    {
        const std::map<std::string, bool> evacuations
            = evacuations_before(of(DirectoryTopic::Configuration).end());
        for (const auto& [name, truth] : truth_before(of(DirectoryTopic::Upstreams).end()))
            if (!truth.present)
                m_ended_before_restore[name] = truth;
        keep_first(DirectoryTopic::Configuration, a);
        keep_first(DirectoryTopic::Upstreams, b);
        ++m_generation;
        for (const auto& [hall, begun] : evacuations)
            append(DirectoryTopic::Configuration, evacuation(std::stoul(hall), begun));
        if (m_version > 0)
            append(DirectoryTopic::Configuration, configuration_of(m_version));
        std::set<std::string> listed;
        for (const Written& written : of(DirectoryTopic::Upstreams).records)
            listed.insert(written.record.key);
        for (std::size_t upstream = 0; upstream < kUpstreams; ++upstream) {
            if (m_gone.contains(upstream) && listed.contains(name_of(upstream)))
                append(DirectoryTopic::Upstreams, {name_of(upstream), ""});
            else if (m_sequences[upstream] > 0)
                beat(upstream, false);
        }
    }

    /// The last records of the topic, up to sixty of them, are lost.
    void keep_first(DirectoryTopic topic, std::size_t lost)
    {
        Topic& log = of(topic);
        log.records.resize(log.records.size() - std::min(lost, log.records.size()));
        log.first = std::min(log.first, log.end());
    }

    void read(std::size_t daemon, DirectoryTopic topic)
    {
        DirectoryView& view = *m_daemons[daemon].view;
        // What such an answer holds is of offsets that hold no more.
        if (view.record_generation(m_generation, m_now))
            return;
        const Topic& log = of(topic);
        const std::optional<Offset> next = view.of(topic).next;
        if (next && (*next < log.first || *next > log.end())) {
            // It lists the topic by itself, or is told of all of it by another daemon.
            view.on_history_lost(topic, m_now);
            return;
        }
        if (!next) {
            list(daemon, topic);
            return;
        }
        std::vector<DirectoryRecord> records;
        for (Offset at = *next; at < log.end(); ++at)
            records.push_back(log.records[static_cast<std::size_t>(at)].record);
        if (topic == DirectoryTopic::Upstreams)
            note_page(m_daemons[daemon], *next, records);
        view.apply_page(topic, *next, records, m_now, 0, m_now);
    }

    static void note_told(Daemon& daemon, const DirectoryRecord& record)
    {
        if (!record.value.empty()) {
            std::uint64_t& told = daemon.told[record.key];
            told = std::max(told, rank_of(record.value));
        }
    }

    /// One that was not told of signs of life, and then reads the end of an upstream
    /// itself, can't know an older record, written later still, from a return.  That is
    /// a known limit; what it believes, and tells, of that upstream is not judged.
    void note_page(Daemon& daemon, Offset from, const std::vector<DirectoryRecord>& records)
    {
        const auto truths = truth_before(from);
        for (const DirectoryRecord& record : records) {
            const auto truth = truths.find(record.key);
            const bool is_blind = record.value.empty() && truth != truths.end()
                && daemon.told[record.key] < truth->second.rank;
            if (is_blind)
                m_doubtful.insert(record.key);
            note_told(daemon, record);
        }
    }

    void list(std::size_t daemon, DirectoryTopic topic)
    {
        DirectoryView& view = *m_daemons[daemon].view;
        const Topic& log = of(topic);
        std::map<std::string, DirectoryRecord> newest;
        Offset offset = 0;
        for (const Written& written : log.records) {
            newest[written.record.key] = written.record;
            newest[written.record.key].offset = offset++;
        }
        std::vector<DirectoryRecord> records;
        for (const auto& [key, record] : newest)
            if (!record.value.empty())
                records.push_back(record);
        if (topic == DirectoryTopic::Upstreams)
            for (const DirectoryRecord& record : records)
                note_told(m_daemons[daemon], record);
        view.begin_listing(topic, m_now);
        view.apply_listed(topic, records, m_now);
        view.end_listing(topic, log.end(), m_now, m_now);
        if (topic == DirectoryTopic::Upstreams)
            m_daemons[daemon].ended.clear();
    }

    void ask(std::size_t from, std::size_t to, bool wants_signs)
    {
        if (from == to)
            return;
        FeedQuery query = m_daemons[from].view->query();
        query.cursors.resize(kTopics);
        query.wants_signs = wants_signs;
        m_questions.push_back({from, to, m_lives[from], query, m_now});
    }

    /// The question arrives now, or arrived at once and was held until now.
    void answer(std::size_t index, bool held)
    {
        if (m_questions.empty())
            return;
        const auto at
            = m_questions.begin() + static_cast<std::ptrdiff_t>(index % m_questions.size());
        DirectoryView& asked = *m_daemons[at->to].view;
        asked.receive_generation(at->query.generation, m_now);
        Reply reply {*at, asked.answer_to(at->query, m_now)};
        reply.answer.held = held ? m_now - at->requested_at : 0;
        m_questions.erase(at);
        m_replies.push_back(std::move(reply));
    }

    void deliver(std::size_t index)
    {
        if (m_replies.empty())
            return;
        const auto at
            = m_replies.begin() + static_cast<std::ptrdiff_t>(index % m_replies.size());
        const Reply reply = std::move(*at);
        m_replies.erase(at);
        Daemon& daemon = m_daemons[reply.question.from];
        if (reply.question.life != m_lives[reply.question.from])
            return;
        daemon.view->receive_generation(reply.answer.generation, m_now);
        if (daemon.view->generation() == reply.answer.generation)
            note_ended(daemon, reply.answer);
        const auto answer = decode_feed_answer(encode(reply.answer));
        daemon.view->take_answer(*answer, reply.question.requested_at, m_now);
    }

    static void note_ended(Daemon& daemon, const FeedAnswer& answer)
    {
        for (const FeedAnswer::Topic& topic : answer.topics) {
            const TopicView& known = daemon.view->of(topic.topic);
            if (topic.topic != DirectoryTopic::Upstreams)
                continue;
            const bool is_listing = !topic.listing.empty()
                && topic.listing_end >= known.known_end
                && known.next.value_or(-1) < topic.listing_end;
            if (is_listing)
                mark_listed(daemon, topic);
            if (!is_listing && !known.next)
                continue;
            const Offset next = is_listing ? topic.listing_end : *known.next;
            for (OffsetRecord entry : topic.records) {
                RC_ASSERT(RecordPacker::unpack(entry, RecordHistory()));
                note_told(daemon, entry.record);
                if (entry.record.value.empty() && entry.offset >= next)
                    daemon.ended.insert(entry.record.key);
            }
        }
    }

    /// All of the topic from another daemon, like a listing of the log's.
    static void mark_listed(Daemon& daemon, const FeedAnswer::Topic& topic)
    {
        daemon.ended.clear();
        for (const std::string& part : topic.listing) {
            const auto records = unpack_listing(part);
            RC_ASSERT(records.has_value());
            for (const OffsetRecord& entry : *records)
                note_told(daemon, entry.record);
        }
    }

    std::map<std::string, Truth> truth_before(Offset end)
    {
        std::map<std::string, Truth> truths = m_ended_before_restore;
        const Topic& log = of(DirectoryTopic::Upstreams);
        for (Offset at = 0; at < end; ++at) {
            const DirectoryRecord& record
                = log.records[static_cast<std::size_t>(at)].record;
            Truth& truth = truths[record.key];
            if (record.value.empty()) {
                truth.present = false;
                continue;
            }
            const std::uint64_t rank = rank_of(record.value);
            if (rank <= truth.rank)
                continue;
            truth = {rank, true};
        }
        return truths;
    }

    void check(std::size_t number)
    {
        Daemon& daemon = m_daemons[number];
        DirectoryView& view = *daemon.view;
        view.fold().expire(m_now);
        check_rises(daemon);
        // One that has not heard yet that the log was restored speaks of other offsets.
        if (view.generation() != m_generation)
            return;
        for (std::size_t t = 0; t < kTopics; ++t)
            check_age(view, topic_of(t));
        check_version(daemon);
        check_evacuations(daemon);
        check_members(daemon);
    }

    /// What was written before the time that the view claims is known to it.
    void check_age(const DirectoryView& view, DirectoryTopic topic)
    {
        const TopicView& known = view.of(topic);
        if (!known.next)
            return;
        const Topic& log = of(topic);
        for (Offset at = *known.next; at < log.end(); ++at)
            RC_ASSERT(log.records[static_cast<std::size_t>(at)].at + kMillisecond
                      >= known.as_of);
    }

    /// Neither the configuration nor an upstream's run goes back within a daemon's life.
    static void check_rises(Daemon& daemon)
    {
        const Bundle* bundle = daemon.view->fold().configuration();
        const std::uint64_t version = bundle ? bundle->version : 0;
        RC_ASSERT(version >= daemon.version);
        daemon.version = version;
        std::map<std::string, std::uint64_t> starts;
        for (const UpstreamMember& member : daemon.view->fold().members())
            starts[member.identity] = static_cast<std::uint64_t>(member.born);
        check_starts(daemon, starts);
    }

    void check_version(Daemon& daemon)
    {
        const Bundle* bundle = daemon.view->fold().configuration();
        const std::uint64_t version = bundle ? bundle->version : 0;
        // Whoever has read the topic has a configuration, if there was one.
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

    /// Whoever has read so far knows the halls that are evacuated by then, and no others.
    void check_evacuations(Daemon& daemon)
    {
        const auto next = daemon.view->of(DirectoryTopic::Configuration).next;
        if (!next)
            return;
        std::set<std::string> halls;
        for (const auto& [hall, begun] : evacuations_before(*next))
            if (begun)
                halls.insert(hall);
        const auto known = daemon.view->fold().evacuations().halls();
        RC_ASSERT(std::set<std::string>(known.begin(), known.end()) == halls);
    }

    /// Whether each hall that records name is evacuated.
    std::map<std::string, bool> evacuations_before(Offset end)
    {
        std::map<std::string, bool> halls;
        for (Offset at = 0; at < end; ++at)
            if (const auto record = m_dialect.decode_evacuation(configuration_record(at)))
                halls[record->hall] = record->begun;
        return halls;
    }

    const DirectoryRecord& configuration_record(Offset at)
    {
        const auto& records = of(DirectoryTopic::Configuration).records;
        return records[static_cast<std::size_t>(at)].record;
    }

    /// The newest configuration, if it was written last, is in force at whoever has read so
    /// far, whoever told it.
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

    /// No upstream goes back to a run before, within one life of a daemon, while it is
    /// known.
    static void check_starts(Daemon& daemon,
                             const std::map<std::string, std::uint64_t>& starts)
    {
        for (const auto& [name, start] : starts) {
            RC_ASSERT(start >= daemon.starts[name]);
            daemon.starts[name] = start;
        }
    }

    /// Nothing that exists is missing, and what another daemon told to be gone stays so.
    void check_members(Daemon& daemon)
    {
        const TopicView& known = daemon.view->of(DirectoryTopic::Upstreams);
        if (!known.next)
            return;
        std::set<std::string> members;
        for (const UpstreamMember& member : daemon.view->fold().members())
            members.insert(member.identity);
        for (const auto& [name, truth] : truth_before(*known.next)) {
            if (truth.present)
                RC_ASSERT(members.contains(name));
            else if (daemon.ended.contains(name) && !m_doubtful.contains(name))
                RC_ASSERT(!members.contains(name));
        }
    }

    TextDialect m_dialect;
    Micros m_now = kSecond;
    std::array<Topic, kTopics> m_log;
    std::array<Daemon, kDaemons> m_daemons;
    std::array<std::uint64_t, kDaemons> m_lives {};
    std::array<std::uint64_t, kUpstreams> m_sequences {};
    std::array<std::uint64_t, kUpstreams> m_starts {1, 1, 1, 1, 1};
    std::array<std::uint64_t, kUpstreams> m_last_sequences {}; ///< of the run before
    std::set<std::size_t> m_gone;
    std::set<std::string> m_doubtful;
    /// What a record that is older than their lost end does not bring back.
    std::map<std::string, Truth> m_ended_before_restore;
    std::set<std::size_t> m_leaving;
    std::vector<Question> m_questions;
    std::vector<Reply> m_replies;
    std::uint64_t m_version = 0;
    LogGeneration m_generation = 1;
};

} // namespace cypressford::fuzz

// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// When a DirectoryView refreshes its state, and from which source.

#include <cypressford/directory_view.h>

#include <algorithm>
#include <utility>

namespace cypressford {

namespace {

/// Delay between requests to a directory that does not answer; doubled up to this many
/// times for daemons that get their records from a reader.
constexpr Micros kRetryDelay = 500 * kMillisecond;
constexpr int kMaxRetryDoublings = 2;
/// Shorter delay of a daemon that has no configuration yet.
constexpr Micros kInitialRetryDelay = 200 * kMillisecond;
/// Interval between reads of the records of daemons; shorter within kStartupPeriod, while
/// all daemons may be starting.
constexpr Micros kDaemonsReadInterval = 2500 * kMillisecond;
constexpr Micros kDaemonsInitialReadInterval = 300 * kMillisecond;
constexpr Micros kStartupPeriod = 2400 * kMillisecond;
/// Records of daemons older than this are refreshed from the directory itself.
constexpr Micros kDaemonsStaleAfter = 6 * kSecond;
/// Longest wait for daemons and suspects once configuration and upstreams are known.
constexpr Micros kMaxWaitForOptionalTopics = 500 * kMillisecond;
/// A daemon that has not listed the daemons yet writes its own record after this time.
constexpr Micros kMaxPublishDelay = 500 * kMillisecond;
/// Time after this daemon's start within which daemons that start together announce
/// themselves.
constexpr Micros kDiscoveryTime = 600 * kMillisecond;
/// Discovery ends early once no new daemon has announced itself for this time.
constexpr Micros kDiscoveryQuietTime = 150 * kMillisecond;
/// A daemon that gets no records from a reader lists the topic itself after this time.
constexpr Micros kFeedWaitLimit = 3 * kSecond;
/// The same for a reader of a hall.
constexpr Micros kReaderFeedWaitLimit = 1500 * kMillisecond;
/// The same for a daemon whose reader answers but has not listed the topic yet, either.
constexpr Micros kPendingFeedWaitLimit = 8 * kSecond;
/// Spacing of the daemons' listings, so that the directory can answer those of any fleet.
constexpr Micros kListingSpacing = 20 * kMillisecond;
/// Interval at which a daemon that waits for records checks whether they arrived.
constexpr Micros kRecheckInterval = 200 * kMillisecond;
/// Spacing of the daemons' records after the log was restored.
constexpr Micros kRecordSpacing = 5 * kMillisecond;
/// Up to this size of the fleet, each daemon lists the directory itself, which is fastest:
/// the directory can answer that many listings at the same time.
constexpr int kSmallFleet = 32;
/// Smallest fleet that a daemon assumes, as it may not have the records of all yet.
constexpr int kMinAssumedDaemons = 200;

} // namespace

// --------------------------------------------------------- timing and sources

bool
DirectoryView::can_serve(Micros now) const
{
    // A topic that must be listed again remains valid meanwhile.
    if (!of(DirectoryTopic::Upstreams).was_listed || !m_fold.configuration())
        return false;
    const bool has_optional_topics
        = of(DirectoryTopic::Daemons).was_listed && of(DirectoryTopic::Suspects).was_listed;
    return has_optional_topics || now - m_started_at >= kMaxWaitForOptionalTopics;
}

bool
DirectoryView::is_starting(Micros now) const
{
    return now - m_started_at < kStartupPeriod;
}

bool
DirectoryView::must_list() const
{
    return std::any_of(std::begin(kTopics), std::end(kTopics), [this](auto topic) {
        return topic != DirectoryTopic::Suspects && !of(topic).next;
    });
}

DirectorySource
DirectoryView::source() const
{
    if (of(DirectoryTopic::Daemons).was_listed)
        return m_daemons.source_for(m_hall);
    if (m_referral.role == DirectoryRole::Root)
        return {};
    for (const DaemonRecord& daemon : m_referral.daemons)
        if (!m_daemons.is_suspected(daemon.peers_address))
            return {m_referral.role, daemon};
    return {DirectoryRole::Fresh, std::nullopt};
}

bool
DirectoryView::needs_referral() const
{
    return source().role == DirectoryRole::Fresh;
}

void
DirectoryView::apply_referral(const DirectoryReferral& referral, Micros now)
{
    m_referral = referral;
    m_peers_answer = true;
    for (const DaemonRecord& daemon : referral.daemons)
        m_daemons.apply(daemon, now);
}

void
DirectoryView::on_daemon_announced(const DaemonRecord& daemon, Micros now)
{
    if (!m_daemons.apply(daemon, now))
        return;
    m_new_daemons.push_back(daemon);
    m_last_new_daemon_at = now;
}

DirectoryReferral
DirectoryView::refer(const DaemonRecord& requester) const
{
    return m_own ? m_daemons.refer(requester, *m_own) : DirectoryReferral {};
}

Micros
DirectoryView::time_until_referral(Micros now) const
{
    // A daemon that ran before finds the records of the fleet in the directory; at the very
    // first start there are few records yet.
    if (of(DirectoryTopic::Daemons).was_listed && m_had_earlier_record)
        return 0;
    const Micros quiet = std::max(m_started_at, m_last_new_daemon_at) + kDiscoveryQuietTime;
    return std::min(m_started_at + kDiscoveryTime, quiet) - now;
}

/// A daemon with a known reader waits for its records, and a daemon without a record of any
/// other waits for a referral: when hundreds of daemons start at the same time and each
/// lists thousands of upstreams, they request more than the directory can answer.  A daemon
/// that gets no records in time lists the topic itself, at a rate that does not grow with
/// the fleet.
Micros
DirectoryView::time_until_listed(DirectoryTopic topic, Micros now) const
{
    const TopicView& view = of(topic);
    const DirectoryRole role = source().role;
    if (role == DirectoryRole::Root || view.reader_lacks_records)
        return 0;
    const bool is_daemons = topic == DirectoryTopic::Daemons;
    if (is_daemons && (!m_own || m_is_peer))
        return 0;
    const int known
        = of(DirectoryTopic::Daemons).was_listed ? m_daemons.alive() : m_referral.alive;
    if (known > 0 && known <= kSmallFleet)
        return 0;
    Micros limit
        = role == DirectoryRole::HallReader ? kReaderFeedWaitLimit : kFeedWaitLimit;
    if (view.is_pending)
        limit = kPendingFeedWaitLimit;
    if (is_daemons && !m_peers_answer)
        limit = 0;
    const double others = std::max(kMinAssumedDaemons, m_daemons.alive());
    const auto turn = static_cast<Micros>(m_jitter_fraction * others * kListingSpacing);
    // Records received meanwhile may have to be refreshed sooner.
    return std::min(view.unlisted_since + limit + turn - now, kRecheckInterval);
}

Micros
DirectoryView::required_topics_as_of() const
{
    return std::min(of(DirectoryTopic::Configuration).as_of,
                    of(DirectoryTopic::Upstreams).as_of);
}

bool
DirectoryView::may_retry_reader(Micros answer_time, Micros now) const
{
    return !must_list()
        && now + answer_time < required_topics_as_of() + max_age(source().role);
}

Micros
DirectoryView::reader_deadline() const
{
    return required_topics_as_of() + m_timing.bound;
}

Micros
DirectoryView::time_until_read(DirectoryTopic topic, Micros now) const
{
    const TopicView& view = of(topic);
    if (!view.next)
        return time_until_listed(topic, now);
    const bool is_daemons = topic == DirectoryTopic::Daemons;
    const DirectorySource from = source();
    const DirectoryRole role = from.role;
    if (from.daemon) {
        if (view.reader_lacks_records)
            return 0;
        const Micros stale = is_daemons ? kDaemonsStaleAfter : max_age(role);
        // An unavailable directory is not polled without a pause.
        return std::max(view.as_of + stale, view.requested_at + kRetryDelay) - now;
    }
    // Right after the start, most daemons assume the role of root reader only until the
    // records of others arrive, so none of them holds a request at the directory.
    if (topic == DirectoryTopic::Configuration && !is_starting(now))
        return 0;
    const Micros interval
        = is_starting(now) ? kDaemonsInitialReadInterval : kDaemonsReadInterval;
    return view.requested_at + (is_daemons ? interval : m_timing.read_interval) - now;
}

Micros
DirectoryView::retry_delay(int failures) const
{
    if (!m_fold.configuration())
        return kInitialRetryDelay;
    if (source().role != DirectoryRole::Follower)
        return kRetryDelay;
    return kRetryDelay << std::min(failures, kMaxRetryDoublings);
}

Micros
DirectoryView::with_jitter(Micros time) const
{
    return time / 2 + static_cast<Micros>(m_jitter_fraction * static_cast<double>(time));
}

Micros
DirectoryView::time_until_publish(Micros now) const
{
    if (of(DirectoryTopic::Daemons).was_listed)
        return 0;
    return m_started_at + kMaxPublishDelay - now;
}

Micros
DirectoryView::time_to_republish() const
{
    return with_jitter(m_daemons.alive() * kRecordSpacing);
}

/// If a record arrived during the wait, the time of its arrival is not known; the directory
/// confirms the state at once if the next request does not wait.
Micros
DirectoryView::read_wait_for(DirectoryTopic topic, Micros now) const
{
    const bool waits = topic == DirectoryTopic::Configuration && !is_starting(now)
        && source().role == DirectoryRole::Root && !of(topic).just_changed;
    return waits ? m_timing.read_wait : 0;
}

std::vector<DaemonRecord>
DirectoryView::take_new_daemons()
{
    return std::exchange(m_new_daemons, {});
}

} // namespace cypressford

// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// When a DirectoryView refreshes its state.

#include <cypressford/directory_view.h>

#include <algorithm>
#include <cmath>
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
/// A daemon that has not listed the daemons yet writes its own record after this time; a
/// daemon that others refer waits longer, as it lacks them because the directory is slow.
constexpr Micros kMaxPublishDelay = 500 * kMillisecond;
constexpr Micros kMaxReferredPublishDelay = 8 * kSecond;
/// A daemon that gets no records from a reader lists the topic itself after this time, at
/// the earliest.
constexpr Micros kFeedWaitLimit = 3 * kSecond;
/// The same for a reader of a hall.
constexpr Micros kReaderFeedWaitLimit = 1500 * kMillisecond;
/// The same for a daemon whose reader answers but has not listed the topic yet, either.
constexpr Micros kPendingFeedWaitLimit = 8 * kSecond;
/// The part of the daemons that list a topic first once their wait is over, as 2 to this
/// power; twice as many follow after each further step.
constexpr double kListingDoublings = 12;
constexpr Micros kListingStep = 2 * kSecond;
/// The same for readers of halls, of which there is one for about 32 daemons, and for
/// daemons that no other refers.
constexpr double kReaderListingDoublings = 5;
constexpr Micros kReaderListingStep = 1 * kSecond;
/// Delay between pages of a listing by a daemon that has a reader, halved after each
/// kPageSpacingHalving.
constexpr Micros kPageSpacing = 500 * kMillisecond;
constexpr Micros kPageSpacingHalving = 2 * kSecond;
constexpr Micros kMaxPageSpacingHalvings = 10;
/// Interval at which a daemon that waits for records checks whether they arrived.
constexpr Micros kRecheckInterval = 200 * kMillisecond;
/// Spacing of the records of daemons that write at the same time, at the start and after
/// the log was restored.
constexpr Micros kRecordSpacing = 5 * kMillisecond;
/// Peers among which the daemons of a fleet are divided when they request a referral.
constexpr int kAssumedPeers = 3;
/// Up to this size of the fleet, each daemon lists the directory itself, which is fastest:
/// the directory can answer that many listings at the same time.
constexpr int kSmallFleet = 32;

/// Delay of one daemon among any number of them, such that each `step` twice as many act as
/// before, from 1 in 2^`doublings` on.  `draw`: in [0, 1), this daemon's own.
Micros
doubling_delay(double draw, double doublings, Micros step)
{
    const double steps = doublings + std::log2(std::max(draw, std::exp2(-doublings)));
    return static_cast<Micros>(steps * static_cast<double>(step));
}

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

/// A daemon with a known reader waits for its records, and a daemon without a record of any
/// other waits for a referral: when hundreds of daemons start at the same time and each
/// lists thousands of upstreams, they request more than the directory can answer.  How many
/// daemons there are is not known at a first start, so a daemon that gets no records in
/// time lists the topic itself after a delay that lets few list at first in a fleet of any
/// size.
Micros
DirectoryView::time_until_listed(DirectoryTopic topic, Micros now) const
{
    const TopicView& view = of(topic);
    const DirectoryRole role = source().role;
    if (role == DirectoryRole::Root || view.reader_lacks_records)
        return 0;
    const bool is_daemons = topic == DirectoryTopic::Daemons;
    if (is_daemons && (!m_has_peers || m_is_peer))
        return 0;
    const int size = fleet_size();
    if (size > 0 && size <= kSmallFleet)
        return 0;
    if (view.pages && view.pages->end && view.failures == 0)
        return view.pages->answered_at + page_spacing(*view.pages, now) - now;
    const bool reads_for_others = role == DirectoryRole::HallReader;
    Micros limit = reads_for_others ? kReaderFeedWaitLimit : kFeedWaitLimit;
    if (view.is_pending && !reads_for_others)
        limit = kPendingFeedWaitLimit;
    const bool needs_any_daemon = is_daemons && !m_peers_answer;
    if (needs_any_daemon)
        limit = 0;
    const Micros turn = reads_for_others || needs_any_daemon
        ? doubling_delay(m_jitter_fraction, kReaderListingDoublings, kReaderListingStep)
        : doubling_delay(m_jitter_fraction, kListingDoublings, kListingStep);
    // Records received meanwhile may have to be refreshed sooner.
    const Micros since
        = std::max({view.unlisted_since, view.list_failed_at, m_referred_at});
    return std::min(since + limit + turn - now, kRecheckInterval);
}

/// A daemon that lists although it should get the records from another leaves the directory
/// time for the other's listing, less and less: 35 readers that list 21 pages each at the
/// same time take 3 s.
Micros
DirectoryView::page_spacing(const ListingPages& pages, Micros now)
{
    const Micros halvings = (now - pages.requested_at) / kPageSpacingHalving;
    return kPageSpacing >> std::min(halvings, kMaxPageSpacingHalvings);
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
    // An answer that is cut before its first record brings nothing, and the directory does
    // not hold a request for records that it has.
    if (view.is_cut)
        return view.just_changed ? 0 : view.requested_at + kRetryDelay - now;
    const bool is_daemons = topic == DirectoryTopic::Daemons;
    const DirectorySource from = source();
    const DirectoryRole role = from.role;
    if (from.daemon) {
        if (view.reader_lacks_records)
            return 0;
        const Micros stale = is_daemons ? daemons_stale_after() : max_age(role);
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

/// Followers learn of daemons from their reader even if the directory is slow to read, as
/// it is while hundreds of daemons write their records, so few of them read it themselves.
Micros
DirectoryView::daemons_stale_after() const
{
    if (source().role != DirectoryRole::Follower)
        return kDaemonsStaleAfter;
    return kDaemonsStaleAfter
        + doubling_delay(m_jitter_fraction, kListingDoublings, kListingStep);
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
DirectoryView::record_failure(DirectoryTopic topic, Micros now)
{
    TopicView& view = of(topic);
    if (!view.next)
        view.list_failed_at = now;
    return retry_delay(++view.failures);
}

Micros
DirectoryView::with_jitter(Micros time) const
{
    return time / 2 + static_cast<Micros>(m_jitter_fraction * static_cast<double>(time));
}

Micros
DirectoryView::time_until_publish(Micros now) const
{
    const Micros longest = m_peers_answer ? kMaxReferredPublishDelay : kMaxPublishDelay;
    const bool is_listed = of(DirectoryTopic::Daemons).was_listed;
    const Micros earliest = is_listed ? m_daemons_listed_at : m_started_at + longest;
    const auto turn
        = static_cast<Micros>(m_jitter_fraction * assumed_writers() * kRecordSpacing);
    return earliest + turn - now;
}

/// Twice the number of daemons that a peer has met is at most twice the number of all, so
/// the next record is written before this one expires, after three intervals.
Micros
DirectoryView::time_to_next_record() const
{
    const int alive = m_daemons.alive();
    const int writers = knows_fleet() ? alive : std::max(alive, 2 * m_referral.met);
    return publish_interval(writers, m_writes_per_s);
}

/// The number of daemons that may write their first records at the same time.
int
DirectoryView::assumed_writers() const
{
    const int alive = m_daemons.alive();
    return knows_fleet() ? alive : std::max(alive, kAssumedPeers * m_referral.met);
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

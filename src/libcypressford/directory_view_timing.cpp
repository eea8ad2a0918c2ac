// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// When a DirectoryView is to be renewed, and by whom.

#include <cypressford/directory_view.h>

#include <algorithm>
#include <utility>

namespace cypressford {

namespace {

/// Between attempts to reach a directory that does not answer; doubles so often for those
/// that hear from a reader.
constexpr Micros kRetryPause = 500 * kMillisecond;
constexpr int kMaxRetryDoublings = 2;
/// A daemon that knows nothing yet tries more often.
constexpr Micros kFirstRetryPause = 200 * kMillisecond;
/// Between looks at the records of daemons: short at first, while all may be starting.
constexpr Micros kDaemonsPace = 2500 * kMillisecond;
constexpr Micros kDaemonsFirstPace = 300 * kMillisecond;
constexpr Micros kFirstLooks = 2400 * kMillisecond; ///< so long after the start
/// Records of daemons older than this are renewed at the directory itself.
constexpr Micros kDaemonsStale = 6 * kSecond;
/// A daemon that knows configuration and upstreams waits so long for the rest, at most.
constexpr Micros kWaitForRest = 500 * kMillisecond;
/// A daemon that has not heard who there is writes its own record after so long.
constexpr Micros kPublishLimit = 500 * kMillisecond;
/// Daemons that start together tell of themselves within this time after the first.
constexpr Micros kMeetingTime = 600 * kMillisecond;
/// Or it is over once none has come for so long.
constexpr Micros kMeetingQuiet = 150 * kMillisecond;
/// A daemon that is told nothing lists by itself after so long, a reader first, ...
constexpr Micros kUntoldLimit = 3 * kSecond;
constexpr Micros kReaderUntoldLimit = 1500 * kMillisecond;
/// The same where its reader answers but does not know the topic yet, either.
constexpr Micros kPendingLimit = 8 * kSecond;
/// ... one after the other, so that the directory bears the listings of any fleet.
constexpr Micros kListingSpacing = 20 * kMillisecond;
/// A daemon that waits to be told looks so often whether it was.
constexpr Micros kLookAgain = 200 * kMillisecond;
/// Between records of daemons that write them again, one after the other.
constexpr Micros kRecordSpacing = 5 * kMillisecond;
/// The directory bears the listings of so many daemons at once: each lists by itself, which
/// is soonest.
constexpr int kFewDaemons = 32;
/// Until it knows how many others there are, a daemon takes them for so many.
constexpr int kLeastSpreadOver = 200;

} // namespace

// ------------------------------------------------------------- when and whom

bool
DirectoryView::can_serve(Micros now) const
{
    // What must be listed again holds on meanwhile.
    if (!of(DirectoryTopic::Upstreams).was_listed || !m_fold.configuration())
        return false;
    const bool has_rest
        = of(DirectoryTopic::Daemons).was_listed && of(DirectoryTopic::Suspects).was_listed;
    return has_rest || now - m_started_at >= kWaitForRest;
}

bool
DirectoryView::is_new(Micros now) const
{
    return now - m_started_at < kFirstLooks;
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
    for (const DaemonRecord& daemon : m_referral.ask)
        if (!m_daemons.is_suspected(daemon.peers_address))
            return {m_referral.role, daemon};
    return {DirectoryRole::Fresh, std::nullopt};
}

bool
DirectoryView::wants_referral() const
{
    return source().role == DirectoryRole::Fresh;
}

void
DirectoryView::take_referral(const DirectoryReferral& referral, Micros now)
{
    m_referral = referral;
    m_peers_answer = true;
    for (const DaemonRecord& daemon : referral.ask)
        m_daemons.apply(daemon, now);
}

void
DirectoryView::meet(const DaemonRecord& daemon, Micros now)
{
    if (!m_daemons.apply(daemon, now))
        return;
    m_new_daemons.push_back(daemon);
    m_met_at = now;
}

DirectoryReferral
DirectoryView::refer(const DaemonRecord& asker) const
{
    return m_own ? m_daemons.refer(asker, *m_own) : DirectoryReferral {};
}

Micros
DirectoryView::time_until_refer(Micros now) const
{
    // Who was there before knows the fleet by its records; at the first start they are few
    // yet.
    if (of(DirectoryTopic::Daemons).was_listed && m_lived_before)
        return 0;
    const Micros quiet = std::max(m_started_at, m_met_at) + kMeetingQuiet;
    return std::min(m_started_at + kMeetingTime, quiet) - now;
}

/// Daemons that know who reads wait to be told, and those that know nobody until they do:
/// hundreds that start at once and list thousands of upstreams each ask more than the
/// directory can answer.  Whoever is not told in time lists by itself, at a rate that does
/// not grow with the fleet.
Micros
DirectoryView::time_until_listed(DirectoryTopic topic, Micros now) const
{
    const TopicView& view = of(topic);
    const DirectoryRole role = source().role;
    if (role == DirectoryRole::Root || view.overdue)
        return 0;
    const bool is_daemons = topic == DirectoryTopic::Daemons;
    if (is_daemons && (!m_own || m_is_peer))
        return 0;
    const int known
        = of(DirectoryTopic::Daemons).was_listed ? m_daemons.alive() : m_referral.alive;
    if (known > 0 && known <= kFewDaemons)
        return 0;
    Micros limit = role == DirectoryRole::HallReader ? kReaderUntoldLimit : kUntoldLimit;
    if (view.is_pending)
        limit = kPendingLimit;
    if (is_daemons && !m_peers_answer)
        limit = 0;
    const double others = std::max(kLeastSpreadOver, m_daemons.alive());
    const auto turn = static_cast<Micros>(m_draw * others * kListingSpacing);
    // What it is told meanwhile may have to be renewed sooner.
    return std::min(view.unlisted_since + limit + turn - now, kLookAgain);
}

Micros
DirectoryView::known_at() const
{
    return std::min(of(DirectoryTopic::Configuration).as_of,
                    of(DirectoryTopic::Upstreams).as_of);
}

bool
DirectoryView::may_ask_again(Micros answer_time, Micros now) const
{
    return !must_list() && now + answer_time < known_at() + bearable_age(source().role);
}

Micros
DirectoryView::reader_due_at() const
{
    return known_at() + m_pace.bound;
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
        if (view.overdue)
            return 0;
        const Micros stale = is_daemons ? kDaemonsStale : bearable_age(role);
        // While the directory is away it is not asked without a pause.
        return std::max(view.as_of + stale, view.asked_at + kRetryPause) - now;
    }
    // At first nearly all find out soon that another one reads: none of them waits there.
    if (topic == DirectoryTopic::Configuration && !is_new(now))
        return 0;
    const Micros daemons_pace = is_new(now) ? kDaemonsFirstPace : kDaemonsPace;
    return view.asked_at + (is_daemons ? daemons_pace : m_pace.read_pause) - now;
}

Micros
DirectoryView::retry_pause(int failures) const
{
    if (!m_fold.configuration())
        return kFirstRetryPause;
    if (source().role != DirectoryRole::Follower)
        return kRetryPause;
    return kRetryPause << std::min(failures, kMaxRetryDoublings);
}

Micros
DirectoryView::in_turn(Micros time) const
{
    return time / 2 + static_cast<Micros>(m_draw * static_cast<double>(time));
}

Micros
DirectoryView::time_until_publish(Micros now) const
{
    if (of(DirectoryTopic::Daemons).was_listed)
        return 0;
    return m_started_at + kPublishLimit - now;
}

Micros
DirectoryView::time_to_republish() const
{
    return in_turn(m_daemons.alive() * kRecordSpacing);
}

/// A record that came while a question waited leaves open when; asked again without
/// waiting, the directory confirms it at once.
Micros
DirectoryView::wait_of(DirectoryTopic topic, Micros now) const
{
    const bool waits = topic == DirectoryTopic::Configuration && !is_new(now)
        && source().role == DirectoryRole::Root && !of(topic).just_changed;
    return waits ? m_pace.read_wait : 0;
}

std::vector<DaemonRecord>
DirectoryView::take_new_daemons()
{
    return std::exchange(m_new_daemons, {});
}

} // namespace cypressford

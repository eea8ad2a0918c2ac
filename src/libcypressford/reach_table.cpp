// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include <cypressford/reach_table.h>

namespace cypressford {

namespace {

/// An upstream that nobody has tried for so long has ended: others are tried each
/// kRetryInterval.
constexpr Micros kForgetAfter = 60 * kSecond;

} // namespace

void
ReachTable::record_unreachable(const std::string& from, const UpstreamRun& run,
                               const std::string& hall, Micros now)
{
    std::erase_if(m_try_at,
                  [now](const auto& item) { return now - item.second > kForgetAfter; });
    m_try_at[run] = now + kRetryInterval;
    FailedRoute& way = m_failed_routes[{from, hall}];
    way.failed.insert(run);
    way.retry_at = now + kRetryInterval;
}

void
ReachTable::record_answer(const std::string& from, const UpstreamRun& run,
                          const std::string& hall)
{
    m_try_at.erase(run);
    m_failed_routes.erase({from, hall});
}

void
ReachTable::record_sent(const std::string& from, const UpstreamRun& run,
                        const std::string& hall, Micros now)
{
    if (const auto upstream = m_try_at.find(run); upstream != m_try_at.end())
        upstream->second = now + kRetryInterval;
    if (const auto way = m_failed_routes.find({from, hall}); way != m_failed_routes.end())
        way->second.retry_at = now + kRetryInterval;
}

bool
ReachTable::should_avoid(const std::string& from, const UpstreamRun& run,
                         const std::string& hall, Micros now) const
{
    if (m_failed_routes.empty() && m_try_at.empty())
        return false;
    if (const auto upstream = m_try_at.find(run);
        upstream != m_try_at.end() && now < upstream->second)
        return true;
    const auto way = m_failed_routes.find({from, hall});
    return way != m_failed_routes.end() && way->second.is_open()
        && now < way->second.retry_at;
}

} // namespace cypressford

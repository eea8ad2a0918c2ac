// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include <cypressford/reach_table.h>

namespace cypressford {

namespace {

/// An upstream that was not tried for this time is assumed to have ended: others are tried
/// every kRetryInterval.
constexpr Micros kExpiryTime = 60 * kSecond;

} // namespace

void
ReachTable::record_unreachable(const std::string& from, const UpstreamRun& run,
                               const std::string& hall, Micros now)
{
    std::erase_if(m_retry_at,
                  [now](const auto& item) { return now - item.second > kExpiryTime; });
    m_retry_at[run] = now + kRetryInterval;
    FailedRoute& route = m_failed_routes[{from, hall}];
    route.failed.insert(run);
    route.retry_at = now + kRetryInterval;
}

void
ReachTable::record_answer(const std::string& from, const UpstreamRun& run,
                          const std::string& hall)
{
    m_retry_at.erase(run);
    m_failed_routes.erase({from, hall});
}

void
ReachTable::record_sent(const std::string& from, const UpstreamRun& run,
                        const std::string& hall, Micros now)
{
    if (const auto upstream = m_retry_at.find(run); upstream != m_retry_at.end())
        upstream->second = now + kRetryInterval;
    if (const auto route = m_failed_routes.find({from, hall});
        route != m_failed_routes.end())
        route->second.retry_at = now + kRetryInterval;
}

bool
ReachTable::should_avoid(const std::string& from, const UpstreamRun& run,
                         const std::string& hall, Micros now) const
{
    if (m_failed_routes.empty() && m_retry_at.empty())
        return false;
    if (const auto upstream = m_retry_at.find(run);
        upstream != m_retry_at.end() && now < upstream->second)
        return true;
    const auto route = m_failed_routes.find({from, hall});
    return route != m_failed_routes.end() && route->second.is_open()
        && now < route->second.retry_at;
}

} // namespace cypressford

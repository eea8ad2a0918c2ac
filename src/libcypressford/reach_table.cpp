// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include <cypressford/reach_table.h>

namespace cypressford {

namespace {

/// An upstream that nobody has tried for so long has ended: others are tried each kTryPace.
constexpr Micros kForgetAfter = 60 * kSecond;

} // namespace

void
ReachTable::record_unreachable(const std::string& from, const UpstreamRun& run,
                               const std::string& hall, Micros now)
{
    std::erase_if(m_try_at,
                  [now](const auto& item) { return now - item.second > kForgetAfter; });
    m_try_at[run] = now + kTryPace;
    FailedWay& way = m_ways[{from, hall}];
    way.failed.insert(run);
    way.try_at = now + kTryPace;
}

void
ReachTable::note_answered(const std::string& from, const UpstreamRun& run,
                          const std::string& hall)
{
    m_try_at.erase(run);
    m_ways.erase({from, hall});
}

void
ReachTable::note_sent(const std::string& from, const UpstreamRun& run,
                      const std::string& hall, Micros now)
{
    if (const auto upstream = m_try_at.find(run); upstream != m_try_at.end())
        upstream->second = now + kTryPace;
    if (const auto way = m_ways.find({from, hall}); way != m_ways.end())
        way->second.try_at = now + kTryPace;
}

bool
ReachTable::avoids(const std::string& from, const UpstreamRun& run, const std::string& hall,
                   Micros now) const
{
    if (m_ways.empty() && m_try_at.empty())
        return false;
    if (const auto upstream = m_try_at.find(run);
        upstream != m_try_at.end() && now < upstream->second)
        return true;
    const auto way = m_ways.find({from, hall});
    return way != m_ways.end() && way->second.is_open() && now < way->second.try_at;
}

} // namespace cypressford

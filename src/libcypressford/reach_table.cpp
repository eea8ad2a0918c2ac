// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include <cypressford/reach_table.h>

namespace cypressford {

void
ReachTable::note_unreached(const std::string& from, const std::string& identity,
                           const std::string& hall, Micros now)
{
    m_try_at[identity] = now + kTryPace;
    FailedWay& way = m_ways[{from, hall}];
    way.failed.insert(identity);
    way.try_at = now + kTryPace;
}

void
ReachTable::note_answered(const std::string& from, const std::string& identity,
                          const std::string& hall)
{
    m_try_at.erase(identity);
    m_ways.erase({from, hall});
}

void
ReachTable::note_sent(const std::string& from, const std::string& identity,
                      const std::string& hall, Micros now)
{
    if (const auto upstream = m_try_at.find(identity); upstream != m_try_at.end())
        upstream->second = now + kTryPace;
    if (const auto way = m_ways.find({from, hall}); way != m_ways.end())
        way->second.try_at = now + kTryPace;
}

bool
ReachTable::avoids(const std::string& from, const std::string& identity,
                   const std::string& hall, Micros now) const
{
    if (m_ways.empty() && m_try_at.empty())
        return false;
    if (const auto upstream = m_try_at.find(identity);
        upstream != m_try_at.end() && now < upstream->second)
        return true;
    const auto way = m_ways.find({from, hall});
    return way != m_ways.end() && way->second.is_open() && now < way->second.try_at;
}

} // namespace cypressford

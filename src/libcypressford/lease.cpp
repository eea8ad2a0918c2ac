// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include <cypressford/lease.h>

#include <algorithm>
#include <limits>

#include <boost/json.hpp>

#include "libutil/json_fields.h"

namespace cypressford {

/// A record takes effect if it replaces the one in force.  After a gap that one is
/// unknown, but a record that a later record replaces was in force.
bool
Lease::counts(Offset offset, const LeaseRecord& record) const
{
    if (record.name != m_name || offset <= m_latest)
        return false;
    if (m_known)
        return record.replaces == m_latest;
    return record.replaces == -1
        || std::find(m_seen_since_gap.begin(), m_seen_since_gap.end(), record.replaces)
        != m_seen_since_gap.end();
}

void
Lease::apply(Offset offset, const LeaseRecord& record, Micros now)
{
    if (record.name != m_name)
        return;
    m_last_record_at = now;
    if (!counts(offset, record)) {
        m_seen_since_gap.push_back(offset);
        return;
    }
    const bool renews = m_known && record.holder == m_holder && !record.release;
    m_known = true;
    m_seen_since_gap.clear();
    m_latest = offset;
    m_holder = record.release ? 0 : record.holder;
    if (!renews)
        m_fence = offset;
    const bool ours = m_holder == m_self;
    m_valid_until = ours ? earliest_append() + m_options.duration - m_options.margin : 0;
    if (ours)
        m_unconfirmed_append_at.reset();
}

/// A tenure counts from before the earliest append that may have started it.
Micros
Lease::earliest_append() const
{
    const Micros running = m_append_started_at.value_or(std::numeric_limits<Micros>::max());
    const Micros earlier = m_unconfirmed_append_at.value_or(running);
    const Micros started_at = std::min(running, earlier);
    return started_at == std::numeric_limits<Micros>::max() ? 0 : started_at;
}

void
Lease::on_gap(Micros now)
{
    m_known = false;
    m_seen_since_gap.clear();
    m_latest = -1;
    m_holder = 0;
    m_valid_until = 0;
    m_last_record_at = now;
}

std::optional<LeaseRecord>
Lease::next_append(bool wanted, Micros now)
{
    if (m_append_started_at || now < m_next_try)
        return std::nullopt;
    const bool ours = m_known && m_holder == m_self;
    if (!wanted && !ours)
        return std::nullopt;
    const bool free = m_known && m_holder == 0;
    const bool unresponsive
        = m_last_record_at && now - *m_last_record_at >= m_options.duration;
    if (!ours && !free && !unresponsive)
        return std::nullopt;
    m_append_started_at = now;
    m_next_try = now + m_options.renew_interval;
    const bool release = ours && !wanted;
    // From here on another daemon may take the lease before this one reads its own release.
    if (release)
        m_valid_until = 0;
    return LeaseRecord {m_name, m_self, m_latest, release};
}

void
Lease::append_ended()
{
    // The log shows whether the append took effect.
    m_unconfirmed_append_at = earliest_append();
    m_append_started_at.reset();
}

bool
Lease::held(Micros now) const
{
    return m_holder == m_self && now < m_valid_until;
}

std::string
encode(const LeaseRecord& record)
{
    return boost::json::serialize(boost::json::object {{"name", record.name},
                                                       {"holder", record.holder},
                                                       {"replaces", record.replaces},
                                                       {"release", record.release}});
}

std::optional<LeaseRecord>
decode_lease(std::string_view text)
{
    const auto object = parse_json_object(text);
    if (!object)
        return std::nullopt;
    LeaseRecord record;
    record.name = json_text(*object, "name");
    record.holder = json_integer<std::uint64_t>(*object, "holder", 0);
    record.replaces = json_integer<Offset>(*object, "replaces", -1);
    record.release = json_flag(*object, "release");
    if (record.name.empty() || record.holder == 0)
        return std::nullopt;
    return record;
}

} // namespace cypressford

// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include <cypressford/evacuation.h>

#include <cypressford/mutation.h>

namespace cypressford {

bool
EvacuationTable::apply(const EvacuationRecord& record, Offset at)
{
    Known& known = m_halls[record.hall];
    known.listed = true;
    if (at <= known.at && !mutated(Mutation::EvacuationGoesBack))
        return false;
    known.at = at;
    known.valid_until.reset();
    const bool changed = known.started != record.started;
    known.started = record.started;
    return changed;
}

void
EvacuationTable::forget_offsets()
{
    for (auto& [hall, known] : m_halls)
        known.at = -1;
}

void
EvacuationTable::begin_listing()
{
    for (auto& [hall, known] : m_halls)
        known.listed = false;
}

bool
EvacuationTable::end_listing(Offset end, std::optional<Micros> valid_until)
{
    bool changed = false;
    for (auto& [hall, known] : m_halls) {
        if (!known.started || known.listed || known.at >= end)
            continue;
        known.at = end - 1;
        known.valid_until = valid_until;
        if (valid_until)
            continue;
        known.started = false;
        changed = true;
    }
    return changed;
}

bool
EvacuationTable::expire(Micros now)
{
    bool changed = false;
    for (auto& [hall, known] : m_halls) {
        if (!known.valid_until || *known.valid_until > now)
            continue;
        known.valid_until.reset();
        known.started = false;
        changed = true;
    }
    return changed;
}

Offset
EvacuationTable::newest(const std::string& hall) const
{
    const auto known = m_halls.find(hall);
    return known == m_halls.end() ? -1 : known->second.at;
}

std::vector<std::string>
EvacuationTable::halls() const
{
    std::vector<std::string> result;
    for (const auto& [hall, known] : m_halls)
        if (known.started)
            result.push_back(hall);
    return result;
}

} // namespace cypressford

// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Halls in which a request may be processed.

#pragma once

#include <algorithm>
#include <iterator>
#include <string>
#include <utility>
#include <vector>

namespace cypressford {

/// Either all halls, or a list of halls that may be empty.
class HallLimit {
public:
    /// All halls.
    HallLimit() = default;
    /// Only these halls.
    explicit HallLimit(std::vector<std::string> halls)
        : m_is_set(true)
        , m_halls(std::move(halls))
    {
        std::sort(m_halls.begin(), m_halls.end());
    }

    bool is_set() const { return m_is_set; }
    const std::vector<std::string>& halls() const { return m_halls; }
    bool allows(const std::string& hall) const
    {
        return !m_is_set || std::binary_search(m_halls.begin(), m_halls.end(), hall);
    }

    /// Intersection: halls that both limits allow.
    HallLimit operator&(const HallLimit& other) const
    {
        if (!m_is_set || !other.m_is_set)
            return m_is_set ? *this : other;
        std::vector<std::string> halls;
        std::set_intersection(m_halls.begin(), m_halls.end(), other.m_halls.begin(),
                              other.m_halls.end(), std::back_inserter(halls));
        return HallLimit(std::move(halls));
    }

private:
    bool m_is_set = false;
    std::vector<std::string> m_halls; ///< sorted
};

} // namespace cypressford

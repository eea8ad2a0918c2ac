// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <string>
#include <utility>
#include <vector>

#include <cypressford/suspects.h>

namespace cypressford {

inline RequestDigest
digest(int number)
{
    return digest_of({"POST", "h", "/" + std::to_string(number), "desk", "x"});
}

inline SuspectRecord
answer_to(const RequestDigest& request)
{
    return {{}, {request}, 0};
}

/// Records that reach all daemons some time after they are written.
class RecordsInTransit {
public:
    static constexpr int kDelay = 500; ///< ms

    /// `now`: in milliseconds.
    void write(SuspectRecord record, int now)
    {
        m_records.emplace_back(now + kDelay, std::move(record));
    }

    void deliver(SuspectTable& table, int now)
    {
        std::erase_if(m_records, [&](const auto& item) {
            if (item.first > now)
                return false;
            table.apply("r" + std::to_string(m_written), item.second, m_written);
            ++m_written;
            return true;
        });
    }

private:
    std::vector<std::pair<int, SuspectRecord>>
        m_records; ///< with the time of their arrival
    Offset m_written = 0;
};

} // namespace cypressford

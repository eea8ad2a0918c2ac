// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include <cypressford/path_index.h>

namespace cypressford {

void
PathIndex::add(const std::string& path_prefix, std::size_t pipeline, double weight)
{
    PathMatch& match = m_by_length[path_prefix.size()][path_prefix];
    match.pipelines.push_back(pipeline);
    match.total_weight += weight;
}

const PathMatch*
PathIndex::find(std::string_view path) const
{
    for (auto same_length = m_by_length.lower_bound(path.size());
         same_length != m_by_length.end(); ++same_length) {
        const auto& [length, by_prefix] = *same_length;
        const auto match = by_prefix.find(path.substr(0, length));
        if (match != by_prefix.end())
            return &match->second;
    }
    return nullptr;
}

} // namespace cypressford

// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace cypressford {

/// Pipelines that share a host and a path prefix.
struct PathMatch {
    std::vector<std::size_t> pipelines; ///< indices into ResolvedBundle::pipelines
    double total_weight = 0;
};

/// The relayed pipelines of one host, found by the longest path prefix.
class PathIndex {
public:
    void add(const std::string& path_prefix, std::size_t pipeline, double weight);

    /// The match of the longest prefix of the path; null if no prefix matches.
    const PathMatch* find(std::string_view path) const;

private:
    using ByPrefix = std::map<std::string, PathMatch, std::less<>>;

    /// By length of the prefix: a configuration has thousands of prefixes but few
    /// different lengths.
    std::map<std::size_t, ByPrefix, std::greater<>> m_by_length;
};

} // namespace cypressford

// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string_view>

#include <cypressford/shared_index.h>

namespace cypressford {

/// The relayed pipelines by host and path prefix.  Copies share what they have in common.
class PathIndex {
public:
    /// The caller numbers the pipelines.
    using Pipeline = SharedIndex::Value;

    void add(std::string_view host, std::string_view path_prefix, Pipeline pipeline);
    void remove(std::string_view host, std::string_view path_prefix, Pipeline pipeline);

    /// Calls `visit` with each pipeline that may be of that host and of a prefix of the
    /// path, longest prefix first, until it returns true.  Arguments: the pipeline and the
    /// length of the prefix.  The caller compares host and prefix, whose hashes may
    /// collide.
    template <class F>
    void visit(std::string_view host, std::string_view path, F&& visit) const
    {
        for (auto length = m_lengths.lower_bound(path.size()); length != m_lengths.end();
             ++length) {
            bool is_done = false;
            m_pipelines.visit(hash_of(host, path.substr(0, length->first)),
                              [&](Pipeline pipeline) {
                                  is_done = visit(pipeline, length->first);
                                  return is_done;
                              });
            if (is_done)
                return;
        }
    }

private:
    static std::uint64_t hash_of(std::string_view host, std::string_view path_prefix);

    SharedIndex m_pipelines;
    /// Number of pipelines by length of their prefix: a configuration has thousands of
    /// prefixes but few different lengths.
    std::map<std::size_t, std::size_t, std::greater<>> m_lengths;
};

} // namespace cypressford

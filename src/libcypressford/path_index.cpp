// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include <cypressford/path_index.h>

#include "libutil/crypto.h"

namespace cypressford {

void
PathIndex::add(std::string_view host, std::string_view path_prefix, Pipeline pipeline)
{
    m_pipelines.add(hash_of(host, path_prefix), pipeline);
    ++m_lengths[path_prefix.size()];
}

void
PathIndex::remove(std::string_view host, std::string_view path_prefix, Pipeline pipeline)
{
    m_pipelines.remove(hash_of(host, path_prefix), pipeline);
    const auto length = m_lengths.find(path_prefix.size());
    if (length != m_lengths.end() && --length->second == 0)
        m_lengths.erase(length);
}

std::uint64_t
PathIndex::hash_of(std::string_view host, std::string_view path_prefix)
{
    return fast_hash(path_prefix, fast_hash(host));
}

} // namespace cypressford

// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <string>
#include <vector>

#include "libserve/kernel.h"

namespace cypressford {

/// Applies evacuations of halls on this daemon and logs which upstreams and sets they
/// affect.
class Evacuations {
public:
    explicit Evacuations(Kernel& kernel)
        : m_kernel(kernel)
    {
    }

    /// Evacuates exactly these halls.  `snapshot`: the snapshot about to be stored; its
    /// upstreams in these halls receive no new requests from now on.
    void apply(std::vector<std::string> halls, const Snapshot& snapshot);

private:
    Kernel& m_kernel;
    std::vector<std::string> m_halls; ///< as last applied
};

} // namespace cypressford

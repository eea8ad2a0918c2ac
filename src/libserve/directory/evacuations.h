// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <string>
#include <vector>

#include "libserve/kernel.h"

namespace cypressford {

/// Brings evacuations of halls into force on this daemon and logs what they mean.
class Evacuations {
public:
    explicit Evacuations(Kernel& kernel)
        : m_kernel(kernel)
    {
    }

    /// These halls are evacuated and no others.  `snapshot`: about to come into force;
    /// its upstreams in these halls get nothing new from now on.
    void apply(std::vector<std::string> halls, const Snapshot& snapshot);

private:
    Kernel& m_kernel;
    std::vector<std::string> m_halls; ///< as last applied
};

} // namespace cypressford

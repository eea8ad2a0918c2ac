// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Interface of platform plug-ins: the log service and the node list.

#pragma once

#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cypressford/claims.h>

namespace cypressford {

struct PlatformSettings {
    std::string kind = "httplog"; ///< name of the plug-in
    std::string log; ///< "ip:port"
    std::string nodes; ///< "ip:port"
    std::string hall; ///< of this daemon
    Micros timeout = 2 * kSecond; ///< for one append or one read of the node list
};

/// Records of a stream, from one offset on.
struct LogPage {
    Offset first = 0; ///< oldest record that is retained
    Offset from = 0; ///< offset of records.front()
    Offset next = 0; ///< offset that the next append will get
    std::vector<std::string> records;
};

/// One entry of the node list.
struct NodeEntry {
    std::string address;
    bool leaving = false;
};

class PlatformClient {
public:
    virtual ~PlatformClient() = default;

    virtual void open(boost::asio::io_context& io, const PlatformSettings& settings) = 0;

    /// Appends one record.  After an error the record may still have been appended.
    virtual boost::asio::awaitable<Result<Offset>> append(std::string stream,
                                                          std::string record)
        = 0;

    /// Reads from an offset on; waits up to `wait` for the first record.
    virtual boost::asio::awaitable<Result<LogPage>> read(std::string stream, Offset from,
                                                         Micros wait)
        = 0;

    virtual boost::asio::awaitable<Result<std::vector<NodeEntry>>> nodes() = 0;
};

} // namespace cypressford

// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include "tunnel_stream.h"

#include <string>

#include <boost/asio/error.hpp>

namespace cypressford {

namespace asio = boost::asio;

namespace {

constexpr unsigned kBitsPerByte = 8;
constexpr unsigned kLowByte = 0xff;

class TunnelCategory final : public boost::system::error_category {
public:
    const char* name() const noexcept override { return "tunnel"; }
    std::string message(int value) const override
    {
        return value == static_cast<int>(TunnelError::Malformed)
            ? "malformed frame of a tunnel"
            : "tunnel ended without the upstream's end";
    }
};

} // namespace

boost::system::error_code
make_error_code(TunnelError error)
{
    static const TunnelCategory category;
    return {static_cast<int>(error), category};
}

TunnelHead
tunnel_head(TunnelFrame frame, std::size_t size)
{
    return {static_cast<unsigned char>(frame),
            static_cast<unsigned char>((size >> kBitsPerByte) & kLowByte),
            static_cast<unsigned char>(size & kLowByte)};
}

boost::system::error_code
TunnelDecoder::take_head(const TunnelHead& head)
{
    const std::size_t size = (std::size_t {head[1]} << kBitsPerByte) | head[2];
    const auto frame = static_cast<TunnelFrame>(head[0]);
    if (frame == TunnelFrame::Data && size > 0) {
        m_left = size;
        return {};
    }
    if (frame == TunnelFrame::End && size == 0)
        return asio::error::eof;
    if (frame == TunnelFrame::Reset && size == 0)
        return asio::error::connection_reset;
    return make_error_code(TunnelError::Malformed);
}

boost::system::error_code
TunnelDecoder::error_of(const boost::system::error_code& ec)
{
    const bool is_end = ec == asio::error::eof || ec == asio::error::connection_reset
        || ec == asio::error::broken_pipe || ec == asio::error::connection_aborted;
    return is_end ? make_error_code(TunnelError::Cut) : ec;
}

} // namespace cypressford

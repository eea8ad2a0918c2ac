// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// How the bytes of an upstream pass through another process.  A TCP connection ends in the
/// same way when its process closes it and when the process is killed, so the end of a
/// tunnel's connection does not tell how the upstream's connection ended.  In frames, each
/// end of the upstream's side is told by a frame of its own.

#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/compose.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/beast/core/buffers_prefix.hpp>
#include <boost/system/error_code.hpp>

namespace cypressford {

/// Header field of a CONNECT request that asks for frames, and of an answer that confirms
/// them; builds without frames ignore it.
inline constexpr std::string_view kTunnelFormField = "Tunnel-Form";
inline constexpr std::string_view kTunnelFrames = "frames";

/// What a tunnel carries from the upstream.  Towards the upstream, bytes pass unchanged.
enum class TunnelForm : unsigned char {
    Bytes, ///< unchanged, as builds without frames send them
    Frames
};

/// Ends of a tunnel that tell nothing about the upstream.
enum class TunnelError : unsigned char {
    Cut = 1, ///< the connection to the intermediate ended without a frame that says why
    Malformed
};

boost::system::error_code make_error_code(TunnelError error);

/// Values cross the wire.
enum class TunnelFrame : unsigned char {
    Data, ///< its bytes follow
    End, ///< the upstream has ended its side in order
    Reset ///< the upstream has reset its connection
};

/// Type, and number of bytes that follow (big-endian).
inline constexpr std::size_t kTunnelHeadBytes = 3;
using TunnelHead = std::array<unsigned char, kTunnelHeadBytes>;

/// `size`: of a data frame; at most 65,535 bytes.
TunnelHead tunnel_head(TunnelFrame frame, std::size_t size = 0);

/// Decodes the heads of frames.
class TunnelDecoder {
public:
    explicit TunnelDecoder(TunnelForm form)
        : m_form(form)
    {
    }

    /// True if the next bytes are the head of a frame.
    bool wants_head() const { return m_form == TunnelForm::Frames && m_left == 0; }
    bool is_between_frames() const { return m_left == 0; }
    /// Takes a head; returns the end of the stream, if it is one.
    boost::system::error_code take_head(const TunnelHead& head);

    /// Bytes of up to `most` that may be read now.
    std::size_t readable(std::size_t most) const
    {
        return m_form == TunnelForm::Bytes ? most : std::min<std::size_t>(most, m_left);
    }
    void take_bytes(std::size_t size)
    {
        if (m_form == TunnelForm::Frames)
            m_left -= size;
    }

    /// What an error of the connection to the intermediate means for the stream.
    static boost::system::error_code error_of(const boost::system::error_code& ec);

private:
    TunnelForm m_form;
    std::size_t m_left = 0; ///< bytes of the current data frame
};

/// An AsyncReadStream of the upstream's bytes, over a direct connection or a tunnel.
class UpstreamStream {
public:
    using executor_type = boost::asio::ip::tcp::socket::executor_type;

    explicit UpstreamStream(boost::asio::ip::tcp::socket& socket)
        : m_socket(socket)
    {
    }

    executor_type get_executor() { return m_socket.get_executor(); }

    /// Before the first read.
    void set_tunnel(TunnelForm form) { m_decoder.emplace(form); }
    /// False if bytes of a frame are still to be read.
    bool is_between_frames() const { return !m_decoder || m_decoder->is_between_frames(); }

    template <class Buffers, class Token>
    auto async_read_some(const Buffers& buffers, Token&& token)
    {
        return boost::asio::async_compose<Token,
                                          void(boost::system::error_code, std::size_t)>(
            Read<Buffers> {*this, buffers}, token, m_socket);
    }

private:
    template <class Buffers> struct Read {
        UpstreamStream& stream;
        Buffers buffers;
        enum Step : unsigned char { Begin, Head, Bytes } step = Begin;

        template <class Self>
        void operator()(Self& self, boost::system::error_code ec = {}, std::size_t size = 0)
        {
            auto& decoder = stream.m_decoder;
            if (decoder && ec)
                ec = TunnelDecoder::error_of(ec);
            else if (step == Head)
                ec = decoder->take_head(stream.m_head);
            else if (decoder && step == Bytes)
                decoder->take_bytes(size);
            if (ec || step == Bytes)
                return self.complete(ec, step == Bytes ? size : 0);
            if (step == Begin && decoder && decoder->wants_head()) {
                step = Head;
                return boost::asio::async_read(
                    stream.m_socket, boost::asio::buffer(stream.m_head), std::move(self));
            }
            step = Bytes;
            const std::size_t most = boost::asio::buffer_size(buffers);
            stream.m_socket.async_read_some(
                boost::beast::buffers_prefix(decoder ? decoder->readable(most) : most,
                                             buffers),
                std::move(self));
        }
    };

    boost::asio::ip::tcp::socket& m_socket;
    TunnelHead m_head {};
    std::optional<TunnelDecoder> m_decoder; ///< of a tunnel
};

} // namespace cypressford

// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include "libserve/hall/peer_transport.h"

#include <chrono>
#include <cstdint>
#include <fstream>
#include <map>
#include <mutex>
#include <optional>
#include <sstream>

#include <grpcpp/grpcpp.h>

#include "cypressford.grpc.pb.h"

namespace cypressford {

namespace {

constexpr std::chrono::milliseconds kExchangeTimeout {1000};
/// Name in the certificates of all daemons.  It identifies their role instead of a host,
/// because daemons are addressed by IP address.
constexpr const char* kCertificateName = "cypressford";
constexpr int kMaxMessageBytes = 8 * 1024 * 1024;
constexpr int kMaxReconnectBackoffMs = 2000;

std::string
read_pem(const std::string& path)
{
    std::ifstream file(path);
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

/// Exchanges of peers that wait for their answers.  gRPC's server ends only after all of
/// them, whatever the deadline of its shutdown; the thread that would answer them may have
/// ended before.
class OpenExchanges {
public:
    /// Number for answer(); nothing once closed.
    std::optional<std::uint64_t> add(grpc::ServerUnaryReactor* reactor,
                                     proto::PeerState* response)
    {
        const std::lock_guard lock(m_mutex);
        if (m_closed)
            return std::nullopt;
        m_open.emplace(++m_last, Exchange {reactor, response});
        return m_last;
    }

    /// Without effect if the exchange has ended.
    void answer(std::uint64_t number, const proto::PeerState& state)
    {
        const std::lock_guard lock(m_mutex);
        const auto it = m_open.find(number);
        if (it == m_open.end())
            return;
        *it->second.response = state;
        it->second.reactor->Finish(grpc::Status::OK);
        m_open.erase(it);
    }

    void close()
    {
        const std::lock_guard lock(m_mutex);
        m_closed = true;
        for (const auto& [number, exchange] : m_open)
            exchange.reactor->Finish(stopping());
        m_open.clear();
    }

    static grpc::Status stopping() { return {grpc::StatusCode::UNAVAILABLE, "stopping"}; }

private:
    struct Exchange {
        grpc::ServerUnaryReactor* reactor = nullptr;
        proto::PeerState* response = nullptr;
    };

    std::mutex m_mutex;
    std::map<std::uint64_t, Exchange> m_open;
    std::uint64_t m_last = 0;
    bool m_closed = false;
};

class PeerServer final : public proto::Peer::CallbackService {
public:
    explicit PeerServer(PeerTransport::Handler handler)
        : m_handler(std::move(handler))
    {
    }

    grpc::ServerUnaryReactor* Exchange(grpc::CallbackServerContext* context,
                                       const proto::PeerState* request,
                                       proto::PeerState* response) override
    {
        auto* reactor = context->DefaultReactor();
        if (const auto number = m_exchanges->add(reactor, response))
            m_handler(
                *request,
                [exchanges = m_exchanges, number = *number](const proto::PeerState& state) {
                    exchanges->answer(number, state);
                });
        else
            reactor->Finish(OpenExchanges::stopping());
        return reactor;
    }

    void close() { m_exchanges->close(); }

private:
    PeerTransport::Handler m_handler;
    /// Shared with the answers, which may outlive the server.
    std::shared_ptr<OpenExchanges> m_exchanges = std::make_shared<OpenExchanges>();
};

/// State of a call in progress.
struct Call {
    grpc::ClientContext context;
    proto::PeerState request;
    proto::PeerState response;
};

} // namespace

struct PeerTransport::Impl {
    Impl(const TlsSettings& tls, Handler handler)
        : service(std::move(handler))
    {
        if (tls.certificate.empty()) {
            server_credentials = grpc::InsecureServerCredentials();
            channel_credentials = grpc::InsecureChannelCredentials();
            return;
        }
        const std::string certificate = read_pem(tls.certificate);
        const std::string key = read_pem(tls.private_key);
        const std::string authority = read_pem(tls.authority);
        grpc::SslServerCredentialsOptions server(
            GRPC_SSL_REQUEST_AND_REQUIRE_CLIENT_CERTIFICATE_AND_VERIFY);
        server.pem_root_certs = authority;
        server.pem_key_cert_pairs.push_back({key, certificate});
        server_credentials = grpc::SslServerCredentials(server);
        channel_credentials = grpc::SslCredentials({authority, key, certificate});
    }

    std::shared_ptr<proto::Peer::Stub> stub_for(const std::string& address)
    {
        const std::lock_guard lock(mutex);
        auto& stub = stubs[address];
        if (!stub) {
            grpc::ChannelArguments arguments;
            arguments.SetMaxReceiveMessageSize(kMaxMessageBytes);
            arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, kMaxReconnectBackoffMs);
            arguments.SetSslTargetNameOverride(kCertificateName);
            stub = proto::Peer::NewStub(
                grpc::CreateCustomChannel(address, channel_credentials, arguments));
        }
        return stub;
    }

    PeerServer service;
    std::shared_ptr<grpc::ServerCredentials> server_credentials;
    std::shared_ptr<grpc::ChannelCredentials> channel_credentials;
    std::unique_ptr<grpc::Server> server;
    std::mutex mutex;
    std::map<std::string, std::shared_ptr<proto::Peer::Stub>> stubs;
};

PeerTransport::PeerTransport(const TlsSettings& tls, Handler handler)
    : m_impl(std::make_unique<Impl>(tls, std::move(handler)))
{
}

PeerTransport::~PeerTransport()
{
    m_impl->service.close();
    if (m_impl->server)
        m_impl->server->Shutdown(std::chrono::system_clock::now() + kExchangeTimeout);
}

Result<void>
PeerTransport::listen(const std::string& address)
{
    grpc::ServerBuilder builder;
    builder.SetMaxReceiveMessageSize(kMaxMessageBytes);
    builder.AddListeningPort(address, m_impl->server_credentials);
    builder.RegisterService(&m_impl->service);
    m_impl->server = builder.BuildAndStart();
    if (!m_impl->server)
        return fail(ErrorKind::Internal, "cannot listen for peers on " + address);
    return {};
}

void
PeerTransport::exchange(const std::string& address, const proto::PeerState& state,
                        Done done)
{
    auto call = std::make_shared<Call>();
    call->request = state;
    call->context.set_deadline(std::chrono::system_clock::now() + kExchangeTimeout);
    const auto stub = m_impl->stub_for(address);
    stub->async()->Exchange(
        &call->context, &call->request, &call->response,
        [call, stub, done = std::move(done)](const grpc::Status& status) {
            done(status.ok(), call->response);
        });
}

} // namespace cypressford

// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Guards against a daemon that, after a suspension, answers by the configuration from
/// before it: it took the directory for read before the snapshot was in force.

#include "libserve/directory/directory_watch.h"

#include <optional>
#include <string>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>

#include <cypressford/registry.h>

#include "libcypressford/text_dialect.h"
#include "libserve/kernel.h"
#include "libserve/test_address.h"
#include "libutil/boot_clock.h"
#include "libutil/http_server.h"
#include "libutil/hybrid_clock.h"

namespace cypressford {
namespace {

namespace asio = boost::asio;

constexpr std::string_view kRead = "/read-";
constexpr const char* kKey = "Key"; ///< header of the record's key

/// At most one record in each answer, as its body.
class OneRecord final : public TextDialect {
public:
    HttpRequest newest(DirectoryTopic topic, std::string_view) const override
    {
        HttpRequest request;
        request.target = "/" + std::string(to_string(topic));
        return request;
    }
    HttpRequest read(DirectoryTopic topic, Offset, Micros) const override
    {
        HttpRequest request;
        request.target = std::string(kRead) + std::string(to_string(topic));
        return request;
    }
    Result<DirectoryPage> decode_newest(const HttpResponse& response) const override
    {
        DirectoryPage page = page_of(response);
        page.end = 1;
        return page;
    }
    Result<DirectoryPage> decode_read(const HttpResponse& response) const override
    {
        return page_of(response);
    }
    DeploymentFeatures features(const std::vector<std::string>&) const override
    {
        return {};
    }

private:
    static DirectoryPage page_of(const HttpResponse& response)
    {
        DirectoryPage page;
        if (!response.body.empty())
            page.records.push_back(
                {std::string(response.headers.get(kKey)), response.body, 0});
        return page;
    }
};

const Registration<DirectoryDialect, OneRecord> s_registration("one_record");

/// A store with a configuration, the record of the daemon under test and, once
/// `has_upstream` is set, a record of an upstream.
struct TestStore {
    asio::awaitable<void> answer(HttpExchange& exchange)
    {
        const std::string path(exchange.request().path());
        HttpResponse response;
        const auto put = [&response](const char* key, std::string value) {
            response.headers.add(kKey, key);
            response.body = std::move(value);
        };
        if (path == "/configuration")
            put("config", "7");
        if (path == "/daemons")
            put("n1", encode(daemon));
        if (path == "/read-upstreams" && has_upstream && !is_upstream_read)
            put("u", "1");
        if (path == "/read-upstreams" && !is_upstream_read)
            (has_upstream ? is_upstream_read : has_upstream) = true;
        if (path == "/read-upstreams" && !is_upstream_read)
            last_read_without = monotonic_us();
        if (path.starts_with(kRead)) {
            BootTimer hold(co_await asio::this_coro::executor,
                           std::chrono::milliseconds(20));
            co_await hold.async_wait(asio::use_awaitable);
        }
        co_await exchange.respond(std::move(response));
    }

    DaemonRecord daemon;
    bool has_upstream = false;
    bool is_upstream_read = false;
    Micros last_read_without = 0; ///< the last read that did not return the upstream
};

TEST_CASE("the directory counts as read once the snapshot is in force, not before")
{
    asio::io_context io;
    Settings settings;
    settings.node = "n1";
    settings.hall = "a";
    settings.uses_directory = true;
    settings.platform.kind = "one_record";
    settings.platform.log = free_address();
    Kernel kernel(settings);
    TestStore contents;
    contents.daemon.node = settings.node;
    contents.daemon.hall = settings.hall;
    contents.daemon.incarnation = kernel.incarnation;
    HttpServer store(
        io, {}, [&](HttpExchange& exchange) { return contents.answer(exchange); },
        [](ErrorKind) { return HttpResponse {}; });
    REQUIRE(store.listen(parse_address(settings.platform.log)));
    DirectoryWatch watch(io, kernel);

    std::optional<Micros> read_while_in_the_making;
    watch.on_change([&] {
        if (contents.is_upstream_read && !read_while_in_the_making)
            read_while_in_the_making = kernel.directory_as_of.load();
    });
    REQUIRE(watch.start());
    io.run_for(std::chrono::seconds(4));
    REQUIRE(kernel.snapshot.load());
    REQUIRE(read_while_in_the_making);
    CHECK(*read_while_in_the_making <= contents.last_read_without);
    CHECK(kernel.directory_as_of.load() > contents.last_read_without);
}

} // namespace
} // namespace cypressford

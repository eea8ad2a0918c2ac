// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Queries and reports that a DirectoryWatch sends to other daemons.

#include "libserve/directory/directory_watch.h"

#include <algorithm>
#include <utility>

#include "libserve/peers/peer_link.h"
#include "libutil/crypto.h"
#include "libutil/event_log.h"
#include "libutil/hybrid_clock.h"
#include "libutil/pause.h"
#include "libutil/task.h"

namespace cypressford {

namespace asio = boost::asio;

namespace {

constexpr Micros kConnectTimeout = 250 * kMillisecond;
/// Time for an answer, beyond the time that the query is held, while a topic must be
/// listed: a reader that has just started applies thousands of records before it answers.
constexpr Micros kListingResponseTimeout = 3 * kSecond;
/// Timeout for connecting to a peer to request a referral, in the first round over all
/// peers.
constexpr Micros kFirstConnectTimeout = 400 * kMillisecond;
/// The same in later rounds: when hundreds of daemons connect at once, a SYN may be dropped
/// at a full accept queue, and is sent again after a second.
constexpr Micros kBusyConnectTimeout = 1500 * kMillisecond;
/// Time that the queried daemon may hold a request for a referral to collect other joiners.
constexpr Micros kReferralHoldTime = 700 * kMillisecond;
/// Timeout of a keepalive request to another daemon.
constexpr Micros kKeepaliveTimeout = 200 * kMillisecond;
/// Interval of the keepalive requests to an unreachable daemon.
constexpr Micros kPeerCheckInterval = 300 * kMillisecond;
/// Delay after a peer gave no referral, before the next peer is queried.
constexpr Micros kReferralRetryDelay = 100 * kMillisecond;
constexpr int kOk = 200;

CallOptions
feed_call(Micros connect_limit, Micros answer_limit)
{
    const Micros now = monotonic_us();
    CallOptions options;
    options.connect_deadline_us = now + connect_limit;
    options.deadline_us = now + answer_limit;
    options.body = kLargeBodyTimeouts;
    options.send_clock = false;
    return options;
}

} // namespace

asio::awaitable<Result<FeedAnswer>>
DirectoryWatch::query_feed(std::string feed_address, std::string label, FeedQuery query,
                           CallOptions limits)
{
    const Micros requested_at = monotonic_us();
    HttpRequest request = protobuf_post(DirectoryFeedServer::kPath, encode(query));
    const CallResult result
        = co_await m_peer_client.call(feed_address, std::move(request), std::move(limits));
    if (result.status != CallStatus::Answered || result.response.status != kOk) {
        LogEvent("reader_call_failed", LogLevel::Warn)
            .kv("reader", label)
            .kv("status", result.response.status)
            .kv("bytes", result.response.body.size())
            .kv("us", monotonic_us() - requested_at);
        co_return fail(ErrorKind::UpstreamFailed, label);
    }
    auto answer = decode_feed_answer(result.response.body);
    co_return answer;
}

FeedQuery
DirectoryWatch::reader_query() const
{
    FeedQuery query = m_view.query();
    query.accepts_unreachable_list = true;
    query.unreachable_revision = m_unreachable_revision;
    return query;
}

asio::awaitable<Result<FeedAnswer>>
DirectoryWatch::query_reader(const DaemonRecord& reader, bool is_first)
{
    const Micros now = monotonic_us();
    const bool must_list = m_view.must_list();
    FeedQuery query = reader_query();
    if (!is_first)
        query.wait = 0;
    const Micros limit = must_list ? kListingResponseTimeout : kReaderResponseTimeout;
    const Micros answer_due = query.wait + limit;
    // The reader has the same time for an answer that it need not hold.
    if (is_first)
        query.wait = m_view.query_wait(now);
    CallOptions options = feed_call(kConnectTimeout, answer_due);
    options.fresh_connection = !is_first;
    const auto watch = std::make_shared<ReaderWatch>(m_io, m_peer_client, reader);
    m_reader_watch = watch;
    options.handle = watch->call();
    options.on_head = [watch](const HttpResponse&) { watch->on_answer_started(); };
    if (!must_list) {
        options.deadline_us = std::max(options.deadline_us, m_view.reader_deadline());
        // If the data would become stale before a retry is answered, an unresponsive reader
        // must be detected sooner.
        const bool has_time_to_retry
            = m_view.may_retry_reader(answer_due + kReaderResponseTimeout, now);
        const Micros keepalive_timeout
            = has_time_to_retry ? kReaderResponseTimeout : kKeepaliveTimeout;
        const Micros late_at
            = now + answer_due - (has_time_to_retry ? 0 : kKeepaliveTimeout);
        spawn_restarting_task(m_io, "reader_watch", [watch, late_at, keepalive_timeout] {
            return watch->run(late_at, keepalive_timeout);
        });
    }
    auto answer = co_await query_feed(reader.feed_address, reader.node, std::move(query),
                                      std::move(options));
    watch->end();
    co_return answer;
}

// ------------------------------------------------- from a daemon of the settings

/// Feeds use the same port on all nodes.  All daemons of a hall query the same peer first,
/// so that this peer receives the capacities of all of them and can select the strong
/// daemons.
std::vector<std::string>
DirectoryWatch::peer_feed_addresses() const
{
    const Settings& settings = m_kernel.settings;
    std::vector<std::string> feeds;
    feeds.reserve(settings.peers.size());
    const std::uint16_t port = parse_address(settings.announced_feed).port;
    for (const std::string& peer : settings.peers)
        feeds.push_back(parse_address(peer).ip + ":" + std::to_string(port));
    const auto first = static_cast<std::ptrdiff_t>(fast_hash(settings.hall) % feeds.size());
    std::rotate(feeds.begin(), feeds.begin() + first, feeds.end());
    return feeds;
}

asio::awaitable<void>
DirectoryWatch::join()
{
    const std::vector<std::string> feeds = peer_feed_addresses();
    for (std::size_t next = 0; m_view.must_list(); ++next) {
        if (!m_view.needs_referral()) {
            co_await pause_for(m_io, kReferralRetryDelay);
            continue;
        }
        const bool is_first_round = next < feeds.size();
        const bool referred = co_await obtain_referral(
            feeds[next % feeds.size()],
            is_first_round ? kFirstConnectTimeout : kBusyConnectTimeout);
        if (referred)
            continue;
        if (next + 1 == feeds.size()) {
            m_view.on_peers_unresponsive();
            m_topic_timers.at(DirectoryTopic::Daemons).cancel();
        }
        co_await pause_for(m_io, m_view.with_jitter(kReferralRetryDelay));
    }
}

asio::awaitable<std::optional<DirectoryReferral>>
DirectoryWatch::make_own_referral()
{
    for (Micros delay = m_view.time_until_referral(monotonic_us()); delay > 0;
         delay = m_view.time_until_referral(monotonic_us()))
        co_await pause_for(m_io, delay);
    co_return m_view.refer(own_record());
}

asio::awaitable<std::optional<DirectoryReferral>>
DirectoryWatch::request_referral(std::string feed_address, Micros connect_limit)
{
    FeedQuery query;
    query.wait = kReferralHoldTime;
    query.joiner = own_record();
    CallOptions options = feed_call(connect_limit, query.wait + kListingResponseTimeout);
    const auto answer = co_await query_feed(feed_address, feed_address, std::move(query),
                                            std::move(options));
    std::optional<DirectoryReferral> referral;
    if (answer)
        referral = answer->referral;
    co_return referral;
}

asio::awaitable<bool>
DirectoryWatch::obtain_referral(std::string feed_address, Micros connect_limit)
{
    const bool is_own = feed_address == m_kernel.settings.announced_feed;
    std::optional<DirectoryReferral> referral;
    if (is_own)
        referral = co_await make_own_referral();
    else
        referral = co_await request_referral(feed_address, connect_limit);
    if (!referral)
        co_return false;
    m_view.apply_referral(*referral, monotonic_us());
    LogEvent("directory_referred")
        .kv("by", feed_address)
        .kv("role", to_string(referral->role))
        .kv("daemons", referral->daemons.size())
        .kv("met", referral->met)
        .kv("fleet_size", referral->fleet_size);
    for (const DirectoryTopic topic : DirectoryView::kTopics)
        m_topic_timers.at(topic).cancel();
    m_reader_poll_timer.cancel();
    co_return true;
}

// ------------------------------------------------- daemons that don't answer

/// A follower reports the peer to its reader, which checks it for all its followers.
void
DirectoryWatch::report_unreachable(const std::string& peers_address)
{
    const DirectorySource from = source();
    if (from.role == DirectoryRole::Follower && from.daemon)
        spawn_task(m_io, "unreachable_report",
                   report_to_reader(*from.daemon, peers_address));
    else
        spawn_task(m_io, "peer_check", check_peer(peers_address));
}

asio::awaitable<void>
DirectoryWatch::report_to_reader(DaemonRecord reader, std::string peers_address)
{
    FeedQuery query;
    query.unreachable = {std::move(peers_address)};
    CallOptions options = feed_call(kConnectTimeout, kReaderResponseTimeout);
    // query_feed() logs a failure; the next failure of the peer is reported again.
    (void)co_await query_feed(reader.feed_address, reader.node, std::move(query),
                              std::move(options));
}

asio::awaitable<void>
DirectoryWatch::check_peer(std::string peers_address)
{
    if (!m_view.unreachable().begin_check(peers_address))
        co_return;
    for (;;) {
        // Checks end when the directory no longer lists the daemon.
        const bool is_known = m_view.daemons().knows(peers_address);
        // GCC 12 compiles the end of this coroutine wrongly if the call is in a condition.
        bool answers = true;
        if (is_known)
            answers = co_await is_responsive(peers_address);
        if (m_view.unreachable().record_check(peers_address, answers)) {
            LogEvent("peer_checked", LogLevel::Warn)
                .kv("peer", peers_address)
                .kv("answers", answers)
                .kv("unreachable", m_view.unreachable().list().addresses.size());
            m_feed.wake_held_queries();
            const bool is_own = source().role != DirectoryRole::Follower;
            if (is_own && m_on_unreachable)
                m_on_unreachable(m_view.unreachable().list().addresses);
        }
        if (answers)
            co_return;
        co_await pause_for(m_io, kPeerCheckInterval);
    }
}

asio::awaitable<bool>
DirectoryWatch::is_responsive(std::string peers_address)
{
    HttpRequest request;
    request.target = PeerLink::kAlivePath;
    CallOptions options;
    options.deadline_us = monotonic_us() + kKeepaliveTimeout;
    const CallResult result = co_await m_peer_client.call(std::move(peers_address),
                                                          std::move(request), options);
    co_return result.status == CallStatus::Answered;
}

void
DirectoryWatch::apply_unreachable_list(const UnreachableList& list)
{
    m_unreachable_revision = list.revision;
    // A reader uses the results of its own checks only.
    if (source().role == DirectoryRole::Follower && m_on_unreachable)
        m_on_unreachable(list.addresses);
}

} // namespace cypressford

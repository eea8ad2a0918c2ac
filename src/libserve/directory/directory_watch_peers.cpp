// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// What a DirectoryWatch asks other daemons, and tells them.

#include "libserve/directory/directory_watch.h"

#include <algorithm>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "libserve/peers/peer_link.h"
#include "libutil/boot_clock.h"
#include "libutil/crypto.h"
#include "libutil/event_log.h"
#include "libutil/hybrid_clock.h"

namespace cypressford {

namespace asio = boost::asio;

namespace {

constexpr Micros kConnectTime = 250 * kMillisecond;
/// The same while a topic must be listed: a reader that has just started itself takes in
/// thousands of records before it answers.
constexpr Micros kListingWaitLimit = 3 * kSecond;
/// The same of a peer that may refer this daemon; others may, too.
constexpr Micros kFirstConnectTime = 400 * kMillisecond;
/// Once none of them did: an opening packet that finds a queue full, where hundreds ask at
/// once, is sent again after a second.
constexpr Micros kBusyConnectTime = 1500 * kMillisecond;
/// A question for a referral waits so long while the daemon that is asked meets others.
constexpr Micros kReferralHold = 700 * kMillisecond;
/// A sign of life that another daemon is asked for is due after so long, ...
constexpr Micros kSignWaitLimit = 200 * kMillisecond;
/// ... and again after this time until it gives one.
constexpr Micros kPeerCheckPause = 300 * kMillisecond;
/// Between peers that did not refer this daemon.
constexpr Micros kRoundPause = 100 * kMillisecond;
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
DirectoryWatch::ask_feed(std::string feed_address, std::string who, FeedQuery query,
                         CallOptions limits)
{
    const Micros asked_at = monotonic_us();
    HttpRequest request = protobuf_post(DirectoryFeedServer::kPath, encode(query));
    const CallResult result
        = co_await m_peers.call(feed_address, std::move(request), std::move(limits));
    if (result.status != CallStatus::Answered || result.response.status != kOk) {
        LogEvent("reader_call_failed", LogLevel::Warn)
            .kv("reader", who)
            .kv("status", result.response.status)
            .kv("bytes", result.response.body.size())
            .kv("us", monotonic_us() - asked_at);
        co_return fail(ErrorKind::UpstreamFailed, who);
    }
    auto answer = decode_feed_answer(result.response.body);
    co_return answer;
}

FeedQuery
DirectoryWatch::reader_query() const
{
    FeedQuery query = m_view.query();
    query.takes_unreachable = true;
    query.unreachable_revision = m_unreachable_revision;
    return query;
}

asio::awaitable<Result<FeedAnswer>>
DirectoryWatch::ask_reader(const DaemonRecord& reader, bool is_first)
{
    const Micros now = monotonic_us();
    const bool must_list = m_view.must_list();
    FeedQuery query = reader_query();
    if (!is_first)
        query.wait = 0;
    const Micros limit = must_list ? kListingWaitLimit : kReaderWaitLimit;
    const Micros answer_due = query.wait + limit;
    CallOptions options = feed_call(kConnectTime, answer_due);
    options.fresh_connection = !is_first;
    const auto watch = std::make_shared<ReaderWatch>(m_io, m_peers, reader);
    m_reader_watch = watch;
    options.handle = watch->call();
    options.on_head = [watch](const HttpResponse&) { watch->note_begun(); };
    if (!must_list) {
        options.deadline_us = std::max(options.deadline_us, m_view.reader_due_at());
        // Where what is known gets old first, a silent reader must be found out sooner.
        const bool stays_fresh = m_view.may_ask_again(answer_due + kReaderWaitLimit, now);
        const Micros sign_limit = stays_fresh ? kReaderWaitLimit : kSignWaitLimit;
        const Micros late_at = now + answer_due - (stays_fresh ? 0 : kSignWaitLimit);
        asio::co_spawn(m_io, watch->run(late_at, sign_limit), asio::detached);
    }
    auto answer = co_await ask_feed(reader.feed_address, reader.node, std::move(query),
                                    std::move(options));
    watch->end();
    co_return answer;
}

// ------------------------------------------------- from a daemon of the settings

/// Feeds have one port on all nodes.  Daemons of one hall ask the same peer first, so that
/// it meets all of them and knows the strong ones among them.
std::vector<std::string>
DirectoryWatch::feeds_of_peers() const
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
    const std::vector<std::string> feeds = feeds_of_peers();
    for (std::size_t next = 0; m_view.must_list(); ++next) {
        if (!m_view.wants_referral()) {
            co_await pause(kRoundPause);
            continue;
        }
        const bool is_first_round = next < feeds.size();
        const bool referred
            = co_await ask_referral(feeds[next % feeds.size()],
                                    is_first_round ? kFirstConnectTime : kBusyConnectTime);
        if (referred)
            continue;
        if (next + 1 == feeds.size()) {
            m_view.note_peers_silent();
            m_pauses.at(DirectoryTopic::Daemons).cancel();
        }
        co_await pause(m_view.in_turn(kRoundPause));
    }
}

asio::awaitable<std::optional<DirectoryReferral>>
DirectoryWatch::own_referral()
{
    for (Micros rest = m_view.time_until_refer(monotonic_us()); rest > 0;
         rest = m_view.time_until_refer(monotonic_us()))
        co_await pause(rest);
    co_return m_view.refer(own_record());
}

asio::awaitable<std::optional<DirectoryReferral>>
DirectoryWatch::ask_peer(std::string feed_address, Micros connect_limit)
{
    FeedQuery query;
    query.wait = kReferralHold;
    query.joiner = own_record();
    CallOptions options = feed_call(connect_limit, query.wait + kListingWaitLimit);
    const auto answer = co_await ask_feed(feed_address, feed_address, std::move(query),
                                          std::move(options));
    std::optional<DirectoryReferral> referral;
    if (answer)
        referral = answer->referral;
    co_return referral;
}

asio::awaitable<bool>
DirectoryWatch::ask_referral(std::string feed_address, Micros connect_limit)
{
    const bool is_own = feed_address == m_kernel.settings.announced_feed;
    std::optional<DirectoryReferral> referral;
    if (is_own)
        referral = co_await own_referral();
    else
        referral = co_await ask_peer(feed_address, connect_limit);
    if (!referral)
        co_return false;
    m_view.take_referral(*referral, monotonic_us());
    LogEvent("directory_referred")
        .kv("by", feed_address)
        .kv("role", to_string(referral->role))
        .kv("daemons", referral->ask.size());
    for (const DirectoryTopic topic : DirectoryView::kTopics)
        m_pauses.at(topic).cancel();
    m_without_reader.cancel();
    co_return true;
}

// ------------------------------------------------- daemons that don't answer

/// The reader finds out for all that ask it.
void
DirectoryWatch::report_lost(const std::string& peers_address)
{
    const DirectorySource from = source();
    if (from.role == DirectoryRole::Follower && from.daemon)
        asio::co_spawn(m_io, tell_lost(*from.daemon, peers_address), asio::detached);
    else
        asio::co_spawn(m_io, check_peer(peers_address), asio::detached);
}

asio::awaitable<void>
DirectoryWatch::tell_lost(DaemonRecord reader, std::string peers_address)
{
    FeedQuery query;
    query.lost = {std::move(peers_address)};
    CallOptions options = feed_call(kConnectTime, kReaderWaitLimit);
    // One that fails is logged there; the next loss is told again.
    (void)co_await ask_feed(reader.feed_address, reader.node, std::move(query),
                            std::move(options));
}

asio::awaitable<void>
DirectoryWatch::check_peer(std::string peers_address)
{
    if (!m_view.unreachable().begin_check(peers_address))
        co_return;
    for (;;) {
        // Of one that is gone the directory tells.
        const bool is_known = m_view.daemons().knows(peers_address);
        // GCC 12 ends this function wrongly if the call stands in a condition.
        bool answers = true;
        if (is_known)
            answers = co_await gives_sign(peers_address);
        if (m_view.unreachable().note_check(peers_address, answers)) {
            LogEvent("peer_checked", LogLevel::Warn)
                .kv("peer", peers_address)
                .kv("answers", answers)
                .kv("unreachable", m_view.unreachable().list().addresses.size());
            m_feed.note_news();
            const bool is_own = source().role != DirectoryRole::Follower;
            if (is_own && m_on_unreachable)
                m_on_unreachable(m_view.unreachable().list().addresses);
        }
        if (answers)
            co_return;
        co_await pause(kPeerCheckPause);
    }
}

asio::awaitable<bool>
DirectoryWatch::gives_sign(std::string peers_address)
{
    HttpRequest request;
    request.target = PeerLink::kAlivePath;
    CallOptions options;
    options.deadline_us = monotonic_us() + kSignWaitLimit;
    const CallResult result
        = co_await m_peers.call(std::move(peers_address), std::move(request), options);
    co_return result.status == CallStatus::Answered;
}

void
DirectoryWatch::note_unreachable(const UnreachableList& list)
{
    m_unreachable_revision = list.revision;
    // A reader goes by what it finds out itself.
    if (source().role == DirectoryRole::Follower && m_on_unreachable)
        m_on_unreachable(list.addresses);
}

} // namespace cypressford

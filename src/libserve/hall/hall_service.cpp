// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include "libserve/hall/hall_service.h"

#include <algorithm>
#include <set>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <cypressford/session_token.h>

#include "cypressford.pb.h"
#include "libserve/hall/bundle_service.h"
#include "libutil/boot_clock.h"
#include "libutil/event_log.h"
#include "libutil/hybrid_clock.h"
#include "libutil/task.h"

namespace cypressford {

namespace asio = boost::asio;

namespace {

constexpr auto kToTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::uint32_t kProtocol = 1;
/// Peers per gossip round.
constexpr std::size_t kGossipFanOut = 1;
/// Daemons of the hall that read the log.
constexpr int kLogReaders = 2;
/// Rounds in which a changed report on an upstream is passed on, which
/// reaches a hall of 20 with one peer in each round.
constexpr Micros kReportRounds = 6;
/// Reports in one message; bounds its size.
constexpr std::size_t kMaxReports = 48;
/// Number of exchanges with a peer for each exchange that lists the members in full.
constexpr int kExchangesPerFullMembers = 30;
/// Weight of the newest interval in an account's rate.
constexpr double kRateSmoothing = 0.3;
/// Accounts that use less than this part of their rate are not sent; of the
/// others at most kMaxAccounts are sent in one message.
constexpr double kMinPressure = 0.25;
constexpr std::size_t kMaxAccounts = 32;

MemberInfo
self_info(const Kernel& kernel)
{
    MemberInfo info;
    info.address = kernel.settings.peers_address;
    info.node = kernel.settings.node;
    info.incarnation = kernel.incarnation;
    info.started_ms = static_cast<std::uint64_t>(wall_ms());
    return info;
}

MembershipOptions
membership_options(const Settings& settings)
{
    MembershipOptions options;
    options.suspect_after = settings.suspect_after;
    options.dead_after = 5 * settings.suspect_after;
    return options;
}

MemberInfo
member_from(const proto::Member& message)
{
    return {message.address(),    message.node(),      message.incarnation(),
            message.started_ms(), message.heartbeat(), message.stopping()};
}

} // namespace

HallService::HallService(asio::io_context& io, Kernel& kernel, PlatformClient& platform,
                         BundleService& bundles)
    : m_io(io)
    , m_kernel(kernel)
    , m_bundles(bundles)
    , m_membership(self_info(kernel), membership_options(kernel.settings))
    , m_watch(
          io, kernel, platform,
          [this](const std::string& task, int count) {
              return m_membership.is_chosen(task, count, monotonic_us());
          },
          [this] { exchange_with_all(); })
    , m_transport(kernel.settings.tls,
                  [this](const proto::PeerState& state, PeerTransport::Answer answer) {
                      asio::post(m_io, [this, state, answer = std::move(answer)] {
                          receive(state, false);
                          answer(own_state(state.address(), state.bundle_next(),
                                           state.wants_members()));
                      });
                  })
    , m_random(kernel.incarnation)
{
}

HallService::~HallService() = default;

Result<void>
HallService::start()
{
    const Settings& settings = m_kernel.settings;
    if (!settings.peers_address.empty()) {
        if (auto listening = m_transport.listen(settings.peers_address); !listening)
            return listening;
        if (settings.tls.certificate.empty())
            LogEvent("peers_without_tls", LogLevel::Warn)
                .kv("address", settings.peers_address);
        spawn_restarting_task(m_io, "hall_exchange", [this] { return gossip_loop(); });
    }
    m_watch.start();
    return {};
}

bool
HallService::is_chosen(std::string_view task, int count) const
{
    return m_membership.is_chosen(task, count, monotonic_us());
}

void
HallService::announce_stop()
{
    m_membership.set_stopping();
    exchange_with_all();
}

// ------------------------------------------------------------ membership

asio::awaitable<void>
HallService::gossip_loop()
{
    BootTimer timer(m_io);
    for (;;) {
        gossip_once();
        // Jitter, so that daemons that start together do not stay synchronized.
        const Micros interval = m_kernel.settings.gossip_interval;
        const auto jitter = static_cast<Micros>(m_random() % std::uint64_t(interval));
        timer.expires_after(std::chrono::microseconds(interval / 2 + jitter));
        co_await timer.async_wait(kToTuple);
    }
}

void
HallService::gossip_once()
{
    const Micros now = monotonic_us();
    m_membership.advance_heartbeat(now);
    m_kernel.daemons_in_hall.store(m_membership.serving_count(now));
    m_bundles.set_reader(m_membership.is_chosen("bundles", kLogReaders, now));
    update_shares(now);
    m_watch.propagate_leaving_marks();
    // The targets are known members and, from time to time, a peer from the settings, so
    // that the parts of a partitioned hall are joined again.
    std::vector<std::string> targets = m_membership.other_members(now);
    std::shuffle(targets.begin(), targets.end(), m_random);
    if (targets.size() > kGossipFanOut)
        targets.resize(kGossipFanOut);
    const auto& peers = m_kernel.settings.peers;
    if (!peers.empty() && (targets.size() < kGossipFanOut || m_random() % 8 == 0))
        targets.push_back(peers[m_random() % peers.size()]);
    std::sort(targets.begin(), targets.end());
    targets.erase(std::unique(targets.begin(), targets.end()), targets.end());
    for (const std::string& address : targets)
        exchange_with(address);
}

void
HallService::exchange_with(const std::string& address)
{
    m_transport.exchange(address, own_state(address, m_bundles.fold().next(), false),
                         [this, address](bool ok, const proto::PeerState& state) {
                             if (!ok)
                                 return;
                             asio::post(m_io, [this, state] { receive(state, true); });
                         });
}

void
HallService::exchange_with_all()
{
    if (m_kernel.settings.peers_address.empty())
        return;
    std::set<std::string> targets(m_kernel.settings.peers.begin(),
                                  m_kernel.settings.peers.end());
    for (const std::string& address : m_membership.other_members(monotonic_us()))
        targets.insert(address);
    for (const std::string& address : targets)
        exchange_with(address);
}

proto::PeerState
HallService::own_state(const std::string& peer, Offset peer_bundle_next,
                       bool members_in_full)
{
    proto::PeerState state;
    const MemberInfo& self = m_membership.self();
    state.set_protocol(kProtocol);
    state.set_node(self.node);
    state.set_hall(m_kernel.settings.hall);
    state.set_address(self.address);
    state.set_clock(HybridClock::instance().tick());
    state.set_in_force(m_bundles.fold().in_force_version());
    state.set_bundle_next(m_bundles.fold().next());
    if (peer_bundle_next < m_bundles.fold().next() && m_bundles.fold().has_base())
        state.set_bundle_snapshot(encode(m_bundles.fold().snapshot()));
    int& exchanges = m_exchanges[peer];
    add_members(state, exchanges % kExchangesPerFullMembers == 0 || members_in_full);
    state.set_wants_members(std::exchange(m_wants_members, false));
    add_reports(state);
    ++exchanges;
    add_accounts(state);
    return state;
}

/// Only accounts near their rate limit matter to other daemons, so the accounts that use
/// the largest part of their rate on this daemon are sent, up to a fixed number.
void
HallService::add_accounts(proto::PeerState& state)
{
    std::vector<std::pair<double, std::uint64_t>> by_pressure;
    for (const auto& [account, use] : m_own_use)
        if (use.pressure >= kMinPressure)
            by_pressure.emplace_back(use.pressure, account);
    const std::size_t count = std::min(kMaxAccounts, by_pressure.size());
    const auto middle = by_pressure.begin() + static_cast<std::ptrdiff_t>(count);
    std::partial_sort(by_pressure.begin(), middle, by_pressure.end(), std::greater<>());
    for (auto it = by_pressure.begin(); it != middle; ++it) {
        proto::AccountUse* use = state.add_accounts();
        use->set_account(it->second);
        use->set_admitted_per_s(m_own_use.at(it->second).rate);
    }
}

void
HallService::add_members(proto::PeerState& state, bool in_full)
{
    for (const MemberInfo& info : m_membership.all(monotonic_us())) {
        if (!in_full) {
            proto::Beat* beat = state.add_beats();
            beat->set_member(Membership::id_of(info));
            beat->set_heartbeat(info.heartbeat);
            beat->set_stopping(info.stopping);
            continue;
        }
        proto::Member* member = state.add_members();
        member->set_node(info.node);
        member->set_address(info.address);
        member->set_incarnation(info.incarnation);
        member->set_started_ms(info.started_ms);
        member->set_heartbeat(info.heartbeat);
        member->set_stopping(info.stopping);
    }
}

void
HallService::add_reports(proto::PeerState& state)
{
    const Micros now = monotonic_us();
    const Micros since = now - kReportRounds * m_kernel.settings.gossip_interval;
    for (const UpstreamWatch::Observation* seen :
         m_watch.recent_reports(since, kMaxReports)) {
        proto::UpstreamReport* report = state.add_reports();
        report->set_upstream(seen->id);
        report->set_in_flight(seen->report.in_flight);
        report->set_queued(seen->report.queued);
        report->set_incarnation(seen->report.incarnation);
        report->set_leaving(seen->report.leaving);
        report->set_age_ms(
            static_cast<std::uint32_t>((now - seen->reported_at) / kMillisecond));
    }
}

void
HallService::receive(const proto::PeerState& state, bool is_answer)
{
    if (state.hall() != m_kernel.settings.hall)
        return;
    const Micros now = monotonic_us();
    HybridClock::instance().observe(state.clock());
    for (const proto::Member& member : state.members())
        m_membership.on_member_info(member_from(member), now);
    if (!state.bundle_snapshot().empty())
        m_bundles.adopt(state.bundle_snapshot());
    else if (!is_answer && state.bundle_next() > m_bundles.fold().next())
        exchange_with(state.address());
    for (const proto::Beat& beat : state.beats())
        if (!m_membership.on_keepalive(beat.member(), beat.heartbeat(), beat.stopping(),
                                       now))
            m_wants_members = true;
    for (const proto::UpstreamReport& report : state.reports())
        m_watch.on_peer_report(
            report.upstream(),
            {report.in_flight(), report.queued(), report.incarnation(), report.leaving()},
            now - static_cast<Micros>(report.age_ms()) * kMillisecond);
    auto& rates = m_peer_rates[state.address()];
    rates.clear();
    for (const proto::AccountUse& use : state.accounts())
        rates[use.account()] = use.admitted_per_s();
}

// ------------------------------------------------- shares of accounts

void
HallService::update_shares(Micros now)
{
    const SnapshotPtr snapshot = m_kernel.snapshot.load();
    if (!snapshot)
        return;
    const double seconds = static_cast<double>(now - m_rates_at) / kSecond;
    m_rates_at = now;
    const int daemons = m_kernel.daemons_in_hall.load();
    std::map<std::uint64_t, double> peer_rates; ///< sums by account
    for (const auto& [peer, rates] : m_peer_rates)
        if (m_membership.state(peer, now) == MemberState::Alive)
            for (const auto& [account, rate] : rates)
                peer_rates[account] += rate;
    for (const ResolvedAccount& account : snapshot->bundle->accounts) {
        const std::uint64_t id = session_hash(account.spec.name);
        const std::uint64_t admitted
            = account.state->admitted.load(std::memory_order_relaxed);
        std::uint64_t& admitted_before = m_admitted_before[id];
        const double rate
            = static_cast<double>(admitted - admitted_before) / std::max(seconds, 1e-3);
        admitted_before = admitted;
        AccountRate& use = m_own_use[id];
        use.rate += kRateSmoothing * (rate - use.rate);
        use.pressure = use.rate * daemons / account.spec.rate;
        const auto peer_rate = peer_rates.find(id);
        const double all
            = use.rate + (peer_rate == peer_rates.end() ? 0 : peer_rate->second);
        account.state->share.store(account_share(use.rate, all, daemons),
                                   std::memory_order_relaxed);
    }
}

} // namespace cypressford

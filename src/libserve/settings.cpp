// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#include "libserve/settings.h"

#include <algorithm>
#include <optional>

#include <cypressford/directory.h>
#include <cypressford/registry.h>

#include "libutil/crypto.h"
#include "libutil/yaml_reader.h"

namespace cypressford {

namespace {

constexpr std::size_t kDaemonKeyBytes = 32;
constexpr std::size_t kPublicKeyHexChars = 64;

/// Reads a number and checks that it lies within a range.
template <class T>
void
read_range(YamlMapReader& reader, const char* key, T lowest, T highest, T& out)
{
    T value = out;
    reader.read(key, value);
    if (value < lowest || value > highest)
        reader.add(reader.child(key),
                   std::string(key) + " must be " + std::to_string(lowest) + " to "
                       + std::to_string(highest));
    else
        out = value;
}

/// Reads a duration, which is in milliseconds in the file.
void
read_ms(YamlMapReader& reader, const char* key, Micros& out)
{
    constexpr Micros longest = 24 * 3600 * 1000;
    Micros ms = out / kMillisecond;
    read_range<Micros>(reader, key, 1, longest, ms);
    out = ms * kMillisecond;
}

void
read_duration(YamlMapReader& reader, const char* key, std::chrono::milliseconds& out)
{
    Micros value = out.count() * kMillisecond;
    read_ms(reader, key, value);
    out = std::chrono::milliseconds(value / kMillisecond);
}

void
read_address(YamlMapReader& reader, const char* key, bool required, std::string& out)
{
    reader.read(key, out, required);
    if (!out.empty() && parse_address(out).ip.empty())
        reader.add(reader.child(key),
                   std::string(key) + ": '" + out + "' is not an ip:port");
}

/// Reads a sub-mapping if it is present.
template <class F>
void
read_section(YamlMapReader& parent, const char* key, std::vector<Fault>& faults, F&& visit)
{
    const YAML::Node node = parent.child(key);
    if (!node)
        return;
    YamlMapReader reader(node, key, faults);
    visit(reader);
    reader.refuse_unknown_keys();
}

template <class Interface>
void
read_plugin(YamlMapReader& reader, const char* key, std::string& out)
{
    reader.read(key, out);
    const auto names = Registry<Interface>::instance().names();
    if (std::find(names.begin(), names.end(), out) != names.end())
        return;
    std::string known;
    for (const std::string& name : names)
        known += " " + name;
    reader.add(reader.child(key), std::string(key) + ": no '" + out + "' among:" + known);
}

/// Each kind of change has its own limit; the same timing is used for both, so the smaller
/// limit applies.
void
read_directory_bounds(YamlMapReader& reader, Settings& settings)
{
    Micros configuration = settings.max_change_delay;
    Micros leaving = settings.max_change_delay;
    read_ms(reader, "configuration_ms", configuration);
    read_ms(reader, "leaving_ms", leaving);
    settings.max_change_delay = std::min(configuration, leaving);
    read_ms(reader, "heartbeat_ms", settings.directory_heartbeat);
    read_range(reader, "writes_per_s", 1.0, 1e6, settings.directory_writes);
}

/// Switches on what the platform's plug-in derives from its own names.  Read before
/// "policy", which can switch it off again.
void
read_contracts(YamlMapReader& reader, Settings& settings)
{
    std::vector<std::string> contracts;
    reader.read("contracts", contracts);
    const auto dialect
        = Registry<DirectoryDialect>::instance().make(settings.platform.kind);
    if (dialect->features(contracts).account_precedence)
        settings.scheduler.switches.switch_on(Mechanism::AccountPrecedence);
}

void
read_platform(YamlMapReader& reader, Settings& settings)
{
    std::string kind = settings.platform.kind;
    reader.read("kind", kind);
    const auto directories = Registry<DirectoryDialect>::instance().names();
    settings.uses_directory
        = std::find(directories.begin(), directories.end(), kind) != directories.end();
    if (settings.uses_directory) {
        settings.platform.kind = kind;
        read_address(reader, "store", true, settings.platform.log);
        read_directory_bounds(reader, settings);
        read_ms(reader, "vanish_grace_ms", settings.removal_grace_period);
        read_contracts(reader, settings);
        return;
    }
    read_plugin<PlatformClient>(reader, "kind", settings.platform.kind);
    read_address(reader, "log", true, settings.platform.log);
    read_address(reader, "nodes", true, settings.platform.nodes);
    read_ms(reader, "timeout_ms", settings.platform.timeout);
    read_ms(reader, "snapshot_interval_ms", settings.snapshot_interval);
}

void
read_limits(YamlMapReader& reader, Settings& settings)
{
    HttpLimits& limits = settings.limits;
    read_range<std::size_t>(reader, "header_bytes", 1024, 1 << 20, limits.header_bytes);
    read_range<std::size_t>(reader, "body_bytes", 1024, 1 << 26, limits.body_bytes);
    read_range(reader, "connections", 1, 1'000'000, limits.connections);
    read_duration(reader, "header_ms", limits.header_time);
    read_duration(reader, "body_ms", limits.body_time);
    read_duration(reader, "idle_ms", limits.idle_time);
    read_duration(reader, "write_ms", limits.write_time);
    read_range<std::int64_t>(reader, "unread_bytes", 1 << 16, 1 << 30,
                             settings.unread_bytes);
}

/// Reads a list of mechanisms; unknown names are faults.
std::vector<Mechanism>
read_mechanisms(YamlMapReader& reader, const char* key)
{
    std::vector<std::string> names;
    reader.read(key, names);
    std::vector<Mechanism> mechanisms;
    for (const std::string& name : names) {
        if (const auto mechanism = mechanism_of(name)) {
            mechanisms.push_back(*mechanism);
            continue;
        }
        if (name == "stable_homes") {
            reader.add(reader.child(key),
                       std::string(key)
                           + ": 'stable_homes' is now called 'stable_engines'");
            continue;
        }
        std::string fault = std::string(key) + ": no '";
        fault.append(name).append("' among:");
        for (const std::string_view mechanism_name : kMechanismNames)
            fault.append(" ").append(mechanism_name);
        reader.add(reader.child(key), fault);
    }
    return mechanisms;
}

/// A mechanism that is listed both in "with" and in "without" is off, so that the effect of
/// each can be measured by adding one line.
void
read_switches(YamlMapReader& reader, PolicySwitches& switches)
{
    for (const Mechanism mechanism : read_mechanisms(reader, "with"))
        switches.switch_on(mechanism);
    for (const Mechanism mechanism : read_mechanisms(reader, "without"))
        switches.switch_off(mechanism);
}

void
read_policy(YamlMapReader& reader, Settings& settings)
{
    SchedulerOptions& options = settings.scheduler;
    read_plugin<Router>(reader, "router", settings.router);
    read_plugin<Admission>(reader, "admission", settings.admission);
    reader.read("hedging", options.hedging);
    reader.read("eject", options.eject);
    read_range<std::size_t>(reader, "max_waiting", 1, 1'000'000, options.max_waiting);
    read_range(reader, "retry_ratio", 0.0, 1.0, options.retry_ratio);
    read_range(reader, "hedge_ratio", 0.0, 1.0, options.hedge_ratio);
    read_range(reader, "max_attempts", 1, 10, options.max_attempts);
    read_range(reader, "retry_burst", 0.0, 1e6, options.retry_burst);
    read_range(reader, "hedge_burst", 0.0, 1e6, options.hedge_burst);
    // Limits over all daemons; they replace the ratios and bursts above.
    read_range(reader, "retry_limit_ratio", 0.0, 1.0, options.retry_limit.ratio);
    read_range(reader, "retry_limit_extra", 0.0, 1e6, options.retry_limit.extra);
    read_ms(reader, "token_life_ms", settings.token_life);
    read_range(reader, "capacity_ledger_min_daemons", 1, 1'000'000,
               settings.capacity_ledger_min_daemons);
    read_switches(reader, options.switches);
}

void
read_claims(YamlMapReader& reader, Settings& settings)
{
    ClaimOptions& options = settings.claims;
    read_ms(reader, "append_gap_ms", options.min_append_interval);
    read_range(reader, "append_burst", 1, 100, options.append_burst);
    read_range<std::size_t>(reader, "max_keys", 100, 10'000'000, options.max_keys);
    reader.refuse_renamed("outage_patience_ms", "outage_wait_limit_ms");
    read_ms(reader, "outage_wait_limit_ms", options.outage_wait_limit);
    read_range<WallMs>(reader, "clock_error_ms", 0, 60'000, options.clock_error);
}

void
read_hall(YamlMapReader& reader, Settings& settings)
{
    read_ms(reader, "watch_ms", settings.watch_interval);
    read_range(reader, "watch_rate", 0.1, 1000.0, settings.watch_rate);
    read_ms(reader, "gossip_ms", settings.gossip_interval);
    read_ms(reader, "suspect_ms", settings.suspect_after);
}

void
read_placement(YamlMapReader& reader, Settings& settings)
{
    LeaseOptions& lease = settings.lease;
    read_ms(reader, "lease_ms", lease.duration);
    read_ms(reader, "renew_ms", lease.renew_interval);
    read_ms(reader, "margin_ms", lease.margin);
    read_range(reader, "orders_per_s", 0.01, 1000.0, settings.orders_per_s);
    if (lease.margin + 2 * lease.renew_interval > lease.duration)
        reader.add(reader.child("lease_ms"),
                   "lease_ms must be at least margin_ms + 2 * renew_ms");
}

void
read_log(YamlMapReader& reader, Settings& settings)
{
    reader.read("file", settings.log_file);
    read_range(reader, "lines_per_s", 1, 1'000'000, settings.log_lines_per_s);
    std::string level = "info";
    reader.read("level", level);
    const std::vector<std::string> names {"debug", "info", "warn", "error"};
    const auto it = std::find(names.begin(), names.end(), level);
    if (it == names.end())
        reader.add(reader.child("level"), "level must be debug, info, warn or error");
    else
        settings.log_level = static_cast<LogLevel>(it - names.begin());
}

void
read_keys(YamlMapReader& reader, Settings& settings)
{
    // The keys are optional with a directory: its store checks configurations itself, and
    // relayed answers need no resume tokens of this daemon.
    const bool required = !settings.uses_directory;
    reader.read("operators", settings.operators, required);
    for (const std::string& key : settings.operators)
        if (key.size() != kPublicKeyHexChars || from_hex(key).empty())
            reader.add(reader.child("operators"),
                       "'" + key + "' is not a public key in hex");
    std::string hex;
    reader.read("daemon_key", hex, required);
    settings.daemon_key = from_hex(hex);
    if (hex.empty() && !required)
        settings.daemon_key = random_bytes(kDaemonKeyBytes);
    if (settings.daemon_key.size() != kDaemonKeyBytes)
        reader.add(reader.child("daemon_key"), "daemon_key must be 32 bytes in hex");
}

bool
is_loopback(const std::string& address)
{
    return address.starts_with("127.") || address.starts_with("::1");
}

void
check_tls(YamlMapReader& reader, const Settings& settings)
{
    const TlsSettings& tls = settings.tls;
    const int given
        = !tls.certificate.empty() + !tls.private_key.empty() + !tls.authority.empty();
    if (given != 0 && given != 3)
        reader.add(reader.child("tls"), "tls needs certificate, private_key and authority");
    if (given == 0 && !settings.peers_address.empty() && !settings.uses_directory
        && !is_loopback(settings.peers_address))
        reader.add(reader.child("listen"), "peers outside loopback need tls");
}

void
read_root(YamlMapReader& reader, Settings& settings, std::vector<Fault>& faults)
{
    reader.read("node", settings.node, true);
    reader.read("hall", settings.hall, true);
    reader.read("regions", settings.hall_regions);
    if (!settings.hall_regions.empty() && !settings.hall_regions.contains(settings.hall))
        reader.add(reader.child("regions"), "regions: '" + settings.hall + "' is missing");
    read_range(reader, "threads", 1, 64, settings.threads);
    read_range(reader, "capacity", 0.001, 1e6, settings.capacity);
    read_section(reader, "listen", faults, [&](YamlMapReader& r) {
        read_address(r, "callers", true, settings.callers_address);
        read_address(r, "peers", false, settings.peers_address);
        read_address(r, "feed", false, settings.feed_address);
        settings.announced_peers = settings.peers_address;
        settings.announced_feed = settings.feed_address;
        read_address(r, "announced_peers", false, settings.announced_peers);
        read_address(r, "announced_feed", false, settings.announced_feed);
        read_address(r, "readiness", false, settings.readiness_address);
        read_address(r, "metrics", false, settings.metrics_address);
    });
    reader.read("peers", settings.peers);
    for (const std::string& peer : settings.peers)
        if (parse_address(peer).ip.empty())
            reader.add(reader.child("peers"), "peers: '" + peer + "' is not an ip:port");
    read_section(reader, "platform", faults,
                 [&](YamlMapReader& r) { read_platform(r, settings); });
    read_section(reader, "tls", faults, [&](YamlMapReader& r) {
        r.read("certificate", settings.tls.certificate);
        r.read("private_key", settings.tls.private_key);
        r.read("authority", settings.tls.authority);
    });
    read_keys(reader, settings);
    read_section(reader, "limits", faults,
                 [&](YamlMapReader& r) { read_limits(r, settings); });
    read_section(reader, "policy", faults,
                 [&](YamlMapReader& r) { read_policy(r, settings); });
    read_section(reader, "claims", faults,
                 [&](YamlMapReader& r) { read_claims(r, settings); });
    read_section(reader, "hall_control", faults,
                 [&](YamlMapReader& r) { read_hall(r, settings); });
    read_section(reader, "placement", faults,
                 [&](YamlMapReader& r) { read_placement(r, settings); });
    read_section(reader, "log", faults, [&](YamlMapReader& r) { read_log(r, settings); });
    read_section(reader, "stop", faults, [&](YamlMapReader& r) {
        read_ms(r, "grace_ms", settings.stop_grace_period);
        read_ms(r, "limit_ms", settings.stop_limit);
    });
    check_tls(reader, settings);
    if (settings.callers_address.empty())
        reader.add(reader.child("listen"), "settings need listen: callers");
    if (settings.platform.log.empty())
        reader.add(reader.child("platform"),
                   "settings need platform: log, or platform: store for a directory");
    settings.platform.hall = settings.hall;
    settings.scheduler.schedulers = settings.threads;
}

} // namespace

tl::expected<Settings, std::vector<Fault>>
parse_settings(std::string_view text)
{
    std::vector<Fault> faults;
    Settings settings;
    try {
        const YAML::Node root = YAML::Load(std::string(text));
        YamlMapReader reader(root, "settings", faults);
        read_root(reader, settings, faults);
        reader.refuse_unknown_keys();
    } catch (const YAML::Exception& error) {
        faults.push_back({error.mark.line + 1, error.msg});
    }
    if (!faults.empty())
        return tl::unexpected(std::move(faults));
    return settings;
}

std::string
format_faults(std::string_view file, const std::vector<Fault>& faults)
{
    std::string text;
    for (const Fault& fault : faults) {
        text += std::string(file) + ":";
        if (fault.line > 0)
            text += std::to_string(fault.line) + ":";
        text += " " + fault.message + "\n";
    }
    return text;
}

} // namespace cypressford

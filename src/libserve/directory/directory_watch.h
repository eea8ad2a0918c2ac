// Copyright (c) 2026 The cypressford authors.
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cypressford/directory_view.h>

#include "libserve/directory/directory_feed_server.h"
#include "libserve/directory/directory_store.h"
#include "libserve/directory/evacuations.h"
#include "libserve/directory/reader_watch.h"
#include "libserve/kernel.h"
#include "libutil/boot_clock.h"
#include "libutil/http_client.h"

namespace cypressford {

/// Follows a directory on the platform and applies its configuration and upstreams on this
/// daemon.  One daemon of each hall (the reader) reads the directory and the others query
/// it; a daemon that receives no update from the reader in time reads the directory itself.
/// Lives on the control thread.
class DirectoryWatch {
public:
    DirectoryWatch(boost::asio::io_context& io, Kernel& kernel);

    Result<void> start();

    /// Called after each change of the snapshot.
    void on_change(std::function<void()> action) { m_on_change = std::move(action); }

    /// Called with each new snapshot, before streams are resumed by its versions, and with
    /// the sets of which another version came and left since the snapshot before.
    void
    on_versions(std::function<void(const Snapshot&, const std::set<std::string>&)> action)
    {
        m_on_versions = std::move(action);
    }

    /// Called after each read of the daemons' records, with the new records, if any.
    void on_daemons(std::function<void(std::vector<DaemonRecord>)> action)
    {
        m_on_daemons = std::move(action);
    }

    /// Called with the daemons that do not answer this daemon's reader (or this daemon, if
    /// it is a reader) whenever the set changes.
    void on_unreachable(std::function<void(std::set<std::string>)> action)
    {
        m_on_unreachable = std::move(action);
    }

    /// Called when the log may have lost suspect records.
    void on_suspects_lost(std::function<void()> action)
    {
        m_on_suspects_lost = std::move(action);
    }

    /// Reports that the daemon at that address did not answer this daemon.
    void report_unreachable(const std::string& peers_address);

    /// Announces to the other daemons at once that this daemon is stopping.
    void announce_stop();

    /// This daemon was suspended: topics whose data is too old by now are read again at
    /// once.
    void on_resumed();

    boost::asio::awaitable<Result<void>> write(DirectoryTopic topic,
                                               DirectoryRecord record);
    /// The newest record of each key with that prefix, of a topic that this class does not
    /// follow.
    boost::asio::awaitable<Result<std::vector<DirectoryRecord>>>
    list(DirectoryTopic topic, std::string prefix = {});
    /// Of the directory's log, as far as it is known here.
    LogGeneration generation() const { return m_view.generation(); }

    /// Applies, on this daemon and at once, this daemon's own record of requests that were
    /// running when upstreams ended.  A later record under the same key extends the earlier
    /// record.
    void apply_own_suspects(const std::string& key, const SuspectRecord& record);
    /// Records that the directory has acknowledged the record of that key.
    void mark_suspects_written(const std::string& key);
    /// Records whose keys begin with `prefix` and that must be written again because the
    /// log lost them.
    std::vector<DirectoryRecord> lost_suspects(std::string_view prefix) const;
    /// Lost records of all daemons; empty unless this daemon is the root reader, which is
    /// responsible for them.
    std::vector<DirectoryRecord> lost_suspects_of_all() const;
    /// Up to `most` keys that this daemon must delete from the directory; empty unless this
    /// daemon is the root reader.
    std::vector<std::string> outdated_suspects(std::size_t most) const;

private:
    /// Timeout for the first byte of a reader's answer, beyond the time for which the
    /// reader may hold the query.
    static constexpr Micros kReaderResponseTimeout = 300 * kMillisecond;

    boost::asio::awaitable<void> publish_own();
    boost::asio::awaitable<void> remove_own_record();
    boost::asio::awaitable<bool> publish_once();
    DaemonRecord own_record();
    /// Requests a referral from the peers in the settings until the topics are listed.
    boost::asio::awaitable<void> join();
    boost::asio::awaitable<std::optional<DirectoryReferral>> make_own_referral();
    boost::asio::awaitable<std::optional<DirectoryReferral>>
    request_referral(std::string feed_address, Micros connect_limit);
    boost::asio::awaitable<bool> obtain_referral(std::string feed_address,
                                                 Micros connect_limit);
    std::vector<std::string> peer_feed_addresses() const;
    boost::asio::awaitable<void> log_calls_loop();

    // One loop for each topic queries the directory; one more queries the hall's reader.
    boost::asio::awaitable<void> follow(DirectoryTopic topic);
    boost::asio::awaitable<void> follow_reader();
    boost::asio::awaitable<Result<void>> list_page(DirectoryTopic topic);
    boost::asio::awaitable<Result<void>> read(DirectoryTopic topic);
    FeedQuery reader_query() const;
    /// The reader holds the first query until there are changes and answers a repeated
    /// query at once.
    boost::asio::awaitable<Result<FeedAnswer>> query_reader(const DaemonRecord& reader,
                                                            bool is_first);
    /// Whether to repeat a query that the reader did not answer.
    bool should_repeat_query() const;
    /// `label`: the queried daemon, for the log; `limits`: deadlines of connection and
    /// answer.
    boost::asio::awaitable<Result<FeedAnswer>> query_feed(std::string feed_address,
                                                          std::string label,
                                                          FeedQuery query,
                                                          CallOptions limits);
    boost::asio::awaitable<void> report_to_reader(DaemonRecord reader,
                                                  std::string peers_address);
    boost::asio::awaitable<void> check_peer(std::string peers_address);
    boost::asio::awaitable<bool> is_responsive(std::string peers_address);
    void apply_unreachable_list(const UnreachableList& list);
    /// Handles the log generation that another daemon reports.
    void receive_generation(LogGeneration reported);
    /// The log was restored from an older copy: lists again, and rewrites what the log may
    /// have lost.
    void recover_from_restore(std::string_view reported_by);
    boost::asio::awaitable<void> clear_suspicion_later(std::string peers_address);

    DirectorySource source() const;
    /// The reader's answer is late or still arriving, so a topic without updates is no
    /// reason to suspect the reader.
    bool is_reader_busy() const { return m_reader_watch && m_reader_watch->is_busy(); }
    void update_source(const DirectorySource& from);
    void suspect_reader(const DaemonRecord& reader, std::string_view reason);
    void process_page(DirectoryTopic topic, Offset from, const DirectoryPage& page,
                      Micros requested_at, Micros waited);
    void process_answer(const FeedAnswer& answer, Micros requested_at);
    void process_change(const DirectoryChange& change);
    void log_invalid_record(const InvalidRecord& record);
    void record_contact(bool reached);
    void bring_into_force();
    void update_sole_versions(const Snapshot& snapshot);
    void bring_suspects_into_force();

    boost::asio::io_context& m_io;
    Kernel& m_kernel;
    DirectoryStore m_store;
    HttpClient m_peer_client;
    std::map<DirectoryTopic, BootTimer> m_topic_timers; ///< one for the loop of each topic
    DirectoryView m_view;
    BootTimer m_publish_timer; ///< cancelled when this daemon's record may be lost
    BootTimer m_reader_poll_timer; ///< for checks for a reader while there is none
    DirectoryFeedServer m_feed;
    ResolvedBundlePtr m_applied; ///< the configuration in force
    std::uint64_t m_applied_revision = 0;
    std::uint64_t m_applied_suspects_revision = 0;
    Micros m_decode_us = 0; ///< time to decode and apply the last records
    Evacuations m_evacuations;
    Micros m_last_contact = 0;
    /// `as_of` of the daemons' records that were last passed to m_on_daemons.
    Micros m_daemons_passed_at = -1;
    bool m_platform_reachable = true;
    std::set<std::tuple<DirectoryTopic, std::string, std::string>> m_invalid_logged;
    std::uint64_t m_own_sequence = 0;
    bool m_own_record_stored = false; ///< this daemon's record was stored in the directory
    std::optional<DirectoryRole> m_role;
    std::string m_source_node; ///< node of the queried reader; empty: the directory itself
    std::shared_ptr<ReaderWatch> m_reader_watch; ///< of the last query to the reader
    std::uint64_t m_unreachable_revision = 0; ///< of the list from the queried daemon
    std::function<void(std::set<std::string>)> m_on_unreachable;
    std::function<void()> m_on_change;
    std::function<void(const Snapshot&, const std::set<std::string>&)> m_on_versions;
    std::function<void()> m_on_suspects_lost;
    std::function<void(std::vector<DaemonRecord>)> m_on_daemons;
};

} // namespace cypressford

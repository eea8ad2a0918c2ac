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

/// Follows a directory on the platform and brings configuration and upstreams
/// into force.  One daemon of each hall reads the directory and the others ask it;
/// who learns nothing from it in time reads for itself.  Lives on the control thread.
class DirectoryWatch {
public:
    DirectoryWatch(boost::asio::io_context& io, Kernel& kernel);

    Result<void> start();

    /// Called after each change of the snapshot.
    void on_change(std::function<void()> action) { m_on_change = std::move(action); }

    /// Called with records of daemons that are new.
    void on_daemons(std::function<void(std::vector<DaemonRecord>)> action)
    {
        m_on_daemons = std::move(action);
    }

    /// Called with the daemons that don't answer this one's reader, or this one itself if
    /// it is a reader, whenever they are others.
    void on_unreachable(std::function<void(std::set<std::string>)> action)
    {
        m_on_unreachable = std::move(action);
    }

    /// Called when the log may have lost records of suspects.
    void on_suspects_lost(std::function<void()> action)
    {
        m_on_suspects_lost = std::move(action);
    }

    /// The daemon at that address did not answer this one.
    void report_lost(const std::string& peers_address);

    /// Tells the other daemons at once that this one is stopping.
    void announce_stop();

    /// This daemon stood still: what is too old by now is read again at once.
    void note_standstill();

    boost::asio::awaitable<Result<void>> write(DirectoryTopic topic,
                                               DirectoryRecord record);

    /// What this daemon says of requests under which upstreams ended is in force here at
    /// once.  Given again under one key, it says more than before.
    void take_own_suspects(const std::string& key, const SuspectRecord& record);
    /// The directory has acknowledged the record of that key.
    void note_suspects_written(const std::string& key);
    /// Records whose keys begin with `prefix`, to be written again: the log lost them.
    std::vector<DirectoryRecord> lost_suspects(std::string_view prefix) const;
    /// The same of all daemons; none if another one looks after them.
    std::vector<DirectoryRecord> lost_suspects_of_all() const;
    /// Keys that this daemon is to delete from the directory; none if another one is.
    std::vector<std::string> outdated_suspects(std::size_t most) const;

private:
    /// How long a reader's answer may take to begin, beyond the time that it is held.
    static constexpr Micros kReaderWaitLimit = 300 * kMillisecond;

    boost::asio::awaitable<void> publish_own();
    boost::asio::awaitable<bool> publish_once();
    DaemonRecord own_record();
    /// Asks daemons that the settings name whom to ask.
    boost::asio::awaitable<void> join();
    boost::asio::awaitable<std::optional<DirectoryReferral>> own_referral();
    boost::asio::awaitable<std::optional<DirectoryReferral>>
    ask_peer(std::string feed_address, Micros connect_limit);
    boost::asio::awaitable<bool> ask_referral(std::string feed_address,
                                              Micros connect_limit);
    std::vector<std::string> feeds_of_peers() const;
    boost::asio::awaitable<void> report_calls();

    // One loop for each topic asks the directory; one more asks the reader of the hall.
    boost::asio::awaitable<void> follow(DirectoryTopic topic);
    boost::asio::awaitable<void> follow_reader();
    boost::asio::awaitable<Result<void>> list(DirectoryTopic topic);
    boost::asio::awaitable<Result<DirectoryPage>> list_page(DirectoryTopic topic,
                                                            std::string after);
    boost::asio::awaitable<Result<void>> read(DirectoryTopic topic);
    FeedQuery reader_query() const;
    /// The first question waits for news, the next one is answered at once.
    boost::asio::awaitable<Result<FeedAnswer>> ask_reader(const DaemonRecord& reader,
                                                          bool is_first);
    /// After a question to the reader that was not answered.
    bool may_ask_reader_again() const;
    /// `limits`: by when connection and answer must have come.
    boost::asio::awaitable<Result<FeedAnswer>> ask_feed(std::string feed_address,
                                                        std::string who, FeedQuery query,
                                                        CallOptions limits);
    boost::asio::awaitable<void> tell_lost(DaemonRecord reader, std::string peers_address);
    boost::asio::awaitable<void> check_peer(std::string peers_address);
    boost::asio::awaitable<bool> gives_sign(std::string peers_address);
    void note_unreachable(const UnreachableList& list);
    /// What another daemon says of the log's generation.
    void receive_generation(LogGeneration told);
    /// The log came back from an older copy: lists, and writes again what it may have lost.
    void recover_from_restore(std::string_view told_by);
    boost::asio::awaitable<void> trust_later(std::string peers_address);
    boost::asio::awaitable<void> pause(Micros time);

    DirectorySource source() const;
    /// The reader's answer is late or arriving, so it can't have told what is new.
    bool is_reader_at_work() const
    {
        return m_reader_watch && m_reader_watch->is_at_work();
    }
    void note_source(const DirectorySource& from);
    void suspect_reader(const DaemonRecord& reader, std::string_view why);
    void note_page(DirectoryTopic topic, Offset from, const DirectoryPage& page,
                   Micros requested_at, Micros waited);
    void record_response(const FeedAnswer& answer, Micros requested_at);
    void note(const DirectoryChange& change);
    void note_unread(const InvalidRecord& record);
    void note_contact(bool reached);
    void bring_into_force();
    void bring_suspects_into_force();

    boost::asio::io_context& m_io;
    Kernel& m_kernel;
    DirectoryStore m_store;
    HttpClient m_peers;
    std::map<DirectoryTopic, BootTimer> m_pauses; ///< of the loops
    DirectoryView m_view;
    BootTimer m_until_publish; ///< of this daemon's record; cancelled: it may be lost
    BootTimer m_without_reader; ///< between looks whether there is a reader
    DirectoryFeedServer m_feed;
    ResolvedBundlePtr m_applied; ///< the configuration in force
    std::uint64_t m_applied_revision = 0;
    std::uint64_t m_applied_suspects = 0; ///< revision
    Micros m_taken_us = 0; ///< taken by the records that were taken last
    Evacuations m_evacuations;
    Micros m_last_contact = 0;
    Micros m_daemons_told = -1; ///< state of the daemons' records that was passed on
    bool m_reached = true;
    std::set<std::tuple<DirectoryTopic, std::string, std::string>> m_unread_logged;
    std::uint64_t m_own_sequence = 0;
    bool m_own_written = false; ///< this daemon's record lies in the directory
    std::optional<DirectoryRole> m_role;
    std::string m_asked; ///< node; empty: the directory itself
    std::shared_ptr<ReaderWatch> m_reader_watch; ///< of the last question to the reader
    std::uint64_t m_unreachable_revision = 0; ///< of the list of the daemon that was asked
    std::function<void(std::set<std::string>)> m_on_unreachable;
    std::function<void()> m_on_change;
    std::function<void()> m_on_suspects_lost;
    std::function<void(std::vector<DaemonRecord>)> m_on_daemons;
};

} // namespace cypressford

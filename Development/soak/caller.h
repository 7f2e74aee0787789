#pragma once

#include "base/random.h"
#include "http/upstream_connection.h"
#include "soak/fleet.h"
#include "soak/load.h"
#include "soak/run_ledger.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace cyclamenledge::soak {

/// Calls that crash targets, as all callers send them.
struct crashing_traffic {
    bool sent{true};
    /// Each outbreak has another crashing part of prompts.
    std::uint64_t outbreak{0};
};

/// Sends calls to entries over kept connections, one after the other, and checks each answer.
class caller {
public:
    caller(boost::asio::io_context& context, fleet& world, run_ledger& ledger, std::uint64_t number,
           std::uint64_t seed);

    /// Sends calls until told to stop, and now and then one that crashes targets.
    boost::asio::awaitable<void> run(bool const& stop, crashing_traffic const& crashing);
    /// Sends plain calls as the load says, over one connection as long as it lasts.
    boost::asio::awaitable<void> run_load(load const& wanted, bool const& stop);
    /// Asks an entry for the routes of versions that it has shown before.
    boost::asio::awaitable<void> check_configuration(std::size_t entry);

private:
    enum class route : std::uint8_t { generation, resumable, order, read };

    /// What a caller has received of a stream, over all its tries.
    struct stream_progress {
        std::uint64_t last_event{0};
        /// The software versions that have written events.
        std::set<std::string> versions;
    };

    struct exchange {
        std::size_t entry{0};
        std::string request;
        std::string path;
        /// Empty for a body that no other request has.
        std::string body;
        std::string prompt_parts;
        std::uint64_t size{0};
        /// Of a stream that is taken up again, the last event and the call that brought the first one.
        std::uint64_t last_event{0};
        std::string resumed_request;
        /// Collects what the caller receives of a stream. Not owned.
        stream_progress* progress{nullptr};
        /// The caller's connection breaks after this event. Zero for never.
        std::uint64_t breaks_after{0};
        bool plain{true};
        bool kept{false};
        call_bounds bounds;
    };

    boost::asio::awaitable<void> call(route kind, std::size_t entry);
    std::size_t choose_entry();
    /// Goes on with a stream whose connection broke, through other entries, as far as it gets.
    boost::asio::awaitable<void> take_up(exchange broken, stream_progress& progress);
    boost::asio::awaitable<void> call_crashing();
    /// Sends a generation that has only a crashing part of its prompt in common with others.
    boost::asio::awaitable<void> call_crashing_part(std::uint64_t outbreak);
    /// The parts of a prompt: one of few first parts, the given middle part, and one of the request's own.
    std::string make_prompt(std::string const& middle, std::string const& request);
    boost::asio::awaitable<call_end> perform(exchange made);
    boost::asio::awaitable<call_end> read_plain(http::upstream_pointer connection, exchange made);
    boost::asio::awaitable<call_end> read_stream(http::upstream_pointer connection, exchange made);
    http::awaitable_result<http::upstream_pointer> connect(exchange& made);
    /// The status of a call for a path. Zero without an answer.
    boost::asio::awaitable<unsigned> probe(std::size_t entry, std::string path);
    std::string next_id();

    boost::asio::io_context& context_;
    fleet& world_;
    run_ledger& ledger_;
    std::uint64_t number_;
    base::random_source random_;
    std::uint64_t next_id_{1};
    /// One kept connection to each entry.
    std::map<std::size_t, http::upstream_pointer> kept_;
    std::map<std::size_t, base::time_point> used_at_;
    struct shown {
        std::uint64_t life{0};
        std::uint64_t version{0};
    };
    std::map<std::size_t, shown> shown_;
};

} // namespace cyclamenledge::soak

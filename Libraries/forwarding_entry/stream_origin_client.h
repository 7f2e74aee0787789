#pragma once

#include "forwarding/stream_origins.h"
#include "link/hub.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstddef>
#include <map>
#include <optional>
#include <string>

namespace cyclamenledge::forwarding_entry {

/// Who was asked for the software version that began a stream.
struct origin_answer {
    /// Processes that were asked. None if this one knows the version.
    std::size_t asked{0};
    /// Those of them that have not answered in time, and may know the version.
    std::size_t unanswered{0};
};

/// Finds the software version that began a stream which a caller takes up again, at any entry. The entry that passed
/// the first event on remembers the version and tells it to a few agents, which know it after the entry has ended.
class stream_origin_client {
public:
    stream_origin_client(boost::asio::io_context& context, link::hub& hub);

    /// The request has brought the first event of a stream.
    void publish(std::string const& request, std::string const& software_version);
    /// The version, if this entry knows it, also from an answer that came later than look_up waits.
    std::optional<std::string> find(std::string const& request) const;
    /// Asks the other entries and the agents unless this entry knows the version.
    boost::asio::awaitable<origin_answer> look_up(std::string request);

private:
    struct question {
        boost::asio::steady_timer timer;
        std::size_t unanswered{0};
    };

    void on_answer(wire::schema::StreamOriginT const& answer);

    boost::asio::io_context& context_;
    link::hub& hub_;
    forwarding::stream_origins origins_;
    /// By the request that the questions are about.
    std::multimap<std::string, question> questions_;
};

} // namespace cyclamenledge::forwarding_entry

#pragma once

#include "base/result.h"
#include "base/time.h"
#include "configuration/publication.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <optional>

namespace cyclamenledge::process {

/// HTTP client of the configuration service.
class configuration_client {
public:
    explicit configuration_client(boost::asio::ip::tcp::endpoint service)
        : service_(std::move(service)) {}

    /// Reads the index of the current publication. A long poll: the result is empty if the revision is still `after`
    /// when the wait has ended.
    boost::asio::awaitable<base::result<std::optional<configuration::publication_index>>>
    read_index(std::uint64_t after, base::milliseconds wait) const;
    boost::asio::awaitable<base::result<configuration::part_pointer>> read_part(std::uint64_t digest) const;

private:
    boost::asio::ip::tcp::endpoint service_;
};

} // namespace cyclamenledge::process

#pragma once

#include "base/result.h"
#include "membership/vm_view.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cyclamenledge::process {

/// Parses the VM list, {"vms":[{"name":"...","state":"live"|"leaving"}]}. Fails if any record is malformed.
base::result<std::vector<membership::vm_record>> read_vm_list(std::string_view text);

/// HTTP client of the platform's VM list. The list at target size has about 80 KB, so it is requested with the entity
/// tag of the previous response; a poll without a change then costs a few hundred bytes.
class vm_list_client {
public:
    explicit vm_list_client(boost::asio::ip::tcp::endpoint service)
        : service_(std::move(service)) {}

    /// Reads the VM list. The result is empty if the list has not changed since the last call. Calls must not overlap.
    boost::asio::awaitable<base::result<std::optional<std::vector<membership::vm_record>>>> read();

private:
    boost::asio::ip::tcp::endpoint service_;
    std::string entity_tag_;
};

} // namespace cyclamenledge::process

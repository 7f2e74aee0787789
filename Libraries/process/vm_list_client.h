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

/// Reads the VM list strictly: {"vms":[{"name":"...","state":"live"|"leaving"}]}.
base::result<std::vector<membership::vm_record>> read_vm_list(std::string_view text);

/// Reads the platform's list of VMs. The list of the target size has about 80 KB, so it is requested with the entity
/// tag of the last one; polls without a change then cost a few hundred bytes.
class vm_list_client {
public:
    explicit vm_list_client(boost::asio::ip::tcp::endpoint service)
        : service_(std::move(service)) {}

    /// Empty if the list has not changed since the last call. Calls must not overlap.
    boost::asio::awaitable<base::result<std::optional<std::vector<membership::vm_record>>>> read();

private:
    boost::asio::ip::tcp::endpoint service_;
    std::string entity_tag_;
};

} // namespace cyclamenledge::process

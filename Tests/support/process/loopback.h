#pragma once

#include <cstdint>
#include <string>

namespace cyclamenledge::tests::process {

/// Gives free loopback addresses 127.FAMILY.x.y. Each folder of process tests has its own family, and x.y depend on the
/// test process, so that tests that run at the same time do not meet.
class loopback {
public:
    explicit loopback(std::uint8_t family);

    /// A free address as IP:PORT. The port is below the range that the kernel gives to outgoing connections.
    std::string next();

private:
    std::string host_;
    std::uint16_t port_;
};

} // namespace cyclamenledge::tests::process

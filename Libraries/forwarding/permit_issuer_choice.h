#pragma once

#include <span>
#include <string>
#include <string_view>

namespace cyclamenledge::forwarding {

/// Chooses the engine whose agent issues the permits of a target, by rendezvous hashing over the engines that the store
/// lists. Entries with the same listing choose the same agent, whichever agents they reach, so that a partition does
/// not give the target two issuers. Returns an empty text without engines.
std::string_view choose_permit_issuer(std::string_view target, std::span<std::string const> engine_addresses);

} // namespace cyclamenledge::forwarding

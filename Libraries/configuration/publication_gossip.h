#pragma once

#include "base/time.h"
#include "configuration/part_fetch.h"
#include "configuration/publication.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace cyclamenledge::configuration {

/// Number of peers that receive an offer as soon as a publication is active. The other peers receive it if their next
/// heartbeat shows that they still lack it. With offers to all peers at once, the watchers uploaded 11 copies of each
/// part.
inline constexpr std::size_t initial_offer_count = 4;
/// Time after which an offer is repeated while the peer's heartbeats still carry an older revision.
inline constexpr base::seconds offer_interval{1};
/// A part that has not been received after this time is requested from another source. A round trip between regions
/// takes 40 ms.
inline constexpr base::milliseconds part_timeout{500};
/// Largest number of part requests without a response.
inline constexpr std::size_t maximum_parallel_part_requests = 4;
/// Source name of the configuration service. No process has an empty name.
inline constexpr std::string_view service_source{};

/// Content of the message configuration_offer.
struct offer_message {
    publication_index index;
};

/// Content of the message configuration_request.
struct part_request {
    std::uint64_t digest{0};
};

/// Content of the message configuration_document. `content` is null if the sender doesn't have the part.
struct part_response {
    std::uint64_t digest{0};
    part_pointer content;
};

using gossip_content = std::variant<offer_message, part_request, part_response>;

struct gossip_message {
    std::string peer;
    gossip_content content;
};

struct gossip_settings {
    /// Smallest interval between part reads from the configuration service while no revision is active. At target size,
    /// 1,700 agents without peers would otherwise exceed the call rate that the service allows; entries need no limit.
    base::duration service_part_interval{0};
};

/// Mechanisms that mutation checks in tests disable. All are enabled in production.
struct gossip_switches {
    bool repeat_offers{true};
    bool reuse_held_parts{true};
    bool limit_initial_offers{true};
};

struct gossip_counters {
    std::uint64_t parts_received{0};
    std::uint64_t damaged_parts{0};
    /// Indexes whose joined parts did not match the digest of the index.
    std::uint64_t damaged_indexes{0};
    std::uint64_t unrequested_parts{0};
    std::uint64_t timeouts{0};
};

/// Gossip protocol for publications: offers the active revision to peers, fetches the missing parts of the newest
/// revision that was offered, and sends parts to peers on request.
class publication_gossip {
public:
    explicit publication_gossip(gossip_settings settings = {}, gossip_switches switches = {});

    void connect(std::string_view peer, base::time_point now);
    void disconnect(std::string_view peer, base::time_point now);
    /// Records the active revision that a peer's heartbeat carries, and repeats the offer if it is due.
    void on_peer_revision(std::string_view peer, std::uint64_t revision, base::time_point now);
    /// Handles a message of a peer, or an index or part that was read from the configuration service, whose peer name
    /// is service_source.
    void receive(std::string_view peer, gossip_content const& content, base::time_point now);
    /// Times out part requests and sends new ones.
    void tick(base::time_point now);

    /// Returns the publication to validate once all of its parts have been received. The caller reports the result with
    /// on_applied() or on_rejected().
    std::optional<publication> take_completed_publication();
    /// Makes a publication from any source active and offers it to the connected peers that lack it.
    void on_applied(publication applied, base::time_point now);
    /// Marks a publication as invalid, so that it is not fetched again.
    void on_rejected(publication_index const& index, base::time_point now);

    std::vector<gossip_message> take_outgoing_messages() { return std::exchange(messages_, {}); }
    std::uint64_t revision() const { return active_.index.revision; }
    gossip_counters const& counters() const { return counters_; }

private:
    struct peer_state {
        /// The highest revision that the peer has offered or reported in a heartbeat.
        std::uint64_t revision{0};
        std::optional<publication_index> offered{};
        std::optional<base::time_point> last_offer{};
    };

    void receive_offer(std::string_view peer, publication_index const& index, base::time_point now);
    void answer_part_request(std::string_view peer, part_request const& request);
    void receive_part(std::string_view peer, part_response const& answer, base::time_point now);
    void send_initial_offers(base::time_point now);
    void discard_damaged_index(publication_index const& index);
    void send_offer(std::string_view peer, peer_state& state, base::time_point now);
    bool needs_fetch(publication_index const& index) const;
    publication_index const* newest_offer() const;
    void choose_fetch(base::time_point now);
    void begin_fetch(publication_index const& index);
    void request_parts(base::time_point now);
    std::optional<std::string> choose_source(base::time_point now);

    gossip_settings settings_;
    gossip_switches switches_;
    publication active_;
    std::map<std::string, peer_state, std::less<>> peers_;
    std::optional<publication_index> service_index_;
    std::optional<part_fetch> fetch_;
    /// Digests of invalid publications that are newer than the active one, with their revisions.
    std::map<std::uint64_t, std::uint64_t> rejected_;
    base::time_point next_service_part_{};
    std::vector<gossip_message> messages_;
    gossip_counters counters_;
};

} // namespace cyclamenledge::configuration

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

/// Peers that are offered a publication at once. The others are offered it if their next heartbeat shows that they
/// still lack it. Offers to all peers at once made the watchers upload 11 copies of each part.
inline constexpr std::size_t first_offers = 4;
/// An offer is repeated after this time while the peer's heartbeats still carry an older revision.
inline constexpr base::seconds offer_interval{1};
/// A part that has not come after this time is requested from another source. A round trip between regions is 40 ms.
inline constexpr base::milliseconds part_timeout{500};
/// Parts requested at the same time.
inline constexpr std::size_t parallel_parts = 4;
/// Name under which the configuration service is a source of parts. No process has an empty name.
inline constexpr std::string_view service_source{};

/// Contents of configuration_offer.
struct offer_message {
    publication_index index;
};

/// Contents of configuration_request.
struct part_request {
    std::uint64_t digest{0};
};

/// Contents of configuration_document. Null if the sender doesn't hold the part.
struct part_answer {
    std::uint64_t digest{0};
    part_pointer content;
};

using spread_content = std::variant<offer_message, part_request, part_answer>;

struct spread_message {
    std::string peer;
    spread_content content;
};

struct spread_settings {
    /// Shortest time between parts read from the configuration service while no revision is in force. At target size
    /// 1,700 agents without peers would otherwise exceed the calls that the service allows; entries need no pause.
    base::duration service_part_interval{0};
};

/// Mechanisms that only mutation checks in tests switch off.
struct spread_switches {
    bool repeat_offers{true};
    bool reuse_held_parts{true};
    bool limit_first_offers{true};
};

struct spread_counters {
    std::uint64_t parts_received{0};
    std::uint64_t damaged_parts{0};
    /// Indexes whose parts didn't add up to the stated digest.
    std::uint64_t damaged_indexes{0};
    std::uint64_t unrequested_parts{0};
    std::uint64_t timeouts{0};
};

/// Disseminates publications between peers: offers the revision in force, fetches missing parts of the newest one
/// that was offered, and serves parts to peers.
class spread {
public:
    explicit spread(spread_settings settings = {}, spread_switches switches = {});

    void connect(std::string_view peer, base::time_point now);
    void disconnect(std::string_view peer, base::time_point now);
    /// A heartbeat of a peer carries its revision in force.
    void on_peer_revision(std::string_view peer, std::uint64_t revision, base::time_point now);
    /// A message of a peer, or an index or part read from the configuration service under service_source.
    void receive(std::string_view peer, spread_content const& content, base::time_point now);
    void tick(base::time_point now);

    /// The publication to validate, once every part is here. Answer with on_applied() or on_rejected().
    std::optional<publication> take_complete();
    /// A publication is in force, from whichever source. It is then offered to every connected peer that lacks it.
    void on_applied(publication applied, base::time_point now);
    /// A publication is invalid and is not fetched again.
    void on_rejected(publication_index const& index, base::time_point now);

    std::vector<spread_message> take_messages() { return std::exchange(messages_, {}); }
    std::uint64_t revision() const { return in_force_.index.revision; }
    spread_counters const& counters() const { return counters_; }

private:
    struct peer_state {
        /// The highest revision that the peer is known to have.
        std::uint64_t revision{0};
        std::optional<publication_index> offered{};
        std::optional<base::time_point> last_offer{};
    };

    void receive_offer(std::string_view peer, publication_index const& index, base::time_point now);
    void serve(std::string_view peer, part_request const& request);
    void receive_part(std::string_view peer, part_answer const& answer, base::time_point now);
    void offer_to_first_peers(base::time_point now);
    void forget_offers(publication_index const& index);
    void offer_to(std::string_view peer, peer_state& state, base::time_point now);
    bool wanted(publication_index const& index) const;
    publication_index const* newest_offer() const;
    void choose_fetch(base::time_point now);
    void start_fetch(publication_index const& index);
    void request_parts(base::time_point now);
    std::optional<std::string> choose_source(base::time_point now);

    spread_settings settings_;
    spread_switches switches_;
    publication in_force_;
    std::map<std::string, peer_state, std::less<>> peers_;
    std::optional<publication_index> service_index_;
    std::optional<part_fetch> fetch_;
    /// Digests of invalid publications that are newer than the one in force, with their revisions.
    std::map<std::uint64_t, std::uint64_t> rejected_;
    base::time_point next_service_part_{};
    std::vector<spread_message> messages_;
    spread_counters counters_;
};

} // namespace cyclamenledge::configuration

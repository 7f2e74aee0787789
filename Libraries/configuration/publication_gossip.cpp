#include "configuration/publication_gossip.h"

#include "base/hash.h"

#include <algorithm>

namespace cyclamenledge::configuration {

publication_gossip::publication_gossip(gossip_settings settings, gossip_switches switches)
    : settings_(settings)
    , switches_(switches) {}

void publication_gossip::connect(std::string_view peer, base::time_point now) {
    auto& state = peers_[std::string{peer}];
    state = {};
    send_offer(peer, state, now);
}

void publication_gossip::disconnect(std::string_view peer, base::time_point now) {
    if (auto const found = peers_.find(peer); found != peers_.end())
        peers_.erase(found);
    if (!fetch_)
        return;
    std::erase_if(fetch_->requests, [&](auto const& request) { return request.second.source == peer; });
    choose_fetch(now);
}

void publication_gossip::on_peer_revision(std::string_view peer, std::uint64_t revision, base::time_point now) {
    auto const found = peers_.find(peer);
    if (found == peers_.end())
        return;
    found->second.revision = std::max(found->second.revision, revision);
    auto const offer_due = !found->second.last_offer || now - *found->second.last_offer >= offer_interval;
    if (offer_due && switches_.repeat_offers)
        send_offer(peer, found->second, now);
}

void publication_gossip::receive(std::string_view peer, gossip_content const& content, base::time_point now) {
    if (auto const* offer = std::get_if<offer_message>(&content))
        receive_offer(peer, offer->index, now);
    else if (auto const* request = std::get_if<part_request>(&content))
        answer_part_request(peer, *request);
    else
        receive_part(peer, std::get<part_response>(content), now);
}

void publication_gossip::tick(base::time_point now) {
    if (!fetch_)
        return;
    for (auto request = fetch_->requests.begin(); request != fetch_->requests.end();) {
        if (now < request->second.deadline) {
            ++request;
            continue;
        }
        ++counters_.timeouts;
        fetch_->failed_sources.insert(request->second.source);
        request = fetch_->requests.erase(request);
    }
    choose_fetch(now);
}

void publication_gossip::receive_offer(std::string_view peer, publication_index const& index, base::time_point now) {
    if (peer == service_source) {
        if (!service_index_ || index.revision >= service_index_->revision)
            service_index_ = index;
    } else if (auto const found = peers_.find(peer); found != peers_.end()) {
        found->second.revision = std::max(found->second.revision, index.revision);
        found->second.offered = index;
        // A peer that has started with an old revision from a stale service receives the newer one at once.
        if (index.revision < revision())
            send_offer(peer, found->second, now);
    }
    // A repeated offer shows that the source is reachable again.
    if (fetch_)
        fetch_->failed_sources.erase(std::string{peer});
    choose_fetch(now);
}

void publication_gossip::answer_part_request(std::string_view peer, part_request const& request) {
    auto const held =
        std::ranges::find_if(active_.parts, [&](auto const& piece) { return piece->digest() == request.digest; });
    messages_.push_back(
        {std::string{peer}, part_response{request.digest, held == active_.parts.end() ? nullptr : *held}});
}

void publication_gossip::receive_part(std::string_view peer, part_response const& answer, base::time_point now) {
    if (!fetch_ || !fetch_->requests.contains(answer.digest)) {
        ++counters_.unrequested_parts;
        return;
    }
    auto const request = fetch_->requests.find(answer.digest);
    // A late response of an earlier source is accepted as well, because the digest identifies the part.
    if (answer.content && answer.content->digest() == answer.digest) {
        ++counters_.parts_received;
        fetch_->requests.erase(request);
        fetch_->parts[answer.digest] = answer.content;
    } else if (request->second.source == peer) {
        counters_.damaged_parts += answer.content ? 1 : 0;
        fetch_->requests.erase(request);
        fetch_->failed_sources.insert(std::string{peer});
    }
    request_parts(now);
}

std::optional<publication> publication_gossip::take_completed_publication() {
    if (!fetch_ || fetch_->complete || !fetch_->requests.empty())
        return std::nullopt;
    publication result;
    result.index = fetch_->index;
    for (auto const digest : fetch_->index.parts) {
        auto const held = fetch_->parts.find(digest);
        if (held == fetch_->parts.end())
            return std::nullopt;
        result.parts.push_back(held->second);
    }
    if (!join_parts(result.index, result.parts)) {
        discard_damaged_index(result.index);
        return std::nullopt;
    }
    fetch_->complete = true;
    return result;
}

void publication_gossip::discard_damaged_index(publication_index const& index) {
    ++counters_.damaged_indexes;
    auto const discard = [&](std::optional<publication_index>& offered) {
        if (offered == index)
            offered.reset();
    };
    discard(service_index_);
    for (auto& [peer, state] : peers_)
        discard(state.offered);
    fetch_.reset();
}

void publication_gossip::on_applied(publication applied, base::time_point now) {
    if (applied.index.revision <= revision())
        return;
    active_ = std::move(applied);
    std::erase_if(rejected_, [&](auto const& rejection) { return rejection.second <= revision(); });
    if (fetch_ && fetch_->index.revision <= revision())
        fetch_.reset();
    send_initial_offers(now);
    choose_fetch(now);
}

void publication_gossip::send_initial_offers(base::time_point now) {
    // The order depends on the revision, so that not always the same peers are first.
    auto const key = std::to_string(revision());
    std::vector<std::pair<std::uint64_t, std::string_view>> ranked;
    for (auto const& [peer, state] : peers_) {
        if (state.revision < revision())
            ranked.emplace_back(base::rendezvous_score(key, peer), peer);
    }
    std::ranges::sort(ranked);
    if (ranked.size() > initial_offer_count && switches_.limit_initial_offers)
        ranked.resize(initial_offer_count);
    for (auto const& [score, peer] : ranked)
        send_offer(peer, peers_.find(peer)->second, now);
}

void publication_gossip::on_rejected(publication_index const& index, base::time_point now) {
    rejected_.emplace(index.digest, index.revision);
    if (fetch_ && fetch_->index.digest == index.digest)
        fetch_.reset();
    choose_fetch(now);
}

void publication_gossip::send_offer(std::string_view peer, peer_state& state, base::time_point now) {
    if (state.revision >= revision())
        return;
    state.last_offer = now;
    messages_.push_back({std::string{peer}, offer_message{active_.index}});
}

bool publication_gossip::needs_fetch(publication_index const& index) const {
    return index.revision > revision() && !rejected_.contains(index.digest);
}

publication_index const* publication_gossip::newest_offer() const {
    publication_index const* newest = nullptr;
    auto const consider = [&](std::optional<publication_index> const& offered) {
        if (!offered || !needs_fetch(*offered))
            return;
        if (newest == nullptr || offered->revision > newest->revision ||
            (offered->revision == newest->revision && offered->digest < newest->digest))
            newest = &*offered;
    };
    consider(service_index_);
    for (auto const& [peer, state] : peers_)
        consider(state.offered);
    return newest;
}

void publication_gossip::choose_fetch(base::time_point now) {
    auto const* newest = newest_offer();
    if (newest == nullptr) {
        fetch_.reset();
        return;
    }
    if (!fetch_ || *newest != fetch_->index)
        begin_fetch(*newest);
    request_parts(now);
}

void publication_gossip::begin_fetch(publication_index const& index) {
    std::map<std::uint64_t, part_pointer> held;
    if (fetch_)
        held = std::move(fetch_->parts);
    for (auto const& piece : active_.parts)
        held.emplace(piece->digest(), piece);
    if (!switches_.reuse_held_parts)
        held.clear();
    fetch_.emplace();
    fetch_->index = index;
    for (auto const digest : index.parts) {
        if (auto const found = held.find(digest); found != held.end())
            fetch_->parts.insert(*found);
    }
}

void publication_gossip::request_parts(base::time_point now) {
    for (auto const digest : fetch_->index.parts) {
        if (fetch_->requests.size() >= maximum_parallel_part_requests)
            return;
        if (fetch_->parts.contains(digest) || fetch_->requests.contains(digest))
            continue;
        auto source = choose_source(now);
        if (!source)
            return;
        messages_.push_back({*source, part_request{digest}});
        fetch_->requests.emplace(digest, pending_part_request{std::move(*source), now + part_timeout});
    }
}

std::optional<std::string> publication_gossip::choose_source(base::time_point now) {
    auto const requests_at = [&](std::string_view source) {
        return std::ranges::count_if(fetch_->requests,
                                     [&](auto const& request) { return request.second.source == source; });
    };
    auto const offers_fetched_index = [&](std::optional<publication_index> const& offered) {
        return offered == fetch_->index;
    };
    // Chooses the peer with the fewest pending requests, so that a full transfer doesn't load one peer alone.
    std::optional<std::string> least_loaded;
    bool any_offer = false;
    for (auto const& [peer, state] : peers_) {
        if (!offers_fetched_index(state.offered))
            continue;
        any_offer = true;
        if (!fetch_->failed_sources.contains(peer) && (!least_loaded || requests_at(peer) < requests_at(*least_loaded)))
            least_loaded = peer;
    }
    if (least_loaded)
        return least_loaded;
    if (offers_fetched_index(service_index_) && !fetch_->failed_sources.contains(service_source)) {
        auto const rate_limited = active_.index.revision == 0;
        if (rate_limited && now < next_service_part_)
            return std::nullopt;
        next_service_part_ = now + settings_.service_part_interval;
        return std::string{service_source};
    }
    // Every source has failed; the next tick retries them.
    if (any_offer || offers_fetched_index(service_index_))
        fetch_->failed_sources.clear();
    return std::nullopt;
}

} // namespace cyclamenledge::configuration

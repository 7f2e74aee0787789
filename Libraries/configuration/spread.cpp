#include "configuration/spread.h"

#include "base/hash.h"

#include <algorithm>

namespace cyclamenledge::configuration {

spread::spread(spread_settings settings, spread_switches switches)
    : settings_(settings)
    , switches_(switches) {}

void spread::connect(std::string_view peer, base::time_point now) {
    auto& state = peers_[std::string{peer}];
    state = {};
    offer_to(peer, state, now);
}

void spread::disconnect(std::string_view peer, base::time_point now) {
    if (auto const known = peers_.find(peer); known != peers_.end())
        peers_.erase(known);
    if (!fetch_)
        return;
    std::erase_if(fetch_->requests, [&](auto const& request) { return request.second.source == peer; });
    choose_fetch(now);
}

void spread::on_peer_revision(std::string_view peer, std::uint64_t revision, base::time_point now) {
    auto const known = peers_.find(peer);
    if (known == peers_.end())
        return;
    known->second.revision = std::max(known->second.revision, revision);
    auto const due = !known->second.last_offer || now - *known->second.last_offer >= offer_interval;
    if (due && switches_.repeat_offers)
        offer_to(peer, known->second, now);
}

void spread::receive(std::string_view peer, spread_content const& content, base::time_point now) {
    if (auto const* offer = std::get_if<offer_message>(&content))
        receive_offer(peer, offer->index, now);
    else if (auto const* request = std::get_if<part_request>(&content))
        serve(peer, *request);
    else
        receive_part(peer, std::get<part_answer>(content), now);
}

void spread::tick(base::time_point now) {
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

void spread::receive_offer(std::string_view peer, publication_index const& index, base::time_point now) {
    if (peer == service_source) {
        if (!service_index_ || index.revision >= service_index_->revision)
            service_index_ = index;
    } else if (auto const known = peers_.find(peer); known != peers_.end()) {
        known->second.revision = std::max(known->second.revision, index.revision);
        known->second.offered = index;
        // A peer that starts with an old revision from a stale service learns at once that there is a newer one.
        if (index.revision < revision())
            offer_to(peer, known->second, now);
    }
    // A repeated offer shows that the source answers again.
    if (fetch_)
        fetch_->failed_sources.erase(std::string{peer});
    choose_fetch(now);
}

void spread::serve(std::string_view peer, part_request const& request) {
    auto const held =
        std::ranges::find_if(in_force_.parts, [&](auto const& piece) { return piece->digest() == request.digest; });
    messages_.push_back(
        {std::string{peer}, part_answer{request.digest, held == in_force_.parts.end() ? nullptr : *held}});
}

void spread::receive_part(std::string_view peer, part_answer const& answer, base::time_point now) {
    if (!fetch_ || !fetch_->requests.contains(answer.digest)) {
        ++counters_.unrequested_parts;
        return;
    }
    auto const request = fetch_->requests.find(answer.digest);
    // The answer of an earlier source is as good as that of the present one, because the digest identifies the part.
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

std::optional<publication> spread::take_complete() {
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
    if (!join(result.index, result.parts)) {
        forget_offers(result.index);
        return std::nullopt;
    }
    fetch_->complete = true;
    return result;
}

void spread::forget_offers(publication_index const& index) {
    ++counters_.damaged_indexes;
    auto const forget = [&](std::optional<publication_index>& offered) {
        if (offered == index)
            offered.reset();
    };
    forget(service_index_);
    for (auto& [peer, state] : peers_)
        forget(state.offered);
    fetch_.reset();
}

void spread::on_applied(publication applied, base::time_point now) {
    if (applied.index.revision <= revision())
        return;
    in_force_ = std::move(applied);
    std::erase_if(rejected_, [&](auto const& known) { return known.second <= revision(); });
    if (fetch_ && fetch_->index.revision <= revision())
        fetch_.reset();
    offer_to_first_peers(now);
    choose_fetch(now);
}

void spread::offer_to_first_peers(base::time_point now) {
    // The order differs between revisions, so that the same peers don't always come first.
    auto const key = std::to_string(revision());
    std::vector<std::pair<std::uint64_t, std::string_view>> ranked;
    for (auto const& [peer, state] : peers_) {
        if (state.revision < revision())
            ranked.emplace_back(base::rendezvous_score(key, peer), peer);
    }
    std::ranges::sort(ranked);
    if (ranked.size() > first_offers && switches_.limit_first_offers)
        ranked.resize(first_offers);
    for (auto const& [score, peer] : ranked)
        offer_to(peer, peers_.find(peer)->second, now);
}

void spread::on_rejected(publication_index const& index, base::time_point now) {
    rejected_.emplace(index.digest, index.revision);
    if (fetch_ && fetch_->index.digest == index.digest)
        fetch_.reset();
    choose_fetch(now);
}

void spread::offer_to(std::string_view peer, peer_state& state, base::time_point now) {
    if (state.revision >= revision())
        return;
    state.last_offer = now;
    messages_.push_back({std::string{peer}, offer_message{in_force_.index}});
}

bool spread::wanted(publication_index const& index) const {
    return index.revision > revision() && !rejected_.contains(index.digest);
}

publication_index const* spread::newest_offer() const {
    publication_index const* best = nullptr;
    auto const consider = [&](std::optional<publication_index> const& offered) {
        if (!offered || !wanted(*offered))
            return;
        if (best == nullptr || offered->revision > best->revision ||
            (offered->revision == best->revision && offered->digest < best->digest))
            best = &*offered;
    };
    consider(service_index_);
    for (auto const& [peer, state] : peers_)
        consider(state.offered);
    return best;
}

void spread::choose_fetch(base::time_point now) {
    auto const* newest = newest_offer();
    if (newest == nullptr) {
        fetch_.reset();
        return;
    }
    if (!fetch_ || *newest != fetch_->index)
        start_fetch(*newest);
    request_parts(now);
}

void spread::start_fetch(publication_index const& index) {
    std::map<std::uint64_t, part_pointer> held;
    if (fetch_)
        held = std::move(fetch_->parts);
    for (auto const& piece : in_force_.parts)
        held.emplace(piece->digest(), piece);
    if (!switches_.reuse_held_parts)
        held.clear();
    fetch_.emplace();
    fetch_->index = index;
    for (auto const digest : index.parts) {
        if (auto const known = held.find(digest); known != held.end())
            fetch_->parts.insert(*known);
    }
}

void spread::request_parts(base::time_point now) {
    for (auto const digest : fetch_->index.parts) {
        if (fetch_->requests.size() >= parallel_parts)
            return;
        if (fetch_->parts.contains(digest) || fetch_->requests.contains(digest))
            continue;
        auto source = choose_source(now);
        if (!source)
            return;
        messages_.push_back({*source, part_request{digest}});
        fetch_->requests.emplace(digest, open_part_request{std::move(*source), now + part_timeout});
    }
}

std::optional<std::string> spread::choose_source(base::time_point now) {
    auto const requests_at = [&](std::string_view source) {
        return std::ranges::count_if(fetch_->requests,
                                     [&](auto const& request) { return request.second.source == source; });
    };
    auto const has_it = [&](std::optional<publication_index> const& offered) { return offered == fetch_->index; };
    // The source with the fewest open requests, so that a full transfer doesn't load one peer alone.
    std::optional<std::string> best;
    bool any_offer = false;
    for (auto const& [peer, state] : peers_) {
        if (!has_it(state.offered))
            continue;
        any_offer = true;
        if (!fetch_->failed_sources.contains(peer) && (!best || requests_at(peer) < requests_at(*best)))
            best = peer;
    }
    if (best)
        return best;
    if (has_it(service_index_) && !fetch_->failed_sources.contains(service_source)) {
        auto const paced = in_force_.index.revision == 0;
        if (paced && now < next_service_part_)
            return std::nullopt;
        next_service_part_ = now + settings_.service_part_interval;
        return std::string{service_source};
    }
    // Every source has failed once; the next tick tries them again.
    if (any_offer || has_it(service_index_))
        fetch_->failed_sources.clear();
    return std::nullopt;
}

} // namespace cyclamenledge::configuration

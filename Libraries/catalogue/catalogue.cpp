#include "catalogue/catalogue.h"

#include "base/constant_time.h"

namespace cyclamenledge::catalogue {

namespace {

template <class Item>
Item const* look_up(std::vector<Item> const& items, std::unordered_map<std::string_view, std::size_t> const& index,
                    std::string_view name) {
    auto const found = index.find(name);
    return found == index.end() ? nullptr : &items[found->second];
}

template <class Item>
void fill(std::unordered_map<std::string_view, std::size_t>& index, std::vector<Item> const& items,
          std::string Item::*key) {
    index.reserve(items.size());
    for (std::size_t position = 0; position < items.size(); ++position)
        index.emplace(items[position].*key, position);
}

} // namespace

failure_domain const* catalogue::find_failure_domain(std::string_view name) const {
    return look_up(failure_domains_, failure_domain_index_, name);
}

service const* catalogue::find_service(std::string_view name) const {
    return look_up(services_, service_index_, name);
}

target const* catalogue::find_target(std::string_view name) const {
    return look_up(targets_, target_index_, name);
}

entry const* catalogue::find_entry(std::string_view name) const {
    return look_up(entries_, entry_index_, name);
}

service_class const* catalogue::find_service_class(std::string_view name) const {
    return look_up(service_classes_, service_class_index_, name);
}

organisation const* catalogue::find_organisation(std::string_view name) const {
    return look_up(organisations_, organisation_index_, name);
}

organisation const* catalogue::find_by_bearer_digest(std::string_view sha256_hex) const {
    auto const* found = look_up(organisations_, bearer_digest_index_, sha256_hex);
    return found != nullptr && base::equal_secrets(found->bearer_key_sha256, sha256_hex) ? found : nullptr;
}

bool catalogue::in_service(target const& candidate) const {
    auto const* domain = find_failure_domain(candidate.failure_domain);
    return candidate.state == service_state::in_service && domain != nullptr &&
           domain->state == service_state::in_service;
}

void catalogue::build_indexes() {
    fill(failure_domain_index_, failure_domains_, &failure_domain::name);
    fill(service_index_, services_, &service::name);
    fill(target_index_, targets_, &target::name);
    fill(entry_index_, entries_, &entry::name);
    fill(service_class_index_, service_classes_, &service_class::name);
    fill(organisation_index_, organisations_, &organisation::name);
    fill(bearer_digest_index_, organisations_, &organisation::bearer_key_sha256);
}

} // namespace cyclamenledge::catalogue

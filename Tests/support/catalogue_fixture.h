#pragma once

#include "catalogue/catalogue_builder.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>

namespace cyclamenledge::tests {

/// Builds a valid catalogue from the items and members that a test depends on. Members left empty get valid values,
/// unique where that is required, and items that others need are added. Values that a test sets are never changed.
/// Services are added before their targets.
class catalogue_fixture {
public:
    catalogue_fixture& revision(std::uint64_t value) {
        builder_.revision(value);
        return *this;
    }

    void add(catalogue::failure_domain item) { builder_.add(std::move(item)); }

    void add(catalogue::service item) {
        services_.emplace(item.name, item.kind);
        fill(item.owner, "owner");
        if (item.kind == catalogue::service_kind::generation) {
            fill(item.placement.model, "model");
            fill(item.placement.version, "v1");
        }
        builder_.add(std::move(item));
    }

    void add(catalogue::target item) {
        if (!services_.contains(item.service))
            add_service(item.service);
        served_.insert(item.service);
        fill_process(item.failure_domain, item.vm, item.agent_address);
        if (item.memory_tokens == 0 && services_[item.service] == catalogue::service_kind::generation)
            item.memory_tokens = 1;
        builder_.add(std::move(item));
    }

    void add(catalogue::entry item) {
        fill_process(item.failure_domain, item.vm, item.peer_address);
        builder_.add(std::move(item));
    }

    void add(catalogue::organisation item) {
        constexpr std::size_t digest_digits = 64;
        auto const number = std::to_string(++filled_);
        fill(item.owner, "owner");
        fill(item.bearer_key_sha256, std::string(digest_digits - number.size(), '0') + number);
        if (item.service_class.empty()) {
            item.service_class = filler;
            class_needed_ = true;
        }
        if (services_.empty())
            add_service(filler);
        if (item.services.empty())
            item.services.push_back(services_.begin()->first);
        builder_.add(std::move(item));
    }

    catalogue::catalogue_pointer build() {
        for (auto const& [name, kind] : services_) {
            if (served_.contains(name))
                continue;
            catalogue::target item;
            item.name = "target-of-" + name;
            item.service = name;
            add(std::move(item));
        }
        if (domain_needed_)
            builder_.add(catalogue::failure_domain{filler, "region"});
        if (class_needed_)
            builder_.add(catalogue::service_class{filler, "owner"});
        return builder_.build().value();
    }

private:
    /// Name of the items that no test has added itself.
    static constexpr char const* filler = "filler";

    static void fill(std::string& member, std::string const& value) {
        if (member.empty())
            member = value;
    }

    void add_service(std::string const& name) {
        catalogue::service item;
        item.name = name;
        add(std::move(item));
    }

    void fill_process(std::string& failure_domain, std::string& vm, std::string& address) {
        auto const number = ++filled_;
        domain_needed_ |= failure_domain.empty();
        fill(failure_domain, filler);
        fill(vm, "vm-" + std::to_string(number));
        fill(address, "10.0." + std::to_string(number / 256) + "." + std::to_string(number % 256) + ":7000");
    }

    catalogue::catalogue_builder builder_;
    std::map<std::string, catalogue::service_kind> services_;
    std::set<std::string> served_;
    std::uint32_t filled_{0};
    bool domain_needed_{false};
    bool class_needed_{false};
};

} // namespace cyclamenledge::tests

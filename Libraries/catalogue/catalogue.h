#pragma once

#include "catalogue/entry.h"
#include "catalogue/failure_domain.h"
#include "catalogue/organisation.h"
#include "catalogue/service.h"
#include "catalogue/service_class.h"
#include "catalogue/target.h"

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace cyclamenledge::catalogue {

/// One published state of everything that operators declare. It does not change after it was built by
/// catalogue_builder.
class catalogue : public boost::intrusive_ref_counter<catalogue> {
public:
    std::uint64_t revision() const { return revision_; }

    std::vector<failure_domain> const& failure_domains() const { return failure_domains_; }
    std::vector<service> const& services() const { return services_; }
    std::vector<target> const& targets() const { return targets_; }
    std::vector<entry> const& entries() const { return entries_; }
    std::vector<service_class> const& service_classes() const { return service_classes_; }
    std::vector<organisation> const& organisations() const { return organisations_; }

    /// The look-ups return null when the name is not in the catalogue.
    failure_domain const* find_failure_domain(std::string_view name) const;
    service const* find_service(std::string_view name) const;
    target const* find_target(std::string_view name) const;
    entry const* find_entry(std::string_view name) const;
    service_class const* find_service_class(std::string_view name) const;
    organisation const* find_organisation(std::string_view name) const;
    /// Finds an organisation by the digest of a bearer key, with a comparison in constant time.
    organisation const* find_by_bearer_digest(std::string_view sha256_hex) const;

    /// Whether neither the target nor its failure domain has been taken out.
    bool in_service(target const& candidate) const;

private:
    friend class catalogue_builder;
    catalogue() = default;
    void build_indexes();

    using index = std::unordered_map<std::string_view, std::size_t>;

    std::uint64_t revision_{0};
    std::vector<failure_domain> failure_domains_;
    std::vector<service> services_;
    std::vector<target> targets_;
    std::vector<entry> entries_;
    std::vector<service_class> service_classes_;
    std::vector<organisation> organisations_;
    index failure_domain_index_;
    index service_index_;
    index target_index_;
    index entry_index_;
    index service_class_index_;
    index organisation_index_;
    index bearer_digest_index_;
};

using catalogue_pointer = boost::intrusive_ptr<catalogue const>;

} // namespace cyclamenledge::catalogue

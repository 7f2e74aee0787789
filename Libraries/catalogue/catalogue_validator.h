#pragma once

#include "catalogue/catalogue.h"
#include "yaml_reader/violation.h"

#include <string_view>
#include <unordered_map>
#include <vector>

namespace cyclamenledge::catalogue {

/// Checks every rule between and within the items of a catalogue whose indexes are built. Rule set version 1.
class catalogue_validator {
public:
    explicit catalogue_validator(catalogue const& subject)
        : subject_(subject) {}

    /// All violations, in the order of the sections.
    std::vector<yaml_reader::violation> run() &&;

private:
    using path = yaml_reader::path;

    void check_unique_names();
    void check_unique_addresses();
    void check_unique_digests();
    void check_failure_domains();
    void check_services();
    void check_targets();
    void check_entries();
    void check_service_classes();
    void check_organisations();

    void check_service(service const& item, path const& at);
    void check_generation(service const& item, path const& at);
    void check_plain(service const& item, path const& at);
    void check_call_rules(service const& item, path const& at);
    void check_key_owners(service const& item, path const& at);
    void check_owner_set(service const& item, key_owner_set const& owners, path const& at);
    void check_target(target const& item, path const& at);
    void check_organisation(organisation const& item, path const& at);
    void check_branch(organisation const& branch, path const& at);
    void check_failure_domain_name(std::string_view name, path const& at);

    catalogue const& subject_;
    std::unordered_map<std::string_view, std::size_t> targets_per_service_;
    yaml_reader::violations violations_;
};

} // namespace cyclamenledge::catalogue

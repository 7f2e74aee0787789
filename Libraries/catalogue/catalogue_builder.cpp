#include "catalogue/catalogue_builder.h"

#include "catalogue/catalogue_validator.h"

#include <utility>

namespace cyclamenledge::catalogue {

catalogue_builder& catalogue_builder::revision(std::uint64_t value) {
    draft_->revision_ = value;
    return *this;
}

catalogue_builder& catalogue_builder::add(failure_domain item) {
    draft_->failure_domains_.push_back(std::move(item));
    return *this;
}

catalogue_builder& catalogue_builder::add(service item) {
    draft_->services_.push_back(std::move(item));
    return *this;
}

catalogue_builder& catalogue_builder::add(target item) {
    draft_->targets_.push_back(std::move(item));
    return *this;
}

catalogue_builder& catalogue_builder::add(entry item) {
    draft_->entries_.push_back(std::move(item));
    return *this;
}

catalogue_builder& catalogue_builder::add(service_class item) {
    draft_->service_classes_.push_back(std::move(item));
    return *this;
}

catalogue_builder& catalogue_builder::add(organisation item) {
    draft_->organisations_.push_back(std::move(item));
    return *this;
}

base::result<catalogue_pointer> catalogue_builder::build() {
    std::vector<yaml_reader::violation> violations;
    auto built = build(violations);
    if (built != nullptr)
        return built;
    auto const& first = violations.front();
    return base::make_error(base::error_kind::invalid_configuration,
                            first.path + ": found " + first.found + "; allowed: " + first.allowed);
}

catalogue_pointer catalogue_builder::build(std::vector<yaml_reader::violation>& violations) {
    auto const finished = std::exchange(draft_, boost::intrusive_ptr<catalogue>{new catalogue});
    finished->build_indexes();
    violations = catalogue_validator{*finished}.run();
    return violations.empty() ? catalogue_pointer{finished} : catalogue_pointer{};
}

} // namespace cyclamenledge::catalogue

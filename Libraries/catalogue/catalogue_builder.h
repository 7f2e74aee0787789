#pragma once

#include "base/result.h"
#include "catalogue/catalogue.h"
#include "yaml_reader/violation.h"

#include <vector>

namespace cyclamenledge::catalogue {

/// Collects the parts of a catalogue, then validates and freezes them.
class catalogue_builder {
public:
    catalogue_builder& revision(std::uint64_t value);
    catalogue_builder& add(failure_domain item);
    catalogue_builder& add(service item);
    catalogue_builder& add(target item);
    catalogue_builder& add(entry item);
    catalogue_builder& add(service_class item);
    catalogue_builder& add(organisation item);

    /// Fails with invalid_configuration that names the first offending item.
    base::result<catalogue_pointer> build();
    /// As above, with every violation; null when there is one. The builder is empty afterwards.
    catalogue_pointer build(std::vector<yaml_reader::violation>& violations);

private:
    boost::intrusive_ptr<catalogue> draft_{new catalogue};
};

} // namespace cyclamenledge::catalogue

#include "catalogue/catalogue_builder.h"
#include "catalogue/catalogue_difference.h"
#include "catalogue/catalogue_reader.h"
#include "catalogue/catalogue_review.h"
#include "yaml_reader/document.h"

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>

namespace {

void require(bool holds) {
    if (!holds)
        std::abort();
}

} // namespace

/// Stops when a finding of a valid catalogue has no place or text, or a comparison misses an item or invents one.
extern "C" int LLVMFuzzerTestOneInput(std::uint8_t const* data, std::size_t size) { // NOLINT
    using namespace cyclamenledge;
    std::string const text{reinterpret_cast<char const*>(data), size};
    auto const read = catalogue::check_catalogue(text, "fuzz");
    if (!read.value)
        return 0;
    auto const& subject = **read.value;
    yaml_reader::diagnostics errors{"fuzz"};
    auto findings = catalogue::review(subject);
    yaml_reader::locate(findings, *yaml_reader::parse_document(text, errors));
    for (auto const& item : findings)
        require(item.at.line > 0 && item.at.column > 0 && !item.path.empty() && !item.found.empty());

    require(catalogue::compare(subject, subject).empty());
    auto const empty = catalogue::catalogue_builder{}.build();
    auto const items = subject.failure_domains().size() + subject.services().size() + subject.targets().size() +
                       subject.entries().size() + subject.service_classes().size() + subject.organisations().size();
    // The revision, which is 0 for the empty catalogue, is one more difference.
    require(catalogue::compare(*empty.value(), subject).size() == items + 1);
    require(catalogue::compare(subject, *empty.value()).size() == items + 1);
    return 0;
}

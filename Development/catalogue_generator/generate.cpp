#include "generate.h"

#include "base/random.h"

#include <ostream>
#include <sstream>

namespace cyclamenledge::development {

namespace {

/// One in this many organisations is a head office; the others are its branches.
constexpr std::uint32_t offices_per_group = 7;

std::string digest(base::random_source& random) {
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    for (int position = 0; position < 64; ++position)
        text += digits[random.below(16)];
    return text;
}

std::string address(std::uint32_t number, std::uint32_t port) {
    return "\"10." + std::to_string(number / 65536) + "." + std::to_string(number / 256 % 256) + "." +
           std::to_string(number % 256) + ":" + std::to_string(port) + "\"";
}

void write_targets(std::ostream& out, catalogue_size const& size, base::random_source& random) {
    out << "targets:\n";
    for (std::uint32_t number = 0; number < size.targets; ++number) {
        out << "  - name: target-" << number << "\n    service: service-" << number % size.services
            << "\n    failure_domain: domain-" << random.below(size.failure_domains) << "\n    vm: vm-target-" << number
            << "\n    agent_address: " << address(number, 9000)
            << "\n    fencing: checked\n    memory_tokens: 120000\n    maximum_running: 48\n    warmup_floor: 2\n";
    }
}

void write_entries(std::ostream& out, catalogue_size const& size, base::random_source& random) {
    out << "entries:\n";
    for (std::uint32_t number = 0; number < size.entries; ++number) {
        out << "  - name: entry-" << number << "\n    failure_domain: domain-" << random.below(size.failure_domains)
            << "\n    vm: vm-entry-" << number << "\n    peer_address: " << address(number, 9100) << "\n";
    }
}

void write_organisations(std::ostream& out, catalogue_size const& size, base::random_source& random) {
    out << "organisations:\n";
    for (std::uint32_t number = 0; number < size.organisations; ++number) {
        auto const head = number - number % offices_per_group;
        bool const branch = number != head;
        out << "  - name: organisation-" << number << "\n    owner: sales\n";
        if (branch)
            out << "    head_office: organisation-" << head << "\n    stretch: 0.5\n";
        out << "    service_class: interactive\n    bearer_key_sha256: \"" << digest(random)
            << "\"\n    services: [service-" << random.below(size.services)
            << "]\n    limits: {requests_per_second: " << (branch ? 1 : 10) + random.below(9)
            << ", concurrent_requests: " << (branch ? 10 : 100) << ", tokens_per_second: " << (branch ? 300 : 3000)
            << "}\n";
    }
}

} // namespace

std::string generate_catalogue(catalogue_size const& size, std::uint64_t seed) {
    base::random_source random{seed};
    std::ostringstream out;
    out << "rules: 1\nrevision: 1\nfailure_domains:\n";
    for (std::uint32_t number = 0; number < size.failure_domains; ++number)
        out << "  - {name: domain-" << number << ", region: region-" << number % size.regions << "}\n";
    out << "services:\n";
    for (std::uint32_t number = 0; number < size.services; ++number) {
        out << "  - name: service-" << number
            << "\n    owner: text\n    kind: generation\n    placement: {model: model-" << number
            << ", version: \"1\", minimum_warm: 1}\n";
    }
    write_targets(out, size, random);
    write_entries(out, size, random);
    out << "service_classes:\n  - {name: interactive, owner: text, goal: token_gap}\n";
    write_organisations(out, size, random);
    return out.str();
}

} // namespace cyclamenledge::development

#include "limits/home_entry.h"

#include "base/hash.h"

namespace cyclamenledge::limits {

std::string_view head_office_of(catalogue::organisation const& member) {
    return member.head_office.empty() ? std::string_view{member.name} : std::string_view{member.head_office};
}

std::string_view home_entry(catalogue::catalogue const& published, catalogue::organisation const& member) {
    auto const seed = base::hash_text(head_office_of(member));
    std::string_view best;
    std::uint64_t best_score = 0;
    for (auto const& candidate : published.entries()) {
        auto const score = base::hash_text(candidate.name, seed);
        if (best.empty() || score > best_score || (score == best_score && candidate.name < best)) {
            best = candidate.name;
            best_score = score;
        }
    }
    return best;
}

} // namespace cyclamenledge::limits

#include "http/answer_framing.h"

#include "base/name_table.h"

namespace cyclamenledge::http {

namespace {

constexpr base::name_table<answer_framing, answer_framing_count> names{
    base::make_names({"unknown", "length", "chunks", "connection_end"})};

} // namespace

std::string_view name_of(answer_framing framing) {
    return names.name(framing);
}

} // namespace cyclamenledge::http

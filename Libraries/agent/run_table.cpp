#include "agent/run_table.h"

namespace cyclamenledge::agent {

run_table::~run_table() {
    runs_.clear_and_dispose([](generation_run* run) { intrusive_ptr_release(run); });
}

void run_table::insert(generation_run& run) {
    intrusive_ptr_add_ref(&run);
    runs_.push_back(run);
    by_stream_.emplace(run.stream(), &run);
    by_generation_.emplace(run.generation(), &run);
}

run_pointer run_table::remove(std::uint64_t stream) {
    auto const found = by_stream_.find(stream);
    if (found == by_stream_.end())
        return nullptr;
    run_pointer removed{found->second, false};
    by_stream_.erase(found);
    by_generation_.erase(removed->generation());
    runs_.erase(runs_.iterator_to(*removed));
    return removed;
}

run_pointer run_table::find(std::uint64_t stream) const {
    auto const found = by_stream_.find(stream);
    return found == by_stream_.end() ? nullptr : run_pointer{found->second};
}

run_pointer run_table::find_generation(std::string_view generation) const {
    auto const found = by_generation_.find(generation);
    return found == by_generation_.end() ? nullptr : run_pointer{found->second};
}

std::vector<run_pointer> run_table::all() const {
    std::vector<run_pointer> result;
    result.reserve(by_stream_.size());
    for (auto const& [stream, run] : by_stream_)
        result.emplace_back(run);
    return result;
}

} // namespace cyclamenledge::agent

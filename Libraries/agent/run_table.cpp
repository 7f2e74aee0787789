#include "agent/run_table.h"

namespace cyclamenledge::agent {

run_table::~run_table() {
    runs_.clear_and_dispose([](generation_run* run) { intrusive_ptr_release(run); });
}

void run_table::insert(generation_run& run, attempt_name attempt) {
    intrusive_ptr_add_ref(&run);
    runs_.push_back(run);
    by_stream_.emplace(run.stream(), &run);
    by_generation_.emplace(run.generation(), &run);
    set_attempt(run, attempt);
}

void run_table::set_attempt(generation_run& run, attempt_name attempt) {
    if (auto const earlier = attempts_.find(run.stream()); earlier != attempts_.end())
        by_attempt_.erase(earlier->second);
    attempts_.insert_or_assign(run.stream(), attempt);
    by_attempt_.insert_or_assign(attempt, run.stream());
}

run_pointer run_table::find_attempt(std::uint64_t connection, std::uint64_t attempt) const {
    auto const found = by_attempt_.find({connection, attempt});
    return found == by_attempt_.end() ? nullptr : find(found->second);
}

run_pointer run_table::remove(std::uint64_t stream) {
    auto const found = by_stream_.find(stream);
    if (found == by_stream_.end())
        return nullptr;
    run_pointer removed{found->second, false};
    by_stream_.erase(found);
    by_generation_.erase(removed->generation());
    if (auto const attempt = attempts_.find(stream); attempt != attempts_.end()) {
        by_attempt_.erase(attempt->second);
        attempts_.erase(attempt);
    }
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

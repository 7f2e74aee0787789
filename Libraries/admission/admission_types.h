#pragma once

#include "base/error.h"
#include "base/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cyclamenledge::admission {

/// A generation that an entry submits to the agent. The names of organisation, class and model are passed as
/// base::hash_text.
struct admission_request {
    std::uint64_t stream{0};
    std::uint64_t organisation{0};
    std::uint64_t service_class{0};
    std::uint64_t model{0};
    std::uint32_t prompt_tokens{0};
    /// The caller's limit on the output length; 0 for no limit.
    std::uint32_t maximum_output_tokens{0};
    base::time_point deadline{base::time_point::max()};
};

/// The limit that prevents the immediate admission of a request.
enum class admission_limit : std::uint8_t { none, memory, batch, warmup, share };

enum class admission_outcome : std::uint8_t { admit, queue, refuse };

/// The decision on one request. A refused request did not run.
struct admission_decision {
    std::uint64_t stream{0};
    admission_outcome outcome{admission_outcome::admit};
    admission_limit limit{admission_limit::none};
    /// Priority for the engine; set for admissions only.
    std::uint32_t priority{0};
    /// The error and the retry time are set for refusals only.
    base::error_kind error{base::error_kind::overloaded};
    base::milliseconds retry_after{0};
};

enum class stream_end : std::uint8_t { completed, cancelled, failed };

/// Load that the engine reports. Reports may lag, be missing or contradict the agent's own counts.
struct load_report {
    std::uint32_t running{0};
    std::uint64_t held_tokens{0};
};

/// Load of the target, which the agent sends to entries so that they can rank targets.
struct load_hint {
    std::uint32_t running{0};
    std::uint32_t queued{0};
    /// Reserved memory as a fraction of the memory limit; above 1 when streams exceed their predicted lengths.
    float held_fraction{0};
    std::uint32_t warmup_bound{0};
    std::uint64_t incarnation{0};
    bool warm{false};
};

struct class_snapshot {
    std::string name;
    std::uint32_t running{0};
    std::uint32_t queued{0};
    std::uint32_t batch_bound{0};
    std::uint64_t reserved_tokens{0};
    std::uint64_t admitted{0};
    std::uint64_t refused{0};
};

/// State of the controller for the operators' state dump.
struct admission_snapshot {
    load_hint hint;
    std::uint64_t held_tokens{0};
    std::uint64_t reserved_tokens{0};
    std::uint64_t memory_tokens{0};
    /// Tokens and streams of the last load report that exceed the agent's own counts.
    std::uint64_t unexplained_tokens{0};
    std::uint32_t unexplained_running{0};
    double ends_per_second{0};
    std::size_t histograms{0};
    std::vector<class_snapshot> classes;
};

} // namespace cyclamenledge::admission

#pragma once

#include "base/error.h"
#include "base/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cyclamenledge::admission {

/// A generation offered to the agent. Organisation, class and model are base::hash_text of their names.
struct admission_request {
    std::uint64_t stream{0};
    std::uint64_t organisation{0};
    std::uint64_t service_class{0};
    std::uint64_t model{0};
    std::uint32_t prompt_tokens{0};
    /// The caller's own bound on the output; 0 when there is none.
    std::uint32_t maximum_output_tokens{0};
    base::time_point deadline{base::time_point::max()};
};

/// The condition that keeps a request from being admitted now.
enum class admission_limit : std::uint8_t { none, memory, batch, warmup, share };

enum class admission_outcome : std::uint8_t { admit, queue, refuse };

/// The answer to one request. A refusal always means that the request did not run.
struct admission_decision {
    std::uint64_t stream{0};
    admission_outcome outcome{admission_outcome::admit};
    admission_limit limit{admission_limit::none};
    /// Priority to pass to the engine; admissions only.
    std::uint32_t priority{0};
    /// Refusals only.
    base::error_kind error{base::error_kind::overloaded};
    base::milliseconds retry_after{0};
};

enum class stream_end : std::uint8_t { completed, cancelled, failed };

/// What the engine reports about itself. It may lag, be missing or contradict the agent's own count.
struct load_report {
    std::uint32_t running{0};
    std::uint64_t held_tokens{0};
};

/// What an agent sends to entries so that they can rank targets.
struct load_hint {
    std::uint32_t running{0};
    std::uint32_t queued{0};
    /// Reserved memory over the memory limit; above 1 when streams grew beyond their prediction.
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

/// State for the operators' dump.
struct admission_snapshot {
    load_hint hint;
    std::uint64_t held_tokens{0};
    std::uint64_t reserved_tokens{0};
    std::uint64_t memory_tokens{0};
    /// Tokens and streams that the last load report showed beyond the own count.
    std::uint64_t unexplained_tokens{0};
    std::uint32_t unexplained_running{0};
    double ends_per_second{0};
    std::size_t histograms{0};
    std::vector<class_snapshot> classes;
};

} // namespace cyclamenledge::admission

#pragma once

namespace cyclamenledge::forwarding {

/// Duration of one step of an engine at its nominal pace. A step generates one token for each running request.
struct engine_step {
    /// Milliseconds, as measured on the engines of the platform.
    static constexpr double base = 7;
    static constexpr double per_running_request = 0.12;
    /// Reading one chunk of a prompt.
    static constexpr double reading_chunk = 8;

    /// @param running requests that generate tokens
    /// @param reading share of the steps in which a chunk is read, 0 to 1
    /// @return milliseconds
    static constexpr double length(double running, double reading) {
        return base + per_running_request * running + reading_chunk * reading;
    }
};

} // namespace cyclamenledge::forwarding

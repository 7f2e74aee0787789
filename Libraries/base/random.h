#pragma once

#include <cstdint>
#include <random>

namespace cyclamenledge::base {

/// Seeded source of randomness. Decision code receives one, so that runs with the same seed are equal.
class random_source {
public:
    explicit random_source(std::uint64_t seed)
        : engine_(seed) {}

    std::uint64_t next() { return engine_(); }
    /// Uniform in [0, bound). The bound must be above zero.
    std::uint64_t below(std::uint64_t bound) {
        return std::uniform_int_distribution<std::uint64_t>(0, bound - 1)(engine_);
    }
    /// Uniform in [0, 1).
    double unit() { return std::uniform_real_distribution<double>(0.0, 1.0)(engine_); }
    std::mt19937_64& engine() { return engine_; }

private:
    std::mt19937_64 engine_;
};

/// A seed that differs in every process.
inline std::uint64_t random_seed() {
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

} // namespace cyclamenledge::base

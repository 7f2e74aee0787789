#include "admission/length_predictor.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace cyclamenledge::admission {

namespace {

constexpr std::size_t level_count = 3;
/// Minimum number of observations in the tail for a conditional estimate.
constexpr double minimum_tail = 2;

std::uint64_t mix(std::uint64_t left, std::uint64_t right) {
    auto value = left * 0x9E3779B97F4A7C15U ^ (right + 0xD1B54A32D192ED03U);
    value ^= value >> 32U;
    value *= 0xD6E8FEB86659FD93U;
    return value ^ (value >> 29U);
}

/// Keys from the most to the least specific level.
std::array<std::uint64_t, level_count> level_keys(std::uint64_t organisation, std::uint64_t service_class,
                                                  std::uint64_t model) {
    auto const of_model = mix(1, model);
    auto const of_class = mix(mix(2, service_class), of_model);
    return {mix(mix(3, organisation), of_class), of_class, of_model};
}

} // namespace

length_predictor::length_predictor(length_predictor_parameters const& parameters)
    : parameters_(parameters) {
    parameters_.maximum_histograms = std::max(parameters_.maximum_histograms, level_count);
    index_.reserve(parameters_.maximum_histograms);
}

length_predictor::node* length_predictor::find(std::uint64_t key) {
    auto const found = index_.find(key);
    return found == index_.end() ? nullptr : found->second;
}

length_predictor::node& length_predictor::touch(std::uint64_t key) {
    auto* used = find(key);
    if (used == nullptr) {
        if (nodes_.size() < parameters_.maximum_histograms) {
            used = &nodes_.emplace_back();
        } else {
            used = &recent_.back();
            recent_.pop_back();
            index_.erase(used->key);
            used->lengths = {};
        }
        used->key = key;
        index_.emplace(key, used);
    } else {
        recent_.erase(recent_.iterator_to(*used));
    }
    recent_.push_front(*used);
    return *used;
}

void length_predictor::observe(std::uint64_t organisation, std::uint64_t service_class, std::uint64_t model,
                               std::uint32_t length) {
    auto const keys = level_keys(organisation, service_class, model);
    for (std::size_t level = 0; level < level_count; ++level) {
        auto const halve_at = level == 0 ? parameters_.organisation_halve_at : parameters_.shared_halve_at;
        touch(keys[level]).lengths.observe(length, parameters_.ageing ? halve_at : 0);
    }
}

std::uint32_t length_predictor::quantile(std::uint64_t organisation, std::uint64_t service_class, std::uint64_t model,
                                         double q) {
    for (auto const key : level_keys(organisation, service_class, model)) {
        auto* level = find(key);
        if (level == nullptr || level->lengths.observations() < parameters_.minimum_observations)
            continue;
        if (auto const length = level->lengths.quantile_above(0, q, 0))
            return static_cast<std::uint32_t>(std::max(1.0, std::ceil(*length)));
    }
    return std::max(1U, parameters_.default_length);
}

std::uint32_t length_predictor::remaining(std::uint64_t organisation, std::uint64_t service_class, std::uint64_t model,
                                          std::uint32_t so_far, double q) {
    if (so_far == 0)
        return quantile(organisation, service_class, model, q);
    for (auto const key : level_keys(organisation, service_class, model)) {
        auto* level = find(key);
        if (level == nullptr || level->lengths.observations() < parameters_.minimum_observations)
            continue;
        if (auto const length = level->lengths.quantile_above(so_far, q, minimum_tail))
            return static_cast<std::uint32_t>(std::max(1.0, std::ceil(*length - so_far)));
    }
    // Beyond all observed lengths the tail is assumed to be heavy: the stream is expected to grow by half.
    return std::max({1U, so_far / 2, so_far < parameters_.default_length ? parameters_.default_length - so_far : 0U});
}

} // namespace cyclamenledge::admission

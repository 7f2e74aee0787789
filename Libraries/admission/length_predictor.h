#pragma once

#include "admission/length_histogram.h"

#include <boost/intrusive/list.hpp>
#include <boost/unordered/unordered_flat_map.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>

namespace cyclamenledge::admission {

struct length_predictor_parameters {
    /// Number of (organisation, model) pairs of a fleet of target size, plus the fallback levels.
    std::size_t maximum_histograms{72000};
    /// Length assumed at every quantile before any was observed.
    std::uint32_t default_length{256};
    /// Minimum number of observations at which a level is used.
    double minimum_observations{8};
    /// Ageing: the counts of a histogram are halved at this many observations, so that recent lengths dominate soon
    /// after a change.
    std::uint32_t organisation_halve_at{64};
    std::uint32_t shared_halve_at{256};
    bool ageing{true};
};

/// Predicts output lengths from the lengths observed per (organisation, class, model), with fallback to (class, model),
/// the model and the default length. Names are passed as hashes.
class length_predictor {
public:
    explicit length_predictor(length_predictor_parameters const& parameters);

    void observe(std::uint64_t organisation, std::uint64_t service_class, std::uint64_t model, std::uint32_t length);
    /// The q-quantile of the output length in tokens, at least 1.
    std::uint32_t quantile(std::uint64_t organisation, std::uint64_t service_class, std::uint64_t model, double q);
    /// The q-quantile of the remaining tokens of a stream that has produced so_far tokens, at least 1.
    std::uint32_t remaining(std::uint64_t organisation, std::uint64_t service_class, std::uint64_t model,
                            std::uint32_t so_far, double q);
    std::size_t histograms() const { return index_.size(); }

private:
    struct node : boost::intrusive::list_base_hook<> {
        std::uint64_t key{0};
        length_histogram lengths;
    };

    node& touch(std::uint64_t key);
    node* find(std::uint64_t key);

    length_predictor_parameters parameters_;
    std::deque<node> nodes_;
    boost::unordered_flat_map<std::uint64_t, node*> index_;
    /// Ordered by last use; the least recently used node is last and is evicted first.
    boost::intrusive::list<node> recent_;
};

} // namespace cyclamenledge::admission
